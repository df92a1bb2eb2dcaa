package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// TestColdWorkersAreBounded guards against a returning worker that gets more tasks than the
// ramp of its warm-up and the tolerance allow, and against bounds on others.
func TestColdWorkersAreBounded(t *testing.T) {
	const warmUp = 10 * time.Second
	bounds := WarmUp{Overage: 1.5, Tolerance: 5}
	step := submission.Step{Count: 100, Needs: submission.Resources{CPU: 1000, Memory: 1}, Estimate: time.Hour}
	unreserved := step
	unreserved.UnreservedCPU = true
	for _, tc := range []struct {
		name   string
		bounds WarmUp
		step   submission.Step
		warmUp time.Duration
		left   time.Duration
		want   int // tasks on a worker of 20 cores
	}{
		{"just started", bounds, step, warmUp, warmUp, 5},
		{"more left than ever announced", bounds, step, warmUp, 2 * warmUp, 5},
		{"a fifth of the ramp", bounds, step, warmUp, 8 * time.Second, 6 + 5},
		{"half of the ramp", bounds, step, warmUp, 5 * time.Second, 15 + 5},
		{"a fifth of the ramp, unreserved CPU", bounds, unreserved, warmUp, 8 * time.Second, 6 + 5},
		{"warm", bounds, step, warmUp, 0, 20},
		{"no length", bounds, step, 0, 8 * time.Second, 5},
		{"no tolerance", WarmUp{Overage: 1}, step, warmUp, 5 * time.Second, 10},
		{"no bounds", WarmUp{}, step, warmUp, warmUp, 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var store submission.Store
			w := newWorkers(1, 20000, 1000)[0]
			w.WarmUp, w.WarmAt = tc.warmUp, testNow.Add(tc.left)
			s := newScheduler(&store, []Worker{w})
			s.SetWarmUp(tc.bounds)
			submitSteps(&store, "s1", 0, tc.step)
			total := 0
			for range 3 { // starts of earlier rounds count
				total += len(s.startTasks(t, &store, testNow))
			}
			if total != tc.want {
				t.Errorf("%d tasks started, want %d", total, tc.want)
			}
			if got := s.ExplainWaits(clocksAt(testNow), &store, 1); tc.want < 20 && got[0].Obstacles[Cold] != 1 {
				t.Errorf("the wait is explained by %v", got[0].Obstacles)
			}
		})
	}
}

// TestSlowRunsOfColdWorkerSpoilNoEstimate guards against a cold worker that counts as
// unhealthy, and against estimates that follow its run times. Its failures count.
func TestSlowRunsOfColdWorkerSpoilNoEstimate(t *testing.T) {
	for _, reason := range []submission.EndReason{submission.Done, submission.Failed} {
		var store submission.Store
		workers := newWorkers(4, 20000, 20000)
		workers[0].WarmUp, workers[0].WarmAt = time.Minute, testNow.Add(time.Minute)
		s := newScheduler(&store, workers)
		s.SetWarmUp(WarmUp{Overage: 1.5, Tolerance: 100})
		submitSteps(&store, "s1", 0, submission.Step{Count: 60, Needs: submission.Resources{CPU: 1000, Memory: 1}, Estimate: time.Second})
		starts := s.startTasks(t, &store, testNow)
		isCold := func(st submission.Start) bool { return st.Worker == workers[0].Incarnation }
		if !slices.ContainsFunc(starts, isCold) {
			t.Fatal("no task started on the cold worker")
		}
		for _, st := range starts {
			end, took := submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Done}, time.Second
			if isCold(st) {
				end.Reason, took = reason, 10*time.Second
			}
			s.recordEnd(&store, testNow, end, took)
		}
		if got, want := s.unhealthyWorkers(testNow)[workers[0].Incarnation], reason == submission.Failed; got != want {
			t.Errorf("%s: the cold worker is unhealthy: %t, want %t", reason, got, want)
		}
	}
}
