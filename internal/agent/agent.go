// Package agent implements the agent role, which runs beside a target. The
// agent announces the target, admits work to the target, and runs the target's
// tasks under leases.
//
// Only the agent admits work to its target. The target never has more work than
// its capacity, even if entry instances and controllers hold an outdated view.
package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcmux"

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

// Timing of the agent's goroutines.
const (
	_syncRetryInterval = 200 * time.Millisecond  // between attempts to reach the worker or a controller
	_idlePollInterval  = 20 * time.Millisecond   // between checks whether a leaving agent is idle
	_departureNotice   = 1500 * time.Millisecond // for entry instances to learn of the departure
	_syncTimeout       = 1500 * time.Millisecond // of a renewal, in addition to its long poll; of a retirement
	_maxSyncDuration   = 5 * time.Second         // after which a renewal is restarted with current state
)

// _sessionGap separates the sessions of two agents. It is more than the number of
// sessions that one agent begins.
const _sessionGap = 1_000_000_000

// Agent is one running agent.
type Agent struct {
	cfg              settings.Agent
	log              event.Log
	agentIncarnation atomic.Uint64 // changes only before the target is announced
	announcement     worker.Worker
	gate             *gate
	target           *targetClient
	worker           *workerapi.Client
	controllers      *control.Client
	lease            lease
	tasks            taskSet
	watches          watchSet
	leaving          chan struct{} // closed when the agent stops
	leaveOnce        sync.Once

	requests           sync.WaitGroup // requests of entry instances
	runs               sync.WaitGroup // task attempts and background proposals
	goroutines         sync.WaitGroup // the agent's own goroutines
	cancel             context.CancelFunc
	syncRequested      chan struct{} // buffer of one; requests an immediate renewal
	session            uint64        // latest session of the worker that this agent has begun; owned by syncLoop
	sessionEnded       bool          // the worker has restarted, or another agent has begun a session; owned by syncLoop
	joined             bool          // the target has been announced; owned by syncLoop
	targetUnresponsive bool          // owned by syncLoop
	departureAnnounced atomic.Bool   // entry instances have had time to learn of the departure
}

var _ pb.DRPCAgentServer = (*Agent)(nil)

// Start starts the agent's goroutines.
func Start(s *settings.Settings, log event.Log, controllers *control.Client, registry metrics.Registry, now time.Time) (*Agent, error) {
	cfg := *s.Agent
	a := &Agent{
		cfg:           cfg,
		log:           log,
		gate:          newGate(cfg.Slots, cfg.Connections),
		target:        newTargetClient(cfg.TargetAddress),
		worker:        workerapi.NewClient(cfg.TargetAddress),
		controllers:   controllers,
		leaving:       make(chan struct{}),
		syncRequested: make(chan struct{}, 1),
	}
	a.agentIncarnation.Store(uint64(now.UnixNano()))
	a.session = a.agentIncarnation.Load()
	mux := drpcmux.New()
	if err := pb.DRPCRegisterAgent(mux, a); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "register the agent's service")
	}
	server, err := link.Listen(cfg.Address, mux, link.ServerConfig{
		Role: settings.RoleAgent, Connections: s.Intake.PeerConnections, MessageBudget: int64(s.Intake.BodyBudget),
		Log: log, Metrics: registry, OnPanic: a.logPanic,
	})
	if err != nil {
		return nil, err
	}
	a.announcement = worker.Worker{
		ID:               cfg.ID,
		AgentIncarnation: a.agentIncarnation.Load(),
		Address:          server.Address(),
		Region:           s.Region,
		Zone:             s.Zone,
		Rack:             s.Rack,
		Targets:          cfg.Targets,
		Capacity: worker.Capacity{
			Slots: cfg.Slots, Connections: cfg.Connections,
			CPUMillis: int64(cfg.CPU), MemoryBytes: int64(cfg.Memory), Accelerators: cfg.Accelerators,
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.goroutines.Go(func() { a.gate.run(ctx) })
	a.goroutines.Go(func() { server.Serve(ctx) })
	a.goroutines.Go(func() { a.syncLoop(ctx) })
	return a, nil
}

// logPanic logs a panic that ended one call.
func (a *Agent) logPanic(call string, value any, stack string) {
	a.log.Emit(event.CallPanicked, event.Fields{"call": call, "error": fmt.Sprint(value), "stack": stack}, "a call failed unexpectedly")
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

// Ping answers a probe from an entry instance.
func (a *Agent) Ping(context.Context, *pb.Empty) (*pb.PingReply, error) {
	return &pb.PingReply{Incarnation: a.agentIncarnation.Load(), Load: a.gate.load(), Leaving: a.isLeaving()}, nil
}

// syncLoop announces the target and renews the leases.
func (a *Agent) syncLoop(ctx context.Context) {
	if !a.stopStaleTasks(ctx) {
		return
	}
	for ctx.Err() == nil {
		if a.sessionEnded && !a.stopStaleTasks(ctx) {
			return
		}
		if a.lease.hasExpired(clock.Now()) {
			a.log.Emit(event.LeaseExpired, nil, "leases expired without renewal; stopping all tasks")
			a.tasks.cancelAll()
			a.lease.reset()
			if !a.stopStaleTasks(ctx) {
				return
			}
		}
		// If the worker does not answer, the agent lets the leases expire, so
		// that the controllers place the tasks elsewhere.
		if !a.renewWorkerLeases(ctx) {
			clock.Sleep(ctx, _syncRetryInterval)
			continue
		}
		started := time.Now()
		reply, err := a.sync(ctx)
		if err != nil {
			if !errors.Is(err, errSyncRestarted) && ctx.Err() == nil {
				a.log.Emit(event.ControllerLost, event.Fields{"error": err.Error()}, "lease renewal failed; retrying")
				clock.Sleep(ctx, _syncRetryInterval)
			}
			continue
		}
		if reply.GetSuperseded() && !a.joined {
			a.succeed(reply.GetRegisteredIncarnation())
			continue
		}
		if !a.joined {
			a.joined = true
			a.log.Emit(event.AgentJoined, event.Fields{"worker": a.cfg.ID, "incarnation": a.agentIncarnation.Load()}, "target announced")
		}
		if reply.GetSuperseded() {
			a.endDuty()
			return
		}
		a.applyOrders(ctx, reply)
		a.limitSyncRate(ctx, started, reply)
	}
}

// endDuty ends this agent's work in favour of a newer agent of the same worker. Tasks
// that it has not started yet must not start any more.
func (a *Agent) endDuty() {
	a.log.Emit(event.TaskFailed, event.Fields{"worker": a.cfg.ID}, "newer agent incarnation of this worker is registered; admitting no more work")
	a.tasks.cancelAll()
	a.gate.setClosing(true)
}

// stopStaleTasks stops all tasks on the worker: tasks that an earlier agent left
// running, or tasks of an expired lease. It retries until the worker has stopped
// the tasks and rejects late starts of them. The agent announces nothing before
// that, because its announcement means to the controllers that the earlier attempts
// have ended. stopStaleTasks returns false if the context ends first, or if a newer
// agent has begun a session.
func (a *Agent) stopStaleTasks(ctx context.Context) bool {
	for {
		present, ok := a.beginSession(ctx)
		if ok && a.renewWorkerLeases(ctx) {
			return true
		}
		if a.joined && present > a.session {
			a.endDuty()
			return false
		}
		if present > a.session {
			a.session = present + _sessionGap
		}
		if !a.targetUnresponsive {
			a.targetUnresponsive = true
			a.log.Emit(event.TargetSilent, nil, "target does not answer; not announced; retrying")
		}
		if !clock.Sleep(ctx, _syncRetryInterval) {
			return false
		}
	}
}

// beginSession stops all tasks on the worker and begins a session, unless the worker
// is already in a later one, which present then is. The worker's clock is known again
// from the answer.
func (a *Agent) beginSession(ctx context.Context) (present uint64, ok bool) {
	a.session++
	workerClock, present, err := a.worker.StopAll(ctx, a.session)
	if err != nil || present > a.session {
		return present, false
	}
	a.sessionEnded = false
	a.lease.recordWorkerClock(workerClock, a.session, clock.Now())
	return present, true
}

var (
	errSyncRestarted = errors.New("renewal cancelled to send newer state")
	errNoController  = errors.New("no leading controller answered")
)

func (a *Agent) sync(ctx context.Context) (*pb.SyncReply, error) {
	w := a.announcement
	w.Leaving = a.isLeaving()
	in := &pb.SyncRequest{Worker: wire.EncodeWorker(w), Load: a.gate.load(), Wait: int64(a.cfg.SyncInterval)}
	in.Worker.Drained = a.announcement.Drained
	ids := a.tasks.list()
	for _, id := range ids {
		in.Running = append(in.Running, &pb.RunningTask{Job: id.Job, Attempt: id.Attempt})
	}
	ctx, cancel := context.WithTimeoutCause(ctx, _maxSyncDuration, errNoController)
	defer cancel()
	ctx, cancelSync := context.WithCancelCause(ctx)
	stop := a.cancelOnSyncRequest(ctx, cancelSync)
	defer stop()
	sent := clock.Now()
	reply, err := a.controllers.Sync(ctx, in, time.Duration(a.cfg.SyncInterval)+_syncTimeout)
	if err != nil {
		return nil, context.Cause(ctx)
	}
	if !reply.GetSuperseded() {
		a.lease.recordRenewal(sent, time.Duration(reply.GetLease()))
	}
	return reply, nil
}

// succeed raises the agent incarnation above the registered one. The incarnation
// starts with the wall-clock time, which may have been ahead when the registered
// agent started. Of two running agents of a worker, the one that starts last
// serves it.
func (a *Agent) succeed(registered uint64) {
	next := max(a.agentIncarnation.Load(), registered+1)
	a.agentIncarnation.Store(next)
	a.announcement.AgentIncarnation = next
}

// cancelOnSyncRequest cancels a renewal in its long poll when the agent has new
// state to report.
func (a *Agent) cancelOnSyncRequest(ctx context.Context, cancel context.CancelCauseFunc) (stop func()) {
	var wg sync.WaitGroup
	wg.Go(func() {
		select {
		case <-a.syncRequested:
			cancel(errSyncRestarted)
		case <-ctx.Done():
		}
	})
	return func() {
		cancel(nil)
		wg.Wait()
	}
}

// applyOrders carries out the orders in the controllers' reply.
func (a *Agent) applyOrders(ctx context.Context, reply *pb.SyncReply) {
	if reply.GetDrained() && !a.announcement.Drained {
		a.watches.endAll()
		a.tasks.withdrawUnstarted()
	}
	a.announcement.Drained = reply.GetDrained()
	a.gate.setClosing(a.isLeaving() && a.departureAnnounced.Load() || reply.GetDrained())
	for _, t := range reply.GetStop() {
		if running := a.tasks.find(workerapi.TaskID{Job: t.GetJob(), Attempt: t.GetAttempt()}); running != nil {
			running.requestStop()
		}
	}
	a.renewWorkerLeases(ctx)
	for _, as := range reply.GetAssignments() {
		a.startAttempt(as)
	}
}

// renewWorkerLeases sends the lease end to the worker and reads the worker's
// clock. It reports whether the worker answered.
func (a *Agent) renewWorkerLeases(ctx context.Context) bool {
	leaseEnd, session, ok := a.lease.endOnWorkerClock(clock.Now())
	var ids []workerapi.TaskID
	if ok {
		ids = a.tasks.list()
	}
	workerClock, err := a.worker.Renew(ctx, session, ids, leaseEnd)
	if err != nil {
		if !a.targetUnresponsive && ctx.Err() == nil {
			a.log.Emit(event.TargetSilent, event.Fields{"error": err.Error()}, "target does not answer; leases not renewed")
		}
		a.targetUnresponsive = true
		a.sessionEnded = fault.CodeOf(err) == fault.StaleWorker
		return false
	}
	if a.targetUnresponsive {
		a.log.Emit(event.TargetBack, nil, "target answers again")
	}
	a.targetUnresponsive = false
	a.lease.recordWorkerClock(workerClock, session, clock.Now())
	return true
}

// limitSyncRate waits until a minimum interval has passed since the start of the
// renewal that returned reply. After a reply with assignments it does not wait.
func (a *Agent) limitSyncRate(ctx context.Context, started time.Time, reply *pb.SyncReply) {
	minInterval := time.Duration(a.cfg.SyncInterval) / 10
	if len(reply.GetAssignments()) > 0 {
		return
	}
	if d := minInterval - time.Since(started); d > 0 {
		clock.Sleep(ctx, d)
	}
}

func (a *Agent) requestSync() {
	select {
	case a.syncRequested <- struct{}{}:
	default:
	}
}

// Stop announces the departure and then admits no new work. Requests in flight
// finish, tasks are returned to the controllers with their checkpoints, and the
// worker is removed from the view. When the context ends, Stop stops without
// waiting further.
func (a *Agent) Stop(ctx context.Context) error {
	a.leaveOnce.Do(func() { close(a.leaving) })
	a.requestSync()
	// Requests are still admitted while entry instances learn of the
	// departure, so that none has to be rejected.
	clock.Sleep(ctx, _departureNotice)
	a.departureAnnounced.Store(true)
	a.gate.setClosing(true)
	a.watches.endAll()
	a.tasks.stopAll()
	a.waitIdle(ctx)
	a.retireWorker(ctx)
	a.tasks.cancelAll()
	a.cancel()
	a.goroutines.Wait()
	a.requests.Wait()
	a.runs.Wait()
	a.target.close()
	a.worker.Close()
	a.controllers.Close()
	return nil
}

func (a *Agent) waitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		if a.gate.admitted.Load() == 0 && len(a.tasks.list()) == 0 {
			return
		}
		clock.Sleep(ctx, _idlePollInterval)
	}
}

func (a *Agent) retireWorker(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, _syncTimeout)
	defer cancel()
	// If the proposal fails, the controllers retire the worker when its lease
	// expires.
	_, _ = a.controllers.Propose(ctx, state.RetireWorker{ID: a.cfg.ID, AgentIncarnation: a.agentIncarnation.Load()})
}
