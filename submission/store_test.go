package submission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var testNow = time.Unix(1_700_000_000, 0).UTC()

func oneStep(id string, step Step) Submission {
	return Submission{Spec: Spec{ID: id, Queue: "q", Steps: []Step{step}}, MaxAttempts: 2}
}

func run(id string, step, index int, number uint32) RunID {
	return RunID{Task: TaskID{Submission: id, Step: step, Index: index}, Number: number}
}

func stateOf(t *testing.T, store *Store, id string) State {
	t.Helper()
	s, ok := store.Submission(id)
	if !ok {
		t.Fatalf("submission %q is not known", id)
	}
	return s.State
}

// TestStoreRejectsContradictoryStartsAndEnds submits a submission of two steps. The
// store must reject starts of a step whose dependency is not done, starts of a task
// that has an active run or is done, and ends from the wrong worker. It must prune
// the completed submission after Retention.
func TestStoreRejectsContradictoryStartsAndEnds(t *testing.T) {
	var store Store
	s := Submission{Spec: Spec{ID: "a", Queue: "q", Steps: []Step{{Count: 1}, {Count: 1, DependsOn: []int{0}}}}, MaxAttempts: 2}
	if store.Submit(s, testNow) {
		t.Fatal("the first submit is reported as repeated")
	}
	if !store.Submit(s, testNow) {
		t.Fatal("the second submit is reported as new")
	}
	if got := store.Start([]Start{{Run: run("a", 1, 0, 1), Worker: "w"}}, testNow); len(got) != 0 {
		t.Error("a task started before the step that it depends on was done")
	}
	if got := store.Start([]Start{{Run: run("a", 0, 0, 1), Worker: "w"}}, testNow); len(got) != 1 {
		t.Fatal("the first task was not started")
	}
	if got := store.Start([]Start{{Run: run("a", 0, 0, 2), Worker: "x"}}, testNow); len(got) != 0 {
		t.Error("a task started while a run of it was active")
	}
	if store.End(End{Run: run("a", 0, 0, 1), Worker: "x", Reason: Done}, testNow) {
		t.Error("an end was recorded for a worker that does not have the run")
	}
	store.End(End{Run: run("a", 0, 0, 1), Worker: "w", Reason: Done}, testNow)
	if got := store.Start([]Start{{Run: run("a", 0, 0, 2), Worker: "w"}}, testNow); len(got) != 0 {
		t.Error("a task that is done started again")
	}
	store.Start([]Start{{Run: run("a", 1, 0, 1), Worker: "w"}}, testNow)
	store.End(End{Run: run("a", 1, 0, 1), Worker: "w", Reason: Done}, testNow)
	if got := stateOf(t, &store, "a"); got != Completed {
		t.Errorf("the submission is %s, want completed", got)
	}
	store.Prune(testNow.Add(Retention - time.Second))
	if store.Len() != 1 {
		t.Error("the submission was dropped too early")
	}
	store.Prune(testNow.Add(Retention))
	if store.Len() != 0 {
		t.Error("the submission was not dropped")
	}
}

func TestEndReasonDecidesState(t *testing.T) {
	tests := []struct {
		name    string
		step    Step
		reasons []EndReason
		want    State
	}{
		{"out of attempts", Step{Count: 1}, []EndReason{Failed, Failed}, OutOfAttempts},
		{"other reasons are no attempts", Step{Count: 1}, []EndReason{Failed, Lost, LeaseExpired, Stopped, Rejected, GangBroken, GangIncomplete}, Running},
		{"a long-running task has no limit of attempts", Step{Count: 1, LongRunning: true}, []EndReason{Failed, Failed, Failed}, Running},
		{"a long-running task is never done", Step{Count: 1, LongRunning: true}, []EndReason{Done}, Running},
		{"done after a failure", Step{Count: 1}, []EndReason{Failed, Done}, Completed},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var store Store
			store.Submit(oneStep("a", tc.step), testNow)
			for i, reason := range tc.reasons {
				id := run("a", 0, 0, uint32(i+1))
				if len(store.Start([]Start{{Run: id, Worker: "w"}}, testNow)) != 1 {
					t.Fatalf("run %d was not started", i+1)
				}
				store.End(End{Run: id, Worker: "w", Reason: reason}, testNow)
			}
			if got := stateOf(t, &store, "a"); got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
}

// TestGangSharesCheckpointAndEnd checks that the checkpoint of one member is
// recorded for all, and that the first member done completes the gang.
func TestGangSharesCheckpointAndEnd(t *testing.T) {
	var store Store
	store.Submit(oneStep("a", Step{Count: 3, Gang: true}), testNow)
	start := func(number uint32) {
		var starts []Start
		for i := range 3 {
			starts = append(starts, Start{Run: run("a", 0, i, number), Worker: fmt.Sprint("w", i)})
		}
		if got := store.Start(starts, testNow); len(got) != 3 {
			t.Fatalf("run %d: %d members started, want 3", number, len(got))
		}
	}
	start(1)
	store.End(End{Run: run("a", 0, 1, 1), Worker: "w1", Reason: Failed, Checkpoint: "half"}, testNow)
	store.End(End{Run: run("a", 0, 0, 1), Worker: "w0", Reason: GangBroken}, testNow)
	store.End(End{Run: run("a", 0, 2, 1), Worker: "w2", Reason: GangBroken}, testNow)
	s, _ := store.Submission("a")
	if got := s.Task(TaskID{Submission: "a", Index: 2}).Checkpoint; got != "half" {
		t.Errorf("member 2 has the checkpoint %q, want that of member 1", got)
	}
	start(2)
	store.End(End{Run: run("a", 0, 2, 2), Worker: "w2", Reason: Done}, testNow)
	if s.State != Completed {
		t.Errorf("the submission is %s, want completed since the gang is done", s.State)
	}
	if !s.IsSurplus(run("a", 0, 0, 2)) {
		t.Error("the other members' runs are not surplus")
	}
}

func TestSpeculativeAttemptMakesOtherRunSurplus(t *testing.T) {
	var store Store
	store.Submit(oneStep("a", Step{Count: 1, Speculative: true}), testNow)
	store.Start([]Start{{Run: run("a", 0, 0, 1), Worker: "w"}}, testNow)
	if got := store.Start([]Start{{Run: run("a", 0, 0, 2), Worker: "x"}}, testNow); len(got) != 1 {
		t.Fatal("the speculative attempt was not started")
	}
	store.End(End{Run: run("a", 0, 0, 2), Worker: "x", Reason: Done}, testNow)
	s, _ := store.Submission("a")
	if s.State != Completed || !s.IsSurplus(run("a", 0, 0, 1)) || s.ActiveRuns() != 1 {
		t.Errorf("state %s, surplus %t, %d active runs", s.State, s.IsSurplus(run("a", 0, 0, 1)), s.ActiveRuns())
	}
}

func TestCancelKeepsRunsActive(t *testing.T) {
	var store Store
	store.Submit(oneStep("a", Step{Count: 2, Needs: Resources{CPU: 500}}), testNow)
	store.Start([]Start{{Run: run("a", 0, 0, 1), Worker: "w"}}, testNow)
	if err := store.Cancel("a", testNow); err != nil {
		t.Fatal(err)
	}
	if got := store.Start([]Start{{Run: run("a", 0, 1, 1), Worker: "w"}}, testNow); len(got) != 0 {
		t.Error("a cancelled submission started a task")
	}
	if got := store.Usage("w").Reserved.CPU; got != 500 {
		t.Errorf("the worker has %d reserved, want 500 until the end is recorded", got)
	}
	store.End(End{Run: run("a", 0, 0, 1), Worker: "w", Reason: Stopped}, testNow)
	if store.Usage("w") != nil {
		t.Error("the worker still has runs")
	}
	if err := store.Cancel("b", testNow); err == nil {
		t.Error("an unknown submission was cancelled")
	}
}

// TestSumsMatchRecordAfterRandomOperations compares the sums, which each operation
// updates, with a count over all tasks. It compares them again after a restore.
func TestSumsMatchRecordAfterRandomOperations(t *testing.T) {
	const seeds, ops = 200, 300
	for seed := range uint64(seeds) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		var store Store
		for range ops {
			randomOp(&store, rnd)
		}
		checkSums(t, seed, &store)
		restored := &Store{}
		for _, s := range store.Copies() {
			restored.Put(s)
		}
		checkSums(t, seed, restored)
		if t.Failed() {
			return
		}
	}
}

func randomOp(store *Store, rnd *rand.Rand) {
	id := fmt.Sprint("s", rnd.IntN(6))
	target := run(id, rnd.IntN(2), rnd.IntN(3), uint32(1+rnd.IntN(6)))
	worker := fmt.Sprint("w", rnd.IntN(3))
	switch rnd.IntN(10) {
	case 0:
		first := Step{Count: 1 + rnd.IntN(3), Needs: Resources{CPU: 100, Memory: 10}, Gang: rnd.IntN(4) == 0, Speculative: rnd.IntN(4) == 0}
		second := Step{Count: 1 + rnd.IntN(3), Needs: Resources{CPU: 50}, UnreservedCPU: rnd.IntN(2) == 0, LongRunning: rnd.IntN(4) == 0}
		if rnd.IntN(2) == 0 {
			second.DependsOn = []int{0}
		}
		store.Submit(Submission{Spec: Spec{ID: id, Queue: "q", Steps: []Step{first, second}}, MaxAttempts: 2}, testNow)
	case 1:
		_ = store.Cancel(id, testNow) // fails if the submission is unknown
	case 2, 3, 4, 5:
		store.Start([]Start{{Run: target, Worker: worker}}, testNow)
	default:
		store.End(End{Run: target, Worker: worker, Reason: EndReason(1 + rnd.IntN(8))}, testNow)
	}
}

func checkSums(t *testing.T, seed uint64, store *Store) {
	t.Helper()
	reserved := make(map[string]Resources)
	for _, s := range store.All() {
		waiting, active := 0, 0
		for k, steps := range s.StepRecords {
			for i, rec := range steps {
				done := 0
				for x, task := range rec.Tasks {
					if task.Done {
						done++
					} else if len(task.Runs) == 0 {
						waiting++
					}
					for _, r := range task.Runs {
						active++
						reserved[r.Worker] = reserved[r.Worker].Add(s.Steps[i].Reserved())
						id := RunID{Task: TaskID{Submission: s.ID, Occurrence: k, Step: i, Index: x}, Number: r.Number}
						if store.Usage(r.Worker).Runs[id] != s {
							t.Errorf("seed %d: %v is missing from its worker's runs", seed, id)
						}
					}
					if len(task.Runs) > 1 && !s.Steps[i].Speculative {
						t.Errorf("seed %d: %s.%d.%d has %d active runs", seed, s.ID, i, x, len(task.Runs))
					}
				}
				if done != rec.DoneTasks {
					t.Errorf("seed %d: %d tasks are done, the sum is %d", seed, done, rec.DoneTasks)
				}
			}
		}
		if s.WaitingTasks() != waiting || s.ActiveRuns() != active {
			t.Errorf("seed %d: sums of %d waiting tasks and %d active runs, want %d and %d", seed, s.WaitingTasks(), s.ActiveRuns(), waiting, active)
		}
	}
	for w, want := range reserved {
		if got := store.Usage(w).Reserved; got != want {
			t.Errorf("seed %d: worker %s has %v reserved, want %v", seed, w, got, want)
		}
	}
	if len(store.Incarnations()) != len(reserved) {
		t.Errorf("seed %d: %d workers have runs, want %d", seed, len(store.Incarnations()), len(reserved))
	}
}

func TestTaskIDRoundTrip(t *testing.T) {
	id := TaskID{Submission: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	if got := id.String(); got != "5c0e7a21d94b36f8.2.1.17" {
		t.Errorf("got %q", got)
	}
	if got, ok := ParseTaskID(id.String()); !ok || got != id {
		t.Errorf("parsed %v, %t", got, ok)
	}
	for _, bad := range []string{"", "a", "a.1.2", "a.1.2.x", "a.1.2.-3", "a.1.2.3.4"} {
		if _, ok := ParseTaskID(bad); ok {
			t.Errorf("%q was parsed", bad)
		}
	}
}

func TestValidateRejectsFaultySpecs(t *testing.T) {
	good := Spec{Steps: []Step{{Count: 2}, {Count: 1, DependsOn: []int{0}}}}
	if err := good.Validate(); err != nil {
		t.Errorf("a good specification: %v", err)
	}
	for name, bad := range map[string]Spec{
		"no steps":                   {},
		"no tasks":                   {Steps: []Step{{}}},
		"dependency on a later step": {Steps: []Step{{Count: 1, DependsOn: []int{1}}, {Count: 1}}},
		"dependency on itself":       {Steps: []Step{{Count: 1, DependsOn: []int{0}}}},
		"too many tasks":             {Steps: []Step{{Count: MaxTasks}}, Repeat: 2},
		"negative need":              {Steps: []Step{{Count: 1, Needs: Resources{CPU: -1}}}},
		"negative interval":          {Steps: []Step{{Count: 1}}, Repeat: 2, Interval: -1},
		"text too long":              {Text: string(make([]byte, MaxTextBytes+1)), Steps: []Step{{Count: 1}}},
		"negative occurrences":       {Steps: []Step{{Count: 1}}, Repeat: -1},
		"too many steps":             {Steps: make([]Step, MaxSteps+1)},
	} {
		if bad.Validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// TestIndexesMatchRecord applies random starts, ends and cancellations. After each,
// the counts of waiting and failing tasks, the index of waiting submissions and the
// sums of service tasks must equal those of a store that is built from copies.
func TestIndexesMatchRecord(t *testing.T) {
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		var store Store
		for event := range 200 {
			if rnd.IntN(5) == 0 {
				step := Step{Count: 1 + rnd.IntN(4), Needs: Resources{CPU: 100}, Gang: rnd.IntN(4) == 0, Speculative: rnd.IntN(4) == 0}
				if rnd.IntN(3) == 0 {
					step.LongRunning, step.TailTarget = true, time.Second
				}
				s := oneStep(fmt.Sprint("s", event), step)
				s.MaxAttempts, s.Service = 3, fmt.Sprint(rnd.IntN(2))
				store.Submit(s, testNow)
			}
			for _, s := range store.All() {
				if rnd.IntN(20) == 0 {
					_ = store.Cancel(s.ID, testNow)
				}
				for x := range s.StepRecords[0][0].Tasks {
					if rnd.IntN(3) == 0 {
						number := s.StepRecords[0][0].Tasks[x].LastRun + 1
						store.Start([]Start{{Run: run(s.ID, 0, x, number), Worker: "w"}}, testNow)
					}
				}
				for _, st := range s.Runs() {
					if rnd.IntN(3) == 0 {
						store.End(End{Run: st.Run, Worker: st.Worker, Reason: EndReason(1 + rnd.IntN(int(Rejected)))}, testNow)
					}
				}
			}
			if err := compareIndexes(&store); err != nil {
				t.Fatalf("seed %d, event %d: %v", seed, event, err)
			}
		}
	}
}

func compareIndexes(store *Store) error {
	var rebuilt Store
	for _, s := range store.Copies() {
		rebuilt.Put(s)
	}
	waiting := make(map[string]bool)
	store.EachWaiting(func(s *Submission) { waiting[s.ID] = true })
	for _, want := range rebuilt.All() {
		got, _ := store.Submission(want.ID)
		if got.WaitingTasks() != want.WaitingTasks() || got.FailingTasks() != want.FailingTasks() || got.ActiveRuns() != want.ActiveRuns() ||
			got.StepRecords[0][0].WaitingTasks() != want.StepRecords[0][0].WaitingTasks() {
			return fmt.Errorf("%s: %d waiting, %d failing, %d active; want %d, %d, %d", got.ID,
				got.WaitingTasks(), got.FailingTasks(), got.ActiveRuns(), want.WaitingTasks(), want.FailingTasks(), want.ActiveRuns())
		}
		if waiting[got.ID] != (got.WaitingTasks() > 0 && !got.State.Ended()) {
			return fmt.Errorf("%s is indexed as waiting: %t", got.ID, waiting[got.ID])
		}
	}
	for _, service := range []string{"0", "1"} {
		if got, want := store.ServiceCPU(service), rebuilt.ServiceCPU(service); got != want {
			return fmt.Errorf("service tasks of %s request %d, want %d", service, got, want)
		}
	}
	return nil
}

// The wire has 32 bits for each number of a task. A larger one named another task.
func TestTaskIDOutOfRangeIsRefused(t *testing.T) {
	for name, want := range map[string]bool{
		"s.0.0.0": true, "s.19999.255.19999": true, "5c0e7a21d94b36f8.0.1.17": true,
		"s.20000.0.0": false, "s.0.256.0": false, "s.0.0.20000": false, "s.0.0.4294967296": false, "s.4294967296.0.0": false,
		"s.0.0.99999999999999999999": false, "s.-1.0.0": false, "s.+1.0.0": false, "s.01.0.0": false, "s.0.0": false, "s.0.0.0.0": false,
		"s.0.0.": false, "s.0.0.1e1": false, ".0.0.0": false, "": false,
	} {
		id, ok := ParseTaskID(name)
		if ok != want || ok && id.String() != name {
			t.Errorf("%s: got %+v, %t", name, id, ok)
		}
	}
}

func FuzzParseTaskID(f *testing.F) {
	f.Add("5c0e7a21d94b36f8.0.1.17")
	f.Add("s.4294967296.-1.+1")
	f.Fuzz(func(t *testing.T, name string) {
		if id, ok := ParseTaskID(name); ok && id.String() != name {
			t.Errorf("%q was parsed as %+v", name, id)
		}
	})
}

// Durations are summed up over steps and occurrences; sums that overflow are negative.
func TestValidateBoundsNumbers(t *testing.T) {
	const year = 365 * 24 * time.Hour
	for _, tc := range []struct {
		name  string
		ok    bool
		apply func(s *Spec)
	}{
		{"cpu at the bound", true, func(s *Spec) { s.Steps[0].Needs.CPU = 1 << 40 }},
		{"cpu above it", false, func(s *Spec) { s.Steps[0].Needs.CPU = 1<<40 + 1 }},
		{"memory above it", false, func(s *Spec) { s.Steps[0].Needs.Memory = 1<<40 + 1 }},
		{"gpu above it", false, func(s *Spec) { s.Steps[0].Needs.GPU = 1<<40 + 1 }},
		{"estimate at the bound", true, func(s *Spec) { s.Steps[0].Estimate = year }},
		{"estimate above it", false, func(s *Spec) { s.Steps[0].Estimate = year + 1 }},
		{"tail target at the bound", true, func(s *Spec) { s.Steps[0].TailTarget = year }},
		{"tail target above it", false, func(s *Spec) { s.Steps[0].TailTarget = year + 1 }},
		{"negative tail target", false, func(s *Spec) { s.Steps[0].TailTarget = -1 }},
		{"limit per worker at the bound", true, func(s *Spec) { s.Steps[0].MaxPerWorker = math.MaxInt32 }},
		{"limit per worker above it", false, func(s *Spec) { s.Steps[0].MaxPerWorker = math.MaxInt32 + 1 }},
		{"unavailable tasks at the bound", true, func(s *Spec) { s.Steps[0].MaxUnavailable = math.MaxInt32 }},
		{"unavailable tasks above it", false, func(s *Spec) { s.Steps[0].MaxUnavailable = math.MaxInt32 + 1 }},
		{"interval at the bound", true, func(s *Spec) { s.Repeat, s.Interval = 2, year }},
		{"interval above it", false, func(s *Spec) { s.Repeat, s.Interval = 2, year+1 }},
		{"last occurrence at the bound", true, func(s *Spec) { s.Repeat, s.Interval = 101, year }},
		{"last occurrence above it", false, func(s *Spec) { s.Repeat, s.Interval = 102, year }},
		{"first occurrence at the bound", true, func(s *Spec) { s.Repeat, s.StartAt = 1, time.Date(2199, 12, 31, 0, 0, 0, 0, time.UTC) }},
		{"first occurrence above it", false, func(s *Spec) { s.Repeat, s.StartAt = 1, time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC) }},
		{"first occurrence below it", false, func(s *Spec) { s.Repeat, s.StartAt = 1, time.Date(1969, 12, 31, 0, 0, 0, 0, time.UTC) }},
		{"no first occurrence", true, func(s *Spec) { s.Repeat = 1 }},
	} {
		s := Spec{ID: "s", Queue: "q", Steps: []Step{{Count: 1}}}
		tc.apply(&s)
		if err := s.Validate(); (err == nil) != tc.ok {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}
