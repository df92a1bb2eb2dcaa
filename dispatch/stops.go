package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/estimate"
	"github.com/gentianrail/gentianrail/submission"
)

// Parameters of the decisions to stop runs.
const (
	_moveBelowShare   = 60                     // percent; a run that is throttled below it is moved if possible
	_departureMargin  = 500 * time.Millisecond // a run is stopped if it would end less than this before its worker leaves
	_maxMoves         = 8                      // throttled runs in one check; new usage statistics precede further moves
	_moveInterval     = 6 * time.Second        // between two moves of one task
	_moveTime         = 700 * time.Millisecond // a stop and a start from a checkpoint
	_minExpectedShare = 10                     // percent; a paused run is resumed at some time
	_minMoveGain      = 1.3                    // expected time to stay, as a multiple of that to move
)

// RunStatus is the state of an active run as reported by its agent.
type RunStatus struct {
	Share    int  // percent of full speed that the agent allows; negative if unknown
	Progress int  // percent of its work that is done
	Stalled  bool // makes no progress although it is not paused
}

// StopReason is the reason for stopping a run.
type StopReason uint8

const (
	// Leaving runs are on a worker that leaves before they end.
	Leaving StopReason = iota + 1
	// Stalled runs make no progress.
	Stalled
	// Throttled runs have their CPU limited, while another worker has capacity for
	// them.
	Throttled
	// Misplaced service tasks make their worker tolerate fewer batch images than
	// they would elsewhere.
	Misplaced
	// Evacuating runs are long-running and in an evacuated zone, while another zone has
	// capacity for them.
	Evacuating
)

// String returns the reason's name in lower case.
func (r StopReason) String() string {
	return [...]string{"", "leaving", "stalled", "crowded", "misplaced", "evacuated"}[r]
}

// Stop is a run to stop, so that its task starts again on another worker.
type Stop struct {
	Worker string // incarnation
	Run    submission.RunID
	Reason StopReason
}

// mover holds the state of the decisions to stop runs. The zero value is ready to
// use.
type mover struct {
	statuses     map[submission.RunID]RunStatus // of stalled and throttled runs
	departures   map[string]time.Time           // earliest departure of leaving workers, by incarnation
	movedAt      map[submission.TaskID]time.Time
	exchanged    map[submission.TaskID]time.Time // latest moves of service tasks
	moves        map[submission.TaskID]move      // in progress
	lastExchange time.Time

	lastEvacuationMove time.Time // latest check for runs to move out of evacuated zones
	exchangesDisabled  bool
}

// SetRunStatus records the reported status of an active run.
func (s *Scheduler) SetRunStatus(run submission.RunID, status RunStatus) {
	if !status.Stalled && (status.Share < 0 || status.Share >= _moveBelowShare) {
		s.mover.removeRun(run)
		return
	}
	if s.mover.statuses == nil {
		s.mover.statuses = make(map[submission.RunID]RunStatus)
	}
	s.mover.statuses[run] = status
}

func (m *mover) removeRun(run submission.RunID) { delete(m.statuses, run) }

// IsStalled reports whether a run was last reported as stalled.
func (s *Scheduler) IsStalled(run submission.RunID) bool { return s.mover.statuses[run].Stalled }

// SetDeparture records that a worker does not leave before a time, but then.
func (s *Scheduler) SetDeparture(incarnation string, earliest time.Time) {
	if s.mover.departures == nil {
		s.mover.departures = make(map[string]time.Time)
	}
	s.mover.departures[incarnation] = earliest
}

// ClearDeparture records that a worker does not leave, or has left.
func (s *Scheduler) ClearDeparture(incarnation string) { delete(s.mover.departures, incarnation) }

// Stops returns the runs to stop now: runs on leaving workers, stalled runs, batch
// runs that are throttled beside service tasks while other workers have capacity,
// long-running runs in evacuated zones, and service tasks to exchange between workers. Runs that were returned before
// may be returned again.
func (s *Scheduler) Stops(at Clocks, store *submission.Store) []Stop {
	s.mover.prune(at.Now)
	r := s.newRound(at, store)
	defer r.end(store)
	var out []Stop
	for _, incarnation := range slices.Sorted(maps.Keys(s.mover.departures)) {
		out = append(out, r.stopsOnLeavingWorker(store, incarnation)...)
	}
	runs := sortedRuns(s.mover.statuses)
	out = append(out, s.stopsOfStalledRuns(store, runs)...)
	out = append(out, r.stopsOfThrottledRuns(store, runs)...)
	out = append(out, r.stopsInEvacuatedZones(store)...)
	return append(out, r.exchanges(store)...)
}

// prune drops expired times of moves.
func (m *mover) prune(now time.Time) {
	for id, moved := range m.movedAt {
		if now.Sub(moved) >= _moveInterval {
			delete(m.movedAt, id)
		}
	}
	for id, moved := range m.exchanged {
		if now.Sub(moved) >= _exchangePause {
			delete(m.exchanged, id)
		}
	}
}

// sortedRuns returns the runs in a fixed order, so that equal inputs give equal
// decisions.
func sortedRuns(statuses map[submission.RunID]RunStatus) []submission.RunID {
	return slices.SortedFunc(maps.Keys(statuses), compareRuns)
}

func compareRuns(a, b submission.RunID) int {
	return cmp.Or(compareTasks(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
}

func compareTasks(a, b submission.TaskID) int {
	return cmp.Or(
		cmp.Compare(a.Submission, b.Submission), cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index),
	)
}

// stopsOnLeavingWorker returns the runs that will not end before their worker
// leaves, and the runs that lose no progress by a stop.
func (r *round) stopsOnLeavingWorker(store *submission.Store, incarnation string) []Stop {
	u := store.Usage(incarnation)
	if u == nil {
		return nil
	}
	departure := r.mover.departures[incarnation]
	var out []Stop
	for run, sub := range u.Runs {
		step := &sub.Steps[run.Task.Step]
		left := r.runTime(sub, run) - r.at.Log.Sub(runStartTime(sub, run))
		endsTooLate := r.at.Now.Add(left + _departureMargin).After(departure)
		if step.LongRunning || step.Checkpointing || endsTooLate && r.at.Now.Before(departure) {
			out = append(out, Stop{Worker: incarnation, Run: run, Reason: Leaving})
		}
	}
	slices.SortFunc(out, func(a, b Stop) int { return compareRuns(a.Run, b.Run) })
	return out
}

// runTime returns the estimated run time of a run.
func (s *Scheduler) runTime(sub *submission.Submission, run submission.RunID) time.Duration {
	return s.times.Step(sub.Queue, estimate.Step{Submission: sub.ID, Index: run.Task.Step}, &sub.Steps[run.Task.Step])
}

func runStartTime(s *submission.Submission, run submission.RunID) time.Time {
	for _, r := range s.Task(run.Task).Runs {
		if r.Number == run.Number {
			return r.Started
		}
	}
	return time.Time{}
}

// stopsOfStalledRuns returns the stalled runs that may be moved.
func (s *Scheduler) stopsOfStalledRuns(store *submission.Store, runs []submission.RunID) []Stop {
	var out []Stop
	for _, run := range runs {
		if !s.mover.statuses[run].Stalled {
			continue
		}
		if sub, r := findRun(store, run); r != nil && s.mover.canMove(sub, run) {
			out = append(out, Stop{Worker: r.Worker, Run: run, Reason: Stalled})
		}
	}
	return out
}

// findRun returns an active run and its submission, or nil if the run has ended or
// is surplus.
func findRun(store *submission.Store, run submission.RunID) (*submission.Submission, *submission.Run) {
	sub, ok := store.Submission(run.Task.Submission)
	if !ok || sub.IsSurplus(run) {
		return nil, nil
	}
	runs := sub.Task(run.Task).Runs
	if i := slices.IndexFunc(runs, func(r submission.Run) bool { return r.Number == run.Number }); i >= 0 {
		return sub, &runs[i]
	}
	return nil, nil
}

// canMove reports whether a run may be moved. Members of gangs never move alone.
func (m *mover) canMove(sub *submission.Submission, run submission.RunID) bool {
	_, movedRecently := m.movedAt[run.Task]
	return !movedRecently && !sub.Steps[run.Task.Step].Gang
}

// stopsOfThrottledRuns returns throttled runs that another worker is expected to
// complete earlier. The other worker has no service tasks, or its service tasks
// tolerate the run.
func (r *round) stopsOfThrottledRuns(store *submission.Store, runs []submission.RunID) []Stop {
	var out []Stop
	for _, run := range runs {
		status := r.mover.statuses[run]
		if status.Share >= _moveBelowShare || status.Share < 0 || len(out) == _maxMoves {
			continue
		}
		sub, active := findRun(store, run)
		if active == nil || !r.mover.canMove(sub, run) {
			continue
		}
		step := &sub.Steps[run.Task.Step]
		if !step.IsBatch() || !isWorthMoving(step, r.runTime(sub, run), status) {
			continue
		}
		if n := r.tolerantWorker(sub, run.Task, active.Worker); n != nil {
			r.markChanged(n)
			n.addRuns(step, 1)
			r.mover.recordMove(r.at.Now, run)
			out = append(out, Stop{Worker: active.Worker, Run: run, Reason: Throttled})
		}
	}
	return out
}

// tolerantWorker returns a worker other than the present one that can run a batch
// task at full speed, or nil.
func (r *round) tolerantWorker(sub *submission.Submission, id submission.TaskID, present string) *node {
	step := &sub.Steps[id.Step]
	ws := waitingStep{sub: sub, occurrence: id.Occurrence, step: id.Step}
	search := r.newSearch(sub, step, nil)
	for n := search.next(); n != nil; n = search.next() {
		if n.Incarnation != present && !r.unhealthy[n.Incarnation] && n.idleCPU >= step.Needs.CPU && r.obstacle(n, sub, step, 0) == _noObstacle &&
			(n.serviceRuns == 0 || r.toleratesBatchTask(step, n)) && r.isApproved(ws, n) {
			return n
		}
	}
	return nil
}

// isWorthMoving reports whether a throttled run is expected to end clearly earlier
// on another worker, although it loses its progress there unless it saves it.
func isWorthMoving(step *submission.Step, runTime time.Duration, status RunStatus) bool {
	left := runTime * time.Duration(100-status.Progress) / 100
	if left < _moveTime {
		return false
	}
	stay := left * 100 / time.Duration(max(status.Share, _minExpectedShare))
	move := _moveTime + runTime
	if step.Checkpointing {
		move = _moveTime + left
	}
	return float64(stay) > _minMoveGain*float64(move)
}

// RecordMove records that a run was stopped, so that its task is not moved again
// within _moveInterval.
func (s *Scheduler) RecordMove(now time.Time, run submission.RunID) { s.mover.recordMove(now, run) }

func (m *mover) recordMove(now time.Time, run submission.RunID) {
	if m.movedAt == nil {
		m.movedAt = make(map[submission.TaskID]time.Time)
	}
	m.movedAt[run.Task] = now
}
