package controller

import (
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// settlements are the leader's proposals to record which runs are settled. The record lets the
// next leader end the runs of a machine that it never hears of as soon as this one would.
//
// Runs of short tasks end before they have it. A run that is recorded as settled gets a further
// start call only when the record says otherwise again.
type settlements struct {
	candidates map[submission.RunID]bool // reported runs that are not recorded as settled
	proposed   map[submission.RunID]bool // runs whose record as settled is proposed
	lastCheck  time.Time
}

const (
	// _minSettledAge is the time from the order of a run's start until the run is recorded as
	// settled. Runs of long-running tasks, which start seldom, are recorded at once.
	_minSettledAge = time.Second
	// _settledCheckInterval is the minimum time between checks for runs of other tasks.
	_settledCheckInterval = 200 * time.Millisecond
)

func (s *settlements) reset() {
	s.candidates = make(map[submission.RunID]bool)
	s.proposed = make(map[submission.RunID]bool)
}

// isRecordedSettled reports whether a run is recorded as settled, or will be when the log is
// applied so far.
func (c *Core) isRecordedSettled(s *submission.Submission, run submission.RunID) bool {
	return s.IsSettled(run) || c.sessions.settlements.proposed[run]
}

// isSettled reports whether a run is recorded as active and settled.
func (c *Core) isSettled(run submission.RunID) bool {
	s, ok := c.machine.Submissions().Submission(run.Task.Submission)
	return ok && s.IsSettled(run)
}

// recordSettledRuns proposes to record which runs are settled now.
func (c *Core) recordSettledRuns(now time.Time) {
	if !c.holdsLease(now) {
		return // a proposal may fail, which closes the agents' streams
	}
	checksAll := now.Sub(c.sessions.settlements.lastCheck) >= _settledCheckInterval
	if checksAll {
		c.sessions.settlements.lastCheck = now
	}
	var settled []submission.RunID
	for run := range c.sessions.settlements.candidates {
		s, ok := c.machine.Submissions().Submission(run.Task.Submission)
		switch {
		case !ok || s.ActiveOn(run) == "" || c.isRecordedSettled(s, run):
			delete(c.sessions.settlements.candidates, run)
		case !s.Steps[run.Task.Step].LongRunning && (!checksAll || now.Sub(c.sessions.startOrderedAt[run]) < _minSettledAge):
		case c.sessions.lateStarts.wasSettled(now, run) && c.sessions.lateStarts.endsWithGrant(c.sessions.leaseExpiry(s.ActiveOn(run)), run):
			settled = append(settled, run)
		}
	}
	c.proposeSettled(now, settled, true)
}

func (c *Core) proposeSettled(now time.Time, runs []submission.RunID, settled bool) {
	for chunk := range slices.Chunk(runs, _maxRunEnds) {
		if !c.proposeOwn(now, state.SettleRuns{Runs: chunk, Settled: settled}) {
			return
		}
		for _, run := range chunk {
			if settled {
				c.sessions.settlements.proposed[run] = true
			}
		}
	}
}

// handleSettledRuns orders the starts that had to wait until their runs were no longer
// recorded as settled.
func (c *Core) handleSettledRuns(now time.Time, cmd state.SettleRuns) {
	for _, run := range cmd.Runs {
		if cmd.Settled {
			delete(c.sessions.settlements.proposed, run)
			continue
		}
		s, ok := c.machine.Submissions().Submission(run.Task.Submission)
		if !ok {
			continue
		}
		c.sessions.settlements.candidates[run] = true // it may have been reported as settled meanwhile
		sess := c.sessions.byIncarnation[s.ActiveOn(run)]
		if sess == nil || !sess.awaitedRepeats[run] || c.isRecordedSettled(s, run) {
			continue
		}
		delete(sess.awaitedRepeats, run)
		if c.sessions.endsProposed[run] || s.IsSurplus(run) {
			continue
		}
		order := c.newOrder(sess)
		order.Starts = []*pb.StartOrder{c.repeatedStart(now, s, run, sess.worker.Incarnation)}
		sess.outbox.put(order)
	}
}

// repeatedStart returns the order of a start that an agent may have called before.
func (c *Core) repeatedStart(now time.Time, s *submission.Submission, run submission.RunID, incarnation string) *pb.StartOrder {
	start := c.startOrder(now, s, run, incarnation)
	start.Repeated = true
	return start
}

// recordReportedRun records an agent's report of a run that is active on the worker
// incarnation on. It returns false if the run is recorded as settled and must not be: a late
// call has started it on another incarnation, or may start it yet.
func (c *Core) recordReportedRun(now time.Time, incarnation, on string, run submission.RunID, r *pb.ListedRun, agent reporter) bool {
	s, ok := c.machine.Submissions().Submission(run.Task.Submission)
	if on != incarnation {
		c.sessions.lateStarts.remove(run) // whatever was reported
		c.sessions.lateStarts.record(now, run, r, agent)
		delete(c.sessions.settlements.candidates, run)
		return !ok || !c.isRecordedSettled(s, run)
	}
	c.sessions.lateStarts.record(now, run, r, agent)
	switch {
	case !ok:
	case !c.isRecordedSettled(s, run):
		c.sessions.settlements.candidates[run] = true
	case c.sessions.lateStarts.isContradicted(now, run):
		return false
	}
	return true
}
