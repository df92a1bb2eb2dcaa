package controller

import (
	"context"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/submission"
)

// waitUntilLeading waits until a core that is alone leads its group.
func waitUntilLeading(t *testing.T, core *Core) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		leads := false
		if err := core.Do(context.Background(), func(c *Core, _ time.Time) { leads = c.role == replica.Leader }); err != nil {
			t.Fatal(err)
		}
		if leads {
			return
		}
	}
	t.Fatal("no leader after 10 s")
}

// endTime returns the shortest of some times that the ends of some tasks take in a
// submission with the given number of them.
func endTime(t *testing.T, tasks int) time.Duration {
	const series, ends, worker = 8, 20, "m/w/1"
	core := startCore(t)
	waitUntilLeading(t, core)
	shortest := time.Hour
	err := core.Do(context.Background(), func(c *Core, now time.Time) {
		store := c.machine.Submissions()
		store.Submit(submission.Submission{Spec: submission.Spec{ID: "s", Queue: "q", Steps: []submission.Step{{Count: tasks}}}}, now)
		starts := make([]submission.Start, tasks)
		for i := range starts {
			starts[i] = submission.Start{Run: submission.RunID{Task: submission.TaskID{Submission: "s", Index: i}, Number: 1}, Worker: worker}
		}
		if got := len(store.Start(starts, now)); got != tasks {
			t.Errorf("%d of %d tasks start", got, tasks)
		}
		for i := range series {
			began := time.Now()
			for _, st := range starts[i*ends : (i+1)*ends] {
				e := []submission.End{{Run: st.Run, Worker: worker, Reason: submission.Done}}
				store.EndAll(e, now)
				c.handleRecordedEnds(e)
			}
			shortest = min(shortest, time.Since(began))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return shortest
}

// TestEndLooksAtNoOtherTasks guards against ends that take longer the more tasks there are.
func TestEndLooksAtNoOtherTasks(t *testing.T) {
	const few, factor, bound = 400, 32, 8
	short, long := endTime(t, few), endTime(t, few*factor)
	t.Logf("20 ends take %s among %d tasks, and %s among %d", short, few, long, few*factor)
	if long > bound*short {
		t.Errorf("with %d times as many tasks an end takes %d times as long, want at most %d times", factor, long/short, bound)
	}
}

// TestDoneTaskStopsItsOtherRuns guards against runs that go on after their task, or their
// gang, is done, and against stops of other tasks.
func TestDoneTaskStopsItsOtherRuns(t *testing.T) {
	for _, tc := range []struct {
		name string
		step submission.Step
		want int // stops
	}{
		{name: "gang", step: submission.Step{Count: 3, Gang: true}, want: 2},
		{name: "two attempts at a task", step: submission.Step{Count: 3, Speculative: true}, want: 1},
		{name: "single tasks", step: submission.Step{Count: 3}, want: 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const worker = "m/w/1"
			core := startCore(t)
			waitUntilLeading(t, core)
			err := core.Do(context.Background(), func(c *Core, now time.Time) {
				sess := &session{worker: dispatch.Worker{Incarnation: worker}, outbox: newOutbox(), orderedStops: make(map[submission.RunID]bool)}
				c.sessions.byIncarnation[worker] = sess
				store := c.machine.Submissions()
				steps := []submission.Step{tc.step, {Count: 1}}
				store.Submit(submission.Submission{Spec: submission.Spec{ID: "s", Queue: "q", Steps: steps}}, now)
				var starts []submission.Start
				for i := range tc.step.Count {
					starts = append(starts, submission.Start{Run: submission.RunID{Task: submission.TaskID{Submission: "s", Index: i}, Number: 1}, Worker: worker})
				}
				store.Start(starts, now)
				if tc.step.Speculative {
					other := starts[1]
					other.Run.Number = 2
					store.Start([]submission.Start{other}, now)
				}
				ends := []submission.End{{Run: starts[1].Run, Worker: worker, Reason: submission.Done}}
				store.EndAll(ends, now)
				c.handleRecordedEnds(ends)
				if got := len(sess.orderedStops); got != tc.want {
					t.Errorf("%d runs are to stop, want %d", got, tc.want)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}
