package controller

import (
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/replica"
)

const (
	// _diskRetryInterval is the time from a failed write or attempt to the next attempt
	// to open the store of a full disk.
	_diskRetryInterval = 500 * time.Millisecond

	// _minHeadroom is how many bytes a full disk must accept before the replica takes
	// part again: as much as the entries of one message of the leader.
	_minHeadroom = 256 << 10
)

// outage is the state of a core whose disk is full. The zero value is none.
type outage struct {
	since       time.Time
	headroom    int // bytes that the disk must accept
	attempts    int // to open the store
	nextAttempt time.Time

	leader        replica.ID // sender of the latest message of the highest term that only a leader sends
	leaderTerm    uint64
	leaderContact time.Time
}

// restoredStore is a store that has been opened, with its contents.
type restoredStore struct {
	store *disk.Store
	state replica.RestoredState
	torn  int // bytes of an incomplete record at the end of the log
}

func openStore(files disk.Files) (restoredStore, error) {
	store, state, torn, err := disk.Open(files)
	return restoredStore{store, state, torn}, err
}

func reopenStore(files disk.Files, headroom int) (restoredStore, error) {
	store, state, torn, err := disk.Reopen(files, headroom)
	return restoredStore{store, state, torn}, err
}

// leads reports whether the replica is the leader and takes part in the group.
func (c *Core) leads() bool { return c.diskErr == nil && c.replica.Role() == replica.Leader }

// holdsLease reports whether this controller is the only possible leader.
func (c *Core) holdsLease(now time.Time) bool { return c.diskErr == nil && c.replica.HoldsLease(now) }

// leaderContact returns the known leader, or "", and the time since its latest message.
func (c *Core) leaderContact(now time.Time) (replica.ID, time.Duration) {
	if c.diskErr != nil {
		return c.outage.leader, now.Sub(c.outage.leaderContact)
	}
	return c.replica.Leader(), c.replica.SinceLeaderContact(now)
}

// handleDiskFailure stops the replica: it no longer votes or answers, so that it
// acknowledges only what is on its disk. If the disk is full, the core tries to open the
// store again; otherwise the process has to restart.
func (c *Core) handleDiskFailure(now time.Time, err error) {
	if c.diskErr != nil {
		return
	}
	c.diskErr = err
	c.outage = outage{leaderTerm: c.replica.Term()}
	c.feed.SetLeaderContact(false)
	for index, p := range c.pendingProposals {
		delete(c.pendingProposals, index)
		p.resolve(result{err: fault.New(fault.MaybeApplied, "the disk failed before the change was confirmed")})
	}
	c.updateRole()
	if !disk.IsFull(err) {
		c.reportDiskFailure()
		return
	}
	headroom := c.store.FailedSize()
	_ = c.store.Close() // the store has failed
	c.store = nil
	c.startOutage(now, headroom)
}

// reportDiskFailure reports that the disk has failed for good.
func (c *Core) reportDiskFailure() {
	c.log.Emit(event.DiskFailed, event.Fields{"error": c.diskErr.Error()}, "data folder failed; controller stopped until restart")
	close(c.diskFailed) // after the event: the process may end
}

// startOutage begins the attempts to open the store of a full disk. No write is in
// progress.
func (c *Core) startOutage(now time.Time, headroom int) {
	c.outage.since = now
	c.outage.headroom = max(headroom, _minHeadroom)
	c.outage.nextAttempt = now.Add(_diskRetryInterval)
	c.diskFull.Update(1)
	c.log.Emit(event.DiskFull, event.Fields{"error": c.diskErr.Error(), "needed_bytes": c.outage.headroom},
		"disk full; controller takes no part in the group until there is space")
}

// observe records the leader of the other replicas while this one handles no messages.
func (c *Core) observe(now time.Time, m replica.Message) {
	switch m.Body.(type) {
	case replica.Append, replica.InstallSnapshot:
	default:
		return
	}
	if m.Term < c.outage.leaderTerm {
		return
	}
	c.outage.leader, c.outage.leaderTerm, c.outage.leaderContact = m.From, m.Term, now
}

// retryDisk starts an attempt to open the store when one is due.
func (c *Core) retryDisk(now time.Time) {
	if c.outage.since.IsZero() || c.writing || now.Before(c.outage.nextAttempt) {
		return
	}
	c.outage.attempts++
	c.writing = true
	c.writer.requests <- writeRequest{reply: c.writeResults, reopen: &reopenRequest{files: c.cfg.Files, headroom: c.outage.headroom}}
}

// handleReopened handles the end of an attempt to open the store.
func (c *Core) handleReopened(now time.Time, s restoredStore, err error) {
	if err == nil {
		err = c.restore(now, s)
	}
	switch {
	case err == nil:
		c.log.Emit(event.DiskAvailable, event.Fields{
			"ms": now.Sub(c.outage.since).Milliseconds(), "attempts": c.outage.attempts, "last": c.replica.LastIndex(),
		}, "disk has space; controller takes part in the group again")
		c.diskErr, c.outage = nil, outage{}
		c.diskFull.Update(0)
	case disk.IsFull(err):
		c.outage.nextAttempt = now.Add(_diskRetryInterval)
	default:
		c.diskErr, c.outage.since = err, time.Time{}
		c.reportDiskFailure()
	}
}

// restore creates the replica and the state machine from what is on the disk, as at a
// start of the process. The feed keeps its changes: the view that this controller has
// shown does not go back while the entries up to it are applied again.
func (c *Core) restore(now time.Time, s restoredStore) error {
	c.store = s.store
	if s.torn > 0 {
		c.log.Emit(event.LogEndCut, event.Fields{"bytes": s.torn}, "incomplete record at the end of the log removed")
	}
	c.latestSnapshot = s.state.Snapshot
	c.hardState = s.state.State
	c.lastApplied = replica.Entry{}
	if err := c.loadSnapshot(now, s.state.Snapshot); err != nil {
		return err
	}
	for _, e := range s.state.Entries {
		if e.Kind == replica.KindCommand {
			c.logClock.advance(now, e.Time)
		}
	}
	c.replica = replica.New(c.cfg.Replica, s.state, func() replica.Snapshot { return c.latestSnapshot }, now)
	if c.machine.Revision() > c.feed.Revision() {
		c.feed.Reset(c.machine.Revision())
	}
	c.sched.reset()
	c.sessions.reset(now)
	c.holders = make(map[string]Holder)
	c.group.applicants, c.group.voters = nil, shortage{}
	c.accepted.reset()
	c.accepted.sinceSnapshot = 0
	c.zones.reset()
	c.updateEvacuationMetric()
	return nil
}

// isCaughtUp reports whether the state includes all that this controller has shown.
func (c *Core) isCaughtUp() bool { return c.machine.Revision() >= c.feed.Revision() }
