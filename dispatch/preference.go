package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/estimate"
	"github.com/gentianrail/gentianrail/locality"
	"github.com/gentianrail/gentianrail/submission"
)

// Bounds of the search for capacity of racks, so that a decision does not become more
// expensive with the number of workers.
const (
	_maxRacks       = 16  // compared for the first task of a rack-local step
	_maxRackScanned = 256 // workers that are looked at to find these racks
	_maxRackWorkers = 64  // examined on each rack
	_maxSlots       = 512 // expected slots of one rack
)

const _preferencesPruneInterval = 5 * time.Second

// preferences is what the scheduler knows of tasks that wait for the rack where they run
// fastest. The zero value is ready to use: nothing waits.
type preferences struct {
	penalty   float64 // factor by which tasks run longer elsewhere; 0 if it is not known
	decide    func(locality.Input) locality.Decision
	since     Clocks // of the first round under this leader; zero before it
	waits     map[submission.TaskID]*rackWait
	idleSince map[string]time.Time // end of the latest run of submissions without active runs, by submission
	stepRacks map[StepID]stepRack  // of rack-local steps
	counts    PreferenceCounts
	prunedAt  time.Time
}

// stepRack is where the runs of a rack-local step are.
type stepRack struct {
	rack  string // of the first run
	split bool   // runs are on several racks
}

// rackWait is the wait of a task, or of a gang under its first task.
type rackWait struct {
	rack     string
	used     time.Duration // in earlier waits
	since    time.Time     // when the present wait began; zero if the task does not wait
	until    time.Time     // as decided last
	bound    time.Duration // of all waits together
	expected time.Duration // until the rack has capacity, as estimated last
	reason   locality.Reason
}

// usedAt returns the time for which the task has waited. The time from the first decision
// to wait to the record of the start counts, whatever prevented the start.
func (w *rackWait) usedAt(now time.Time) time.Duration {
	if w.since.IsZero() {
		return w.used
	}
	return w.used + now.Sub(w.since)
}

// PreferenceCounts counts the waits for preferred racks.
type PreferenceCounts struct {
	Waits     int64 // begun
	Preferred int64 // ended by a start on the preferred rack
	Elsewhere int64 // ended by a start elsewhere
}

// SetRemotePenalty sets the factor by which tasks run longer away from the rack that stores
// their data, or on several racks if they are rack-local. With a factor of at most 1 no
// task waits for its rack.
func (s *Scheduler) SetRemotePenalty(factor float64) { s.preferences.penalty = factor }

// PreferenceCounts returns the counts of waits for preferred racks since the start of the
// process.
func (s *Scheduler) PreferenceCounts() PreferenceCounts { return s.preferences.counts }

func (f *preferences) isEnabled() bool { return f.penalty > 1 }

// reset forgets the waits. Under a new leader they begin anew, and those of older
// submissions count as begun with its first round.
func (f *preferences) reset() {
	*f = preferences{penalty: f.penalty, decide: f.decide, counts: f.counts}
}

// beginRound records the first round under this leader and drops what is not needed any more
// from time to time.
func (f *preferences) beginRound(at Clocks, store *submission.Store) {
	if f.since.Now.IsZero() {
		f.since, f.prunedAt = at, at.Now
	}
	if at.Now.Sub(f.prunedAt) >= _preferencesPruneInterval {
		f.prunedAt = at.Now
		f.prune(store)
	}
}

// prune drops the waits of tasks that are done and of submissions that have ended.
func (f *preferences) prune(store *submission.Store) {
	ended := func(id string) bool {
		sub, ok := store.Submission(id)
		return !ok || sub.State.Ended()
	}
	maps.DeleteFunc(f.waits, func(id submission.TaskID, _ *rackWait) bool {
		if ended(id.Submission) {
			return true
		}
		sub, _ := store.Submission(id.Submission)
		return sub.Task(id).Done && !sub.Steps[id.Step].Gang
	})
	maps.DeleteFunc(f.idleSince, func(id string, _ time.Time) bool { return ended(id) })
	maps.DeleteFunc(f.stepRacks, func(id StepID, _ stepRack) bool { return ended(id.Submission) })
}

// wait returns the wait of a task, which is new if the task has not waited yet. A task of a
// submission that an earlier leader accepted may have waited under that leader: its wait
// counts as begun with the first round under this one.
func (f *preferences) wait(at Clocks, sub *submission.Submission, id submission.TaskID) rackWait {
	if w := f.waits[id]; w != nil {
		return *w
	}
	var w rackWait
	due := sub.DueAt(id.Occurrence)
	if _, ended := f.idleSince[sub.ID]; sub.Accepted.Before(f.since.Log) && !ended && !due.After(f.since.Wall) {
		w.used = max(at.Now.Sub(f.since.Now), 0)
	}
	return w
}

func (f *preferences) record(id submission.TaskID, w rackWait) {
	if f.waits == nil {
		f.waits = make(map[submission.TaskID]*rackWait)
	}
	f.waits[id] = &w
}

// recordPreferredStart records that a start has been recorded.
func (s *Scheduler) recordPreferredStart(now time.Time, store *submission.Store, st submission.Start) {
	f := &s.preferences
	if !f.isEnabled() {
		return
	}
	sub, ok := store.Submission(st.Run.Task.Submission)
	if !ok {
		return
	}
	delete(f.idleSince, sub.ID)
	task, step := st.Run.Task, &sub.Steps[st.Run.Task.Step]
	rack, known := s.rackOf(st.Worker)
	if step.RackLocal && known {
		f.addStepRack(stepOf(task), rack)
	}
	w := f.waits[task]
	if w == nil || w.since.IsZero() {
		return
	}
	w.used, w.since = w.usedAt(now), time.Time{}
	if rack != w.rack {
		f.counts.Elsewhere++
	} else {
		f.counts.Preferred++
	}
}

func (f *preferences) addStepRack(id StepID, rack string) {
	if f.stepRacks == nil {
		f.stepRacks = make(map[StepID]stepRack)
	}
	r, ok := f.stepRacks[id]
	if !ok {
		r.rack = rack
	}
	r.split = r.split || r.rack != rack
	f.stepRacks[id] = r
}

func stepOf(id submission.TaskID) StepID {
	return StepID{Submission: id.Submission, Occurrence: id.Occurrence, Step: id.Step}
}

// recordPreferredEnd records that the end of a run of a task has been recorded.
func (s *Scheduler) recordPreferredEnd(now time.Time, sub *submission.Submission, id submission.TaskID) {
	if !s.preferences.isEnabled() {
		return
	}
	if rec := &sub.StepRecords[id.Occurrence][id.Step]; rec.WaitingTasks()+rec.DoneTasks == len(rec.Tasks) {
		delete(s.preferences.stepRacks, stepOf(id))
	}
	if sub.ActiveRuns() > 0 {
		return
	}
	if s.preferences.idleSince == nil {
		s.preferences.idleSince = make(map[string]time.Time)
	}
	s.preferences.idleSince[sub.ID] = now
}

func (s *Scheduler) rackOf(incarnation string) (string, bool) {
	n := s.pool.nodes[incarnation]
	if n == nil {
		return "", false
	}
	return n.Rack, true
}

// slowdown returns the factor by which a task runs longer on a worker than on its
// preferred rack.
func (s *Scheduler) slowdown(sub *submission.Submission, id submission.TaskID, incarnation string) float64 {
	if !s.preferences.isEnabled() {
		return 1
	}
	step := &sub.Steps[id.Step]
	rack, known := s.rackOf(incarnation)
	if known && step.DataRack != "" && step.DataRack != rack || step.RackLocal && s.preferences.stepRacks[stepOf(id)].split {
		return s.preferences.penalty
	}
	return 1
}

// preference is the state of the decisions about the tasks of one placement.
type preference struct {
	rack     string // for the first task of a rack-local step; empty for none
	rejected bool   // the step's other tasks do not wait either
	slots    []locality.Slot
	workers  []*node // of the slots
	searched bool    // slots is set
	used     int     // slots for which tasks wait
	waiting  int     // tasks that wait
	// The round had a start of the submission before the placement.
	startedBefore bool
}

// expectedRun is a run on a rack with its expected end.
type expectedRun struct {
	end  locality.Times
	step *submission.Step
}

// rackWaiter is a task that waits for a worker ahead of other steps.
type rackWaiter struct {
	step *submission.Step
	in   time.Duration // expected start
	runs time.Duration // expected run time
}

// mayPrefer reports whether the tasks of the step may wait for a rack. Steps that need
// tickets do not: whether a worker of the rack will be approved is not known.
func (p *placement) mayPrefer() bool {
	return p.preferences.isEnabled() && !p.step.LongRunning && !p.ws.sub.NeedsAdvice && (p.step.RackLocal || p.step.DataRack != "")
}

// preferRack chooses the rack for the first task of a rack-local step: the one that can
// hold all tasks, now or the soonest.
func (p *placement) preferRack(rec *submission.StepRecord) {
	if !p.preferences.isEnabled() || !p.step.RackLocal || p.step.DataRack != "" || len(p.onRack) > 0 {
		return
	}
	tasks := min(rec.WaitingTasks(), _maxSlots)
	var options []rackOption
	room := 0
	for _, rack := range p.searchRacks() {
		slots, _ := p.rackSlots(rack, min(2*tasks, _maxSlots), false)
		o := rackOption{rack: rack, holds: locality.Never, now: min(len(slots), tasks), surplus: max(len(slots)-tasks, 0)}
		if o.now == tasks {
			o.holds = 0
		}
		options, room = append(options, o), room+o.now
	}
	if room == 0 || p.step.Gang && room < tasks {
		return // nothing starts now
	}
	if !slices.ContainsFunc(options, func(o rackOption) bool { return o.holds == 0 }) {
		for i := range options {
			if slots, _ := p.rackSlots(options[i].rack, tasks, true); len(slots) == tasks {
				options[i].holds = slots[tasks-1].In
			}
		}
	}
	p.preference.rack = slices.MinFunc(options, func(a, b rackOption) int {
		return cmp.Or(cmp.Compare(a.holds, b.holds), cmp.Compare(b.now, a.now), cmp.Compare(a.surplus, b.surplus), cmp.Compare(a.rack, b.rack))
	}).rack
}

// rackOption is a rack that may be chosen for a rack-local step.
type rackOption struct {
	rack    string
	holds   time.Duration // until the rack holds all tasks; locality.Never if that is unknown
	now     int           // tasks that it holds now
	surplus int           // further tasks that it holds now, up to as many as the step has
}

// searchRacks returns up to _maxRacks racks of workers on which the step's tasks may run
// at some time, those of workers with the most free CPU first.
func (p *placement) searchRacks() []string {
	service := p.pool.services[p.ws.sub.Service]
	if service == nil {
		return nil
	}
	lists := [][]*node{service.byLabel[p.step.Requirement]}
	if p.step.Requirement == "" {
		buckets := &service.byFree
		if p.step.UnreservedCPU {
			buckets = &service.byIdle
		}
		lists = buckets[:]
	}
	var out []string
	seen := make(map[string]bool)
	scanned := 0
	for i := len(lists) - 1; i >= 0; i-- {
		for k := range lists[i] {
			n := lists[i][(service.cursor+k)%len(lists[i])]
			if !seen[n.Rack] {
				seen[n.Rack] = true
				out = append(out, n.Rack)
			}
			if scanned++; scanned == _maxRackScanned || len(out) == _maxRacks {
				return out
			}
		}
	}
	return out
}

// rackSlots returns when the rack's workers are expected to have room for the next tasks
// of the step, at most count, and the workers by the index in the slots. It takes the tasks
// into account that started or began to wait earlier in the round. Without later, it
// returns only the room that there is now.
func (p *placement) rackSlots(rack string, count int, later bool) ([]locality.Slot, []*node) {
	service := p.pool.services[p.ws.sub.Service]
	if service == nil {
		return nil, nil
	}
	list := service.byRack[rack]
	nodes := make([]*node, 0, min(len(list), _maxRackWorkers))
	workers := make([]locality.Worker, 0, cap(nodes))
	for _, n := range list[:min(len(list), _maxRackWorkers)] {
		switch p.obstacle(n, p.ws.sub, p.step, p.onWorker[n.Incarnation]) {
		case 0, NoCPU, NoMemory, NoGPU:
		default:
			continue
		}
		if p.step.IsBatch() && (n.serviceRuns > 0 && !p.toleratesBatchTask(p.step, n) || p.isKeptForService(n)) || !p.isApproved(p.ws, n) {
			continue // whether and when that changes is not known
		}
		nodes, workers = append(nodes, n), append(workers, p.expectedCapacity(n, later))
	}
	return locality.Slots(workers, p.step.Needs, count), nodes
}

// freedFor returns the resources that the end of a run of a step makes available to the
// placement's tasks.
func (p *placement) freedFor(step *submission.Step) submission.Resources {
	r := step.Reserved()
	if p.step.UnreservedCPU {
		r.CPU = step.Needs.CPU
		if step.IsService() {
			r.CPU = expectedServiceCPU(step.Needs.CPU)
		}
	}
	return r
}

// expectedCapacity returns the free resources of a worker for the step's tasks and, with
// later, the expected ends of its runs.
func (p *placement) expectedCapacity(n *node, later bool) locality.Worker {
	w := locality.Worker{Free: n.free, MaxTasks: -1}
	if p.step.UnreservedCPU {
		w.Free.CPU = n.idleCPU
	} else if p.keepsHeadroom(n) && p.mustLeaveHeadroom(n, p.ws.sub, p.step) {
		w.Free.CPU -= n.headroom()
	}
	if p.step.MaxPerWorker > 0 {
		w.MaxTasks = max(p.step.MaxPerWorker-p.onWorker[n.Incarnation], 0)
	}
	if !later {
		return w
	}
	for _, e := range p.expectedRuns(n) {
		w.Ends = append(w.Ends, locality.End{In: e.end, Frees: p.freedFor(e.step)})
	}
	if len(n.roundStarts) > 0 {
		for _, st := range p.starts {
			if st.Worker != n.Incarnation {
				continue
			}
			sub := p.submissionOf(st)
			if end, ok := p.expectedEnd(sub, st.Run, n.Incarnation, p.at.Log, len(w.Ends)); ok {
				w.Ends = append(w.Ends, locality.End{In: end, Frees: p.freedFor(&sub.Steps[st.Run.Task.Step])})
			}
		}
	}
	for _, a := range p.rackWaiters[n] {
		freed := p.freedFor(a.step)
		w.Free = w.Free.Sub(freed)
		w.Ends = append(w.Ends, locality.End{In: locality.Constant(a.in + a.runs), Frees: freed})
	}
	return w
}

// submissionOf returns the submission of a start of the round.
func (r *round) submissionOf(st submission.Start) *submission.Submission {
	if id := st.Run.Task.Submission; r.trial == nil || id != r.trial.ID {
		sub, _ := r.store.Submission(id)
		return sub
	}
	return r.trial
}

// expectedRuns returns the recorded runs of a worker with their expected ends. They are
// collected once in a round.
func (r *round) expectedRuns(n *node) []expectedRun {
	if out, ok := r.rackRuns[n]; ok {
		return out
	}
	var out []expectedRun
	if u := r.store.Usage(n.Incarnation); u != nil {
		for i, id := range slices.SortedFunc(maps.Keys(u.Runs), compareRuns) { // equal inputs give equal decisions
			sub := u.Runs[id]
			if end, ok := r.expectedEnd(sub, id, n.Incarnation, runStartTime(sub, id), i+n.rackIndex); ok {
				out = append(out, expectedRun{end: end, step: &sub.Steps[id.Task.Step]})
			}
		}
	}
	if r.rackRuns == nil {
		r.rackRuns = make(map[*node][]expectedRun)
	}
	r.rackRuns[n] = out
	return out
}

// expectedEnd returns the time until a run ends, the index-th of its worker, and false if
// that is not known.
func (r *round) expectedEnd(sub *submission.Submission, run submission.RunID, incarnation string, started time.Time, index int) (locality.Times, bool) {
	status, limited := r.mover.statuses[run]
	if sub.Steps[run.Task.Step].LongRunning || status.Stalled {
		return locality.Times{}, false
	}
	runTime, deviation := r.times.Submission(r.at.Now, sub).Step(run.Task.Step)
	factor := r.slowdown(sub, run.Task, incarnation)
	if limited {
		factor *= 100 / float64(max(status.Share, _minExpectedShare))
	}
	return locality.Remaining(time.Duration(min(float64(runTime)*factor, float64(locality.MaxRunTime))), deviation, r.at.Log.Sub(started), index)
}

// searchedRack returns the rack with which the search for workers begins.
func (p *placement) searchedRack() string {
	if p.preferences.isEnabled() && p.step.RackLocal {
		return cmp.Or(p.preferredRack(), p.step.DataRack)
	}
	return p.step.DataRack
}

// preferredRack returns the rack for which the step's tasks may wait, or "". A rack-local
// step that is split already gains nothing.
func (p *placement) preferredRack() string {
	if p.step.DataRack != "" {
		return p.step.DataRack
	}
	rack, count := p.preference.rack, 0
	for r, n := range p.onRack {
		if n == 0 {
			continue
		}
		if count > 0 {
			return ""
		}
		rack, count = r, n
	}
	return rack
}

// waitsForRack reports whether a task waits for its preferred rack instead of starting on
// a worker of another rack. A gang is decided about as a whole, when all of its tasks are
// placed.
func (p *placement) waitsForRack(id submission.TaskID, n *node) bool {
	if !p.mayPrefer() || p.step.Gang || p.preference.rejected || p.mover.destination(id) != "" {
		return false
	}
	t := p.ws.sub.Task(id)
	rack := p.preferredRack()
	if rack == "" || rack == n.Rack || t.FailedRuns > 0 || t.Checkpoint != "" || p.step.Isolation(t) > 0 {
		// A task that has failed avoids workers. Of one that has saved progress the
		// remaining run time is not known.
		return false
	}
	f := &p.preference
	if !f.searched {
		slots, workers := p.rackSlots(rack, min(p.ws.record().WaitingTasks(), _maxSlots), true)
		// The tasks have not started in the slots that seem to be free: something else prevents it.
		f.slots = slices.DeleteFunc(slots, func(s locality.Slot) bool { return s.In <= 0 })
		f.workers, f.searched = workers, true
	}
	var slots []locality.Slot
	if f.used < len(f.slots) {
		slots = f.slots[f.used : f.used+1]
	}
	if !p.decideWait(id, rack, slots, 1, p.unhealthy[n.Incarnation]) {
		return false
	}
	f.used++
	p.unplaced = 1
	return true
}

// gangWaitsForRack reports whether a gang waits for a rack that can hold all of its tasks
// instead of the starts from index firstStart on.
func (p *placement) gangWaitsForRack(firstStart int) bool {
	starts := p.starts[firstStart:]
	if !p.mayPrefer() || len(starts) == 0 {
		return false
	}
	rack, onRack, unhealthy := p.preferredGangRack(starts), 0, false
	for _, st := range starts {
		n := p.pool.nodes[st.Worker]
		unhealthy = unhealthy || p.unhealthy[st.Worker]
		if n.Rack == rack {
			onRack++
		}
		if t := p.ws.sub.Task(st.Run.Task); t.Checkpoint != "" || p.step.Isolation(t) > 0 || p.mover.destination(st.Run.Task) != "" {
			return false
		}
	}
	if rack == "" || onRack == len(starts) || p.ws.record().Tasks[0].FailedRuns > 0 {
		return false
	}
	all := slices.Clone(starts)
	p.undoStarts(firstStart)
	p.started[p.ws.sub.ID] = p.preference.startedBefore
	slots, workers := p.rackSlots(rack, len(all), true)
	p.preference.slots, p.preference.workers = slots, workers
	if p.decideWait(all[0].Run.Task, rack, slots, len(all), unhealthy) {
		p.unplaced = len(all)
		return true
	}
	p.redoStarts(all)
	return false
}

// preferredGangRack returns the rack for which a gang may wait. It was chosen before the
// starts.
func (p *placement) preferredGangRack(starts []submission.Start) string {
	if p.step.DataRack != "" {
		return p.step.DataRack
	}
	for _, st := range starts[1:] {
		if p.pool.nodes[st.Worker].Rack != p.pool.nodes[starts[0].Worker].Rack {
			return p.preference.rack
		}
	}
	return "" // all on one rack, whichever it is
}

// redoStarts adds starts that were undone.
func (p *placement) redoStarts(starts []submission.Start) {
	p.started[p.ws.sub.ID] = true
	for _, st := range starts {
		n := p.pool.nodes[st.Worker]
		p.starts = append(p.starts, st)
		n.addRuns(p.step, 1)
		p.onWorker[st.Worker]++
		if p.step.RackLocal {
			p.onRack[n.Rack]++
		}
	}
}

// decideWait decides whether a task waits for the last of count slots of a rack, and
// records the wait. A gang waits under its first task.
func (p *placement) decideWait(id submission.TaskID, rack string, slots []locality.Slot, count int, restartLikely bool) bool {
	f, sub := &p.preferences, p.ws.sub
	w := f.wait(p.at, sub, id)
	e := p.times.Submission(p.at.Now, sub)
	in := locality.Input{
		Penalty: f.penalty, RestartLikely: restartLikely, Expected: locality.Never,
		Used: w.usedAt(p.at.Now), Bound: w.bound, StartWithin: p.startWithin(),
	}
	median, deviation := e.Step(p.ws.step)
	in.RunTime, in.Deviation = locality.Mean(median, deviation), deviation
	in.TimeLeft = p.timeLeft(median, e)
	if len(slots) >= count {
		in.Expected = slots[count-1].In
	}
	decide := f.decide
	if decide == nil {
		decide = locality.Decide
	}
	d := decide(in)
	if d.Wait <= 0 {
		// The other tasks of the step have later slots. Those that have waited less may still wait.
		p.preference.rejected = d.Reason != locality.Exhausted && in.Used == 0
		return false
	}
	if w.since.IsZero() {
		w.used, w.since = in.Used, p.at.Now
		f.counts.Waits++
	}
	w.rack, w.bound, w.reason, w.expected, w.until = rack, d.Bound, d.Reason, in.Expected, p.at.Now.Add(d.Wait)
	f.record(id, w)
	if p.rackWaiters == nil {
		p.rackWaiters = make(map[*node][]rackWaiter)
	}
	for _, s := range slots[:min(count, len(slots))] {
		n := p.preference.workers[s.Worker]
		p.rackWaiters[n] = append(p.rackWaiters[n], rackWaiter{step: p.step, in: s.In, runs: in.RunTime})
	}
	p.preference.waiting += count
	return true
}

// timeLeft returns the time within which a task that starts now must be done for the
// submission to meet its objective; negative if that is impossible.
func (p *placement) timeLeft(runTime time.Duration, e *estimate.Submission) time.Duration {
	sub, accepted := p.ws.sub, p.ws.sub.Accepted
	if due := sub.DueAt(p.ws.occurrence); !due.IsZero() {
		accepted = p.at.Log.Add(due.Sub(p.at.Wall))
	}
	return accepted.Add(e.Objective(sub)).Sub(p.at.Log) - (e.Path(p.ws.step) - runTime)
}

// startWithin returns the time within which a task of the submission must start anywhere:
// one without an active run in a lightly loaded pool may wait for at most _maxStarvation,
// also for other reasons.
func (p *placement) startWithin() time.Duration {
	sub := p.ws.sub
	if !p.lightlyLoaded[sub.Service] || sub.ActiveRuns() > 0 || p.started[sub.ID] {
		return locality.Never
	}
	idle := p.at.Log.Sub(sub.Accepted)
	if since, ok := p.preferences.idleSince[sub.ID]; ok {
		idle = p.at.Now.Sub(since)
	}
	if due := sub.DueAt(p.ws.occurrence); !due.IsZero() {
		idle = min(idle, p.at.Wall.Sub(due))
	}
	return max(_maxStarvation-idle, 0)
}

// PreferredWait explains that tasks wait for the rack where they run fastest although
// other workers have capacity for them.
type PreferredWait struct {
	Rack     string
	Tasks    int             // that wait; 1 for a gang
	Until    time.Time       // on the process's steady clock: when the last of them stops waiting
	Expected time.Duration   // until the rack has capacity for the last of them, as estimated last
	Reason   locality.Reason // for which they wait
}

// preferredWait returns the waits of a step's tasks as the latest scheduling round has
// decided them, or nil.
func (r *round) preferredWait(ws waitingStep) *PreferredWait {
	if !r.preferences.isEnabled() || len(r.preferences.waits) == 0 {
		return nil
	}
	var out *PreferredWait
	for i := range ws.record().Tasks {
		w := r.preferences.waits[submission.TaskID{Submission: ws.sub.ID, Occurrence: ws.occurrence, Step: ws.step, Index: i}]
		if w == nil || w.since.IsZero() || !r.at.Now.Before(w.until) {
			continue
		}
		if out == nil {
			out = &PreferredWait{}
		}
		out.Tasks++
		if out.Rack == "" || w.until.After(out.Until) {
			out.Rack, out.Until, out.Expected, out.Reason = w.rack, w.until, w.expected, w.reason
		}
	}
	return out
}
