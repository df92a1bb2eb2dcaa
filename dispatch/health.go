package dispatch

import (
	"math"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Bounds of what is learnt of workers.
const (
	_healthHalfLife = 4 * time.Second // after which an outcome counts half; troubles of workers last some seconds
	_failuresLeast  = 2.5             // decayed failures from which a worker can be suspect
	_failuresShare  = 0.5             // of its decayed outcomes; tasks fail by their own fault far less often
	_outcomesMost   = 8               // decayed outcomes that are held, so that a worker which has recovered is soon known to have
	_slowFactor     = 2.5             // times the pool's pace from which a worker counts as slow
	_paceOutcomes   = 1.5             // decayed ends needed to judge a worker's pace
	_stallAfter     = 2 * time.Second // a run whose progress stands still for longer is stalled
	_shortestRun    = 50 * time.Millisecond
	_probeEvery     = time.Second      // between two tasks for a worker that fails them; it costs a task an attempt each time
	_failureKept    = 20 * time.Second // for which a task is kept from a worker where it failed; troubles of workers last less
)

// Health holds what the ends of runs have told of each worker: how many failed,
// and how long they took against their estimates. It answers a load in which a
// few workers fail all that they start, or work several times slower, for some
// seconds, while their announcements say nothing of it. The zero value is
// ready.
type Health struct {
	workers map[string]*record
	failed  map[submission.TaskID]map[string]time.Time // when a task failed on which worker
	pace    float64                                    // mean of log(duration/estimate) over all workers
	paced   float64                                    // weight of that mean, at most _paceMost
}

// _paceMost bounds the weight of the pool's mean pace, so that it follows.
const _paceMost = 50

// record is what the ends on one worker have told, with decay.
type record struct {
	at       time.Time
	fault    time.Time // latest failure
	failed   float64
	outcomes float64
	pace     float64 // sum of log(duration/estimate)
	ends     float64 // weight of that sum
}

// decay lets the record fade until now.
func (r *record) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		f := math.Exp2(-float64(d) / float64(_healthHalfLife))
		r.failed, r.outcomes, r.pace, r.ends = r.failed*f, r.outcomes*f, r.pace*f, r.ends*f
		r.at = now
	}
}

func (h *Health) record(now time.Time, life string) *record {
	if h.workers == nil {
		h.workers = make(map[string]*record)
	}
	r := h.workers[life]
	if r == nil {
		r = &record{at: now}
		h.workers[life] = r
	}
	r.decay(now)
	return r
}

// Ended takes in the end of a run of a step that took the given time.
func (h *Health) Ended(now time.Time, life string, run submission.RunID, step *submission.Step, how submission.How, took time.Duration) {
	switch how {
	case submission.Done:
		delete(h.failed, run.Task)
		r := h.record(now, life)
		r.outcomes++
		r.bound()
		h.learnPace(r, step, took)
	case submission.Failed, submission.Refused:
		r := h.record(now, life)
		r.outcomes++
		r.failed++
		r.fault = now
		r.bound()
		h.noteFailure(now, life, run.Task)
	}
}

func (h *Health) noteFailure(now time.Time, life string, task submission.TaskID) {
	if h.failed == nil {
		h.failed = make(map[submission.TaskID]map[string]time.Time)
	}
	if h.failed[task] == nil {
		h.failed[task] = make(map[string]time.Time)
	}
	h.failed[task][life] = now
}

// Judge sets what is known of a worker.
func (h *Health) Judge(now time.Time, w *Worker) {
	w.Suspect = h.Suspect(now, w.Life)
	w.Resting = w.Suspect && now.Sub(h.workers[w.Life].fault) < _probeEvery
	w.Failed = nil
	for task, lives := range h.failed {
		at, ok := lives[w.Life]
		switch {
		case !ok:
		case now.Sub(at) >= _failureKept:
			if delete(lives, w.Life); len(lives) == 0 {
				delete(h.failed, task)
			}
		default:
			if w.Failed == nil {
				w.Failed = make(map[submission.TaskID]bool)
			}
			w.Failed[task] = true
		}
	}
}

// bound keeps a long trouble from counting for longer than a short one.
func (r *record) bound() {
	if r.outcomes > _outcomesMost {
		r.failed *= _outcomesMost / r.outcomes
		r.outcomes = _outcomesMost
	}
}

// learnPace notes how long a run took against its estimate. Runs that share
// what others leave, or that are paced, tell nothing of the worker.
func (h *Health) learnPace(r *record, step *submission.Step, took time.Duration) {
	if step.Estimate <= 0 || step.Leftover || step.Fills() || step.LongRunning {
		return
	}
	x := math.Log(float64(max(took, _shortestRun)) / float64(max(step.Estimate, _shortestRun)))
	r.pace += x
	r.ends++
	h.paced = min(h.paced+1, _paceMost)
	h.pace += (x - h.pace) / h.paced
}

// Stalled takes in that runs on a worker stand still.
func (h *Health) Stalled(now time.Time, life string, runs int) {
	r := h.record(now, life)
	r.outcomes += float64(runs)
	r.failed += float64(runs)
	r.bound()
}

// Suspect reports whether a worker should get tasks only if no other can take
// them.
func (h *Health) Suspect(now time.Time, life string) bool {
	r, ok := h.workers[life]
	if !ok {
		return false
	}
	r.decay(now)
	if r.failed >= _failuresLeast && r.failed >= _failuresShare*r.outcomes {
		return true
	}
	return r.ends >= _paceOutcomes && r.pace/r.ends-h.pace > math.Log(_slowFactor)
}

// Forget drops a worker's record.
func (h *Health) Forget(life string) { delete(h.workers, life) }
