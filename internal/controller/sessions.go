package controller

import (
	"strings"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
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

// session is one life of a worker as its agent tells of it.
type session struct {
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
	presses map[interference.Pair]int   // as told to the agent, in percent
}

// sessions is the leader's own state of the workers, which a new leader builds
// anew from what the agents report.
type sessions struct {
	lease     time.Duration
	leadSince time.Time
	byLife    map[string]*session
	granted   map[string]time.Time // when the latest lease of a life is over for certain
	lapsing   map[string]time.Time // lives whose runs are proposed as lapsed, since when
	starting  time.Time            // when the StartRuns under way was proposed; zero if none is
	changed   bool                 // something has changed since the last dispatch
	wakeAt    time.Time            // when a dispatch is due without a change
	health    dispatch.Health
	stopper   dispatch.Stopper
	known     interference.Table
	approvals dispatch.Approvals
	facts     map[submission.RunID]dispatch.Fact
	lastStops time.Time
	begun     map[submission.RunID]time.Time // when this leader ordered the starts of active runs
	lastLook  time.Time
	forgot    time.Time // when known was cleared of what is no longer seen
	summed    time.Time // when the pool's state was logged last
}

// reset forgets everything and ends the agents' streams.
func (p *sessions) reset(now time.Time) {
	for _, q := range p.byLife {
		q.out.close()
	}
	p.leadSince = now
	p.byLife = make(map[string]*session)
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
func (p *sessions) leaseOver(life string) time.Time {
	if t, ok := p.granted[life]; ok {
		return t
	}
	return p.leadSince.Add(p.trust())
}

func (p *sessions) trust() time.Duration { return p.lease + p.lease/_grantDrift + _grantMargin }

// attach takes in an agent's first report and returns the session with its first
// orders, or nil if this controller cannot be sure that it leads.
func (c *Core) attach(now time.Time, in *pb.AgentReport) *session {
	if c.failed != nil || !c.replica.HoldsLease(now) || in.GetTerm() > c.replica.Term() {
		return nil
	}
	life := in.GetWorker().GetLife()
	if old := c.sessions.byLife[life]; old != nil {
		old.out.close()
	}
	p := &session{
		out:     newOutbox(),
		ends:    make(map[uint64]submission.RunID),
		refused: make(map[submission.RunID]bool),
		stops:   make(map[submission.RunID]bool),
		saved:   make(map[submission.RunID]string),
		presses: make(map[interference.Pair]int),
	}
	c.sessions.byLife[life] = p
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

// detach forgets a session whose stream has ended. Its runs keep their leases.
func (c *Core) detach(p *session) {
	if c.sessions.byLife[p.worker.Life] == p {
		delete(c.sessions.byLife, p.worker.Life)
		c.log.Emit(event.AgentDetached, event.Fields{"worker": p.worker.Life}, "an agent's stream ended")
	}
}

// report takes in what an agent tells of its worker and answers with orders.
func (c *Core) report(now time.Time, p *session, in *pb.AgentReport) {
	if w := in.GetWorker(); w != nil {
		p.describe(now, w)
		c.sessions.changed = true
	}
	if c.sessions.byLife[p.worker.Life] != p {
		return // replaced by a newer stream
	}
	p.heard = now
	order := &pb.AgentOrder{Term: c.replica.Term()}
	c.grant(now, p, in, order)
	c.takeFacts(now, p, in)
	c.takeFigures(now, p, in)
	c.takeEnds(now, p, in)
	if in.GetComplete() {
		p.listed = true
		c.sessions.changed = true
		c.reconcile(now, p, in, order)
		order.Controllers = c.controllers()
	}
	order.Taken = p.taken()
	order.Settled = p.takeSettled(c.machine.Submissions())
	order.Presses = c.newPresses(p)
	p.out.put(order)
}

// takeFacts takes in what an agent tells of active runs.
func (c *Core) takeFacts(now time.Time, p *session, in *pb.AgentReport) {
	stalled := 0
	for _, r := range in.GetActive() {
		run := wire.DecodeRun(r.GetRun())
		if r.GetSaved() != "" {
			p.saved[run] = r.GetSaved()
		}
		if r.GetStalled() && !c.sessions.facts[run].Stalled {
			stalled++
		}
		c.sessions.facts[run] = dispatch.Fact{Share: int(r.GetShare()), Progress: int(r.GetProgress()), Stalled: r.GetStalled()}
	}
	if stalled > 0 {
		c.sessions.health.Stalled(now, p.worker.Life, stalled)
		c.sessions.changed = true
	}
}

func (p *session) describe(now time.Time, w *pb.WorkerLife) {
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
		Strains:  p.worker.Strains,
		Loads:    p.worker.Loads,
	}
}

// grant renews the lease of the worker's runs, unless they are given up.
func (c *Core) grant(now time.Time, p *session, in *pb.AgentReport, order *pb.AgentOrder) {
	life := p.worker.Life
	if _, lapsing := c.sessions.lapsing[life]; lapsing || in.GetGone() || !c.replica.HoldsLease(now) {
		return
	}
	order.Sent = in.GetSent()
	order.Lease = int64(c.sessions.lease)
	if over := now.Add(c.sessions.trust()); over.After(c.sessions.granted[life]) {
		c.sessions.granted[life] = over
	}
}

// takeEnds proposes the ends that an agent lists.
func (c *Core) takeEnds(now time.Time, p *session, in *pb.AgentReport) {
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

// proposeOwn proposes a command whose outcome shows in the state. A leader that
// cannot, as while it hands its leadership over, ends the agents' streams: they
// tell everything again, to whoever leads then.
func (c *Core) proposeOwn(now time.Time, cmd state.Command) {
	err := c.proposeAll(now, []proposal{{cmd: cmd, reply: make(chan result, 1)}})
	if err == nil {
		return
	}
	c.log.Emit(event.ProposalLost, event.Fields{"error": err.Error(), "sessions": len(c.sessions.byLife)},
		"a change could not be proposed; the agents have to report anew")
	c.sessions.starting = time.Time{}
	for life, p := range c.sessions.byLife {
		p.out.close()
		delete(c.sessions.byLife, life)
	}
}

// lostRuns returns the ends of all active runs of a life, in a fixed order.
func (c *Core) lostRuns(life string, how submission.How) []submission.End {
	u := c.machine.Submissions().Usage(life)
	if u == nil {
		return nil
	}
	p := c.sessions.byLife[life]
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
