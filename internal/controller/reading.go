package controller

import (
	"context"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/placement"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
)

// Reading gives read-only access to the controller's state at one instant. It is
// valid only inside the function that it is passed to.
type Reading struct {
	Now     time.Time
	Machine *state.Machine
	Role    replica.Role
	Term    uint64
	Leader  string // ID of the leading replica; empty if unknown
	Holders map[string]Holder

	core *Core
}

// Sighting is an agent's latest lease renewal at this leader.
type Sighting struct {
	At        time.Time
	SlotsUsed int32
}

// Sighting returns a worker's latest lease renewal, if this controller leads.
func (r Reading) Sighting(workerID string) (Sighting, bool) {
	s, ok := r.core.sched.renewals[workerID]
	return Sighting{At: s.at, SlotsUsed: s.load.GetSlotsUsed()}, ok
}

// Nodes returns the workers with the resources that their running jobs use.
func (r Reading) Nodes() []placement.Node { return r.core.nodes() }

// Read runs a function on the state if the state includes the revision.
// Otherwise it returns false.
func (c *Core) Read(ctx context.Context, revision uint64, run func(Reading)) (bool, error) {
	done := false
	err := c.Do(ctx, func(c *Core, now time.Time) {
		if c.lastApplied.Index < revision {
			return
		}
		done = true
		run(Reading{
			Now:     now,
			Machine: c.machine,
			Role:    c.replica.Role(),
			Term:    c.replica.Term(),
			Leader:  string(c.replica.Leader()),
			Holders: c.holders,
			core:    c,
		})
	})
	return done, err
}

// Since returns the changes of the view after a revision. ok is false if some of
// them are discarded. updated is closed at the next change.
func (c *Core) Since(revision uint64) (u *pb.ViewUpdate, ok bool, updated <-chan struct{}) {
	return c.feed.changesSince(revision)
}

// Stopped returns a channel that is closed when the core has stopped.
func (c *Core) Stopped() <-chan struct{} { return c.stopped }
