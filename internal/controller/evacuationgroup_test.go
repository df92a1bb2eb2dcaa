package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
)

// coreGroup is a running group of three controllers, whose messages the test can hold up.
type coreGroup struct {
	*testing.T
	dir string

	mu    sync.Mutex
	cores map[replica.ID]*Core
	cut   replica.ID // neither sends nor receives messages; empty for none
	stop  map[replica.ID]func()
}

func newCoreGroup(t *testing.T) *coreGroup {
	t.Helper()
	g := &coreGroup{T: t, dir: t.TempDir(), cores: make(map[replica.ID]*Core), stop: make(map[replica.ID]func())}
	t.Cleanup(g.stopAll)
	g.startAll()
	return g
}

func (g *coreGroup) startAll() {
	g.Helper()
	for i := range 3 {
		id := replica.ID(fmt.Sprint("c", i))
		files, err := disk.OpenFolder(filepath.Join(g.dir, string(id)))
		if err != nil {
			g.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		core, err := NewCore(CoreConfig{
			Replica: replica.Config{
				ID: id, InitialMembers: []replica.Member{{ID: "c0"}, {ID: "c1"}, {ID: "c2"}}, ElectionTimeout: 500 * time.Millisecond,
				Heartbeat: 50 * time.Millisecond, Rand: rand.New(rand.NewPCG(uint64(i), 1)),
			},
			Files: files, SnapshotEntries: 1000, WorkerLease: time.Second, RunLease: time.Second,
			Send: func(messages []replica.Message) {
				for _, m := range messages {
					running.Go(func() { g.deliver(ctx, m) })
				}
			},
		}, clock.Now())
		if err != nil {
			cancel()
			g.Fatal(err)
		}
		running.Go(func() { core.Run(ctx) })
		g.mu.Lock()
		g.cores[id] = core
		g.stop[id] = func() {
			cancel()
			running.Wait()
		}
		g.mu.Unlock()
	}
}

// stopAll ends all controllers at the same moment, without a transfer of leadership.
func (g *coreGroup) stopAll() {
	g.mu.Lock()
	stops := g.stop
	g.stop, g.cores, g.cut = make(map[replica.ID]func()), make(map[replica.ID]*Core), ""
	g.mu.Unlock()
	var stopping sync.WaitGroup
	for _, stop := range stops {
		stopping.Go(stop)
	}
	stopping.Wait()
}

func (g *coreGroup) deliver(ctx context.Context, m replica.Message) {
	g.mu.Lock()
	to := g.cores[m.To]
	isCut := g.cut == m.To || g.cut == m.From
	g.mu.Unlock()
	if to != nil && !isCut {
		_ = to.Deliver(ctx, m)
	}
}

// setCut cuts a controller off from the others; "" ends that.
func (g *coreGroup) setCut(id replica.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = id
}

// waitForLeader returns a controller other than the given one that may act as the leader.
func (g *coreGroup) waitForLeader(except replica.ID) (replica.ID, *Core) {
	g.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i := range 3 {
			id := replica.ID(fmt.Sprint("c", i))
			g.mu.Lock()
			core := g.cores[id]
			g.mu.Unlock()
			leads := false
			_ = core.Do(g.Context(), func(c *Core, now time.Time) { leads = c.replica.HoldsLease(now) })
			if leads && id != except {
				return id, core
			}
		}
	}
	g.Fatal("no leader within 20 s")
	return "", nil
}

// order sends an order to a controller, and returns the answer.
func (g *coreGroup) order(core *Core, cmd state.Command) *pb.ProposeReply {
	g.Helper()
	ctx, cancel := context.WithTimeout(g.Context(), 10*time.Second)
	defer cancel()
	reply, err := (&rpcService{core: core}).Propose(ctx, &pb.ProposeRequest{Command: wire.EncodeCommand(cmd)})
	if err != nil {
		g.Fatal(err)
	}
	return reply
}

// isEvacuated reports what a controller has recorded.
func (g *coreGroup) isEvacuated(core *Core, zone string) (evacuated bool) {
	g.Helper()
	if err := core.Do(g.Context(), func(c *Core, _ time.Time) { evacuated = c.machine.Evacuations().IsEvacuated(zone) }); err != nil {
		g.Fatal(err)
	}
	return evacuated
}

// accept sends an order until a leader acknowledges it.
func (g *coreGroup) accept(except replica.ID, cmd state.Command) {
	g.Helper()
	for range 100 {
		_, leader := g.waitForLeader(except)
		reply := g.order(leader, cmd)
		if reply.GetOutcome() != nil {
			if code := fault.Code(reply.GetOutcome().GetCode()); code != fault.OK {
				g.Fatalf("%T was rejected: %s", cmd, code.Name())
			}
			return
		}
	}
	g.Fatalf("%T was not acknowledged", cmd)
}

// TestAcknowledgedEvacuationSurvivesLossOfAllControllers guards against an order that is
// forgotten when all controllers are killed at the moment of the acknowledgement.
// internal/disk TestAcknowledgedSurvivesLostDisks adds power losses and lost disks.
func TestAcknowledgedEvacuationSurvivesLossOfAllControllers(t *testing.T) {
	g := newCoreGroup(t)
	for i, cmd := range []state.Command{
		state.StartEvacuation{Zone: "a"}, state.StartEvacuation{Zone: "b"}, state.FinishEvacuation{Zone: "a"}, state.FinishEvacuation{Zone: "c"},
	} {
		g.accept("", cmd)
		g.stopAll()
		g.startAll()
		_, leader := g.waitForLeader("")
		for zone, want := range map[string]bool{"a": i < 2, "b": i > 0, "c": false} {
			if got := g.isEvacuated(leader, zone); got != want {
				t.Errorf("after %T and a restart of all controllers zone %s is evacuated: %t, want %t", cmd, zone, got, want)
			}
		}
	}
}

// TestLeaderThatIsCutOffAcknowledgesNoOrder guards against an order that is acknowledged and
// reverts, and against a late order of the former leader that overtakes acknowledged ones.
func TestLeaderThatIsCutOffAcknowledgesNoOrder(t *testing.T) {
	g := newCoreGroup(t)
	g.accept("", state.FinishEvacuation{Zone: "a"})
	former, core := g.waitForLeader("")
	g.setCut(former)
	replies := make(chan *pb.ProposeReply, 1)
	go func() { replies <- g.order(core, state.StartEvacuation{Zone: "b"}) }()
	g.accept(former, state.StartEvacuation{Zone: "a"})
	if reply := <-replies; reply.GetOutcome() != nil {
		t.Errorf("the leader that is cut off has answered %v", reply)
	}
	if reply := g.order(core, state.FinishEvacuation{Zone: "a"}); reply.GetOutcome() != nil || !reply.GetNotLeader() {
		t.Errorf("the leader that has lost its lease has answered %v", reply)
	}
	g.setCut("")
	for end := time.Now().Add(10 * time.Second); !g.isEvacuated(core, "a"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the former leader does not learn of the evacuation within 10 s")
		}
	}
	if _, leader := g.waitForLeader(""); !g.isEvacuated(leader, "a") || g.isEvacuated(leader, "b") {
		t.Error("the order that was not acknowledged, or none, has taken effect")
	}
}

// TestOrderOfSenderThatHasGoneIsNotProposed guards against an order that the leader proposes
// although the process that has forwarded it has given it up.
func TestOrderOfSenderThatHasGoneIsNotProposed(t *testing.T) {
	core := startCore(t)
	l := &leader{T: t, core: core}
	l.propose(state.FinishEvacuation{Zone: "a"})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 50 {
		reply, err := (&rpcService{core: core}).Propose(ctx, &pb.ProposeRequest{Command: wire.EncodeCommand(state.StartEvacuation{Zone: "a"})})
		if reply.GetOutcome() != nil {
			t.Fatalf("answer %v, %v", reply, err)
		}
	}
	l.propose(state.FinishEvacuation{Zone: "b"}) // what was proposed before is applied then
	if (&coreGroup{T: t}).isEvacuated(core, "a") {
		t.Error("an order was proposed")
	}
}
