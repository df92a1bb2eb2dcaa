package controller

import (
	"cmp"
	"context"
	"path"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// Call handles a caller's request at a queue's path.
func (s *rpcService) Call(ctx context.Context, in *pb.CallRequest) (*pb.CallReply, error) {
	out := &pb.CallReply{}
	var cmd state.Command
	err := s.core.Do(ctx, func(c *Core, now time.Time) {
		if !c.holdsLease(now) {
			out.NotLeader = true
			out.LeaderAddress = c.leaderAddress()
			return
		}
		cmd = c.handleCall(in, out)
		if out.GetCode() != 0 && control.Verb(in.GetVerb()) != control.Explain {
			c.log.Emit(event.SubmissionRejected, event.Fields{
				"submission": path.Base(in.GetPath()), "verb": control.Verb(in.GetVerb()).String(),
				"code": fault.Code(out.GetCode()).Name(), "reason": out.GetMessage(),
			}, "call rejected")
		}
	})
	if err != nil || cmd == nil {
		return out, err
	}
	o, err := s.core.Propose(ctx, cmd)
	if err == nil {
		err = o.Err
	}
	if fault.CodeOf(err) == fault.NoLeader {
		if submit, ok := cmd.(state.Submit); ok {
			s.releaseWork(ctx, submissionName(submit.Submission.ID))
		}
		return &pb.CallReply{NotLeader: true, LeaderAddress: s.leaderAddress(ctx)}, nil
	}
	setFault(out, err)
	return out, nil
}

// handleCall answers from the state, or returns the command that must be
// applied before the answer. A submission that was accepted is known also when its queue
// has been removed.
func (c *Core) handleCall(in *pb.CallRequest, out *pb.CallReply) state.Command {
	table := c.machine.Queues()
	if table.Version == 0 {
		setFault(out, fault.New(fault.NotReady, "no table of queues is effective"))
		return nil
	}
	verb := control.Verb(in.GetVerb())
	q, id, hasQueue := table.Match(in.GetHost(), in.GetPath())
	if !hasQueue {
		id = path.Base(in.GetPath())
	}
	store := c.machine.Submissions()
	existing, exists := store.Submission(id)
	if !hasQueue && (!exists || verb == control.Count) {
		setFault(out, fault.New(fault.EntryNotFound, "no queue at %s%s", in.GetHost(), in.GetPath()))
		return nil
	}
	switch verb {
	case control.Count:
		out.Pending = int64(store.Pending(q.Name, func(id string) bool { return c.sessions.started[id] }))
	case control.Describe:
		if !exists {
			setFault(out, fault.New(fault.JobNotFound, "no submission %q", id))
			return nil
		}
		out.State = uint32(existing.State)
	case control.Cancel:
		if !exists {
			setFault(out, fault.New(fault.JobNotFound, "no submission %q", id))
			return nil
		}
		return state.CancelSubmission{ID: id}
	case control.Submit:
		if exists {
			return nil // a retry of an accepted submission
		}
		return c.handleSubmit(in, out, q.Name, id, c.admitWork)
	case control.Explain:
		if exists {
			out.Forecast = c.repeatedForecast()
			return nil
		}
		// What is recorded as proposed is only removed when it is applied.
		c.forecast(out, c.handleSubmit(in, out, q.Name, id, c.checkWork))
	default:
		setFault(out, fault.New(fault.BadRequest, "unsupported verb %d", in.GetVerb()))
	}
	return nil
}

// handleSubmit returns the command of a submission that admit admits.
func (c *Core) handleSubmit(in *pb.CallRequest, out *pb.CallReply, queue, id string, admit func(string, work) error) state.Command {
	if in.GetMalformed() != "" {
		setFault(out, fault.New(fault.BadRequest, "%s", in.GetMalformed()))
		return nil
	}
	if !submission.IsValidID(id) {
		setFault(out, fault.New(fault.BadRequest, "the identifier %q is empty or has a dot", id))
		return nil
	}
	spec := wire.DecodeSubmissionSpec(in.GetSpec())
	spec.ID, spec.Queue = id, queue
	if err := spec.Validate(); err != nil {
		setFault(out, fault.New(fault.BadRequest, "%s", err))
		return nil
	}
	if err := admit(submissionName(id), submissionWork(&spec)); err != nil {
		setFault(out, err)
		return nil
	}
	return state.Submit{Submission: submission.Submission{Spec: spec}}
}

func setFault(out *pb.CallReply, err error) {
	if err == nil {
		return
	}
	f := fault.From(err)
	out.Code = int32(f.Code())
	out.Message = f.Message()
	out.RetryAfter = int64(f.RetryAfter())
}

// Queues returns the current table of queues.
func (s *rpcService) Queues(ctx context.Context, _ *pb.Empty) (*pb.QueuesReply, error) {
	out := &pb.QueuesReply{}
	err := s.core.Do(ctx, func(c *Core, now time.Time) {
		if !c.holdsLease(now) {
			out.NotLeader = true
			out.LeaderAddress = c.leaderAddress()
			return
		}
		out.Table = wire.EncodeQueueTable(*c.machine.Queues())
	})
	return out, err
}

// Join records a controller's request to become a member.
func (s *rpcService) Join(ctx context.Context, in *pb.JoinRequest) (*pb.JoinReply, error) {
	out := &pb.JoinReply{}
	err := s.core.Do(ctx, func(c *Core, now time.Time) {
		out.LeaderAddress = c.leaderAddress()
		out.Controllers = c.memberAddresses()
		if !c.holdsLease(now) {
			out.NotLeader = true
			return
		}
		c.recordApplicant(now, replica.ID(in.GetId()), in.GetAddress())
	})
	return out, err
}

// Members returns the addresses of the group's members.
func (s *rpcService) Members(ctx context.Context, _ *pb.Empty) (*pb.MembersReply, error) {
	out := &pb.MembersReply{}
	err := s.core.Do(ctx, func(c *Core, _ time.Time) {
		out.LeaderAddress = c.leaderAddress()
		out.Controllers = c.memberAddresses()
	})
	return out, err
}

// Attach serves an agent's stream: it receives reports and sends orders.
func (s *rpcService) Attach(stream pb.DRPCController_AttachStream) error {
	ctx := stream.Context()
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	sess, leader, err := s.attach(ctx, stream, first)
	if err != nil {
		return err
	}
	if sess == nil {
		return stream.Send(&pb.AgentOrder{NotLeader: true, LeaderAddress: leader})
	}
	done := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() { sendOrders(stream, sess.outbox, done) })
	defer sender.Wait()
	defer close(done)
	defer func() { _ = s.core.Do(context.WithoutCancel(ctx), func(c *Core, _ time.Time) { c.detach(sess) }) }()
	for {
		in, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := s.core.Do(ctx, func(c *Core, now time.Time) { c.handleReport(now, sess, in) }); err != nil {
			return err
		}
	}
}

// Times for which an agent's stream waits for a leader.
const (
	_attachWait      = time.Second            // until the agent is told to ask another controller
	_attachKeepAlive = 250 * time.Millisecond // between orders without content, which show that this controller answers
)

// attach attaches an agent, or returns the leader's address. While no leader is
// known it waits: after a loss of all controllers, agents that keep asking would
// take the processor time that the election needs.
func (s *rpcService) attach(ctx context.Context, stream pb.DRPCController_AttachStream, first *pb.AgentReport) (sess *session, leader string, err error) {
	began := clock.Now()
	for {
		var settled bool
		var changed <-chan struct{}
		if err := ctx.Err(); err != nil {
			return nil, "", err // the report may be out of date
		}
		if err := s.core.Do(ctx, func(c *Core, now time.Time) {
			sess = c.attach(now, first)
			leader = c.leaderAddress()
			settled, changed = leader != "" && c.leadership.mayAct(), c.leadership.changed
		}); err != nil {
			return nil, "", err
		}
		if sess != nil || settled || clock.Now().Sub(began) >= cmp.Or(s.attachWait, _attachWait) {
			return sess, leader, nil
		}
		if !waitForSignal(ctx, changed, _attachKeepAlive) {
			if err := stream.Send(&pb.AgentOrder{}); err != nil {
				return nil, "", err
			}
		}
	}
}

// sendOrders sends the outbox's orders until the outbox or done is closed.
func sendOrders(stream pb.DRPCController_AttachStream, out *outbox, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-out.signal:
		}
		orders, closed := out.popAll()
		for _, o := range orders {
			for _, part := range splitOrder(o) {
				if err := stream.Send(part); err != nil {
					return
				}
			}
		}
		if closed {
			// NotLeader makes the agent search for the leader again.
			_ = stream.Send(&pb.AgentOrder{NotLeader: true})
			return
		}
	}
}
