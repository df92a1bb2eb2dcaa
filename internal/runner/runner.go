// Package runner implements the agent of a worker that runs the tasks of
// submissions.
//
// A Runner is the only client of its worker. It passes on the leader's orders,
// renews the lease of the worker's runs and reports every end. Orders and ends
// are repeated until they are answered. A start or stop whose answer was lost
// counts as possibly carried out until a listing or the end of the worker's
// lease resolves it.
//
// A worker may start again under its identifier, and an order names no more than
// that. Whether a run of the former incarnation has ended is known when the next
// one has listed its runs under the token of a later stream to the leader: an order
// of an earlier stream can start nothing there from then on. A further incarnation could
// still carry out a start that has no answer, so the end of such a run also waits for the
// time after which none is carried out.
//
// One lock guards all state. Each goroutine owns one kind of I/O: the stream to
// the leader, the polls of the worker's runs, or one start or stop that is not
// answered yet.
package runner

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/pacing"
	"github.com/gentianrail/gentianrail/submission"
)

// Parameters of calls to the worker.
const (
	// _callTimeout is the timeout of a call to the worker, besides the call's
	// wait. The worker is on the same machine, and calls may be repeated.
	_callTimeout = 200 * time.Millisecond
	// _pollWait is how long a poll waits for an end: half the period that the
	// worker's usage statistics cover. An end in a lost answer is late by this
	// much.
	_pollWait = 250 * time.Millisecond

	_retryInterval  = 50 * time.Millisecond // between attempts to carry out one order
	_fullShare      = 100                   // percent; share of a run that starts
	_unknownShare   = -1                    // of a run that an earlier agent may have throttled
	_maxFailedPolls = 3                     // consecutive polls without an answer until the worker counts as unresponsive
)

// trackedRun is a run that the leader has ordered or that the worker lists.
type trackedRun struct {
	run             submission.RunID
	start           StartOrder
	needs           submission.Resources // that it reserves; zero if not described
	pacing          pacing.Task          // input of the pacer
	described       bool                 // pacing is known; the leader describes a run that an earlier agent started
	share           int                  // percent of full speed that the worker has confirmed
	settingShare    bool                 // a call that sets the share is in flight
	startCalled     bool                 // a call that starts the run was made
	startUnanswered bool                 // a call that starts the run got no answer
	unansweredAt    time.Time            // latest time at which a call that starts the run and has no answer may have been made; zero for none
	rejected        bool                 // the worker has read a call that starts the run, and rejected it
	estimate        time.Duration        // of the task's run time; 0 if unknown
	orderedAt       time.Time            // receipt of the start order; zero if the agent has not received one
	lateGrants      int                  // Runner.lateGrants when the run was ordered
	startedAt       time.Time            // first call that may have started the run; zero if an earlier agent made it
	confirmed       bool                 // the worker has answered a start or stop, or has listed the run
	confirmedAt     time.Time            // when the run was confirmed
	stopOrdered     bool                 // the run is to be stopped
	progress        int                  // percent, as listed last
	progressAt      time.Time            // when progress changed last or the run could not stall
	stalled         bool                 // progress has not changed for stallTimeout, although the run is not paused
	missingSince    time.Time            // when a listing first lacked the run; zero if the latest one has it
	heldUntil       time.Time            // until when the run may hold a lease that this agent did not send; zero for none
	counted         usage                // the run's part of Runner.usage
}

// inferredEnd is the end of a run that the worker has not listed.
type inferredEnd struct {
	submission.End
	reported   bool      // to a leader, perhaps not the present one
	callsUntil time.Time // until when a call that starts the run and has no answer may be carried out; zero for none
	isListed   bool      // the former incarnation has listed the end, so that it is certain
}

// Runner is the agent of one worker.
type Runner struct {
	log         event.Log
	machine     string // name of this machine
	address     string // of the worker; an announcement of another address is ignored
	worker      Worker
	maxLease    time.Duration // longest lease that the worker accepts
	callDelay   time.Duration // how long after it was sent a call without an answer may be carried out
	began       time.Time     // start of the agent, after which no earlier agent makes calls
	controllers *control.Client
	startTimer  metrics.Timer // calls that start a run; nil in tests
	startSlots  callSlots
	stopSlots   callSlots

	mu              sync.Mutex
	announcement    Announcement  // latest of the incarnation
	warmUp          time.Duration // longest time for which the incarnation has announced to stay slow
	incarnation     Incarnation   // zero until the worker has confirmed an announcement
	candidate       *candidate    // another incarnation that was announced; nil if none
	departed        bool          // the worker has announced its departure
	evacuated       bool          // the worker's zone is evacuated, as of the latest order
	superseded      bool          // the latest poll was answered by another incarnation
	disconnected    bool          // a poll since the latest answer failed before its timeout
	token           token         // latest that a leader has sent
	raised          uint64        // how often the agent has raised the fencing token since then
	polledToken     token         // of the latest poll
	listedToken     token         // latest under which the incarnation has listed all its runs and ends; zero for none
	formerToken     token         // latest of an order for an earlier incarnation under the same identifier; zero for none
	identifiers     identifiers   // of earlier incarnations
	lease           lease
	lateGrants      int // grants that arrived after the previous grant had expired
	runs            map[submission.RunID]*trackedRun
	usage           usage                            // of all runs; a start must not look at each of them
	ends            []ListedEnd                      // not recorded by the leader yet, in ascending order
	lastListedEnd   uint64                           // number of the latest listed end
	lastRecordedEnd uint64                           // number of the latest end that the leader has recorded
	inferredEnds    map[submission.RunID]inferredEnd // of runs that the worker does not list
	checkpoints     map[submission.RunID]string      // latest, by run
	unreported      map[submission.RunID]bool        // runs with changes that were not reported
	supersededBy    int64                            // start time of another incarnation that has answered a poll, in ms since 1970; 0 for none
	listed          bool                             // the worker has listed its active runs in this incarnation
	listedAll       bool                             // and all its ends that are not recorded, in one listing
	listingSentAt   time.Time                        // request of the latest listing of all runs and ends; zero for none
	listedEnds      int                              // ends in the latest listing
	failedPolls     int                              // consecutive, without an answer
	outage          outage                           // the consecutive failed polls
	polledAt        time.Time                        // latest time at which the agent has looked after its worker
	unresponsive    bool
	pacer           pacing.Pacer
	coefficients    interference.Coefficients // of images on the worker, from the leader
	tailLatencies   []*pb.Strain              // from the latest listing; never changed in place
	loads           []*pb.ImageLoad           // from the latest listing; never changed in place

	wakeReport chan struct{} // buffers one signal
	wakePoll   chan struct{} // buffers one signal
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Start starts the goroutines of a Runner. maxLease is the longest lease that the worker
// accepts, and callDelay how long after it was sent a call without an answer may be
// carried out.
func Start(log event.Log, machine, address string, worker Worker, maxLease, callDelay time.Duration, controllers *control.Client, registry metrics.Registry) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		log:         log,
		machine:     machine,
		address:     address,
		worker:      worker,
		maxLease:    maxLease,
		callDelay:   callDelay,
		began:       clock.Now(),
		controllers: controllers,
		startTimer:  metrics.NewRegisteredTimer("agent.starts", registry),
		startSlots:  make(callSlots, _maxConcurrentStarts),
		stopSlots:   make(callSlots, _maxConcurrentStops),
		wakeReport:  make(chan struct{}, 1),
		wakePoll:    make(chan struct{}, 1),
		cancel:      cancel,
	}
	r.reset()
	r.lease.assumeHeld(clock.Now(), _maxWorkerLease) // by an earlier agent
	r.goroutines.Go(func() { r.reportLoop(ctx) })
	r.goroutines.Go(func() { r.pollLoop(ctx) })
	return r
}

// Stop ends the goroutines. Runs on the worker continue under its lease, and the
// next agent takes them over.
func (r *Runner) Stop(context.Context) error {
	r.cancel()
	r.goroutines.Wait()
	r.controllers.Close()
	return nil
}

// reset clears the state of an incarnation. r.mu must be held.
func (r *Runner) reset() {
	r.runs, r.usage = make(map[submission.RunID]*trackedRun), usage{}
	r.inferredEnds = make(map[submission.RunID]inferredEnd)
	r.checkpoints = make(map[submission.RunID]string)
	r.unreported = make(map[submission.RunID]bool)
	r.supersededBy, r.superseded, r.listedToken = 0, false, token{}
	r.ends, r.lastListedEnd, r.lastRecordedEnd = nil, 0, 0
	r.lease = lease{grantEnd: r.lease.grantEnd, heldUntil: r.lease.heldUntil}
	r.listed, r.listedAll, r.listingSentAt = false, false, time.Time{}
	r.unresponsive, r.failedPolls, r.departed, r.disconnected = false, 0, false, false
	r.listedEnds, r.warmUp = 0, 0
	r.outage = outage{}
	r.pacer, r.coefficients = pacing.Pacer{}, make(interference.Coefficients)
	r.tailLatencies, r.loads = nil, nil
}

// HandleAnnouncement handles an announcement of the worker. It ignores an
// announcement that a later one has overtaken. An announcement of another
// incarnation takes effect when the worker has confirmed it.
func (r *Runner) HandleAnnouncement(a Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.WarmUpLeft > 0 {
		a.warmAt = clock.Now().Add(a.WarmUpLeft)
	}
	incarnation := Incarnation{ID: a.ID, StartTimeMS: a.StartTimeMS}
	switch {
	case a.Address != r.address:
		r.log.Emit(event.WorkerIgnored, event.Fields{"worker": a.ID, "address": a.Address}, "announcement ignored: the address is not that of this agent's worker")
		return
	case incarnation != r.incarnation:
		r.setCandidate(a)
		return
	case a.Sequence <= r.announcement.Sequence:
		return
	case a.Draining && !r.announcement.Draining:
		r.log.Emit(event.WorkerDraining, event.Fields{"worker": r.incarnationName(incarnation), "remaining_ms": a.Remaining.Milliseconds()},
			"worker is leaving; it gets no more tasks")
	}
	if r.departed && !a.Draining {
		r.departed = false // the departure was a late one, of an earlier incarnation with the same identifier
	}
	r.setAnnouncement(a)
	wake(r.wakeReport)
	wake(r.wakePoll)
}

// setAnnouncement records the latest announcement of the incarnation. r.mu must be held.
func (r *Runner) setAnnouncement(a Announcement) {
	r.announcement = a
	r.warmUp = max(r.warmUp, a.WarmUpLeft)
}

// HandleDeparture records the departure of an incarnation. Its runs end with the
// worker, or at the latest with their lease, which is no longer renewed. A start
// time of 0 is unknown.
func (r *Runner) HandleDeparture(incarnation Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnation.ID != r.incarnation.ID || incarnation.StartTimeMS != 0 && incarnation.StartTimeMS != r.incarnation.StartTimeMS {
		return
	}
	r.departed = true
	wake(r.wakeReport)
}

// incarnationName returns the system-wide name of an incarnation. The name begins
// with the machine, since a later incarnation on a machine implies that the
// earlier ones have ended.
func (r *Runner) incarnationName(incarnation Incarnation) string {
	if incarnation == (Incarnation{}) {
		return ""
	}
	return r.machine + "/" + incarnation.ID + "/" + strconv.FormatInt(incarnation.StartTimeMS, 10)
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// applyOrder carries out an order of the leader. r.mu must be held.
func (r *Runner) applyOrder(ctx context.Context, o *pb.AgentOrder) {
	t := orderToken(o)
	if t.before(r.token) {
		return
	}
	if r.token != t {
		r.token, r.raised = t, 0
		wake(r.wakePoll)
	}
	if o.GetSent() != 0 {
		if !clock.Now().Before(r.lease.grantEnd) {
			r.lateGrants++ // the leader may have ended the runs that it ordered before
		}
		r.lease.applyGrant(time.Unix(0, o.GetSent()), time.Duration(o.GetLease()))
	}
	r.controllers.SetMembers(o.GetControllers())
	r.evacuated = o.GetEvacuated() // before the starts, which are cancelled then
	for _, p := range o.GetPresses() {
		r.coefficients[interference.Pair{Batch: p.GetFills(), Service: p.GetServes()}] = float64(p.GetPercent()) / 100
	}
	for _, run := range o.GetSettled() {
		if run := wire.DecodeRun(run); r.inferredEnds[run].reported {
			delete(r.inferredEnds, run)
		}
	}
	r.pruneRecordedEnds(o.GetTaken())
	for _, s := range o.GetStarts() {
		r.handleStart(ctx, s)
	}
	for _, run := range o.GetStops() {
		r.handleStop(ctx, wire.DecodeRun(run))
	}
}

func (r *Runner) pruneRecordedEnds(lastRecordedEnd uint64) {
	if lastRecordedEnd <= r.lastRecordedEnd {
		return
	}
	r.lastRecordedEnd = lastRecordedEnd
	for len(r.ends) > 0 && r.ends[0].Number <= lastRecordedEnd {
		r.ends = r.ends[1:]
	}
	wake(r.wakePoll)
}

// isKnown reports whether the run is tracked or its end is stored, so that a
// start of the run needs no action. r.mu must be held.
func (r *Runner) isKnown(run submission.RunID) bool {
	if r.runs[run] != nil {
		return true
	}
	if _, ok := r.inferredEnds[run]; ok {
		return true
	}
	for _, e := range r.ends {
		if e.Run == run {
			return true
		}
	}
	return false
}

func (r *Runner) handleStart(ctx context.Context, s *pb.StartOrder) {
	run := wire.DecodeRun(s.GetRun())
	pacingTask := pacing.Task{IsService: s.GetServes(), IsBatch: s.GetFills(), Image: s.GetImage(), TailTarget: time.Duration(s.GetTailTarget())}
	if tr := r.runs[run]; tr != nil && !tr.described {
		tr.pacing, tr.estimate, tr.described = pacingTask, time.Duration(s.GetEstimate()), true
		tr.needs = wire.DecodeResources(s.GetNeeds())
		r.recount(tr)
	}
	if tr := r.runs[run]; tr != nil && s.GetSettled() && tr.unansweredAt.Equal(r.began) {
		tr.unansweredAt = time.Time{} // only earlier agents have called, and their calls have answers
		r.unreported[run] = true
		wake(r.wakeReport)
	}
	if r.isKnown(run) {
		return
	}
	tr := &trackedRun{
		run:        run,
		estimate:   time.Duration(s.GetEstimate()),
		needs:      wire.DecodeResources(s.GetNeeds()),
		orderedAt:  clock.Now(),
		lateGrants: r.lateGrants,
		share:      _fullShare,
		described:  true,
		start:      StartOrder{Run: run, Text: s.GetText(), Checkpoint: s.GetSaved(), Ticket: s.GetTicket()},
		pacing:     pacingTask,
	}
	if s.GetRepeated() {
		tr.unansweredAt = r.began
		r.holdUntilSettled(tr)
	}
	r.track(tr)
	incarnation := r.incarnation
	r.goroutines.Go(func() { r.startRun(ctx, incarnation, tr) })
}

func (r *Runner) handleStop(ctx context.Context, run submission.RunID) {
	tr := r.runs[run]
	if tr == nil {
		if r.isKnown(run) {
			return // the run has ended
		}
		tr = &trackedRun{run: run, unansweredAt: r.began}
		r.holdUntilSettled(tr)
		r.track(tr)
	}
	if tr.stopOrdered {
		return
	}
	tr.stopOrdered = true
	r.recount(tr)
	incarnation := r.incarnation
	r.goroutines.Go(func() { r.stopRun(ctx, incarnation, tr) })
}

// inferEnd records the end of a run that the worker does not have. r.mu must be
// held.
func (r *Runner) inferEnd(tr *trackedRun, reason submission.EndReason) {
	r.untrack(tr.run)
	end := inferredEnd{
		End: submission.End{Run: tr.run, Worker: r.incarnationName(r.incarnation), Reason: reason, Checkpoint: r.checkpoints[tr.run]},
	}
	end.callsUntil = r.callsUntil(tr)
	r.inferredEnds[tr.run] = end
	fields := event.Fields{
		"worker": r.incarnationName(r.incarnation), "task": tr.run.Task.String(), "run": tr.run.Number, "how": reason.String(),
		"stop_ordered": tr.stopOrdered, "listed_ends": r.listedEnds,
	}
	if !tr.missingSince.IsZero() {
		fields["missing_ms"] = clock.Now().Sub(tr.missingSince).Milliseconds()
	}
	r.log.Emit(event.RunEndInferred, fields, "run ended without being listed by the worker")
	wake(r.wakeReport)
}

// callsUntil returns until when a call that starts the run and has no answer may be carried out;
// the zero time if there is none. Of a run that the agent doesn't know, earlier agents may have
// made such calls. r.mu must be held.
func (r *Runner) callsUntil(tr *trackedRun) time.Time {
	switch {
	case tr == nil:
		return r.began.Add(r.callDelay)
	case tr.unansweredAt.IsZero():
		return time.Time{}
	default:
		return tr.unansweredAt.Add(r.callDelay)
	}
}

// lateFor returns for how long, from now on, a call may be carried out that can be until the given
// time.
func lateFor(now, callsUntil time.Time) int64 {
	if callsUntil.IsZero() {
		return 0
	}
	return int64(max(callsUntil.Sub(now), 0))
}

// startRun repeats a start until the worker answers or the order is no longer valid.
// That is checked before each call, since a worker may leave calls unanswered for
// seconds.
func (r *Runner) startRun(ctx context.Context, incarnation Incarnation, tr *trackedRun) {
	for ctx.Err() == nil {
		if !r.startSlots.acquire(ctx) {
			return
		}
		resolved := r.tryStart(ctx, incarnation, tr)
		r.startSlots.release()
		if resolved {
			return
		}
		clock.Sleep(ctx, _retryInterval)
	}
}

// tryStart calls the worker once if the order is still valid, and reports whether the
// start is resolved.
func (r *Runner) tryStart(ctx context.Context, incarnation Incarnation, tr *trackedRun) bool {
	r.mu.Lock()
	if r.incarnation != incarnation || r.runs[tr.run] != tr || tr.confirmed || tr.stopOrdered {
		r.mu.Unlock()
		return true
	}
	inDoubt := r.isInDoubt()
	if tr.lateGrants != r.lateGrants || r.isLeaving() || r.evacuated || !inDoubt && !r.holds(tr) {
		if r.evacuated {
			r.log.Emit(event.StartCancelled, event.Fields{
				"worker": r.incarnationName(incarnation), "task": tr.run.Task.String(), "run": tr.run.Number, "called": tr.startCalled,
			}, "start cancelled: the worker's zone is evacuated")
		}
		r.cancelStart(ctx, incarnation, tr)
		r.mu.Unlock()
		return true
	}
	var leaseEnd time.Duration
	ok := false
	if !inDoubt && r.usage.strays == 0 {
		leaseEnd, ok = r.lease.nextEnd(clock.Now())
	}
	tr.start.LeaseEnd, tr.start.Token = leaseEnd, r.fence()
	start := tr.start
	tr.startCalled = tr.startCalled || ok
	r.recount(tr)
	began, unansweredAt := clock.Now(), tr.unansweredAt
	if ok {
		tr.unansweredAt = began
	}
	r.mu.Unlock()
	if !ok {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, _callTimeout)
	answer, workerClock, err := r.worker.Start(callCtx, incarnation.ID, start)
	cancel()
	if r.startTimer != nil {
		r.startTimer.Update(clock.Now().Sub(began))
	}
	r.mu.Lock()
	if tr.startedAt.IsZero() && !errors.Is(err, ErrRefused) {
		tr.startedAt = began
	}
	switch {
	case err == nil && !r.lease.hasSteppedBack(workerClock, clock.Now()), errors.Is(err, ErrRefused):
		tr.unansweredAt = unansweredAt
	case err == nil:
		r.handleSteppedClock(tr)
		workerClock = 0
	default:
		r.recordFailedCall(clock.Now(), tr)
	}
	r.mu.Unlock()
	return r.handleStartAnswer(ctx, incarnation, tr, answer, workerClock, err)
}

// recordFailedCall records that a call that starts the run got no answer. r.mu must be held.
func (r *Runner) recordFailedCall(now time.Time, tr *trackedRun) {
	tr.unansweredAt = now
	if tr.confirmed { // by a listing meanwhile; the leader may know the run as settled
		r.unreported[tr.run] = true
		wake(r.wakeReport)
	}
}

// handleSteppedClock handles the answer to a start by an incarnation with another clock than
// the known one: the start has given the run, and all others there, a lease of another
// length than was meant. r.mu must be held.
func (r *Runner) handleSteppedClock(tr *trackedRun) {
	now := clock.Now()
	tr.heldUntil = now.Add(r.longestLease())
	r.lease.assumeHeld(now, r.longestLease())
	if !r.disconnected {
		r.disconnected = true
		r.raiseToken()
	}
	r.reportAll()
	wake(r.wakePoll)
}

// reportAll lets the next report name all active runs. r.mu must be held.
func (r *Runner) reportAll() {
	for run := range r.runs {
		r.unreported[run] = true
	}
	wake(r.wakeReport)
}

// isLeaving reports whether the worker has announced that it leaves, or its departure.
// r.mu must be held.
func (r *Runner) isLeaving() bool { return r.announcement.Draining || r.departed }

// isInDoubt reports whether the worker has perhaps started again, or does not answer. It
// must not get a start then, which names no incarnation and extends the lease of all
// runs. r.mu must be held.
func (r *Runner) isInDoubt() bool { return r.disconnected || r.superseded || r.unresponsive }

// holds reports whether the worker's capacity, which may have shrunk since the
// leader placed the run, holds the run beside those that the worker has or that are
// being started or stopped. r.mu must be held.
func (r *Runner) holds(tr *trackedRun) bool {
	others := r.usage.sub(tr.counted)
	return tr.needs.Fits(r.announcement.Capacity.Sub(others.needs))
}

// handleStartAnswer handles the answer to a start and reports whether the start
// is resolved.
func (r *Runner) handleStartAnswer(ctx context.Context, incarnation Incarnation, tr *trackedRun, answer StartAnswer, workerClock time.Duration, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.incarnation != incarnation || r.runs[tr.run] != tr {
		return true
	}
	if err != nil {
		tr.startUnanswered = true
		return false
	}
	now := clock.Now()
	if workerClock > 0 {
		r.lease.recordWorkerClock(workerClock, now)
	}
	r.log.Emit(event.StartAnswered, event.Fields{
		"task": tr.run.Task.String(), "run": tr.run.Number, "answer": int(answer), "unsure": tr.startUnanswered,
		"worker": r.incarnationName(incarnation), "failed_polls": r.failedPolls,
		"waited_ms": now.Sub(tr.orderedAt).Milliseconds(), "draining": r.isLeaving(),
	}, "worker answered a start order")
	switch answer {
	case Started, Superseded:
		// A run that the worker has had before is in the next listing, or
		// counts as lost.
		tr.confirmed, tr.confirmedAt = true, now
		r.recount(tr)
		r.unreported[tr.run] = true
		wake(r.wakePoll)
		if tr.pacing.IsService {
			// Until the leader knows, the task would wait for a late call if the machine were lost.
			wake(r.wakeReport)
		}
		return true
	case TooLate:
		return false
	case Fenced, OtherIncarnation:
		// The later leader counts the run as ordered or stops it.
		return false
	default:
		tr.rejected = answer != Unhealthy
		r.cancelStart(ctx, incarnation, tr)
		return true
	}
}

// cancelStart resolves a start that must not be carried out. The worker may still
// carry out an unanswered start, or one of an earlier agent; a stop prevents that. A
// rejection and a listing show that the worker refuses the orders of an earlier stream.
// r.mu must be held.
func (r *Runner) cancelStart(ctx context.Context, incarnation Incarnation, tr *trackedRun) {
	if !tr.startUnanswered && (tr.rejected || !r.listedToken.before(r.token)) {
		r.inferEnd(tr, submission.Rejected)
		return
	}
	tr.stopOrdered = true
	r.recount(tr)
	r.goroutines.Go(func() { r.stopRun(ctx, incarnation, tr) })
}

// stopRun repeats a stop until the worker answers. The worker lists the end; a
// run that the worker never had gets an inferred end.
func (r *Runner) stopRun(ctx context.Context, incarnation Incarnation, tr *trackedRun) {
	for ctx.Err() == nil {
		if !r.stopSlots.acquire(ctx) {
			return
		}
		resolved := r.tryStop(ctx, incarnation, tr)
		r.stopSlots.release()
		if resolved {
			return
		}
		clock.Sleep(ctx, _retryInterval)
	}
}

// tryStop calls the worker once if the run is still to be stopped, and reports whether
// the stop is resolved.
func (r *Runner) tryStop(ctx context.Context, incarnation Incarnation, tr *trackedRun) bool {
	r.mu.Lock()
	stillNeeded := r.incarnation == incarnation && r.runs[tr.run] == tr
	fence := r.fence()
	r.mu.Unlock()
	if !stillNeeded {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, _callTimeout)
	err := r.worker.Stop(callCtx, incarnation.ID, tr.run, fence)
	cancel()
	if err != nil {
		return false
	}
	r.mu.Lock()
	tr.confirmed, tr.confirmedAt = true, clock.Now()
	r.recount(tr)
	r.mu.Unlock()
	wake(r.wakePoll)
	return true
}
