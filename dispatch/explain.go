package dispatch

import (
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// Obstacle is why a worker does not get a task.
type Obstacle uint8

const (
	// OtherService workers belong to another service.
	OtherService Obstacle = iota + 1
	// NoLabel workers lack the label that the step requires.
	NoLabel
	// Spread workers have as many of the step's tasks as may be on one.
	Spread
	// NoCPU workers lack counted CPU.
	NoCPU
	// NoMemory workers lack memory.
	NoMemory
	// NoGPU workers lack accelerators.
	NoGPU
	// Sick workers have lately failed most of what they were given; they get
	// one task at a time, and tasks that last if no other worker has room.
	Sick
	// Disturbed workers would take it, but it had better wait for another.
	Disturbed
)

// String returns the obstacle in lower case.
func (o Obstacle) String() string {
	return [...]string{"none", "other_service", "no_label", "spread", "no_cpu", "no_memory", "no_gpu", "sick", "disturbed"}[o]
}

// Wait tells why a step's tasks wait.
type Wait struct {
	Submission string
	Occurrence int
	Step       int
	Since      time.Time        // when the submission was accepted
	Class      int              // 0: can meet its objective; 1: can be late; 2: too late
	Obstacles  map[Obstacle]int // workers by obstacle
}

// Waits returns why the steps that have waited longest wait, at most most of
// them.
func Waits(now, wall time.Time, book *submission.Book, workers []Worker, known *interference.Table, most int) []Wait {
	r := newRound(now, makeNodes(book, workers), known)
	items := waiting(now, wall, book)
	slices.SortStableFunc(items, func(a, b item) int { return a.s.Accepted.Compare(b.s.Accepted) })
	var out []Wait
	for _, it := range items[:min(len(items), most)] {
		step := &it.s.Steps[it.step]
		w := Wait{
			Submission: it.s.ID, Occurrence: it.occurrence, Step: it.step, Since: it.s.Accepted, Class: it.class,
			Obstacles: make(map[Obstacle]int),
		}
		onWorker, _ := r.spread(&it.s.Progress[it.occurrence][it.step])
		for _, n := range r.nodes {
			o := r.obstacle(n, it.s, step, onWorker[n.Life])
			if o == 0 && r.mustWait(step, n) {
				o = Disturbed
			}
			w.Obstacles[o]++
		}
		out = append(out, w)
	}
	return out
}

// obstacle returns why the worker does not admit a task of the step, or 0.
func (r *round) obstacle(n *node, s *submission.Submission, step *submission.Step, already int) Obstacle {
	if n.Service != s.Service {
		return OtherService
	}
	if step.Requirement != "" && !slices.Contains(n.Labels, step.Requirement) {
		return NoLabel
	}
	if step.MostPerWorker > 0 && already >= step.MostPerWorker {
		return Spread
	}
	if n.Suspect && !step.LongRunning && (n.runs > 0 || n.Resting || s.Attempts < 2) {
		return Sick
	}
	room, need := n.free, step.Room()
	if n.reserved && !n.empty() && r.leavesHeadroom(n, s, step) {
		room.CPU -= n.headroom()
	}
	switch {
	case need.CPU > room.CPU:
		return NoCPU
	case need.Memory > room.Memory:
		return NoMemory
	case need.GPU > room.GPU:
		return NoGPU
	}
	return 0
}

// headroom returns the CPU that a worker keeps for short urgent tasks.
func (n *node) headroom() int64 { return int64(Headroom * float64(n.Capacity.CPU)) }

// leavesHeadroom reports whether a step's tasks leave a worker's headroom to
// short urgent ones: those of other queues do. A task that lasts does unless it
// fits into the headroom or the pool has room for two of it: it must not be away
// beside room for it.
func (r *round) leavesHeadroom(n *node, s *submission.Submission, step *submission.Step) bool {
	room := step.Room()
	switch {
	case step.Gang || room.CPU == 0:
		return false
	case !step.LongRunning:
		return s.Priority > _urgentPriority
	case room.CPU <= n.headroom() || room.CPU <= n.free.CPU-n.headroom():
		return false
	}
	places := int64(0)
	for _, other := range r.nodes {
		if other.Service == s.Service && room.Fits(other.free) {
			places += other.free.CPU / room.CPU
		}
	}
	const twice = 2
	return places < twice
}
