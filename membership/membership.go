// Package membership decides how the group of controllers changes.
//
// Next returns one step at a time. A replica that is new, or that lost its
// disk and so has a new identity, first becomes a learner. It becomes a voter
// once its disk holds the log. It then takes the place of the voter that was
// at its address: that voter is gone for good, so the two sets of voters have
// a common majority although one is replaced in a single step, and at no time
// does the group bear fewer losses than before.
package membership

import (
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/replica"
)

// Bounds of the decisions.
const (
	_freshFor    = 2 * time.Second  // how long an application stands without being repeated
	_recentFor   = time.Second      // within which a learner must have answered to become a voter
	_closeEnough = 64               // log entries that a learner may lack and still become a voter
	_silentVoter = 4 * time.Second  // after which a voter may be removed if another one has taken its place
	_silentOther = 15 * time.Second // after which a learner is removed
)

// Applicant is a controller that asks to become a member.
type Applicant struct {
	ID      replica.ID
	Address string
	Heard   time.Time // when it asked last
}

// Group is what the leader knows of the group.
type Group struct {
	Self       replica.ID
	Replicas   int // voters that the group should have
	Members    []replica.Member
	Standings  []replica.Standing
	LastIndex  uint64 // of the leader's log
	Applicants []Applicant
}

// Next returns the members of the next step, or nil if none is due. Successive
// results differ in one member, or replace one that is gone for good.
func (g *Group) Next(now time.Time) []replica.Member {
	if next := g.promote(now); next != nil {
		return next
	}
	if next := g.remove(now); next != nil {
		return next
	}
	return g.add(now)
}

func (g *Group) voters() int {
	n := 0
	for _, m := range g.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// promote makes a learner that has caught up a voter.
func (g *Group) promote(now time.Time) []replica.Member {
	for _, s := range g.Standings {
		if !s.Learner || s.Match+_closeEnough < g.LastIndex || now.Sub(s.Acked) > _recentFor {
			continue
		}
		old := g.voterAt(s.Address, s.ID)
		if old == "" && g.voters() >= g.Replicas && !g.silentVoter(now) {
			continue
		}
		var next []replica.Member
		for _, m := range g.Members {
			switch {
			case m.ID == s.ID:
				next = append(next, replica.Member{ID: m.ID, Address: m.Address})
			case m.ID != old:
				next = append(next, m)
			}
		}
		return next
	}
	return nil
}

// voterAt returns the voter that was at an address before the given replica.
func (g *Group) voterAt(address string, now replica.ID) replica.ID {
	for _, m := range g.Members {
		if m.Address == address && m.ID != now && !m.Learner {
			return m.ID
		}
	}
	return ""
}

func (g *Group) silentVoter(now time.Time) bool {
	return slices.ContainsFunc(g.Standings, func(s replica.Standing) bool {
		return !s.Learner && now.Sub(s.Acked) >= _silentVoter
	})
}

// remove takes out a voter that is silent and not needed, or a learner that
// is silent.
func (g *Group) remove(now time.Time) []replica.Member {
	surplus := g.voters() > g.Replicas
	for _, s := range g.Standings {
		silent := now.Sub(s.Acked)
		if s.Learner && silent >= _silentOther || !s.Learner && surplus && silent >= _silentVoter {
			return slices.DeleteFunc(slices.Clone(g.Members), func(m replica.Member) bool { return m.ID == s.ID })
		}
	}
	return nil
}

// add makes an applicant a learner, in place of a learner that was at its
// address before.
func (g *Group) add(now time.Time) []replica.Member {
	for _, a := range g.Applicants {
		known := slices.ContainsFunc(g.Members, func(m replica.Member) bool { return m.ID == a.ID })
		if known || now.Sub(a.Heard) > _freshFor {
			continue
		}
		next := slices.DeleteFunc(slices.Clone(g.Members), func(m replica.Member) bool {
			return m.Learner && m.Address == a.Address
		})
		return append(next, replica.Member{ID: a.ID, Address: a.Address, Learner: true})
	}
	return nil
}
