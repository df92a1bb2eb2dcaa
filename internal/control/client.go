// Package control is the client of the controllers that entry and agent
// instances use.
//
// Every command of the shared state can be sent again without harm, so the
// client tries the controllers in turn until one answers or the context ends.
package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/link"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/state"
)

const (
	_attemptTimeout = 600 * time.Millisecond // of one try at one controller
	_firstPause     = 10 * time.Millisecond  // before the second try
	_longestPause   = 200 * time.Millisecond
)

// Client calls whichever controller leads.
type Client struct {
	seeds     atomic.Pointer[[]string] // from the settings
	addresses atomic.Pointer[[]string] // of the members, as learnt last, and the seeds
	pool      link.Pool
	leader    atomic.Pointer[string] // address that led at the last call
	turn      atomic.Uint32
	hint      func() string // address that is known to lead; "" if none is; nil for no hint
}

// SetHint has the client ask hint first where the leader is. It is called
// before the client is used.
func (c *Client) SetHint(hint func() string) { c.hint = hint }

// NewClient returns a client of the controllers at the given addresses.
func NewClient(addresses []string) *Client {
	c := &Client{}
	c.SetSeeds(addresses)
	return c
}

// SetSeeds replaces the addresses that the settings name. They are asked until
// one has told who the members are.
func (c *Client) SetSeeds(addresses []string) {
	c.seeds.Store(&addresses)
	c.addresses.Store(&addresses)
}

// Learn notes the addresses of the group's members. The seeds are kept beside
// them, since all members may be replaced while this client hears nothing.
func (c *Client) Learn(members []string) {
	if len(members) == 0 {
		return
	}
	all := slices.Clone(members)
	for _, s := range *c.seeds.Load() {
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	c.addresses.Store(&all)
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }

// Expire closes connections that have been idle for too long.
func (c *Client) Expire(now time.Time) { c.pool.Expire(now) }

// Any returns one of the controllers' addresses, another one with each call.
func (c *Client) Any() string {
	all := *c.addresses.Load()
	return all[int(c.turn.Add(1))%len(all)]
}

// LeaderAddress returns the address that is known to lead, the one that led at
// the last call, or any.
func (c *Client) LeaderAddress() string {
	if c.hint != nil {
		if l := c.hint(); l != "" {
			return l
		}
	}
	if l := c.leader.Load(); l != nil {
		return *l
	}
	return c.Any()
}

// reply is what every call to a leader answers besides its own fields.
type reply interface {
	GetNotLeader() bool
	GetLeaderAddress() string
}

// attempt makes one try at one controller.
type attempt func(ctx context.Context, client pb.DRPCControllerClient) (reply, error)

// call tries the controllers until one that leads has answered. The returned
// flag tells whether a try may have had an effect although it failed.
func (c *Client) call(ctx context.Context, timeout time.Duration, try attempt) (maybe bool, err error) {
	pause := _firstPause
	address := c.LeaderAddress()
	for {
		r, err := c.once(ctx, timeout, address, try)
		if err == nil && !r.GetNotLeader() {
			c.leader.Store(&address)
			return maybe, nil
		}
		next := ""
		if err != nil {
			maybe = true
			c.leader.Store(nil)
		} else {
			next = r.GetLeaderAddress()
		}
		if next == "" || next == address {
			next = c.Any()
		}
		address = next
		if !clock.Sleep(ctx, pause) {
			return maybe, ctx.Err()
		}
		pause = min(2*pause, _longestPause)
	}
}

func (c *Client) once(ctx context.Context, timeout time.Duration, address string, try attempt) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.pool.Take(ctx, time.Now(), address)
	if err != nil {
		return nil, err
	}
	r, err := try(ctx, pb.NewDRPCControllerClient(conn))
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	c.pool.Give(time.Now(), address, conn)
	return r, nil
}

// Propose has a command applied and returns its outcome. Without an outcome
// the error is NoLeader if the command was certainly not applied, and
// MaybeApplied otherwise.
func (c *Client) Propose(ctx context.Context, cmd state.Command) (state.Outcome, error) {
	in := &pb.ProposeRequest{Command: wire.EncodeCommand(cmd)}
	var out *pb.ProposeReply
	uncertain := false
	maybe, err := c.call(ctx, _attemptTimeout, func(ctx context.Context, client pb.DRPCControllerClient) (reply, error) {
		r, err := client.Propose(ctx, in)
		if err == nil && r.GetMaybeApplied() {
			uncertain = true
			r.NotLeader = true
		}
		out = r
		return r, err
	})
	if err != nil {
		if maybe || uncertain {
			return state.Outcome{}, fault.Wrap(fault.MaybeApplied, err, "no controller confirmed the change")
		}
		return state.Outcome{}, fault.Wrap(fault.NoLeader, err, "no controller leads")
	}
	o := wire.DecodeOutcome(out.GetOutcome())
	return o, o.Err
}

// Barrier returns a revision that includes all changes accepted before the
// call.
func (c *Client) Barrier(ctx context.Context) (uint64, error) {
	var out *pb.BarrierReply
	_, err := c.call(ctx, _attemptTimeout, func(ctx context.Context, client pb.DRPCControllerClient) (reply, error) {
		r, err := client.Barrier(ctx, &pb.Empty{})
		out = r
		return r, err
	})
	if err != nil {
		return 0, fault.Wrap(fault.NoLeader, err, "no controller leads")
	}
	return out.GetRevision(), nil
}

// Sync announces an agent and renews its leases.
func (c *Client) Sync(ctx context.Context, in *pb.SyncRequest, timeout time.Duration) (*pb.SyncReply, error) {
	var out *pb.SyncReply
	_, err := c.call(ctx, timeout, func(ctx context.Context, client pb.DRPCControllerClient) (reply, error) {
		r, err := client.Sync(ctx, in)
		out = r
		return r, err
	})
	return out, err
}

// JobQuery asks for jobs. With an ID it names one job, and Wait is how long to
// wait for its end; otherwise it lists jobs by entry and state.
type JobQuery struct {
	ID    string
	Wait  time.Duration
	Entry string
	State job.State
	After string // identifier after which the page starts
	Limit int
}

// JobPage is a page of jobs.
type JobPage struct {
	Jobs []job.Job
	Next string // After of the next page; empty at the end
}

// Jobs reads jobs as of now.
func (c *Client) Jobs(ctx context.Context, q JobQuery) (JobPage, error) {
	in := &pb.JobQuery{
		Id: q.ID, Wait: int64(q.Wait), Entry: q.Entry, State: uint32(q.State), After: q.After, Limit: int32(q.Limit),
	}
	var out *pb.JobAnswer
	_, err := c.call(ctx, _attemptTimeout+q.Wait, func(ctx context.Context, client pb.DRPCControllerClient) (reply, error) {
		r, err := client.Jobs(ctx, in)
		out = r
		return r, err
	})
	if err != nil {
		return JobPage{}, fault.Wrap(fault.NoLeader, err, "no controller leads")
	}
	page := JobPage{Next: out.GetNext()}
	for _, j := range out.GetJobs() {
		page.Jobs = append(page.Jobs, wire.DecodeJob(j))
	}
	return page, nil
}

// Report tells the leader which revision a holder has in force.
func (c *Client) Report(ctx context.Context, holder, role string, revision uint64) error {
	address := c.LeaderAddress()
	conn, err := c.pool.Take(ctx, time.Now(), address)
	if err != nil {
		return err
	}
	client := pb.NewDRPCControllerClient(conn)
	if _, err := client.Report(ctx, &pb.HolderReport{Holder: holder, Role: role, Revision: revision}); err != nil {
		_ = conn.Close()
		return err
	}
	c.pool.Give(time.Now(), address, conn)
	return nil
}
