package controller

import (
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// Bounds and intervals of the leases and scheduling of runs.
const (
	_runLeaseMargin        = 200 * time.Millisecond // added to a lease before it counts as expired
	_runLeaseDriftDivisor  = 20                     // a lease counts as expired after another 1/20, for clock drift
	_runLeaseCheckInterval = 50 * time.Millisecond  // between checks for expired leases
	_leaseSweepInterval    = time.Second            // between checks of all workers with runs
	_maxReportAge          = time.Second            // without a report until a worker gets no tasks; agents report sooner
	_stopCheckInterval     = 100 * time.Millisecond // between checks for runs to stop
	_maxLoggedWaits        = 5                      // waiting steps logged with each pool state
	_minLoggedWait         = 3 * time.Second        // waiting time from which a step is logged
	_poolStateInterval     = time.Second            // between log lines of the pool state
	_maxRunEnds            = 500                    // run ends in one command
	_proposalRetryDelay    = 3 * time.Second        // until a proposal with an unknown outcome is repeated
)

// outbox queues the orders for one agent.
type outbox struct {
	mu     sync.Mutex
	orders []*pb.AgentOrder
	signal chan struct{} // size one
	closed bool
}

func newOutbox() *outbox { return &outbox{signal: make(chan struct{}, 1)} }

func (o *outbox) put(order *pb.AgentOrder) {
	o.mu.Lock()
	o.orders = append(o.orders, order)
	o.mu.Unlock()
	o.notifySender()
}

func (o *outbox) notifySender() {
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// close closes the outbox. Its remaining orders are still sent.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.notifySender()
}

// popAll removes and returns all orders.
func (o *outbox) popAll() (orders []*pb.AgentOrder, closed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	orders, o.orders = o.orders, nil
	return orders, o.closed
}

// session is the leader's state of an agent's stream. The agent reports on one
// incarnation of its worker.
type session struct {
	worker                 dispatch.Worker
	leaving                bool
	silent                 bool                      // the worker does not answer its agent
	earliestDeparture      time.Time                 // of a worker that leaves
	hasLists               bool                      // the agent has reported its complete lists
	agent                  reporter                  // as of the latest report
	deferred               *pb.AgentReport           // to be answered with a lease; nil for none
	attachment             uint64                    // number of the stream among those of the machine in this term, from 1
	strays                 map[submission.RunID]bool // runs that the worker has and that are not recorded on its incarnation
	settled                bool                      // it is known which runs of other incarnations on the machine this one has
	lastReport             time.Time                 // receipt of the latest report
	outbox                 *outbox
	unrecordedEnds         map[uint64]recordedRun      // by number; reported, not recorded yet
	highestEnd             uint64                      // number of the latest reported end
	unrecordedInferredEnds map[submission.RunID]string // worker incarnations of runs that the worker does not have; reported, not recorded yet
	lateDone               map[submission.RunID]bool   // runs that are done, as reported after another end of theirs was recorded
	awaitedRepeats         map[submission.RunID]bool   // runs to order again when they are not recorded as settled any more
	orderedStops           map[submission.RunID]bool   // stop orders that were sent
	checkpoints            map[submission.RunID]string // latest reported checkpoints
	sentCoefficients       map[interference.Pair]int   // interference coefficients sent to the agent, in percent
}

// recordedRun is a run and the worker incarnation on which it is recorded.
type recordedRun struct {
	run    submission.RunID
	worker string
}

// sessions is the leader's state of workers and task scheduling, which a new
// leader rebuilds from the agents' reports.
type sessions struct {
	lease         time.Duration
	leaderSince   time.Time
	term          uint64 // in which this controller leads, or led last
	byIncarnation map[string]*session
	machines      map[string]*machineHistory
	strayHolders  map[submission.RunID]string // worker incarnations that have a run which is not recorded on them
	// When the latest lease of a worker incarnation has expired for certain. Each lease rests on a
	// listing: see renewLease.
	leaseExpiries    map[string]time.Time
	lateStarts       lateStarts
	silent           silentMachines
	settlements      settlements
	leaseOrder       recency                   // worker incarnations by renewal of their lease
	reportOrder      recency                   // worker incarnations that can receive tasks, by latest report
	expiring         map[string]time.Time      // when the end of a worker incarnation's expired runs was proposed
	endsProposed     map[submission.RunID]bool // runs whose end is proposed and not recorded yet
	outages          workerOutages
	gangFailures     map[gangRun]bool // common runs whose end as failed is proposed and not recorded yet
	startsProposedAt time.Time        // when the pending StartRuns was proposed; zero if there is none
	changed          bool             // the state has changed since the last scheduling round
	nextRound        time.Time        // when a scheduling round is due without a change
	scheduler        dispatch.Scheduler
	missedTargets    int            // samples since the latest pool state in which a service task missed its target
	wallClocks       clock.Majority // of the attached workers' machines and this one
	lastStopCheck    time.Time
	lateRunsUntil    map[submission.RunID]time.Time // until when a call may start an ended run, and its agent report that
	startOrderedAt   map[submission.RunID]time.Time // when this leader ordered the starts of active runs
	started          map[string]bool                // unended submissions of which a worker has had a run, by ID
	lastLeaseCheck   time.Time
	lastLeaseSweep   time.Time // latest check of all workers with runs
	lastPrune        time.Time // latest removal of expired interference estimates and samples
	lastPoolState    time.Time // latest log line of the pool state
}

// reset discards the state and ends the agents' streams. What the scheduler has
// learnt about images is kept.
func (s *sessions) reset(now time.Time) {
	for _, sess := range s.byIncarnation {
		sess.outbox.close()
	}
	s.leaderSince = now
	s.byIncarnation = make(map[string]*session)
	s.machines = make(map[string]*machineHistory)
	s.strayHolders = make(map[submission.RunID]string)
	s.leaseExpiries = make(map[string]time.Time)
	s.lateStarts.runs = nil
	s.settlements.reset()
	s.silent.reset()
	s.expiring = make(map[string]time.Time)
	s.endsProposed = make(map[submission.RunID]bool)
	s.gangFailures = make(map[gangRun]bool)
	s.outages = make(workerOutages)
	s.startsProposedAt = time.Time{}
	s.scheduler.Reset()
	s.leaseOrder, s.reportOrder = recency{}, recency{}
	s.wallClocks.Reset()
	s.lateRunsUntil = make(map[submission.RunID]time.Time)
	s.startOrderedAt = make(map[submission.RunID]time.Time)
	s.started = make(map[string]bool)
	s.changed = true
}

// leaseExpiry returns when every lease of the worker incarnation's runs has
// expired. A leader that has granted none counts from when the machine has certainly been
// without one.
func (s *sessions) leaseExpiry(incarnation string) time.Time {
	if t, ok := s.leaseExpiries[incarnation]; ok {
		return t
	}
	return s.withoutLeaseSince(machineOf(incarnation)).Add(s.maxLease())
}

// maxLease returns the duration after which a granted lease has expired for
// certain.
func (s *sessions) maxLease() time.Duration {
	return s.lease + s.lease/_runLeaseDriftDivisor + _runLeaseMargin
}

// attach handles an agent's first report and returns the session with its first
// orders, or nil if this controller cannot be sure that it leads.
func (c *Core) attach(now time.Time, in *pb.AgentReport) *session {
	if !c.holdsLease(now) || in.GetTerm() > c.replica.Term() {
		return nil
	}
	incarnation := in.GetWorker().GetLife()
	if old := c.sessions.byIncarnation[incarnation]; old != nil {
		old.outbox.close()
	}
	attachment, since := c.sessions.addAttachment(now, incarnation)
	sess := &session{
		outbox:                 newOutbox(),
		attachment:             attachment,
		worker:                 dispatch.Worker{Since: since},
		unrecordedEnds:         make(map[uint64]recordedRun),
		unrecordedInferredEnds: make(map[submission.RunID]string),
		strays:                 make(map[submission.RunID]bool),
		lateDone:               make(map[submission.RunID]bool),
		awaitedRepeats:         make(map[submission.RunID]bool),
		orderedStops:           make(map[submission.RunID]bool),
		checkpoints:            make(map[submission.RunID]string),
		sentCoefficients:       make(map[interference.Pair]int),
	}
	c.sessions.byIncarnation[incarnation] = sess
	c.log.Emit(event.AgentAttached, event.Fields{"worker": incarnation, "term": c.replica.Term(), "runs": len(in.GetActive())},
		"agent attached")
	c.handleReport(now, sess, in)
	return sess
}

// detach removes a session whose stream has ended. Its runs keep their leases.
func (c *Core) detach(sess *session) {
	if c.sessions.byIncarnation[sess.worker.Incarnation] == sess {
		delete(c.sessions.byIncarnation, sess.worker.Incarnation)
		c.sessions.removeWorker(sess.worker.Incarnation)
		c.log.Emit(event.AgentDetached, event.Fields{"worker": sess.worker.Incarnation}, "agent stream ended")
	}
}

// handleReport handles an agent's report and sends orders.
func (c *Core) handleReport(now time.Time, sess *session, in *pb.AgentReport) {
	if w := in.GetWorker(); w != nil {
		wasSilent := sess.silent
		sess.updateWorker(now, w)
		if sess.silent && !wasSilent && sess.hasLists { // it has answered before
			c.recordOutage(now, sess.worker)
		}
		c.zones.report(w.GetZone())
		c.updateDeparture(sess)
		c.sessions.changed = true
	}
	if c.sessions.byIncarnation[sess.worker.Incarnation] != sess {
		return // replaced by a newer stream
	}
	sess.lastReport, sess.agent = now, reporterOf(sess, in)
	if in.GetGone() {
		sess.lastReport = time.Time{}
		if !sess.silent && !sess.leaving {
			c.recordOutage(now, sess.worker)
		}
	}
	c.proposeReportedEnds(now, sess, in)
	order := c.newOrder(sess)
	c.stopStrayRuns(now, sess, in, order)
	c.endOtherIncarnations(now, sess, in) // after the reported ends, which say more than that a run was lost
	if wall := in.GetWallClock(); wall != 0 {
		c.sessions.wallClocks.Record(now, sess.worker.Incarnation, time.Unix(0, wall))
	}
	c.updateRunStatuses(now, sess, in)
	c.recordTailLatencies(now, sess, in)
	c.answerLists(now, sess, in, order)
	c.updateAvailability(now, sess)
	order.Taken = sess.lastRecordedEnd(c.machine.Submissions())
	order.Settled = sess.popRecordedInferredEnds(c.machine.Submissions())
	order.Presses = c.changedCoefficients(sess)
	sess.outbox.put(order)
}

// answerLists renews the lease, and adds to the order what follows from complete lists. Both wait
// until the log does not say any more that the machine is without a lease: starts that are
// ordered before a lease count as outdated when it arrives.
func (c *Core) answerLists(now time.Time, sess *session, in *pb.AgentReport, order *pb.AgentOrder) {
	if !isLeaseDue(sess.hasLists, in) {
		return
	}
	lists := in
	if sess.deferred.GetComplete() {
		lists = sess.deferred
	}
	if !c.mayGrant(now, machineOf(sess.worker.Incarnation)) {
		sess.deferred = lists
		return
	}
	sess.deferred = nil
	c.renewLease(now, sess, in, order)
	if lists.GetComplete() {
		sess.hasLists = true
		c.sessions.machines[machineOf(sess.worker.Incarnation)].listedBy = sess.agent
		c.sessions.changed = true
		c.reconcile(now, sess, lists, order)
		order.Controllers = c.memberAddresses()
	}
}

// answerDeferredLists answers the reports of machines whose records that they are without a
// lease have been removed.
func (c *Core) answerDeferredLists(now time.Time) {
	for _, sess := range c.sessions.byIncarnation {
		if sess.deferred == nil {
			continue
		}
		order := c.newOrder(sess)
		c.answerLists(now, sess, sess.deferred, order)
		if sess.deferred == nil {
			c.updateAvailability(now, sess)
			sess.outbox.put(order)
		}
	}
}

// updateRunStatuses records an agent's report on active runs.
func (c *Core) updateRunStatuses(now time.Time, sess *session, in *pb.AgentReport) {
	stalled := 0
	m := c.sessions.machines[machineOf(sess.worker.Incarnation)]
	isLatest := m != nil && m.attachments == sess.attachment // a later stream says more
	var unsettled []submission.RunID
	for _, r := range in.GetActive() {
		run := wire.DecodeRun(r.GetRun())
		if r.GetSaved() != "" {
			sess.checkpoints[run] = r.GetSaved()
		}
		isStalled := c.isStalled(run, r)
		if isStalled && !c.sessions.scheduler.IsStalled(run) {
			stalled++
		}
		if on := recordedOn(c.machine.Submissions(), sess.worker.Incarnation, run); on != "" && isLatest && !c.recordReportedRun(now, sess.worker.Incarnation, on, run, r, sess.agent) {
			unsettled = append(unsettled, run)
		}
		if isActive(c.machine.Submissions(), sess.worker.Incarnation, run) {
			c.recordStarted(run)
			c.sessions.scheduler.SetRunStatus(run, dispatch.RunStatus{Share: int(r.GetShare()), Progress: int(r.GetProgress()), Stalled: isStalled})
		}
	}
	c.proposeSettled(now, unsettled, false)
	if stalled > 0 {
		c.sessions.scheduler.RecordStalledRuns(now, sess.worker.Incarnation, stalled)
		c.sessions.changed = true
	}
}

// _fullProgress is the progress of a run that has no more to make, in percent.
const _fullProgress = 100

// isStalled reports whether a run makes no progress although it should. A long-running task
// is at work at full progress and makes no more.
func (c *Core) isStalled(run submission.RunID, r *pb.ListedRun) bool {
	if !r.GetStalled() || r.GetProgress() < _fullProgress {
		return r.GetStalled()
	}
	s, ok := c.machine.Submissions().Submission(run.Task.Submission)
	return !ok || s.Task(run.Task) == nil || !s.Steps[run.Task.Step].LongRunning
}

// recordStarted records that a worker has had a run. It is not in the log: a new leader
// learns it from the agents' complete reports.
func (c *Core) recordStarted(run submission.RunID) {
	id := run.Task.Submission
	if s, ok := c.machine.Submissions().Submission(id); ok && !s.State.Ended() {
		c.sessions.started[id] = true
	}
}

// updateWorker updates the worker from an agent's report.
func (s *session) updateWorker(now time.Time, w *pb.WorkerLife) {
	if w.GetLeaving() && !s.leaving {
		s.earliestDeparture = now.Add(time.Duration(w.GetRemaining()))
	}
	s.leaving, s.silent = w.GetLeaving(), w.GetSilent()
	var warmAt time.Time
	if left := time.Duration(w.GetWarmUpLeft()); left > 0 {
		warmAt = now.Add(left)
	}
	s.worker = dispatch.Worker{
		WarmAt: warmAt,
		WarmUp: time.Duration(w.GetWarmUp()),

		Incarnation:   w.GetLife(),
		Service:       w.GetService(),
		Zone:          w.GetZone(),
		Rack:          w.GetRack(),
		Labels:        w.GetLabels(),
		Capacity:      wire.DecodeResources(w.GetCapacity()),
		Schedulable:   !w.GetLeaving() && !w.GetSilent(),
		Since:         s.worker.Since,
		TailLatencies: s.worker.TailLatencies,
		Loads:         s.worker.Loads,
	}
}

// isLeaseDue reports whether an agent's report lets it have a lease. An agent that has not
// reported its lists may not know of the recorded runs, and could never report their ends. It
// gets a lease only with ends that it has not reported before: they show that its worker lists,
// and that it takes several listings until all ends are recorded.
func isLeaseDue(hasLists bool, in *pb.AgentReport) bool {
	return !in.GetGone() && (hasLists || in.GetComplete() || len(in.GetEnds()) > 0)
}

// renewLease renews the lease of the worker's runs, unless their end is proposed.
func (c *Core) renewLease(now time.Time, sess *session, in *pb.AgentReport, order *pb.AgentOrder) {
	incarnation := sess.worker.Incarnation
	if _, expiring := c.sessions.expiring[incarnation]; expiring || !c.holdsLease(now) {
		return
	}
	c.sessions.silent.recordGrant(now, machineOf(incarnation))
	order.Sent = in.GetSent()
	order.Lease = int64(c.sessions.lease)
	if expiry := now.Add(c.sessions.maxLease()); expiry.After(c.sessions.leaseExpiries[incarnation]) {
		c.sessions.leaseExpiries[incarnation] = expiry
		c.sessions.leaseOrder.touch(incarnation)
	}
}

// newOrder returns an order without content for the session's agent. Each order says whether
// the worker's zone is evacuated.
func (c *Core) newOrder(sess *session) *pb.AgentOrder {
	return &pb.AgentOrder{Term: c.replica.Term(), Attachment: sess.attachment, Evacuated: c.isEvacuated(sess)}
}

// proposeReportedEnds proposes the run ends that an agent reports.
func (c *Core) proposeReportedEnds(now time.Time, sess *session, in *pb.AgentReport) {
	store := c.machine.Submissions()
	var ends []submission.End
	for _, e := range in.GetEnds() {
		run := wire.DecodeRun(e.GetRun())
		if e.GetNumber() <= sess.highestEnd {
			continue
		}
		sess.highestEnd = e.GetNumber()
		delete(sess.strays, run)
		c.sessions.recordStrayEnd(run, sess.worker.Incarnation)
		c.recordStarted(run)
		worker := sess.endedOn(store, sess.worker.Incarnation, run, submission.EndReason(e.GetHow()))
		if worker == "" {
			continue
		}
		sess.unrecordedEnds[e.GetNumber()] = recordedRun{run: run, worker: worker}
		end := submission.End{Run: run, Worker: worker, Reason: submission.EndReason(e.GetHow()), Checkpoint: e.GetSaved()}
		end.LateFor = c.lateFor(now, run, time.Duration(e.GetLateFor()), sess.agent)
		ends = append(ends, end)
	}
	for _, e := range in.GetRefused() {
		end := wire.DecodeRunEnd(e)
		delete(sess.strays, end.Run)
		c.sessions.recordStrayEnd(end.Run, sess.worker.Incarnation)
		c.sessions.recordStrayEnd(end.Run, end.Worker)
		if _, ok := sess.unrecordedInferredEnds[end.Run]; ok {
			continue
		}
		worker := sess.endedOn(store, end.Worker, end.Run, end.Reason)
		sess.unrecordedInferredEnds[end.Run] = worker
		if worker == "" {
			continue
		}
		end.Worker, end.LateFor = worker, c.lateFor(now, end.Run, end.LateFor, sess.agent)
		ends = append(ends, end)
	}
	c.proposeEnds(now, ends)
}

// hasProposedEnds reports whether the end of an active run on the worker incarnation is
// proposed.
func (c *Core) hasProposedEnds(incarnation string) bool {
	u := c.machine.Submissions().Usage(incarnation)
	if u == nil {
		return false
	}
	for run := range u.Runs {
		if c.sessions.endsProposed[run] {
			return true
		}
	}
	return false
}

func isActive(store *submission.Store, incarnation string, run submission.RunID) bool {
	u := store.Usage(incarnation)
	return u != nil && u.Runs[run] != nil
}

func (c *Core) proposeEnds(now time.Time, ends []submission.End) {
	for len(ends) > 0 {
		n := min(len(ends), _maxRunEnds)
		c.acquitTasks(ends[:n])
		counted := c.countGangRunsOnce(ends[:n])
		if c.proposeOwn(now, state.EndRuns{Ends: ends[:n]}) {
			for _, e := range ends[:n] {
				c.sessions.endsProposed[e.Run] = true
			}
		} else {
			for _, run := range counted {
				delete(c.sessions.gangFailures, run)
			}
		}
		ends = ends[n:]
	}
}

// proposeOwn proposes a command of the core and does not wait for the outcome,
// which shows in the state. If the proposal fails, for instance during a
// leadership transfer, proposeOwn ends the agents' streams, so that the agents
// send a complete report again to the controller that leads then, and returns false.
func (c *Core) proposeOwn(now time.Time, cmd state.Command) bool {
	err := c.proposeAll(now, []proposal{{cmd: cmd, reply: make(chan result, 1)}})
	if err == nil {
		return true
	}
	c.log.Emit(event.ProposalLost, event.Fields{"error": err.Error(), "sessions": len(c.sessions.byIncarnation)},
		"proposal failed; closing agent streams so that agents report again")
	c.sessions.startsProposedAt = time.Time{}
	for incarnation, sess := range c.sessions.byIncarnation {
		sess.outbox.close()
		delete(c.sessions.byIncarnation, incarnation)
		c.sessions.removeWorker(incarnation)
	}
	return false
}

// endsOfActiveRuns returns the ends of a worker incarnation's active runs, except those
// for which isExcepted is true.
func (c *Core) endsOfActiveRuns(incarnation string, reason submission.EndReason, isExcepted func(submission.RunID) bool) []submission.End {
	u := c.machine.Submissions().Usage(incarnation)
	if u == nil {
		return nil
	}
	sess := c.sessions.byIncarnation[incarnation]
	var out []submission.End
	for run := range u.Runs {
		if isExcepted(run) {
			continue
		}
		e := submission.End{Run: run, Worker: incarnation, Reason: reason}
		if sess != nil {
			e.Checkpoint = sess.checkpoints[run]
		}
		out = append(out, e)
	}
	return out
}
