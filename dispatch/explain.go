package dispatch

import (
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Obstacle is the reason that a worker cannot run a task.
type Obstacle uint8

const _noObstacle Obstacle = 0 // the worker can run the task

const (
	// OtherService workers belong to another service.
	OtherService Obstacle = iota + 1
	// NoLabel workers lack the label that the step requires.
	NoLabel
	// Spread workers already have the maximum number of the step's tasks.
	Spread
	// NoCPU workers lack free CPU that can be reserved.
	NoCPU
	// NoMemory workers lack free memory.
	NoMemory
	// NoGPU workers lack free accelerators.
	NoGPU
	// Unhealthy workers failed most of their recent tasks or are slow. They get
	// one task at a time, and long-running tasks if no other worker has capacity.
	Unhealthy
	// Deferred workers could run the task, but the task should wait for another
	// worker.
	Deferred
	// Isolated workers run a task that may crash them, or wait for one.
	Isolated
	// Unapproved workers could run the task, but the advice service has given no ticket
	// for them that is still valid.
	Unapproved
	// Evacuated workers are in an availability zone that an operator has evacuated.
	Evacuated
	// Cold workers are slow after their start or an evacuation, and have as many tasks as
	// they may have so far.
	Cold
)

// String returns the obstacle's name in lower case.
func (o Obstacle) String() string {
	return [...]string{"none", "other_service", "no_label", "spread", "no_cpu", "no_memory", "no_gpu", "sick", "disturbed", "isolated", "unapproved", "evacuated", "cold"}[o]
}

// Wait explains why a step's tasks wait.
type Wait struct {
	Submission string
	Occurrence int
	Step       int
	Since      time.Time // log time at which the submission was accepted
	// 0: can meet its objective, or is long-running; 1: will be late; 2: too late to
	// have value.
	LatenessClass int
	Preferred     *PreferredWait   // nil if no task waits for its preferred rack
	Obstacles     map[Obstacle]int // number of workers by obstacle; 0 is no obstacle; of up to _maxExplained workers
}

// _maxExplained is the number of workers whose obstacles are counted for one step.
const _maxExplained = 512

// ExplainWaits explains why steps wait. It returns at most limit steps, those
// of the submissions accepted first.
func (s *Scheduler) ExplainWaits(at Clocks, store *submission.Store, limit int) []Wait {
	r := s.newRound(at, store)
	defer r.end(store)
	steps := slices.Clone(s.waitingSteps(at, store))
	slices.SortStableFunc(steps, func(a, b waitingStep) int { return a.sub.Accepted.Compare(b.sub.Accepted) })
	var out []Wait
	for _, ws := range steps[:min(len(steps), limit)] {
		out = append(out, r.explainWait(ws))
	}
	return out
}

func (r *round) explainWait(ws waitingStep) Wait {
	w := Wait{
		Submission: ws.sub.ID, Occurrence: ws.occurrence, Step: ws.step, Since: ws.sub.Accepted, LatenessClass: ws.latenessClass,
		Obstacles: make(map[Obstacle]int),
	}
	w.Preferred = r.preferredWait(ws)
	p := r.newPlacement(ws)
	p.countActiveRuns(ws.record())
	counted := 0
	for _, n := range r.pool.nodes {
		if counted++; counted > _maxExplained {
			break
		}
		o := r.obstacle(n, ws.sub, p.step, p.onWorker[n.Incarnation])
		if o == _noObstacle && r.shouldWait(p.step, n) {
			o = Deferred
		}
		if o == _noObstacle && !r.isApproved(ws, n) {
			o = Unapproved
		}
		w.Obstacles[o]++
	}
	for _, n := range r.pool.evacuatedNodes {
		if counted++; counted > _maxExplained {
			break
		}
		w.Obstacles[r.evacuatedObstacle(n, ws.sub)]++
	}
	return w
}

// evacuatedObstacle returns the reason that a worker of an evacuated zone cannot run a task
// of a submission.
func (r *round) evacuatedObstacle(n *node, s *submission.Submission) Obstacle {
	if n.Service != s.Service {
		return OtherService
	}
	return Evacuated
}

// obstacle returns the reason that the worker cannot run a task of the step, or
// _noObstacle.
func (r *round) obstacle(n *node, s *submission.Submission, step *submission.Step, runsOnWorker int) Obstacle {
	if n.Service != s.Service {
		return OtherService
	}
	if step.Requirement != "" && !slices.Contains(n.Labels, step.Requirement) {
		return NoLabel
	}
	if step.MaxPerWorker > 0 && runsOnWorker >= step.MaxPerWorker {
		return Spread
	}
	if r.isolates(n, s.ID) && !r.ignoresIsolation(n, s, step) {
		return Isolated
	}
	if r.unhealthy[n.Incarnation] && !step.LongRunning && (n.runs > 0 || s.MaxAttempts < 2 || r.health.IsInBackoff(r.at.Now, n.Incarnation)) {
		return Unhealthy
	}
	if r.isFullWhileCold(n, step) {
		return Cold
	}
	available, need := n.free, step.Reserved()
	if r.keepsHeadroom(n) && !n.isEmpty() && r.mustLeaveHeadroom(n, s, step) {
		available.CPU -= n.headroom()
	}
	switch {
	case need.CPU > available.CPU:
		return NoCPU
	case need.Memory > available.Memory:
		return NoMemory
	case need.GPU > available.GPU:
		return NoGPU
	}
	return _noObstacle
}

// headroom returns the CPU that a worker keeps for short urgent tasks.
func (n *node) headroom() int64 { return int64(Headroom * float64(n.Capacity.CPU)) }

// mustLeaveHeadroom reports whether a step's tasks must leave a worker's headroom
// to short urgent tasks. Tasks of gangs and tasks that reserve no CPU need not.
// Other short tasks must if their queue is not urgent. A long-running task of any
// queue must at its first start, unless it fits into the headroom, leaves the headroom
// free anyway, or the pool has capacity for two such tasks, because a long-running task
// must not be down while there is capacity for it.
func (r *round) mustLeaveHeadroom(n *node, s *submission.Submission, step *submission.Step) bool {
	need := step.Reserved()
	switch {
	case step.Gang || need.CPU == 0:
		return false
	case !step.LongRunning:
		return s.Priority > _urgentPriority
	case r.restarting[step]:
		return false
	case need.CPU <= n.headroom() || need.CPU <= n.free.CPU-n.headroom():
		return false
	}
	const minFitting = 2
	fitting := int64(0)
	search := r.newSearch(s, step, nil)
	for other := search.next(); other != nil && fitting < minFitting; other = search.next() {
		if need.Fits(other.free) {
			fitting += other.free.CPU / need.CPU
		}
	}
	return fitting < minFitting
}

// keepsHeadroom reports whether a worker's headroom is for urgent tasks only.
func (r *round) keepsHeadroom(n *node) bool {
	return !r.serviceHeadroom[n.Service] || n.serviceRuns > 0
}
