package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

var testNow = time.Unix(1_700_000_000, 0).UTC()

// clocksAt returns the time t on all clocks.
func clocksAt(t time.Time) Clocks { return Clocks{Now: t, Log: t, Wall: t} }

func newWorkers(n int, cpu, memory int64) []Worker {
	out := make([]Worker, n)
	for i := range out {
		out[i] = Worker{
			Incarnation: fmt.Sprintf("w%02d", i), Service: "s", Rack: fmt.Sprint("r", i/3), Labels: []string{"a", fmt.Sprint("r", i/3)},
			Capacity: submission.Resources{CPU: cpu, Memory: memory}, Schedulable: true,
		}
	}
	return out
}

func submitSteps(store *submission.Store, id string, priority int, steps ...submission.Step) {
	store.Submit(submission.Submission{
		Spec:    submission.Spec{ID: id, Queue: fmt.Sprint("q", priority), Steps: steps},
		Service: "s", Priority: priority, MaxAttempts: 2, Slack: 2, BaseObjective: time.Second,
	}, testNow)
}

var (
	serviceStep = submission.Step{Count: 4, Needs: submission.Resources{CPU: 13000, Memory: 26000}, LongRunning: true, Image: "web", TailTarget: 10 * time.Millisecond}
	batchStep   = submission.Step{Count: 8, Needs: submission.Resources{CPU: 7000, Memory: 13000}, Image: "cut", Estimate: 2700 * time.Millisecond}
	plainStep   = submission.Step{Count: 6, Needs: submission.Resources{CPU: 960, Memory: 1900}, Estimate: 800 * time.Millisecond}
)

// newScheduler returns a scheduler that knows the workers and their runs.
func newScheduler(store *submission.Store, workers []Worker) *Scheduler {
	var s Scheduler
	s.setWorkers(store, workers)
	return &s
}

func (s *Scheduler) setWorkers(store *submission.Store, workers []Worker) {
	for _, w := range workers {
		s.SetWorker(store, w)
	}
}

// startTasks records the starts of one scheduling round of a new scheduler and
// returns their number.
func startTasks(t *testing.T, store *submission.Store, now time.Time, workers []Worker) int {
	t.Helper()
	return len(newScheduler(store, workers).startTasks(t, store, now))
}

// startTasks records and returns the starts of one scheduling round.
func (s *Scheduler) startTasks(t *testing.T, store *submission.Store, now time.Time) []submission.Start {
	t.Helper()
	starts := s.Starts(clocksAt(now), store)
	if got := store.Start(starts, now); len(got) != len(starts) {
		t.Fatalf("%d of %d starts were recorded", len(got), len(starts))
	}
	for _, st := range starts {
		s.RecordStart(now, store, st)
	}
	return starts
}

// recordEnd records the end of a run in the store and at the scheduler.
func (s *Scheduler) recordEnd(store *submission.Store, now time.Time, e submission.End, took time.Duration) {
	store.End(e, now)
	s.RecordEnd(now, store, e, took)
}

// TestServiceAndBatchTasksShareNoWorker submits service and batch steps in random
// order. Tasks of both kinds must not share a worker while other workers have
// capacity.
func TestServiceAndBatchTasksShareNoWorker(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var store submission.Store
		workers := newWorkers(11, 64000, 256000)
		for i := range 10 {
			step, priority := serviceStep, 0
			if rnd.IntN(2) == 0 {
				step, priority = batchStep, 2
			}
			step.Count = 1 + rnd.IntN(4)
			submitSteps(&store, fmt.Sprint("s", i), priority, step)
			startTasks(t, &store, testNow, workers)
		}
		for _, w := range workers {
			if u := store.Usage(w.Incarnation); u != nil && u.ServiceRuns > 0 && u.BatchRuns > 0 {
				t.Errorf("seed %d: %s has %d service tasks and %d batch tasks", seed, w.Incarnation, u.ServiceRuns, u.BatchRuns)
			}
		}
	}
}

// TestUnreservedCPUNeedsIdleCPU submits many steps with unreserved CPU. Their
// tasks must start only on workers that have the requested CPU idle.
func TestUnreservedCPUNeedsIdleCPU(t *testing.T) {
	var store submission.Store
	workers := newWorkers(2, 64000, 256000)
	step := batchStep
	step.UnreservedCPU = true
	for i := range 20 {
		submitSteps(&store, fmt.Sprint("s", i), 2, step)
	}
	startTasks(t, &store, testNow, workers)
	for _, w := range workers {
		if got := store.Usage(w.Incarnation).RequestedCPU; got > w.Capacity.CPU {
			t.Errorf("%s: the runs request %d of %d", w.Incarnation, got, w.Capacity.CPU)
		}
	}
}

// TestLongRunningTaskNeedsNoIdleCPU guards against a standing task that does not return
// while batch work has reserved the CPU: its own CPU is not reserved.
func TestLongRunningTaskNeedsNoIdleCPU(t *testing.T) {
	for _, idle := range []int{0, 1} { // workers with idle CPU
		var store submission.Store
		workers := newWorkers(4, 16000, 256000)
		batch := batchStep
		batch.Needs, batch.Count, batch.MaxPerWorker = submission.Resources{CPU: 15000, Memory: 100}, len(workers)-idle, 1
		submitSteps(&store, "batch", 2, batch)
		s := newScheduler(&store, workers)
		if got := len(s.startTasks(t, &store, testNow)); got != batch.Count {
			t.Fatalf("%d batch tasks started, want %d", got, batch.Count)
		}
		watch := serviceStep
		watch.UnreservedCPU, watch.Needs, watch.Count = true, submission.Resources{CPU: 3000, Memory: 500}, 1
		submitSteps(&store, "watch", 0, watch)
		starts := s.startTasks(t, &store, testNow)
		if len(starts) != 1 {
			t.Errorf("%d workers with idle CPU: %d tasks started, want 1", idle, len(starts))
			continue
		}
		if u := store.Usage(starts[0].Worker); idle > 0 && u.BatchRuns > 0 {
			t.Error("the task started beside batch work although another worker has idle CPU")
		}
	}
}

// TestStarvedSubmissionStartsOneTask submits tasks with unreserved CPU that would
// get no CPU, while no CPU of the pool is reserved. One task must start after
// _maxStarvation, so that the submission is not starved.
func TestStarvedSubmissionStartsOneTask(t *testing.T) {
	var store submission.Store
	workers := newWorkers(2, 64000, 256000)
	step := batchStep
	step.UnreservedCPU = true
	step.Count = 18
	submitSteps(&store, "first", 2, step)
	startTasks(t, &store, testNow, workers)
	submitSteps(&store, "second", 2, step)
	if got := startTasks(t, &store, testNow, workers); got != 0 {
		t.Errorf("%d tasks started at once, want none", got)
	}
	if got := startTasks(t, &store, testNow.Add(_maxStarvation), workers); got != 1 {
		t.Errorf("%d tasks started after %s, want 1", got, _maxStarvation)
	}
}

func TestPlacementRules(t *testing.T) {
	with := func(s submission.Step, change func(*submission.Step)) submission.Step {
		change(&s)
		return s
	}
	tests := []struct {
		name    string
		workers []Worker
		step    submission.Step
		want    int // starts
		check   func(w Worker, runs int) error
	}{
		{name: "all fit", workers: newWorkers(2, 64000, 256000), step: plainStep, want: 6},
		{name: "memory is full", workers: newWorkers(1, 64000, 4000), step: plainStep, want: 2},
		{
			name: "anti-affinity", workers: newWorkers(3, 64000, 256000), want: 3,
			step: with(plainStep, func(s *submission.Step) { s.MaxPerWorker = 1 }),
			check: func(_ Worker, runs int) error {
				if runs > 1 {
					return fmt.Errorf("%d runs", runs)
				}
				return nil
			},
		},
		{
			name: "a label that no worker has", workers: newWorkers(3, 64000, 256000), want: 0,
			step: with(plainStep, func(s *submission.Step) { s.Requirement = "gpu" }),
		},
		{
			name: "the rack of the data", workers: newWorkers(6, 64000, 256000), want: 6,
			step: with(plainStep, func(s *submission.Step) { s.DataRack = "r1" }),
			check: func(w Worker, runs int) error {
				if runs > 0 && w.Rack != "r1" {
					return fmt.Errorf("%d runs on %s", runs, w.Rack)
				}
				return nil
			},
		},
		{
			name: "a gang of which not all tasks fit", workers: newWorkers(1, 4000, 256000), want: 0,
			step: with(plainStep, func(s *submission.Step) { s.Gang = true }),
		},
		{
			name: "a gang that fits", workers: newWorkers(2, 4000, 256000), want: 6,
			step: with(plainStep, func(s *submission.Step) { s.Gang = true }),
		},
		{
			name: "another service's workers", want: 0, step: plainStep,
			workers: []Worker{{Incarnation: "w", Service: "t", Capacity: submission.Resources{CPU: 64000, Memory: 64000}, Schedulable: true}},
		},
		{
			name: "a worker that accepts no tasks", want: 0, step: plainStep,
			workers: []Worker{{Incarnation: "w", Service: "s", Capacity: submission.Resources{CPU: 64000, Memory: 64000}}},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var store submission.Store
			submitSteps(&store, "a", 0, tc.step)
			if got := startTasks(t, &store, testNow, tc.workers); got != tc.want {
				t.Errorf("%d starts, want %d", got, tc.want)
			}
			for _, w := range tc.workers {
				u := store.Usage(w.Incarnation)
				if u == nil {
					continue
				}
				if !u.Reserved.Fits(w.Capacity) {
					t.Errorf("%s: %v reserved of %v", w.Incarnation, u.Reserved, w.Capacity)
				}
				if tc.check != nil {
					if err := tc.check(w, len(u.Runs)); err != nil {
						t.Errorf("%s: %v", w.Incarnation, err)
					}
				}
			}
		})
	}
}

// TestGangWaitsForTheEndOfEachMember guards against a second run of a gang that is done.
// One member's end stands for all, and the others count as lost before it is recorded.
func TestGangWaitsForTheEndOfEachMember(t *testing.T) {
	var store submission.Store
	step := plainStep
	step.Gang = true
	submitSteps(&store, "a", 0, step)
	s := newScheduler(&store, newWorkers(6, 1000, 256000))
	starts := s.startTasks(t, &store, testNow)
	if len(starts) != step.Count {
		t.Fatalf("%d starts, want %d", len(starts), step.Count)
	}
	now := testNow.Add(time.Second)
	for _, st := range starts[1:] {
		s.recordEnd(&store, now, submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Lost}, time.Second)
	}
	if again := s.startTasks(t, &store, now); len(again) != 0 {
		t.Errorf("%d tasks start again before the last run of the gang has ended", len(again))
	}
	s.recordEnd(&store, now, submission.End{Run: starts[0].Run, Worker: starts[0].Worker, Reason: submission.Done}, time.Second)
	if again := s.startTasks(t, &store, now); len(again) != 0 {
		t.Errorf("%d tasks start again although the gang is done", len(again))
	}
}

// TestAdvisedStepsNeedValidTickets has a queue whose steps need tickets. Tasks
// must start only on approved workers and only while the tickets are valid.
func TestAdvisedStepsNeedValidTickets(t *testing.T) {
	var store submission.Store
	store.Submit(submission.Submission{
		Spec:    submission.Spec{ID: "a", Queue: "q", Steps: []submission.Step{{Count: 4, Needs: submission.Resources{CPU: 1000}}}},
		Service: "s", MaxAttempts: 2, NeedsAdvice: true,
	}, testNow)
	workers := newWorkers(3, 2000, 1000)
	s := newScheduler(&store, workers)
	if got := s.Starts(clocksAt(testNow), &store); len(got) != 0 {
		t.Fatalf("%d tasks started without a ticket", len(got))
	}
	request, ok := s.NextAdviceRequest(clocksAt(testNow), &store)
	if !ok || len(request.Workers) != len(workers) {
		t.Fatalf("request %v", request)
	}
	id := StepID{Submission: "a"}
	s.RecordAdvice(testNow, id, request.Workers, map[string]string{"w01": "t1"}, time.Second)
	starts := s.Starts(clocksAt(testNow), &store)
	if len(starts) != 2 {
		t.Fatalf("%d tasks started, want the 2 that fit", len(starts))
	}
	for _, st := range starts {
		if st.Worker != "w01" {
			t.Errorf("a task started on %s", st.Worker)
		}
	}
	if got, ok := s.NextAdviceRequest(clocksAt(testNow), &store); ok {
		t.Errorf("request %v, want none while a ticket is valid", got)
	}
	later := testNow.Add(time.Second)
	if got := s.Starts(clocksAt(later), &store); len(got) != 0 {
		t.Errorf("%d tasks started with an expired ticket", len(got))
	}
	if got, ok := s.NextAdviceRequest(clocksAt(later), &store); !ok || len(got.Workers) != 1 {
		t.Errorf("request %v, want one on the worker that was approved", got)
	}
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	var store submission.Store
	store.Submit(submission.Submission{
		Spec: submission.Spec{
			ID: "a", Queue: "q", Steps: []submission.Step{{Count: 1}}, Repeat: 3,
			StartAt: testNow.Add(10 * time.Second), Interval: 5 * time.Second,
		},
		Service: "s", MaxAttempts: 1,
	}, testNow)
	workers := newWorkers(1, 1000, 1000)
	for _, tc := range []struct{ after, want int }{{0, 0}, {9, 0}, {10, 1}, {14, 0}, {21, 2}} {
		if got := startTasks(t, &store, testNow.Add(time.Duration(tc.after)*time.Second), workers); got != tc.want {
			t.Errorf("after %d s: %d starts, want %d", tc.after, got, tc.want)
		}
	}
}

// runOverload simulates batch submissions of twice the pool's capacity and returns
// the share that is completed within its objective.
func runOverload(t *testing.T, seed uint64) float64 {
	t.Helper()
	const interval, tick = 400 * time.Millisecond, 100 * time.Millisecond
	rnd := rand.New(rand.NewPCG(seed, 5))
	var store submission.Store
	workers := newWorkers(4, 64000, 256000)
	s := newScheduler(&store, workers)
	ends := make(map[submission.Start]time.Time)
	now, submitted, inTime := testNow, 0, 0
	for i := 0; i < 900; i++ {
		now = now.Add(tick)
		if i%int(interval/tick) == 0 && i < 600 {
			first := batchStep
			first.Count = 1 + rnd.IntN(16)
			second := first
			second.DependsOn = []int{0}
			submitted++
			store.Submit(submission.Submission{
				Spec:    submission.Spec{ID: fmt.Sprint("s", i), Queue: "q", Steps: []submission.Step{first, second}},
				Service: "s", Priority: 2, MaxAttempts: 2, Slack: 2, BaseObjective: time.Second,
			}, now)
		}
		for st, at := range ends {
			if !at.After(now) {
				s.recordEnd(&store, now, submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Done}, batchStep.Estimate)
				delete(ends, st)
			}
		}
		for _, st := range s.startTasks(t, &store, now) {
			ends[st] = now.Add(time.Duration(float64(batchStep.Estimate) * (0.8 + 0.4*rnd.Float64())))
		}
	}
	for _, s := range store.All() {
		if s.State == submission.Completed && s.EndedAt.Sub(s.Accepted) <= Objective(s) {
			inTime++
		}
	}
	return float64(inTime) / float64(submitted)
}

// TestOverloadCompletesSubmissionsInTime submits twice the work that the pool can
// do. At least a third of the submissions must be completed in time. Scheduling by
// deadline completes only one in ten in time, because all become late together.
func TestOverloadCompletesSubmissionsInTime(t *testing.T) {
	for seed := range uint64(5) {
		if got := runOverload(t, seed); got < 0.33 {
			t.Errorf("seed %d: %.2f of the submissions are in time", seed, got)
		}
	}
}

// TestSuspectedFailingTaskStartsFirst has a submission with a task that always
// fails. After two failures only this task must start, before all other work, so
// that its caller gets the result early and no more work is wasted.
func TestSuspectedFailingTaskStartsFirst(t *testing.T) {
	var store submission.Store
	workers := newWorkers(1, 7000, 256000) // capacity for one task
	failing := batchStep
	failing.Count = 3
	store.Submit(submission.Submission{
		Spec:    submission.Spec{ID: "failing", Queue: "q2", Steps: []submission.Step{failing}},
		Service: "s", Priority: 2, MaxAttempts: 4, Slack: 2, BaseObjective: time.Second,
	}, testNow)
	now := testNow
	fail := func(number uint32) {
		id := submission.RunID{Task: submission.TaskID{Submission: "failing", Index: 1}, Number: number}
		if len(store.Start([]submission.Start{{Run: id, Worker: "w00"}}, now)) != 1 {
			t.Fatalf("run %d was not started", number)
		}
		store.End(submission.End{Run: id, Worker: "w00", Reason: submission.Failed}, now)
	}
	fail(1)
	fail(2)
	submitSteps(&store, "other", 2, batchStep)
	for want := uint32(3); want <= 4; want++ {
		now = now.Add(time.Second)
		starts := newScheduler(&store, workers).Starts(clocksAt(now), &store)
		if len(starts) != 1 || starts[0].Run.Task.Submission != "failing" || starts[0].Run.Task.Index != 1 {
			t.Fatalf("starts %v, want run %d of the task suspected of always failing", starts, want)
		}
		fail(want)
	}
	if s, _ := store.Submission("failing"); s.State != submission.OutOfAttempts {
		t.Errorf("the submission is %s, want failed", s.State)
	}
}

// TestUrgentTasksUseHeadroom submits more batch work than the pool can run. Short
// urgent tasks must still start at once.
func TestUrgentTasksUseHeadroom(t *testing.T) {
	var store submission.Store
	workers := newWorkers(3, 64000, 256000)
	step := batchStep
	step.Needs.CPU = 1000
	step.Needs.Memory = 100
	step.Count = 1000
	submitSteps(&store, "batch", 2, step)
	startTasks(t, &store, testNow, workers)
	urgent := plainStep
	submitSteps(&store, "urgent", 0, urgent)
	if got := startTasks(t, &store, testNow, workers); got != urgent.Count {
		t.Errorf("%d urgent tasks started, want %d", got, urgent.Count)
	}
}

// TestLongRunningTasksLeaveHeadroom submits more long-running tasks of an urgent
// queue than the pool can run. Short urgent tasks submitted later must start at
// once. A long-running task that fits into the headroom may use it, because it
// must not be down beside free capacity.
func TestLongRunningTasksLeaveHeadroom(t *testing.T) {
	var store submission.Store
	workers := newWorkers(2, 64000, 256000)
	longRunning := serviceStep
	longRunning.Needs.CPU, longRunning.Count = 15500, 8 // four use all but 3% of a worker
	submitSteps(&store, "long-running", 0, longRunning)
	startTasks(t, &store, testNow, workers)
	submitSteps(&store, "short", 0, plainStep)
	if got := startTasks(t, &store, testNow, workers); got != plainStep.Count {
		t.Errorf("%d short tasks started, want %d", got, plainStep.Count)
	}
	small := serviceStep
	small.Needs.CPU, small.Count = 3000, 1
	submitSteps(&store, "small", 0, small)
	if got := startTasks(t, &store, testNow, workers); got != 1 {
		t.Errorf("%d small long-running tasks started, want 1", got)
	}
}

// TestLongRunningTaskUsesHeadroomIfTwoFit has a long-running task that would leave
// no headroom on any worker. It must wait if only one worker has capacity for it,
// and start if two have: a long-running task must not be down while the pool has
// capacity for two of it.
func TestLongRunningTaskUsesHeadroomIfTwoFit(t *testing.T) {
	for _, size := range []int{1, 2} {
		var store submission.Store
		workers := newWorkers(size, 64000, 256000)
		first := serviceStep
		first.Needs.CPU, first.Count, first.MaxPerWorker = 48000, size, 1
		submitSteps(&store, "first", 0, first)
		startTasks(t, &store, testNow, workers)
		second := serviceStep
		second.Needs.CPU, second.Count = 15000, 1
		submitSteps(&store, "second", 0, second)
		if got, want := startTasks(t, &store, testNow, workers), size-1; got != want {
			t.Errorf("%d workers with capacity: %d tasks started, want %d", size, got, want)
		}
	}
}

// The objective is computed from a queue's slack and the sum of estimates.
func TestObjectiveDoesNotOverflow(t *testing.T) {
	const year = 365 * 24 * time.Hour
	steps := make([]submission.Step, submission.MaxSteps)
	for i := range steps {
		steps[i] = submission.Step{Count: 1, Estimate: year}
		if i > 0 {
			steps[i].DependsOn = []int{i - 1}
		}
	}
	sub := &submission.Submission{Spec: submission.Spec{Steps: steps}, Slack: 1e6, BaseObjective: year}
	if err := sub.Validate(); err != nil {
		t.Fatal(err)
	}
	if got := Objective(sub); got != 101*year {
		t.Errorf("got %s, want %s", got, 101*year)
	}
	sub.Slack, sub.Steps = 1.5, steps[:2]
	if got := Objective(sub); got != 4*year {
		t.Errorf("got %s, want %s", got, 4*year)
	}
}
