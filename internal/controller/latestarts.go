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
	// When the runs that agents have reported as active are settled: from then on no call
	// can start them. The zero time if they were settled when they were reported.
	settledAt map[submission.RunID]time.Time
}

// record records an agent's report of an active run.
func (l *lateStarts) record(now time.Time, run submission.RunID, r *pb.ListedRun) {
	if l.settledAt == nil {
		l.settledAt = make(map[submission.RunID]time.Time)
	}
	d := time.Duration(r.GetSettlesIn())
	switch {
	case r.GetSettled():
		l.settledAt[run] = time.Time{}
	case d > 0:
		l.settledAt[run] = now.Add(d + d/_runLeaseDriftDivisor)
	default:
		delete(l.settledAt, run) // an agent that doesn't say
	}
}

func (l *lateStarts) remove(run submission.RunID) { delete(l.settledAt, run) }

// hasEnded reports whether a run has ended for certain, if nothing more is heard of its
// agent. leaseExpiry is when the latest lease that the agent was granted has expired; until
// then the agent may have called the worker.
func (l *lateStarts) hasEnded(now, leaseExpiry time.Time, run submission.RunID) bool {
	if at, ok := l.settledAt[run]; ok && !at.After(leaseExpiry) {
		return !now.Before(leaseExpiry)
	}
	// The calls for other runs, which are as late, prolong the lease of this one.
	return !now.Before(leaseExpiry.Add(l.window))
}
