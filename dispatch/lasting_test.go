package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// TestLastingTaskRestartsInFullPool guards against a lasting task that failed and waits
// while short tasks take the room that it left, in a pool that is full.
func TestLastingTaskRestartsInFullPool(t *testing.T) {
	const interval = 200 * time.Millisecond // between submissions of short tasks; with the lasting ones they fill the pool
	for _, tc := range []struct {
		name         string
		priority     int // of the short tasks
		maxPerWorker int
	}{
		{name: "same priority"},
		{name: "lower priority", priority: 2},
		{name: "one on each worker", maxPerWorker: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newCrashSim(t, 8)
			watch := submission.Step{
				Count: 8, Needs: submission.Resources{CPU: 13000, Memory: 26000}, LongRunning: true, Image: "web", TailTarget: 10 * time.Millisecond, Estimate: 320 * time.Millisecond, MaxPerWorker: tc.maxPerWorker,
			}
			sim.submit("watch", 0, watch)
			sim.run(time.Second)
			quote := submission.Step{Count: 6, Needs: submission.Resources{CPU: 960, Memory: 1000}, Estimate: 800 * time.Millisecond}
			submitted := 0
			load := func(d time.Duration) {
				for end := sim.now.Add(d); sim.now.Before(end); {
					if sub := submitted; sim.now.Sub(testNow) >= time.Duration(sub)*interval {
						sim.submit(fmt.Sprint("quote", sub), tc.priority, quote)
						submitted++
					}
					sim.step()
				}
			}
			load(5 * time.Second)
			sub, _ := sim.store.Submission("watch")
			if sub.ActiveRuns() != 8 {
				t.Fatalf("%d lasting tasks run, want 8", sub.ActiveRuns())
			}
			st := sub.Runs()[3]
			sim.endAt[st.Run], sim.due[st.Run] = submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Failed}, sim.now
			load(time.Second)
			if sub.ActiveRuns() < watch.Count {
				sum := sim.s.Summary(clocksAt(sim.now), &sim.store)
				t.Errorf("the task waits for more than 1 s; %d of %d is free, the waiting steps are %v", sum.Free, sum.Capacity, sum.Waiting)
			}
		})
	}
}
