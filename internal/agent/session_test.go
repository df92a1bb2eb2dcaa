package agent

import (
	"context"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/sample"
	"github.com/gentianrail/gentianrail/internal/workerapi"
)

func startTarget(t *testing.T, address string) *sample.Target {
	t.Helper()
	target, err := sample.Start(address)
	if err != nil {
		t.Fatal(err)
	}
	return target
}

func stopTarget(target *sample.Target) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = target.Server().Shutdown(ctx) // at once, so that it reports an unfinished shutdown
}

// startOn starts the first attempt of a job under the agent's lease.
func startOn(a *Agent, job string, leaseEnd time.Duration, session uint64) error {
	_, err := a.worker.Start(context.Background(), workerapi.Task{
		ID: workerapi.TaskID{Job: job, Attempt: 1}, Body: []byte(`{"work_ms": 60000}`), LeaseEnd: leaseEnd, Session: session,
	})
	return err
}

// TestLeaseIsNotUsedAtRestartedTarget guards against a lease that was computed with the
// clock of an earlier target process: with the clock of the next one, which starts
// anew, it would end much later than the controllers believe.
func TestLeaseIsNotUsedAtRestartedTarget(t *testing.T) {
	const length = 10 * time.Second
	ctx := context.Background()
	target := startTarget(t, "127.0.0.1:0")
	a := &Agent{worker: workerapi.NewClient(target.Address())}
	if !a.stopStaleTasks(ctx) {
		t.Fatal("the agent begins no session")
	}
	a.lease.recordRenewal(clock.Now(), length)
	// The target has run for an hour.
	a.lease.recordWorkerClock(time.Hour, a.session, clock.Now())
	early, session, ok := a.lease.endOnWorkerClock(clock.Now())
	if !ok {
		t.Fatal("no lease")
	}
	stopTarget(target)
	a.worker.Close() // drops the connection to the earlier process
	target = startTarget(t, target.Address())
	defer stopTarget(target)
	if err := startOn(a, "early", early, session); fault.CodeOf(err) != fault.StaleWorker {
		t.Errorf("a start with the lease of the earlier process: %v", err)
	}
	if a.renewWorkerLeases(ctx) || !a.sessionEnded {
		t.Error("the agent does not notice that its target has restarted")
	}
	if !a.stopStaleTasks(ctx) {
		t.Fatal("the agent begins no session")
	}
	end, session, ok := a.lease.endOnWorkerClock(clock.Now())
	if !ok || end > length+time.Minute {
		t.Errorf("the lease ends at %s of the new clock", end)
	}
	if err := startOn(a, "present", end, session); err != nil {
		t.Errorf("a start in the present session: %v", err)
	}
	if err := startOn(a, "late", early, session-1); fault.CodeOf(err) != fault.StaleWorker {
		t.Errorf("a late start: %v", err)
	}
}

// TestNewerAgentEndsDutyOfEarlierOne guards against an agent that starts tasks beside the
// agent that has succeeded it. The newer one may have a wall clock that is behind.
func TestNewerAgentEndsDutyOfEarlierOne(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	target := startTarget(t, "127.0.0.1:0")
	defer stopTarget(target)
	earlier := &Agent{worker: workerapi.NewClient(target.Address()), session: 1000, gate: newGate(1, 1)}
	earlier.runs.Go(func() { earlier.gate.run(ctx) })
	if !earlier.stopStaleTasks(ctx) {
		t.Fatal("the earlier agent begins no session")
	}
	earlier.joined = true
	task := &runningTask{id: workerapi.TaskID{Job: "j", Attempt: 1}, stop: make(chan struct{})}
	taskCtx, cancelTask := context.WithCancel(ctx)
	task.cancel = cancelTask
	earlier.tasks.add(task)
	newer := &Agent{worker: workerapi.NewClient(target.Address()), session: 10}
	if !newer.stopStaleTasks(ctx) {
		t.Fatal("the newer agent begins no session")
	}
	if earlier.renewWorkerLeases(ctx) || earlier.stopStaleTasks(ctx) {
		t.Error("the earlier agent goes on")
	}
	if taskCtx.Err() == nil {
		t.Error("the earlier agent may still start its task")
	}
	if !newer.renewWorkerLeases(ctx) {
		t.Error("the newer agent has lost its session")
	}
	cancel()
	earlier.runs.Wait()
}
