// Package inbound bounds what the clients of a process's listeners make it hold: the
// bytes of the messages that it receives, and connections.
//
// A Budget carries out the decisions of package intake: a reader waits until its
// message may hold more bytes, and is interrupted when the message is cut off. A
// Listener has a limit of connections, and closes those that do nothing useful for
// new ones. Both report to an Observer.
package inbound

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianrail/gentianrail/intake"
	"github.com/gentianrail/gentianrail/internal/event"
)

const _reportInterval = 10 * time.Second // between log events of one observer

// Observer counts what clients are denied, and logs it at a bounded rate.
type Observer struct {
	log        event.Log
	rejected   metrics.Counter
	evicted    metrics.Counter
	cut        [intake.TooSlow + 1]metrics.Counter
	held       metrics.Gauge
	open       metrics.Gauge
	count      atomic.Int64 // open connections
	reportedAt atomic.Int64 // Unix time in ns; 0 before the first event
	unreported atomic.Int64 // cases since the latest event
}

// NewObserver returns an observer whose metrics have a common prefix. The registry
// may be nil.
func NewObserver(prefix string, log event.Log, registry metrics.Registry) *Observer {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	o := &Observer{
		log:      log,
		rejected: metrics.GetOrRegisterCounter(prefix+".rejected_connections", registry),
		evicted:  metrics.GetOrRegisterCounter(prefix+".closed_connections", registry),
		held:     metrics.GetOrRegisterGauge(prefix+".held_bytes", registry),
		open:     metrics.GetOrRegisterGauge(prefix+".connections", registry),
	}
	for r := intake.Stalled; r <= intake.TooSlow; r++ {
		o.cut[r] = metrics.GetOrRegisterCounter(prefix+".cut_bodies."+r.String(), registry)
	}
	return o
}

// Connections returns the number of open connections.
func (o *Observer) Connections() int64 { return o.count.Load() }

func (o *Observer) addConnections(n int64) { o.open.Update(o.count.Add(n)) }

func (o *Observer) recordCut(r intake.Reason, client string) {
	o.cut[r].Inc(1)
	o.report(r.String(), client)
}

func (o *Observer) recordRejected(client string) {
	o.rejected.Inc(1)
	o.report("connections", client)
}

func (o *Observer) recordEvicted(client string) {
	o.evicted.Inc(1)
	o.report("connections", client)
}

// report writes a log event, at most one in _reportInterval.
func (o *Observer) report(reason, client string) {
	o.unreported.Add(1)
	now := time.Now().UnixNano()
	last := o.reportedAt.Load()
	if last != 0 && now-last < int64(_reportInterval) || !o.reportedAt.CompareAndSwap(last, now) {
		return
	}
	o.log.Emit(event.ClientsLimited, event.Fields{
		"reason": reason, "client": client, "count": o.unreported.Swap(0), "held_bytes": o.held.Value(), "connections": o.count.Load(),
	}, "bodies or connections of clients cut off")
}
