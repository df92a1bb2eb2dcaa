package controller

import (
	"context"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/feed"
	"github.com/gentianrail/gentianrail/internal/peers"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/state"
)

// Bounds of the service.
const (
	_heartbeatInterval = 200 * time.Millisecond // between heartbeats on a replica's stream
	_maxJobPage        = 500
	_maxLongPoll       = time.Minute
)

// rpcService serves the controller to other processes over drpc.
type rpcService struct {
	core       *Core
	peers      *peers.Set
	attachWait time.Duration // until an agent is told to ask another controller; 0 for _attachWait
}

var _ pb.DRPCControllerServer = (*rpcService)(nil)

func (s *rpcService) leaderAddress(ctx context.Context) string {
	address := ""
	_ = s.core.Do(ctx, func(c *Core, _ time.Time) { address = c.leaderAddress() })
	return address
}

// Propose applies another process's command.
func (s *rpcService) Propose(ctx context.Context, in *pb.ProposeRequest) (*pb.ProposeReply, error) {
	cmd, err := wire.DecodeCommand(in.GetCommand())
	if err != nil {
		return &pb.ProposeReply{Outcome: wire.EncodeOutcome(state.Outcome{Err: err})}, nil
	}
	if zone, ok := zoneOfOrder(cmd); ok {
		if reply, err := s.checkOrder(ctx, zone); reply != nil || err != nil {
			return reply, err
		}
	}
	submit, isJob := cmd.(state.SubmitJob)
	if _, isTable := cmd.(state.ReplaceQueues); isTable || isJob {
		var rejection error
		err := s.core.Do(ctx, func(c *Core, now time.Time) {
			if c.holdsLease(now) {
				rejection = c.admitCommand(cmd)
			}
		})
		if err != nil {
			return nil, err
		}
		if rejection != nil {
			return &pb.ProposeReply{Outcome: wire.EncodeOutcome(state.Outcome{Err: rejection})}, nil
		}
	}
	o, err := s.core.Propose(ctx, cmd)
	switch fault.CodeOf(err) {
	case fault.OK:
		return &pb.ProposeReply{Outcome: wire.EncodeOutcome(o)}, nil
	case fault.NoLeader:
		if isJob {
			s.releaseWork(ctx, jobName(&submit.Job))
		}
		return &pb.ProposeReply{NotLeader: true, LeaderAddress: s.leaderAddress(ctx)}, nil
	default:
		return &pb.ProposeReply{MaybeApplied: true, LeaderAddress: s.leaderAddress(ctx)}, nil
	}
}

// Barrier returns a revision that includes all accepted changes.
func (s *rpcService) Barrier(ctx context.Context, _ *pb.Empty) (*pb.BarrierReply, error) {
	out := &pb.BarrierReply{NotLeader: true}
	err := s.core.Do(ctx, func(c *Core, now time.Time) {
		out.LeaderAddress = c.leaderAddress()
		if c.holdsLease(now) {
			out.NotLeader = false
			out.Revision = c.replica.Commit()
		}
	})
	return out, err
}

// Sync registers an agent's worker, renews the worker's lease and returns the
// agent's orders. Without orders Sync waits for some, up to the time that the
// agent requests.
func (s *rpcService) Sync(ctx context.Context, in *pb.SyncRequest) (*pb.SyncReply, error) {
	leads, registered := false, false
	w := wire.DecodeWorker(in.GetWorker())
	err := s.core.Do(ctx, func(c *Core, now time.Time) {
		leads = c.holdsLease(now)
		known, ok := c.machine.Workers().Worker(w.ID)
		registered = ok && known.SameAnnouncement(w)
	})
	if err != nil || !leads {
		return &pb.SyncReply{NotLeader: true, LeaderAddress: s.leaderAddress(ctx)}, err
	}
	if !registered {
		if reply, err := s.register(ctx, state.RegisterWorker{Worker: w}); reply != nil || err != nil {
			return reply, err
		}
	}
	return s.syncOrders(ctx, in)
}

// register registers a worker. It returns a reply only if the worker could not be
// registered.
func (s *rpcService) register(ctx context.Context, cmd state.RegisterWorker) (*pb.SyncReply, error) {
	o, err := s.core.Propose(ctx, cmd)
	if err == nil {
		err = o.Err
	}
	switch fault.CodeOf(err) {
	case fault.OK:
		return nil, nil
	case fault.StaleWorker:
		return s.supersededReply(ctx, cmd.Worker.ID)
	case fault.NoLeader, fault.MaybeApplied:
		return &pb.SyncReply{NotLeader: true, LeaderAddress: s.leaderAddress(ctx)}, nil
	default:
		return nil, err
	}
}

// supersededReply tells an agent that a newer incarnation is registered.
func (s *rpcService) supersededReply(ctx context.Context, worker string) (*pb.SyncReply, error) {
	reply := &pb.SyncReply{Superseded: true}
	err := s.core.Do(ctx, func(c *Core, _ time.Time) {
		if w, ok := c.machine.Workers().Worker(worker); ok {
			reply.RegisteredIncarnation = w.AgentIncarnation
		}
	})
	return reply, err
}

func (s *rpcService) syncOrders(ctx context.Context, in *pb.SyncRequest) (*pb.SyncReply, error) {
	var reply *pb.SyncReply
	var hasOrders bool
	var woken <-chan struct{}
	err := s.core.Do(ctx, func(c *Core, now time.Time) {
		if !c.recordRenewal(now, in) {
			reply, hasOrders = &pb.SyncReply{NotLeader: true}, true
			return
		}
		reply, hasOrders = c.syncReply(in)
		if !hasOrders && in.GetWait() > 0 {
			woken = c.addWorkerWaiter(in.GetWorker().GetId())
		}
	})
	if err != nil || hasOrders || woken == nil {
		return reply, err
	}
	if !waitForSignal(ctx, woken, time.Duration(in.GetWait())) {
		return reply, nil
	}
	err = s.core.Do(ctx, func(c *Core, now time.Time) {
		if c.holdsLease(now) {
			reply, _ = c.syncReply(in)
			return
		}
		reply = &pb.SyncReply{NotLeader: true}
	})
	return reply, err
}

// waitForSignal reports whether woken was closed within d and _maxLongPoll.
func waitForSignal(ctx context.Context, woken <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(min(d, _maxLongPoll))
	defer t.Stop()
	select {
	case <-woken:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// Watch streams the changes of the view after a revision.
func (s *rpcService) Watch(in *pb.WatchRequest, stream pb.DRPCController_WatchStream) error {
	revision := in.GetRevision()
	bookmark := time.NewTicker(control.BookmarkInterval)
	defer bookmark.Stop()
	loaded := false
	for {
		if !s.core.feed.CanServe() {
			return fault.New(fault.NotReady, "this controller has no contact with its leader")
		}
		update, ok, updated := s.core.feed.ChangesSince(revision)
		if !ok || !loaded && revision == 0 {
			err := s.core.Do(stream.Context(), func(c *Core, _ time.Time) { update = feed.SnapshotUpdate(c.machine) })
			if err != nil {
				return err
			}
		}
		loaded = true
		if update.GetRevision() >= revision {
			if err := stream.Send(update); err != nil {
				return err
			}
			revision = update.GetRevision()
		}
		select {
		case <-updated:
		case <-bookmark.C:
		case <-s.core.stopped:
			return errStopped
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// Report records the revision of the view that a holder has.
func (s *rpcService) Report(ctx context.Context, in *pb.HolderReport) (*pb.Empty, error) {
	err := s.core.Do(ctx, func(c *Core, now time.Time) {
		c.holders[in.GetHolder()] = Holder{
			Name: in.GetHolder(), Role: in.GetRole(), Revision: in.GetRevision(), ReportedAt: now,
		}
	})
	return &pb.Empty{}, err
}

// Jobs reads one job, waiting for its end if requested, or lists jobs.
func (s *rpcService) Jobs(ctx context.Context, in *pb.JobQuery) (*pb.JobAnswer, error) {
	out, woken, err := s.readJobs(ctx, in)
	if err != nil || woken == nil {
		return out, err
	}
	if waitForSignal(ctx, woken, time.Duration(in.GetWait())) {
		out, _, err = s.readJobs(ctx, in)
	}
	return out, err
}

func (s *rpcService) readJobs(ctx context.Context, in *pb.JobQuery) (*pb.JobAnswer, <-chan struct{}, error) {
	out := &pb.JobAnswer{}
	var woken <-chan struct{}
	err := s.core.Do(ctx, func(c *Core, now time.Time) {
		if !c.holdsLease(now) {
			out.NotLeader = true
			out.LeaderAddress = c.leaderAddress()
			return
		}
		if in.GetId() == "" {
			listJobs(c.machine.Jobs().Jobs(), in, out)
			return
		}
		j, ok := c.machine.Jobs().Job(in.GetId())
		if !ok {
			return
		}
		out.Jobs = append(out.Jobs, wire.EncodeJob(j))
		if !j.State.Ended() && in.GetWait() > 0 {
			woken = c.addJobWaiter(j.ID)
		}
	})
	return out, woken, err
}

func listJobs(jobs []job.Job, in *pb.JobQuery, out *pb.JobAnswer) {
	limit := int(in.GetLimit())
	if limit <= 0 || limit > _maxJobPage {
		limit = _maxJobPage
	}
	past := in.GetAfter() == ""
	for _, j := range jobs {
		if !past {
			past = j.ID == in.GetAfter()
			continue
		}
		if in.GetEntry() != "" && in.GetEntry() != j.Entry || in.GetState() != 0 && in.GetState() != uint32(j.State) {
			continue
		}
		if len(out.Jobs) == limit {
			out.Next = out.Jobs[limit-1].GetId()
			return
		}
		j.Body, j.Result, j.Checkpoint = nil, nil, nil
		out.Jobs = append(out.Jobs, wire.EncodeJob(j))
	}
}

// Step receives another replica's messages. It sends heartbeats, so that the
// other side notices an unresponsive connection.
func (s *rpcService) Step(stream pb.DRPCController_StepStream) error {
	done := make(chan struct{})
	senderDone := make(chan struct{})
	go func() {
		defer close(senderDone)
		sendHeartbeats(stream, done)
	}()
	defer func() {
		close(done)
		<-senderDone
	}()
	for {
		in, err := stream.Recv()
		if err != nil {
			return err
		}
		m, err := wire.DecodeReplicaMessage(in)
		if err != nil {
			return err
		}
		s.peers.UpdateAddress(m.From, in.GetFromAddress())
		if err := s.core.Deliver(stream.Context(), m); err != nil {
			return err
		}
	}
}

func sendHeartbeats(stream pb.DRPCController_StepStream, done <-chan struct{}) {
	t := time.NewTicker(_heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-stream.Context().Done():
			return
		case <-t.C:
			if err := stream.Send(&pb.Empty{}); err != nil {
				return
			}
		}
	}
}
