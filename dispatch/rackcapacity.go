package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/locality"
	"github.com/gentianrail/gentianrail/submission"
)

// Bounds of the search for capacity of racks, so that a decision does not become more
// expensive with the number of workers.
const (
	_maxRacks       = 16  // racks that are compared for the first task of a rack-local step
	_maxRackScanned = 256 // workers that are looked at to find these racks; as many as _maxScanned
	_maxRackWorkers = 64  // workers of one rack whose capacity is estimated
	_maxSlots       = 512 // slots of one rack that are estimated; further tasks of a step do not count
)

// expectedRun is a run on a rack with its expected end.
type expectedRun struct {
	end  locality.Times
	step *submission.Step
}

// expectedStart is the expected start of a task that waits for its rack, on a worker. Tasks
// that are placed later in the round cannot count on its resources.
type expectedStart struct {
	step     *submission.Step
	startsIn time.Duration // from now
	runTime  time.Duration // expected
}

// racksToCompare returns up to _maxRacks racks of workers on which the step's tasks may run
// at some time, those of workers with the most free CPU first.
func (p *placement) racksToCompare() []string {
	service := p.pool.services[p.ws.sub.Service]
	if service == nil {
		return nil
	}
	lists := [][]*node{service.byLabel[p.step.Requirement]}
	if p.step.Requirement == "" {
		buckets := &service.byFree
		if p.step.UnreservedCPU {
			buckets = &service.byIdle
		}
		lists = buckets[:]
	}
	var out []string
	seen := make(map[string]bool)
	scanned := 0
	for i := len(lists) - 1; i >= 0; i-- {
		for k := range lists[i] {
			n := lists[i][(service.cursor+k)%len(lists[i])]
			if !seen[n.Rack] {
				seen[n.Rack] = true
				out = append(out, n.Rack)
			}
			if scanned++; scanned == _maxRackScanned || len(out) == _maxRacks {
				return out
			}
		}
	}
	return out
}

// freeSlots returns the room that the rack's workers have now for tasks of the step, as
// rackSlots does.
func (p *placement) freeSlots(rack string, count int) ([]locality.Slot, []*node) {
	return p.rackSlots(rack, count, false)
}

// expectedSlots returns the room that the rack's workers have now or when runs end, as
// rackSlots does.
func (p *placement) expectedSlots(rack string, count int) ([]locality.Slot, []*node) {
	return p.rackSlots(rack, count, true)
}

// rackSlots returns when the rack's workers are expected to have room for the next tasks
// of the step, at most count, and the workers by the index in the slots. It takes the tasks
// into account that started or began to wait earlier in the round. Without withEnds, no run
// is expected to end.
func (p *placement) rackSlots(rack string, count int, withEnds bool) ([]locality.Slot, []*node) {
	service := p.pool.services[p.ws.sub.Service]
	if service == nil {
		return nil, nil
	}
	list := service.byRack[rack]
	nodes := make([]*node, 0, min(len(list), _maxRackWorkers))
	workers := make([]locality.Worker, 0, cap(nodes))
	for _, n := range list[:min(len(list), _maxRackWorkers)] {
		switch p.obstacle(n, p.ws.sub, p.step, p.onWorker[n.Incarnation]) {
		case _noObstacle, NoCPU, NoMemory, NoGPU:
		default:
			continue
		}
		if p.step.IsBatch() && (n.serviceRuns > 0 && !p.toleratesBatchTask(p.step, n) || p.isKeptForService(n)) || !p.isApproved(p.ws, n) {
			continue // whether and when that changes is not known
		}
		nodes, workers = append(nodes, n), append(workers, p.expectedCapacity(n, withEnds))
	}
	return locality.Slots(workers, p.step.Needs, count), nodes
}

// freedFor returns the resources that the end of a run of a step makes available to the
// placement's tasks. For tasks with unreserved CPU this is the CPU that the run uses, as in
// node.idleCPU, where service tasks count with the share of their request that they use.
func (p *placement) freedFor(step *submission.Step) submission.Resources {
	r := step.Reserved()
	if p.step.UnreservedCPU {
		r.CPU = step.Needs.CPU
		if step.IsService() {
			r.CPU = expectedServiceCPU(step.Needs.CPU)
		}
	}
	return r
}

// expectedCapacity returns the free resources of a worker for the step's tasks and, with
// withEnds, the expected ends of its runs.
func (p *placement) expectedCapacity(n *node, withEnds bool) locality.Worker {
	w := locality.Worker{Free: n.free, MaxTasks: -1}
	if p.step.UnreservedCPU {
		w.Free.CPU = n.idleCPU
	} else if p.keepsHeadroom(n) && p.mustLeaveHeadroom(n, p.ws.sub, p.step) {
		w.Free.CPU -= n.headroom()
	}
	if p.step.MaxPerWorker > 0 {
		w.MaxTasks = max(p.step.MaxPerWorker-p.onWorker[n.Incarnation], 0)
	}
	if !withEnds {
		return w
	}
	for _, e := range p.expectedRuns(n) {
		w.Ends = append(w.Ends, locality.End{In: e.end, Frees: p.freedFor(e.step)})
	}
	if len(n.roundStarts) > 0 {
		// undoStarts leaves n.roundStarts, so only p.starts tells which starts the round has now.
		for _, st := range p.starts {
			if st.Worker != n.Incarnation {
				continue
			}
			sub := p.submissionOf(st)
			if end, ok := p.expectedEnd(sub, st.Run, n, p.at.Log, len(w.Ends)); ok {
				w.Ends = append(w.Ends, locality.End{In: end, Frees: p.freedFor(&sub.Steps[st.Run.Task.Step])})
			}
		}
	}
	for _, start := range p.expectedStarts[n] {
		freed := p.freedFor(start.step)
		w.Free = w.Free.Sub(freed)
		w.Ends = append(w.Ends, locality.End{In: locality.Constant(start.startsIn + start.runTime), Frees: freed})
	}
	return w
}

// submissionOf returns the submission of a start of the round.
func (r *round) submissionOf(st submission.Start) *submission.Submission {
	if id := st.Run.Task.Submission; r.trial == nil || id != r.trial.ID {
		sub, _ := r.store.Submission(id)
		return sub
	}
	return r.trial
}

// expectedRuns returns the recorded runs of a worker with their expected ends. They are
// collected once in a round.
func (r *round) expectedRuns(n *node) []expectedRun {
	if out, ok := r.expectedRunsOf[n]; ok {
		return out
	}
	var out []expectedRun
	if u := r.store.Usage(n.Incarnation); u != nil {
		for _, id := range slices.SortedFunc(maps.Keys(u.Runs), compareRuns) { // equal inputs give equal decisions
			sub := u.Runs[id]
			if end, ok := r.expectedEnd(sub, id, n, runStartTime(sub, id), len(out)); ok {
				out = append(out, expectedRun{end: end, step: &sub.Steps[id.Task.Step]})
			}
		}
	}
	if r.expectedRunsOf == nil {
		r.expectedRunsOf = make(map[*node][]expectedRun)
	}
	r.expectedRunsOf[n] = out
	return out
}

// expectedEnd returns the time until a run on a worker ends, and false if that is not known.
// The index is that of the run among those of the worker whose ends are known, so that they
// have different samples. The worker's place on its rack is added to it: otherwise the first
// runs of all workers of the rack would have equal samples.
func (r *round) expectedEnd(sub *submission.Submission, run submission.RunID, n *node, started time.Time, index int) (locality.Times, bool) {
	status, limited := r.mover.statuses[run]
	if sub.Steps[run.Task.Step].LongRunning || status.Stalled {
		return locality.Times{}, false
	}
	runTime, deviation := r.times.Submission(r.at.Now, sub).Step(run.Task.Step)
	factor := r.slowdown(sub, run.Task, n.Incarnation)
	if limited {
		factor *= 100 / float64(max(status.Share, _minExpectedShare))
	}
	return locality.Remaining(time.Duration(min(float64(runTime)*factor, float64(locality.MaxRunTime))), deviation, r.at.Log.Sub(started), index+n.rackIndex)
}
