package controller

import (
	"time"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// lateStarts records which runs a late start call may start while their agent is away.
//
// A start call without an answer may be carried out seconds later. If the worker has
// started again under its identifier by then, neither the fencing token nor the lease end
// in the call stops that: the next incarnation has seen no token, and its clock has
// another origin. Only the agent can reach the worker. So while nothing is heard of the
// agent, such a run may begin, and has ended for certain only when no call of the agent
// can be carried out any more and the longest lease is over.
//
// The zero value knows of no run. It is part of the leader's state and is not in the log.
type lateStarts struct {
	window time.Duration // from an agent's latest call until its worker can hold no lease from it; 0 if no call is carried out late
	runs   map[submission.RunID]reportedRun
}

// reportedRun is what agents have reported on an active run since its latest start order.
type reportedRun struct {
	// When the run is settled, as reported last: from then on no call can start it. The zero
	// time if it was settled when it was reported.
	settledAt time.Time
	// As reported before, perhaps by an earlier agent. What a later agent reports instead is the
	// longest lease that it assumes; the earlier one has passed on no lease beyond its grant.
	wasSettled bool
	takenBack  bool     // it was settled by the word of the same agent, which says otherwise now
	agent      reporter // that has reported it last
}

// reporter identifies the process of an agent.
type reporter struct {
	machine string
	started int64  // as the agent says; 0 if it doesn't
	stream  uint64 // number of its stream, if it doesn't say when it has started
}

func (r reportedRun) isSettled(now time.Time) bool { return !r.settledAt.After(now) }

func reporterOf(sess *session, in *pb.AgentReport) reporter {
	r := reporter{machine: machineOf(sess.worker.Incarnation), started: in.GetAgent()}
	if r.started == 0 {
		r.stream = sess.attachment
	}
	return r
}

// record records an agent's report of an active run.
//
// That a run is settled because the time has passed after which an agent said that it would be, holds
// unless the same agent says otherwise: it may have stood still with a call under way.
func (l *lateStarts) record(now time.Time, run submission.RunID, r *pb.ListedRun, agent reporter) {
	if l.runs == nil {
		l.runs = make(map[submission.RunID]reportedRun)
	}
	reported := reportedRun{wasSettled: l.wasSettled(now, run), agent: agent}
	if l.isOwnWord(run, agent) {
		reported.takenBack = reported.wasSettled
		reported.wasSettled = false
	}
	d := time.Duration(r.GetSettlesIn())
	switch {
	case r.GetSettled():
	case d > 0:
		reported.settledAt = now.Add(d + d/_runLeaseDriftDivisor)
	default: // an agent that doesn't say
		l.remove(run)
		return
	}
	l.runs[run] = reported
}

// wasSettled reports whether a run was settled at some time since its latest start order. A
// run that is active gets no other start call, so none is left that has no answer. An agent
// that has started since then doesn't know that.
func (l *lateStarts) wasSettled(now time.Time, run submission.RunID) bool {
	r, ok := l.runs[run]
	return ok && (r.wasSettled || r.isSettled(now))
}

// isOwnWord reports whether a run is settled at most by the passing of the time that the agent
// itself has reported.
func (l *lateStarts) isOwnWord(run submission.RunID, agent reporter) bool {
	r, ok := l.runs[run]
	return ok && r.agent == agent && !r.wasSettled && !r.settledAt.IsZero()
}

// isContradicted reports whether an agent has taken back that a run was settled.
func (l *lateStarts) isContradicted(now time.Time, run submission.RunID) bool {
	r, ok := l.runs[run]
	return ok && r.takenBack && !r.isSettled(now)
}

// endsWithGrant reports whether a run has ended when the latest lease that its agent was
// granted has expired. One that is settled later may be on the next incarnation by then, where
// late calls for other runs prolong its lease.
func (l *lateStarts) endsWithGrant(leaseExpiry time.Time, run submission.RunID) bool {
	r, ok := l.runs[run]
	return ok && (r.wasSettled || r.isSettled(leaseExpiry))
}

func (l *lateStarts) remove(run submission.RunID) { delete(l.runs, run) }

// hasEnded reports whether a run has ended for certain, if nothing more is heard of its
// agent. leaseExpiry is when the latest lease that the agent was granted has expired; until
// then the agent may have called the worker.
func (l *lateStarts) hasEnded(now, leaseExpiry time.Time, run submission.RunID) bool {
	if l.endsWithGrant(leaseExpiry, run) {
		return !now.Before(leaseExpiry)
	}
	// The calls for other runs, which are as late, prolong the lease of this one. An agent that had
	// stood still may have reported later calls than those within its lease.
	return !now.Before(leaseExpiry.Add(l.window)) && l.runs[run].isSettled(now)
}
