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

// _memberCheckInterval is the minimum time between checks of the members.
const _memberCheckInterval = 50 * time.Millisecond

// group is the core's state of the group's members outside the log.
type group struct {
	replicas        int // voters that the group should have; 0 for a fixed group
	onMembersChange func([]replica.Member)
	address         func(replica.ID) string
	reportedMembers []replica.Member // argument of the latest call of onMembersChange
	applicants      []membership.Applicant
	lastCheck       time.Time
	voters          shortage
}

// Times of the reports on missing voters.
const (
	_shortageDelay    = 5 * time.Second // for which voters must be missing
	_shortageInterval = 10 * time.Second
)

// shortage is how long voters have been missing. The zero value is none.
type shortage struct {
	since    time.Time // zero if no voter is missing
	loggedAt time.Time
}

// isDue records how many voters are missing, and reports whether that should be logged.
func (s *shortage) isDue(now time.Time, missing int) bool {
	switch {
	case missing == 0:
		*s = shortage{}
		return false
	case s.since.IsZero():
		s.since = now
	}
	if now.Sub(s.since) < _shortageDelay || !s.loggedAt.IsZero() && now.Sub(s.loggedAt) < _shortageInterval {
		return false
	}
	s.loggedAt = now
	return true
}

// _leaderAddressTTL is how long the address of a leader is returned after the
// leader's latest message. A leader sends several heartbeats in this time.
const _leaderAddressTTL = 350 * time.Millisecond

// leaderAddress returns the address of the known leader, or "". It omits an
// unresponsive leader, since callers would wait for that leader.
func (c *Core) leaderAddress() string {
	id, since := c.leaderContact(clock.Now())
	if since > _leaderAddressTTL {
		return ""
	}
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

// LeaderAddress returns the address of the leader that this controller has contact
// with, or "".
func (c *Core) LeaderAddress() string {
	address := ""
	// A stopped core knows no leader.
	_ = c.Do(context.Background(), func(c *Core, _ time.Time) { address = c.leaderAddress() })
	return address
}

// memberAddresses returns the addresses of all members.
func (c *Core) memberAddresses() []string {
	var out []string
	for _, m := range c.replica.Members() {
		if m.Address != "" {
			out = append(out, m.Address)
		}
	}
	return out
}

// reportMembers passes changed members to onMembersChange and logs them.
func (c *Core) reportMembers() {
	members := c.replica.Members()
	if c.group.onMembersChange == nil || slices.Equal(members, c.group.reportedMembers) {
		return
	}
	c.group.reportedMembers = members
	c.group.onMembersChange(members)
	ids := make([]string, 0, len(members))
	for _, m := range members {
		id := string(m.ID)
		if m.Learner {
			id += " (learner)"
		}
		ids = append(ids, id)
	}
	c.log.Emit(event.MembersChanged, event.Fields{"members": ids, "term": c.replica.Term()}, "group members changed")
}

// recordApplicant records a controller's request to become a member.
func (c *Core) recordApplicant(now time.Time, id replica.ID, address string) {
	for i := range c.group.applicants {
		if a := &c.group.applicants[i]; a.ID == id {
			a.Address, a.LastRequest = address, now
			return
		}
	}
	c.group.applicants = append(c.group.applicants, membership.Applicant{ID: id, Address: address, LastRequest: now})
}

// proposeMemberChange proposes the next change of the members, if this replica
// leads.
func (c *Core) proposeMemberChange(now time.Time) {
	if c.group.replicas == 0 || now.Sub(c.group.lastCheck) < _memberCheckInterval {
		return
	}
	c.group.lastCheck = now
	if !c.holdsLease(now) {
		c.group.voters = shortage{}
		return
	}
	g := membership.Group{
		Self:          c.replica.Leader(),
		DesiredVoters: c.group.replicas,
		Members:       c.replica.Members(),
		Progress:      c.replica.Progress(),
		LastIndex:     c.replica.LastIndex(),
		Applicants:    c.group.applicants,
	}
	if missing := g.MissingVoters(now); c.group.voters.isDue(now, missing) {
		c.log.Emit(event.VotersMissing, event.Fields{"missing": missing, "voters": c.group.replicas - missing, "want": c.group.replicas},
			"the group has fewer voters than it should")
	}
	next := g.NextMembers(now)
	if next == nil {
		return
	}
	// The next check repeats a rejected proposal.
	if err := c.replica.ProposeMembers(now, next); err == nil {
		c.group.applicants = slices.DeleteFunc(c.group.applicants, func(a membership.Applicant) bool {
			return slices.ContainsFunc(next, func(m replica.Member) bool { return m.ID == a.ID })
		})
	}
}
