package submission

import (
	"slices"
	"time"
)

// _maxLateRuns bounds the late runs of a task; the earliest are forgotten. A task has one after
// each run that was called without an answer and has ended within seconds.
const _maxLateRuns = 8

// LateRun is an ended run that may go on: a call to start it has no answer, and the next
// incarnation of its worker may carry that out. While nothing is heard of the worker, its task
// must have no other run.
type LateRun struct {
	Number uint32
	Worker string        // incarnation of the worker on which the run was active
	For    time.Duration // after the record of its end, until no call to start it can be carried out
}

// LateRuns returns the late runs of the tasks that are not done. The caller must not change them.
func (store *Store) LateRuns() map[RunID]LateRun { return store.lateRuns }

// RecordLateRuns records that workers have runs that have ended. An active run, or one that was
// never started, is no such run.
func (store *Store) RecordLateRuns(runs []End) {
	for _, e := range runs {
		s, ok := store.all[e.Run.Task.Submission]
		if !ok {
			continue
		}
		if t := s.Task(e.Run.Task); t != nil && e.Run.Number <= t.LastRun && s.ActiveOn(e.Run) == "" {
			store.addLateRun(s, e)
		}
	}
}

// addLateRun records that an ended run may go on.
func (store *Store) addLateRun(s *Submission, e End) {
	t := s.task(e.Run.Task)
	if e.LateFor <= 0 || t.Done || s.State.Ended() || s.Steps[e.Run.Task.Step].Speculative {
		return
	}
	late := LateRun{Number: e.Run.Number, Worker: e.Worker, For: e.LateFor}
	kept := slices.DeleteFunc(slices.Clone(t.LateRuns), func(l LateRun) bool { return l.Number == late.Number })
	for _, l := range kept[:max(0, len(kept)+1-_maxLateRuns)] {
		delete(store.lateRuns, RunID{Task: e.Run.Task, Number: l.Number})
	}
	t.LateRuns = append(kept[max(0, len(kept)+1-_maxLateRuns):], late)
	store.lateRuns[e.Run] = late
}

// removeLateRun records that an ended run does not go on.
func (store *Store) removeLateRun(s *Submission, run RunID) {
	if _, ok := store.lateRuns[run]; !ok {
		return
	}
	delete(store.lateRuns, run)
	t := s.task(run.Task)
	// A snapshot may share the former ones.
	t.LateRuns = slices.DeleteFunc(slices.Clone(t.LateRuns), func(l LateRun) bool { return l.Number == run.Number })
}

// dropLateRuns removes the late runs of a submission that will have no further run, or of those
// of its tasks that are done.
func (store *Store) dropLateRuns(s *Submission) {
	for run := range store.lateRuns {
		if run.Task.Submission == s.ID && (s.State.Ended() || s.task(run.Task).Done) {
			store.removeLateRun(s, run)
		}
	}
}
