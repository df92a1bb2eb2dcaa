package controller

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
)

// agentStream is an agent's stream that reports once and records the orders.
type agentStream struct {
	pb.DRPCController_AttachStream
	ctx     context.Context
	reports chan *pb.AgentReport
	orders  chan *pb.AgentOrder
}

func newAgentStream(ctx context.Context) *agentStream {
	s := &agentStream{ctx: ctx, reports: make(chan *pb.AgentReport, 1), orders: make(chan *pb.AgentOrder, 100)}
	s.reports <- &pb.AgentReport{Worker: &pb.WorkerLife{Life: "m/w/1", Service: "s"}, Complete: true}
	return s
}

func (s *agentStream) Context() context.Context { return s.ctx }

func (s *agentStream) Send(o *pb.AgentOrder) error {
	s.orders <- o
	return nil
}

func (s *agentStream) Recv() (*pb.AgentReport, error) {
	select {
	case r := <-s.reports:
		return r, nil
	case <-s.ctx.Done():
		return nil, io.EOF
	}
}

// testGroup is a group of cores that exchange messages in memory. A core that is
// not started yet gets none.
type testGroup struct {
	mu      sync.Mutex
	members []replica.Member
	cores   map[replica.ID]*Core
}

func (g *testGroup) send(ctx context.Context, messages []replica.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range messages {
		if to := g.cores[m.To]; to != nil {
			go func() { _ = to.Deliver(ctx, m) }()
		}
	}
}

// start starts a member of the group.
func (g *testGroup) start(t *testing.T, id replica.ID) *rpcService {
	t.Helper()
	files, err := disk.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	core, err := NewCore(CoreConfig{
		Replica: replica.Config{
			ID: id, InitialMembers: g.members, ElectionTimeout: 200 * time.Millisecond, Heartbeat: 40 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, uint64(id[0]))),
		},
		Files: files, Send: func(m []replica.Message) { g.send(ctx, m) }, SnapshotEntries: 1000, WorkerLease: time.Second, RunLease: time.Second,
	}, clock.Now())
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	g.mu.Lock()
	if g.cores == nil {
		g.cores = make(map[replica.ID]*Core)
	}
	g.cores[id] = core
	g.mu.Unlock()
	var running sync.WaitGroup
	running.Go(func() { core.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return &rpcService{core: core}
}

// TestAgentWaitsForLeader guards against a flood of attempts to attach after a loss
// of all controllers: 160 agents that were turned away each few milliseconds took
// the processor time that the election needed, for seconds. An agent must not be
// turned away while no leader is known, must learn that the controller answers, and
// must be attached as soon as the controller leads.
func TestAgentWaitsForLeader(t *testing.T) {
	g := &testGroup{members: []replica.Member{{ID: "a", Address: "address of a"}, {ID: "b", Address: "address of b"}}}
	a := g.start(t, "a") // has no majority alone
	a.attachWait = 10 * time.Second
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stream := newAgentStream(ctx)
	var serving sync.WaitGroup
	serving.Go(func() { _ = a.Attach(stream) })
	defer serving.Wait()
	defer cancel()
	for range 2 {
		select {
		case o := <-stream.orders:
			if o.GetNotLeader() || o.GetLease() > 0 {
				t.Fatalf("order %v without a leader, want one without content", o)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("the agent got no sign of life")
		}
	}
	g.start(t, "b")
	for {
		select {
		case o := <-stream.orders:
			if o.GetNotLeader() && o.GetLeaderAddress() != "address of b" {
				t.Fatalf("order %v", o)
			}
			if o.GetNotLeader() || o.GetLease() > 0 {
				return // the other controller leads, or this one
			}
		case <-time.After(2 * time.Second):
			t.Fatal("the agent still waits, though a leader was elected")
		}
	}
}

// TestAgentIsTurnedAwayInTheEnd has a controller that never learns of a leader, for
// instance because it is cut off from the others. The agent must be told to ask
// another controller before a lease that it renews each 0.4 s, of 4 s, is half over.
func TestAgentIsTurnedAwayInTheEnd(t *testing.T) {
	s := (&testGroup{members: []replica.Member{{ID: "a", Address: "address of a"}, {ID: "b", Address: "address of b"}}}).start(t, "a")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stream := newAgentStream(ctx)
	var serving sync.WaitGroup
	serving.Go(func() { _ = s.Attach(stream) })
	defer serving.Wait()
	end := time.After(_attachWait + 5*time.Second)
	for began := time.Now(); ; {
		select {
		case o := <-stream.orders:
			if !o.GetNotLeader() {
				continue
			}
			const latest = 2 * time.Second
			if waited := time.Since(began); waited < _attachWait || waited > latest {
				t.Errorf("turned away after %s, want %s to %s", waited, _attachWait, latest)
			}
			return
		case <-end:
			t.Fatal("the agent waits forever")
		}
	}
}
