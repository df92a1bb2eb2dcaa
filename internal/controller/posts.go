package controller

import (
	"strings"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// Bounds of the leader's hold on the workers' runs.
const (
	_grantMargin  = 200 * time.Millisecond // between a lease's end and the end of trust in it
	_grantDrift   = 20                     // a lease is trusted to end only after another 1/20 of it
	_lapseEvery   = 50 * time.Millisecond  // between two looks for leases that ran out
	_recentReport = time.Second            // agents report more often; one that is silent for longer gets no tasks
	_stopsEvery   = 100 * time.Millisecond // between two looks for runs to stop
	_mostWaits    = 5                      // steps that wait on which a line is written each time
	_waitWorthy   = 3 * time.Second        // of waiting until a line is written
	_summaryEvery = time.Second            // between two lines on the pool's state
	_mostRunEnds  = 500                    // ends in one command
	_proposedMost = 3 * time.Second        // until a proposal whose fate is unknown is made anew
)

// outbox holds the orders for one agent.
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
	o.wake()
}

func (o *outbox) wake() {
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// close ends the outbox after the orders that it holds.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.wake()
}

func (o *outbox) takeAll() (orders []*pb.AgentOrder, closed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	orders, o.orders = o.orders, nil
	return orders, o.closed
}

// post is one life of a worker as its agent tells of it.
type post struct {
	worker  dispatch.Worker
	leaving bool
	stays   time.Time // until when a worker that leaves stays at least
	listed  bool      // the agent has told which runs there are
	heard   time.Time // receipt of the latest report
	out     *outbox
	ends    map[uint64]submission.RunID // listed, not recorded yet
	highest uint64                      // number of the latest listed end
	refused map[submission.RunID]bool   // refused starts, not recorded yet
	stops   map[submission.RunID]bool   // stop orders that were sent
	saved   map[submission.RunID]string // latest checkpoints that were listed
}

// posts is the leader's own state of the workers, which a new leader builds
// anew from what the agents report.
type posts struct {
	lease     time.Duration
	leadSince time.Time
	byLife    map[string]*post
	granted   map[string]time.Time // when the latest lease of a life is over for certain
	lapsing   map[string]time.Time // lives whose runs are proposed as lapsed, since when
	starting  time.Time            // when the StartRuns under way was proposed; zero if none is
	changed   bool                 // something has changed since the last dispatch
	wakeAt    time.Time            // when a dispatch is due without a change
	health    dispatch.Health
	stopper   dispatch.Stopper
	known     dispatch.Interference
	approvals dispatch.Approvals
	facts     map[submission.RunID]dispatch.Fact
	lastStops time.Time
	begun     map[submission.RunID]time.Time // when this leader ordered the starts of active runs
	lastLook  time.Time
	summed    time.Time // when the pool's state was logged last
}

// reset forgets everything and ends the agents' streams.
func (p *posts) reset(now time.Time) {
	for _, q := range p.byLife {
		q.out.close()
	}
	p.leadSince = now
	p.byLife = make(map[string]*post)
	p.granted = make(map[string]time.Time)
	p.lapsing = make(map[string]time.Time)
	p.starting = time.Time{}
	p.health, p.stopper = dispatch.Health{}, dispatch.Stopper{}
	p.facts = make(map[submission.RunID]dispatch.Fact)
	p.begun = make(map[submission.RunID]time.Time)
	p.changed = true
}

// leaseOver returns when no lease of the life's runs can last any more. A
// leader that is new counts from when it began to lead.
func (p *posts) leaseOver(life string) time.Time {
	if t, ok := p.granted[life]; ok {
		return t
	}
	return p.leadSince.Add(p.trust())
}

func (p *posts) trust() time.Duration { return p.lease + p.lease/_grantDrift + _grantMargin }

// attach takes in an agent's first report and returns the post with its first
// orders, or nil if this controller cannot be sure that it leads.
func (c *Core) attach(now time.Time, in *pb.AgentReport) *post {
	if c.failed != nil || !c.replica.HoldsLease(now) || in.GetTerm() > c.replica.Term() {
		return nil
	}
	life := in.GetWorker().GetLife()
	if old := c.posts.byLife[life]; old != nil {
		old.out.close()
	}
	p := &post{
		out:     newOutbox(),
		ends:    make(map[uint64]submission.RunID),
		refused: make(map[submission.RunID]bool),
		stops:   make(map[submission.RunID]bool),
		saved:   make(map[submission.RunID]string),
	}
	c.posts.byLife[life] = p
	c.log.Emit(event.AgentAttached, event.Fields{"worker": life, "term": c.replica.Term(), "runs": len(in.GetActive())},
		"an agent reports to this leader")
	c.endEarlierLives(now, life)
	c.report(now, p, in)
	return p
}

// endEarlierLives gives up the runs of earlier lives on the machine of a life
// that has begun: a worker is the only one on its machine.
func (c *Core) endEarlierLives(now time.Time, life string) {
	machine, _, _ := strings.Cut(life, "/")
	for _, other := range c.machine.Submissions().Lives() {
		if m, _, _ := strings.Cut(other, "/"); m == machine && other != life {
			c.proposeEnds(now, c.lostRuns(other, submission.Lost))
		}
	}
}

// detach forgets a post whose stream has ended. Its runs keep their leases.
func (c *Core) detach(p *post) {
	if c.posts.byLife[p.worker.Life] == p {
		delete(c.posts.byLife, p.worker.Life)
		c.log.Emit(event.AgentDetached, event.Fields{"worker": p.worker.Life}, "an agent's stream ended")
	}
}

// report takes in what an agent tells of its worker and answers with orders.
func (c *Core) report(now time.Time, p *post, in *pb.AgentReport) {
	if w := in.GetWorker(); w != nil {
		p.describe(now, w)
		c.posts.changed = true
	}
	if c.posts.byLife[p.worker.Life] != p {
		return // replaced by a newer stream
	}
	p.heard = now
	order := &pb.AgentOrder{Term: c.replica.Term()}
	c.grant(now, p, in, order)
	c.takeFacts(now, p, in)
	c.takeStrain(now, p, int(in.GetStrain()))
	c.takeEnds(now, p, in)
	if in.GetComplete() {
		p.listed = true
		c.posts.changed = true
		c.reconcile(now, p, in, order)
		order.Controllers = c.controllers()
	}
	order.Taken = p.taken()
	order.Settled = p.takeSettled(c.machine.Submissions())
	p.out.put(order)
}

// takeFacts takes in what an agent tells of active runs.
func (c *Core) takeFacts(now time.Time, p *post, in *pb.AgentReport) {
	stalled := 0
	for _, r := range in.GetActive() {
		run := wire.DecodeRun(r.GetRun())
		if r.GetSaved() != "" {
			p.saved[run] = r.GetSaved()
		}
		if r.GetStalled() && !c.posts.facts[run].Stalled {
			stalled++
		}
		c.posts.facts[run] = dispatch.Fact{Share: int(r.GetShare()), Progress: int(r.GetProgress()), Stalled: r.GetStalled()}
	}
	if stalled > 0 {
		c.posts.health.Stalled(now, p.worker.Life, stalled)
		c.posts.changed = true
	}
}

// takeStrain takes in how the worker's serving tasks fare beside what fills.
func (c *Core) takeStrain(now time.Time, p *post, strain int) {
	if !p.listed {
		return
	}
	p.worker.Strain = strain
	u := c.machine.Submissions().Usage(p.worker.Life)
	c.posts.known.Seen(now, dispatch.Beside(now, u, c.posts.facts, c.posts.begun), strain)
}

func (p *post) describe(now time.Time, w *pb.WorkerLife) {
	if w.GetLeaving() && !p.leaving {
		p.stays = now.Add(time.Duration(w.GetRemaining()))
	}
	p.leaving = w.GetLeaving()
	p.worker = dispatch.Worker{
		Life:     w.GetLife(),
		Service:  w.GetService(),
		Zone:     w.GetZone(),
		Rack:     w.GetRack(),
		Labels:   w.GetLabels(),
		Capacity: wire.DecodeResources(w.GetCapacity()),
		Open:     !w.GetLeaving() && !w.GetSilent(),
		Strain:   dispatch.NoStrain,
	}
}

// grant renews the lease of the worker's runs, unless they are given up.
func (c *Core) grant(now time.Time, p *post, in *pb.AgentReport, order *pb.AgentOrder) {
	life := p.worker.Life
	if _, lapsing := c.posts.lapsing[life]; lapsing || in.GetGone() || !c.replica.HoldsLease(now) {
		return
	}
	order.Sent = in.GetSent()
	order.Lease = int64(c.posts.lease)
	if over := now.Add(c.posts.trust()); over.After(c.posts.granted[life]) {
		c.posts.granted[life] = over
	}
}

// takeEnds proposes the ends that an agent lists.
func (c *Core) takeEnds(now time.Time, p *post, in *pb.AgentReport) {
	book := c.machine.Submissions()
	var ends []submission.End
	for _, e := range in.GetEnds() {
		run := wire.DecodeRun(e.GetRun())
		if e.GetNumber() <= p.highest {
			continue
		}
		p.highest = e.GetNumber()
		if !isActive(book, p.worker.Life, run) {
			continue
		}
		p.ends[e.GetNumber()] = run
		ends = append(ends, submission.End{Run: run, Worker: p.worker.Life, How: submission.How(e.GetHow()), Saved: e.GetSaved()})
	}
	for _, e := range in.GetRefused() {
		end := wire.DecodeRunEnd(e)
		if p.refused[end.Run] {
			continue
		}
		p.refused[end.Run] = true
		if isActive(book, p.worker.Life, end.Run) {
			ends = append(ends, end)
		}
	}
	if in.GetGone() {
		ends = append(ends, c.lostRuns(p.worker.Life, submission.Lost)...)
	}
	c.proposeEnds(now, ends)
}

func isActive(book *submission.Book, life string, run submission.RunID) bool {
	u := book.Usage(life)
	return u != nil && u.Runs[run] != nil
}

func (c *Core) proposeEnds(now time.Time, ends []submission.End) {
	for len(ends) > 0 {
		n := min(len(ends), _mostRunEnds)
		c.proposeOwn(now, state.EndRuns{Ends: ends[:n]})
		ends = ends[n:]
	}
}

// proposeOwn proposes a command whose outcome shows in the state.
func (c *Core) proposeOwn(now time.Time, cmd state.Command) {
	c.proposeAll(now, []proposal{{cmd: cmd, reply: make(chan result, 1)}})
}

// lostRuns returns the ends of all active runs of a life, in a fixed order.
func (c *Core) lostRuns(life string, how submission.How) []submission.End {
	u := c.machine.Submissions().Usage(life)
	if u == nil {
		return nil
	}
	p := c.posts.byLife[life]
	var out []submission.End
	for run := range u.Runs {
		e := submission.End{Run: run, Worker: life, How: how}
		if p != nil {
			e.Saved = p.saved[run]
		}
		out = append(out, e)
	}
	return out
}

// reconcile compares an agent's whole lists with the record. Runs that the
// agent does not know are ordered again; runs that are not recorded are
// stopped.
func (c *Core) reconcile(now time.Time, p *post, in *pb.AgentReport, order *pb.AgentOrder) {
	book := c.machine.Submissions()
	known := make(map[submission.RunID]bool)
	for _, e := range in.GetEnds() {
		known[wire.DecodeRun(e.GetRun())] = true
	}
	for _, e := range in.GetRefused() {
		known[wire.DecodeRun(e.GetRun())] = true
	}
	var held []submission.RunID
	for _, r := range in.GetActive() {
		held = append(held, wire.DecodeRun(r.GetRun()))
	}
	for _, r := range in.GetOrdered() {
		held = append(held, wire.DecodeRun(r))
	}
	for _, run := range held {
		known[run] = true
		if !isActive(book, p.worker.Life, run) {
			p.stops[run] = true
			order.Stops = append(order.Stops, wire.EncodeRun(run))
		}
	}
	u := book.Usage(p.worker.Life)
	if u == nil {
		return
	}
	for run, s := range u.Runs {
		switch {
		case s.Surplus(run):
			p.stops[run] = true
			order.Stops = append(order.Stops, wire.EncodeRun(run))
		case !known[run]:
			order.Starts = append(order.Starts, c.startOrder(now, s, run, p.worker.Life))
		default:
			// A restarted agent has to be told what it has adopted.
			described := c.startOrder(now, s, run, p.worker.Life)
			described.Text, described.Saved = "", ""
			order.Starts = append(order.Starts, described)
		}
	}
}

func (c *Core) startOrder(now time.Time, s *submission.Submission, run submission.RunID, life string) *pb.StartOrder {
	step := &s.Steps[run.Task.Step]
	id := dispatch.StepID{Submission: s.ID, Occurrence: run.Task.Occurrence, Step: run.Task.Step}
	ticket, _ := c.posts.approvals.Ticket(now, id, life)
	return &pb.StartOrder{
		Run:        wire.EncodeRun(run),
		Text:       s.Text,
		Saved:      s.Task(run.Task).Saved,
		Serves:     step.Serves(),
		Fills:      step.Fills(),
		TailTarget: int64(step.TailTarget),
		Gang:       step.Gang,
		Ticket:     ticket,
	}
}

// taken returns the number up to which all listed ends are recorded.
func (p *post) taken() uint64 {
	taken := p.highest
	for n := range p.ends {
		taken = min(taken, n-1)
	}
	return taken
}

// takeSettled returns the refused starts that are recorded.
func (p *post) takeSettled(book *submission.Book) []*pb.Run {
	var out []*pb.Run
	for run := range p.refused {
		if !isActive(book, p.worker.Life, run) {
			delete(p.refused, run)
			out = append(out, wire.EncodeRun(run))
		}
	}
	return out
}

// applied tells the agents what a command has changed for them. What an earlier
// leader proposed they learn when they attach.
func (c *Core) applied(term uint64, cmd state.Command, r state.Result) {
	c.posts.changed = true
	if q, ok := cmd.(state.ReplaceQueues); ok && r.Outcome.Err == nil && !r.Outcome.Repeated {
		c.log.Emit(event.QueuesInForce, event.Fields{
			"version": q.Table.Version, "queues": len(q.Table.Queues), "services": len(q.Table.Services),
		}, "a table of queues came in force")
	}
	if c.replica.Role() != replica.Leader || term != c.replica.Term() {
		return
	}
	switch cmd := cmd.(type) {
	case state.StartRuns:
		c.posts.starting = time.Time{}
		c.orderStarts(r.Outcome.Starts)
	case state.Submit:
		c.noteAccepted(cmd.Submission.ID, r)
	case state.EndRuns:
		c.noteEnds(cmd.Ends)
	case state.CancelSubmission:
		if s, ok := c.machine.Submissions().Submission(cmd.ID); ok {
			c.noteEnded(s)
			c.stopSurplus(s)
		}
	}
}

func (c *Core) noteAccepted(id string, r state.Result) {
	s, ok := c.machine.Submissions().Submission(id)
	if !ok || r.Outcome.Repeated || r.Outcome.Err != nil {
		return
	}
	tasks := 0
	for i := range s.Steps {
		tasks += s.Steps[i].Count * s.Occurrences()
	}
	c.log.Emit(event.Accepted, event.Fields{
		"submission": s.ID, "queue": s.Queue, "tasks": tasks, "chain_ms": s.Chain(-1).Milliseconds(),
	}, "a submission was recorded")
}

// noteEnded logs a submission's end.
func (c *Core) noteEnded(s *submission.Submission) {
	c.log.Emit(event.Ended, event.Fields{
		"submission": s.ID, "state": s.State.String(), "age_ms": s.EndedAt.Sub(s.Accepted).Milliseconds(),
		"objective_ms": dispatch.Objective(s).Milliseconds(),
	}, "a submission has ended")
}

func (c *Core) orderStarts(starts []submission.Start) {
	orders := make(map[*post]*pb.AgentOrder)
	now := clock.Now()
	for _, st := range starts {
		c.posts.begun[st.Run] = now
		c.noteFirst(now, st)
		p := c.posts.byLife[st.Worker]
		s, ok := c.machine.Submissions().Submission(st.Run.Task.Submission)
		if p == nil || !ok {
			continue // the agent is told when it attaches
		}
		if orders[p] == nil {
			orders[p] = &pb.AgentOrder{Term: c.replica.Term()}
		}
		orders[p].Starts = append(orders[p].Starts, c.startOrder(now, s, st.Run, st.Worker))
		c.log.Emit(event.RunPlaced, event.Fields{
			"submission": st.Run.Task.Submission, "task": st.Run.Task.String(), "run": st.Run.Number, "worker": st.Worker,
		}, "a task was given to a worker")
	}
	for p, o := range orders {
		p.out.put(o)
	}
}

// noteFirst measures how long a submission waited for its first start.
func (c *Core) noteFirst(now time.Time, st submission.Start) {
	s, ok := c.machine.Submissions().Submission(st.Run.Task.Submission)
	if ok && st.Run.Number == 1 && st.Run.Task.Index == 0 && st.Run.Task.Step == 0 && st.Run.Task.Occurrence == 0 {
		c.firstStarts.Update(now.Sub(s.Accepted))
	}
}

// noteEnds has the agents forget recorded ends and stops what is not wanted
// any more.
func (c *Core) noteEnds(ends []submission.End) {
	book := c.machine.Submissions()
	now := clock.Now()
	ended := make(map[string]bool)
	for _, e := range ends {
		delete(c.posts.lapsing, e.Worker)
		s, ok := book.Submission(e.Run.Task.Submission)
		if begun, known := c.posts.begun[e.Run]; ok && known {
			c.posts.health.Ended(now, e.Worker, &s.Steps[e.Run.Task.Step], e.How, now.Sub(begun))
		}
		delete(c.posts.begun, e.Run)
		delete(c.posts.facts, e.Run)
		if ok && (s.State.Ended() || e.How == submission.Done) {
			c.stopSurplus(s)
		}
		if ok && s.State.Ended() && s.EndedAt.Equal(c.machine.Now()) && !ended[s.ID] {
			ended[s.ID] = true
			c.noteEnded(s)
		}
		c.log.Emit(event.RunEnded, event.Fields{
			"submission": e.Run.Task.Submission, "task": e.Run.Task.String(), "run": e.Run.Number, "worker": e.Worker, "how": e.How.String(),
		}, "a run ended")
		p := c.posts.byLife[e.Worker]
		if p == nil {
			continue
		}
		delete(p.stops, e.Run)
		delete(p.saved, e.Run)
	}
	for _, p := range c.posts.byLife {
		settled := false
		for n, run := range p.ends {
			if !isActive(book, p.worker.Life, run) {
				delete(p.ends, n)
				settled = true
			}
		}
		if settled || len(p.refused) > 0 {
			p.out.put(&pb.AgentOrder{Term: c.replica.Term(), Taken: p.taken(), Settled: p.takeSettled(book)})
		}
	}
}

// stopSurplus orders the stop of a submission's runs that are not wanted.
func (c *Core) stopSurplus(s *submission.Submission) {
	if c.replica.Role() != replica.Leader || s.ActiveRuns() == 0 {
		return
	}
	for _, r := range s.Runs() {
		if s.Surplus(r.Run) {
			c.orderStop(r.Worker, r.Run)
		}
	}
}

func (c *Core) orderStop(life string, run submission.RunID) {
	p := c.posts.byLife[life]
	if p == nil || p.stops[run] {
		return
	}
	p.stops[run] = true
	p.out.put(&pb.AgentOrder{Term: c.replica.Term(), Stops: []*pb.Run{wire.EncodeRun(run)}})
}

// dispatch gives up the runs whose leases are over and starts waiting tasks.
func (c *Core) dispatch(now time.Time) {
	if now.Sub(c.posts.lastLook) >= _lapseEvery {
		c.posts.lastLook = now
		c.giveUpLapsed(now)
	}
	if !c.posts.starting.IsZero() && now.Sub(c.posts.starting) < _proposedMost || !c.replica.HoldsLease(now) {
		return
	}
	if !c.posts.changed && now.Before(c.posts.wakeAt) {
		return
	}
	c.posts.changed = false
	c.posts.wakeAt = now.Add(_retryEvery)
	workers := c.openWorkers(now)
	c.summarize(now, workers)
	c.stopRuns(now, workers)
	c.seekAdvice(now, workers)
	starts := dispatch.Starts(now, time.Now(), c.machine.Submissions(), workers, &c.posts.known, &c.posts.approvals)
	if len(starts) == 0 {
		return
	}
	c.posts.starting = now
	c.proposeOwn(now, state.StartRuns{Starts: starts})
}

// stopRuns stops runs that had better go on elsewhere.
func (c *Core) stopRuns(now time.Time, workers []dispatch.Worker) {
	if now.Sub(c.posts.lastStops) < _stopsEvery {
		return
	}
	c.posts.lastStops = now
	leaves := make(map[string]dispatch.Leave)
	for life, p := range c.posts.byLife {
		if p.leaving {
			leaves[life] = dispatch.Leave{Until: p.stays}
		}
	}
	for _, s := range c.posts.stopper.Stops(now, c.machine.Submissions(), workers, c.posts.facts, leaves) {
		p := c.posts.byLife[s.Worker]
		if p == nil || p.stops[s.Run] {
			continue
		}
		c.posts.stopper.Moved(now, s.Run)
		c.log.Emit(event.RunStopped, event.Fields{
			"submission": s.Run.Task.Submission, "task": s.Run.Task.String(), "run": s.Run.Number, "worker": s.Worker, "reason": s.Reason.String(),
		}, "a run is stopped to go on elsewhere")
		c.orderStop(s.Worker, s.Run)
	}
}

// summarize logs how full the pool is, now and then.
func (c *Core) summarize(now time.Time, workers []dispatch.Worker) {
	if now.Sub(c.posts.summed) < _summaryEvery {
		return
	}
	c.posts.summed = now
	s := dispatch.Summarize(now, time.Now(), c.machine.Submissions(), workers)
	strains := make([]int, 0, len(workers))
	for _, w := range workers {
		strains = append(strains, w.Strain)
	}
	c.log.Emit(event.PoolState, event.Fields{
		"strains": strains,
		"workers": s.Workers, "shared": s.Shared, "cpu": s.Capacity, "cpu_free": s.Free, "cpu_idle": s.Idle, "serving": s.Serving, "filling": s.Filling,
		"waiting_in_time": s.Waiting[0], "waiting_late": s.Waiting[1], "waiting_too_late": s.Waiting[2],
		"submissions": len(c.machine.Submissions().Unended()),
	}, "the pool's state")
	for _, w := range dispatch.Waits(now, time.Now(), c.machine.Submissions(), workers, &c.posts.known, _mostWaits) {
		if now.Sub(w.Since) < _waitWorthy {
			continue
		}
		c.log.Emit(event.StepWaits, event.Fields{
			"submission": w.Submission, "occurrence": w.Occurrence, "step": w.Step, "class": w.Class,
			"age_ms": now.Sub(w.Since).Milliseconds(), "obstacles": obstacles(w),
		}, "a step waits; the figures are workers by obstacle")
	}
}

func obstacles(w dispatch.Wait) map[string]int {
	out := make(map[string]int, len(w.Obstacles))
	for o, n := range w.Obstacles {
		out[o.String()] = n
	}
	return out
}

// openWorkers returns the workers that can be given tasks now.
func (c *Core) openWorkers(now time.Time) []dispatch.Worker {
	workers := make([]dispatch.Worker, 0, len(c.posts.byLife))
	for life, p := range c.posts.byLife {
		_, lapsing := c.posts.lapsing[life]
		if !lapsing && p.listed && now.Sub(p.heard) < _recentReport {
			w := p.worker
			w.Suspect = c.posts.health.Suspect(now, life)
			workers = append(workers, w)
		}
	}
	return workers
}

func (c *Core) giveUpLapsed(now time.Time) {
	for _, life := range c.machine.Submissions().Lives() {
		if now.Before(c.posts.leaseOver(life)) {
			continue
		}
		if since, ok := c.posts.lapsing[life]; ok && now.Sub(since) < _proposedMost {
			continue
		}
		c.posts.lapsing[life] = now
		c.log.Emit(event.WorkerLost, event.Fields{"worker": life}, "the leases of the worker's runs are over; its tasks are placed anew")
		c.proposeEnds(now, c.lostRuns(life, submission.Lapsed))
	}
}
