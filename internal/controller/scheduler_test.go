package controller

import (
	"context"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/worker"
)

// mustPropose proposes a command and returns its outcome. It waits for a leader.
func mustPropose(t *testing.T, core *Core, cmd state.Command) state.Outcome {
	t.Helper()
	for range 500 {
		o, err := core.Propose(context.Background(), cmd)
		if err == nil {
			return o
		}
		if fault.CodeOf(err) != fault.NoLeader {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no leader")
	return state.Outcome{}
}

func registerAgent(t *testing.T, core *Core, incarnation uint64) {
	t.Helper()
	if o := mustPropose(t, core, state.RegisterWorker{Worker: worker.Worker{ID: "w", AgentIncarnation: incarnation}}); o.Err != nil {
		t.Fatal(o.Err)
	}
}

func renewalOf(incarnation uint64) *pb.SyncRequest {
	return &pb.SyncRequest{Worker: &pb.Worker{Id: "w", Incarnation: incarnation}}
}

// inLongLeadership runs f in the core as if the controller had led for a minute.
func inLongLeadership(t *testing.T, core *Core, f func(c *Core, now time.Time)) {
	t.Helper()
	err := core.Do(context.Background(), func(c *Core, now time.Time) {
		since := c.sched.leaderSince
		c.sched.leaderSince = now.Add(-time.Minute)
		f(c, now)
		c.sched.leaderSince = since
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestLateRetirementKeepsRenewalOfNextAgent guards against a worker that is retired
// under a valid lease, so that its jobs run a second time elsewhere.
func TestLateRetirementKeepsRenewalOfNextAgent(t *testing.T) {
	core := startCore(t)
	registerAgent(t, core, 1)
	registerAgent(t, core, 2)
	var renewed time.Time
	inLongLeadership(t, core, func(c *Core, now time.Time) {
		renewed = now
		if !c.recordRenewal(now, renewalOf(2)) {
			t.Error("the renewal is refused")
		}
	})
	if o := mustPropose(t, core, state.RetireWorker{ID: "w", AgentIncarnation: 1}); fault.CodeOf(o.Err) != fault.StaleWorker {
		t.Errorf("got %v, want StaleWorker", o.Err)
	}
	inLongLeadership(t, core, func(c *Core, _ time.Time) {
		if cmds := c.lostWorkerCommands(renewed.Add(c.sched.lease)); len(cmds) > 0 {
			t.Errorf("the worker is retired within its lease: %v", cmds)
		}
	})
}

// TestLateRenewalOfEarlierAgentHidesNoLease guards against a renewal of an earlier
// agent that is handled after the next one has renewed its lease.
func TestLateRenewalOfEarlierAgentHidesNoLease(t *testing.T) {
	core := startCore(t)
	registerAgent(t, core, 1)
	registerAgent(t, core, 2)
	inLongLeadership(t, core, func(c *Core, now time.Time) {
		if !c.recordRenewal(now, renewalOf(2)) {
			t.Error("the renewal of the present agent is refused")
		}
		if c.recordRenewal(now, renewalOf(1)) {
			if reply, _ := c.syncReply(renewalOf(1)); !reply.GetSuperseded() {
				t.Error("the earlier agent is granted a lease")
			}
		}
		if cmds := c.lostWorkerCommands(now.Add(c.sched.lease)); len(cmds) > 0 {
			t.Errorf("the worker is retired within its lease: %v", cmds)
		}
	})
}

// TestNoGrantWhileRetirementIsProposed guards against an agent that is told to start
// a job under a new lease although the log is about to end all attempts on its worker.
func TestNoGrantWhileRetirementIsProposed(t *testing.T) {
	core := startCore(t)
	registerAgent(t, core, 1)
	inLongLeadership(t, core, func(c *Core, now time.Time) {
		if cmds := c.lostWorkerCommands(now); len(cmds) != 1 {
			t.Fatalf("got %v, want one retirement", cmds)
		}
		if c.recordRenewal(now, renewalOf(1)) {
			t.Error("the worker's lease is renewed before its retirement is applied")
		}
	})
	if o := mustPropose(t, core, state.RetireWorker{ID: "w", AgentIncarnation: 1}); o.Err != nil {
		t.Fatal(o.Err)
	}
	registerAgent(t, core, 1)
	inLongLeadership(t, core, func(c *Core, now time.Time) {
		if !c.recordRenewal(now, renewalOf(1)) {
			t.Error("the worker gets no lease after it has registered again")
		}
	})
}
