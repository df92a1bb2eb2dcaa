package controller

import (
	"context"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/replica"
)

const (
	_joinInterval = 200 * time.Millisecond // between join requests
	// _joinDelay is the time without a leader after which a member requests to
	// join again, and the timeout of a request.
	_joinDelay = time.Second
)

// requestMembership sends join requests until this controller is a member, and
// again whenever it has no contact with a leader: at the first start, after a
// disk loss, and when the group has continued without this controller.
func (c *Controller) requestMembership(ctx context.Context, id replica.ID, s *settings.Settings) {
	defer c.controllers.Close()
	lastContact := clock.Now()
	joined := false
	for ctx.Err() == nil {
		clock.Sleep(ctx, _joinInterval)
		var addresses []string
		leaderless, member, full := false, false, false
		err := c.core.Do(ctx, func(core *Core, now time.Time) {
			// The leader must not wait for entries that this replica cannot write.
			full = core.diskErr != nil
			if full || core.replica.HasRecentContact(now) {
				lastContact = now
			}
			leaderless = now.Sub(lastContact) >= _joinDelay
			addresses = core.memberAddresses()
			member = slices.ContainsFunc(core.replica.Members(), func(m replica.Member) bool { return m.ID == id })
		})
		if err != nil {
			return
		}
		c.controllers.SetMembers(addresses)
		joined = joined || member
		if full || joined && !leaderless {
			continue
		}
		joinCtx, cancel := context.WithTimeout(ctx, _joinDelay)
		// The next iteration repeats a failed request.
		_ = c.controllers.Join(joinCtx, string(id), s.Controller.Address)
		cancel()
	}
}
