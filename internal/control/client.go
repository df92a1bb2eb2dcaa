// Package control implements the client of the controllers. Entry instances,
// agents, the operator API and joining controllers use the client.
//
// Every command of the shared state is idempotent, so the client tries the
// controllers in turn until the leader answers or the context ends.
package control

import (
	"context"
	"errors"
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
	_attemptTimeout   = 600 * time.Millisecond // of one attempt at one controller
	_minRetryInterval = 10 * time.Millisecond  // before the second attempt; doubles with each attempt
	_maxRetryInterval = 200 * time.Millisecond
	// Age of a controller's latest answer from which the controller must answer a
	// probe before it gets a command. A command that is lost with a controller has
	// an unknown outcome; a lost probe has none.
	_maxUnprobedAge = 200 * time.Millisecond
	_probeTimeout   = 300 * time.Millisecond
)

// Client calls the leader of the controllers.
type Client struct {
	seeds      atomic.Pointer[[]string] // from the configuration
	members    atomic.Pointer[[]string] // latest known members; nil if there are none
	pool       link.Pool
	leader     atomic.Pointer[string] // address that answered the last call as the leader
	rotation   Rotation               // of the calls of the leader
	watches    Rotation               // of FollowView
	refreshes  Rotation               // of RefreshMembers
	leaderHint func() string          // returns the leader's address, "" if unknown; nil for no hint
}

// SetLeaderHint makes the client ask leaderHint for the leader's address first.
// It must be called before the client is used.
func (c *Client) SetLeaderHint(leaderHint func() string) { c.leaderHint = leaderHint }

// NewClient returns a client of the controllers at the given addresses.
func NewClient(addresses []string) *Client {
	c := &Client{}
	c.SetSeeds(addresses)
	return c
}

// SetSeeds replaces the configured addresses. The known members stay in use, since the
// seeds may be the ones that do not answer.
func (c *Client) SetSeeds(addresses []string) { c.seeds.Store(&addresses) }

// SetMembers sets the addresses of the group's members. The seeds stay in use,
// since all members may be replaced while this client has no contact.
func (c *Client) SetMembers(members []string) {
	if len(members) == 0 {
		return
	}
	members = slices.Clone(members)
	c.members.Store(&members)
}

// addresses returns the addresses of the known members and the seeds.
func (c *Client) addresses() []string {
	var all []string
	if m := c.members.Load(); m != nil {
		all = slices.Clone(*m)
	}
	for _, s := range *c.seeds.Load() {
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return all
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }

// CloseExpired closes connections that have been idle for too long.
func (c *Client) CloseExpired(now time.Time) { c.pool.CloseExpired(now) }

// NextAddress returns the controller whose turn it is in a rotation.
func (c *Client) NextAddress(r *Rotation) string {
	return r.next(c.addresses(), func(string) bool { return false })
}

// LeaderAddress returns the leader's address from the hint, else that of the
// leader at the last call, else the next address in rotation.
func (c *Client) LeaderAddress() string {
	if l := c.knownLeader(); l != "" {
		return l
	}
	return c.NextAddress(&c.rotation)
}

// knownLeader returns the leader's address from the hint, else that of the leader at
// the last call, else "".
func (c *Client) knownLeader() string {
	if c.leaderHint != nil {
		if l := c.leaderHint(); l != "" {
			return l
		}
	}
	if l := c.leader.Load(); l != nil {
		return *l
	}
	return ""
}

// forgetLeader forgets the leader of the last call if it has the given address.
func (c *Client) forgetLeader(address string) {
	if l := c.leader.Load(); l != nil && *l == address {
		c.leader.CompareAndSwap(l, nil)
	}
}

// reply has the fields that all replies to calls of the leader contain.
type reply interface {
	GetNotLeader() bool
	GetLeaderAddress() string
}

// callFunc makes one attempt at one controller.
type callFunc func(ctx context.Context, client pb.DRPCControllerClient) (reply, error)

// callKind says whether a call may change the state.
type callKind uint8

const (
	// readCall calls have no effect if their answer is lost.
	readCall callKind = iota + 1
	// commandCall calls may have taken effect if their answer is lost. They are sent
	// only to a controller that has just answered.
	commandCall
)

// errNotSent means that an attempt failed before the call was sent.
var errNotSent = errors.New("the controller does not answer")

// callLeader tries the controllers until the leader answers. maybeApplied is true
// if an attempt failed that may have taken effect.
func (c *Client) callLeader(ctx context.Context, kind callKind, timeout time.Duration, try callFunc) (maybeApplied bool, err error) {
	retryInterval := _minRetryInterval
	search := newLeaderSearch(c)
	hint := ""
	for {
		address := search.next(hint)
		r, err := c.callOnce(ctx, kind, timeout, address, try)
		if err == nil && !r.GetNotLeader() {
			c.leader.Store(&address)
			return maybeApplied, nil
		}
		hint = ""
		c.forgetLeader(address)
		if err != nil {
			maybeApplied = maybeApplied || !errors.Is(err, errNotSent)
		} else {
			hint = r.GetLeaderAddress()
		}
		if !clock.Sleep(ctx, retryInterval) {
			return maybeApplied, ctx.Err()
		}
		retryInterval = min(2*retryInterval, _maxRetryInterval)
	}
}

func (c *Client) callOnce(ctx context.Context, kind callKind, timeout time.Duration, address string, try callFunc) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.pool.Get(ctx, clock.Now(), address)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	client := pb.NewDRPCControllerClient(conn)
	if kind == commandCall && conn.IdleTime(clock.Now()) > _maxUnprobedAge {
		if r, err := probe(ctx, client); err != nil || r.GetNotLeader() {
			return c.endProbe(address, conn, r, err)
		}
	}
	r, err := try(ctx, client)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	c.pool.Put(clock.Now(), address, conn)
	return r, nil
}

// probe asks a controller whether it leads.
func probe(ctx context.Context, client pb.DRPCControllerClient) (*pb.BarrierReply, error) {
	ctx, cancel := context.WithTimeout(ctx, _probeTimeout)
	defer cancel()
	return client.Barrier(ctx, &pb.Empty{})
}

// endProbe ends an attempt at a controller that does not lead or does not answer
// a probe.
func (c *Client) endProbe(address string, conn *link.Conn, r *pb.BarrierReply, err error) (reply, error) {
	if err != nil {
		_ = conn.Close()
		return nil, errors.Join(errNotSent, err)
	}
	c.pool.Put(clock.Now(), address, conn)
	return r, nil
}

// Propose submits a command and returns its outcome. Without an outcome, or with one that
// an earlier attempt may contradict, the error is NoLeader if the command was certainly not
// applied, and MaybeApplied otherwise.
func (c *Client) Propose(ctx context.Context, cmd state.Command) (state.Outcome, error) {
	in := &pb.ProposeRequest{Command: wire.EncodeCommand(cmd)}
	var out *pb.ProposeReply
	unconfirmed := false
	maybeApplied, err := c.callLeader(ctx, commandCall, _attemptTimeout, func(ctx context.Context, client pb.DRPCControllerClient) (reply, error) {
		r, err := client.Propose(ctx, in)
		if err == nil && r.GetMaybeApplied() {
			unconfirmed = true
			r.NotLeader = true
		}
		out = r
		return r, err
	})
	if err != nil {
		if maybeApplied || unconfirmed {
			return state.Outcome{}, fault.Wrap(fault.MaybeApplied, err, "no controller confirmed the change")
		}
		return state.Outcome{}, fault.Wrap(fault.NoLeader, err, "no controller leads")
	}
	o := wire.DecodeOutcome(out.GetOutcome())
	if o.Err != nil && (maybeApplied || unconfirmed) && mayContradictEarlierAttempt(fault.CodeOf(o.Err)) {
		return state.Outcome{}, fault.Wrap(fault.MaybeApplied, o.Err, "an earlier attempt had no answer")
	}
	return o, o.Err
}

// mayContradictEarlierAttempt reports whether a rejection says that a command certainly has
// no effect, although an earlier attempt may have been accepted: what it lacks may have been
// there then, or may be there when that attempt is carried out. Faults of the request itself
// hold for all attempts.
func mayContradictEarlierAttempt(code fault.Code) bool {
	switch code {
	case fault.EntryNotFound, fault.ZoneNotFound, fault.WrongClass, fault.NotReady, fault.NoLeader, fault.Overloaded, fault.QueueTimeout, fault.Draining:
		return true
	}
	return false
}

// Barrier returns a revision that includes all changes accepted before the
// call.
func (c *Client) Barrier(ctx context.Context) (uint64, error) {
	var out *pb.BarrierReply
	_, err := c.callLeader(ctx, readCall, _attemptTimeout, func(ctx context.Context, client pb.DRPCControllerClient) (reply, error) {
		r, err := client.Barrier(ctx, &pb.Empty{})
		out = r
		return r, err
	})
	if err != nil {
		return 0, fault.Wrap(fault.NoLeader, err, "no controller leads")
	}
	return out.GetRevision(), nil
}

// Sync announces an agent's worker, renews the worker's lease and returns the
// agent's orders.
func (c *Client) Sync(ctx context.Context, in *pb.SyncRequest, timeout time.Duration) (*pb.SyncReply, error) {
	var out *pb.SyncReply
	_, err := c.callLeader(ctx, readCall, timeout, func(ctx context.Context, client pb.DRPCControllerClient) (reply, error) {
		r, err := client.Sync(ctx, in)
		out = r
		return r, err
	})
	return out, err
}

// JobQuery is a request for jobs. A query with an ID reads one job and waits up
// to Wait for the end of the job. A query without an ID lists jobs by entry and
// state.
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

// Jobs reads jobs from the leader's current state.
func (c *Client) Jobs(ctx context.Context, q JobQuery) (JobPage, error) {
	in := &pb.JobQuery{
		Id: q.ID, Wait: int64(q.Wait), Entry: q.Entry, State: uint32(q.State), After: q.After, Limit: int32(q.Limit),
	}
	var out *pb.JobAnswer
	_, err := c.callLeader(ctx, readCall, _attemptTimeout+q.Wait, func(ctx context.Context, client pb.DRPCControllerClient) (reply, error) {
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

// ReportRevision reports to the leader which revision is effective at a holder.
func (c *Client) ReportRevision(ctx context.Context, holder, role string, revision uint64) error {
	address := c.LeaderAddress()
	conn, err := c.pool.Get(ctx, clock.Now(), address)
	if err != nil {
		c.forgetLeader(address)
		return err
	}
	client := pb.NewDRPCControllerClient(conn)
	if _, err := client.Report(ctx, &pb.HolderReport{Holder: holder, Role: role, Revision: revision}); err != nil {
		_ = conn.Close()
		c.forgetLeader(address)
		return err
	}
	c.pool.Put(clock.Now(), address, conn)
	return nil
}
