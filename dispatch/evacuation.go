package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// _cancelTime is the time after an evacuation in which agents may still report the starts
// that they have cancelled during it: reports follow each other within half a second, and a
// stop that precedes a cancellation may be repeated.
const _cancelTime = 2 * time.Second

// evacuation holds the evacuated zones and their workers, which are in no list of workers
// that can receive tasks. The zero value has no evacuated zones.
type evacuation struct {
	startedAt      map[string]time.Time // by name of the evacuated zones
	finishedAt     map[string]time.Time // of the latest evacuation, by zone
	evacuatedNodes map[string]*node     // by incarnation; only workers that would otherwise receive tasks
}

// withoutWorkers returns the evacuated zones without their workers.
func (e *evacuation) withoutWorkers() evacuation {
	return evacuation{startedAt: e.startedAt, finishedAt: e.finishedAt}
}

// SetEvacuatedZones sets which zones are evacuated. Their workers receive no tasks.
func (s *Scheduler) SetEvacuatedZones(now time.Time, store *submission.Store, zones []string) {
	p := &s.pool
	if len(zones) == len(p.startedAt) && !slices.ContainsFunc(zones, func(z string) bool { return !p.isEvacuated(z) }) {
		return
	}
	before := p.startedAt
	p.startedAt = make(map[string]time.Time, len(zones))
	for _, zone := range zones {
		p.startedAt[zone] = now
		if at, ok := before[zone]; ok {
			p.startedAt[zone] = at
		}
	}
	for zone := range before {
		if p.isEvacuated(zone) {
			continue
		}
		if p.finishedAt == nil {
			p.finishedAt = make(map[string]time.Time)
		}
		p.finishedAt[zone] = now
	}
	maps.DeleteFunc(p.finishedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= _cancelTime })
	for _, nodes := range []map[string]*node{maps.Clone(p.nodes), maps.Clone(p.evacuatedNodes)} {
		for _, incarnation := range slices.Sorted(maps.Keys(nodes)) { // equal inputs give equal decisions
			p.set(store, nodes[incarnation].Worker)
		}
	}
}

func (e *evacuation) isEvacuated(zone string) bool {
	_, ok := e.startedAt[zone]
	return ok
}

// setEvacuated adds or updates a worker whose zone is evacuated. It returns false for other
// workers, and forgets that their zone was.
func (p *pool) setEvacuated(store *submission.Store, w Worker) bool {
	if !p.isEvacuated(w.Zone) {
		delete(p.evacuatedNodes, w.Incarnation)
		return false
	}
	n := &node{Worker: w}
	if old := p.nodes[w.Incarnation]; old != nil {
		n.newLoads = old.newLoads
	}
	p.withdraw(w.Incarnation)
	if p.evacuatedNodes == nil {
		p.evacuatedNodes = make(map[string]*node)
	}
	p.evacuatedNodes[w.Incarnation] = n
	n.takeOver(store)
	return true
}

// evacuatedServiceCPU returns the CPU that the service tasks on a service's evacuated workers
// request.
func (p *pool) evacuatedServiceCPU(service string) (cpu int64) {
	for _, n := range p.evacuatedNodes {
		if n.Service == service {
			cpu += n.serviceCPU
		}
	}
	return cpu
}

// cancelsStarts reports whether a worker's agent cancels starts because of an evacuation, or
// may report that it has. Such a cancellation says nothing on the worker's health.
func (p *pool) cancelsStarts(now time.Time, incarnation string) bool {
	if p.evacuatedNodes[incarnation] != nil {
		return true
	}
	n := p.nodes[incarnation]
	if n == nil {
		return false
	}
	at, ok := p.finishedAt[n.Zone]
	return ok && now.Sub(at) < _cancelTime
}
