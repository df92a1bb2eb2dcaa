package control

import (
	"context"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
)

// rejectingLeader leads and rejects all commands with one code.
type rejectingLeader struct {
	fakeController
	code fault.Code
}

func (r *rejectingLeader) Call(context.Context, *pb.CallRequest) (*pb.CallReply, error) {
	return &pb.CallReply{Code: int32(r.code), Message: "rejected"}, nil
}

func (r *rejectingLeader) Propose(context.Context, *pb.ProposeRequest) (*pb.ProposeReply, error) {
	return &pb.ProposeReply{Outcome: wire.EncodeOutcome(state.Outcome{Err: fault.New(r.code, "rejected")})}, nil
}

func (h *hangingLeader) Propose(ctx context.Context, _ *pb.ProposeRequest) (*pb.ProposeReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestRejectionDoesNotContradictEarlierAttempt guards against a final rejection of a command
// that an earlier leader may have accepted before it fell silent: the caller must not take it
// for work that never runs.
func TestRejectionDoesNotContradictEarlierAttempt(t *testing.T) {
	for _, tc := range []struct {
		code, want fault.Code
	}{
		{fault.EntryNotFound, fault.MaybeApplied},
		{fault.NotReady, fault.MaybeApplied},
		{fault.Overloaded, fault.MaybeApplied},
		{fault.BadRequest, fault.BadRequest}, // whatever the state
		{fault.JobNotFound, fault.JobNotFound},
	} {
		t.Run(tc.code.Name(), func(t *testing.T) {
			t.Parallel()
			rejecting := serveController(t, &rejectingLeader{fakeController{leads: true}, tc.code})
			hanging := serveController(t, &hangingLeader{fakeController{leads: true}})
			calls := map[string]func(context.Context, *Client) error{
				"submit": func(ctx context.Context, c *Client) error {
					_, err := c.Call(ctx, Call{Verb: Submit, Path: "/q/0123456789abcdef"})
					return err
				},
				"cancel": func(ctx context.Context, c *Client) error {
					_, err := c.Call(ctx, Call{Verb: Cancel, Path: "/q/0123456789abcdef"})
					return err
				},
				"propose": func(ctx context.Context, c *Client) error {
					_, err := c.Propose(ctx, state.CancelJob{ID: "a"})
					return err
				},
			}
			for name, call := range calls {
				for _, earlier := range []bool{true, false} {
					addresses, want := []string{rejecting}, tc.code
					if earlier {
						addresses, want = []string{hanging, rejecting}, tc.want
					}
					c := NewClient(addresses)
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					if err := call(ctx, c); fault.CodeOf(err) != want {
						t.Errorf("%s, earlier attempt without an answer %t: got %v, want %s", name, earlier, err, want.Name())
					}
					cancel()
					c.Close()
				}
			}
		})
	}
}
