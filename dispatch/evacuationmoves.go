package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Parameters of the moves of long-running tasks out of evacuated zones. They address an
// evacuation that lasts: the zone is to be empty in the end, without tasks that are down for
// longer than a move, and a short evacuation is to waste no work.
const (
	_evacuationDelay        = 10 * time.Second // of an evacuation in which nothing is moved; a move costs a restart, which a shorter evacuation does not repay
	_minSteadyTime          = 6 * time.Second  // for which all other tasks of a step have run before one of its tasks is moved
	_evacuationMoveInterval = 500 * time.Millisecond
	_maxEvacuationMoves     = 8 // in one _evacuationMoveInterval
	// _evacuationMoveTTL is the time for which the destination of a task is reserved. It is
	// longer than the lease of runs, 4 s, with which a run ends whose agent does not answer.
	_evacuationMoveTTL = 8 * time.Second
)

// stopsInEvacuatedZones returns long-running runs in evacuated zones to move: those for which
// a worker of another zone has capacity, which is reserved for them. As many tasks of a step
// are moved at a time as may be unavailable, or one if the step states no limit.
func (r *round) stopsInEvacuatedZones(store *submission.Store) []Stop {
	m := &r.mover
	if len(r.pool.evacuatedNodes) == 0 || r.at.Now.Sub(m.lastEvacuationMove) < _evacuationMoveInterval {
		return nil
	}
	m.lastEvacuationMove = r.at.Now
	byStep := r.runsToEvacuate(store)
	var out []Stop
	for _, id := range slices.SortedFunc(maps.Keys(byStep), compareSteps) {
		sub, _ := store.Submission(id.Submission)
		if !r.isSteady(sub, id) {
			continue
		}
		out = append(out, r.evacuateRuns(sub, id, byStep[id], _maxEvacuationMoves-len(out))...)
		if len(out) == _maxEvacuationMoves {
			break
		}
	}
	return out
}

func compareSteps(a, b StepID) int {
	return cmp.Or(cmp.Compare(a.Submission, b.Submission), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
}

// runsToEvacuate returns the long-running runs on workers of zones that have been evacuated
// for _evacuationDelay, by step. Members of gangs never move alone, and the advice service is
// not asked about tasks that run.
func (r *round) runsToEvacuate(store *submission.Store) map[StepID][]submission.Start {
	out := make(map[StepID][]submission.Start)
	for incarnation, n := range r.pool.evacuatedNodes {
		u := store.Usage(incarnation)
		if u == nil || r.at.Now.Sub(r.pool.startedAt[n.Zone]) < _evacuationDelay {
			continue
		}
		for run, sub := range u.Runs {
			step := &sub.Steps[run.Task.Step]
			if !step.LongRunning || step.Gang || step.RackLocal || sub.NeedsAdvice || sub.IsSurplus(run) {
				continue
			}
			id := StepID{Submission: sub.ID, Occurrence: run.Task.Occurrence, Step: run.Task.Step}
			out[id] = append(out[id], submission.Start{Run: run, Worker: incarnation})
		}
	}
	for _, runs := range out {
		slices.SortFunc(runs, func(a, b submission.Start) int { return compareRuns(a.Run, b.Run) })
	}
	return out
}

// isSteady reports whether all tasks of a step that are not done have a run that has been
// active for _minSteadyTime on a worker whose agent reports, and none is being moved.
func (r *round) isSteady(sub *submission.Submission, id StepID) bool {
	rec := &sub.StepRecords[id.Occurrence][id.Step]
	for i := range rec.Tasks {
		task := submission.TaskID{Submission: id.Submission, Occurrence: id.Occurrence, Step: id.Step, Index: i}
		_, movedRecently := r.mover.movedAt[task]
		if movedRecently || r.mover.destination(task) != "" || !rec.Tasks[i].Done && !slices.ContainsFunc(rec.Tasks[i].Runs, func(run submission.Run) bool {
			return r.at.Log.Sub(run.Started) >= _minSteadyTime && r.pool.isPresent(run.Worker) &&
				!r.mover.statuses[submission.RunID{Task: task, Number: run.Number}].Stalled
		}) {
			return false
		}
	}
	return true
}

// isPresent reports whether the worker could receive tasks if its zone were not evacuated.
func (p *pool) isPresent(incarnation string) bool {
	return p.nodes[incarnation] != nil || p.evacuatedNodes[incarnation] != nil
}

// evacuateRuns reserves the destinations of at most limit runs of a step and returns the
// stops of these runs.
func (r *round) evacuateRuns(sub *submission.Submission, id StepID, runs []submission.Start, limit int) (out []Stop) {
	p := r.newPlacement(waitingStep{sub: sub, occurrence: id.Occurrence, step: id.Step})
	p.countActiveRuns(p.ws.record())
	limit = min(limit, max(1, p.step.MaxUnavailable))
	for _, run := range runs {
		if len(out) == limit {
			break
		}
		to := p.bestDestination()
		if to == nil {
			break // nor is there one for the other tasks of the step
		}
		stop := r.beginMove(serviceTask{run: run.Run, sub: sub, step: p.step}, r.pool.evacuatedNodes[run.Worker], to)
		stop.Reason = Evacuating
		v := r.mover.moves[run.Run.Task]
		v.until = r.at.Now.Add(_evacuationMoveTTL)
		r.mover.moves[run.Run.Task] = v
		r.mover.recordMove(r.at.Now, run.Run)
		r.markChanged(to)
		to.addRuns(p.step, 1)
		p.onWorker[to.Incarnation]++
		out = append(out, stop)
	}
	return out
}

// bestDestination returns the worker with the lowest cost that can run a task of the step and
// is healthy, or nil. Workers of evacuated zones are in no search.
func (p *placement) bestDestination() *node {
	search := p.newSearch(p.ws.sub, p.step, nil)
	best := candidate{}
	for n := search.next(); n != nil; n = search.next() {
		if p.unhealthy[n.Incarnation] || p.isIsolated(n) || !p.mayRun(n) {
			continue
		}
		if c := (candidate{n: n, cost: p.cost(n)}); best.n == nil || c.isBetter(best) {
			best = c
		}
	}
	return best.n
}
