package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// newFullPool returns a scheduler with workers of 64 cores, each with four service
// tasks, six batch tasks and four short tasks.
func newFullPool(tb testing.TB, workers int) (*Scheduler, *submission.Store) {
	tb.Helper()
	var store submission.Store
	s := &Scheduler{}
	steps := []submission.Step{serviceStep, batchStep, plainStep}
	steps[1].UnreservedCPU, steps[1].Needs.CPU = true, 1000
	perWorker := []int{4, 6, 4}
	for i := range steps {
		steps[i].Count = perWorker[i] * workers
	}
	submitSteps(&store, "running", 2, steps...)
	used := make([]int, len(steps))
	for i, w := range newWorkers(workers, 64000, 256000) {
		w.Incarnation, w.Rack = fmt.Sprintf("w%05d", i), fmt.Sprint("r", i/16)
		w.TailLatencies = []interference.TailLatency{{Step: "running.0", Image: "web", Percent: 40}}
		var starts []submission.Start
		for k := range steps {
			for range perWorker[k] {
				id := submission.TaskID{Submission: "running", Step: k, Index: used[k]}
				starts = append(starts, submission.Start{Run: submission.RunID{Task: id, Number: 1}, Worker: w.Incarnation})
				used[k]++
			}
		}
		if got := store.Start(starts, testNow); len(got) != len(starts) {
			tb.Fatalf("%d of %d starts were recorded", len(got), len(starts))
		}
		s.SetWorker(&store, w)
	}
	return s, &store
}

// BenchmarkStarts measures one scheduling round in a full pool.
func BenchmarkStarts(b *testing.B) {
	for _, workers := range []int{60, 160, 1000, 5900} {
		for _, steps := range []int{1, 64} {
			b.Run(fmt.Sprintf("workers=%d/steps=%d", workers, steps), func(b *testing.B) {
				s, store := newFullPool(b, workers)
				step := plainStep
				step.Count, step.Needs = 9, submission.Resources{CPU: 500, Memory: 500}
				for i := range steps {
					submitSteps(store, fmt.Sprint("waiting", i), 0, step)
				}
				at := clocksAt(testNow.Add(time.Second))
				b.ReportAllocs()
				for b.Loop() {
					if got := s.Starts(at, store); len(got) != 9*steps {
						b.Fatalf("%d starts, want %d", len(got), 9*steps)
					}
				}
			})
		}
	}
}

// BenchmarkRecordStartAndEnd measures the upkeep of the free resources.
func BenchmarkRecordStartAndEnd(b *testing.B) {
	for _, workers := range []int{60, 5900} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, store := newFullPool(b, workers)
			submitSteps(store, "a", 0, plainStep)
			number := uint32(0)
			for b.Loop() {
				number++
				st := submission.Start{Run: submission.RunID{Task: submission.TaskID{Submission: "a"}, Number: number}, Worker: "w00007"}
				store.Start([]submission.Start{st}, testNow)
				s.RecordStart(testNow, store, st)
				e := submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Lost}
				store.End(e, testNow)
				s.RecordEnd(testNow, store, e, time.Second)
			}
		})
	}
}

// BenchmarkStops measures the search for runs to stop in a full pool without any.
func BenchmarkStops(b *testing.B) {
	for _, workers := range []int{60, 5900} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, store := newFullPool(b, workers)
			at := clocksAt(testNow.Add(time.Second))
			b.ReportAllocs()
			for b.Loop() {
				if got := s.Stops(at, store); len(got) != 0 {
					b.Fatalf("stops %v", got)
				}
				at.Now = at.Now.Add(100 * time.Millisecond)
			}
		})
	}
}

// BenchmarkWaitingOccurrences runs rounds beside submissions whose occurrences are
// not due yet.
func BenchmarkWaitingOccurrences(b *testing.B) {
	var store submission.Store
	s := newScheduler(&store, newWorkers(11, 16000, 62500))
	for i := range 5 {
		store.Submit(submission.Submission{
			Spec: submission.Spec{
				ID: fmt.Sprint("s", i), Queue: "q0", Steps: []submission.Step{{Count: 1, Estimate: time.Second}},
				Repeat: submission.MaxTasks, StartAt: testNow.Add(time.Hour), Interval: time.Minute,
			},
			Service: "s", MaxAttempts: 2, Slack: 2, BaseObjective: time.Second,
		}, testNow)
	}
	for b.Loop() {
		s.Starts(clocksAt(testNow), &store)
	}
}

// BenchmarkSuspectedStarts measures one scheduling round in a full pool beside tasks
// that are suspected of crashing workers: those of one submission, which can start,
// and those of more submissions than workers may be isolated for.
func BenchmarkSuspectedStarts(b *testing.B) {
	for _, workers := range []int{60, 5900} {
		for _, submissions := range []int{1, workers / _isolatedShare * 2} {
			b.Run(fmt.Sprintf("workers=%d/submissions=%d", workers, submissions), func(b *testing.B) {
				s, store := newFullPool(b, workers)
				step := plainStep
				step.Count, step.Needs = 9, submission.Resources{CPU: 500, Memory: 500}
				for i := range submissions {
					id := fmt.Sprint("suspected", i)
					submitSteps(store, id, 0, step)
					for x := range step.Count {
						run := testRunID(id, x)
						store.Start([]submission.Start{{Run: run, Worker: "crashed"}}, testNow)
						store.End(submission.End{Run: run, Worker: "crashed", Reason: submission.Crashed, Ran: time.Millisecond}, testNow)
					}
				}
				at := clocksAt(testNow.Add(time.Second))
				b.ReportAllocs()
				for b.Loop() {
					s.Starts(at, store)
				}
			})
		}
	}
}

// BenchmarkPreferredPlacement measures one scheduling round in a pool whose racks have
// little room, beside steps of which tasks wait for their rack and rack-local gangs.
func BenchmarkPreferredPlacement(b *testing.B) {
	for _, workers := range []int{60, 5900} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, store := newFullPool(b, workers)
			s.SetRemotePenalty(3)
			for i := range 12 {
				step := plainStep
				step.Count, step.Needs, step.Estimate = 9, submission.Resources{CPU: 4000, Memory: 500}, 2*time.Second
				if i%2 == 0 {
					step.DataRack = "r0"
				} else {
					step.RackLocal, step.Gang, step.Count = true, true, 8
				}
				submitSteps(store, fmt.Sprint("waiting", i), 0, step)
			}
			at := clocksAt(testNow.Add(100 * time.Millisecond))
			b.ReportAllocs()
			for b.Loop() {
				s.Starts(at, store)
			}
			b.ReportMetric(float64(s.rackState.counts.Waits), "waits")
		})
	}
}

// BenchmarkForecast measures a forecast, during which the leader does nothing else.
func BenchmarkForecast(b *testing.B) {
	for _, workers := range []int{60, 5900} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, store := newFullPool(b, workers)
			sub := submission.Submission{Spec: submission.Spec{ID: "a", Queue: "q0", Steps: []submission.Step{plainStep}}, Service: "s", Slack: 2}
			for b.Loop() {
				s.Forecast(clocksAt(testNow), store, sub)
			}
		})
	}
}
