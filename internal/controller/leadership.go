package controller

import (
	"time"

	"github.com/gentianrail/gentianrail/replica"
)

// leadership is what this controller knows of the leader.
type leadership struct {
	leader     replica.ID    // empty if unknown
	leads      bool          // this controller is the leader
	holdsLease bool          // and may act as such
	changed    chan struct{} // closed when any of the above changes
}

// mayAct reports whether the leader may act as far as this controller knows: it is
// another one, or holds its lease. A leader without a lease acquires it within
// milliseconds, or loses its role.
func (l *leadership) mayAct() bool { return !l.leads || l.holdsLease }

// updateLeadership wakes those who wait for a leader.
func (c *Core) updateLeadership(now time.Time) {
	leader, _ := c.leaderContact(now)
	next := leadership{leader: leader, leads: c.leads(), holdsLease: c.holdsLease(now), changed: c.leadership.changed}
	if next == c.leadership {
		return
	}
	close(c.leadership.changed)
	next.changed = make(chan struct{})
	c.leadership = next
}
