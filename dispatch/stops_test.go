package dispatch

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// TestRunsOnLeavingWorkerStopUnlessTheyEndInTime has a worker that leaves in 4 s.
// Runs that lose no progress by a move must stop at once; other runs must stay if
// they end in time.
func TestRunsOnLeavingWorkerStopUnlessTheyEndInTime(t *testing.T) {
	tests := []struct {
		name   string
		change func(*submission.Step)
		want   int
	}{
		{"ends in time", func(s *submission.Step) { s.Estimate = time.Second }, 0},
		{"ends too late", func(s *submission.Step) { s.Estimate = 10 * time.Second }, 1},
		{"ends just before", func(s *submission.Step) { s.Estimate = 3800 * time.Millisecond }, 1},
		{"saves its progress", func(s *submission.Step) { s.Estimate, s.Checkpointing = time.Second, true }, 1},
		{"long-running", func(s *submission.Step) { s.LongRunning, s.TailTarget = true, time.Second }, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var store submission.Store
			workers := newWorkers(1, 64000, 256000)
			s := newScheduler(&store, workers)
			step := plainStep
			step.Count = 1
			tc.change(&step)
			submitSteps(&store, "a", 0, step)
			s.startTasks(t, &store, testNow)
			s.SetDeparture(workers[0].Incarnation, testNow.Add(4*time.Second))
			got := s.Stops(clocksAt(testNow), &store)
			if len(got) != tc.want || len(got) == 1 && got[0].Reason != Leaving {
				t.Errorf("stops %v, want %d", got, tc.want)
			}
		})
	}
}

// TestStalledRunsStopOncePerMoveInterval has a stalled run. The run must be
// stopped, but not twice within _moveInterval. Stalled runs of gangs must not be
// stopped.
func TestStalledRunsStopOncePerMoveInterval(t *testing.T) {
	for _, gang := range []bool{false, true} {
		var store submission.Store
		s := newScheduler(&store, newWorkers(1, 64000, 256000))
		step := plainStep
		step.Count, step.Gang = 1, gang
		submitSteps(&store, "a", 0, step)
		run := s.startTasks(t, &store, testNow)[0].Run
		s.SetRunStatus(run, RunStatus{Share: 100, Stalled: true})
		got := s.Stops(clocksAt(testNow), &store)
		if want := map[bool]int{false: 1, true: 0}[gang]; len(got) != want {
			t.Fatalf("gang %t: stops %v, want %d", gang, got, want)
		}
		if gang {
			continue
		}
		s.RecordMove(testNow, run)
		if repeated := s.Stops(clocksAt(testNow.Add(time.Second)), &store); len(repeated) != 0 {
			t.Errorf("stopped again after a second: %v", repeated)
		}
		if repeated := s.Stops(clocksAt(testNow.Add(_moveInterval)), &store); len(repeated) != 1 {
			t.Errorf("%d stops after %s, want 1", len(repeated), _moveInterval)
		}
	}
}

// TestThrottledRunMovesToTolerantWorker has a throttled run, while the service
// tasks of another worker tolerate it. The run must move if it is expected to end
// clearly earlier there, also from the start, and if a worker tolerates it.
func TestThrottledRunMovesToTolerantWorker(t *testing.T) {
	tests := []struct {
		name          string
		status        RunStatus
		otherLatency  int // tail latency on the other worker, in percent of the target
		checkpointing bool
		tickets       []string // of an advice service; nil if the queue has none
		want          int
	}{
		{"another worker tolerates the run", RunStatus{Share: 10, Progress: 20}, 36, true, nil, 1},
		{"the run is slightly throttled", RunStatus{Share: 60, Progress: 20}, 36, true, nil, 0},
		{"the run is nearly done", RunStatus{Share: 10, Progress: 90}, 36, true, nil, 0},
		{"the other worker misses its target", RunStatus{Share: 10, Progress: 20}, 120, true, nil, 0},
		{"the run saves no progress and has little", RunStatus{Share: 10, Progress: 20}, 36, false, nil, 1},
		{"the run saves no progress and has much", RunStatus{Share: 20, Progress: 70}, 36, false, nil, 0},
		{"the run saves its progress and has much", RunStatus{Share: 20, Progress: 60}, 36, true, nil, 1},
		{"a paused run with much progress that it does not save", RunStatus{Share: 0, Progress: 60}, 36, false, nil, 1},
		{"the other worker is approved", RunStatus{Share: 10, Progress: 20}, 36, true, []string{"w00", "w01"}, 1},
		{"the other worker is not approved", RunStatus{Share: 10, Progress: 20}, 36, true, []string{"w00"}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var store submission.Store
			workers := newWorkers(2, 64000, 256000)
			for i := range workers {
				workers[i].Labels = []string{workers[i].Incarnation}
			}
			for i := range workers {
				step := serviceStep
				step.Count, step.Requirement = 2, workers[i].Incarnation
				submitSteps(&store, workers[i].Incarnation, 0, step)
			}
			s := newScheduler(&store, workers)
			s.estimator = *newTrainedEstimator(testNow, 36)
			s.startTasks(t, &store, testNow)
			batch := batchStep
			batch.Image, batch.UnreservedCPU, batch.Count, batch.Checkpointing = "light", true, 1, tc.checkpointing
			submitSteps(&store, "batch", 2, batch)
			if sub, _ := store.Submission("batch"); tc.tickets != nil {
				sub.NeedsAdvice = true
				tickets := make(map[string]string)
				for _, w := range tc.tickets {
					tickets[w] = "t"
				}
				s.RecordAdvice(testNow, StepID{Submission: "batch"}, []string{"w00", "w01"}, tickets, time.Second)
			}
			workers[0].TailLatencies = []interference.TailLatency{{Step: "a", Image: "web", Percent: 36}}
			s.setWorkers(&store, workers)
			started := s.startTasks(t, &store, testNow)
			if len(started) != 1 || started[0].Worker != workers[0].Incarnation {
				t.Fatalf("starts %v", started)
			}
			workers[1].TailLatencies = []interference.TailLatency{{Step: "a", Image: "web", Percent: tc.otherLatency}}
			s.setWorkers(&store, workers)
			s.SetRunStatus(started[0].Run, tc.status)
			got := s.Stops(clocksAt(testNow), &store)
			if len(got) != tc.want || len(got) == 1 && got[0].Reason != Throttled {
				t.Errorf("stops %v, want %d", got, tc.want)
			}
		})
	}
}
