package controller

import (
	"time"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// holds records until when runs may hold a lease that nobody renews.
//
// A start call without an answer may be carried out seconds later. If the worker has
// started again under its identifier by then, neither the fencing token nor the lease end
// in the call stops that: the next incarnation has seen no token, and its clock has
// another origin. Only the agent can reach the worker. So while nothing is heard of the
// agent, such a run may begin, and has ended for certain only when the call is too old to
// be carried out and the longest lease is over.
//
// The zero value knows of no run. It is part of the leader's state and is not in the log.
type holds struct {
	window time.Duration // from a start call until no run can hold a lease that the call gives; 0 if no call is carried out late
	// Runs that an agent has reported as active. Until when a call without an answer may
	// give the run a lease; the zero time if every call was answered.
	reported map[submission.RunID]time.Time
}

// record records an agent's report of an active run.
func (h *holds) record(now time.Time, run submission.RunID, r *pb.ListedRun) {
	if h.reported == nil {
		h.reported = make(map[submission.RunID]time.Time)
	}
	until := time.Time{}
	if d := time.Duration(r.GetMayHold()); d > 0 {
		until = now.Add(d + d/_runLeaseDriftDivisor)
	}
	h.reported[run] = until
}

func (h *holds) remove(run submission.RunID) { delete(h.reported, run) }

// isOver reports whether a run has ended for certain. leaseExpiry is when the latest
// lease that was granted to its worker has expired: until then an agent that is not heard
// of may have called the worker.
func (h *holds) isOver(now, leaseExpiry time.Time, run submission.RunID) bool {
	until, ok := h.reported[run]
	if !ok {
		until = leaseExpiry.Add(h.window)
	}
	return !now.Before(leaseExpiry) && !now.Before(until)
}
