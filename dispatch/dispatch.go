// Package dispatch decides which waiting tasks start on which workers.
//
// A Dispatcher performs no I/O and reads no clock. It is given the record of
// submissions, the workers that can be reached and the time, and returns the
// starts to record. It never gives a worker more than its capacity, counting
// every run whose end is not recorded.
package dispatch

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// Weights of a worker's cost. Only their order of size matters: a rule with a
// larger weight goes before one with a smaller.
const (
	_costSuspect    = 8.0 // the worker has lately failed what it was given
	_costOffRack    = 4.0 // data or the step's other tasks are on another rack
	_costDisturb    = 2.0 // a task that serves would share the worker with one that fills
	_costCrowd      = 1.7 // runs whose CPU is not counted would get less than they want
	_costOpen       = 1.5 // the task would be the first of its kind on the worker
	_costMix        = 1.0 // the task would serve beside tasks of other images, which bear other images of tasks that fill
	_costAlone      = 0.6 // a task that fills would take a worker without tasks that serve, which bears every image
	_costFree       = 1.0 // a worker that is wholly free
	_urgentPriority = 0   // queues whose tasks may take the headroom
)

// Headroom is the share of each worker's CPU that only tasks of urgent queues
// may take, so that a short urgent task starts while batch work fills the
// pool. The urgent work of both users' pages takes about 6% of their pools.
const Headroom = 0.06

// _quietFree is the share of the counted CPU that is free in a quiet pool. The users
// ask for no submission to stand still while half is free; the rest is a margin
// for workers that are not heard of for a moment.
const _quietFree = 0.4

// _idleMost is how long a submission may have nothing running while half of the
// CPU is not taken. The users allow 3 s.
const _idleMost = 2 * time.Second

// LateFactor is how many times its objective a submission may take until its
// completion is of no use any more.
const LateFactor = 3

// Worker is one life of a worker that can be reached.
type Worker struct {
	Life     string
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity submission.Resources
	Open     bool                       // takes new tasks
	Suspect  bool                       // has lately failed most of what it was given
	Resting  bool                       // has failed something a moment ago as well; gets nothing for now
	Failed   map[submission.TaskID]bool // tasks that have failed here lately
	Strains  []interference.Strain      // how its serving tasks fare, as seen last
	Loads    []interference.Load        // what its tasks that fill use, as seen last
	Fresh    []interference.Load        // of runs that its figures do not show yet
}

// node is a worker while a round lasts.
type node struct {
	Worker
	free     submission.Resources
	idle     int64 // CPU that no run is likely to use, those whose CPU is not counted included; below 0 if they want too much
	serving  int
	filling  int
	runs     int
	images   map[string]int // serving runs by image, those of this round included
	reserved bool           // its headroom is kept for urgent tasks
}

// Objective returns how long after its acceptance a submission should be
// completed.
func Objective(s *submission.Submission) time.Duration {
	return time.Duration(s.Slack*float64(s.Chain(-1))) + s.Target
}

// item is a step of one occurrence that has tasks to start.
type item struct {
	s          *submission.Submission
	occurrence int
	step       int
	class      int     // 0: can meet its objective; 1: can be late; 2: too late to be of use
	doubted    bool    // only its doubted tasks are placed
	density    float64 // worth of the completion for each core-second that it still takes
}

// density returns what a submission's completion is worth, by the estimate of
// its work, for each core-second that it still takes. A part of the worth is
// the same for all submissions of a queue, the rest follows the work, so that
// small submissions go before large ones, but not far, and those that are
// nearly done before those that have not begun.
func density(book *submission.Book, s *submission.Submission) float64 {
	const fixed = 0.3 // share of the worth that does not follow the work
	mean := book.MeanWork(s.Queue)
	if mean <= 0 || s.Left() <= 0 {
		return 0
	}
	return (fixed + (1-fixed)*s.Work()/mean) / s.Left()
}

// Summary tells how full the workers are and what waits.
type Summary struct {
	Workers  int    // that take new tasks
	Shared   int    // of these, workers with both tasks that serve and tasks that fill
	Capacity int64  // thousandths of a core
	Free     int64  // thousandths of a core
	Idle     int64  // the same without what runs want whose CPU is not counted
	Serving  int    // runs of tasks that serve
	Filling  int    // runs of tasks that fill
	Waiting  [3]int // steps that wait: in time, late, too late
}

// Summarize returns the summary of the pool.
func Summarize(now, wall time.Time, book *submission.Book, workers []Worker) Summary {
	var s Summary
	for _, n := range makeNodes(book, workers) {
		s.Workers++
		s.Capacity += n.Capacity.CPU
		s.Free += n.free.CPU
		s.Idle += n.idle
		s.Serving += n.serving
		s.Filling += n.filling
		if n.serving > 0 && n.filling > 0 {
			s.Shared++
		}
	}
	for _, it := range waiting(now, wall, book) {
		s.Waiting[it.class]++
	}
	return s
}

// Starts returns the starts to record now. wall is the time of day, which the
// start times of occurrences are given in.
func Starts(now, wall time.Time, book *submission.Book, workers []Worker, known *interference.Table, approvals *Approvals) []submission.Start {
	r := newRound(now, makeNodes(book, workers), known)
	r.approvals = approvals
	if len(r.nodes) == 0 {
		return nil
	}
	for _, it := range waiting(now, wall, book) {
		r.place(it)
	}
	return r.starts
}

func makeNodes(book *submission.Book, workers []Worker) []*node {
	var out []*node
	for _, w := range workers {
		if !w.Open {
			continue
		}
		n := &node{Worker: w, free: w.Capacity, idle: w.Capacity.CPU, images: make(map[string]int)}
		n.Fresh = slices.Clone(w.Fresh)
		if u := book.Usage(w.Life); u != nil {
			n.free = w.Capacity.Sub(u.Taken)
			n.idle -= u.Wanted - u.Served + usedBy(u.Served)
			n.serving, n.filling, n.runs = u.Serving, u.Filling, len(u.Runs)
			n.images = maps.Clone(u.Images)
		}
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Life < out[j].Life })
	return out
}

// waiting returns the steps whose turn has come, the most urgent first.
func waiting(now, wall time.Time, book *submission.Book) []item {
	var out []item
	for _, s := range book.Unended() {
		if s.Waiting() == 0 {
			continue
		}
		objective := Objective(s)
		worth := density(book, s)
		doubt := doubted(s)
		for k := range s.Progress {
			accepted := s.Accepted
			if due := s.DueAt(k); !due.IsZero() {
				accepted = now.Add(due.Sub(wall)) // the due time on the clock of now
			}
			for i := range s.Steps {
				if !hasWaiting(&s.Progress[k][i]) || !s.Ready(k, i, wall) {
					continue
				}
				it := item{s: s, occurrence: k, step: i, density: worth, doubted: doubt}
				if doubt {
					it.density = _decideFirst
				}
				finish := now.Add(s.Chain(i))
				switch {
				case s.Steps[i].LongRunning || !finish.After(accepted.Add(objective)):
				case !finish.After(accepted.Add(LateFactor * objective)):
					it.class = 1
				default:
					it.class = 2
				}
				out = append(out, it)
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return before(out[i], out[j]) })
	return out
}

// _doubtAfter is how many failures make a task doubted: sound tasks fail up to
// one time in twenty, so two failures mean that it can hardly ever be done.
const _doubtAfter = 2

// _decideFirst is the density of a submission in doubt. A few runs of one task
// decide it, which is cheaper than the rest of any other.
const _decideFirst = 1e9

// doubted reports whether a submission has a task that has failed so often that
// the submission can hardly be completed. Its other tasks then wait, since
// their work would be thrown away.
func doubted(s *submission.Submission) bool {
	if s.Attempts <= _doubtAfter {
		return false
	}
	for k := range s.Progress {
		for i := range s.Progress[k] {
			for x := range s.Progress[k][i].Tasks {
				if t := &s.Progress[k][i].Tasks[x]; !t.Done && t.Failed >= _doubtAfter && !s.Steps[i].LongRunning {
					return true
				}
			}
		}
	}
	return false
}

func hasWaiting(p *submission.Progress) bool {
	for i := range p.Tasks {
		if !p.Tasks[i].Done && len(p.Tasks[i].Runs) == 0 {
			return true
		}
	}
	return false
}

func before(a, b item) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	if a.s.Priority != b.s.Priority {
		return a.s.Priority < b.s.Priority
	}
	return a.density > b.density
}

// round is one pass over all waiting steps.
type round struct {
	now       time.Time
	nodes     []*node
	spare     map[string]bool // services whose serving workers have the headroom for urgent tasks
	known     *interference.Table
	approvals *Approvals
	quiet     map[string]bool // services much of whose CPU is free
	begun     map[string]bool // submissions that have a start in this round
	starts    []submission.Start
}

func newRound(now time.Time, nodes []*node, known *interference.Table) *round {
	r := &round{now: now, known: known, nodes: nodes, spare: make(map[string]bool), quiet: make(map[string]bool), begun: make(map[string]bool)}
	type sum struct{ free, all, beside int64 }
	sums := make(map[string]sum)
	for _, n := range nodes {
		s := sums[n.Service]
		if n.serving > 0 {
			s.beside += n.free.CPU
		}
		s.free += n.free.CPU
		s.all += n.Capacity.CPU
		sums[n.Service] = s
	}
	for service, s := range sums {
		r.quiet[service] = float64(s.free) > _quietFree*float64(s.all)
		r.spare[service] = float64(s.beside) >= Headroom*float64(s.all)
	}
	suspects, all := make(map[string]int), make(map[string]int)
	for _, n := range nodes {
		n.reserved = !r.spare[n.Service] || n.serving > 0
		all[n.Service]++
		if n.Suspect {
			suspects[n.Service]++
		}
	}
	for _, n := range nodes {
		// What most workers fail is the tasks' fault.
		n.Suspect = n.Suspect && 2*suspects[n.Service] < all[n.Service]
	}
	return r
}

// idles reports whether a submission has nothing running while much of its
// service's capacity is not taken. It then gets one task, wherever that fits,
// so that no submission stands still beside free room.
func (r *round) idles(s *submission.Submission) bool {
	return r.now.Sub(s.Accepted) >= _idleMost && s.ActiveRuns() == 0 && !r.begun[s.ID] && r.quiet[s.Service]
}

// place gives the waiting tasks of a step to workers. A gang is placed as a
// whole or not at all.
func (r *round) place(it item) {
	step := &it.s.Steps[it.step]
	p := &it.s.Progress[it.occurrence][it.step]
	onWorker, onRack := r.spread(p)
	number := uint32(0)
	if step.Gang {
		for i := range p.Tasks {
			if len(p.Tasks[i].Runs) > 0 {
				return // an earlier run of the gang is not over
			}
			number = max(number, p.Tasks[i].Last)
		}
	}
	mark := len(r.starts)
	for i := range p.Tasks {
		t := &p.Tasks[i]
		if t.Done || len(t.Runs) > 0 || it.doubted && !step.Gang && t.Failed < _doubtAfter {
			continue
		}
		id := submission.TaskID{Submission: it.s.ID, Occurrence: it.occurrence, Step: it.step, Index: i}
		n := r.best(it, id, onWorker, onRack)
		if n == nil {
			if step.Gang {
				r.undo(mark, it)
			}
			if t.Failed > 0 && !step.Gang {
				continue // it may not go where the others may
			}
			return // the step's tasks are alike, so the others do not fit either
		}
		run := submission.RunID{Task: id, Number: max(number, t.Last) + 1}
		r.starts = append(r.starts, submission.Start{Run: run, Worker: n.Life})
		r.begun[it.s.ID] = true
		n.take(step, 1)
		onWorker[n.Life]++
		onRack[n.Rack]++
	}
}

func (r *round) undo(mark int, it item) {
	for _, st := range r.starts[mark:] {
		for _, n := range r.nodes {
			if n.Life == st.Worker {
				n.take(&it.s.Steps[it.step], -1)
			}
		}
	}
	r.starts = r.starts[:mark]
}

func (n *node) take(step *submission.Step, count int) {
	room := step.Room()
	for range max(count, -count) {
		if count > 0 {
			n.free = n.free.Sub(room)
		} else {
			n.free = n.free.Add(room)
		}
	}
	n.runs += count
	switch {
	case step.Serves():
		n.idle -= int64(count) * usedBy(step.Needs.CPU)
		n.serving += count
		n.images[step.Image] += count
	case step.Fills():
		n.idle -= int64(count) * step.Needs.CPU
		n.filling += count
		n.Fresh = append(n.Fresh, n.loadOf(step, count))
	default:
		n.idle -= int64(count) * step.Needs.CPU
	}
}

// spread returns where the active runs of a step are, by worker and by rack.
func (r *round) spread(p *submission.Progress) (onWorker, onRack map[string]int) {
	onWorker, onRack = make(map[string]int), make(map[string]int)
	racks := make(map[string]string, len(r.nodes))
	for _, n := range r.nodes {
		racks[n.Life] = n.Rack
	}
	for i := range p.Tasks {
		for _, run := range p.Tasks[i].Runs {
			onWorker[run.Worker]++
			onRack[racks[run.Worker]]++
		}
	}
	return onWorker, onRack
}

// best returns the worker that suits a task of the step best, or nil. A task
// that has failed on a worker goes to another, if its service has one where it
// has not.
func (r *round) best(it item, id submission.TaskID, onWorker, onRack map[string]int) *node {
	step := &it.s.Steps[it.step]
	var best *node
	var bestCost float64
	elsewhere := !step.LongRunning && !r.idles(it.s) && r.hasOther(it.s.Service, id)
	for _, n := range r.nodes {
		if n.Failed[id] && elsewhere {
			continue
		}
		if !r.admits(n, it.s, step, onWorker[n.Life]) || !r.approved(it, n) {
			continue
		}
		if r.mustWait(step, n) && !r.idles(it.s) {
			continue
		}
		cost := n.cost(step, onRack) + r.disturbance(step, n)
		if best == nil || cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

// hasOther reports whether a service has a worker on which a task has not failed.
func (r *round) hasOther(service string, id submission.TaskID) bool {
	for _, n := range r.nodes {
		if n.Service == service && !n.Failed[id] {
			return true
		}
	}
	return false
}

// approved reports whether the step may run on the worker, as far as its queue
// asks for advice.
func (r *round) approved(it item, n *node) bool {
	if !it.s.Advised {
		return true
	}
	_, ok := r.approvals.Ticket(r.now, StepID{Submission: it.s.ID, Occurrence: it.occurrence, Step: it.step}, n.Life)
	return ok
}

// mustWait reports whether a task had better wait than start on the worker: one
// whose CPU is not counted where it would get none and only hold its memory,
// and one that fills beside tasks that serve, if their figures do not allow it.
// There it would be paced, and its submission would be late for the one slow
// task.
func (r *round) mustWait(step *submission.Step, n *node) bool {
	if step.Leftover && step.Needs.CPU > n.idle && n.runs > 0 {
		return true
	}
	return step.Fills() && n.serving > 0 && !r.bears(step, n)
}

// admits reports whether a task of the step may start on the worker.
func (r *round) admits(n *node, s *submission.Submission, step *submission.Step, already int) bool {
	return r.obstacle(n, s, step, already) == 0
}

func (n *node) empty() bool { return n.runs == 0 }

// cost ranks workers for a task of the step; the lowest is best.
//
// Tasks that serve are packed, those of one image together, so that as many
// workers as possible hold none and the others bear as many images of tasks
// that fill as possible. Tasks that fill go beside those that serve where that
// disturbs little. Other tasks disturb nobody and take the room beside those
// that serve.
func (n *node) cost(step *submission.Step, onRack map[string]int) float64 {
	cost := _costFree * (1 - n.load())
	cost += when(n.idle < step.Needs.CPU, _costCrowd)
	if n.Suspect {
		cost += _costSuspect
	}
	if step.DataRack != "" && step.DataRack != n.Rack {
		cost += _costOffRack
	}
	if step.RackLocal && len(onRack) > 0 && onRack[n.Rack] == 0 {
		cost += _costOffRack
	}
	switch {
	case step.Serves():
		cost += when(n.filling > 0, _costDisturb) + when(n.serving == 0, _costOpen)
		cost += when(n.serving > 0 && n.images[step.Image] == 0, _costMix)
	case step.Fills():
		cost += when(n.serving == 0, _costAlone)
	default:
		cost += when(n.serving == 0, _costOpen)
	}
	return cost
}

func when(holds bool, cost float64) float64 {
	if holds {
		return cost
	}
	return 0
}

// load returns the larger share of CPU and memory in use.
func (n *node) load() float64 {
	share := func(free, all int64) float64 {
		if all == 0 {
			return 0
		}
		return 1 - float64(free)/float64(all)
	}
	return max(share(n.free.CPU, n.Capacity.CPU), share(n.free.Memory, n.Capacity.Memory))
}
