// Package controller implements the controller role: the replicated log, the
// state machine above it, and the leases of running tasks.
//
// One goroutine, the core, owns the replica and the state machine; a second
// one, the writer, does most of the core's disk writes. Other goroutines send
// messages to the core on unbuffered channels. Each iteration of the core
// handles the waiting messages together, so that they share one disk sync.
package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianrail/gentianrail/burn"
	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/feed"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
)

// Intervals and bounds of the core.
const (
	_tickInterval         = 10 * time.Millisecond // between checks of timers
	_maxIterationMessages = 512                   // messages handled before the disk is synced
	_retainedEntries      = 2000                  // log entries before a snapshot, retained for lagging followers
	_proposalTimeout      = 3 * time.Second       // until an unconfirmed proposal ends with MaybeApplied
)

// result is the outcome of a proposal.
type result struct {
	outcome state.Outcome
	err     error // NoLeader: not applied; MaybeApplied: unknown
}

type proposal struct {
	cmd   state.Command
	reply chan result // size one
}

// pendingProposal is a proposal in the log that is not applied yet.
type pendingProposal struct {
	term  uint64
	since time.Time
	reply chan result // nil for the core's own proposals
}

// Core owns a controller's state. Only the goroutine that executes Run accesses
// the replica and the state machine.
type Core struct {
	cfg            CoreConfig
	log            event.Log
	replica        *replica.Replica
	store          *disk.Store // the core uses it only while no write is in progress; nil while the disk is full
	writer         *writer
	writeResults   chan writeResult // size one
	writing        bool             // a write is in progress
	latestSnapshot replica.Snapshot
	machine        *state.Machine
	feed           *feed.Feed
	send           func([]replica.Message)
	messages       chan replica.Message
	propose        chan proposal
	queries        chan *query
	stopped        chan struct{}

	snapshotEntries  int
	accepted         accepted
	pendingProposals map[uint64]pendingProposal // by log index
	hardState        replica.HardState
	lastApplied      replica.Entry
	logClock         logClock
	snapshotIndex    uint64
	members          []replica.Member // as of the last entry that was applied
	group            group
	role             replica.Role
	leadership       leadership
	sched            scheduler
	sessions         sessions
	commits          metrics.Timer // from a proposal to its application
	crashedRuns      metrics.Counter
	tasksGivenUp     metrics.Counter
	strayRuns        metrics.Counter // that a worker has and that are not recorded on it
	preferredWaits   preferredWaits
	firstStarts      metrics.Timer // from a submission to the first start of its first task
	evacuatedZones   metrics.Gauge
	zones            zones
	advice           advice
	holders          map[string]Holder
	diskErr          error         // disk failure; the core rejects every proposal while it is set
	outage           outage        // of a full disk, or as of a disk failure
	diskFull         metrics.Gauge // 1 while the disk is full
	diskFailed       chan struct{} // closed when the disk fails for another reason than lack of space
}

// Holder is the latest report of a process that holds a copy of the view.
type Holder struct {
	Name       string
	Role       string
	Revision   uint64
	ReportedAt time.Time
}

// CoreConfig is the configuration of a Core.
type CoreConfig struct {
	Replica         replica.Config
	Files           disk.Files
	Log             event.Log
	Send            func([]replica.Message)
	SnapshotEntries int
	WorkerLease     time.Duration           // length of a worker's lease, which its agent renews
	RunLease        time.Duration           // length of the lease of a worker's runs
	RemotePenalty   float64                 // factor by which tasks run longer away from their rack; 0 if it is not known
	LateStartWindow time.Duration           // from an agent's latest call until its worker can hold no lease from it
	Metrics         metrics.Registry        // nil for none
	AdviceClient    AdviceClient            // approves workers for the steps of some queues; nil if there is none
	WarmUp          dispatch.WarmUp         // bounds of cold workers; zero for none
	Zones           []string                // availability zones of the deployment; empty if only the workers name them
	Replicas        int                     // voters that the group should have; 0 for a fixed group
	OnMembersChange func([]replica.Member)  // called when the members change
	Address         func(replica.ID) string // returns a replica's address; "" if unknown
	Accepted        AcceptedLimits          // on what accepted work makes the controller hold
}

// NewCore loads the state from disk and returns a core that is not running yet. If the
// disk is full, the core loads the state when there is space.
func NewCore(cfg CoreConfig, now time.Time) (*Core, error) {
	restored, openErr := openStore(cfg.Files)
	if openErr != nil && !disk.IsFull(openErr) {
		return nil, openErr
	}
	c := &Core{
		cfg:              cfg,
		log:              cfg.Log,
		writer:           newWriter(restored.store),
		writeResults:     make(chan writeResult, 1),
		send:             cfg.Send,
		messages:         make(chan replica.Message),
		propose:          make(chan proposal),
		queries:          make(chan *query),
		stopped:          make(chan struct{}),
		diskFailed:       make(chan struct{}),
		leadership:       leadership{changed: make(chan struct{})},
		snapshotEntries:  cfg.SnapshotEntries,
		accepted:         accepted{limits: cfg.Accepted},
		pendingProposals: make(map[uint64]pendingProposal),
		feed:             feed.New(0),
		role:             replica.Follower,
	}
	c.sched.lease = cfg.WorkerLease
	c.sessions.lease = cfg.RunLease
	c.sessions.scheduler.SetRemotePenalty(cfg.RemotePenalty)
	c.sessions.lateStarts.window = cfg.LateStartWindow
	registry := cfg.Metrics
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	c.commits = metrics.NewRegisteredTimer("controller.commits", registry)
	c.crashedRuns = metrics.NewRegisteredCounter("controller.crashed_runs", registry)
	c.tasksGivenUp = metrics.NewRegisteredCounter("controller.tasks_given_up", registry)
	c.strayRuns = metrics.NewRegisteredCounter("controller.stray_runs", registry)
	c.preferredWaits = newPreferredWaits(registry)
	c.firstStarts = metrics.NewRegisteredTimer("controller.first_starts", registry)
	c.evacuatedZones = metrics.NewRegisteredGauge("controller.evacuated_zones", registry)
	c.zones = newZones(cfg.Zones)
	c.sessions.scheduler.SetWarmUp(cfg.WarmUp)
	c.diskFull = metrics.NewRegisteredGauge("controller.disk_full", registry)
	c.advice = advice{client: cfg.AdviceClient, results: make(chan adviceResult, 1)}
	c.group = group{replicas: cfg.Replicas, onMembersChange: cfg.OnMembersChange, address: cfg.Address}
	if err := c.restore(now, restored); err != nil {
		return nil, err
	}
	if c.diskErr = openErr; openErr != nil {
		c.startOutage(now, 0)
	}
	return c, nil
}

func (c *Core) loadSnapshot(now time.Time, s replica.Snapshot) error {
	c.machine = &state.Machine{}
	c.sessions.silent.reckoning.Restore(now, c.machine.Silence(), s.Term)
	c.snapshotIndex = s.Index
	c.members = s.Members
	if s.Index == 0 {
		return nil
	}
	contents, err := wire.UnmarshalState(s.Data)
	if err != nil {
		return err
	}
	c.machine = state.Restore(contents)
	c.logClock.advance(now, c.machine.Now())
	c.sessions.silent.reckoning.Restore(now, c.machine.Silence(), s.Term)
	c.lastApplied = replica.Entry{Index: s.Index, Term: s.Term}
	return nil
}

// Run runs the core until ctx is cancelled.
func (c *Core) Run(ctx context.Context) {
	defer close(c.stopped)
	writerCtx, stopWriter := context.WithCancel(context.Background())
	var writer sync.WaitGroup
	writer.Go(func() { c.writer.run(writerCtx) })
	tick := time.NewTicker(_tickInterval)
	defer tick.Stop()
	for {
		if !c.handleMessages(ctx, tick.C) {
			break
		}
		c.processReady()
		c.schedule(clock.Now())
		c.processReady()
	}
	if c.writing {
		if w := <-c.writeResults; w.reopened.store != nil {
			c.store = w.reopened.store
		}
	}
	stopWriter()
	writer.Wait()
	c.advice.requests.Wait()
	c.stop()
}

// handleMessages waits for a message and handles all waiting messages, up to
// _maxIterationMessages. It returns false if ctx is cancelled.
func (c *Core) handleMessages(ctx context.Context, tick <-chan time.Time) bool {
	var proposals []proposal
	select {
	case <-ctx.Done():
		return false
	case m := <-c.messages:
		c.step(clock.Now(), m)
	case p := <-c.propose:
		proposals = append(proposals, p)
	case q := <-c.queries:
		c.runQuery(q)
	case w := <-c.writeResults:
		c.handleWriteResult(w)
	case a := <-c.advice.results:
		c.handleAdvice(clock.Now(), a)
	case <-tick:
		c.tick(clock.Now())
	}
	for n := 0; n < _maxIterationMessages; n++ {
		select {
		case m := <-c.messages:
			c.step(clock.Now(), m)
			continue
		case p := <-c.propose:
			proposals = append(proposals, p)
			continue
		case q := <-c.queries:
			c.runQuery(q)
			continue
		default:
		}
		break
	}
	_ = c.proposeAll(clock.Now(), proposals) // the error goes to each proposer
	return true
}

func (c *Core) tick(now time.Time) {
	if c.diskErr != nil {
		c.retryDisk(now)
		return
	}
	c.replica.Tick(now)
	c.proposeMemberChange(now)
	c.feed.SetLeaderContact(c.replica.HasRecentContact(now) && c.isCaughtUp())
	for index, p := range c.pendingProposals {
		if now.Sub(p.since) >= _proposalTimeout {
			delete(c.pendingProposals, index)
			p.resolve(result{err: fault.New(fault.MaybeApplied, "the change was not confirmed within %s", _proposalTimeout)})
		}
	}
}

func (p pendingProposal) resolve(r result) {
	if p.reply != nil {
		p.reply <- r
	}
}

func notLeader() result {
	return result{err: fault.New(fault.NoLeader, "this controller is not the leader")}
}

func (c *Core) proposeAll(now time.Time, proposals []proposal) error {
	if len(proposals) == 0 {
		return nil
	}
	data := make([][]byte, 0, len(proposals))
	encoded := proposals[:0]
	for _, p := range proposals {
		d, err := wire.MarshalCommand(c.withLogTime(now, p.cmd))
		if err != nil {
			p.reply <- result{err: fault.Wrap(fault.Internal, err, "encode a command")}
			continue
		}
		data = append(data, d)
		encoded = append(encoded, p)
	}
	if c.diskErr != nil {
		for _, p := range encoded {
			p.reply <- notLeader()
		}
		return c.diskErr
	}
	first, err := c.replica.Propose(now, c.logClock.time(now), data)
	for i, p := range encoded {
		if err != nil {
			p.reply <- notLeader()
			continue
		}
		c.pendingProposals[first+uint64(i)] = pendingProposal{term: c.replica.Term(), since: now, reply: p.reply}
	}
	return err
}

// withLogTime returns the command with burn counts in the current minute of log
// time, in which they are reported. The reporter's wall clock may be wrong.
func (c *Core) withLogTime(now time.Time, cmd state.Command) state.Command {
	burns, ok := cmd.(state.RecordBurn)
	if !ok {
		return cmd
	}
	burns.Counts = slices.Clone(burns.Counts)
	for i := range burns.Counts {
		burns.Counts[i].Minute = burn.MinuteOf(c.logClock.time(now))
	}
	return burns
}

// processReady carries out the replica's requests until there are none. While a
// write is in progress it handles only the requests that need not wait for the
// write.
func (c *Core) processReady() {
	for c.diskErr == nil {
		next := c.replica.ReadyDuringWrite
		if !c.writing {
			next = c.replica.Ready
		}
		ready := next()
		if ready.Empty() {
			break
		}
		c.send(ready.Immediate)
		c.persist(ready)
		if c.diskErr != nil {
			break
		}
		for _, e := range ready.Committed {
			c.applyEntry(e)
		}
	}
	c.updateRole()
	c.updateLeadership(clock.Now())
	if c.diskErr != nil {
		return
	}
	c.reportMembers()
	c.dropAnswers(clock.Now())
	c.maybeSnapshot()
}

// persist passes the replica's state and entries to the writer. A snapshot from
// the leader is installed synchronously, since nothing can be applied before it.
func (c *Core) persist(ready replica.Ready) {
	switch {
	case ready.Snapshot != nil:
		if err := c.installSnapshot(&ready); err != nil {
			c.handleDiskFailure(clock.Now(), err)
			return
		}
		c.send(ready.AfterSync)
		c.replica.RecordSynced(ready.DurableWrite())
	case ready.State != nil || len(ready.Entries) > 0:
		if ready.State != nil {
			c.hardState = *ready.State
		}
		c.writing = true
		c.writer.requests <- writeRequest{ready: ready, reply: c.writeResults}
	default:
		c.send(ready.AfterSync)
	}
}

// installSnapshot replaces the state with a snapshot from the leader. No write is
// in progress, so the core may use the disk.
func (c *Core) installSnapshot(ready *replica.Ready) error {
	if ready.State != nil {
		c.hardState = *ready.State
	}
	if err := c.store.SaveSnapshot(*ready.Snapshot, c.hardState, ready.Entries); err != nil {
		return err
	}
	if err := c.loadSnapshot(clock.Now(), *ready.Snapshot); err != nil {
		return err
	}
	c.latestSnapshot = *ready.Snapshot
	c.updateEvacuationMetric()
	c.feed.Reset(c.machine.Revision())
	c.sched.reset()
	c.sessions.reset(clock.Now())
	c.log.Emit(event.SnapshotLoaded, event.Fields{"index": ready.Snapshot.Index}, "leader's snapshot installed")
	return nil
}

// handleWriteResult handles the end of a write.
func (c *Core) handleWriteResult(w writeResult) {
	c.writing = false
	if w.isReopening {
		c.handleReopened(clock.Now(), w.reopened, w.err)
		return
	}
	if w.err != nil {
		c.handleDiskFailure(clock.Now(), w.err)
		return
	}
	if w.snapshot != nil {
		c.handleSnapshotWritten(*w.snapshot)
		return
	}
	c.send(w.ready.AfterSync)
	c.replica.RecordSynced(w.ready.DurableWrite())
}

func (c *Core) applyEntry(e replica.Entry) {
	c.lastApplied = e
	c.sessions.silent.reckoning.RecordTerm(e.Term)
	c.accepted.sinceSnapshot += int64(len(e.Data))
	var r state.Result
	if e.Kind == replica.KindMembers {
		c.members = e.Members
	}
	if e.Kind == replica.KindCommand {
		c.logClock.advance(clock.Now(), e.Time)
		cmd, err := wire.UnmarshalCommand(e.Data)
		if err != nil {
			// All replicas hold the same bytes, so all reject the same entry.
			r.Outcome.Err = err
		} else {
			r = c.machine.Apply(e.Index, e.Time, cmd)
			c.accepted.recordApplied(cmd)
			c.sched.handleAppliedCommand(c.machine, cmd, r)
			c.handleAppliedCommand(e.Term, cmd, r)
			c.logCommand(cmd, r)
		}
		c.feed.Advance(e.Index, r.Events)
	}
	p, ok := c.pendingProposals[e.Index]
	if !ok {
		return
	}
	delete(c.pendingProposals, e.Index)
	if p.term != e.Term {
		p.resolve(notLeader())
		return
	}
	c.commits.Update(clock.Now().Sub(p.since))
	p.resolve(result{outcome: r.Outcome})
}

// logCommand logs the effect of a command. Only the leader logs the effect, so
// that the group logs it once.
func (c *Core) logCommand(cmd state.Command, r state.Result) {
	if c.replica.Role() != replica.Leader || r.Outcome.Err != nil {
		return
	}
	switch cmd := cmd.(type) {
	case state.PutEntry:
		c.log.Emit(event.ChangeAccepted, event.Fields{"entry": cmd.Spec.Name, "revision": r.Outcome.Revision}, "catalogue entry took effect")
	case state.DeleteEntry:
		c.log.Emit(event.ChangeAccepted, event.Fields{"entry": cmd.Name, "revision": r.Outcome.Revision}, "catalogue entry deleted")
	case state.RegisterWorker:
		c.log.Emit(event.WorkerAdded, event.Fields{"worker": cmd.Worker.ID, "incarnation": cmd.Worker.AgentIncarnation}, "worker registered")
	case state.PlaceJob:
		c.log.Emit(event.JobPlaced, event.Fields{"job": cmd.ID, "attempt": cmd.Attempt, "worker": cmd.Worker}, "job placed")
	case state.EndAttempt:
		c.log.Emit(event.JobEnded, event.Fields{"job": cmd.ID, "attempt": cmd.Attempt, "state": r.Outcome.Job.State.String()}, "job attempt ended")
	}
}

func (c *Core) updateRole() {
	role := c.replica.Role()
	if c.diskErr != nil {
		role = replica.Follower
	}
	if role == c.role {
		return
	}
	leader, _ := c.leaderContact(clock.Now())
	c.log.Emit(event.RoleChanged, event.Fields{
		"from": c.role.String(), "to": role.String(), "term": c.replica.Term(), "leader": string(leader),
	}, "controller role changed")
	c.accepted.reset()
	if role == replica.Leader {
		c.sched.startLeading(clock.Now(), c.machine)
		c.sessions.reset(clock.Now())
		c.sessions.term = c.replica.Term()
		c.zones.reset()
	}
	if c.role == replica.Leader {
		c.sched.reset()
		c.sessions.reset(clock.Now())
		c.holders = make(map[string]Holder)
	}
	c.role = role
}

// maybeSnapshot starts a snapshot when the log has grown by snapshotEntries or by
// the limit of its bytes. It copies the state; the writer encodes and writes the copy.
func (c *Core) maybeSnapshot() {
	limit := c.accepted.limits.SnapshotBytes
	isLong := int(c.lastApplied.Index-c.snapshotIndex) >= c.snapshotEntries
	isLarge := limit > 0 && c.accepted.sinceSnapshot >= limit && c.lastApplied.Index > c.snapshotIndex
	if c.writing || !isLong && !isLarge {
		return
	}
	c.accepted.sinceSnapshot = 0
	c.writing = true
	c.writer.requests <- writeRequest{reply: c.writeResults, snapshot: &snapshotRequest{
		index:     c.lastApplied.Index,
		term:      c.lastApplied.Term,
		contents:  c.machine.Contents(),
		hardState: c.hardState,
		members:   c.members,
		tail:      c.replica.EntriesAfter(c.lastApplied.Index),
	}}
}

func (c *Core) handleSnapshotWritten(s replica.Snapshot) {
	c.latestSnapshot = s
	c.snapshotIndex = s.Index
	from := s.Index - min(s.Index, _retainedEntries)
	if limit := c.accepted.limits.RetainedBytes; limit > 0 {
		from = max(from, c.replica.RetainedFrom(s.Index, limit))
	}
	if from > 0 {
		c.replica.Compact(from)
	}
	c.log.Emit(event.SnapshotSaved, event.Fields{"index": s.Index, "bytes": len(s.Data)}, "snapshot saved")
}

func (c *Core) stop() {
	for _, p := range c.pendingProposals {
		p.resolve(result{err: fault.New(fault.MaybeApplied, "the controller stopped before the change was confirmed")})
	}
	c.sched.reset()
	c.sessions.reset(clock.Now())
	if c.store == nil {
		return
	}
	if err := c.store.Close(); err != nil {
		c.log.Emit(event.DiskFailed, event.Fields{"error": err.Error()}, "failed to close the log")
	}
}

// DiskFailed returns a channel that is closed when the disk has failed for another
// reason than lack of space. The content of the disk is unknown until a restart reads it.
func (c *Core) DiskFailed() <-chan struct{} { return c.diskFailed }

// Propose proposes a command, if this controller leads, and waits until it is
// applied.
func (c *Core) Propose(ctx context.Context, cmd state.Command) (state.Outcome, error) {
	p := proposal{cmd: cmd, reply: make(chan result, 1)}
	select {
	case c.propose <- p:
	case <-c.stopped:
		return state.Outcome{}, fault.New(fault.NoLeader, "the controller has stopped")
	case <-ctx.Done():
		return state.Outcome{}, fault.Wrap(fault.NoLeader, ctx.Err(), "the controller is busy")
	}
	select {
	case r := <-p.reply:
		return r.outcome, r.err
	case <-ctx.Done():
		return state.Outcome{}, fault.Wrap(fault.MaybeApplied, ctx.Err(), "the change was not confirmed")
	}
}

// Deliver passes a message from another replica to the core.
func (c *Core) Deliver(ctx context.Context, m replica.Message) error {
	select {
	case c.messages <- m:
		return nil
	case <-c.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
