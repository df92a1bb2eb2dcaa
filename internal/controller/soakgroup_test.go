package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/link"
	"github.com/gentianrail/gentianrail/internal/runner"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/submission"
)

const _soakHeartbeat = 300 * time.Millisecond // between announcements of a worker

// soak is a group of controllers with the workers of a model and their agents.
type soak struct {
	model
	seed      uint64
	calm      time.Duration // factor of the times between faults
	dir       string
	members   []replica.Member
	listeners []net.Listener // of the members; they stay open while a member is down
	groupMu   sync.Mutex
	nodes     map[replica.ID]*soakNode // controllers that run
	cut       replica.ID               // controller without a connection to the others
	agents    []*soakAgent

	// Plays besides the others; nil for nothing.
	playMore func(rnd *rand.Rand, sleep func(time.Duration) bool)
	// Called when an agent begins to call a worker to start a run; nil for nothing.
	onStartCall func(machine string)
}

// soakNode is a running controller.
type soakNode struct {
	core     *Core
	listener nodeListener
	stop     func()
}

// nodeListener gets the connections to a controller while it runs.
type nodeListener struct {
	net.Listener
	ctx   context.Context
	conns chan net.Conn
}

func (l nodeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

func (l nodeListener) Close() error { return nil }

// accept passes connections to a member, and closes them while it is down.
func (s *soak) accept(n int) {
	for {
		c, err := s.listeners[n].Accept()
		if err != nil {
			return
		}
		s.groupMu.Lock()
		node := s.nodes[s.members[n].ID]
		s.groupMu.Unlock()
		if node == nil {
			_ = c.Close()
			continue
		}
		select {
		case node.listener.conns <- c:
		case <-node.listener.ctx.Done():
			_ = c.Close()
		}
	}
}

// soakAgent is the agent of a worker, and what lies between it and the others.
type soakAgent struct {
	*soak
	worker *modelWorker
	acting sync.Mutex // held by who brings a fault upon the agent
	mu     sync.Mutex
	runner *runner.Runner // nil while there is none
	gone   chan struct{}  // closed when the runner is stopped
	frozen chan struct{}  // closed at the thaw; nil while the agent's calls pass
	cutOff chan struct{}  // closed when its stream passes again; nil while it does
	broken chan struct{}  // closed to break the stream
}

func newSoak(seed uint64, dir string) *soak {
	rnd := rand.New(rand.NewPCG(seed, 0))
	s := &soak{
		model: model{
			began: time.Now(), starts: make(map[submission.TaskID][]modelStart), doneEnds: make(map[submission.TaskID]modelEnd), closing: make(chan struct{}),
		},
		seed: seed, calm: time.Duration(1 + rnd.IntN(3)), dir: dir, nodes: make(map[replica.ID]*soakNode),
	}
	for i := range 1 + 2*rnd.IntN(2) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		m := replica.Member{ID: replica.ID('a' + rune(i)), Address: l.Addr().String()}
		s.members, s.listeners = append(s.members, m), append(s.listeners, l)
	}
	for i := range 3 + rnd.IntN(3) {
		w := &modelWorker{model: &s.model, machine: fmt.Sprint("m", i), rnd: rand.New(rand.NewPCG(seed, uint64(i+1))), checksRoom: rnd.IntN(2) == 0}
		s.workers = append(s.workers, w)
		s.agents = append(s.agents, &soakAgent{soak: s, worker: w, broken: make(chan struct{})})
	}
	return s
}

func (s *soak) startCount() (n int) {
	for _, starts := range s.starts {
		n += len(starts)
	}
	return n
}

// note adds a line to the trace.
func (s *soak) note(format string, args ...any) {
	s.model.mu.Lock()
	defer s.model.mu.Unlock()
	s.logf(format, args...)
}

// traceWriter adds the log of a process to the trace.
type traceWriter struct {
	*soak
	name string
}

func (w traceWriter) Write(p []byte) (int, error) {
	_, line, _ := strings.Cut(strings.TrimSpace(string(p)), "msg=")
	w.note("%s: %s", w.name, line)
	return len(p), nil
}

func (s *soak) logOf(name string) event.Log {
	return event.NewLog(traceWriter{soak: s, name: name}, event.Text, logrus.InfoLevel)
}

func (s *soak) send(ctx context.Context, from replica.ID, messages []replica.Message) {
	s.groupMu.Lock()
	defer s.groupMu.Unlock()
	for _, m := range messages {
		if to := s.nodes[m.To]; to != nil && m.To != s.cut && from != s.cut {
			go func() { _ = to.core.Deliver(ctx, m) }()
		}
	}
}

// startNode starts a controller on its data.
func (s *soak) startNode(n int) {
	id := s.members[n].ID
	files, err := disk.OpenFolder(filepath.Join(s.dir, string(id)))
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	core, err := NewCore(CoreConfig{
		Replica: replica.Config{
			ID: id, InitialMembers: s.members, ElectionTimeout: 400 * time.Millisecond, Heartbeat: 50 * time.Millisecond,
			Rand: rand.New(rand.NewPCG(s.seed, uint64(id[0]))),
		},
		Files: files, Log: s.logOf("controller " + string(id)), Send: func(m []replica.Message) { s.send(ctx, id, m) },
		SnapshotEntries: 1000, WorkerLease: time.Second, RunLease: 4 * time.Second, LateStartWindow: _modelMaxCallDelay + _modelMaxLease,
		Accepted: s.acceptedLimits(),
	}, clock.Now())
	if err != nil {
		panic(err)
	}
	listener := nodeListener{Listener: s.listeners[n], ctx: ctx, conns: make(chan net.Conn)}
	mux := drpcmux.New()
	if err := pb.DRPCRegisterController(mux, &soakService{rpcService: &rpcService{core: core}, soak: s}); err != nil {
		panic(err)
	}
	server := drpcserver.NewWithOptions(mux, link.ServerOptions(nil))
	var running sync.WaitGroup
	running.Go(func() { core.Run(ctx) })
	running.Go(func() { _ = server.Serve(ctx, listener) })
	s.groupMu.Lock()
	s.nodes[id] = &soakNode{core: core, listener: listener, stop: func() {
		cancel()
		running.Wait()
	}}
	s.groupMu.Unlock()
}

func (s *soak) stopNode(id replica.ID) {
	s.groupMu.Lock()
	n := s.nodes[id]
	delete(s.nodes, id)
	s.groupMu.Unlock()
	if n != nil {
		n.stop()
	}
}

// soakService holds back or breaks the streams of agents.
type soakService struct {
	*rpcService
	soak *soak
}

func (s *soakService) Attach(stream pb.DRPCController_AttachStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	var agent *soakAgent
	for _, a := range s.soak.agents {
		if a.worker.machine == machineOf(first.GetWorker().GetLife()) {
			agent = a
		}
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(stream.Context()))
	defer cancel()
	go func() { // the end of the stream arrives as late as all else
		select {
		case <-stream.Context().Done():
			agent.waitForStream()
		case <-agent.breaks():
		case <-ctx.Done():
		}
		cancel()
	}()
	return s.rpcService.Attach(&soakStream{DRPCController_AttachStream: stream, ctx: ctx, agent: agent, first: first})
}

type soakStream struct {
	pb.DRPCController_AttachStream
	ctx   context.Context
	agent *soakAgent
	first *pb.AgentReport
}

func (s *soakStream) Context() context.Context { return s.ctx }

func (s *soakStream) Recv() (r *pb.AgentReport, err error) {
	if r, s.first = s.first, nil; r == nil {
		r, err = s.DRPCController_AttachStream.Recv()
	}
	s.agent.waitForStream()
	if s.ctx.Err() != nil {
		return nil, s.ctx.Err()
	}
	return r, err
}

func (s *soakStream) Send(o *pb.AgentOrder) error {
	s.agent.waitForStream()
	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	return s.DRPCController_AttachStream.Send(o)
}

func (a *soakAgent) breaks() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.broken
}

// waitForStream waits until the agent's stream passes.
func (a *soakAgent) waitForStream() {
	for {
		a.mu.Lock()
		frozen, cutOff := a.frozen, a.cutOff
		a.mu.Unlock()
		if frozen == nil && cutOff == nil {
			return
		}
		for _, held := range []chan struct{}{frozen, cutOff} {
			if held != nil {
				<-held
			}
		}
	}
}

// agentCalls are the calls of one agent to its worker. They stand still while the agent
// is frozen.
type agentCalls struct {
	*soakAgent
	gone chan struct{}
}

var _ runner.Worker = agentCalls{}

var errFrozen = errors.New("the agent was frozen")

// thaw waits until the agent is not frozen. It reports whether a call that was held back
// goes on, rather than end with its timeout.
func (a agentCalls) thaw() bool {
	a.mu.Lock()
	frozen := a.frozen
	a.mu.Unlock()
	if frozen == nil {
		return true
	}
	select {
	case <-frozen:
		return rand.IntN(2) == 0
	case <-a.gone:
		return false
	}
}

// pass makes a call. What a frozen agent was about to do it does after the thaw.
func (a agentCalls) pass(ctx context.Context, call func(ctx context.Context, sentToMS int64) reply) reply {
	a.worker.mu.Lock()
	sentToMS := a.worker.startedMS
	a.worker.mu.Unlock()
	if !a.thaw() {
		return reply{err: errFrozen}
	}
	if ctx.Err() != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), 100*time.Millisecond)
		defer cancel()
	}
	out := call(ctx, sentToMS)
	if !a.thaw() {
		return reply{err: errFrozen}
	}
	return out
}

func (a agentCalls) Start(ctx context.Context, id string, o runner.StartOrder) (runner.StartAnswer, time.Duration, error) {
	if a.onStartCall != nil {
		a.onStartCall(a.worker.machine)
	}
	out := a.pass(ctx, func(ctx context.Context, sentToMS int64) reply {
		return a.worker.do(ctx, id, sentToMS, fmt.Sprintf("start %v token %x", o.Run, o.Token), func() reply { return a.worker.start(o, sentToMS) })
	})
	if errors.Is(out.err, runner.ErrOtherIncarnation) {
		return runner.OtherIncarnation, 0, nil
	}
	return out.answer, out.clock, out.err
}

func (a agentCalls) Stop(ctx context.Context, id string, run submission.RunID, token uint64) error {
	return a.pass(ctx, func(ctx context.Context, sentToMS int64) reply {
		return a.worker.do(ctx, id, sentToMS, fmt.Sprintf("stop %v token %x", run, token), func() reply { return a.worker.stop(run, token, sentToMS) })
	}).err
}

func (a agentCalls) Poll(ctx context.Context, id string, p runner.PollRequest) (runner.Listing, error) {
	out := a.pass(ctx, func(ctx context.Context, sentToMS int64) reply { return a.worker.poll(ctx, id, sentToMS, p) })
	return out.listing, out.err
}

func (a agentCalls) Pace(context.Context, string, submission.RunID, int, uint64) error { return nil }

// start starts the machine's next agent.
func (a *soakAgent) start() {
	a.note("%s agent starts", a.worker.machine)
	addresses := make([]string, 0, len(a.members))
	for _, m := range a.members {
		addresses = append(addresses, m.Address)
	}
	gone := make(chan struct{})
	r := runner.Start(a.logOf(a.worker.machine), a.worker.machine, a.worker.machine, agentCalls{soakAgent: a, gone: gone},
		_modelMaxLease, _modelMaxCallDelay, control.NewClient(addresses), metrics.NewRegistry())
	a.mu.Lock()
	a.runner, a.gone = r, gone
	a.mu.Unlock()
}

// stop ends the machine's agent.
func (a *soakAgent) stop() {
	a.mu.Lock()
	r, gone := a.runner, a.gone
	a.runner = nil
	a.mu.Unlock()
	if r == nil {
		return
	}
	a.note("%s agent stops", a.worker.machine)
	close(gone)
	_ = r.Stop(context.Background())
}

// hold closes a gate for a time.
func (a *soakAgent) hold(gate *chan struct{}, what string, d time.Duration, sleep func(time.Duration) bool) {
	a.acting.Lock()
	defer a.acting.Unlock()
	a.note("%s agent %s for %s", a.worker.machine, what, d)
	ch := make(chan struct{})
	a.mu.Lock()
	*gate = ch
	a.mu.Unlock()
	sleep(d)
	a.mu.Lock()
	*gate = nil
	a.mu.Unlock()
	close(ch)
	a.note("%s agent goes on", a.worker.machine)
}

// announce announces the worker to its agent now and then, and sometimes again later.
func (a *soakAgent) announce(sleep func(time.Duration) bool) {
	w := a.worker
	for sleep(_soakHeartbeat) {
		w.mu.Lock()
		up, announcement, late := w.up, runner.Announcement{}, time.Duration(0)
		if up {
			announcement = w.announcement()
			if w.rnd.IntN(20) == 0 {
				late = 300*time.Millisecond + time.Duration(w.rnd.Int64N(int64(4*time.Second)))
			}
		}
		w.mu.Unlock()
		if !up {
			continue
		}
		a.tell(func(r *runner.Runner) { r.HandleAnnouncement(announcement) })
		if late > 0 {
			w.later(late, func() { a.tell(func(r *runner.Runner) { r.HandleAnnouncement(announcement) }) })
		}
	}
}

// tell calls the agent, if there is one that is not frozen.
func (a *soakAgent) tell(f func(*runner.Runner)) {
	a.mu.Lock()
	r, frozen := a.runner, a.frozen != nil
	a.mu.Unlock()
	if r != nil && !frozen {
		f(r)
	}
}
