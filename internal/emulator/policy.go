package emulator

import (
	"math/rand/v2"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/submission"
)

// Policy selects the scheduling decisions of an emulation.
type Policy uint8

const (
	// Shipped uses the decisions that the controllers use.
	Shipped Policy = iota + 1
	// WithoutExchanges is Shipped, but service tasks stay where they started.
	WithoutExchanges
	// ReactivePacing is Shipped, but agents throttle batch tasks only after a missed
	// target.
	ReactivePacing
	// FirstCome starts tasks in order of acceptance on the first worker with
	// capacity.
	FirstCome
	// Random starts tasks in order of acceptance on random workers with capacity.
	Random
)

// Policies lists all policies.
var Policies = []Policy{Shipped, WithoutExchanges, ReactivePacing, FirstCome, Random}

// String returns the policy's name.
func (p Policy) String() string {
	return [...]string{"", "shipped", "without_exchanges", "reactive_pacing", "first_come", "random"}[p]
}

// ParsePolicy returns the policy with the given name.
func ParsePolicy(name string) (Policy, bool) {
	for _, p := range Policies {
		if p.String() == name {
			return p, true
		}
	}
	return 0, false
}

func (p Policy) starts(at dispatch.Clocks, scheduler *dispatch.Scheduler, store *submission.Store, workers []*worker) []submission.Start {
	switch p {
	case FirstCome, Random:
		return p.baselineStarts(at, store, workers)
	default:
		return scheduler.Starts(at, store)
	}
}

func (p Policy) stops(at dispatch.Clocks, scheduler *dispatch.Scheduler, store *submission.Store) []dispatch.Stop {
	if p == FirstCome || p == Random {
		return nil
	}
	return scheduler.Stops(at, store)
}

// baselineStarts starts waiting tasks in order of acceptance on workers with free
// resources, and with as much CPU free as the runs request.
func (p Policy) baselineStarts(at dispatch.Clocks, store *submission.Store, workers []*worker) []submission.Start {
	type node struct {
		free    submission.Resources
		idleCPU int64
		onStep  map[*submission.Step]int
	}
	nodes := make([]node, len(workers))
	for i, w := range workers {
		nodes[i] = node{free: w.capacity, idleCPU: w.capacity.CPU, onStep: make(map[*submission.Step]int)}
		if u := store.Usage(w.incarnation); u != nil {
			nodes[i].free = w.capacity.Sub(u.Reserved)
			nodes[i].idleCPU -= u.RequestedCPU
			for id, s := range u.Runs {
				nodes[i].onStep[&s.Steps[id.Task.Step]]++
			}
		}
	}
	rnd := rand.New(rand.NewPCG(uint64(at.Now.UnixNano()), 4))
	var out []submission.Start
	for _, s := range store.Unended() {
		for i := range s.Steps {
			if !s.Ready(0, i, at.Wall) {
				continue
			}
			step := &s.Steps[i]
			for x := range s.StepRecords[0][i].Tasks {
				t := &s.StepRecords[0][i].Tasks[x]
				if t.Done || len(t.Runs) > 0 {
					continue
				}
				first := 0
				if p == Random {
					first = rnd.IntN(len(nodes))
				}
				for n := range nodes {
					c := &nodes[(first+n)%len(nodes)]
					if !step.Reserved().Fits(c.free) || step.UnreservedCPU && c.idleCPU < step.Needs.CPU || step.MaxPerWorker > 0 && c.onStep[step] >= step.MaxPerWorker {
						continue
					}
					c.free = c.free.Sub(step.Reserved())
					c.idleCPU -= step.Needs.CPU
					c.onStep[step]++
					id := submission.RunID{Task: submission.TaskID{Submission: s.ID, Step: i, Index: x}, Number: t.LastRun + 1}
					out = append(out, submission.Start{Run: id, Worker: workers[(first+n)%len(nodes)].incarnation})
					break
				}
			}
		}
	}
	return out
}
