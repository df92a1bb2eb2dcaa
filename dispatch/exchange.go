package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Parameters of the exchanges of service tasks.
const (
	_exchangeInterval = 500 * time.Millisecond
	_exchangePause    = 15 * time.Second        // between two moves of one service task
	_moveTTL          = 2500 * time.Millisecond // for which a task that is being moved waits for its destination
	_maxExchanges     = 6                       // in one _exchangeInterval
	_maxSources       = 40                      // workers for whose tasks a destination is searched in one _exchangeInterval
	_maxExamined      = 256                     // workers that are examined in one _exchangeInterval
	// Smallest gain of an exchange, in thousandths of a core times the share of batch
	// images. A task that is moved is out of service for about a second.
	_minExchangeGain = 6400
)

// move is a service task on its way to another worker, for which resources are
// reserved there.
type move struct {
	from, to string // incarnations
	until    time.Time
	reserved submission.Resources
}

// DisableExchanges keeps service tasks where they have started.
func (s *Scheduler) DisableExchanges() { s.mover.exchangesDisabled = true }

// destination returns the worker incarnation to which a task is being moved, or "".
func (m *mover) destination(task submission.TaskID) string { return m.moves[task].to }

// isMoving reports whether a task of a submission is being moved.
func (m *mover) isMoving(submissionID string) bool {
	for task := range m.moves {
		if task.Submission == submissionID {
			return true
		}
	}
	return false
}

// endMove ends a task's move, for example when the task has started.
func (m *mover) endMove(task submission.TaskID) { delete(m.moves, task) }

// reserveDestinations reserves the resources of tasks that are being moved. It
// returns the workers whose free resources have changed.
func (m *mover) reserveDestinations(now time.Time, p *pool) (changed []*node) {
	for _, task := range slices.SortedFunc(maps.Keys(m.moves), compareTasks) {
		v := m.moves[task]
		if !now.Before(v.until) {
			delete(m.moves, task)
			continue
		}
		if n := p.nodes[v.to]; n != nil {
			n.free = n.free.Sub(v.reserved)
			changed = append(changed, n)
		}
	}
	return changed
}

// serviceTask is a service task that may be moved from its worker.
type serviceTask struct {
	run  submission.RunID
	sub  *submission.Submission
	step *submission.Step
}

// exchangeNode is a worker whose service tasks may be exchanged.
type exchangeNode struct {
	*node
	tasks []serviceTask
	share float64 // of the batch images that the worker tolerates
	best  int     // index of the task whose removal adds most
	gain  float64 // of that removal
	used  bool    // a task of the worker is being moved
}

// exchanges returns service tasks to move, in pairs that take each other's place or
// singly to free capacity, so that workers tolerate more batch images.
//
// Service images that are sensitive to the same shared resource of a worker
// tolerate the same batch images. Where tasks of such images share workers, each
// batch image finds many workers that tolerate it. Interference is known only some
// time after the tasks have started, so they cannot be placed that way at first.
func (r *round) exchanges(store *submission.Store) []Stop {
	if r.mover.exchangesDisabled || r.at.Now.Sub(r.mover.lastExchange) < _exchangeInterval || r.tolerance.images == 0 {
		return nil
	}
	r.mover.lastExchange = r.at.Now
	nodes := r.exchangeNodes(store)
	sources := slices.Clone(nodes)
	slices.SortStableFunc(sources, func(a, b *exchangeNode) int { return cmp.Compare(b.gain, a.gain) })
	var out []Stop
	exchanges := 0
	for _, a := range sources[:min(len(sources), _maxSources)] {
		if exchanges == _maxExchanges || a.gain <= 0 {
			break
		}
		if a.used {
			continue
		}
		task := a.tasks[a.best]
		b, back := r.bestExchange(a, task, nodes)
		if b == nil {
			continue
		}
		exchanges++
		a.used, b.used = true, true
		out = append(out, r.beginMove(task, a.node, b.node))
		if back >= 0 {
			out = append(out, r.beginMove(b.tasks[back], b.node, a.node))
		}
	}
	return out
}

// exchangeNodes returns up to _maxExamined workers with service tasks.
func (r *round) exchangeNodes(store *submission.Store) []*exchangeNode {
	busy := make(map[string]bool, 2*len(r.mover.moves))
	for _, v := range r.mover.moves {
		busy[v.from], busy[v.to] = true, true
	}
	var out []*exchangeNode
	for _, name := range r.pool.serviceNames() {
		s := r.pool.services[name]
		all := search{lists: s.byFree[:], service: s, offset: s.cursor}
		for n := all.next(); n != nil && len(out) < _maxExamined; n = all.next() {
			if n.serviceRuns == 0 || r.unhealthy[n.Incarnation] || busy[n.Incarnation] || r.isIsolated(n) || r.isCold(r.at.Now, n) {
				continue
			}
			out = append(out, r.newExchangeNode(store, n))
		}
	}
	return out
}

func (r *round) newExchangeNode(store *submission.Store, n *node) *exchangeNode {
	e := &exchangeNode{node: n, share: r.tolerance.share(r.tolerance.blocked(n.serviceImages, ""))}
	u := store.Usage(n.Incarnation)
	if u == nil {
		return e
	}
	for id, sub := range u.Runs {
		step := &sub.Steps[id.Task.Step]
		_, movedRecently := r.mover.exchanged[id.Task]
		if step.IsService() && !sub.IsSurplus(id) && step.MaxUnavailable == 0 && !step.Gang && !movedRecently {
			e.tasks = append(e.tasks, serviceTask{run: id, sub: sub, step: step})
		}
	}
	slices.SortFunc(e.tasks, func(a, b serviceTask) int { return compareRuns(a.run, b.run) })
	for i, t := range e.tasks {
		if n.serviceImages[t.step.Image] != 1 {
			continue
		}
		left := r.tolerance.share(r.tolerance.blocked(n.serviceImages, t.step.Image))
		if g := (left - e.share) * float64(n.Capacity.CPU); g > e.gain {
			e.gain, e.best = g, i
		}
	}
	return e
}

// bestExchange returns the worker to which a task of a should move, and the task
// of that worker that should move to a, or -1 if the worker has room without it.
func (r *round) bestExchange(a *exchangeNode, task serviceTask, nodes []*exchangeNode) (best *exchangeNode, back int) {
	bestGain := float64(_minExchangeGain)
	without := r.tolerance.blocked(a.serviceImages, task.step.Image)
	needs := task.step.Reserved()
	for _, b := range nodes {
		if b == a || b.used || b.Service != a.Service || !mayMove(task, b.node) {
			continue
		}
		if needs.Fits(b.free) {
			with := r.tolerance.blocked(b.serviceImages, "").union(r.tolerance.intolerable[task.step.Image])
			if g := r.exchangeGain(a, without, b, with); g > bestGain {
				best, back, bestGain = b, -1, g
			}
		}
		for i, t := range b.tasks {
			returned := t.step.Reserved()
			if t.step.Image == task.step.Image || !needs.Fits(b.free.Add(returned)) || !returned.Fits(a.free.Add(needs)) || !mayMove(t, a.node) {
				continue
			}
			withB := r.tolerance.blocked(b.serviceImages, t.step.Image).union(r.tolerance.intolerable[task.step.Image])
			withA := without.union(r.tolerance.intolerable[t.step.Image])
			if g := r.exchangeGain(a, withA, b, withB); g > bestGain {
				best, back, bestGain = b, i, g
			}
		}
	}
	return best, back
}

// exchangeGain returns the gain if two workers then block the given batch images.
func (r *round) exchangeGain(a *exchangeNode, blockedA imageSet, b *exchangeNode, blockedB imageSet) float64 {
	return (r.tolerance.share(blockedA)-a.share)*float64(a.Capacity.CPU) + (r.tolerance.share(blockedB)-b.share)*float64(b.Capacity.CPU)
}

// mayMove reports whether the constraints of a service task, other than its needs,
// allow it to run on a worker. A task that needs a ticket stays where it is, since the
// advice service is asked only about tasks that wait.
func mayMove(t serviceTask, n *node) bool {
	if t.sub.NeedsAdvice {
		return false
	}
	if t.step.Requirement != "" && !slices.Contains(n.Labels, t.step.Requirement) || t.step.DataRack != "" && t.step.DataRack != n.Rack || t.step.RackLocal {
		return false
	}
	if t.step.MaxPerWorker <= 0 {
		return true
	}
	count := 0
	for _, task := range t.sub.StepRecords[t.run.Task.Occurrence][t.run.Task.Step].Tasks {
		for _, run := range task.Runs {
			if run.Worker == n.Incarnation {
				count++
			}
		}
	}
	return count < t.step.MaxPerWorker
}

// beginMove reserves the destination of a task and returns the stop of its run.
func (r *round) beginMove(t serviceTask, from, to *node) Stop {
	m := &r.mover
	if m.moves == nil {
		m.moves, m.exchanged = make(map[submission.TaskID]move), make(map[submission.TaskID]time.Time)
	}
	m.moves[t.run.Task] = move{from: from.Incarnation, to: to.Incarnation, until: r.at.Now.Add(_moveTTL), reserved: t.step.Reserved()}
	m.exchanged[t.run.Task] = r.at.Now
	return Stop{Worker: from.Incarnation, Run: t.run, Reason: Misplaced}
}
