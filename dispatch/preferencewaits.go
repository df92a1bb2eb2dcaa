package dispatch

import (
	"maps"
	"time"

	"github.com/gentianrail/gentianrail/locality"
	"github.com/gentianrail/gentianrail/submission"
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
