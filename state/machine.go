// Package state implements the state machine that the controllers replicate.
//
// A Machine holds the catalogue, the workers, the jobs, the claims, the burn
// counts, the table of queues, the submissions, the evacuated zones and the machines without a lease. Apply is deterministic: its
// result depends only on the state, the command, the log index and the log
// time, so that all replicas agree. The log time never decreases, even if a new
// leader's clock is behind that of its predecessor.
package state

import (
	"fmt"
	"sort"
	"time"

	"github.com/gentianrail/gentianrail/burn"
	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/claim"
	"github.com/gentianrail/gentianrail/evacuation"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/queue"
	"github.com/gentianrail/gentianrail/silence"
	"github.com/gentianrail/gentianrail/submission"
	"github.com/gentianrail/gentianrail/worker"
)

// BurnSource identifies the last burn report of one entry instance.
type BurnSource struct {
	Name      string
	Sequence  uint64
	AppliedAt time.Time // log time at which the report was applied
}

// Event is the sealed set of changes to the view that entry and agent
// instances hold: EntryChanged, EntryDeleted, WorkerChanged and WorkerRetired.
type Event interface{ event() }

// EntryChanged carries an entry that was created or changed.
type EntryChanged struct{ Entry catalogue.Entry }

// EntryDeleted names an entry that was deleted.
type EntryDeleted struct{ Name string }

// WorkerChanged carries a worker that was registered or changed.
type WorkerChanged struct{ Worker worker.Worker }

// WorkerRetired names a worker that was retired.
type WorkerRetired struct{ ID string }

func (EntryChanged) event()  {}
func (EntryDeleted) event()  {}
func (WorkerChanged) event() {}
func (WorkerRetired) event() {}

var (
	_ Event = EntryChanged{}
	_ Event = EntryDeleted{}
	_ Event = WorkerChanged{}
	_ Event = WorkerRetired{}
)

// Result is what Apply returns.
type Result struct {
	Outcome Outcome
	Events  []Event
	Job     string // identifier of the job that the command acted on; empty if none
}

// Machine is the replicated state. The zero value is empty and ready. It is
// not safe for concurrent use.
type Machine struct {
	now          time.Time // log time; never decreases
	revision     uint64    // log index of the last applied command
	catalogue    catalogue.Catalogue
	workers      worker.Pool
	jobs         job.Store
	claims       claim.Store
	burn         burn.Store
	queues       queue.Table
	submissions  submission.Store
	evacuations  evacuation.Set
	silence      silence.Table
	burnSources  map[string]BurnSource // last burn report of each entry instance, by name
	burnPrunedAt time.Time             // log time of the last removal of old burn counts
}

// Now returns the log time.
func (m *Machine) Now() time.Time { return m.now }

// Revision returns the log index of the last applied command.
func (m *Machine) Revision() uint64 { return m.revision }

// Catalogue returns the entries. Only Apply may change them.
func (m *Machine) Catalogue() *catalogue.Catalogue { return &m.catalogue }

// Workers returns the workers. Only Apply may change them.
func (m *Machine) Workers() *worker.Pool { return &m.workers }

// Jobs returns the jobs. Only Apply may change them.
func (m *Machine) Jobs() *job.Store { return &m.jobs }

// Claims returns the claims. Only Apply may change them.
func (m *Machine) Claims() *claim.Store { return &m.claims }

// Burn returns the burn counts. Only Apply may change them.
func (m *Machine) Burn() *burn.Store { return &m.burn }

// Queues returns the current table of queues. Only Apply may change it.
func (m *Machine) Queues() *queue.Table { return &m.queues }

// Submissions returns the submissions. Only Apply may change them.
func (m *Machine) Submissions() *submission.Store { return &m.submissions }

// Evacuations returns the evacuated zones. Only Apply may change them.
func (m *Machine) Evacuations() *evacuation.Set { return &m.evacuations }

// Silence returns the records of machines that are without a lease. Only Apply may change them.
func (m *Machine) Silence() *silence.Table { return &m.silence }

// Apply applies the command at the given log index. The time at is that of the
// leader that proposed the command.
func (m *Machine) Apply(index uint64, at time.Time, c Command) Result {
	before := m.now
	if at.After(m.now) {
		m.now = at
	}
	// Expired submissions are removed at most once per second of log time.
	if m.now.Unix() != before.Unix() {
		m.submissions.Prune(m.now)
	}
	m.revision = index
	r := m.applyCommand(c)
	r.Outcome.Revision = max(r.Outcome.Revision, index)
	return r
}

func (m *Machine) applyCommand(c Command) Result {
	switch c := c.(type) {
	case PutEntry:
		return m.putEntry(c)
	case DeleteEntry:
		return m.deleteEntry(c)
	case RegisterWorker:
		return m.registerWorker(c)
	case RetireWorker:
		return m.retireWorker(c)
	case DrainWorker:
		return m.drainWorker(c)
	case SubmitJob:
		return m.submitJob(c)
	case CancelJob:
		return jobResult(m.jobs.Cancel(c.ID, m.now))
	case PlaceJob:
		return m.placeJob(c)
	case EndAttempt:
		return m.endAttempt(c)
	case FailJob:
		return jobResult(m.jobs.Fail(c.ID, c.Reason, m.now))
	case BeginClaim:
		c.Claim.Deadline = m.now.Add(c.Remaining)
		got, err := m.claims.Begin(c.Claim, m.now)
		return Result{Outcome: Outcome{Claim: &got, Err: err}}
	case FinishClaim:
		return errorResult(m.claims.Finish(c.Entry, c.Key, c.Token, c.Answer))
	case ReleaseClaim:
		return errorResult(m.claims.Release(c.Entry, c.Key, c.Token))
	case RecordBurn:
		return m.recordBurn(c)
	case ReplaceQueues:
		return m.replaceQueues(c)
	case Submit:
		return m.submit(c)
	case CancelSubmission:
		return errorResult(m.submissions.Cancel(c.ID, m.now))
	case StartRuns:
		return Result{Outcome: Outcome{Starts: m.submissions.Start(c.Starts, m.now)}}
	case EndRuns:
		m.submissions.EndAll(c.Ends, m.now)
		return Result{}
	case SettleRuns:
		m.submissions.Settle(c.Runs, c.Settled)
		return Result{}
	case RecordLateRuns:
		m.submissions.RecordLateRuns(c.Runs)
		return Result{}
	case RecordSilence:
		m.silence.Apply(c.Change)
		return Result{}
	case StartEvacuation:
		return m.setEvacuated(c.Zone, m.evacuations.Start)
	case FinishEvacuation:
		return m.setEvacuated(c.Zone, m.evacuations.Finish)
	case DropAnswers:
		m.claims.DropAnswers(c.ClaimsBefore)
		m.jobs.DropResults(c.JobsBefore)
		return Result{}
	default:
		panic(fmt.Sprintf("state: unexpected command %T", c))
	}
}

// replaceQueues ignores a table that is not newer than the current one, since
// it is a resend or has been superseded.
func (m *Machine) replaceQueues(c ReplaceQueues) Result {
	if err := c.Table.Validate(); err != nil {
		return errorResult(err)
	}
	if c.Table.Version <= m.queues.Version {
		return Result{Outcome: Outcome{Repeated: true}}
	}
	m.queues = c.Table
	for _, s := range m.submissions.Unended() {
		if q, ok := m.queues.Queue(s.Queue); ok && q.Service != s.Service {
			m.submissions.SetService(s, q.Service)
		}
		m.applyQueueSettings(s)
	}
	return Result{}
}

// applyQueueSettings copies the settings of a submission's queue into the
// submission. If the queue no longer exists, the submission keeps its settings.
func (m *Machine) applyQueueSettings(s *submission.Submission) {
	q, ok := m.queues.Queue(s.Queue)
	if !ok {
		return
	}
	s.Service, s.Priority, s.MaxAttempts = q.Service, q.Priority, q.MaxAttempts
	s.Slack, s.BaseObjective, s.NeedsAdvice = q.Slack, q.BaseObjective, q.Advice != nil
}

// submit accepts a submission. One that was accepted before is accepted again, whatever has
// changed since: the first answer may be lost.
func (m *Machine) submit(c Submit) Result {
	s := c.Submission
	if _, ok := m.submissions.Submission(s.ID); ok {
		return Result{Outcome: Outcome{Repeated: true}}
	}
	s, err := m.NewSubmission(s)
	if err != nil {
		return errorResult(err)
	}
	return Result{Outcome: Outcome{Repeated: m.submissions.Submit(s, m.now)}}
}

// NewSubmission returns a submission with the settings of its queue, as it would be
// accepted, or the reason why it is rejected.
func (m *Machine) NewSubmission(s submission.Submission) (submission.Submission, error) {
	if err := s.Validate(); err != nil {
		return s, fault.Wrap(fault.BadRequest, err, "submission %q", s.ID)
	}
	if _, ok := m.queues.Queue(s.Queue); !ok {
		return s, fault.New(fault.EntryNotFound, "no queue %q", s.Queue)
	}
	m.applyQueueSettings(&s)
	return s, nil
}

// setEvacuated starts or finishes the evacuation of a zone. An order that changes nothing is
// accepted: it may be a repeated one.
func (m *Machine) setEvacuated(zone string, set func(string, time.Time, uint64) bool) Result {
	if err := evacuation.CheckName(zone); err != nil {
		return errorResult(err)
	}
	r := Result{Outcome: Outcome{Repeated: !set(zone, m.now, m.revision)}}
	for _, w := range m.workers.SetEvacuated(zone, m.evacuations.IsEvacuated(zone), m.revision) {
		r.Events = append(r.Events, WorkerChanged{Worker: w})
	}
	return r
}

// errorResult returns a result that carries only err, which may be nil.
func errorResult(err error) Result { return Result{Outcome: Outcome{Err: err}} }

func jobResult(j job.Job, err error) Result {
	return Result{Outcome: Outcome{Job: &j, Err: err}, Job: j.ID}
}

func (m *Machine) putEntry(c PutEntry) Result {
	spec := c.Spec
	got, err := m.catalogue.Apply(catalogue.Change{
		ID:   c.ChangeID,
		Base: c.Base,
		Name: spec.Name,
		Put:  &spec,
		At:   m.now,
	}, m.revision)
	return entryResult(got, err)
}

func (m *Machine) deleteEntry(c DeleteEntry) Result {
	got, err := m.catalogue.Apply(catalogue.Change{
		ID:   c.ChangeID,
		Base: c.Base,
		Name: c.Name,
		At:   m.now,
	}, m.revision)
	r := entryResult(got, err)
	if err == nil && !got.Repeated {
		r.Events = []Event{EntryDeleted{Name: c.Name}}
	}
	return r
}

func entryResult(got catalogue.ChangeResult, err error) Result {
	if err != nil {
		return errorResult(err)
	}
	r := Result{Outcome: Outcome{Revision: got.Revision, Repeated: got.Repeated}}
	if got.Deleted {
		return r
	}
	entry := got.Entry
	r.Outcome.Entry = &entry
	if !got.Unchanged && !got.Repeated {
		r.Events = []Event{EntryChanged{Entry: entry}}
	}
	return r
}

func (m *Machine) registerWorker(c RegisterWorker) Result {
	old, known := m.workers.Worker(c.Worker.ID)
	c.Worker.Evacuated = m.evacuations.IsEvacuated(c.Worker.Zone)
	w, err := m.workers.Register(c.Worker, m.revision)
	if err != nil {
		return errorResult(err)
	}
	if known && old.AgentIncarnation != w.AgentIncarnation {
		m.endLostAttempts(old.ID, old.AgentIncarnation, "the agent restarted")
	}
	return Result{Events: []Event{WorkerChanged{Worker: w}}}
}

// retireWorker applies RetireWorker, which is proposed only after the leases of
// the agent incarnation have expired.
func (m *Machine) retireWorker(c RetireWorker) Result {
	if err := m.workers.Retire(c.ID, c.AgentIncarnation); err != nil {
		return errorResult(err)
	}
	m.endLostAttempts(c.ID, c.AgentIncarnation, "the worker was lost")
	return Result{Events: []Event{WorkerRetired{ID: c.ID}}}
}

// endLostAttempts ends the attempts that ran on a worker under one agent
// incarnation as lost.
func (m *Machine) endLostAttempts(id string, agentIncarnation uint64, reason string) {
	for _, j := range m.jobs.RunningOnWorker(id) {
		if j.AgentIncarnation != agentIncarnation {
			continue
		}
		// The attempt is running, so ending it cannot fail.
		_, _ = m.jobs.End(j.ID, j.Attempt, job.Lost{Reason: reason}, m.maxAttempts(j.Entry), m.now)
	}
}

func (m *Machine) drainWorker(c DrainWorker) Result {
	w, err := m.workers.Drain(c.ID, c.Drained, m.revision)
	if err != nil {
		return errorResult(err)
	}
	return Result{Events: []Event{WorkerChanged{Worker: w}}}
}

// submitJob accepts a job. One that was accepted before is accepted again, whatever has
// changed since.
func (m *Machine) submitJob(c SubmitJob) Result {
	if m.jobs.WasSubmitted(c.Job) {
		return jobResult(m.jobs.Submit(c.Job, m.now))
	}
	entry, ok := m.catalogue.Entry(c.Job.Entry)
	if !ok {
		return errorResult(fault.New(fault.EntryNotFound, "no entry %q", c.Job.Entry))
	}
	if entry.Class() != catalogue.Batch {
		return errorResult(fault.New(fault.WrongClass, "entry %q is of class %s, not batch", entry.Name(), entry.Class()))
	}
	j := c.Job
	j.Owner = entry.Owner()
	return jobResult(m.jobs.Submit(j, m.now))
}

func (m *Machine) placeJob(c PlaceJob) Result {
	w, ok := m.workers.Worker(c.Worker)
	if !ok || w.AgentIncarnation != c.AgentIncarnation || !w.AcceptsWork() {
		return errorResult(fault.New(fault.StaleWorker, "worker %q does not accept work at agent incarnation %d", c.Worker, c.AgentIncarnation))
	}
	return jobResult(m.jobs.Place(c.ID, c.Attempt, c.Worker, c.AgentIncarnation, m.now))
}

func (m *Machine) endAttempt(c EndAttempt) Result {
	j, _ := m.jobs.Job(c.ID)
	return jobResult(m.jobs.End(c.ID, c.Attempt, c.Outcome, m.maxAttempts(j.Entry), m.now))
}

// defaultMaxAttempts is the number of failed attempts after which a job fails
// if its entry was deleted.
const defaultMaxAttempts = 3

func (m *Machine) maxAttempts(entry string) int {
	if e, ok := m.catalogue.Entry(entry); ok {
		return e.Limits().MaxAttempts
	}
	return defaultMaxAttempts
}

func (m *Machine) recordBurn(c RecordBurn) Result {
	if m.burnSources == nil {
		m.burnSources = make(map[string]BurnSource)
	}
	if c.Sequence <= m.burnSources[c.Source].Sequence {
		return Result{Outcome: Outcome{Repeated: true}}
	}
	m.burnSources[c.Source] = BurnSource{Name: c.Source, Sequence: c.Sequence, AppliedAt: m.now}
	for _, count := range c.Counts {
		m.burn.Record(count)
	}
	m.pruneBurnHistory()
	return Result{}
}

// pruneBurnHistory removes expired burn counts and sources, at most once an
// hour.
func (m *Machine) pruneBurnHistory() {
	if m.now.Sub(m.burnPrunedAt) < time.Hour {
		return
	}
	m.burnPrunedAt = m.now
	m.burn.Prune(m.now)
	for name, s := range m.burnSources {
		if m.now.Sub(s.AppliedAt) >= burn.MaxWindow {
			delete(m.burnSources, name)
		}
	}
}

// BurnSources returns the last burn report of each entry instance, sorted by
// name.
func (m *Machine) BurnSources() []BurnSource {
	out := make([]BurnSource, 0, len(m.burnSources))
	for _, s := range m.burnSources {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Contents is the complete state in plain values. A snapshot stores it.
type Contents struct {
	Now          time.Time
	Revision     uint64
	Entries      []catalogue.Entry
	Deleted      []catalogue.DeletedVersion
	Changes      []catalogue.AcceptedChange
	Workers      []worker.Worker
	Jobs         []job.Job
	NextJob      uint64
	Claims       []claim.Claim
	Burn         []burn.Count
	BurnSources  []BurnSource
	BurnPrunedAt time.Time

	Queues      queue.Table
	Submissions []*submission.Submission // changed only by the machine that Restore returns

	Evacuations []evacuation.Zone
	Silence     silence.Change // that makes the records from none
}

// Contents returns the complete state.
func (m *Machine) Contents() Contents {
	return Contents{
		Now:          m.now,
		Revision:     m.revision,
		Entries:      m.catalogue.Entries(),
		Deleted:      m.catalogue.DeletedVersions(),
		Changes:      m.catalogue.AcceptedChanges(),
		Workers:      m.workers.Workers(),
		Jobs:         m.jobs.SnapshotJobs(),
		NextJob:      m.jobs.NextSequence(),
		Claims:       m.claims.Claims(),
		Burn:         m.burn.Counts(),
		BurnSources:  m.BurnSources(),
		BurnPrunedAt: m.burnPrunedAt,

		Queues:      m.queues,
		Submissions: m.submissions.Copies(),
		Evacuations: m.evacuations.Zones(),
		Silence:     silence.Change{Term: m.silence.Term(), Silent: m.silence.Machines()},
	}
}

// Restore returns a machine with the given contents.
func Restore(c Contents) *Machine {
	m := &Machine{now: c.Now, revision: c.Revision, burnPrunedAt: c.BurnPrunedAt, burnSources: make(map[string]BurnSource)}
	for _, d := range c.Deleted {
		m.catalogue.RestoreVersion(d)
	}
	for _, e := range c.Entries {
		m.catalogue.Put(e)
	}
	for _, r := range c.Changes {
		m.catalogue.RestoreChange(r)
	}
	for _, w := range c.Workers {
		m.workers.Put(w)
	}
	for _, j := range c.Jobs {
		m.jobs.Put(j)
	}
	m.jobs.SetNextSequence(c.NextJob)
	for _, k := range c.Claims {
		m.claims.Put(k)
	}
	for _, b := range c.Burn {
		m.burn.Record(b)
	}
	for _, s := range c.BurnSources {
		m.burnSources[s.Name] = s
	}
	m.queues = c.Queues
	for _, s := range c.Submissions {
		m.submissions.Put(s)
	}
	for _, z := range c.Evacuations {
		m.evacuations.Put(z)
	}
	m.silence.Apply(c.Silence)
	return m
}
