// Package frontend implements the entry role for submissions: it forwards
// callers' calls to the leading controller.
//
// The leader answers every call from the replicated state, so an entry instance
// keeps no view that could be out of date. The entry instance only decides how
// long a call may wait while no controller leads.
package frontend

import (
	"context"
	"path"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/event"
)

// Timing of an entry instance.
const (
	_refreshInterval = time.Second             // between refreshes of the list of controllers
	_refreshRetry    = 100 * time.Millisecond  // from a failed refresh to one from the next controller
	_unreadyAfter    = 3 * time.Second         // without an answer of any controller
	_maxLeaderWait   = 1500 * time.Millisecond // of a call for a leader; an election takes about a second
	_minLeaderWait   = 150 * time.Millisecond  // of a call after a long time without a leader
	_drainDelay      = 2500 * time.Millisecond // for two readiness probes of the load balancer, one a second
)

// Frontend is one running entry instance.
type Frontend struct {
	log         event.Log
	controllers *control.Client
	calls       metrics.Timer

	mu                   sync.Mutex
	controllerAnsweredAt time.Time // last answer of any controller
	leaderAnsweredAt     time.Time // last answer of a leader
	leaderLost           bool      // no leader answered the latest call
	draining             bool

	cancel     context.CancelFunc
	background sync.WaitGroup
}

// Start starts an entry instance.
func Start(log event.Log, controllers *control.Client, registry metrics.Registry) *Frontend {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Frontend{log: log, controllers: controllers, cancel: cancel, leaderAnsweredAt: clock.Now(), calls: metrics.NewRegisteredTimer("entry.calls", registry)}
	f.background.Go(func() { f.refreshMembers(ctx) })
	return f
}

// refreshMembers keeps the list of controllers up to date and closes idle
// connections.
func (f *Frontend) refreshMembers(ctx context.Context) {
	for interval := time.Duration(0); clock.Sleep(ctx, interval); {
		interval = _refreshRetry
		if err := f.controllers.RefreshMembers(ctx); err == nil {
			interval = _refreshInterval
			f.mu.Lock()
			f.controllerAnsweredAt = clock.Now()
			f.mu.Unlock()
		}
		f.controllers.CloseExpired(clock.Now())
	}
}

// Ready reports whether the load balancer should send connections to this
// instance.
func (f *Frontend) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.draining && clock.Now().Sub(f.controllerAnsweredAt) < _unreadyAfter
}

// Call forwards one call to the leader.
func (f *Frontend) Call(ctx context.Context, c control.Call) (control.CallAnswer, error) {
	began := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, f.leaderTimeout(began))
	defer cancel()
	answer, err := f.controllers.Call(ctx, c)
	code := fault.CodeOf(err)
	now := clock.Now()
	f.recordLeaderState(now, code != fault.NoLeader && code != fault.MaybeApplied)
	f.calls.Update(now.Sub(began))
	if code != fault.OK || c.Verb == control.Submit || c.Verb == control.Cancel {
		f.log.Emit(event.CallAnswered, event.Fields{
			"submission": path.Base(c.Path), "verb": c.Verb.String(), "code": code.Name(), "ms": now.Sub(began).Milliseconds(),
		}, "call answered")
	}
	return answer, err
}

// leaderTimeout returns how long a call may wait for a leader. While no leader
// answers, the time shrinks from _maxLeaderWait to _minLeaderWait, since an
// election should not take longer than _maxLeaderWait.
func (f *Frontend) leaderTimeout(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leaderLost {
		return _maxLeaderWait
	}
	return max(_maxLeaderWait-now.Sub(f.leaderAnsweredAt), _minLeaderWait)
}

func (f *Frontend) recordLeaderState(now time.Time, leaderAnswered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if leaderAnswered {
		f.leaderAnsweredAt, f.controllerAnsweredAt = now, now
	}
	if leaderAnswered == !f.leaderLost {
		return
	}
	f.leaderLost = !leaderAnswered
	if f.leaderLost {
		f.log.Emit(event.LeaderLost, event.Fields{"silent_ms": now.Sub(f.leaderAnsweredAt).Milliseconds()}, "no leader answered a call")
		return
	}
	f.log.Emit(event.LeaderBack, nil, "leader answers again")
}

// Drain makes Ready report false and returns after the time that the load
// balancer needs to stop sending connections.
func (f *Frontend) Drain(ctx context.Context) {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	t := time.NewTimer(_drainDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Stop stops the background work and closes the connections to the controllers.
// The HTTP servers that use f must have been stopped before.
func (f *Frontend) Stop(context.Context) error {
	f.cancel()
	f.background.Wait()
	f.controllers.Close()
	return nil
}
