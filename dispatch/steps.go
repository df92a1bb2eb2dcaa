package dispatch

import (
	"cmp"
	"slices"

	"github.com/gentianrail/gentianrail/estimate"
	"github.com/gentianrail/gentianrail/submission"
)

// waitingStep is a step of one occurrence that has tasks to start.
type waitingStep struct {
	sub              *submission.Submission
	occurrence       int
	step             int
	latenessClass    int     // 0: can meet its objective, or is long-running; 1: will be late; 2: too late to have value
	suspectedFailing bool    // only its repeatedly failed tasks are placed, except in gangs
	restarts         bool    // is long-running, and a waiting task has run before
	valueDensity     float64 // value of the completion per core-second of remaining work
}

func (ws *waitingStep) id() StepID {
	return StepID{Submission: ws.sub.ID, Occurrence: ws.occurrence, Step: ws.step}
}

func (ws *waitingStep) record() *submission.StepRecord {
	return &ws.sub.StepRecords[ws.occurrence][ws.step]
}

// valueDensity returns the value of completing a submission per core-second of
// its estimated remaining work. A part of the value is the same for all
// submissions of a queue, the rest is proportional to the work. Small submissions
// therefore precede large ones, within limits, and nearly finished submissions
// precede those that have not started.
func (s *Scheduler) valueDensity(e *estimate.Submission, sub *submission.Submission) float64 {
	const fixedShare = 0.3 // share of the value that is independent of the work
	mean, remaining := s.times.MeanWork(sub.Queue), e.RemainingWork(sub)
	if mean <= 0 || remaining <= 0 {
		return 0
	}
	return (fixedShare + (1-fixedShare)*e.Work()/mean) / remaining
}

// _suspectedFailingDensity is the value density of a submission suspected of
// always failing. A few runs of one task resolve the suspicion, which is cheaper
// than the remaining work of any other submission.
const _suspectedFailingDensity = 1e9

// isSuspectedFailing reports whether a submission has a task that has failed so
// often that the submission is unlikely to complete. Its other tasks, except those
// of gangs, then wait, because their work would be wasted.
func isSuspectedFailing(s *submission.Submission) bool {
	return s.MaxAttempts > submission.RepeatedFailures && s.FailingTasks() > 0
}

// waitingSteps returns the steps with tasks that are ready to start, the most
// urgent first. The result is valid until the next call.
func (s *Scheduler) waitingSteps(at Clocks, store *submission.Store) []waitingStep {
	out := s.steps[:0]
	store.EachWaiting(func(sub *submission.Submission) {
		out = s.appendWaitingSteps(out, at, sub)
	})
	slices.SortFunc(out, compareUrgency)
	s.steps = out
	return out
}

func (s *Scheduler) appendWaitingSteps(out []waitingStep, at Clocks, sub *submission.Submission) []waitingStep {
	e := s.times.Submission(at.Now, sub)
	objective := e.Objective(sub)
	density, suspected := s.valueDensity(e, sub), isSuspectedFailing(sub)
	if suspected {
		density = _suspectedFailingDensity
	}
	for k := range sub.StepRecords {
		accepted := sub.Accepted
		if due := sub.DueAt(k); !due.IsZero() {
			if at.Wall.Before(due) {
				break // nor are later occurrences due
			}
			accepted = at.Log.Add(due.Sub(at.Wall)) // the due time converted to log time
		}
		for i := range sub.Steps {
			if sub.StepRecords[k][i].WaitingTasks() == 0 || !sub.Ready(k, i, at.Wall) {
				continue
			}
			ws := waitingStep{sub: sub, occurrence: k, step: i, valueDensity: density, suspectedFailing: suspected}
			ws.restarts = sub.Steps[i].LongRunning && hasRestart(ws.record())
			finish := at.Log.Add(e.Path(i))
			switch {
			case sub.Steps[i].LongRunning || !finish.After(accepted.Add(objective)):
			case !finish.After(accepted.Add(LateFactor * objective)):
				ws.latenessClass = 1
			default:
				ws.latenessClass = 2
			}
			out = append(out, ws)
		}
	}
	return out
}

// hasRestart reports whether a waiting task of the step has run before.
func hasRestart(rec *submission.StepRecord) bool {
	return slices.ContainsFunc(rec.Tasks, func(t submission.Task) bool { return !t.Done && len(t.Runs) == 0 && t.LastRun > 0 })
}

// compareUrgency orders waiting steps, the most urgent first. Restarts of long-running tasks
// precede other steps of their priority: the room that such a task has left would be gone
// after them, and may be the only one that is large enough.
func compareUrgency(a, b waitingStep) int {
	return cmp.Or(
		cmp.Compare(a.latenessClass, b.latenessClass), cmp.Compare(a.sub.Priority, b.sub.Priority), compareBool(b.restarts, a.restarts), cmp.Compare(b.valueDensity, a.valueDensity),
		cmp.Compare(a.sub.Sequence, b.sub.Sequence), cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
