package controller

import (
	"context"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/placement"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
)

// Reading is the controller's state at one instant. It may be used only
// inside the function that it is passed to, and nothing in it may be changed.
type Reading struct {
	Now     time.Time
	Machine *state.Machine
	Role    replica.Role
	Term    uint64
	Leader  string // replica that leads; empty if none is known
	Holders map[string]Holder

	core *Core
}

// Sighting is what an agent said in its latest renewal to this leader.
type Sighting struct {
	At        time.Time
	SlotsUsed int32
}

// Sighting returns the latest renewal of a worker, if this controller leads.
func (r Reading) Sighting(workerID string) (Sighting, bool) {
	s, ok := r.core.sched.seen[workerID]
	return Sighting{At: s.at, SlotsUsed: s.load.GetSlotsUsed()}, ok
}

// Nodes returns the workers with what their running tasks take.
func (r Reading) Nodes() []placement.Node { return r.core.nodes() }

// Read runs a function on the state once it includes the revision. It returns
// false, without running the function, if the state is not there yet.
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

// Since returns the changes of the view after a revision. ok is false if they
// are not kept any more; moved is closed at the next change.
func (c *Core) Since(revision uint64) (u *pb.ViewUpdate, ok bool, moved <-chan struct{}) {
	return c.feed.since(revision)
}

// Stopped returns a channel that is closed when the core has stopped.
func (c *Core) Stopped() <-chan struct{} { return c.stopped }
