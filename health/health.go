// Package health detects unhealthy workers from the outcomes of their runs.
package health

import (
	"math"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Parameters of the health statistics.
const (
	_outcomeHalfLife = 4 * time.Second       // of an outcome's weight; faults of workers last some seconds
	_minFailures     = 2.5                   // decayed failures from which a worker can be unhealthy
	_minFailureShare = 0.5                   // of a worker's decayed outcomes; tasks' own faults are far rarer
	_maxOutcomes     = 8                     // limit of the decayed outcomes, so that a recovery is detected quickly
	_slowFactor      = 2.5                   // multiple of the pool's mean slowdown above which a worker counts as slow
	_minSlowdownRuns = 1.5                   // decayed completed runs needed to assess a worker's slowdown
	_recordTTL       = time.Minute           // of a worker's record after its latest outcome
	_minDuration     = 50 * time.Millisecond // below it, durations of runs do not show the speed of a worker
	_failureTTL      = 20 * time.Second      // for which a task avoids a worker where it failed; worker faults are shorter
)

// ProbeInterval is the time between tasks for an unhealthy worker. A failure costs an
// attempt.
const ProbeInterval = time.Second

// Tracker tracks the outcomes of each worker's runs: failures, and durations
// relative to the estimates. It detects workers that for some seconds fail every
// task, or run several times slower, without reporting a fault. The zero value is
// ready to use.
type Tracker struct {
	workers        map[string]*workerRecord
	taskFailures   map[submission.TaskID]map[string]time.Time // latest failure by task and worker incarnation
	meanSlowdown   float64                                    // mean of log(duration/estimate) over all workers
	slowdownWeight float64                                    // weight of that mean, at most _maxSlowdownWeight
	suspects       map[string]struct{}                        // includes all unhealthy workers
}

// _maxSlowdownWeight limits the weight of the pool's mean slowdown, so that the
// mean follows changes.
const _maxSlowdownWeight = 50

// workerRecord holds the decayed outcomes of the runs on one worker.
type workerRecord struct {
	updated      time.Time
	lastFailure  time.Time
	failures     float64
	outcomes     float64
	slowdownSum  float64 // sum of log(duration/estimate)
	slowdownRuns float64 // decayed number of runs in that sum
}

// decay reduces the weights of the record to those at the time now.
func (r *workerRecord) decay(now time.Time) {
	if d := now.Sub(r.updated); d > 0 {
		f := math.Exp2(-float64(d) / float64(_outcomeHalfLife))
		r.failures, r.outcomes, r.slowdownSum, r.slowdownRuns = r.failures*f, r.outcomes*f, r.slowdownSum*f, r.slowdownRuns*f
		r.updated = now
	}
}

// workerRecord returns a worker's record, decayed to now. It creates the record if
// there is none.
func (t *Tracker) workerRecord(now time.Time, incarnation string) *workerRecord {
	if t.workers == nil {
		t.workers = make(map[string]*workerRecord)
	}
	r := t.workers[incarnation]
	if r == nil {
		r = &workerRecord{updated: now}
		t.workers[incarnation] = r
	}
	r.decay(now)
	return r
}

// RecordEnd records the end of a run of a step, and the run's duration and its
// estimate.
func (t *Tracker) RecordEnd(now time.Time, incarnation string, run submission.RunID, step *submission.Step, reason submission.EndReason, duration, estimate time.Duration) {
	switch reason {
	case submission.Done:
		delete(t.taskFailures, run.Task)
		r := t.workerRecord(now, incarnation)
		r.outcomes++
		r.limitOutcomes()
		t.recordSlowdown(r, step, duration, estimate)
		t.updateSuspect(now, incarnation)
	case submission.Failed, submission.Rejected:
		r := t.workerRecord(now, incarnation)
		r.outcomes++
		r.failures++
		r.lastFailure = now
		r.limitOutcomes()
		t.recordTaskFailure(now, incarnation, run.Task)
		t.updateSuspect(now, incarnation)
	}
}

func (t *Tracker) recordTaskFailure(now time.Time, incarnation string, task submission.TaskID) {
	if t.taskFailures == nil {
		t.taskFailures = make(map[submission.TaskID]map[string]time.Time)
	}
	if t.taskFailures[task] == nil {
		t.taskFailures[task] = make(map[string]time.Time)
	}
	t.taskFailures[task][incarnation] = now
}

// HasFailedOn reports whether a task has recently failed on a worker.
func (t *Tracker) HasFailedOn(now time.Time, task submission.TaskID, incarnation string) bool {
	at, ok := t.taskFailures[task][incarnation]
	return ok && now.Sub(at) < _failureTTL
}

// EachFailure calls f with each worker on which a task has failed recently.
func (t *Tracker) EachFailure(now time.Time, task submission.TaskID, f func(incarnation string)) {
	for incarnation, at := range t.taskFailures[task] {
		if now.Sub(at) < _failureTTL {
			f(incarnation)
		}
	}
}

// Prune drops expired failures of tasks and records of workers without recent
// outcomes.
func (t *Tracker) Prune(now time.Time) {
	for task, incarnations := range t.taskFailures {
		for incarnation, at := range incarnations {
			if now.Sub(at) >= _failureTTL {
				delete(incarnations, incarnation)
			}
		}
		if len(incarnations) == 0 {
			delete(t.taskFailures, task)
		}
	}
	for incarnation, r := range t.workers {
		if now.Sub(r.updated) >= _recordTTL {
			delete(t.workers, incarnation)
			delete(t.suspects, incarnation)
		}
	}
}

// EachUnhealthy calls f with each unhealthy worker.
func (t *Tracker) EachUnhealthy(now time.Time, f func(incarnation string)) {
	for incarnation := range t.suspects {
		if t.IsUnhealthy(now, incarnation) {
			f(incarnation)
			continue
		}
		delete(t.suspects, incarnation)
	}
}

// IsInBackoff reports whether a worker's latest failure is so recent that it gets
// no task for now.
func (t *Tracker) IsInBackoff(now time.Time, incarnation string) bool {
	r := t.workers[incarnation]
	return r != nil && now.Sub(r.lastFailure) < ProbeInterval
}

// updateSuspect keeps the index of workers that may be unhealthy.
func (t *Tracker) updateSuspect(now time.Time, incarnation string) {
	if !t.IsUnhealthy(now, incarnation) {
		return
	}
	if t.suspects == nil {
		t.suspects = make(map[string]struct{})
	}
	t.suspects[incarnation] = struct{}{}
}

// limitOutcomes caps the weights of the outcomes, so that a long fault does not
// count for longer than a short one.
func (r *workerRecord) limitOutcomes() {
	if r.outcomes > _maxOutcomes {
		r.failures *= _maxOutcomes / r.outcomes
		r.outcomes = _maxOutcomes
	}
}

// recordSlowdown records a run's duration relative to its estimate. It skips runs
// with unreserved CPU and runs that may be throttled, because their durations do
// not show whether the worker is slow.
func (t *Tracker) recordSlowdown(r *workerRecord, step *submission.Step, duration, estimate time.Duration) {
	if estimate <= 0 || step.UnreservedCPU || step.IsBatch() || step.LongRunning {
		return
	}
	x := math.Log(float64(max(duration, _minDuration)) / float64(max(estimate, _minDuration)))
	r.slowdownSum += x
	r.slowdownRuns++
	t.slowdownWeight = min(t.slowdownWeight+1, _maxSlowdownWeight)
	t.meanSlowdown += (x - t.meanSlowdown) / t.slowdownWeight
}

// RecordStalledRuns records stalled runs on a worker as failures.
func (t *Tracker) RecordStalledRuns(now time.Time, incarnation string, runs int) {
	r := t.workerRecord(now, incarnation)
	r.outcomes += float64(runs)
	r.failures += float64(runs)
	r.limitOutcomes()
	t.updateSuspect(now, incarnation)
}

// IsUnhealthy reports whether a worker is unhealthy. An unhealthy worker should
// get tasks only if no other worker can run them.
func (t *Tracker) IsUnhealthy(now time.Time, incarnation string) bool {
	r, ok := t.workers[incarnation]
	if !ok {
		return false
	}
	r.decay(now)
	if r.failures >= _minFailures && r.failures >= _minFailureShare*r.outcomes {
		return true
	}
	return r.slowdownRuns >= _minSlowdownRuns && r.slowdownSum/r.slowdownRuns-t.meanSlowdown > math.Log(_slowFactor)
}
