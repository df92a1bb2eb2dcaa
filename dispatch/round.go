package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Weights of a worker's cost, which is the sum over the rules that apply. A rule
// with a larger weight takes precedence over any one with a smaller weight.
const (
	_costIsolated           = 16.0 // the worker is isolated for another submission
	_costUnhealthy          = 8.0  // the worker is unhealthy
	_costOffRack            = 4.0  // the data or the step's other tasks are on another rack
	_costServiceBesideBatch = 2.0  // a service task would share the worker with a batch task
	_costOvercommit         = 1.7  // runs with unreserved CPU would get less CPU than they request
	_costNoServiceTask      = 1.5  // the worker has no service task yet
	_costMixedImages        = 1.0  // the service task would run beside other images, which tolerate different batch images
	_costBatchAlone         = 0.6  // a batch task would use a worker without service tasks, which tolerates any batch image
	_costFreeCapacity       = 1.0  // multiplied by the worker's free share of capacity
	_urgentPriority         = 0    // priority of the queues whose tasks may use the headroom
)

// _lightLoadFreeShare is the free share of the reservable CPU above which a pool
// is lightly loaded. The requirement is that no submission is starved while half
// of the CPU is free. The margin of 0.1 covers workers that are briefly
// unresponsive.
const _lightLoadFreeShare = 0.4

// _maxStarvation is how long a submission may have no active run in a lightly
// loaded pool. The requirement is 3 s.
const _maxStarvation = 2 * time.Second

// Bounds of the search for workers for one step. In a pool of half of _maxScanned
// workers a search looks at all of them.
const (
	_maxCandidates = 96  // workers that can start a task and are compared
	_maxScanned    = 256 // workers that are looked at
)

// round is one scheduling round over all waiting steps.
type round struct {
	*Scheduler
	at              Clocks
	store           *submission.Store
	serviceHeadroom map[string]bool           // services whose workers with service tasks have the headroom for urgent tasks
	lightlyLoaded   map[string]bool           // services with a large share of free CPU
	unhealthy       map[string]bool           // worker incarnations
	absent          map[string]absence        // by service
	isolations      *isolations               // nil until needed
	restarting      map[*submission.Step]bool // steps whose placement restarts long-running tasks
	started         map[string]bool           // submissions with a start in this round
	starts          []submission.Start
	changed         []*node // workers with starts in this round
	expectedRunsOf  map[*node][]expectedRun
	expectedStarts  map[*node][]expectedStart // of tasks that wait for their rack, those of the most urgent steps first
	trial           *submission.Submission    // of a forecast, not in the store; nil for none
}

func (s *Scheduler) newRound(at Clocks, store *submission.Store) *round {
	r := &round{
		Scheduler: s, at: at, store: store, serviceHeadroom: make(map[string]bool), lightlyLoaded: make(map[string]bool), started: make(map[string]bool),
	}
	for name, service := range s.pool.services {
		r.lightlyLoaded[name] = float64(service.free) > _lightLoadFreeShare*float64(service.capacity)
		r.serviceHeadroom[name] = float64(service.besideService) >= Headroom*float64(service.capacity)
	}
	r.unhealthy = s.unhealthyWorkers(at.Now)
	s.updateTolerance(at.Now)
	for _, n := range s.mover.reserveDestinations(at.Now, &s.pool) {
		r.markChanged(n)
	}
	return r
}

// unhealthyWorkers returns the unhealthy workers. If half of a service's workers or
// more are unhealthy, the tasks are at fault and none of them counts.
func (s *Scheduler) unhealthyWorkers(now time.Time) map[string]bool {
	counts, out := make(map[string]int), make(map[string]bool)
	s.health.EachUnhealthy(now, func(incarnation string) {
		if n := s.pool.nodes[incarnation]; n != nil {
			counts[n.Service]++
			out[incarnation] = true
		}
	})
	for incarnation := range out {
		if name := s.pool.nodes[incarnation].Service; 2*counts[name] >= s.pool.services[name].workers {
			delete(out, incarnation)
		}
	}
	return out
}

func (r *round) markChanged(n *node) {
	if !n.changed {
		n.changed = true
		r.changed = append(r.changed, n)
	}
}

// end takes back the round's changes of workers: the owner tells of those starts
// that are recorded.
func (r *round) end(store *submission.Store) {
	for _, n := range r.changed {
		r.pool.refresh(store, n.Incarnation)
	}
}

// isStarved reports whether a submission accepted at least _maxStarvation ago has
// no active run although its service is lightly loaded. One of its tasks then
// starts on any worker with capacity for it, so that no submission waits beside
// free capacity.
func (r *round) isStarved(s *submission.Submission) bool {
	return r.at.Log.Sub(s.Accepted) >= _maxStarvation && s.ActiveRuns() == 0 && !r.started[s.ID] && r.lightlyLoaded[s.Service]
}

// placement is the search for workers for the tasks of one step.
type placement struct {
	*round
	ws         waitingStep
	step       *submission.Step
	onWorker   map[string]int // active runs of the step by worker
	onRack     map[string]int // the same by rack, if the step's tasks run slower on several racks
	search     search
	cursor     *int // of the step's searches; nil in a small pool
	candidates []candidate
	found      int // candidates that searches have found since the latest start
	unplaced   int // waiting tasks without a worker; 0 if each one that may start now has one
	rackChoice rackChoice
}

// candidate is a worker that can start a task, with its cost.
type candidate struct {
	n    *node
	cost float64
}

// placeStep assigns the waiting tasks of a step to workers.
func (r *round) placeStep(ws waitingStep) {
	p := r.newPlacement(ws)
	p.place()
}

func (r *round) newPlacement(ws waitingStep) placement {
	step := &ws.sub.Steps[ws.step]
	if ws.restarts {
		if r.restarting == nil {
			r.restarting = make(map[*submission.Step]bool)
		}
		r.restarting[step] = true
	}
	return placement{round: r, ws: ws, step: step}
}

// place assigns the waiting tasks of the step to workers. A gang is placed completely or
// not at all.
func (p *placement) place() {
	rec := p.ws.record()
	lastRun := uint32(0)
	if p.step.Gang {
		for i := range rec.Tasks {
			if len(rec.Tasks[i].Runs) > 0 {
				return // an earlier run of the gang has not ended
			}
			lastRun = max(lastRun, rec.Tasks[i].LastRun)
		}
	}
	p.beginSearch(rec)
	firstStart, full := len(p.starts), false
	for i := range rec.Tasks {
		t := &rec.Tasks[i]
		if t.Done || len(t.Runs) > 0 || p.ws.suspectedFailing && !p.step.Gang && t.FailedRuns < submission.RepeatedFailures {
			continue
		}
		id := submission.TaskID{Submission: p.ws.sub.ID, Occurrence: p.ws.occurrence, Step: p.ws.step, Index: i}
		if full && p.mover.destination(id) == "" {
			continue
		}
		isolation := p.step.Isolation(t)
		n := p.bestWorker(id, isolation > 0)
		if n == nil {
			if p.step.Gang {
				p.undoStarts(firstStart)
				p.unplaced = len(rec.Tasks)
				return
			}
			p.unplaced = 1
			if t.FailedRuns > 0 || p.mover.destination(id) != "" || isolation > 0 {
				continue // this task excludes workers that other tasks may use
			}
			// The step's tasks are alike, so the rest do not fit either, except where
			// resources are reserved for a task that is being moved.
			if !p.mover.isMoving(p.ws.sub.ID) {
				break
			}
			full = true
			continue
		}
		if p.waitsForRack(id, n) {
			continue
		}
		p.start(submission.RunID{Task: id, Number: max(lastRun, t.LastRun) + 1}, n)
		if isolation > 0 {
			p.isolate(n, isolation)
		}
	}
	if p.step.Gang && p.gangWaitsForRack(firstStart) {
		return
	}
	if p.unplaced > 0 {
		p.unplaced = max(1, rec.WaitingTasks()-(len(p.starts)-firstStart))
	}
}

// beginSearch prepares the placement of the step's tasks.
func (p *placement) beginSearch(rec *submission.StepRecord) {
	p.countActiveRuns(rec)
	p.cursor = p.searchCursor(p.ws)
	p.rackChoice.startedBefore = p.started[p.ws.sub.ID]
	p.chooseRack(rec)
	p.search = p.newRackSearch(p.ws.sub, p.step, p.cursor, p.firstSearchedRack())
}

// start adds the start of a run to the round.
func (p *placement) start(run submission.RunID, n *node) {
	wasStarved := p.isStarved(p.ws.sub)
	p.starts = append(p.starts, submission.Start{Run: run, Worker: n.Incarnation})
	p.started[run.Task.Submission] = true
	p.markChanged(n)
	p.updateAbsence(n, p.step)
	n.addRuns(p.step, 1)
	n.roundStarts = append(n.roundStarts, run.Task.Submission)
	p.onWorker[n.Incarnation]++
	p.found = 0
	firstOnRack := false
	if p.step.RackLocal {
		p.onRack[n.Rack]++
		firstOnRack = p.onRack[n.Rack] == 1
	}
	if wasStarved || firstOnRack { // which workers fit, or their costs, have changed
		p.candidates, p.search = nil, p.newRackSearch(p.ws.sub, p.step, p.cursor, p.firstSearchedRack())
		return
	}
	i := slices.IndexFunc(p.candidates, func(c candidate) bool { return c.n == n })
	if i < 0 {
		return
	}
	if !p.fits(n) {
		p.candidates = slices.Delete(p.candidates, i, i+1)
		return
	}
	p.candidates[i].cost = p.cost(n)
}

// undoStarts withdraws the starts of a gang, which begin at index firstStart. redoStarts
// makes them again. Both leave what start has recorded in roundStarts, in the changed marks,
// by which the end of the round refreshes the workers, and in r.absent. undoStarts also
// leaves the submission's mark in p.started.
func (p *placement) undoStarts(firstStart int) {
	for _, st := range p.starts[firstStart:] {
		n := p.pool.nodes[st.Worker]
		n.addRuns(p.step, -1)
		p.onWorker[st.Worker]--
		if p.step.RackLocal {
			p.onRack[n.Rack]--
		}
	}
	p.starts = p.starts[:firstStart]
}

// redoStarts makes the starts again that undoStarts has withdrawn, and marks the submission
// as started again, since the caller has reset that mark.
func (p *placement) redoStarts(starts []submission.Start) {
	p.started[p.ws.sub.ID] = true
	for _, st := range starts {
		n := p.pool.nodes[st.Worker]
		p.starts = append(p.starts, st)
		n.addRuns(p.step, 1)
		p.onWorker[st.Worker]++
		if p.step.RackLocal {
			p.onRack[n.Rack]++
		}
	}
}

// countActiveRuns counts the active runs of the step by worker and by rack.
func (p *placement) countActiveRuns(rec *submission.StepRecord) {
	p.onWorker, p.onRack = make(map[string]int), make(map[string]int)
	if p.step.MaxPerWorker == 0 && !p.step.RackLocal {
		return
	}
	for i := range rec.Tasks {
		for _, run := range rec.Tasks[i].Runs {
			p.onWorker[run.Worker]++
			if n := p.pool.nodes[run.Worker]; n != nil && p.step.RackLocal {
				p.onRack[n.Rack]++
			}
		}
	}
}

// bestWorker returns the worker with the lowest cost for a task of the step, or
// nil. A task avoids workers on which it has failed if the submission's service has
// a worker on which the task has not failed. Long-running tasks and the tasks of a
// starved submission do not avoid workers. A task that is being moved starts at its
// destination, unless that can no longer run it. A task that is suspected of crashing
// workers is isolated.
func (p *placement) bestWorker(id submission.TaskID, isolated bool) *node {
	if destination := p.mover.destination(id); destination != "" {
		if !p.isDestinationLost(destination) {
			return p.destinationWorker(destination)
		}
		p.cancelMove(id)
	}
	if isolated {
		return p.bestIsolatedWorker()
	}
	avoidFailed := !p.step.LongRunning && !p.isStarved(p.ws.sub) && p.hasWorkerWithoutFailure(id)
	for {
		best := -1
		for i, c := range p.candidates {
			if best >= 0 && !c.isBetter(p.candidates[best]) || avoidFailed && p.health.HasFailedOn(p.at.Now, id, c.n.Incarnation) {
				continue
			}
			best = i
		}
		if best >= 0 && len(p.absent) > 0 && !p.fits(p.candidates[best].n) {
			// Starts on other workers have used the room beside that of absent tasks.
			p.candidates = slices.Delete(p.candidates, best, best+1)
			continue
		}
		if best >= 0 {
			return p.candidates[best].n
		}
		if !p.findCandidates() {
			return nil
		}
	}
}

func (c candidate) isBetter(o candidate) bool {
	return cmp.Or(cmp.Compare(c.cost, o.cost), cmp.Compare(c.n.Incarnation, o.n.Incarnation)) < 0
}

// findCandidates searches for more workers. It returns false if there are none or
// if the search has found enough without a start.
func (p *placement) findCandidates() bool {
	before := len(p.candidates)
	for p.found < _maxCandidates || p.searchAll {
		n := p.search.next()
		if n == nil {
			break
		}
		if p.fits(n) {
			p.candidates = append(p.candidates, candidate{n: n, cost: p.cost(n)})
			p.found++
		}
	}
	return len(p.candidates) > before
}

// fits reports whether a task of the step may start on the worker now.
func (p *placement) fits(n *node) bool { return p.isApproved(p.ws, n) && p.mayRun(n) }

// mayRun reports whether a task of the step may start on the worker now, if its queue
// needs no ticket.
func (p *placement) mayRun(n *node) bool {
	return p.obstacle(n, p.ws.sub, p.step, p.onWorker[n.Incarnation]) == _noObstacle && (!p.shouldWait(p.step, n) || p.isStarved(p.ws.sub))
}

// isDestinationLost reports whether the destination of a task that is being moved can
// receive no tasks, or has shrunk so far that the task does not fit even when the
// tasks that are being moved away have left.
func (p *placement) isDestinationLost(incarnation string) bool {
	n := p.pool.nodes[incarnation]
	if n == nil {
		return true
	}
	free := n.Capacity
	if u := p.store.Usage(incarnation); u != nil {
		free = free.Sub(u.Reserved)
		for run, sub := range u.Runs {
			if p.mover.moves[run.Task].from == incarnation {
				free = free.Add(sub.Steps[run.Task.Step].Reserved())
			}
		}
	}
	return !p.step.Reserved().Fits(free)
}

// cancelMove lets a task that is being moved start on any worker, and releases what is
// reserved for it.
func (p *placement) cancelMove(id submission.TaskID) {
	v := p.mover.moves[id]
	if n := p.pool.nodes[v.to]; n != nil {
		n.free = n.free.Add(v.reserved)
	}
	p.mover.endMove(id)
}

// destinationWorker returns the destination of a task that is being moved, if its
// resources are free. They are reserved for the task.
func (p *placement) destinationWorker(incarnation string) *node {
	n := p.pool.nodes[incarnation]
	if n == nil {
		return nil
	}
	reserved := p.step.Reserved()
	if !reserved.Fits(n.free.Add(reserved)) || p.step.MaxPerWorker > 0 && p.onWorker[incarnation] >= p.step.MaxPerWorker {
		return nil
	}
	n.free = n.free.Add(reserved)
	return n
}

// hasWorkerWithoutFailure reports whether a task's service has a worker on which
// the task has not failed.
func (p *placement) hasWorkerWithoutFailure(id submission.TaskID) bool {
	service := p.pool.services[p.ws.sub.Service]
	if service == nil {
		return false
	}
	failed := 0
	p.health.EachFailure(p.at.Now, id, func(incarnation string) {
		if n := p.pool.nodes[incarnation]; n != nil && n.Service == p.ws.sub.Service {
			failed++
		}
	})
	return failed < service.workers
}

// isApproved reports whether the step has a valid ticket for the worker or needs
// none because its queue has no advice service.
func (r *round) isApproved(ws waitingStep, n *node) bool {
	if !ws.sub.NeedsAdvice {
		return true
	}
	_, ok := r.approvals.ticket(r.at.Now, ws.id(), n.Incarnation)
	return ok
}

// shouldWait reports whether a task should wait rather than start on the worker.
// A task with unreserved CPU waits if it would get no CPU and only occupy memory, unless it is
// long-running: such a task must not be down while there is room for it.
// A batch task waits if the worker's service tasks do not tolerate it: it would
// be throttled, and one slow task would delay its submission. It also waits for a
// worker that absent service tasks need.
func (r *round) shouldWait(step *submission.Step, n *node) bool {
	if step.UnreservedCPU && !step.LongRunning && step.Needs.CPU > n.idleCPU && n.runs > 0 {
		return true
	}
	if !step.IsBatch() {
		return false
	}
	return n.serviceRuns > 0 && !r.toleratesBatchTask(step, n) || r.isKeptForService(n)
}

// cost ranks workers for a task of the step; the lowest is best.
//
// Service tasks are packed, those that tolerate the same batch images together, so
// that as many workers as possible have no service task and the rest tolerate as
// many batch images as possible. Batch tasks run beside service tasks where the
// interference is low. Other tasks cause no interference and use the free capacity
// beside service tasks.
func (p *placement) cost(n *node) float64 {
	step := p.step
	cost := n.packingCost(step) + p.interferenceCost(step, n) + p.toleranceCost(step, n)
	cost += costIf(p.isolates(n, p.ws.sub.ID), _costIsolated) + costIf(p.unhealthy[n.Incarnation], _costUnhealthy)
	cost += costIf(step.DataRack != "" && step.DataRack != n.Rack, _costOffRack)
	if step.RackLocal && len(p.onRack) == 0 {
		return cost + costIf(p.rackChoice.rack != "" && n.Rack != p.rackChoice.rack, _costOffRack)
	}
	return cost + costIf(step.RackLocal && p.onRack[n.Rack] == 0, _costOffRack)
}

// packingCost is the part of the cost that depends on what runs on the worker.
func (n *node) packingCost(step *submission.Step) float64 {
	cost := _costFreeCapacity * (1 - n.reservedShare())
	cost += costIf(n.idleCPU < step.Needs.CPU, _costOvercommit)
	switch {
	case step.IsService():
		cost += costIf(n.batchRuns > 0, _costServiceBesideBatch) + costIf(n.serviceRuns == 0, _costNoServiceTask)
		cost += costIf(n.serviceRuns > 0 && n.serviceImages[step.Image] == 0, _costMixedImages)
	case step.IsBatch():
		cost += costIf(n.serviceRuns == 0, _costBatchAlone)
	default:
		cost += costIf(n.serviceRuns == 0, _costNoServiceTask)
	}
	return cost
}

func costIf(condition bool, cost float64) float64 {
	if condition {
		return cost
	}
	return 0
}
