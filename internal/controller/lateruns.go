package controller

import (
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// An ended run may go on: a call to start it has no answer, and the next incarnation of its
// worker carries that out. Its agent is the only one that can prevent that, or learn of it. So
// the task goes on elsewhere at once, as long as the agent is there, and rests while it is not:
// its next run is stopped until the agent is back, or no late call is left. The log keeps which
// runs may go on, for the next leader.

// _lateRunMargin is the time until an agent that is there has reported a run that a late call has
// started.
const _lateRunMargin = time.Second

// _lateRunGrace is the time from its beginning until a new leader takes an agent to be away that has
// not attached. Agents attach within 0.3 s of an election.
const _lateRunGrace = 500 * time.Millisecond

// _minTimeAtWork is the time from its start until a long-running task counts as available.
const _minTimeAtWork = 2 * time.Second

// isInTouch reports whether a machine's agent is there and has called the present incarnation of its
// worker, so that this refuses late calls. The same agent has when it takes up a next one.
func (s *sessions) isInTouch(now time.Time, machine string) bool {
	m := s.machines[machine]
	if m == nil {
		return false
	}
	sess := s.byIncarnation[m.incarnation]
	return sess != nil && (sess.hasLists || sess.agent == m.listedBy) && now.Sub(sess.lastReport) < _maxReportAge
}

// lastCallsEnd returns until when the calls of a machine's agents may be carried out and hold a
// lease, if the agent is not there any more.
func (s *sessions) lastCallsEnd(incarnation string) time.Time {
	end := s.leaseExpiry(incarnation)
	if m := s.machines[machineOf(incarnation)]; m != nil {
		if e := s.leaseExpiry(m.incarnation); e.After(end) {
			end = e
		}
	}
	return end.Add(s.lateStarts.window)
}

// mayGoOn reports whether an ended run may go on, or begin to, without the leader's learning of it.
// What an agent that is there reports is not considered: see strayHolders.
func (s *sessions) mayGoOn(now time.Time, late submission.LateRun) bool {
	return !s.isInTouch(now, machineOf(late.Worker)) && now.Before(s.lastCallsEnd(late.Worker))
}

// lateFor returns for how long a call may start a run that has ended, which its agent says, or
// doesn't know: not at all if the run was settled. The word of the agent on which that rests goes
// first.
func (c *Core) lateFor(now time.Time, run submission.RunID, told time.Duration, agent reporter) time.Duration {
	late := &c.sessions.lateStarts
	if !late.isOwnWord(run, agent) && (c.isSettled(run) || late.wasSettled(now, run)) {
		return 0
	}
	return told
}

// isRecordedLate reports whether the log says of an ended run that a worker has it, or need not: its
// task has no further run.
func (c *Core) isRecordedLate(run submission.RunID, incarnation string) bool {
	s, ok := c.machine.Submissions().Submission(run.Task.Submission)
	if !ok || s.State.Ended() || s.Task(run.Task) == nil || s.Task(run.Task).Done || s.Steps[run.Task.Step].Speculative {
		return true
	}
	late, ok := c.machine.Submissions().LateRuns()[run]
	return ok && late.Worker == incarnation
}

// recordLateRuns proposes to record which ended runs workers have.
func (c *Core) recordLateRuns(now time.Time, runs []submission.End) {
	if len(runs) > 0 {
		c.proposeOwn(now, state.RecordLateRuns{Runs: runs})
	}
}

// updateLateRuns stops runs beside which an ended run of their task may go on, and proposes to
// forget the ended runs that don't.
func (c *Core) updateLateRuns(now time.Time) {
	var settled []submission.RunID
	for run, late := range c.machine.Submissions().LateRuns() {
		until, ok := c.sessions.lateRunsUntil[run]
		if !ok {
			until = now.Add(late.For + _lateRunMargin)
			c.sessions.lateRunsUntil[run] = until
		}
		isOver := !now.Before(c.sessions.lastCallsEnd(late.Worker))
		if c.sessions.isInTouch(now, machineOf(late.Worker)) {
			_, isStray := c.sessions.strayHolders[run]
			isOver = !now.Before(until) && !isStray
		}
		switch {
		case !isOver:
			c.stopBesideLateRun(now, run, late)
		case !c.sessions.settlements.proposed[run]:
			settled = append(settled, run)
		}
	}
	if len(settled) > 0 && c.holdsLease(now) {
		c.proposeSettled(now, settled, true)
	}
	for run := range c.sessions.lateRunsUntil {
		if _, ok := c.machine.Submissions().LateRuns()[run]; !ok {
			delete(c.sessions.lateRunsUntil, run)
		}
	}
}

// stopBesideLateRun orders the stop of a task's runs on other machines while an ended run of it
// may go on. A new leader waits until the agents have had time to report.
func (c *Core) stopBesideLateRun(now time.Time, run submission.RunID, late submission.LateRun) {
	if now.Sub(c.sessions.leaderSince) < _lateRunGrace || !c.sessions.mayGoOn(now, late) {
		return
	}
	s, ok := c.machine.Submissions().Submission(run.Task.Submission)
	if !ok {
		return
	}
	for _, r := range s.Task(run.Task).Runs {
		sess := c.sessions.byIncarnation[r.Worker]
		next := submission.RunID{Task: run.Task, Number: r.Number}
		if machineOf(r.Worker) == machineOf(late.Worker) || sess == nil || sess.orderedStops[next] || !c.mayStop(now, s, run.Task) {
			continue
		}
		c.log.Emit(event.RunStopped, event.Fields{
			"submission": s.ID, "task": run.Task.String(), "run": r.Number, "worker": r.Worker, "reason": "late_start", "beside": late.Worker, "late_run": late.Number,
		}, "stopping a run while a late call may start an earlier run of its task on a worker whose agent is away")
		c.orderStop(r.Worker, next)
	}
}

// mayStop reports whether the limit of a step's unavailable tasks allows a stop of one more.
func (c *Core) mayStop(now time.Time, s *submission.Submission, task submission.TaskID) bool {
	limit := s.Steps[task.Step].MaxUnavailable
	if limit == 0 {
		return true
	}
	unavailable, other, at := 0, task, c.logClock.time(now)
	for i, t := range s.StepRecords[task.Occurrence][task.Step].Tasks {
		other.Index = i
		if other != task && !slices.ContainsFunc(t.Runs, func(r submission.Run) bool {
			sess := c.sessions.byIncarnation[r.Worker]
			return sess != nil && !sess.orderedStops[submission.RunID{Task: other, Number: r.Number}] && at.Sub(r.Started) >= _minTimeAtWork
		}) {
			unavailable++
		}
	}
	return unavailable < limit
}

// addLateRuns adds the tasks and gangs that must not start, since an ended run of theirs may go on.
func (c *Core) addLateRuns(now time.Time, tasks map[submission.TaskID]bool, gangs map[dispatch.StepID]bool) {
	store := c.machine.Submissions()
	for run, late := range store.LateRuns() {
		if s, ok := store.Submission(run.Task.Submission); ok && c.sessions.mayGoOn(now, late) {
			tasks[run.Task] = true
			if s.Steps[run.Task.Step].Gang {
				gangs[stepOf(run.Task)] = true
			}
		}
	}
}
