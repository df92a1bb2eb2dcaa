// Package front is the entry role for submissions: it passes the callers' calls
// to the controller that leads and keeps nothing itself.
//
// Since the leader answers every call from the replicated state, an entry has
// no view that could be behind. What it decides is how long a call may wait
// while no controller leads.
package front

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

// Times of an entry.
const (
	_refreshEvery = time.Second             // between two looks at who the controllers are
	_unreadyAfter = 3 * time.Second         // without any controller until new connections should go elsewhere
	_electionWait = 1500 * time.Millisecond // a call waits this long for a leader; an election takes about a second
	_leastWait    = 150 * time.Millisecond  // what a call gets when a leader has been missing for longer
	_moveAway     = 2500 * time.Millisecond // until the balancer has noticed that the entry drains: two probes, one a second
)

// Front is one entry.
type Front struct {
	log     event.Log
	leaders *control.Client
	calls   metrics.Timer

	mu       sync.Mutex
	reached  time.Time // when a controller answered last
	led      time.Time // when a leader answered last
	lost     bool      // no leader has answered the latest call
	draining bool

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Start starts an entry's tasks.
func Start(log event.Log, leaders *control.Client, registry metrics.Registry) *Front {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Front{log: log, leaders: leaders, cancel: cancel, led: clock.Now(), calls: metrics.NewRegisteredTimer("entry.calls", registry)}
	f.tasks.Go(func() { f.refresh(ctx) })
	return f
}

// refresh follows the group's members.
func (f *Front) refresh(ctx context.Context) {
	t := time.NewTicker(_refreshEvery)
	defer t.Stop()
	for {
		if err := f.leaders.Refresh(ctx); err == nil {
			f.mu.Lock()
			f.reached = clock.Now()
			f.mu.Unlock()
		}
		f.leaders.Expire(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Ready reports whether new connections should come here.
func (f *Front) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.draining && clock.Now().Sub(f.reached) < _unreadyAfter
}

// Call passes one call to the leader.
func (f *Front) Call(ctx context.Context, c control.Call) (control.CallAnswer, error) {
	began := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, f.patience(began))
	defer cancel()
	got, err := f.leaders.Call(ctx, c)
	code := fault.CodeOf(err)
	now := clock.Now()
	f.note(now, code != fault.NoLeader && code != fault.MaybeApplied)
	f.calls.Update(now.Sub(began))
	if code != fault.OK || c.Verb == control.Submit || c.Verb == control.Cancel {
		f.log.Emit(event.CallAnswered, event.Fields{
			"submission": path.Base(c.Path), "verb": c.Verb.String(), "code": code.Name(), "ms": now.Sub(began).Milliseconds(),
		}, "a caller's call was answered")
	}
	return got, err
}

// patience returns how long a call may wait for a leader: for an election, but
// no longer once one should have been over.
func (f *Front) patience(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lost {
		return _electionWait
	}
	return max(_electionWait-now.Sub(f.led), _leastWait)
}

func (f *Front) note(now time.Time, led bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if led {
		f.led, f.reached = now, now
	}
	if led == !f.lost {
		return
	}
	f.lost = !led
	if f.lost {
		f.log.Emit(event.LeaderLost, event.Fields{"silent_ms": now.Sub(f.led).Milliseconds()}, "no controller that leads answered a call")
		return
	}
	f.log.Emit(event.LeaderBack, nil, "a leader answers again")
}

// Drain has the balancer send new connections elsewhere and returns when it
// should have noticed.
func (f *Front) Drain(ctx context.Context) {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	t := time.NewTimer(_moveAway)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Stop ends the tasks. The servers in front of it have been stopped before.
func (f *Front) Stop(context.Context) error {
	f.cancel()
	f.tasks.Wait()
	f.leaders.Close()
	return nil
}
