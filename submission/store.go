package submission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

// Retention is how long a submission is retained after its end.
const Retention = 150 * time.Second

// Task is the record of one task.
type Task struct {
	Runs        []Run    // active runs; more than one only in a speculative step
	LastRun     uint32   // number of the latest run
	FailedRuns  int      // ends as failed; for a gang, counted at index 0
	CountedRuns []uint32 // numbers of the latest runs whose end as failed is counted, at index 0 of a gang; never changed in place
	Done        bool
	Checkpoint  string    // latest checkpoint, from the end of a run
	Crashes     []Crash   // of workers under its runs, the latest last; never changed in place
	LateRuns    []LateRun // ended runs that may go on, the latest last; never changed in place
}

// Run is one active run.
type Run struct {
	Number  uint32
	Worker  string    // incarnation of the worker
	Started time.Time // log time of its start
	Settled bool      // no call to start the run that was made may still be carried out
}

// StepRecord is the record of a step in one occurrence.
type StepRecord struct {
	Tasks        []Task
	DoneTasks    int // tasks that are done
	waitingTasks int // tasks that are neither done nor have an active run
}

// WaitingTasks returns the number of tasks that are neither done nor have an
// active run.
func (r *StepRecord) WaitingTasks() int { return r.waitingTasks }

// RepeatedFailures is the number of failed runs from which a task counts as
// repeatedly failed. A task that can succeed fails up to one time in twenty.
const RepeatedFailures = 2

// Submission is a submission with its state and the records of its tasks.
type Submission struct {
	Spec
	Service       string        // whose workers run it, according to the latest table that has its queue
	Priority      int           // of its queue
	MaxAttempts   int           // of its queue
	Slack         float64       // of its queue
	BaseObjective time.Duration // of its queue
	NeedsAdvice   bool          // its queue has an advice service

	Accepted     time.Time // log time
	Sequence     uint64    // order of acceptance
	State        State
	EndedAt      time.Time
	StepRecords  [][]StepRecord // by occurrence and step
	activeRuns   int
	waitingTasks int // tasks that are neither done nor have an active run
	failingTasks int // repeatedly failed tasks that are not done; none of long-running steps
}

// FailingTasks returns the number of tasks that have failed repeatedly and are not
// done. Long-running tasks do not count.
func (s *Submission) FailingTasks() int { return s.failingTasks }

// WaitingTasks returns the number of tasks that are neither done nor have an
// active run.
func (s *Submission) WaitingTasks() int { return s.waitingTasks }

// ActiveRuns returns the number of runs that have not ended.
func (s *Submission) ActiveRuns() int { return s.activeRuns }

// Ready reports whether the tasks of a step may start at the wall-clock time now:
// the occurrence is due and the steps that the step depends on are done.
func (s *Submission) Ready(occurrence, step int, now time.Time) bool {
	if due := s.DueAt(occurrence); !due.IsZero() && now.Before(due) {
		return false
	}
	for _, d := range s.Steps[step].DependsOn {
		if s.StepRecords[occurrence][d].DoneTasks < s.Steps[d].Count {
			return false
		}
	}
	return true
}

// Usage sums up the active runs on a worker.
type Usage struct {
	Reserved      Resources
	RequestedCPU  int64 // requested CPU, reserved or not; thousandths of a core
	Runs          map[RunID]*Submission
	ServiceCPU    int64          // CPU that service tasks request; thousandths of a core
	ServiceRuns   int            // runs of service tasks
	BatchRuns     int            // runs of batch tasks with an image
	ServiceImages map[string]int // runs of service tasks, by image
	isolations    map[RunID]isolation
}

// Store holds all submissions. The zero value is empty and ready. It is not
// safe for concurrent use.
type Store struct {
	all          map[string]*Submission
	unended      map[string]*Submission
	waiting      map[string]*Submission // not ended, with waiting tasks
	usage        map[string]*Usage      // by worker incarnation
	lastSequence uint64
	unendedBytes int64             // about what the unended submissions take in memory
	lateRuns     map[RunID]LateRun // of tasks that are not done
	serviceCPU   map[string]int64  // that the service tasks of unended submissions request, by service; thousandths of a core
}

// ServiceCPU returns the CPU that all service tasks of a service's unended
// submissions request, whether they run or wait, in thousandths of a core.
func (store *Store) ServiceCPU(service string) int64 { return store.serviceCPU[service] }

// SetService changes the service whose workers run an unended submission.
func (store *Store) SetService(s *Submission, service string) {
	store.addServiceCPU(s, -1)
	s.Service = service
	store.addServiceCPU(s, 1)
}

// addServiceCPU adds the CPU of a submission's service tasks to the sum of its
// service, or subtracts it if sign is -1.
func (store *Store) addServiceCPU(s *Submission, sign int64) {
	for i := range s.Steps {
		if step := &s.Steps[i]; step.IsService() {
			store.serviceCPU[s.Service] += sign * int64(step.Count) * step.Needs.CPU
		}
	}
}

// Submission returns the submission with the identifier. The caller must not
// change it.
func (store *Store) Submission(id string) (*Submission, bool) {
	s, ok := store.all[id]
	return s, ok
}

// Len returns the number of stored submissions.
func (store *Store) Len() int { return len(store.all) }

// UnendedCount returns the number of submissions that have not ended.
func (store *Store) UnendedCount() int { return len(store.unended) }

// UnendedBytes returns about how much memory the submissions take that have not
// ended.
func (store *Store) UnendedBytes() int64 { return store.unendedBytes }

// LargeBytes returns about how much memory the stored submissions take that take
// more than least each.
func (store *Store) LargeBytes(least int64) int64 {
	var n int64
	for _, s := range store.all {
		if b := s.Bytes(); b > least {
			n += b
		}
	}
	return n
}

// Unended returns the submissions that have not ended, in order of acceptance.
func (store *Store) Unended() []*Submission {
	return slices.SortedFunc(maps.Values(store.unended), compareAcceptance)
}

// EachWaiting calls f with each submission that has not ended and has waiting
// tasks, in the order of acceptance.
func (store *Store) EachWaiting(f func(*Submission)) {
	for _, s := range slices.SortedFunc(maps.Values(store.waiting), compareAcceptance) {
		f(s)
	}
}

func compareAcceptance(a, b *Submission) int { return cmp.Compare(a.Sequence, b.Sequence) }

// updateWaiting updates the index of submissions with waiting tasks.
func (store *Store) updateWaiting(s *Submission) {
	if s.waitingTasks > 0 && !s.State.Ended() {
		store.waiting[s.ID] = s
		return
	}
	delete(store.waiting, s.ID)
}

// All returns all submissions in order of acceptance.
func (store *Store) All() []*Submission {
	return slices.SortedFunc(maps.Values(store.all), compareAcceptance)
}

// Copies returns copies of all submissions in order of acceptance. Later changes
// to the originals leave the copies as they are.
func (store *Store) Copies() []*Submission {
	all := store.All()
	for i, s := range all {
		c := *s
		c.StepRecords = make([][]StepRecord, len(s.StepRecords))
		for k, steps := range s.StepRecords {
			c.StepRecords[k] = make([]StepRecord, len(steps))
			for j, rec := range steps {
				c.StepRecords[k][j] = StepRecord{Tasks: append([]Task(nil), rec.Tasks...), DoneTasks: rec.DoneTasks}
			}
		}
		all[i] = &c
	}
	return all
}

// Usage returns the usage of a worker incarnation, or nil if it has no active runs.
func (store *Store) Usage(worker string) *Usage { return store.usage[worker] }

// Incarnations returns the worker incarnations that have active runs.
func (store *Store) Incarnations() []string {
	return slices.Sorted(maps.Keys(store.usage))
}

// Pending returns how many submissions of a queue wait for the first start of a task.
// The start that is recorded may not have been carried out yet: hasStarted reports whether
// a worker is known to have started a run of the submission.
func (store *Store) Pending(queue string, hasStarted func(id string) bool) int {
	n := 0
	for _, s := range store.unended {
		if s.Queue == queue && !s.hasDoneTask() && !hasStarted(s.ID) {
			n++
		}
	}
	return n
}

func (s *Submission) hasDoneTask() bool {
	for _, steps := range s.StepRecords {
		for i := range steps {
			if steps[i].DoneTasks > 0 {
				return true
			}
		}
	}
	return false
}

// Submit adds a submission. If its identifier is already stored, Submit changes
// nothing and returns true.
func (store *Store) Submit(s Submission, now time.Time) (repeated bool) {
	if _, ok := store.all[s.ID]; ok {
		return true
	}
	store.lastSequence++
	s.Sequence = store.lastSequence
	s.Accepted = now
	s.State = Queued
	s.StepRecords = make([][]StepRecord, s.Occurrences())
	for k := range s.StepRecords {
		s.StepRecords[k] = make([]StepRecord, len(s.Steps))
		for i := range s.Steps {
			s.StepRecords[k][i].Tasks = make([]Task, s.Steps[i].Count)
		}
	}
	store.Put(&s)
	return false
}

// Put stores a submission, for example from a snapshot.
func (store *Store) Put(s *Submission) {
	if store.all == nil {
		store.all = make(map[string]*Submission)
		store.unended = make(map[string]*Submission)
		store.waiting = make(map[string]*Submission)
		store.usage = make(map[string]*Usage)
		store.serviceCPU = make(map[string]int64)
		store.lateRuns = make(map[RunID]LateRun)
	}
	store.all[s.ID] = s
	store.lastSequence = max(store.lastSequence, s.Sequence)
	if !s.State.Ended() {
		store.unended[s.ID] = s
		store.unendedBytes += s.Bytes()
		store.addServiceCPU(s, 1)
	}
	s.activeRuns, s.waitingTasks, s.failingTasks = 0, 0, 0
	for k := range s.StepRecords {
		for i := range s.StepRecords[k] {
			s.StepRecords[k][i].waitingTasks = 0
			for x := range s.StepRecords[k][i].Tasks {
				store.addTask(s, TaskID{Submission: s.ID, Occurrence: k, Step: i, Index: x})
			}
		}
	}
	store.updateWaiting(s)
}

// addTask adds a stored task to the sums.
func (store *Store) addTask(s *Submission, id TaskID) {
	t := s.task(id)
	if !t.Done && len(t.Runs) == 0 {
		s.addWaiting(id, 1)
	}
	if !t.Done && t.FailedRuns >= RepeatedFailures && !s.Steps[id.Step].LongRunning {
		s.failingTasks++
	}
	for _, r := range t.Runs {
		store.addUsage(s, id, r)
	}
	if !t.Done && !s.State.Ended() {
		for _, l := range t.LateRuns {
			store.lateRuns[RunID{Task: id, Number: l.Number}] = l
		}
	}
}

// addWaiting changes the number of waiting tasks of a task's step.
func (s *Submission) addWaiting(id TaskID, n int) {
	s.waitingTasks += n
	s.StepRecords[id.Occurrence][id.Step].waitingTasks += n
}

func (s *Submission) task(id TaskID) *Task {
	return &s.StepRecords[id.Occurrence][id.Step].Tasks[id.Index]
}

// Task returns the record of a task, or nil if there is none.
func (s *Submission) Task(id TaskID) *Task {
	if id.Occurrence < 0 || id.Occurrence >= len(s.StepRecords) || id.Step < 0 || id.Step >= len(s.Steps) ||
		id.Index < 0 || id.Index >= s.Steps[id.Step].Count {
		return nil
	}
	return s.task(id)
}

// addUsage adds a run of a task to the usage of its worker.
func (store *Store) addUsage(s *Submission, id TaskID, r Run) {
	u := store.usage[r.Worker]
	if u == nil {
		u = &Usage{Runs: make(map[RunID]*Submission), ServiceImages: make(map[string]int)}
		store.usage[r.Worker] = u
	}
	step, run := &s.Steps[id.Step], RunID{Task: id, Number: r.Number}
	u.Runs[run] = s
	u.addIsolation(step.Isolation(s.task(id)), run, r.Started)
	u.Reserved = u.Reserved.Add(step.Reserved())
	u.RequestedCPU += step.Needs.CPU
	switch {
	case step.IsService():
		u.ServiceRuns++
		u.ServiceCPU += step.Needs.CPU
		u.ServiceImages[step.Image]++
	case step.IsBatch():
		u.BatchRuns++
	}
	s.activeRuns++
}

// removeUsage is the inverse of addUsage.
func (store *Store) removeUsage(s *Submission, run RunID, worker string) {
	u := store.usage[worker]
	step := &s.Steps[run.Task.Step]
	delete(u.Runs, run)
	delete(u.isolations, run)
	u.Reserved = u.Reserved.Sub(step.Reserved())
	u.RequestedCPU -= step.Needs.CPU
	switch {
	case step.IsService():
		u.ServiceRuns--
		u.ServiceCPU -= step.Needs.CPU
		if u.ServiceImages[step.Image]--; u.ServiceImages[step.Image] == 0 {
			delete(u.ServiceImages, step.Image)
		}
	case step.IsBatch():
		u.BatchRuns--
	}
	if len(u.Runs) == 0 {
		delete(store.usage, worker)
	}
	s.activeRuns--
}

// Cancel ends a submission for its caller. Its active runs stay active until their
// ends are recorded. Cancelling an ended submission changes nothing.
func (store *Store) Cancel(id string, now time.Time) error {
	s, ok := store.all[id]
	if !ok {
		return fault.New(fault.JobNotFound, "no submission %q", id)
	}
	if !s.State.Ended() {
		store.endSubmission(s, Cancelled, now)
	}
	return nil
}

func (store *Store) endSubmission(s *Submission, state State, now time.Time) {
	s.State = state
	s.EndedAt = now
	delete(store.unended, s.ID)
	store.unendedBytes -= s.Bytes()
	store.addServiceCPU(s, -1)
	store.updateWaiting(s)
	store.dropLateRuns(s)
}

// Start records starts and returns the starts that it recorded. It checks each
// start separately and skips a start that contradicts the record. The members of
// a gang must be proposed together while none has an active run. All of them are
// then recorded, or none.
func (store *Store) Start(starts []Start, now time.Time) []Start {
	recorded := make([]Start, 0, len(starts))
	for _, st := range starts {
		s, ok := store.all[st.Run.Task.Submission]
		if !ok || !s.canStart(st.Run) {
			continue
		}
		t := s.task(st.Run.Task)
		if len(t.Runs) == 0 {
			s.addWaiting(st.Run.Task, -1)
			store.updateWaiting(s)
		}
		r := Run{Number: st.Run.Number, Worker: st.Worker, Started: now}
		t.Runs = append(t.Runs[:len(t.Runs):len(t.Runs)], r)
		t.LastRun = r.Number
		store.addUsage(s, st.Run.Task, r)
		if s.State == Queued {
			s.State = Running
		}
		recorded = append(recorded, st)
	}
	return recorded
}

// canStart repeats the checks of the proposer of the start, because the record may
// have changed in between.
func (s *Submission) canStart(run RunID) bool {
	t := s.Task(run.Task)
	if t == nil || s.State.Ended() || t.Done || run.Number <= t.LastRun {
		return false
	}
	if len(t.Runs) > 0 && !s.Steps[run.Task.Step].Speculative {
		return false
	}
	for _, d := range s.Steps[run.Task.Step].DependsOn {
		if s.StepRecords[run.Task.Occurrence][d].DoneTasks < s.Steps[d].Count {
			return false
		}
	}
	return true
}

// EndAll records the ends of runs, in order. The runs that were lost in one crash
// must be recorded together: which of them may have caused it depends on the others.
func (store *Store) EndAll(ends []End, now time.Time) {
	crashes := store.latestStartsOfCrashes(ends)
	for _, e := range ends {
		store.end(e, crashes[e.Worker], now)
	}
}

// End records the end of a run. It returns false if the run is not active, unless it
// completes its task late.
func (store *Store) End(e End, now time.Time) bool {
	return store.end(e, store.latestStartsOfCrashes([]End{e})[e.Worker], now)
}

// end records the end of a run. latest is that of its worker if that has crashed.
func (store *Store) end(e End, latest *LatestStarts, now time.Time) bool {
	s, ok := store.all[e.Run.Task.Submission]
	if !ok {
		return false
	}
	t := s.Task(e.Run.Task)
	if t == nil {
		return false
	}
	r, ok := store.removeRun(s, t, e)
	if !ok {
		if e.Reason != Done || !s.CompletesLate(e.Run) {
			return false
		}
		store.markDone(s, e, now)
		store.updateWaiting(s)
		return true
	}
	if e.Reason != Done {
		store.addLateRun(s, e)
	}
	if e.Checkpoint != "" {
		s.saveCheckpoint(e)
	}
	if !t.Done && len(t.Runs) == 0 {
		s.addWaiting(e.Run.Task, 1)
	}
	switch e.Reason {
	case Done:
		store.markDone(s, e, now)
	case Failed:
		s.countFailure(e)
		store.failIfOutOfAttempts(s, e, now)
	case Crashed:
		store.recordCrash(s, e, latest.isAlone(s.ID, r.Started), now)
	case LeaseExpired, Lost:
		store.recordLoss(s, e, r.Started, now)
	}
	if (e.Reason == Stopped || e.Reason == Failed) && now.Sub(r.Started) >= _survivalTime {
		t.forgetPromptCrashes()
	}
	store.updateWaiting(s)
	return true
}

// removeRun removes and returns an active run. ok is false if there is none.
func (store *Store) removeRun(s *Submission, t *Task, e End) (r Run, ok bool) {
	for i, r := range t.Runs {
		if r.Number == e.Run.Number && r.Worker == e.Worker {
			t.Runs = append(t.Runs[:i:i], t.Runs[i+1:]...)
			store.removeUsage(s, e.Run, e.Worker)
			return r, true
		}
	}
	return Run{}, false
}

// saveCheckpoint records a checkpoint. A checkpoint of one member of a gang is
// valid for all members.
func (s *Submission) saveCheckpoint(e End) {
	if !s.Steps[e.Run.Task.Step].Gang {
		s.task(e.Run.Task).Checkpoint = e.Checkpoint
		return
	}
	tasks := s.StepRecords[e.Run.Task.Occurrence][e.Run.Task.Step].Tasks
	for i := range tasks {
		tasks[i].Checkpoint = e.Checkpoint
	}
}

// markDone records that a run has completed its task.
func (store *Store) markDone(s *Submission, e End, now time.Time) {
	rec := &s.StepRecords[e.Run.Task.Occurrence][e.Run.Task.Step]
	step := &s.Steps[e.Run.Task.Step]
	if step.LongRunning {
		return // a long-running task is restarted, whatever the reason of its end
	}
	first, last := e.Run.Task.Index, e.Run.Task.Index
	if step.Gang { // the end of one member completes all tasks
		first, last = 0, step.Count-1
	}
	for i := first; i <= last; i++ {
		if rec.Tasks[i].Done {
			continue
		}
		if len(rec.Tasks[i].Runs) == 0 {
			s.addWaiting(e.Run.Task, -1)
		}
		if rec.Tasks[i].FailedRuns >= RepeatedFailures {
			s.failingTasks--
		}
		rec.Tasks[i].Done = true
		rec.DoneTasks++
	}
	store.dropLateRuns(s)
	if !s.State.Ended() && s.allTasksDone() {
		store.endSubmission(s, Completed, now)
	}
}

func (s *Submission) allTasksDone() bool {
	for k := range s.StepRecords {
		for i := range s.Steps {
			if s.StepRecords[k][i].DoneTasks < s.Steps[i].Count {
				return false
			}
		}
	}
	return true
}

// _maxCountedRuns bounds the common runs that are remembered: the members of a gang have few
// active runs at a time.
const _maxCountedRuns = 8

// countFailure counts a failed run. Failures of a gang are counted at index 0. Each end as failed
// counts; a leader proposes one for each common run: see IsFailureCounted.
func (s *Submission) countFailure(e End) {
	step := &s.Steps[e.Run.Task.Step]
	t := s.task(e.Run.Task)
	if step.Gang {
		t = &s.StepRecords[e.Run.Task.Occurrence][e.Run.Task.Step].Tasks[0]
		kept := t.CountedRuns[max(0, len(t.CountedRuns)+1-_maxCountedRuns):]
		t.CountedRuns = append(slices.Clone(kept), e.Run.Number)
	}
	t.FailedRuns++
	if t.FailedRuns == RepeatedFailures && !t.Done && !step.LongRunning {
		s.failingTasks++
	}
}

// IsFailureCounted reports whether the end of another member's run as failed is counted for a
// common run of a gang.
func (s *Submission) IsFailureCounted(run RunID) bool {
	return slices.Contains(s.StepRecords[run.Task.Occurrence][run.Task.Step].Tasks[0].CountedRuns, run.Number)
}

// failIfOutOfAttempts ends the submission if the task or its gang has used up its
// attempts.
func (store *Store) failIfOutOfAttempts(s *Submission, e End, now time.Time) {
	step := &s.Steps[e.Run.Task.Step]
	if s.State.Ended() || step.LongRunning {
		return
	}
	rec := &s.StepRecords[e.Run.Task.Occurrence][e.Run.Task.Step]
	t := &rec.Tasks[e.Run.Task.Index]
	if step.Gang {
		t = &rec.Tasks[0]
	}
	if !t.Done && t.FailedRuns >= max(s.MaxAttempts, 1) {
		store.endSubmission(s, OutOfAttempts, now)
	}
}

// Runs returns the active runs with their workers.
func (s *Submission) Runs() []Start {
	if s.activeRuns == 0 {
		return nil
	}
	out := make([]Start, 0, s.activeRuns)
	for k, steps := range s.StepRecords {
		for i := range steps {
			for x := range steps[i].Tasks {
				id := TaskID{Submission: s.ID, Occurrence: k, Step: i, Index: x}
				for _, r := range steps[i].Tasks[x].Runs {
					out = append(out, Start{Run: RunID{Task: id, Number: r.Number}, Worker: r.Worker})
				}
			}
		}
	}
	return out
}

// RunsDoneWith returns the active runs that a task's completion makes surplus: those of the
// task, or of all members of its gang.
func (s *Submission) RunsDoneWith(id TaskID) []Start {
	if s.Task(id) == nil {
		return nil
	}
	first, last := id.Index, id.Index
	if s.Steps[id.Step].Gang {
		first, last = 0, s.Steps[id.Step].Count-1
	}
	var out []Start
	for id.Index = first; id.Index <= last; id.Index++ {
		for _, r := range s.task(id).Runs {
			out = append(out, Start{Run: RunID{Task: id, Number: r.Number}, Worker: r.Worker})
		}
	}
	return out
}

// ActiveOn returns the worker on which a run is recorded as active, or "".
func (s *Submission) ActiveOn(run RunID) string {
	if t := s.Task(run.Task); t != nil {
		for _, r := range t.Runs {
			if r.Number == run.Number {
				return r.Worker
			}
		}
	}
	return ""
}

// CompletesLate reports whether a run that is not active any more completes its task if it
// has ended as done: its end was recorded without that knowledge.
func (s *Submission) CompletesLate(run RunID) bool {
	t := s.Task(run.Task)
	return t != nil && !t.Done && !s.State.Ended() && !s.Steps[run.Task.Step].LongRunning &&
		run.Number > 0 && run.Number <= t.LastRun && s.ActiveOn(run) == ""
}

// Settle records whether a call to start runs may still be carried out; if settled, none may.
// A run that has ended and is settled does not go on.
func (store *Store) Settle(runs []RunID, settled bool) {
	for _, run := range runs {
		s, ok := store.all[run.Task.Submission]
		if !ok {
			continue
		}
		t, i := s.activeRun(run)
		if i < 0 && settled {
			store.removeLateRun(s, run)
		}
		if i < 0 || t.Runs[i].Settled == settled {
			continue
		}
		t.Runs = slices.Clone(t.Runs) // a snapshot may share the former ones
		t.Runs[i].Settled = settled
	}
}

// IsSettled reports whether an active run is recorded as settled.
func (s *Submission) IsSettled(run RunID) bool {
	t, i := s.activeRun(run)
	return i >= 0 && t.Runs[i].Settled
}

// activeRun returns the record of a run's task and the index of the run there, or -1 if the
// run is not active.
func (s *Submission) activeRun(run RunID) (*Task, int) {
	t := s.Task(run.Task)
	if t == nil {
		return nil, -1
	}
	return t, slices.IndexFunc(t.Runs, func(r Run) bool { return r.Number == run.Number })
}

// IsSurplus reports whether an active run is no longer needed: its submission has
// ended, or another run has completed the task.
func (s *Submission) IsSurplus(run RunID) bool {
	t := s.Task(run.Task)
	return s.State.Ended() || t == nil || t.Done
}

// Prune drops submissions whose retention has expired and that have no active run.
func (store *Store) Prune(now time.Time) {
	for id, s := range store.all {
		if s.State.Ended() && now.Sub(s.EndedAt) >= Retention && s.activeRuns == 0 {
			delete(store.all, id)
		}
	}
}
