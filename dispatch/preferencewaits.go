package dispatch

import (
	"maps"
	"time"

	"github.com/gentianrail/gentianrail/locality"
	"github.com/gentianrail/gentianrail/submission"
)

// _rackStatePruneInterval limits the cost of pruning, which looks at all entries. Entries
// that are not needed only occupy memory.
const _rackStatePruneInterval = 5 * time.Second

// rackState is what the scheduler keeps across rounds of tasks that wait for the rack where
// they run fastest. The zero value is ready to use: nothing waits.
type rackState struct {
	penalty    float64                                // factor by which tasks run longer elsewhere; 0 if it is not known
	decide     func(locality.Input) locality.Decision // set by tests only; nil for locality.Decide
	firstRound Clocks                                 // of the first round under this leader; zero before it
	waits      map[submission.TaskID]*rackWait
	idleSince  map[string]time.Time // end of the latest run of submissions without active runs, on the process's steady clock
	stepRacks  map[StepID]stepRack  // of rack-local steps
	counts     PreferenceCounts
	prunedAt   time.Time // on the process's steady clock
}

// stepRack is where the runs of a rack-local step are.
type stepRack struct {
	rack  string // of the first run
	split bool   // runs are on several racks
}

// rackWait is the waits of a task for its rack, or those of a gang under its first task.
// Its times are on the process's steady clock.
type rackWait struct {
	rack         string
	waited       time.Duration // sum of the earlier waits
	waitingSince time.Time     // when the present wait began; zero if the task does not wait
	until        time.Time     // end of the present wait, as decided last
	limit        time.Duration // longest sum of all waits, as decided last; 0 before the first wait
	expected     time.Duration // until the rack has capacity, as estimated last
	reason       locality.Reason
}

// waitedAt returns the time for which the task has waited. The time from the first decision
// to wait to the record of the start counts, whatever prevented the start.
func (w *rackWait) waitedAt(now time.Time) time.Duration {
	if w.waitingSince.IsZero() {
		return w.waited
	}
	return w.waited + now.Sub(w.waitingSince)
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
func (s *Scheduler) SetRemotePenalty(factor float64) { s.rackState.penalty = factor }

// PreferenceCounts returns the counts of waits for preferred racks since the start of the
// process.
func (s *Scheduler) PreferenceCounts() PreferenceCounts { return s.rackState.counts }

func (rs *rackState) isEnabled() bool { return rs.penalty > 1 }

// reset forgets the waits. Under a new leader they begin anew, and those of older
// submissions count as begun with its first round.
func (rs *rackState) reset() {
	*rs = rackState{penalty: rs.penalty, decide: rs.decide, counts: rs.counts}
}

// beginRound records the first round under this leader and drops what is not needed any more
// from time to time.
func (rs *rackState) beginRound(at Clocks, store *submission.Store) {
	if rs.firstRound.Now.IsZero() {
		rs.firstRound, rs.prunedAt = at, at.Now
	}
	if at.Now.Sub(rs.prunedAt) >= _rackStatePruneInterval {
		rs.prunedAt = at.Now
		rs.prune(store)
	}
}

// prune drops the waits of tasks that are done and of submissions that have ended.
func (rs *rackState) prune(store *submission.Store) {
	hasEnded := func(id string) bool { // or is unknown
		sub, ok := store.Submission(id)
		return !ok || sub.State.Ended()
	}
	maps.DeleteFunc(rs.waits, func(id submission.TaskID, _ *rackWait) bool {
		if hasEnded(id.Submission) {
			return true
		}
		sub, _ := store.Submission(id.Submission)
		return sub.Task(id).Done && !sub.Steps[id.Step].Gang
	})
	maps.DeleteFunc(rs.idleSince, func(id string, _ time.Time) bool { return hasEnded(id) })
	maps.DeleteFunc(rs.stepRacks, func(id StepID, _ stepRack) bool { return hasEnded(id.Submission) })
}

// wait returns the waits of a task, with none if the task has not waited yet. A task of a
// submission that an earlier leader accepted may have waited under that leader: its wait
// counts as begun with the first round under this one, unless the occurrence was not due
// then or the latest run of the submission has ended under this leader.
func (rs *rackState) wait(at Clocks, sub *submission.Submission, id submission.TaskID) rackWait {
	if w := rs.waits[id]; w != nil {
		return *w
	}
	var w rackWait
	due := sub.DueAt(id.Occurrence)
	if _, idle := rs.idleSince[sub.ID]; sub.Accepted.Before(rs.firstRound.Log) && !idle && !due.After(rs.firstRound.Wall) {
		w.waited = max(at.Now.Sub(rs.firstRound.Now), 0)
	}
	return w
}

// setWait stores the waits of a task.
func (rs *rackState) setWait(id submission.TaskID, w rackWait) {
	if rs.waits == nil {
		rs.waits = make(map[submission.TaskID]*rackWait)
	}
	rs.waits[id] = &w
}

// updateRackStateAfterStart ends the wait of a task whose start has been recorded, and notes
// the rack of a rack-local step's run.
func (s *Scheduler) updateRackStateAfterStart(now time.Time, store *submission.Store, st submission.Start) {
	rs := &s.rackState
	if !rs.isEnabled() {
		return
	}
	sub, ok := store.Submission(st.Run.Task.Submission)
	if !ok {
		return
	}
	delete(rs.idleSince, sub.ID)
	task, step := st.Run.Task, &sub.Steps[st.Run.Task.Step]
	rack, known := s.rackOf(st.Worker)
	if step.RackLocal && known {
		rs.addStepRack(stepOf(task), rack)
	}
	w := rs.waits[task]
	if w == nil || w.waitingSince.IsZero() {
		return
	}
	w.waited, w.waitingSince = w.waitedAt(now), time.Time{}
	if rack != w.rack {
		rs.counts.Elsewhere++
	} else {
		rs.counts.Preferred++
	}
}

// addStepRack adds the rack of a run of a rack-local step.
func (rs *rackState) addStepRack(id StepID, rack string) {
	if rs.stepRacks == nil {
		rs.stepRacks = make(map[StepID]stepRack)
	}
	r, ok := rs.stepRacks[id]
	if !ok {
		r.rack = rack
	}
	r.split = r.split || r.rack != rack
	rs.stepRacks[id] = r
}

func stepOf(id submission.TaskID) StepID {
	return StepID{Submission: id.Submission, Occurrence: id.Occurrence, Step: id.Step}
}

// updateRackStateAfterEnd notes from when on a submission has no active run, and forgets the
// rack of a step without one, after the end of a run of a task has been recorded.
func (s *Scheduler) updateRackStateAfterEnd(now time.Time, sub *submission.Submission, id submission.TaskID) {
	if !s.rackState.isEnabled() {
		return
	}
	if rec := &sub.StepRecords[id.Occurrence][id.Step]; rec.WaitingTasks()+rec.DoneTasks == len(rec.Tasks) {
		delete(s.rackState.stepRacks, stepOf(id))
	}
	if sub.ActiveRuns() > 0 {
		return
	}
	if s.rackState.idleSince == nil {
		s.rackState.idleSince = make(map[string]time.Time)
	}
	s.rackState.idleSince[sub.ID] = now
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
	if !s.rackState.isEnabled() {
		return 1
	}
	step := &sub.Steps[id.Step]
	rack, known := s.rackOf(incarnation)
	if known && step.DataRack != "" && step.DataRack != rack || step.RackLocal && s.rackState.stepRacks[stepOf(id)].split {
		return s.rackState.penalty
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
	if !r.rackState.isEnabled() || len(r.rackState.waits) == 0 {
		return nil
	}
	var out *PreferredWait
	for i := range ws.record().Tasks {
		w := r.rackState.waits[submission.TaskID{Submission: ws.sub.ID, Occurrence: ws.occurrence, Step: ws.step, Index: i}]
		if w == nil || w.waitingSince.IsZero() || !r.at.Now.Before(w.until) {
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
