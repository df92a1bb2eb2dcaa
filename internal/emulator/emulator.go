package emulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// Times of the emulation.
const (
	_tick           = 25 * time.Millisecond  // also the delay of orders and reports
	_roundInterval  = 50 * time.Millisecond  // between scheduling rounds
	_minStopTime    = 350 * time.Millisecond // until an ordered stop takes effect
	_maxStopTime    = 900 * time.Millisecond
	_returnSpread   = 500 * time.Millisecond // within which lost workers return
	_lossDelay      = 100 * time.Millisecond // from a worker's return until the ends of its earlier runs are recorded
	_callerPatience = 3 * time.Second        // for which a caller tries to submit while no controller answers
	_lateFactor     = dispatch.LateFactor
)

// _pool is the name of the service that all workers belong to.
const _pool = "pool"

// emulation is one run of a scenario.
type emulation struct {
	scenario  *Scenario
	policy    Policy
	truth     pairs
	noise     *rand.Rand
	now       time.Duration
	epoch     time.Time
	requests  []*request          // not submitted yet, in order of time
	accepted  map[string]*outcome // by submission
	order     []*outcome          // accepted, in order of acceptance
	outcomes  []*outcome
	store     submission.Store
	workers   []*worker
	byName    map[string]*worker        // by incarnation
	runs      map[submission.RunID]*run // on workers that are up
	running   map[submission.TaskID]int // number of these runs
	violation error                     // the first start that must not happen; nil for none
	failed    map[submission.TaskID]int // failed runs of tasks
	orderedAt map[submission.RunID]time.Duration
	ends      []submission.End // reported, not recorded yet
	scheduler dispatch.Scheduler
	nextRound time.Duration
	usage     UsageSums
}

// Run plays a scenario under a policy and returns what callers got.
func Run(s *Scenario, p Policy, seed uint64) (Result, error) {
	if err := s.Validate(); err != nil {
		return Result{}, err
	}
	e := newEmulation(s, p, seed)
	if err := e.play(); err != nil {
		return Result{}, err
	}
	return e.result(), nil
}

func (e *emulation) play() error {
	end := e.scenario.Lead + e.scenario.Length + e.scenario.Drain
	for e.now < end {
		e.now += _tick
		e.takeLosses()
		e.submit()
		e.cancel()
		for _, w := range e.workers {
			e.stepWorker(w)
		}
		if !e.controllersLost() {
			e.recordEnds()
			e.round()
		}
		if e.violation != nil {
			return fmt.Errorf("at %s: %w", e.now, e.violation)
		}
		e.score()
	}
	return nil
}

func newEmulation(s *Scenario, p Policy, seed uint64) *emulation {
	e := &emulation{
		scenario: s, policy: p, noise: rand.New(rand.NewPCG(seed, 2)), epoch: time.Unix(1_700_000_000, 0).UTC(),
		accepted: make(map[string]*outcome), byName: make(map[string]*worker), runs: make(map[submission.RunID]*run),
		running: make(map[submission.TaskID]int), failed: make(map[submission.TaskID]int), orderedAt: make(map[submission.RunID]time.Duration),
	}
	rnd := rand.New(rand.NewPCG(seed, 1))
	serviceImages, batchImages := make([]string, s.Images.Service), make([]string, s.Images.Batch)
	for i := range serviceImages {
		serviceImages[i] = fmt.Sprintf("service%02d", i)
	}
	for i := range batchImages {
		batchImages[i] = fmt.Sprintf("batch%02d", i)
	}
	if p == WithoutExchanges {
		e.scheduler.DisableExchanges()
	}
	e.truth = drawPairs(&s.Images, rnd, serviceImages, batchImages)
	e.requests = drawRequests(s, rnd)
	for i := range s.Workers.Count {
		size := s.Workers.CPU[i%len(s.Workers.CPU)]
		w := &worker{
			index: i, rack: fmt.Sprintf("r%d", i/s.Workers.PerRack), sent: make(interference.Coefficients),
			capacity:   submission.Resources{CPU: size, Memory: s.Workers.Memory * size / s.Workers.CPU[0]},
			nextList:   time.Duration(rnd.Int64N(int64(_listInterval))),
			nextReport: time.Duration(rnd.Int64N(int64(_reportInterval))),
		}
		e.workers = append(e.workers, w)
		e.startWorker(w)
	}
	return e
}

// at returns the present time on all clocks.
func (e *emulation) at() dispatch.Clocks {
	t := e.epoch.Add(e.now)
	return dispatch.Clocks{Now: t, Log: t, Wall: t}
}

func (e *emulation) startWorker(w *worker) {
	w.life++
	w.incarnation = fmt.Sprintf("w%04d/%d", w.index, w.life)
	w.latencies, w.loads = nil, nil
	e.byName[w.incarnation] = w
}

func (e *emulation) controllersLost() bool {
	for _, l := range e.scenario.Losses {
		if at := e.scenario.Lead + l.At; l.Kind == LostControllers && e.now >= at && e.now < at+l.For {
			return true
		}
	}
	return false
}

// takeLosses takes workers and orders away whose loss begins now. The runs of the workers
// end; the leader learns of it when the lease has expired.
func (e *emulation) takeLosses() {
	for i, l := range e.scenario.Losses {
		at := e.scenario.Lead + l.At
		if l.Kind == LostControllers || e.now < at || e.now >= at+_tick {
			continue
		}
		rnd := rand.New(rand.NewPCG(uint64(i), 3))
		order := rnd.Perm(len(e.workers))
		for _, n := range order[:int(l.Share*float64(len(order)))] {
			w := e.workers[n]
			if l.Kind == LateOrders {
				w.lateUntil = max(w.lateUntil, e.now+l.For)
				continue
			}
			w.lostUntil = e.now + l.For + time.Duration(rnd.Int64N(int64(_returnSpread)))
			e.scheduler.RemoveWorker(w.incarnation)
			for _, r := range w.runs {
				e.remove(r)
			}
			w.runs = nil
		}
	}
}

// submit passes the requests that are due to the leader.
func (e *emulation) submit() {
	for len(e.requests) > 0 && e.requests[0].at <= e.now {
		r := e.requests[0]
		lost := e.controllersLost()
		if lost && e.now < r.at+_callerPatience {
			return
		}
		e.requests = e.requests[1:]
		o := &outcome{request: r}
		if r.kind != service || r.at >= e.scenario.Lead {
			e.outcomes = append(e.outcomes, o)
		}
		if lost {
			o.rejected = true
			continue
		}
		s := submission.Submission{Spec: r.spec, Service: _pool, MaxAttempts: 4, Slack: 1, BaseObjective: 2500 * time.Millisecond}
		s.Queue = r.kind.String()
		if q := r.queue; q != nil {
			s.Priority, s.MaxAttempts, s.Slack, s.BaseObjective = q.Priority, q.MaxAttempts, q.Slack, q.Target
		}
		e.store.Submit(s, e.at().Log)
		e.accepted[r.spec.ID] = o
		e.order = append(e.order, o)
	}
}

// cancel cancels the submissions whose callers want that now.
func (e *emulation) cancel() {
	for _, o := range e.order {
		id := o.request.spec.ID
		if at := o.request.cancelAt; at > 0 && e.now >= at && !o.cancelled {
			o.cancelled = true
			_ = e.store.Cancel(id, e.at().Log)
			s, _ := e.store.Submission(id)
			for _, st := range s.Runs() {
				if r := e.runs[st.Run]; r != nil {
					r.stopAt = e.now + e.stopTime()
				}
			}
		}
	}
}

// stepWorker advances a worker by one tick and reports the ends of its runs.
func (e *emulation) stepWorker(w *worker) {
	if e.now < w.lostUntil {
		return
	}
	if w.lostUntil > 0 {
		w.lostUntil = 0
		w.before, w.endsAt = append(w.before, w.incarnation), e.now+_lossDelay
		e.startWorker(w)
		w.nextReport = e.now
	}
	if e.now >= w.lateUntil {
		for _, st := range w.late {
			e.carryOut(w, st)
		}
		w.late = nil
	}
	if e.now >= w.endsAt {
		for _, incarnation := range w.before {
			e.endRunsOf(incarnation)
		}
		w.before = nil
	}
	w.step(e.scenario, e.truth, e.now, _tick)
	left := w.runs[:0]
	for _, r := range w.runs {
		reason := e.endReason(r)
		if reason == 0 {
			left = append(left, r)
			continue
		}
		end := submission.End{Run: r.id, Worker: w.incarnation, Reason: reason}
		if saved := r.saved; r.step.Checkpointing && saved > 0 {
			end.Checkpoint = saved.String()
		}
		e.remove(r)
		e.ends = append(e.ends, end)
	}
	w.runs = left
	if e.now >= w.nextList {
		w.nextList += _listInterval
		if e.policy != ReactivePacing {
			w.pacer.SetCapacity(w.capacity.CPU)
		}
		w.list(e.noise, e.now, e.epoch.Add(e.now))
	}
	if e.now >= w.nextReport && !e.controllersLost() {
		w.nextReport = e.now + _reportInterval
		e.report(w)
	}
}

// endReason returns why a run ends now, or 0.
func (e *emulation) endReason(r *run) submission.EndReason {
	switch {
	case r.stopAt > 0 && e.now >= r.stopAt:
		if r.step.Checkpointing {
			r.saved = r.done
		}
		return submission.Stopped
	case r.failAt > 0 && r.done >= r.failAt, r.step.LongRunning && r.failAt > 0 && e.now >= r.began+r.failAt:
		e.failed[r.id.Task]++
		return submission.Failed
	case !r.step.LongRunning && r.done >= r.request.work[r.id.Task.Step]:
		return submission.Done
	}
	return 0
}

// report passes a worker's statistics to the leader, and coefficients to the
// agent.
func (e *emulation) report(w *worker) {
	now := e.at().Now
	e.scheduler.SetWorker(&e.store, dispatch.Worker{
		Incarnation: w.incarnation, Service: _pool, Rack: w.rack, Capacity: w.capacity, Schedulable: true, TailLatencies: w.latencies, Loads: w.loads,
	})
	if len(w.latencies) > 0 {
		e.scheduler.AddSample(now, w.incarnation, w.latencies, w.loads)
	}
	for _, r := range w.runs {
		if !r.step.LongRunning {
			progress := int(100 * r.done / max(r.request.work[r.id.Task.Step], 1))
			e.scheduler.SetRunStatus(r.id, dispatch.RunStatus{Share: r.share, Progress: progress})
		}
	}
	for _, l := range w.loads {
		for _, t := range w.latencies {
			p := interference.Pair{Batch: l.Image, Service: t.Image}
			w.sent[p] = e.scheduler.Coefficient(p)
		}
	}
}

func (e *emulation) endRunsOf(incarnation string) {
	u := e.store.Usage(incarnation)
	if u == nil {
		return
	}
	for id := range u.Runs {
		e.ends = append(e.ends, submission.End{Run: id, Worker: incarnation, Reason: submission.Lost})
	}
}

// recordEnds records the reported ends and stops surplus runs.
func (e *emulation) recordEnds() {
	slices.SortFunc(e.ends, func(a, b submission.End) int { return cmp.Compare(a.Run.Task.String(), b.Run.Task.String()) })
	now := e.at()
	for _, end := range e.ends {
		s, ok := e.store.Submission(end.Run.Task.Submission)
		if !ok || !e.store.End(end, now.Log) {
			continue
		}
		e.scheduler.RecordEnd(now.Now, &e.store, end, e.now-e.orderedAt[end.Run])
		delete(e.orderedAt, end.Run)
		if o := e.accepted[s.ID]; s.State.Ended() && o.endedAt == 0 {
			o.endedAt, o.state = e.now, s.State
			for _, st := range s.Runs() {
				if r := e.runs[st.Run]; r != nil {
					r.stopAt = e.now + e.stopTime()
				}
			}
		}
	}
	e.ends = e.ends[:0]
	e.store.Prune(now.Log)
}

// round is a scheduling round of the leader.
func (e *emulation) round() {
	if e.now < e.nextRound {
		return
	}
	e.nextRound = e.now + _roundInterval
	at := e.at()
	for _, st := range e.policy.stops(at, &e.scheduler, &e.store) {
		if r := e.runs[st.Run]; r != nil && r.stopAt == 0 {
			e.scheduler.RecordMove(at.Now, st.Run)
			r.stopAt = e.now + e.stopTime()
			if st.Reason == dispatch.Misplaced {
				e.usage.Moves++
			}
		}
	}
	for _, st := range e.store.Start(e.policy.starts(at, &e.scheduler, &e.store, e.workers), at.Log) {
		e.scheduler.RecordStart(at.Now, &e.store, st)
		e.start(st)
	}
	if e.now%(5*time.Second) < _roundInterval {
		e.scheduler.Prune(at.Now, &e.store)
	}
}

// start orders a recorded run from its worker.
func (e *emulation) start(st submission.Start) {
	e.orderedAt[st.Run] = e.now
	w := e.byName[st.Worker]
	if e.now < w.lateUntil {
		w.late = append(w.late, st)
		return
	}
	e.carryOut(w, st)
}

// carryOut starts an ordered run on its worker. An order has no effect on a worker that
// is down, or that has returned under another incarnation. A run that has been stopped
// before its order arrived ends at once.
func (e *emulation) carryOut(w *worker, st submission.Start) {
	if e.now < w.lostUntil || w.incarnation != st.Worker {
		return
	}
	s := e.accepted[st.Run.Task.Submission]
	r := &run{
		id: st.Run, request: s.request, step: &s.request.spec.Steps[st.Run.Task.Step], worker: w, began: e.now + 2*_tick, share: _fullShare, newShare: _fullShare,
	}
	sub, _ := e.store.Submission(st.Run.Task.Submission)
	if sub.State.Ended() {
		e.ends = append(e.ends, submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Stopped})
		return
	}
	if saved, err := time.ParseDuration(sub.Task(st.Run.Task).Checkpoint); err == nil {
		r.done, r.saved = saved, saved
		r.began += _restoreTime
	}
	if failures := s.request.failures[st.Run.Task.Step][st.Run.Task.Index]; e.failed[st.Run.Task] < failures {
		r.failAt = e.failTime(r)
	}
	if r.step.LongRunning {
		r.began = e.now + e.scenario.Services.Startup
	}
	e.add(r, sub)
}

// add lets a worker carry out a run. It checks that no other worker carries out a
// run of the same task, whatever the record says, and that the task is not done.
func (e *emulation) add(r *run, s *submission.Submission) {
	task := r.id.Task
	switch {
	case e.violation != nil:
	case e.running[task] > 0 && !r.step.Speculative:
		e.violation = fmt.Errorf("run %d of %s starts on %s beside another run", r.id.Number, task, r.worker.incarnation)
	case s.Task(task).Done && !r.step.LongRunning:
		e.violation = fmt.Errorf("run %d of %s starts on %s although the task is done", r.id.Number, task, r.worker.incarnation)
	}
	r.worker.runs = append(r.worker.runs, r)
	e.runs[r.id] = r
	e.running[task]++
}

// remove removes a run that has ended from the sums. The caller removes it from its
// worker.
func (e *emulation) remove(r *run) {
	delete(e.runs, r.id)
	if e.running[r.id.Task]--; e.running[r.id.Task] == 0 {
		delete(e.running, r.id.Task)
	}
}

// stopTime returns the time until an ordered stop takes effect.
func (e *emulation) stopTime() time.Duration {
	return _minStopTime + time.Duration(e.noise.Int64N(int64(_maxStopTime-_minStopTime)))
}

// failTime returns the work after which a run fails.
func (e *emulation) failTime(r *run) time.Duration {
	span := r.request.work[r.id.Task.Step]
	if r.step.LongRunning {
		span = 20 * time.Second
	}
	return max(time.Duration(e.noise.Float64()*float64(span)), _tick)
}
