package control

import (
	"context"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/link"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/queue"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// Verb is the operation that a caller requests at a queue's path.
type Verb uint8

const (
	// Submit submits a submission.
	Submit Verb = iota + 1
	// Describe returns a submission's state.
	Describe
	// Cancel ends a submission.
	Cancel
	// Count returns how many of the queue's submissions have not started.
	Count
	// Explain returns where the tasks of a submission would start now, without submitting it.
	Explain
)

// String returns the verb in lower case.
func (v Verb) String() string {
	if v < Submit || v > Explain {
		return "unknown"
	}
	return [...]string{"submit", "describe", "cancel", "count", "explain"}[v-Submit]
}

// Call is a caller's request at a queue's path.
type Call struct {
	Host      string
	Path      string
	Verb      Verb
	Spec      submission.Spec // of a Submit or an Explain
	Malformed string          // why the body of a Submit could not be decoded; empty if it could
}

// CallAnswer is the answer to a Call that succeeded.
type CallAnswer struct {
	State    submission.State // of a Describe
	Pending  int              // of a Count
	Forecast *pb.Forecast     // of an Explain
}

// Call sends a caller's request to the leader. If no leader answers, the error is
// NoLeader if the request certainly had no effect, and MaybeApplied otherwise. It is
// MaybeApplied also if the leader rejects the request although an earlier attempt may have
// been accepted.
func (c *Client) Call(ctx context.Context, call Call) (CallAnswer, error) {
	in := &pb.CallRequest{Host: call.Host, Path: call.Path, Verb: uint32(call.Verb), Malformed: call.Malformed}
	if call.Verb == Submit || call.Verb == Explain {
		in.Spec = wire.EncodeSubmissionSpec(call.Spec)
	}
	var out *pb.CallReply
	unconfirmed := false
	kind := readCall
	if call.Verb == Submit || call.Verb == Cancel {
		kind = commandCall
	}
	maybeApplied, err := c.callLeader(ctx, kind, _attemptTimeout, func(ctx context.Context, client pb.DRPCControllerClient) (reply, error) {
		r, err := client.Call(ctx, in)
		if err == nil && fault.Code(r.GetCode()) == fault.MaybeApplied {
			unconfirmed = true
			r.NotLeader = true // retry, which is safe
		}
		out = r
		return r, err
	})
	switch {
	case err != nil && (maybeApplied || unconfirmed):
		return CallAnswer{}, fault.Wrap(fault.MaybeApplied, err, "no controller confirmed the call")
	case err != nil:
		return CallAnswer{}, fault.Wrap(fault.NoLeader, err, "no controller leads")
	}
	if code := fault.Code(out.GetCode()); code != fault.OK && code != 0 {
		if (maybeApplied || unconfirmed) && mayContradictEarlierAttempt(code) {
			return CallAnswer{}, fault.New(fault.MaybeApplied, "an earlier attempt had no answer: %s", out.GetMessage())
		}
		return CallAnswer{}, fault.New(code, "%s", out.GetMessage()).WithRetryAfter(time.Duration(out.GetRetryAfter()))
	}
	return CallAnswer{State: submission.State(out.GetState()), Pending: int(out.GetPending()), Forecast: out.GetForecast()}, nil
}

// ReplaceQueues replaces the table of queues.
func (c *Client) ReplaceQueues(ctx context.Context, t queue.Table) error {
	_, err := c.Propose(ctx, state.ReplaceQueues{Table: t})
	return err
}

// Queues returns the current table of queues.
func (c *Client) Queues(ctx context.Context) (queue.Table, error) {
	var out *pb.QueuesReply
	_, err := c.callLeader(ctx, readCall, _attemptTimeout, func(ctx context.Context, client pb.DRPCControllerClient) (reply, error) {
		r, err := client.Queues(ctx, &pb.Empty{})
		out = r
		return r, err
	})
	if err != nil {
		return queue.Table{}, fault.Wrap(fault.NoLeader, err, "no controller leads")
	}
	return wire.DecodeQueueTable(out.GetTable()), nil
}

// StartEvacuation evacuates an availability zone: nothing is started on its workers.
func (c *Client) StartEvacuation(ctx context.Context, zone string) error {
	_, err := c.Propose(ctx, state.StartEvacuation{Zone: zone})
	return err
}

// FinishEvacuation ends the evacuation of an availability zone.
func (c *Client) FinishEvacuation(ctx context.Context, zone string) error {
	_, err := c.Propose(ctx, state.FinishEvacuation{Zone: zone})
	return err
}

// Join requests membership for a controller from the leader.
func (c *Client) Join(ctx context.Context, id, address string) error {
	_, err := c.callLeader(ctx, readCall, _attemptTimeout, func(ctx context.Context, client pb.DRPCControllerClient) (reply, error) {
		r, err := client.Join(ctx, &pb.JoinRequest{Id: id, Address: address})
		c.SetMembers(r.GetControllers())
		return r, err
	})
	return err
}

// RefreshMembers updates the members' addresses from one controller.
func (c *Client) RefreshMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, _attemptTimeout)
	defer cancel()
	address := c.NextAddress(&c.refreshes)
	conn, err := c.pool.Get(ctx, clock.Now(), address)
	if err != nil {
		return err
	}
	out, err := pb.NewDRPCControllerClient(conn).Members(ctx, &pb.Empty{})
	if err != nil {
		_ = conn.Close()
		return err
	}
	c.pool.Put(clock.Now(), address, conn)
	c.SetMembers(out.GetControllers())
	return nil
}

// AgentStream is an agent's stream to one controller.
type AgentStream struct {
	conn   *link.Conn
	stream pb.DRPCController_AttachClient
}

// Attach opens an agent's stream to a controller. The stream ends with ctx;
// dialCtx limits how long the connection may take to open.
func (c *Client) Attach(ctx, dialCtx context.Context, address string) (*AgentStream, error) {
	conn, err := link.Dial(dialCtx, address)
	if err != nil {
		return nil, err
	}
	stream, err := pb.NewDRPCControllerClient(conn).Attach(ctx)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &AgentStream{conn: conn, stream: stream}, nil
}

// Send sends a report.
func (s *AgentStream) Send(r *pb.AgentReport) error { return s.stream.Send(r) }

// Recv waits for an order.
func (s *AgentStream) Recv() (*pb.AgentOrder, error) { return s.stream.Recv() }

// Close ends the stream.
func (s *AgentStream) Close() { _ = s.conn.Close() }
