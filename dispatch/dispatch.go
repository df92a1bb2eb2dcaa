// Package dispatch decides which waiting tasks start on which workers, and which
// runs are stopped so that their tasks start again elsewhere.
//
// A Scheduler performs no I/O and reads no clock. Its owner tells it of the workers
// and of recorded starts and ends, and passes the store of submissions and the
// time to each decision. The resources reserved on a worker never exceed its
// capacity. A run keeps its reservation until its end is recorded.
//
// The cost of a decision follows the number of waiting steps and of the tasks that
// start, not the number of workers: free resources are kept up to date with each
// start and end, and a task looks at a bounded number of workers that may fit.
package dispatch

import (
	"maps"
	"time"

	"github.com/gentianrail/gentianrail/estimate"
	"github.com/gentianrail/gentianrail/health"
	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// Headroom is the share of each worker's CPU that only tasks of urgent queues
// may use, so that a short urgent task starts while batch work occupies the
// pool. In both deployments that gentianrail is built for, urgent work takes
// about 6% of the pool.
const Headroom = 0.06

// LateFactor is the multiple of its objective after which completing a
// submission has no value.
const LateFactor = 3

// Clocks is the present time on the clocks that scheduling compares with.
type Clocks struct {
	Now  time.Time // on the process's steady clock
	Log  time.Time // log time, in which acceptances and starts are recorded
	Wall time.Time // wall-clock time, in which occurrences are due; if zero, none is due
}

// Objective returns the time from acceptance within which a submission should be
// completed.
func Objective(s *submission.Submission) time.Duration {
	return s.ObjectiveOf(s.CriticalPath(-1))
}

// Scheduler holds what scheduling knows besides the record: the workers, their
// health, the interference between images, and the moves in progress. The zero
// value is ready to use.
type Scheduler struct {
	pool        pool
	health      health.Tracker
	estimator   interference.Estimator
	approvals   approvals
	times       estimate.RunTimes
	rackState   rackState
	mover       mover
	tolerance   *tolerance // of the estimator's coefficients at toleranceAt
	toleranceAt time.Time
	steps       []waitingStep     // of the latest round, for reuse
	cordons     map[string]cordon // by worker incarnation
	cursors     map[StepID]*int   // where the latest searches for the steps have ended, in large pools
	lossAt      time.Time         // when workers with service tasks were lost last; zero before the first round
	warmUp      WarmUp
	searchAll   bool // searches are not bounded; for tests
}

// Reset forgets the workers, their health and the moves. The estimates of
// interference and of run times, the approvals and the evacuated zones are kept.
func (s *Scheduler) Reset() {
	s.pool, s.health, s.mover, s.lossAt, s.cordons = pool{evacuation: s.pool.evacuation.withoutWorkers()}, health.Tracker{}, mover{}, time.Time{}, nil
	s.rackState.reset()
}

// SetWorker adds or updates a worker that can receive tasks now. A worker that is
// not schedulable is removed.
func (s *Scheduler) SetWorker(store *submission.Store, w Worker) { s.pool.set(store, w) }

// RemoveWorker removes a worker that can receive no tasks now. Its health is kept.
func (s *Scheduler) RemoveWorker(incarnation string) { s.pool.remove(incarnation) }

// HasWorker reports whether a worker can receive tasks. One of an evacuated zone can't.
func (s *Scheduler) HasWorker(incarnation string) bool { return s.pool.nodes[incarnation] != nil }

// AddSample updates the estimates of interference with a worker's usage
// statistics.
func (s *Scheduler) AddSample(now time.Time, incarnation string, latencies []interference.TailLatency, loads []interference.Load) {
	s.estimator.AddSample(now, incarnation, latencies, loads)
}

// Coefficient returns the estimated interference coefficient of a pair of images.
func (s *Scheduler) Coefficient(p interference.Pair) float64 { return s.estimator.Coefficient(p) }

// Prune drops expired estimates and records. It should be called every few
// seconds.
func (s *Scheduler) Prune(now time.Time, store *submission.Store) {
	s.estimator.Prune(now)
	s.health.Prune(now)
	s.times.Prune(store)
	maps.DeleteFunc(s.cursors, func(id StepID, _ *int) bool {
		sub, ok := store.Submission(id.Submission)
		return !ok || sub.State.Ended()
	})
}

// searchCursor returns the cursor of a step's searches, or nil if each search looks at all
// workers of the service.
func (s *Scheduler) searchCursor(ws waitingStep) *int {
	if service := s.pool.services[ws.sub.Service]; service == nil || service.workers <= _maxScanned/2 {
		return nil
	}
	if s.cursors == nil {
		s.cursors = make(map[StepID]*int)
	}
	if s.cursors[ws.id()] == nil {
		s.cursors[ws.id()] = new(int)
	}
	return s.cursors[ws.id()]
}

// RecordStart records that a start has been recorded.
func (s *Scheduler) RecordStart(now time.Time, store *submission.Store, st submission.Start) {
	n := s.pool.nodes[st.Worker]
	if sub, ok := store.Submission(st.Run.Task.Submission); ok && n != nil {
		if step := &sub.Steps[st.Run.Task.Step]; step.IsBatch() {
			n.addNewLoad(now, st.Run, step)
		}
	}
	s.mover.endMove(st.Run.Task)
	s.updateRackStateAfterStart(now, store, st)
	s.pool.refresh(store, st.Worker)
}

// RecordEnd records that the end of a run has been recorded. took is the time since
// the run was ordered, or negative if that is unknown.
func (s *Scheduler) RecordEnd(now time.Time, store *submission.Store, e submission.End, took time.Duration) {
	if n := s.pool.nodes[e.Worker]; n != nil {
		n.removeNewLoad(e.Run)
	}
	s.mover.removeRun(e.Run)
	s.pool.refresh(store, e.Worker)
	sub, ok := store.Submission(e.Run.Task.Submission)
	if !ok {
		return
	}
	slowdown := s.slowdown(sub, e.Run.Task, e.Worker)
	s.updateRackStateAfterEnd(now, sub, e.Run.Task)
	if took < 0 {
		return
	}
	step, id := &sub.Steps[e.Run.Task.Step], estimate.Step{Submission: sub.ID, Index: e.Run.Task.Step}
	if e.Reason == submission.Rejected && !s.pool.holds(e.Worker, step) {
		return // the worker has shrunk since the start was decided, which is no fault
	}
	if e.Reason == submission.Rejected && s.pool.cancelsStarts(now, e.Worker) {
		return
	}
	// Health and the estimates judge a run that was slow because of its rack as on its own rack.
	took = time.Duration(float64(took) / slowdown)
	if n := s.pool.nodes[e.Worker]; n != nil && s.isCold(now, n) {
		s.health.RecordEnd(now, e.Worker, e.Run, step, e.Reason, took, 0) // without an estimate: the worker is known to be slow
		return
	}
	s.health.RecordEnd(now, e.Worker, e.Run, step, e.Reason, took, s.times.Step(sub.Queue, id, step))
	if e.Reason == submission.Done {
		s.times.RecordRunTime(sub.Queue, id, step, took)
	}
}

// RecordStalledRuns records stalled runs on a worker as failures.
func (s *Scheduler) RecordStalledRuns(now time.Time, incarnation string, runs int) {
	s.health.RecordStalledRuns(now, incarnation, runs)
}

// Starts returns the starts to record now.
func (s *Scheduler) Starts(at Clocks, store *submission.Store) []submission.Start {
	if len(s.pool.nodes) == 0 {
		return nil
	}
	r := s.newStartRound(at, store)
	defer r.end(store)
	for _, ws := range s.waitingSteps(at, store) {
		r.placeStep(ws)
	}
	return r.starts
}

// newStartRound returns a round that places waiting tasks.
func (s *Scheduler) newStartRound(at Clocks, store *submission.Store) *round {
	s.pruneCordons(at)
	s.rackState.beginRound(at, store)
	r := s.newRound(at, store)
	r.absent = s.absences(at, store)
	return r
}

// Summary describes the load of the workers and the waiting steps.
type Summary struct {
	Workers     int    // that can receive tasks
	Evacuated   int    // workers of evacuated zones, which are not included elsewhere
	Shared      int    // of these, workers with both service tasks and batch tasks
	Capacity    int64  // thousandths of a core
	Free        int64  // not reserved, in thousandths of a core
	Idle        int64  // not expected to be used by any run, in thousandths of a core
	ServiceRuns int    // runs of service tasks
	BatchRuns   int    // runs of batch tasks
	Waiting     [3]int // waiting steps by lateness class: in time, late, too late
}

// Summary returns the summary of all pools.
func (s *Scheduler) Summary(at Clocks, store *submission.Store) Summary {
	var t totals
	for _, service := range s.pool.services {
		t.add(service.totals, 1)
	}
	out := Summary{
		Evacuated: len(s.pool.evacuatedNodes),
		Workers:   t.workers, Shared: t.shared, Capacity: t.capacity, Free: t.free, Idle: t.idle, ServiceRuns: t.serviceRuns, BatchRuns: t.batchRuns,
	}
	for _, ws := range s.waitingSteps(at, store) {
		out.Waiting[ws.latenessClass]++
	}
	return out
}
