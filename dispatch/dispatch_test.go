package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

var testNow = time.Unix(1_700_000_000, 0).UTC()

func pool(n int, cpu, memory int64) []Worker {
	out := make([]Worker, n)
	for i := range out {
		out[i] = Worker{
			Life: fmt.Sprintf("w%02d", i), Service: "s", Rack: fmt.Sprint("r", i/3), Labels: []string{"a", fmt.Sprint("r", i/3)},
			Capacity: submission.Resources{CPU: cpu, Memory: memory}, Open: true,
		}
	}
	return out
}

func submit(b *submission.Book, id string, priority int, steps ...submission.Step) {
	b.Submit(submission.Submission{
		Spec:    submission.Spec{ID: id, Queue: fmt.Sprint("q", priority), Steps: steps},
		Service: "s", Priority: priority, Attempts: 2, Slack: 2, Target: time.Second,
	}, testNow)
}

var (
	serving = submission.Step{Count: 4, Needs: submission.Resources{CPU: 13000, Memory: 26000}, LongRunning: true, Image: "web", TailTarget: 10 * time.Millisecond}
	filling = submission.Step{Count: 8, Needs: submission.Resources{CPU: 7000, Memory: 13000}, Image: "cut", Estimate: 2700 * time.Millisecond}
	plain   = submission.Step{Count: 6, Needs: submission.Resources{CPU: 960, Memory: 1900}, Estimate: 800 * time.Millisecond}
)

// commit records the starts that a round decides and returns how many there were.
func commit(t *testing.T, b *submission.Book, now time.Time, workers []Worker) int {
	t.Helper()
	starts := Starts(now, now, b, workers, &interference.Table{}, &Approvals{})
	if got := b.Start(starts, now); len(got) != len(starts) {
		t.Fatalf("%d of %d starts were taken in", len(got), len(starts))
	}
	return len(starts)
}

// TestKindsApart plays hand-ins of both kinds in any order: tasks that serve
// and tasks that fill share no worker while there is room elsewhere.
func TestKindsApart(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var b submission.Book
		workers := pool(11, 64000, 256000)
		for i := range 10 {
			step, priority := serving, 0
			if rnd.IntN(2) == 0 {
				step, priority = filling, 2
			}
			step.Count = 1 + rnd.IntN(4)
			submit(&b, fmt.Sprint("s", i), priority, step)
			commit(t, &b, testNow, workers)
		}
		for _, w := range workers {
			if u := b.Usage(w.Life); u != nil && u.Serving > 0 && u.Filling > 0 {
				t.Errorf("seed %d: %s has %d tasks that serve and %d that fill", seed, w.Life, u.Serving, u.Filling)
			}
		}
	}
}

// TestLeftoverNeedsIdleCPU plays a pile of steps whose CPU is not counted:
// they start only where a worker has the CPU that they want.
func TestLeftoverNeedsIdleCPU(t *testing.T) {
	var b submission.Book
	workers := pool(2, 64000, 256000)
	step := filling
	step.Leftover = true
	for i := range 20 {
		submit(&b, fmt.Sprint("s", i), 2, step)
	}
	commit(t, &b, testNow, workers)
	for _, w := range workers {
		if got := b.Usage(w.Life).Wanted; got > w.Capacity.CPU {
			t.Errorf("%s: the runs want %d of %d", w.Life, got, w.Capacity.CPU)
		}
	}
}

// TestNothingStandsStill hands in a submission whose tasks would get no CPU,
// on workers whose CPU is not taken: it gets one task after a while.
func TestNothingStandsStill(t *testing.T) {
	var b submission.Book
	workers := pool(2, 64000, 256000)
	step := filling
	step.Leftover = true
	step.Count = 18
	submit(&b, "first", 2, step)
	commit(t, &b, testNow, workers)
	submit(&b, "second", 2, step)
	if got := commit(t, &b, testNow, workers); got != 0 {
		t.Errorf("%d tasks started at once, want none", got)
	}
	if got := commit(t, &b, testNow.Add(_idleMost), workers); got != 1 {
		t.Errorf("%d tasks started after %s, want 1", got, _idleMost)
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
		{name: "all fit", workers: pool(2, 64000, 256000), step: plain, want: 6},
		{name: "memory is full", workers: pool(1, 64000, 4000), step: plain, want: 2},
		{
			name: "anti-affinity", workers: pool(3, 64000, 256000), want: 3,
			step: with(plain, func(s *submission.Step) { s.MostPerWorker = 1 }),
			check: func(_ Worker, runs int) error {
				if runs > 1 {
					return fmt.Errorf("%d runs", runs)
				}
				return nil
			},
		},
		{
			name: "a label that no worker has", workers: pool(3, 64000, 256000), want: 0,
			step: with(plain, func(s *submission.Step) { s.Requirement = "gpu" }),
		},
		{
			name: "the rack of the data", workers: pool(6, 64000, 256000), want: 6,
			step: with(plain, func(s *submission.Step) { s.DataRack = "r1" }),
			check: func(w Worker, runs int) error {
				if runs > 0 && w.Rack != "r1" {
					return fmt.Errorf("%d runs on %s", runs, w.Rack)
				}
				return nil
			},
		},
		{
			name: "a gang that does not fit as a whole", workers: pool(1, 4000, 256000), want: 0,
			step: with(plain, func(s *submission.Step) { s.Gang = true }),
		},
		{
			name: "a gang that fits", workers: pool(2, 4000, 256000), want: 6,
			step: with(plain, func(s *submission.Step) { s.Gang = true }),
		},
		{
			name: "another service's workers", want: 0, step: plain,
			workers: []Worker{{Life: "w", Service: "t", Capacity: submission.Resources{CPU: 64000, Memory: 64000}, Open: true}},
		},
		{
			name: "a worker that leaves", want: 0, step: plain,
			workers: []Worker{{Life: "w", Service: "s", Capacity: submission.Resources{CPU: 64000, Memory: 64000}}},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var b submission.Book
			submit(&b, "a", 0, tc.step)
			if got := commit(t, &b, testNow, tc.workers); got != tc.want {
				t.Errorf("%d starts, want %d", got, tc.want)
			}
			for _, w := range tc.workers {
				u := b.Usage(w.Life)
				if u == nil {
					continue
				}
				if !u.Taken.Fits(w.Capacity) {
					t.Errorf("%s: %v taken of %v", w.Life, u.Taken, w.Capacity)
				}
				if tc.check != nil {
					if err := tc.check(w, len(u.Runs)); err != nil {
						t.Errorf("%s: %v", w.Life, err)
					}
				}
			}
		})
	}
}

// TestAdvice plays a queue whose steps need tickets: nothing starts without,
// and only approved workers get tasks, for as long as the tickets are valid.
func TestAdvice(t *testing.T) {
	var b submission.Book
	b.Submit(submission.Submission{
		Spec:    submission.Spec{ID: "a", Queue: "q", Steps: []submission.Step{{Count: 4, Needs: submission.Resources{CPU: 1000}}}},
		Service: "s", Attempts: 2, Advised: true,
	}, testNow)
	workers := pool(3, 2000, 1000)
	var a Approvals
	if got := Starts(testNow, testNow, &b, workers, &interference.Table{}, &a); len(got) != 0 {
		t.Fatalf("%d tasks started without a ticket", len(got))
	}
	questions := a.Questions(testNow, testNow, &b, workers)
	if len(questions) != 1 || len(questions[0].Workers) != len(workers) {
		t.Fatalf("questions %v", questions)
	}
	id := StepID{Submission: "a"}
	a.Add(testNow, id, questions[0].Workers, map[string]string{"w01": "t1"}, time.Second)
	starts := Starts(testNow, testNow, &b, workers, &interference.Table{}, &a)
	if len(starts) != 2 {
		t.Fatalf("%d tasks started, want the 2 that fit", len(starts))
	}
	for _, st := range starts {
		if st.Worker != "w01" {
			t.Errorf("a task started on %s", st.Worker)
		}
	}
	if got := a.Questions(testNow, testNow, &b, workers); len(got) != 0 {
		t.Errorf("asked again while a ticket is valid: %v", got)
	}
	later := testNow.Add(time.Second)
	if got := Starts(later, later, &b, workers, &interference.Table{}, &a); len(got) != 0 {
		t.Errorf("%d tasks started with an old ticket", len(got))
	}
	if got := a.Questions(later, later, &b, workers); len(got) != 1 || len(got[0].Workers) != 1 {
		t.Errorf("questions %v, want one on the worker that was approved", got)
	}
}

func TestOccurrencesWaitForTheirTime(t *testing.T) {
	var b submission.Book
	b.Submit(submission.Submission{
		Spec: submission.Spec{
			ID: "a", Queue: "q", Steps: []submission.Step{{Count: 1}}, Repeat: 3,
			StartAt: testNow.Add(10 * time.Second), Interval: 5 * time.Second,
		},
		Service: "s", Attempts: 1,
	}, testNow)
	workers := pool(1, 1000, 1000)
	for _, tc := range []struct{ after, want int }{{0, 0}, {9, 0}, {10, 1}, {14, 0}, {21, 2}} {
		if got := commit(t, &b, testNow.Add(time.Duration(tc.after)*time.Second), workers); got != tc.want {
			t.Errorf("after %d s: %d starts, want %d", tc.after, got, tc.want)
		}
	}
}

// overload plays batch hand-ins of twice the pool's capacity and returns the
// share that is completed within its objective.
func overload(t *testing.T, seed uint64) float64 {
	t.Helper()
	const hand, tick = 400 * time.Millisecond, 100 * time.Millisecond
	rnd := rand.New(rand.NewPCG(seed, 5))
	var b submission.Book
	workers := pool(4, 64000, 256000)
	ends := make(map[submission.Start]time.Time)
	now, handed, inTime := testNow, 0, 0
	for i := 0; i < 900; i++ {
		now = now.Add(tick)
		if i%int(hand/tick) == 0 && i < 600 {
			first := filling
			first.Count = 1 + rnd.IntN(16)
			second := first
			second.DependsOn = []int{0}
			handed++
			b.Submit(submission.Submission{
				Spec:    submission.Spec{ID: fmt.Sprint("s", i), Queue: "q", Steps: []submission.Step{first, second}},
				Service: "s", Priority: 2, Attempts: 2, Slack: 2, Target: time.Second,
			}, now)
		}
		for st, at := range ends {
			if !at.After(now) {
				b.End(submission.End{Run: st.Run, Worker: st.Worker, How: submission.Done}, now)
				delete(ends, st)
			}
		}
		for _, st := range b.Start(Starts(now, now, &b, workers, &interference.Table{}, &Approvals{}), now) {
			ends[st] = now.Add(time.Duration(float64(filling.Estimate) * (0.8 + 0.4*rnd.Float64())))
		}
	}
	for _, s := range b.All() {
		if s.State == submission.Completed && s.EndedAt.Sub(s.Accepted) <= Objective(s) {
			inTime++
		}
	}
	return float64(inTime) / float64(handed)
}

// TestOverloadStillServes checks what callers get when twice as much is handed
// in as the pool can do: at least a third must be in time. In order of deadline
// one in ten is, since all become late together.
func TestOverloadStillServes(t *testing.T) {
	for seed := range uint64(5) {
		if got := overload(t, seed); got < 0.33 {
			t.Errorf("seed %d: %.2f of the submissions are in time", seed, got)
		}
	}
}

// TestDoubtedSubmission plays a submission with a task that always fails: once
// it has failed twice only that task is started, before all other work, so that
// its caller learns soon and no more work is thrown away.
func TestDoubtedSubmission(t *testing.T) {
	var b submission.Book
	workers := pool(1, 7000, 256000) // room for one task
	hopeless := filling
	hopeless.Count = 3
	b.Submit(submission.Submission{
		Spec:    submission.Spec{ID: "hopeless", Queue: "q2", Steps: []submission.Step{hopeless}},
		Service: "s", Priority: 2, Attempts: 4, Slack: 2, Target: time.Second,
	}, testNow)
	now := testNow
	fail := func(number uint32) {
		id := submission.RunID{Task: submission.TaskID{Submission: "hopeless", Index: 1}, Number: number}
		if len(b.Start([]submission.Start{{Run: id, Worker: "w00"}}, now)) != 1 {
			t.Fatalf("run %d was not started", number)
		}
		b.End(submission.End{Run: id, Worker: "w00", How: submission.Failed}, now)
	}
	fail(1)
	fail(2)
	submit(&b, "other", 2, filling)
	for want := uint32(3); want <= 4; want++ {
		now = now.Add(time.Second)
		starts := Starts(now, now, &b, workers, &interference.Table{}, &Approvals{})
		if len(starts) != 1 || starts[0].Run.Task.Submission != "hopeless" || starts[0].Run.Task.Index != 1 {
			t.Fatalf("starts %v, want run %d of the doubted task", starts, want)
		}
		fail(want)
	}
	if s, _ := b.Submission("hopeless"); s.State != submission.GaveUp {
		t.Errorf("the submission is %s, want failed", s.State)
	}
}

// TestUrgentWorkFindsHeadroom fills the pool with batch work: a short urgent
// task still starts at once.
func TestUrgentWorkFindsHeadroom(t *testing.T) {
	var b submission.Book
	workers := pool(3, 64000, 256000)
	step := filling
	step.Needs.CPU = 1000
	step.Needs.Memory = 100
	step.Count = 1000
	submit(&b, "batch", 2, step)
	commit(t, &b, testNow, workers)
	urgent := plain
	submit(&b, "urgent", 0, urgent)
	if got := commit(t, &b, testNow, workers); got != urgent.Count {
		t.Errorf("%d urgent tasks started, want %d", got, urgent.Count)
	}
}

// TestLastingTasksLeaveHeadroom hands in more lasting tasks of an urgent queue
// than the pool holds, and then short urgent work: it starts at once. A lasting
// task that would fit the headroom may take it, as it must not be away beside
// free room.
func TestLastingTasksLeaveHeadroom(t *testing.T) {
	var b submission.Book
	workers := pool(2, 64000, 256000)
	lasting := serving
	lasting.Needs.CPU, lasting.Count = 15500, 8 // four take all but 3% of a worker
	submit(&b, "lasting", 0, lasting)
	commit(t, &b, testNow, workers)
	submit(&b, "short", 0, plain)
	if got := commit(t, &b, testNow, workers); got != plain.Count {
		t.Errorf("%d short tasks started, want %d", got, plain.Count)
	}
	small := serving
	small.Needs.CPU, small.Count = 3000, 1
	submit(&b, "small", 0, small)
	if got := commit(t, &b, testNow, workers); got != 1 {
		t.Errorf("%d small lasting tasks started, want 1", got)
	}
}

// TestLastingTaskStartsWhereItFitsTwice has a lasting task that would leave no
// headroom wherever it starts. It waits if only one worker has room, and starts
// if two have: tasks that last must not be away while there is room for two.
func TestLastingTaskStartsWhereItFitsTwice(t *testing.T) {
	for _, size := range []int{1, 2} {
		var b submission.Book
		workers := pool(size, 64000, 256000)
		first := serving
		first.Needs.CPU, first.Count, first.MostPerWorker = 48000, size, 1
		submit(&b, "first", 0, first)
		commit(t, &b, testNow, workers)
		second := serving
		second.Needs.CPU, second.Count = 15000, 1
		submit(&b, "second", 0, second)
		if got, want := commit(t, &b, testNow, workers), size-1; got != want {
			t.Errorf("%d workers with room: %d tasks started, want %d", size, got, want)
		}
	}
}
