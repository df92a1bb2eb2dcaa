// Package routing selects the worker that an entry instance sends a request to.
//
// A Table holds one entry instance's record of each worker: the instance's own
// requests in flight, the load that the agent last reported, the latency of the
// answers, and the failures. Pick draws two random workers and returns the one
// with the lower estimated wait. Workers of the local availability zone are
// preferred until their cost clearly exceeds that of the other zones. A worker
// that fails several requests in a row is ejected for a while.
package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/worker"
)

// Parameters of the selection. A failing worker is ejected: Pick skips the
// worker until the ejection ends.
const (
	_latencyDecay      = 5 * time.Second        // time constant of the moving average of the latency
	_initialLatency    = 5 * time.Millisecond   // latency assumed of a worker that has not answered yet
	_loadTTL           = 2 * time.Second        // age from which a reported load is ignored
	_zoneCostFactor    = 1.5                    // cost relative to other zones up to which the local zone is used
	_ejectFailures     = 5                      // consecutive failures until a worker is ejected
	_minEjection       = 2 * time.Second        // first ejection; each further one in a row is twice as long
	_maxEjection       = 30 * time.Second       // upper bound of an ejection
	_maxEjectedShare   = 0.5                    // share of the candidates that may be ejected at once
	_maxDraws          = 8                      // random draws before all workers are searched
	_minFailureLatency = 100 * time.Millisecond // lower bound of the latency recorded for a failure
)

// workerRecord holds the load, latency and failures of one worker.
type workerRecord struct {
	agentIncarnation uint64
	inFlight         int           // requests that this entry instance sent
	reportedLoad     float64       // slots in use plus waiting requests, divided by the slots
	reportedAt       time.Time     // time of reportedLoad
	latency          time.Duration // peak-sensitive moving average
	latencyAt        time.Time
	failures         int // consecutive; 0 after an ejection
	ejections        int // since the last successful answer
	ejectedUntil     time.Time
}

// Table holds one entry instance's records of the workers. The zero value is
// empty and ready. It is not safe for concurrent use.
type Table struct {
	records map[string]*workerRecord
}

// recordFor returns the record of a worker under an agent incarnation. A newer
// agent incarnation replaces the record and keeps only the requests in flight.
func (t *Table) recordFor(id string, agentIncarnation uint64) *workerRecord {
	r, ok := t.records[id]
	if ok && r.agentIncarnation == agentIncarnation {
		return r
	}
	if ok && r.agentIncarnation > agentIncarnation {
		return &workerRecord{} // discarded: a report of a past agent incarnation changes nothing
	}
	if t.records == nil {
		t.records = make(map[string]*workerRecord)
	}
	fresh := &workerRecord{agentIncarnation: agentIncarnation}
	if ok {
		fresh.inFlight = r.inFlight
	}
	t.records[id] = fresh
	return fresh
}

// Candidates holds the workers that serve one target, by availability zone. It
// is built when the view changes and must not be modified afterwards.
type Candidates struct {
	all   []worker.Worker
	zones map[string]zoneCandidates
}

// zoneCandidates splits the candidates into those of one availability zone and
// those of all other zones.
type zoneCandidates struct{ local, remote []worker.Worker }

// NewCandidates groups the workers by availability zone.
func NewCandidates(workers []worker.Worker) *Candidates {
	c := &Candidates{all: workers, zones: make(map[string]zoneCandidates)}
	for _, w := range workers {
		if _, ok := c.zones[w.Zone]; ok {
			continue
		}
		var z zoneCandidates
		for _, other := range workers {
			if other.Zone == w.Zone {
				z.local = append(z.local, other)
			} else {
				z.remote = append(z.remote, other)
			}
		}
		c.zones[w.Zone] = z
	}
	return c
}

// Len returns the number of candidates.
func (c *Candidates) Len() int { return len(c.all) }

// Pick selects a candidate for a request of an entry instance in the zone
// zoneName. It reports false if no candidate can be used. Workers in tried are
// skipped. An ejected worker of the local zone is skipped unless no worker of
// the local zone is usable; the same holds for the other zones together.
func (t *Table) Pick(now time.Time, rnd *rand.Rand, zoneName string, c *Candidates, tried []string) (worker.Worker, bool) {
	if c == nil || len(c.all) == 0 {
		return worker.Worker{}, false
	}
	z, ok := c.zones[zoneName]
	if !ok {
		return t.chooseCheaper(now, rnd, c.all, tried)
	}
	a, okA := t.chooseCheaper(now, rnd, z.local, tried)
	b, okB := t.chooseCheaper(now, rnd, z.remote, tried)
	switch {
	case okA && okB && t.cost(now, a) <= _zoneCostFactor*t.cost(now, b), okA && !okB:
		return a, true
	case okB:
		return b, true
	}
	return worker.Worker{}, false
}

// isUsable reports whether a worker accepts work, has not been tried and is not
// ejected.
func (t *Table) isUsable(now time.Time, w worker.Worker, tried []string) bool {
	return w.AcceptsWork() && !slices.Contains(tried, w.ID) && !now.Before(t.recordFor(w.ID, w.AgentIncarnation).ejectedUntil)
}

// drawUsable returns a random usable worker. A few random draws suffice if most
// workers are usable; otherwise all workers are searched.
func (t *Table) drawUsable(now time.Time, rnd *rand.Rand, from []worker.Worker, tried []string) (worker.Worker, bool) {
	for range _maxDraws {
		if w := from[rnd.IntN(len(from))]; t.isUsable(now, w, tried) {
			return w, true
		}
	}
	return t.searchUsable(now, rnd, from, tried)
}

// searchUsable searches all workers and returns a random usable one. If none
// is usable, an ejected worker is returned: the worker may have recovered, and
// rejecting the request is no better.
func (t *Table) searchUsable(now time.Time, rnd *rand.Rand, from []worker.Worker, tried []string) (worker.Worker, bool) {
	var usable, ejected []worker.Worker
	for _, w := range from {
		switch {
		case !w.AcceptsWork() || slices.Contains(tried, w.ID):
		case t.isUsable(now, w, tried):
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

// chooseCheaper draws two random workers and returns the one with the lower
// cost.
func (t *Table) chooseCheaper(now time.Time, rnd *rand.Rand, from []worker.Worker, tried []string) (worker.Worker, bool) {
	if len(from) == 0 {
		return worker.Worker{}, false
	}
	a, ok := t.drawUsable(now, rnd, from, tried)
	if !ok || len(from) == 1 {
		return a, ok
	}
	b, ok := t.drawUsable(now, rnd, from, tried)
	if ok && t.cost(now, b) < t.cost(now, a) {
		return b, true
	}
	return a, true
}

// cost estimates the wait for an answer as latency * (1 + share*share), where
// share is the share of slots in use after one more request.
func (t *Table) cost(now time.Time, w worker.Worker) float64 {
	r := t.recordFor(w.ID, w.AgentIncarnation)
	slots := float64(max(w.Capacity.Slots, 1))
	share := float64(r.inFlight+1) / slots
	if now.Sub(r.reportedAt) < _loadTTL {
		share = max(share, r.reportedLoad+1/slots)
	}
	latency := r.latency
	if latency == 0 {
		latency = _initialLatency
	}
	return float64(latency) * (1 + share*share)
}

// RecordSent records that a request was sent to a worker.
func (t *Table) RecordSent(w worker.Worker) { t.recordFor(w.ID, w.AgentIncarnation).inFlight++ }

// RecordEnded records that a request ended, whether it succeeded or failed.
func (t *Table) RecordEnded(w worker.Worker) {
	if r, ok := t.records[w.ID]; ok && r.inFlight > 0 {
		r.inFlight--
	}
}

// RecordLoad records the load that an agent reports: slots in use and waiting
// requests.
func (t *Table) RecordLoad(now time.Time, w worker.Worker, used, queued int) {
	r := t.recordFor(w.ID, w.AgentIncarnation)
	r.reportedLoad = float64(used+queued) / float64(max(w.Capacity.Slots, 1))
	r.reportedAt = now
}

// RecordSuccess records a successful answer and its latency.
func (t *Table) RecordSuccess(now time.Time, w worker.Worker, latency time.Duration) {
	r := t.recordFor(w.ID, w.AgentIncarnation)
	r.observeLatency(now, latency)
	r.failures = 0
	r.ejections = 0
}

// RecordFailure records that a worker or its target failed a request. It
// reports whether the worker is ejected because of this failure. peers is the
// number of workers that serve the same target, of which only a share may be
// ejected.
func (t *Table) RecordFailure(now time.Time, w worker.Worker, latency time.Duration, peers int) bool {
	r := t.recordFor(w.ID, w.AgentIncarnation)
	// A target that fails fast must not attract requests by its low latency.
	r.observeLatency(now, max(latency, _minFailureLatency))
	r.failures++
	if r.failures < _ejectFailures || float64(t.ejectedCount(now)+1) > _maxEjectedShare*float64(peers) {
		return false
	}
	r.failures = 0
	r.ejectedUntil = now.Add(min(_minEjection<<min(r.ejections, 8), _maxEjection))
	r.ejections++
	return true
}

// ejectedCount returns the number of ejected workers.
func (t *Table) ejectedCount(now time.Time) int {
	n := 0
	for _, r := range t.records {
		if now.Before(r.ejectedUntil) {
			n++
		}
	}
	return n
}

// observeLatency updates the moving average. A higher latency replaces the
// average at once; a lower one reduces the average gradually.
func (r *workerRecord) observeLatency(now time.Time, latency time.Duration) {
	latency = max(latency, time.Microsecond)
	if latency >= r.latency {
		r.latency = latency
		r.latencyAt = now
		return
	}
	weight := math.Exp(-float64(now.Sub(r.latencyAt)) / float64(_latencyDecay))
	r.latency = time.Duration(float64(r.latency)*weight + float64(latency)*(1-weight))
	r.latencyAt = now
}

// RemoveUnknown removes the records of workers that are no longer in the view.
func (t *Table) RemoveUnknown(known func(id string) bool) {
	for id := range t.records {
		if !known(id) {
			delete(t.records, id)
		}
	}
}
