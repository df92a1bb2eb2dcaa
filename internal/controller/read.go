package controller

import (
	"cmp"
	"context"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/placement"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
)

// ReadOnlyState gives read-only access to the controller's state at one
// instant. It is valid only inside the function that it is passed to.
type ReadOnlyState struct {
	Now      time.Time
	LogTime  time.Time // present log time
	Machine  *state.Machine
	Role     replica.Role
	Term     uint64
	LeaderID string // ID of the leading replica; empty if unknown
	Holders  map[string]Holder

	core *Core
}

// Renewal is an agent's latest lease renewal at this leader.
type Renewal struct {
	At        time.Time
	SlotsUsed int32
}

// LatestRenewal returns a worker's latest lease renewal, if this controller
// leads.
func (r ReadOnlyState) LatestRenewal(workerID string) (Renewal, bool) {
	s, ok := r.core.sched.renewals[workerID]
	return Renewal{At: s.at, SlotsUsed: s.load.GetSlotsUsed()}, ok
}

// Nodes returns the workers with the resources that their running jobs use.
func (r ReadOnlyState) Nodes() []placement.Node { return r.core.nodes() }

// Read runs a function on the state if the state includes the revision.
// Otherwise it returns false. It returns NotReady while the disk is full or has failed.
func (c *Core) Read(ctx context.Context, revision uint64, run func(ReadOnlyState)) (bool, error) {
	done := false
	var diskErr error
	err := c.Do(ctx, func(c *Core, now time.Time) {
		if c.diskErr != nil {
			diskErr = fault.Wrap(fault.NotReady, c.diskErr, "this controller takes no part in the group")
			return
		}
		if c.lastApplied.Index < revision {
			return
		}
		done = true
		run(ReadOnlyState{
			Now:      now,
			LogTime:  c.logClock.time(now),
			Machine:  c.machine,
			Role:     c.replica.Role(),
			Term:     c.replica.Term(),
			LeaderID: string(c.replica.Leader()),
			Holders:  c.holders,
			core:     c,
		})
	})
	return done, cmp.Or(err, diskErr)
}

// ChangesSince returns the changes of the view after a revision. ok is false if
// some of them are discarded. updated is closed at the next change.
func (c *Core) ChangesSince(revision uint64) (u *pb.ViewUpdate, ok bool, updated <-chan struct{}) {
	return c.feed.ChangesSince(revision)
}

// Stopped returns a channel that is closed when the core has stopped.
func (c *Core) Stopped() <-chan struct{} { return c.stopped }
