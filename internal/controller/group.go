package controller

import (
	"context"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/membership"
	"github.com/gentianrail/gentianrail/replica"
)

// _changeEvery is the least time between two looks at the members.
const _changeEvery = 50 * time.Millisecond

// group is what the core knows of the group's members beside the log.
type group struct {
	replicas   int // voters that the group should have; 0 for a fixed group
	keep       func([]replica.Member)
	address    func(replica.ID) string
	kept       []replica.Member // that keep was called with last
	applicants []membership.Applicant
	lastLook   time.Time
}

// _namedFor is how long a leader that is not heard is still named to others.
// Heartbeats come several times as often.
const _namedFor = 350 * time.Millisecond

// leaderAddress returns the address of the known leader, or "". A leader that
// has fallen silent is not named, since whoever asks would wait for it.
func (c *Core) leaderAddress() string {
	if c.replica.Quiet(clock.Now()) > _namedFor {
		return ""
	}
	id := c.replica.Leader()
	for _, m := range c.replica.Members() {
		if m.ID == id {
			return m.Address
		}
	}
	if id == "" || c.group.address == nil {
		return ""
	}
	return c.group.address(id)
}

// Leader returns the address of the leader that this controller hears, or "".
func (c *Core) Leader() string {
	address := ""
	// A core that has stopped knows no leader.
	_ = c.Do(context.Background(), func(c *Core, _ time.Time) { address = c.leaderAddress() })
	return address
}

// controllers returns the addresses of all members.
func (c *Core) controllers() []string {
	var out []string
	for _, m := range c.replica.Members() {
		if m.Address != "" {
			out = append(out, m.Address)
		}
	}
	return out
}

// noteMembers has the transport follow the members.
func (c *Core) noteMembers() {
	members := c.replica.Members()
	if c.group.keep == nil || slices.Equal(members, c.group.kept) {
		return
	}
	c.group.kept = members
	c.group.keep(members)
	ids := make([]string, 0, len(members))
	for _, m := range members {
		id := string(m.ID)
		if m.Learner {
			id += " (learner)"
		}
		ids = append(ids, id)
	}
	c.log.Emit(event.MembersChanged, event.Fields{"members": ids, "term": c.replica.Term()}, "the members of the group changed")
}

// applyFor notes that a controller asks to become a member.
func (c *Core) applyFor(now time.Time, id replica.ID, address string) {
	for i := range c.group.applicants {
		if a := &c.group.applicants[i]; a.ID == id {
			a.Address, a.Heard = address, now
			return
		}
	}
	c.group.applicants = append(c.group.applicants, membership.Applicant{ID: id, Address: address, Heard: now})
}

// changeMembers proposes the next step of the members, if this replica leads.
func (c *Core) changeMembers(now time.Time) {
	if c.failed != nil || c.group.replicas == 0 || now.Sub(c.group.lastLook) < _changeEvery {
		return
	}
	c.group.lastLook = now
	if !c.replica.HoldsLease(now) {
		return
	}
	g := membership.Group{
		Self:       c.replica.Leader(),
		Replicas:   c.group.replicas,
		Members:    c.replica.Members(),
		Standings:  c.replica.Standings(),
		LastIndex:  c.replica.LastIndex(),
		Applicants: c.group.applicants,
	}
	next := g.Next(now)
	if next == nil {
		return
	}
	// A refused proposal is made again at the next look.
	if err := c.replica.ProposeMembers(now, next); err == nil {
		c.group.applicants = slices.DeleteFunc(c.group.applicants, func(a membership.Applicant) bool {
			return slices.ContainsFunc(next, func(m replica.Member) bool { return m.ID == a.ID })
		})
	}
}
