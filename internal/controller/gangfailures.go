package controller

import (
	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/submission"
)

// gangRun is a common run of the members of a gang.
type gangRun struct {
	step   dispatch.StepID
	number uint32
}

func stepOf(task submission.TaskID) dispatch.StepID {
	return dispatch.StepID{Submission: task.Submission, Occurrence: task.Occurrence, Step: task.Step}
}

// countGangRunsOnce changes the ends that are to be proposed, so that a common run of a gang counts
// as one attempt although several members have failed: the others end because the gang was
// broken. It returns the runs that these ends count.
//
// The state machine counts each end as failed. That stays so, since controllers of earlier versions
// apply the same entries: what a run counts is decided by the leader that writes its ends.
func (c *Core) countGangRunsOnce(ends []submission.End) (counted []gangRun) {
	store := c.machine.Submissions()
	for i := range ends {
		e := &ends[i]
		s, ok := store.Submission(e.Run.Task.Submission)
		if e.Reason != submission.Failed || !ok || s.Task(e.Run.Task) == nil || !s.Steps[e.Run.Task.Step].Gang {
			continue
		}
		run := gangRun{step: stepOf(e.Run.Task), number: e.Run.Number}
		switch {
		case s.IsFailureCounted(e.Run) || c.sessions.gangFailures[run]:
			e.Reason, e.Told = submission.GangBroken, submission.Failed
		case s.ActiveOn(e.Run) == e.Worker && !c.sessions.endsProposed[e.Run]: // the end will be recorded
			c.sessions.gangFailures[run] = true
			counted = append(counted, run)
		}
	}
	return counted
}
