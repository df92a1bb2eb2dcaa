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
	"slices"
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
	_mostDraws      = 8                      // random draws before all workers are looked through
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

// Candidates are the workers that serve one target, by availability zone. It
// is built when the view changes and must not be changed afterwards.
type Candidates struct {
	all   []worker.Worker
	zones map[string]zone
}

// zone is one availability zone as seen from itself.
type zone struct{ near, far []worker.Worker }

// NewCandidates returns the candidates among the workers.
func NewCandidates(workers []worker.Worker) *Candidates {
	c := &Candidates{all: workers, zones: make(map[string]zone)}
	for _, w := range workers {
		if _, ok := c.zones[w.Zone]; ok {
			continue
		}
		var z zone
		for _, other := range workers {
			if other.Zone == w.Zone {
				z.near = append(z.near, other)
			} else {
				z.far = append(z.far, other)
			}
		}
		c.zones[w.Zone] = z
	}
	return c
}

// Len returns the number of candidates.
func (c *Candidates) Len() int { return len(c.all) }

// Pick returns the worker to ask among the candidates, none if there is none.
// Those in tried are left out, and those that fail as long as enough others
// are left.
func (t *Table) Pick(now time.Time, rnd *rand.Rand, zoneName string, c *Candidates, tried []string) (worker.Worker, bool) {
	if c == nil || len(c.all) == 0 {
		return worker.Worker{}, false
	}
	z, ok := c.zones[zoneName]
	if !ok {
		return t.choose(now, rnd, c.all, tried)
	}
	a, okA := t.choose(now, rnd, z.near, tried)
	b, okB := t.choose(now, rnd, z.far, tried)
	switch {
	case okA && okB && t.cost(now, a) <= _zoneFactor*t.cost(now, b), okA && !okB:
		return a, true
	case okB:
		return b, true
	}
	return worker.Worker{}, false
}

// usable reports whether a worker takes work, has not been tried and is not
// left out.
func (t *Table) usable(now time.Time, w worker.Worker, tried []string) bool {
	return w.Open() && !slices.Contains(tried, w.ID) && !now.Before(t.record(w.ID, w.Incarnation).ejectedTill)
}

// draw returns a random usable worker. It draws a few times, which finds one
// in a pool where most are usable, and then looks through all.
func (t *Table) draw(now time.Time, rnd *rand.Rand, from []worker.Worker, tried []string) (worker.Worker, bool) {
	for range _mostDraws {
		if w := from[rnd.IntN(len(from))]; t.usable(now, w, tried) {
			return w, true
		}
	}
	return t.search(now, rnd, from, tried)
}

// search looks through all workers. If none is usable it takes one that is
// left out for its failures: it may have recovered, and refusing is no better.
func (t *Table) search(now time.Time, rnd *rand.Rand, from []worker.Worker, tried []string) (worker.Worker, bool) {
	var usable, ejected []worker.Worker
	for _, w := range from {
		switch {
		case !w.Open() || slices.Contains(tried, w.ID):
		case t.usable(now, w, tried):
			usable = append(usable, w)
		default:
			ejected = append(ejected, w)
		}
	}
	if len(usable) == 0 {
		usable = ejected
	}
	if len(usable) == 0 {
		return worker.Worker{}, false
	}
	return usable[rnd.IntN(len(usable))], true
}

// choose draws two workers and returns the cheaper one.
func (t *Table) choose(now time.Time, rnd *rand.Rand, from []worker.Worker, tried []string) (worker.Worker, bool) {
	if len(from) == 0 {
		return worker.Worker{}, false
	}
	a, ok := t.draw(now, rnd, from, tried)
	if !ok || len(from) == 1 {
		return a, ok
	}
	b, ok := t.draw(now, rnd, from, tried)
	if ok && t.cost(now, b) < t.cost(now, a) {
		return b, true
	}
	return a, true
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
// whether the worker is left out from now on; peers is the number of workers
// that serve the same target, of which only a share may be left out.
func (t *Table) Failed(now time.Time, w worker.Worker, latency time.Duration, peers int) bool {
	r := t.record(w.ID, w.Incarnation)
	// A target that fails fast must not look fast.
	r.observe(now, max(latency, _failureLatency))
	r.failures++
	if r.failures < _ejectAfter || float64(t.ejected(now)+1) > _mostEjected*float64(peers) {
		return false
	}
	r.failures = 0
	r.ejectedTill = now.Add(min(_ejectFirst<<min(r.ejections, 8), _ejectMost))
	r.ejections++
	return true
}

// ejected returns how many workers are left out.
func (t *Table) ejected(now time.Time) int {
	n := 0
	for _, r := range t.records {
		if now.Before(r.ejectedTill) {
			n++
		}
	}
	return n
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
