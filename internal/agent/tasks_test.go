package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/admission"
	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/sample"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/internal/workerapi"
	"github.com/gentianrail/gentianrail/job"
)

// failingTarget is a target that fails calls to start tasks while it is told to.
type failingTarget struct {
	*sample.Target
	proxy   *httptest.Server
	failing atomic.Bool
	failed  atomic.Int32 // calls that start a task
	passed  atomic.Int32
}

func startFailingTarget(t *testing.T) *failingTarget {
	f := &failingTarget{Target: startTarget(t, "127.0.0.1:0")}
	pass := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: f.Address()})
	f.proxy = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			if f.failing.Load() {
				f.failed.Add(1)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			f.passed.Add(1)
		}
		pass.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		f.proxy.Close()
		stopTarget(f.Target)
	})
	return f
}

// TestWithdrawnAttemptIsNotStarted guards against an attempt that starts although a stop
// was ordered or its worker was drained while it waited for its slots or for the target.
func TestWithdrawnAttemptIsNotStarted(t *testing.T) {
	drain := func(ctx context.Context, a *Agent, _ *runningTask) { a.applyOrders(ctx, &pb.SyncReply{Drained: true}) }
	stop := func(_ context.Context, _ *Agent, task *runningTask) { task.requestStop() }
	for _, tc := range []struct {
		name      string
		slotsUsed bool // the attempt waits for its slots, not for the target
		withdraw  func(ctx context.Context, a *Agent, task *runningTask)
	}{
		{name: "stopped while the target fails", withdraw: stop},
		{name: "drained while the target fails", withdraw: drain},
		{name: "drained while it waits for its slots", slotsUsed: true, withdraw: drain},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			target := startFailingTarget(t)
			a := &Agent{worker: workerapi.NewClient(strings.TrimPrefix(target.proxy.URL, "http://")), gate: newGate(1, 1)}
			a.cfg.Slots, a.cfg.Connections = 1, 1
			a.goroutines.Go(func() { a.gate.run(ctx) })
			defer a.goroutines.Wait()
			defer cancel()
			if !a.stopStaleTasks(ctx) {
				t.Fatal("the agent begins no session")
			}
			a.lease.recordRenewal(clock.Now(), time.Minute)
			var other uint64
			if tc.slotsUsed {
				now := time.Now()
				var err error
				other, err = a.gate.admit(ctx, admission.Ticket{
					Entry: "other", Class: catalogue.Batch, Slots: 1, Arrived: now, Deadline: now.Add(time.Hour), MaxSlots: 1, MaxConnections: 1, MaxQueued: 1,
				}, nil)
				if err != nil {
					t.Fatal(err)
				}
			}
			target.failing.Store(true)
			task := &runningTask{id: workerapi.TaskID{Job: "j", Attempt: 2}, cancel: func() {}, stop: make(chan struct{})}
			a.tasks.add(task)
			outcome := make(chan job.Outcome, 1)
			a.goroutines.Go(func() {
				outcome <- a.runTask(ctx, task, &pb.Assignment{Job: "j", Attempt: 2, Slots: 1, Body: []byte(`{"work_ms": 1}`), Checkpoint: []byte("77")})
			})
			waitFor(t, "the attempt waits", func() bool { return target.failed.Load() > 0 || a.gate.queued.Load() > 0 })
			tc.withdraw(ctx, a, task)
			target.failing.Store(false)
			if tc.slotsUsed {
				a.gate.release(other)
			}
			select {
			case o := <-outcome:
				if e, ok := o.(job.Evicted); !ok || string(e.Checkpoint) != "77" {
					t.Errorf("the attempt ended as %#v, want evicted with its checkpoint", o)
				}
			case <-time.After(10 * time.Second):
				t.Error("the attempt did not end within 10 s")
			}
			if n := target.passed.Load(); n > 0 {
				t.Errorf("%d starts reached the target", n)
			}
		})
	}
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout after 10 s: %s", what)
		}
	}
}
