package dispatch

import (
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// Obstacle is the reason that a worker cannot run a task.
type Obstacle uint8

const (
	// OtherService workers belong to another service.
	OtherService Obstacle = iota + 1
	// NoLabel workers lack the label that the step requires.
	NoLabel
	// Spread workers already have the maximum number of the step's tasks.
	Spread
	// NoCPU workers lack free CPU that can be reserved.
	NoCPU
	// NoMemory workers lack memory.
	NoMemory
	// NoGPU workers lack accelerators.
	NoGPU
	// Unhealthy workers failed most of their recent tasks or are slow. They get
	// one task at a time, and long-running tasks if no other worker has capacity.
	Unhealthy
	// Deferred workers could run the task, but it should wait for another
	// worker.
	Deferred
)

// String returns the obstacle in lower case.
func (o Obstacle) String() string {
	return [...]string{"none", "other_service", "no_label", "spread", "no_cpu", "no_memory", "no_gpu", "sick", "disturbed"}[o]
}

// Wait explains why a step's tasks wait.
type Wait struct {
	Submission string
	Occurrence int
	Step       int
	Since      time.Time        // when the submission was accepted
	Class      int              // 0: can meet its objective; 1: late; 2: too late to have value
	Obstacles  map[Obstacle]int // workers by obstacle
}

// ExplainWaits explains why steps wait. It returns at most limit steps, those
// of the submissions accepted first.
func ExplainWaits(now, wall time.Time, store *submission.Store, workers []Worker, table *interference.Estimator, limit int) []Wait {
	r := newRound(now, makeNodes(store, workers), table)
	items := waitingSteps(now, wall, store)
	slices.SortStableFunc(items, func(a, b waitingStep) int { return a.sub.Accepted.Compare(b.sub.Accepted) })
	var out []Wait
	for _, it := range items[:min(len(items), limit)] {
		step := &it.sub.Steps[it.step]
		w := Wait{
			Submission: it.sub.ID, Occurrence: it.occurrence, Step: it.step, Since: it.sub.Accepted, Class: it.class,
			Obstacles: make(map[Obstacle]int),
		}
		onWorker, _ := r.countActiveRuns(&it.sub.Progress[it.occurrence][it.step])
		for _, n := range r.nodes {
			o := r.obstacle(n, it.sub, step, onWorker[n.Incarnation])
			if o == 0 && r.shouldWait(step, n) {
				o = Deferred
			}
			w.Obstacles[o]++
		}
		out = append(out, w)
	}
	return out
}

// obstacle returns the reason that the worker cannot run a task of the step, or 0.
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
	if n.Unhealthy && !step.LongRunning && (n.runs > 0 || n.InBackoff || s.Attempts < 2) {
		return Unhealthy
	}
	available, need := n.free, step.Reserved()
	if n.keepsHeadroom && !n.isEmpty() && r.mustLeaveHeadroom(n, s, step) {
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
	return 0
}

// headroom returns the CPU that a worker keeps for short urgent tasks.
func (n *node) headroom() int64 { return int64(Headroom * float64(n.Capacity.CPU)) }

// mustLeaveHeadroom reports whether a step's tasks must leave a worker's headroom
// to short urgent tasks. Tasks of queues that are not urgent must. A long-running
// task must unless it fits into the headroom or the pool has capacity for two of
// it: a long-running task must not be down while there is capacity for it.
func (r *round) mustLeaveHeadroom(n *node, s *submission.Submission, step *submission.Step) bool {
	need := step.Reserved()
	switch {
	case step.Gang || need.CPU == 0:
		return false
	case !step.LongRunning:
		return s.Priority > _urgentPriority
	case need.CPU <= n.headroom() || need.CPU <= n.free.CPU-n.headroom():
		return false
	}
	fitting := int64(0)
	for _, other := range r.nodes {
		if other.Service == s.Service && need.Fits(other.free) {
			fitting += other.free.CPU / need.CPU
		}
	}
	const minFitting = 2
	return fitting < minFitting
}
