// Package worker holds the registered workers: their address, location, capacity
// and state.
//
// An agent announces its worker with its agent incarnation, which increases with
// each start of the agent. An announcement with a lower agent incarnation than
// the registered one is rejected, so that a late message of an earlier process
// never replaces the state of its successor.
package worker

import (
	"slices"
	"sort"

	"github.com/gentianrail/gentianrail/fault"
)

// Capacity is the size of a worker, or the part of it that tasks use.
type Capacity struct {
	Slots        int // requests and tasks at once
	Connections  int // connections at once
	CPUMillis    int64
	MemoryBytes  int64
	Accelerators int
}

// Worker is an announced instance with the targets beside it.
type Worker struct {
	ID               string
	AgentIncarnation uint64 // increases with each start of the agent
	Address          string // where the agent takes requests, IP:port
	Region           string
	Zone             string // availability zone
	Rack             string
	Targets          []string // names of the targets that it serves
	Capacity         Capacity
	Leaving          bool   // the agent has announced that it is stopping
	Drained          bool   // an operator has drained the worker
	Evacuated        bool   // an operator has evacuated the worker's zone
	Revision         uint64 // revision of the latest change
}

// AcceptsWork reports whether the worker accepts new work.
func (w Worker) AcceptsWork() bool { return !w.Leaving && !w.Drained && !w.Evacuated }

// Serves reports whether the worker has the target.
func (w Worker) Serves(target string) bool { return slices.Contains(w.Targets, target) }

// SameAnnouncement reports whether two announcements are equal. The drain, the
// evacuation and the revision are not part of an announcement.
func (w Worker) SameAnnouncement(o Worker) bool {
	return w.ID == o.ID && w.AgentIncarnation == o.AgentIncarnation && w.Address == o.Address &&
		w.Region == o.Region && w.Zone == o.Zone && w.Rack == o.Rack &&
		slices.Equal(w.Targets, o.Targets) && w.Capacity == o.Capacity && w.Leaving == o.Leaving
}

// Pool holds all registered workers. The zero value is empty and ready. It is not
// safe for concurrent use.
type Pool struct {
	workers map[string]Worker
}

// Worker returns the worker with the given identifier.
func (p *Pool) Worker(id string) (Worker, bool) {
	w, ok := p.workers[id]
	return w, ok
}

// Len returns the number of workers.
func (p *Pool) Len() int { return len(p.workers) }

// Workers returns all workers, sorted by identifier.
func (p *Pool) Workers() []Worker {
	out := make([]Worker, 0, len(p.workers))
	for _, w := range p.workers {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Register records an announcement and returns the registered worker. An agent
// that has announced its departure stays leaving until it restarts. An
// operator's drain outlasts a restart of the agent.
func (p *Pool) Register(w Worker, revision uint64) (Worker, error) {
	old, known := p.workers[w.ID]
	if known && w.AgentIncarnation < old.AgentIncarnation {
		return old, fault.New(fault.StaleWorker,
			"worker %q: announced agent incarnation %d is below the registered %d", w.ID, w.AgentIncarnation, old.AgentIncarnation)
	}
	if known && w.AgentIncarnation == old.AgentIncarnation && old.Leaving {
		w.Leaving = true
	}
	w.Drained = old.Drained
	w.Revision = revision
	p.Put(w)
	return w, nil
}

// Put stores a worker, for example from a snapshot or a view.
func (p *Pool) Put(w Worker) {
	if p.workers == nil {
		p.workers = make(map[string]Worker)
	}
	p.workers[w.ID] = w
}

// Remove drops a worker, for example when a view update removes it.
func (p *Pool) Remove(id string) { delete(p.workers, id) }

// Retire drops a worker if its agent incarnation is the given one.
func (p *Pool) Retire(id string, agentIncarnation uint64) error {
	w, ok := p.workers[id]
	if !ok {
		return fault.New(fault.WorkerNotFound, "no worker %q", id)
	}
	if w.AgentIncarnation != agentIncarnation {
		return fault.New(fault.StaleWorker,
			"worker %q: agent incarnation %d is not the registered %d", id, agentIncarnation, w.AgentIncarnation)
	}
	delete(p.workers, id)
	return nil
}

// SetEvacuated sets whether the workers of a zone accept no new work because of an
// evacuation. It returns those that have changed, sorted by identifier.
func (p *Pool) SetEvacuated(zone string, evacuated bool, revision uint64) []Worker {
	var out []Worker
	for _, w := range p.Workers() {
		if w.Zone != zone || w.Evacuated == evacuated {
			continue
		}
		w.Evacuated, w.Revision = evacuated, revision
		p.Put(w)
		out = append(out, w)
	}
	return out
}

// Drain sets whether the worker is drained. A drained worker accepts no new work.
func (p *Pool) Drain(id string, drained bool, revision uint64) (Worker, error) {
	w, ok := p.workers[id]
	if !ok {
		return Worker{}, fault.New(fault.WorkerNotFound, "no worker %q", id)
	}
	w.Drained = drained
	w.Revision = revision
	p.workers[id] = w
	return w, nil
}
