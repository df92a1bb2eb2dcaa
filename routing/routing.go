// Package routing decides which worker an entry instance asks.
//
// A Table holds what one entry instance knows of each worker: its own requests
// in flight there, the load that the agent last reported, how long answers
// take, and how they ended. Pick takes two random workers and returns the one
// that promises the shorter wait. Workers of the own availability zone are
// preferred until they are clearly busier than the others.
package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gentianrail/gentianrail/worker"
)

// Parameters of the choice.
const (
	_decay          = 5 * time.Second        // time in which an old latency loses most of its weight
	_firstLatency   = 5 * time.Millisecond   // assumed of a worker that has not answered yet
	_loadFresh      = 2 * time.Second        // how long a reported load is believed
	_zoneFactor     = 1.5                    // how much busier the own zone may be
	_ejectAfter     = 5                      // failures in a row until a worker is left out
	_ejectFirst     = 2 * time.Second        // for how long, at first
	_ejectMost      = 30 * time.Second       // for how long at most
	_mostEjected    = 0.5                    // share of the candidates that may be left out
	_failureLatency = 100 * time.Millisecond // latency that a failure counts as
)

// record is what is known of one worker.
type record struct {
	incarnation uint64
	inFlight    int           // own requests
	reported    float64       // share of slots in use or asked for
	reportedAt  time.Time     // when that was said
	latency     time.Duration // peak-sensitive moving average
	latencyAt   time.Time
	failures    int // in a row
	ejections   int // in a row
	ejectedTill time.Time
}

// Table is one entry instance's knowledge. The zero value is ready. It is not
// safe for concurrent use.
type Table struct {
	records map[string]*record
}

func (t *Table) record(id string, incarnation uint64) *record {
	r, ok := t.records[id]
	if ok && r.incarnation == incarnation {
		return r
	}
	if ok && r.incarnation > incarnation {
		return &record{} // a past incarnation's news changes nothing
	}
	if t.records == nil {
		t.records = make(map[string]*record)
	}
	fresh := &record{incarnation: incarnation}
	if ok {
		fresh.inFlight = r.inFlight
	}
	t.records[id] = fresh
	return fresh
}

// Pick returns the worker to ask among the candidates, none if there is none.
// Those in tried are left out, and those that fail as long as enough others
// are left.
func (t *Table) Pick(now time.Time, rnd *rand.Rand, zone string, candidates []worker.Worker, tried []string) (worker.Worker, bool) {
	open := t.open(now, candidates, tried)
	if len(open) == 0 {
		return worker.Worker{}, false
	}
	near, far := split(open, zone)
	if len(near) == 0 || len(far) == 0 {
		return t.choose(now, rnd, open), true
	}
	a := t.choose(now, rnd, near)
	b := t.choose(now, rnd, far)
	if t.cost(now, a) <= _zoneFactor*t.cost(now, b) {
		return a, true
	}
	return b, true
}

// open returns the candidates that take work, have not been tried and are not
// ejected. Ejection never leaves out more than its share.
func (t *Table) open(now time.Time, candidates []worker.Worker, tried []string) []worker.Worker {
	var open, ejected []worker.Worker
	for _, w := range candidates {
		if !w.Open() || contains(tried, w.ID) {
			continue
		}
		if now.Before(t.record(w.ID, w.Incarnation).ejectedTill) {
			ejected = append(ejected, w)
			continue
		}
		open = append(open, w)
	}
	if float64(len(ejected)) > _mostEjected*float64(len(open)+len(ejected)) {
		return append(open, ejected...)
	}
	return open
}

func contains(ids []string, id string) bool {
	for _, s := range ids {
		if s == id {
			return true
		}
	}
	return false
}

func split(workers []worker.Worker, zone string) (near, far []worker.Worker) {
	for _, w := range workers {
		if w.Zone == zone {
			near = append(near, w)
		} else {
			far = append(far, w)
		}
	}
	return near, far
}

// choose takes two random workers and returns the cheaper one.
func (t *Table) choose(now time.Time, rnd *rand.Rand, from []worker.Worker) worker.Worker {
	if len(from) == 1 {
		return from[0]
	}
	i := rnd.IntN(len(from))
	j := rnd.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	if t.cost(now, from[j]) < t.cost(now, from[i]) {
		return from[j]
	}
	return from[i]
}

// cost estimates the wait for an answer: the latency times the share of the
// slots that are taken, one more request included.
func (t *Table) cost(now time.Time, w worker.Worker) float64 {
	r := t.record(w.ID, w.Incarnation)
	slots := float64(max(w.Capacity.Slots, 1))
	share := float64(r.inFlight+1) / slots
	if now.Sub(r.reportedAt) < _loadFresh {
		share = max(share, r.reported+1/slots)
	}
	latency := r.latency
	if latency == 0 {
		latency = _firstLatency
	}
	return float64(latency) * (1 + share*share)
}

// Sent notes a request to a worker.
func (t *Table) Sent(w worker.Worker) { t.record(w.ID, w.Incarnation).inFlight++ }

// Ended notes the end of a request, however it ended.
func (t *Table) Ended(w worker.Worker) {
	if r, ok := t.records[w.ID]; ok && r.inFlight > 0 {
		r.inFlight--
	}
}

// Reported notes the load that an agent states: slots in use and requests
// that wait.
func (t *Table) Reported(now time.Time, w worker.Worker, used, queued int) {
	r := t.record(w.ID, w.Incarnation)
	r.reported = float64(used+queued) / float64(max(w.Capacity.Slots, 1))
	r.reportedAt = now
}

// Answered notes a good answer.
func (t *Table) Answered(now time.Time, w worker.Worker, latency time.Duration) {
	r := t.record(w.ID, w.Incarnation)
	r.observe(now, latency)
	r.failures = 0
	r.ejections = 0
}

// Failed notes a request that the worker or its target failed. It reports
// whether the worker is left out from now on.
func (t *Table) Failed(now time.Time, w worker.Worker, latency time.Duration) bool {
	r := t.record(w.ID, w.Incarnation)
	// A target that fails fast must not look fast.
	r.observe(now, max(latency, _failureLatency))
	r.failures++
	if r.failures < _ejectAfter {
		return false
	}
	r.failures = 0
	span := min(_ejectFirst<<min(r.ejections, 8), _ejectMost)
	r.ejections++
	r.ejectedTill = now.Add(span)
	return true
}

// observe moves the average at once to a higher latency, and slowly down to a
// lower one.
func (r *record) observe(now time.Time, latency time.Duration) {
	latency = max(latency, time.Microsecond)
	if latency >= r.latency {
		r.latency = latency
		r.latencyAt = now
		return
	}
	weight := math.Exp(-float64(now.Sub(r.latencyAt)) / float64(_decay))
	r.latency = time.Duration(float64(r.latency)*weight + float64(latency)*(1-weight))
	r.latencyAt = now
}

// Forget drops workers that are not in the view any more.
func (t *Table) Forget(known func(id string) bool) {
	for id := range t.records {
		if !known(id) {
			delete(t.records, id)
		}
	}
}
