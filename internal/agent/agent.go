// Package agent is the role beside a target: it announces the target, admits
// work to it, and runs its tasks under leases.
//
// The agent alone admits to its target. Whatever entry instances and
// controllers believe, the target never has more work than it holds.
package agent

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/link"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/internal/workerapi"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/worker"
)

// Timing of the agent's own tasks.
const (
	_joinPause   = 200 * time.Millisecond // between tries to reach the worker at the start
	_leavePoll   = 20 * time.Millisecond
	_leaveNotice = 1500 * time.Millisecond // for entry instances to learn that the target leaves
	_syncTimeout = 1500 * time.Millisecond // of a renewal beyond the wait that it asks for
	_syncLimit   = 5 * time.Second         // until a renewal is begun anew with fresh news
)

// Agent is one running agent.
type Agent struct {
	cfg         settings.Agent
	log         event.Log
	incarnation uint64
	announce    worker.Worker
	gate        *gate
	target      *targetClient
	worker      *workerapi.Client
	controllers *control.Client
	lease       lease
	tasks       taskSet
	watches     handover
	leaving     chan struct{} // closed when the agent stops
	leaveOnce   sync.Once

	requests sync.WaitGroup // requests of entry instances
	runs     sync.WaitGroup // requests at the target and tasks
	own      sync.WaitGroup // the agent's own tasks
	cancel   context.CancelFunc
	listener net.Listener
	wake     chan struct{} // size one; asks for a renewal at once
	silent   bool          // the target did not answer; owned by the renewal task
	noticed  atomic.Bool   // entry instances have had the time to learn of the leave
}

var _ pb.DRPCAgentServer = (*Agent)(nil)

// Start starts the agent's tasks.
func Start(s *settings.Settings, log event.Log, now time.Time) (*Agent, error) {
	cfg := *s.Agent
	a := &Agent{
		cfg:         cfg,
		log:         log,
		incarnation: uint64(now.UnixNano()),
		gate:        newGate(cfg.Slots, cfg.Connections),
		target:      newTargetClient(cfg.TargetAddress),
		worker:      workerapi.NewClient(cfg.TargetAddress),
		controllers: control.NewClient(s.Controllers),
		leaving:     make(chan struct{}),
		wake:        make(chan struct{}, 1),
	}
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "listen on %s", cfg.Address)
	}
	a.listener = l
	a.announce = worker.Worker{
		ID:          cfg.ID,
		Incarnation: a.incarnation,
		Address:     l.Addr().String(),
		Region:      s.Region,
		Zone:        s.Zone,
		Rack:        s.Rack,
		Targets:     cfg.Targets,
		Capacity: worker.Capacity{
			Slots: cfg.Slots, Connections: cfg.Connections,
			CPUMillis: int64(cfg.CPU), MemoryBytes: int64(cfg.Memory), Accelerators: cfg.Accelerators,
		},
	}
	mux := drpcmux.New()
	if err := pb.DRPCRegisterAgent(mux, a); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "register the agent's service")
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	server := drpcserver.NewWithOptions(mux, link.ServerOptions(nil))
	a.own.Go(func() { a.gate.run(ctx) })
	a.own.Go(func() { _ = server.Serve(ctx, l) })
	a.own.Go(func() { a.syncLoop(ctx) })
	return a, nil
}

func (a *Agent) serves(target string) bool { return slices.Contains(a.cfg.Targets, target) }

func (a *Agent) isLeaving() bool {
	select {
	case <-a.leaving:
		return true
	default:
		return false
	}
}

// Ping answers a probe of an entry instance.
func (a *Agent) Ping(context.Context, *pb.Empty) (*pb.PingReply, error) {
	return &pb.PingReply{Incarnation: a.incarnation, Load: a.gate.load(), Leaving: a.isLeaving()}, nil
}

// syncLoop announces the target and renews the leases.
func (a *Agent) syncLoop(ctx context.Context) {
	if !a.takeOver(ctx) {
		return
	}
	joined := false
	for ctx.Err() == nil {
		if a.lease.over(time.Now()) {
			a.log.Emit(event.LeaseExpired, nil, "the leases ran out unrenewed; the tasks have stopped")
			a.tasks.cancelAll()
			a.lease.forget()
			if !a.takeOver(ctx) {
				return
			}
		}
		// Without its worker the agent lets the leases run out, so that the
		// controllers place the tasks elsewhere.
		if !a.renewWorker(ctx) {
			clock.Sleep(ctx, _joinPause)
			continue
		}
		started := time.Now()
		reply, err := a.sync(ctx)
		if err != nil {
			if !errors.Is(err, errWoken) && ctx.Err() == nil {
				a.log.Emit(event.ControllerLost, event.Fields{"error": err.Error()}, "no controller renewed the leases")
				clock.Sleep(ctx, _joinPause)
			}
			continue
		}
		if !joined {
			joined = true
			a.log.Emit(event.AgentJoined, event.Fields{"worker": a.cfg.ID, "incarnation": a.incarnation}, "announced the target")
		}
		if reply.GetSuperseded() {
			a.log.Emit(event.TaskFailed, event.Fields{"worker": a.cfg.ID}, "a newer incarnation of this worker is registered")
			a.gate.setClosing(true)
			return
		}
		a.obey(ctx, reply)
		a.spaceOut(ctx, started, reply)
	}
}

// takeOver stops what an earlier agent left running on the worker. Until that
// is done the agent announces nothing, since its announcement tells the
// controllers that the earlier attempts are over.
func (a *Agent) takeOver(ctx context.Context) bool {
	for a.worker.StopAll(ctx) != nil || !a.renewWorker(ctx) {
		if !a.silent {
			a.silent = true
			a.log.Emit(event.TargetSilent, nil, "the target does not answer; it is not announced")
		}
		if !clock.Sleep(ctx, _joinPause) {
			return false
		}
	}
	return true
}

var (
	errWoken        = errors.New("the renewal was broken off for a newer one")
	errNoController = errors.New("no controller that leads answered")
)

func (a *Agent) sync(ctx context.Context) (*pb.SyncReply, error) {
	w := a.announce
	w.Leaving = a.isLeaving()
	in := &pb.SyncRequest{Worker: wire.EncodeWorker(w), Load: a.gate.load(), Wait: int64(a.cfg.SyncInterval)}
	in.Worker.Drained = a.announce.Drained
	ids := a.tasks.list()
	for _, id := range ids {
		in.Running = append(in.Running, &pb.RunningTask{Job: id.Job, Attempt: id.Attempt})
	}
	ctx, cancel := context.WithTimeoutCause(ctx, _syncLimit, errNoController)
	defer cancel()
	ctx, broken := context.WithCancelCause(ctx)
	stop := a.cancelOnWake(ctx, broken)
	defer stop()
	sent := time.Now()
	reply, err := a.controllers.Sync(ctx, in, time.Duration(a.cfg.SyncInterval)+_syncTimeout)
	if err != nil {
		return nil, context.Cause(ctx)
	}
	if !reply.GetSuperseded() {
		a.lease.renewed(sent, time.Duration(reply.GetLease()))
	}
	return reply, nil
}

// cancelOnWake ends a renewal that waits for orders when the agent has news.
func (a *Agent) cancelOnWake(ctx context.Context, cancel context.CancelCauseFunc) (stop func()) {
	var wg sync.WaitGroup
	wg.Go(func() {
		select {
		case <-a.wake:
			cancel(errWoken)
		case <-ctx.Done():
		}
	})
	return func() {
		cancel(nil)
		wg.Wait()
	}
}

// obey carries out the controllers' orders.
func (a *Agent) obey(ctx context.Context, reply *pb.SyncReply) {
	if reply.GetDrained() && !a.announce.Drained {
		a.watches.handOver()
	}
	a.announce.Drained = reply.GetDrained()
	a.gate.setClosing(a.isLeaving() && a.noticed.Load() || reply.GetDrained())
	for _, t := range reply.GetStop() {
		if running := a.tasks.find(workerapi.TaskID{Job: t.GetJob(), Attempt: t.GetAttempt()}); running != nil {
			running.askStop()
		}
	}
	a.renewWorker(ctx)
	for _, as := range reply.GetAssignments() {
		a.assign(as)
	}
}

// renewWorker passes the lease's end on to the worker and reads its clock. It
// reports whether the worker answered.
func (a *Agent) renewWorker(ctx context.Context) bool {
	var read time.Duration // of the worker's clock
	var err error
	ids := a.tasks.list()
	if until, ok := a.lease.workerEnd(time.Now()); ok && len(ids) > 0 {
		read, err = a.worker.Renew(ctx, ids, until)
	} else {
		read, err = a.worker.Clock(ctx)
	}
	if err != nil {
		if !a.silent && ctx.Err() == nil {
			a.log.Emit(event.TargetSilent, event.Fields{"error": err.Error()}, "the target does not answer")
		}
		a.silent = true
		return false
	}
	if a.silent {
		a.log.Emit(event.TargetBack, nil, "the target answers")
	}
	a.silent = false
	a.lease.read(read, time.Now())
	return true
}

// spaceOut keeps renewals that were answered at once from following each
// other without a pause.
func (a *Agent) spaceOut(ctx context.Context, started time.Time, reply *pb.SyncReply) {
	least := time.Duration(a.cfg.SyncInterval) / 10
	if len(reply.GetAssignments()) > 0 {
		return
	}
	if d := least - time.Since(started); d > 0 {
		clock.Sleep(ctx, d)
	}
}

func (a *Agent) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Stop leaves: no new work is taken, requests in flight finish, tasks are
// given back with their checkpoints, and the worker is taken out of the view.
// When the context ends it stops without waiting further.
func (a *Agent) Stop(ctx context.Context) error {
	a.leaveOnce.Do(func() { close(a.leaving) })
	a.wakeUp()
	// Entry instances learn of the leave while requests are still taken, so
	// that none has to be refused.
	clock.Sleep(ctx, _leaveNotice)
	a.noticed.Store(true)
	a.gate.setClosing(true)
	a.watches.handOver()
	a.tasks.stopAll()
	a.waitIdle(ctx)
	a.retire(ctx)
	a.tasks.cancelAll()
	a.cancel()
	a.own.Wait()
	a.requests.Wait()
	a.runs.Wait()
	a.target.close()
	a.worker.Close()
	a.controllers.Close()
	return nil
}

func (a *Agent) waitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		if a.gate.in.Load() == 0 && len(a.tasks.list()) == 0 {
			return
		}
		clock.Sleep(ctx, _leavePoll)
	}
}

func (a *Agent) retire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, _syncTimeout)
	defer cancel()
	// If it fails the controllers retire the worker when its lease ends.
	_, _ = a.controllers.Propose(ctx, state.RetireWorker{ID: a.cfg.ID, Incarnation: a.incarnation})
}
