// Package controller is the role that holds the shared state: the replicated
// log, the state machine above it, and the leases of running tasks.
//
// One task, the core, owns the replica, the disk and the state machine. All
// others talk to it by messages on unbuffered channels; each round of the
// core takes in all messages that wait, so that they share one disk sync.
package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
)

// Intervals and bounds of the core.
const (
	_tick          = 10 * time.Millisecond // between looks at timers
	_mostRound     = 512                   // messages taken in before the disk is synced
	_keepEntries   = 2000                  // log entries kept behind a snapshot for followers
	_proposalLimit = 3 * time.Second       // until a proposal's fate is called unknown
)

// result is the fate of a proposal.
type result struct {
	outcome state.Outcome
	err     error // NoLeader: not applied; MaybeApplied: unknown
}

type proposal struct {
	cmd   state.Command
	reply chan result // size one
}

type pending struct {
	term  uint64
	since time.Time
	reply chan result // nil for the core's own proposals
}

// query runs a function inside the core.
type query struct {
	run  func(*Core, time.Time)
	done chan struct{}
}

// Core is the task that owns a controller's state.
type Core struct {
	log      event.Log
	replica  *replica.Replica
	store    *disk.Store // owned by the writer while the core runs
	writer   *writer
	writes   chan writeDone // size one
	writing  bool           // a write is under way
	latest   replica.Snapshot
	machine  *state.Machine
	feed     *feed
	send     func([]replica.Message)
	messages chan replica.Message
	propose  chan proposal
	queries  chan query
	stopped  chan struct{}

	snapshotEntries int
	waiting         map[uint64]pending // by log index
	hardState       replica.HardState
	lastApplied     replica.Entry
	snapshotIndex   uint64
	members         []replica.Member // as of the last entry that was applied
	group           group
	role            replica.Role
	sched           scheduler
	sessions        sessions
	commits         metrics.Timer // from a proposal to its application
	firstStarts     metrics.Timer // from a hand-in to the first start
	advice          advice
	holders         map[string]Holder
	failed          error         // disk failure; the core refuses everything after it
	failing         chan struct{} // closed with the failure
}

// Holder is what a holder of the view reported.
type Holder struct {
	Name     string
	Role     string
	Revision uint64
	Seen     time.Time
}

// CoreConfig is what a Core is made from.
type CoreConfig struct {
	Replica         replica.Config
	Files           disk.Files
	Log             event.Log
	Send            func([]replica.Message)
	SnapshotEntries int
	Lease           time.Duration
	RunLease        time.Duration           // of the runs on a worker
	Metrics         metrics.Registry        // nil for none
	Adviser         Adviser                 // approves workers for the steps of some queues; nil if there is none
	Replicas        int                     // voters that the group should have; 0 for a fixed group
	Keep            func([]replica.Member)  // called when the members change
	Address         func(replica.ID) string // where a replica is; "" if unknown
}

// NewCore reads the disk back and returns a core that is not running yet.
func NewCore(cfg CoreConfig, now time.Time) (*Core, error) {
	store, restored, cut, err := disk.Open(cfg.Files)
	if err != nil {
		return nil, err
	}
	if cut > 0 {
		cfg.Log.Emit(event.LogEndCut, event.Fields{"bytes": cut}, "cut a torn record off the end of the log")
	}
	c := &Core{
		log:             cfg.Log,
		store:           store,
		writer:          newWriter(store),
		writes:          make(chan writeDone, 1),
		latest:          restored.Snapshot,
		send:            cfg.Send,
		messages:        make(chan replica.Message),
		propose:         make(chan proposal),
		queries:         make(chan query),
		stopped:         make(chan struct{}),
		failing:         make(chan struct{}),
		snapshotEntries: cfg.SnapshotEntries,
		waiting:         make(map[uint64]pending),
		hardState:       restored.State,
		holders:         make(map[string]Holder),
		role:            replica.Follower,
	}
	if err := c.loadSnapshot(restored.Snapshot); err != nil {
		return nil, err
	}
	c.sched.lease = cfg.Lease
	c.sessions.lease = cfg.RunLease
	registry := cfg.Metrics
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	c.commits = metrics.NewRegisteredTimer("controller.commits", registry)
	c.firstStarts = metrics.NewRegisteredTimer("controller.first_starts", registry)
	c.advice = advice{adviser: cfg.Adviser, answers: make(chan adviceAnswer, 1)}
	c.group = group{replicas: cfg.Replicas, keep: cfg.Keep, address: cfg.Address}
	c.replica = replica.New(cfg.Replica, restored, func() replica.Snapshot { return c.latest }, now)
	c.feed = newFeed(c.machine.Revision())
	return c, nil
}

func (c *Core) loadSnapshot(s replica.Snapshot) error {
	c.machine = &state.Machine{}
	c.snapshotIndex = s.Index
	c.members = s.Members
	if s.Index == 0 {
		return nil
	}
	contents, err := wire.UnmarshalState(s.Data)
	if err != nil {
		return err
	}
	c.machine = state.Restore(contents)
	c.lastApplied = replica.Entry{Index: s.Index, Term: s.Term}
	return nil
}

// Run carries the core until the context ends.
func (c *Core) Run(ctx context.Context) {
	defer close(c.stopped)
	writerCtx, stopWriter := context.WithCancel(context.Background())
	var writer sync.WaitGroup
	writer.Go(func() { c.writer.run(writerCtx) })
	tick := time.NewTicker(_tick)
	defer tick.Stop()
	for {
		if !c.takeRound(ctx, tick.C) {
			break
		}
		c.carryOut()
		c.schedule(clock.Now())
		c.carryOut()
	}
	if c.writing {
		<-c.writes
	}
	stopWriter()
	writer.Wait()
	c.advice.calls.Wait()
	c.stop()
}

// takeRound waits for a message and takes in all others that wait.
func (c *Core) takeRound(ctx context.Context, tick <-chan time.Time) bool {
	var proposals []proposal
	select {
	case <-ctx.Done():
		return false
	case m := <-c.messages:
		c.replica.Step(clock.Now(), m)
	case p := <-c.propose:
		proposals = append(proposals, p)
	case q := <-c.queries:
		c.answer(q)
	case w := <-c.writes:
		c.written(w)
	case a := <-c.advice.answers:
		c.advised(clock.Now(), a)
	case <-tick:
		c.tick(clock.Now())
	}
	for n := 0; n < _mostRound; n++ {
		select {
		case m := <-c.messages:
			c.replica.Step(clock.Now(), m)
			continue
		case p := <-c.propose:
			proposals = append(proposals, p)
			continue
		case q := <-c.queries:
			c.answer(q)
			continue
		default:
		}
		break
	}
	_ = c.proposeAll(clock.Now(), proposals) // the proposers are told
	return true
}

// answer runs a query on a state that has all that is committed: messages of
// the same round may have committed entries that are not applied yet.
func (c *Core) answer(q query) {
	c.carryOut()
	q.run(c, clock.Now())
	close(q.done)
}

func (c *Core) tick(now time.Time) {
	c.replica.Tick(now)
	c.changeMembers(now)
	c.feed.setInTouch(c.failed == nil && c.replica.InTouch(now))
	for index, p := range c.waiting {
		if now.Sub(p.since) >= _proposalLimit {
			delete(c.waiting, index)
			p.settle(result{err: fault.New(fault.MaybeApplied, "the change was not confirmed in %s", _proposalLimit)})
		}
	}
}

func (p pending) settle(r result) {
	if p.reply != nil {
		p.reply <- r
	}
}

func notLeader() result {
	return result{err: fault.New(fault.NoLeader, "this controller does not lead")}
}

func (c *Core) proposeAll(now time.Time, proposals []proposal) error {
	if len(proposals) == 0 {
		return nil
	}
	data := make([][]byte, 0, len(proposals))
	kept := proposals[:0]
	for _, p := range proposals {
		d, err := wire.MarshalCommand(p.cmd)
		if err != nil {
			p.reply <- result{err: fault.Wrap(fault.Internal, err, "encode a command")}
			continue
		}
		data = append(data, d)
		kept = append(kept, p)
	}
	if c.failed != nil {
		for _, p := range kept {
			p.reply <- notLeader()
		}
		return c.failed
	}
	first, err := c.replica.Propose(now, data)
	for i, p := range kept {
		if err != nil {
			p.reply <- notLeader()
			continue
		}
		c.waiting[first+uint64(i)] = pending{term: c.replica.Term(), since: now, reply: p.reply}
	}
	return err
}

// carryOut does what the replica asks until it asks for nothing more now.
// While a write is under way it does what need not wait for it.
func (c *Core) carryOut() {
	for c.failed == nil {
		next := c.replica.Urgent
		if !c.writing {
			next = c.replica.Ready
		}
		ready := next()
		if ready.Empty() {
			break
		}
		c.send(ready.Early)
		c.persist(ready)
		for _, e := range ready.Committed {
			c.apply(e)
		}
	}
	c.noteRole()
	c.noteMembers()
	c.maybeSnapshot()
}

// persist has the writer write what the replica asks for. A snapshot of the
// leader's is waited for, since nothing can be applied before it.
func (c *Core) persist(ready replica.Ready) {
	switch {
	case ready.Snapshot != nil:
		if err := c.takeOver(&ready); err != nil {
			c.fail(err)
			return
		}
		c.send(ready.Late)
		c.replica.Persisted(clock.Now(), ready.Durable())
	case ready.State != nil || len(ready.Entries) > 0:
		if ready.State != nil {
			c.hardState = *ready.State
		}
		c.writing = true
		c.writer.jobs <- writeJob{ready: ready, done: c.writes}
	default:
		c.send(ready.Late)
	}
}

// takeOver replaces the state by a snapshot of the leader's. No write is under
// way, so the core may use the disk.
func (c *Core) takeOver(ready *replica.Ready) error {
	if ready.State != nil {
		c.hardState = *ready.State
	}
	if err := c.store.SaveSnapshot(*ready.Snapshot, c.hardState, ready.Entries); err != nil {
		return err
	}
	if err := c.loadSnapshot(*ready.Snapshot); err != nil {
		return err
	}
	c.latest = *ready.Snapshot
	c.feed.reset(c.machine.Revision())
	c.sched.reset()
	c.sessions.reset(clock.Now())
	c.log.Emit(event.SnapshotLoaded, event.Fields{"index": ready.Snapshot.Index}, "took over the leader's snapshot")
	return nil
}

// written takes in the end of a write.
func (c *Core) written(w writeDone) {
	c.writing = false
	if w.err != nil {
		c.fail(w.err)
		return
	}
	if w.snapshot != nil {
		c.snapshotWritten(*w.snapshot)
		return
	}
	c.send(w.ready.Late)
	c.replica.Persisted(clock.Now(), w.ready.Durable())
}

// fail stops the replica: it neither votes nor answers any more, so that
// nothing is acknowledged that is not on its disk.
func (c *Core) fail(err error) {
	if c.failed != nil {
		return
	}
	c.failed = err
	close(c.failing)
	c.log.Emit(event.DiskFailed, event.Fields{"error": err.Error()}, "the data folder failed; this controller takes no further part")
	for index, p := range c.waiting {
		delete(c.waiting, index)
		p.settle(result{err: fault.New(fault.MaybeApplied, "the disk failed before the change was confirmed")})
	}
}

func (c *Core) apply(e replica.Entry) {
	c.lastApplied = e
	var r state.Result
	if e.Kind == replica.KindMembers {
		c.members = e.Members
	}
	if e.Kind == replica.KindCommand {
		cmd, err := wire.UnmarshalCommand(e.Data)
		if err != nil {
			// All replicas hold the same bytes, so all refuse the same entry.
			r.Outcome.Err = err
		} else {
			r = c.machine.Apply(e.Index, e.Time, cmd)
			c.sched.applied(c.machine, cmd, r)
			c.applied(e.Term, cmd, r)
			c.note(cmd, r)
		}
		c.feed.advance(e.Index, r.Events)
	}
	p, ok := c.waiting[e.Index]
	if !ok {
		return
	}
	delete(c.waiting, e.Index)
	if p.term != e.Term {
		p.settle(notLeader())
		return
	}
	c.commits.Update(clock.Now().Sub(p.since))
	p.settle(result{outcome: r.Outcome})
}

// note logs what a command changed, once in the group: at the leader.
func (c *Core) note(cmd state.Command, r state.Result) {
	if c.replica.Role() != replica.Leader || r.Outcome.Err != nil {
		return
	}
	switch cmd := cmd.(type) {
	case state.PutEntry:
		c.log.Emit(event.ChangeAccepted, event.Fields{"entry": cmd.Spec.Name, "revision": r.Outcome.Revision}, "a declaration is in force")
	case state.DeleteEntry:
		c.log.Emit(event.ChangeAccepted, event.Fields{"entry": cmd.Name, "revision": r.Outcome.Revision}, "a declaration is out of force")
	case state.RegisterWorker:
		c.log.Emit(event.WorkerAdded, event.Fields{"worker": cmd.Worker.ID, "incarnation": cmd.Worker.Incarnation}, "a worker was announced")
	case state.PlaceJob:
		c.log.Emit(event.JobPlaced, event.Fields{"job": cmd.ID, "attempt": cmd.Attempt, "worker": cmd.Worker}, "a job was placed")
	case state.EndAttempt:
		c.log.Emit(event.JobEnded, event.Fields{"job": cmd.ID, "attempt": cmd.Attempt, "state": r.Outcome.Job.State.String()}, "an attempt ended")
	}
}

func (c *Core) noteRole() {
	role := c.replica.Role()
	if role == c.role {
		return
	}
	c.log.Emit(event.RoleChanged, event.Fields{
		"from": c.role.String(), "to": role.String(), "term": c.replica.Term(), "leader": string(c.replica.Leader()),
	}, "the controller's role changed")
	if role == replica.Leader {
		c.sched.lead(clock.Now(), c.machine)
		c.sessions.reset(clock.Now())
	}
	if c.role == replica.Leader {
		c.sched.reset()
		c.sessions.reset(clock.Now())
		c.holders = make(map[string]Holder)
	}
	c.role = role
}

// maybeSnapshot has a snapshot written when the log has grown. The state is
// copied here; it is encoded and written by the writer.
func (c *Core) maybeSnapshot() {
	if c.failed != nil || c.writing || int(c.lastApplied.Index-c.snapshotIndex) < c.snapshotEntries {
		return
	}
	c.writing = true
	c.writer.jobs <- writeJob{done: c.writes, snapshot: &snapshotJob{
		index:    c.lastApplied.Index,
		term:     c.lastApplied.Term,
		contents: c.machine.Contents(),
		hard:     c.hardState,
		members:  c.members,
		tail:     c.replica.After(c.lastApplied.Index),
	}}
}

func (c *Core) snapshotWritten(s replica.Snapshot) {
	c.latest = s
	c.snapshotIndex = s.Index
	if s.Index > _keepEntries {
		c.replica.Compact(s.Index - _keepEntries)
	}
	c.log.Emit(event.SnapshotSaved, event.Fields{"index": s.Index, "bytes": len(s.Data)}, "saved a snapshot")
}

func (c *Core) stop() {
	for _, p := range c.waiting {
		p.settle(result{err: fault.New(fault.MaybeApplied, "the controller stopped before the change was confirmed")})
	}
	c.sched.reset()
	c.sessions.reset(clock.Now())
	if err := c.store.Close(); err != nil {
		c.log.Emit(event.DiskFailed, event.Fields{"error": err.Error()}, "the log could not be closed")
	}
}

// Failed returns a channel that is closed when the disk has failed. What is on
// it is only known again after a restart.
func (c *Core) Failed() <-chan struct{} { return c.failing }

var errStopped = errors.New("the controller has stopped")

// Do runs a function inside the core, which owns all state it may touch.
func (c *Core) Do(ctx context.Context, run func(*Core, time.Time)) error {
	q := query{run: run, done: make(chan struct{})}
	select {
	case c.queries <- q:
	case <-c.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	<-q.done
	return nil
}

// Propose has a command applied if this controller leads.
func (c *Core) Propose(ctx context.Context, cmd state.Command) (state.Outcome, error) {
	p := proposal{cmd: cmd, reply: make(chan result, 1)}
	select {
	case c.propose <- p:
	case <-c.stopped:
		return state.Outcome{}, fault.New(fault.NoLeader, "the controller has stopped")
	case <-ctx.Done():
		return state.Outcome{}, fault.Wrap(fault.NoLeader, ctx.Err(), "the controller is busy")
	}
	select {
	case r := <-p.reply:
		return r.outcome, r.err
	case <-ctx.Done():
		return state.Outcome{}, fault.Wrap(fault.MaybeApplied, ctx.Err(), "the change was not confirmed")
	}
}

// Deliver takes in a message of another replica.
func (c *Core) Deliver(ctx context.Context, m replica.Message) error {
	select {
	case c.messages <- m:
		return nil
	case <-c.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
