// Package worker holds what is known of the workers: their address, place,
// capacity and state.
//
// An agent announces its worker with an incarnation that rises with each
// start of the agent. An announcement of an incarnation below the one that is
// registered is refused, so a late message of a process that is gone never
// replaces its successor.
package worker

import (
	"slices"
	"sort"

	"github.com/gentianrail/gentianrail/fault"
)

// Capacity is what a worker holds.
type Capacity struct {
	Slots        int // requests and tasks at once
	Connections  int // connections at once
	CPUMillis    int64
	MemoryBytes  int64
	Accelerators int
}

// Worker is one announced instance with the target beside it.
type Worker struct {
	ID          string
	Incarnation uint64 // rises with each start of the agent
	Address     string // where the agent takes requests, IP:port
	Region      string
	Zone        string // availability zone
	Rack        string
	Targets     []string // names of the targets that it serves
	Capacity    Capacity
	Leaving     bool   // the agent said that it is stopping
	Drained     bool   // an operator asked for no new work
	Revision    uint64 // revision of the latest change
}

// Open reports whether the worker takes new work.
func (w Worker) Open() bool { return !w.Leaving && !w.Drained }

// Serves reports whether the worker has the target.
func (w Worker) Serves(target string) bool { return slices.Contains(w.Targets, target) }

// Same reports whether two announcements say the same.
func (w Worker) Same(o Worker) bool {
	return w.ID == o.ID && w.Incarnation == o.Incarnation && w.Address == o.Address &&
		w.Region == o.Region && w.Zone == o.Zone && w.Rack == o.Rack &&
		slices.Equal(w.Targets, o.Targets) && w.Capacity == o.Capacity && w.Leaving == o.Leaving
}

// Pool is the aggregate of all registered workers. The zero value is empty
// and ready. It is not safe for concurrent use.
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

// Workers returns all workers by identifier.
func (p *Pool) Workers() []Worker {
	out := make([]Worker, 0, len(p.workers))
	for _, w := range p.workers {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Register takes in an announcement and returns the worker in force. An
// operator's drain outlives the agent's restart.
func (p *Pool) Register(w Worker, revision uint64) (Worker, error) {
	old, known := p.workers[w.ID]
	if known && w.Incarnation < old.Incarnation {
		return old, fault.New(fault.StaleWorker,
			"worker %q: incarnation %d was announced, but %d is registered", w.ID, w.Incarnation, old.Incarnation)
	}
	if known && w.Incarnation == old.Incarnation && old.Leaving {
		w.Leaving = true
	}
	w.Drained = old.Drained
	w.Revision = revision
	p.Put(w)
	return w, nil
}

// Put stores a worker, as when a snapshot or a view is read.
func (p *Pool) Put(w Worker) {
	if p.workers == nil {
		p.workers = make(map[string]Worker)
	}
	p.workers[w.ID] = w
}

// Remove forgets a worker, as when a view is read.
func (p *Pool) Remove(id string) { delete(p.workers, id) }

// Retire forgets one incarnation of a worker.
func (p *Pool) Retire(id string, incarnation uint64) error {
	w, ok := p.workers[id]
	if !ok {
		return fault.New(fault.WorkerNotFound, "no worker %q", id)
	}
	if w.Incarnation != incarnation {
		return fault.New(fault.StaleWorker,
			"worker %q: incarnation %d is not the registered %d", id, incarnation, w.Incarnation)
	}
	delete(p.workers, id)
	return nil
}

// Drain sets whether an operator wants the worker to take no new work.
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
