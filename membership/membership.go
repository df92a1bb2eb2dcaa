// Package membership decides how the group of controllers changes.
//
// NextMembers returns one change at a time. A replica that is new, or that lost
// its disk and so has a new identifier, first becomes a learner. The learner
// becomes a voter once its disk has the log, and replaces the voter that was at
// its address. The replaced voter never returns, so every majority that the
// remaining old voters can still form overlaps with every majority of the new
// voters. The group never tolerates fewer losses than before.
package membership

import (
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/replica"
)

// Time limits and the maximum lag of a learner.
const (
	_joinRequestTTL  = 2 * time.Second  // after which a join request expires unless repeated
	_maxAckAge       = time.Second      // maximum age of a learner's latest answer at its promotion
	_maxPromotionLag = 64               // log entries that a learner may lack at its promotion
	_voterTimeout    = 2 * time.Second  // without an answer after which a voter counts as unresponsive
	_learnerTimeout  = 15 * time.Second // without an answer after which a learner is removed
)

// Applicant is a controller that asks to become a member.
type Applicant struct {
	ID          replica.ID
	Address     string
	LastRequest time.Time // when its latest join request arrived
}

// Group is the leader's view of the group of controllers.
type Group struct {
	Self          replica.ID // the leader
	DesiredVoters int        // voters that the group should have
	Members       []replica.Member
	Progress      []replica.MemberProgress // of the other members
	LastIndex     uint64                   // of the leader's log
	Applicants    []Applicant
}

// NextMembers returns the members after the next change, or nil if no change is
// due. A change adds or removes one member, promotes a learner, or replaces a
// member that never returns.
func (g *Group) NextMembers(now time.Time) []replica.Member {
	if next := g.promoteLearner(now); next != nil {
		return next
	}
	if next := g.removeUnresponsiveMember(now); next != nil {
		return next
	}
	return g.addApplicant(now)
}

func (g *Group) countVoters() int {
	n := 0
	for _, m := range g.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// MissingVoters returns how many voters that respond the group lacks.
func (g *Group) MissingVoters(now time.Time) int {
	return max(g.DesiredVoters-(g.countVoters()-g.countUnresponsiveVoters(now)), 0)
}

// promoteLearner makes a learner that has caught up a voter if the learner
// replaces the voter that was at its address, or if the group has too few voters
// that respond.
func (g *Group) promoteLearner(now time.Time) []replica.Member {
	for _, s := range g.Progress {
		if !s.Learner || s.Match+_maxPromotionLag < g.LastIndex || now.Sub(s.Acked) > _maxAckAge {
			continue
		}
		old := g.previousVoterAt(s.Address, s.ID)
		if old == "" && g.countVoters()-g.countUnresponsiveVoters(now) >= g.DesiredVoters {
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

// previousVoterAt returns the voter that was at an address before its
// successor, or "".
func (g *Group) previousVoterAt(address string, successor replica.ID) replica.ID {
	for _, m := range g.Members {
		if m.Address == address && m.ID != successor && !m.Learner {
			return m.ID
		}
	}
	return ""
}

func (g *Group) countUnresponsiveVoters(now time.Time) int {
	n := 0
	for _, s := range g.Progress {
		if !s.Learner && now.Sub(s.Acked) >= _voterTimeout {
			n++
		}
	}
	return n
}

// removeUnresponsiveMember removes an unresponsive learner, or an unresponsive
// voter if there are more voters than needed.
func (g *Group) removeUnresponsiveMember(now time.Time) []replica.Member {
	surplus := g.countVoters() > g.DesiredVoters
	for _, s := range g.Progress {
		sinceAnswer := now.Sub(s.Acked)
		if s.Learner && sinceAnswer >= _learnerTimeout || !s.Learner && surplus && sinceAnswer >= _voterTimeout {
			return slices.DeleteFunc(slices.Clone(g.Members), func(m replica.Member) bool { return m.ID == s.ID })
		}
	}
	return nil
}

// addApplicant makes an applicant a learner and removes a learner that was at
// its address before.
func (g *Group) addApplicant(now time.Time) []replica.Member {
	for _, a := range g.Applicants {
		isMember := slices.ContainsFunc(g.Members, func(m replica.Member) bool { return m.ID == a.ID })
		if isMember || now.Sub(a.LastRequest) > _joinRequestTTL {
			continue
		}
		next := slices.DeleteFunc(slices.Clone(g.Members), func(m replica.Member) bool {
			return m.Learner && m.Address == a.Address
		})
		return append(next, replica.Member{ID: a.ID, Address: a.Address, Learner: true})
	}
	return nil
}
