package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Times of the simulated workers.
const (
	_simTick       = 10 * time.Millisecond
	_simRoundTicks = 5                       // between rounds without ends
	_simCrashDelay = 10 * time.Millisecond   // from a start to the crash that it causes
	_simDetection  = 2600 * time.Millisecond // from a crash until the ends are recorded
	_simDowntime   = 3200 * time.Millisecond
	_simMaxStarts  = 5 // of a task that crashes workers: three, and fewer than three more
)

// crashSim simulates a pool whose workers crash.
type crashSim struct {
	t          *testing.T
	now        time.Time
	store      submission.Store
	s          Scheduler
	workers    []Worker
	crashers   map[submission.TaskID]time.Duration // tasks that crash their worker, and after which time
	crashAt    map[string]time.Time                // of workers that are about to crash
	downSince  map[string]time.Time                // of crashed workers
	endAt      map[submission.RunID]submission.End // ends that are not recorded yet
	due        map[submission.RunID]time.Time      // when an end is recorded
	startedAt  map[submission.RunID]time.Time
	starts     map[submission.TaskID]int
	round      int
	waits      map[string]time.Duration // of submissions without an active run
	longest    time.Duration            // of these waits
	silentLoss bool                     // crashes show as expired leases
	unreported func() bool              // whether the next crash shows as an expired lease; nil for never
}

func newCrashSim(t *testing.T, workers int) *crashSim {
	sim := &crashSim{
		t: t, now: testNow, workers: newWorkers(workers, 16000, 62500),
		crashers: make(map[submission.TaskID]time.Duration), crashAt: make(map[string]time.Time), downSince: make(map[string]time.Time),
		endAt: make(map[submission.RunID]submission.End), due: make(map[submission.RunID]time.Time),
		startedAt: make(map[submission.RunID]time.Time), waits: make(map[string]time.Duration), starts: make(map[submission.TaskID]int),
	}
	sim.s.setWorkers(&sim.store, sim.workers)
	return sim
}

func (sim *crashSim) submit(id string, priority int, steps ...submission.Step) {
	sim.store.Submit(submission.Submission{
		Spec: submission.Spec{ID: id, Queue: fmt.Sprint("q", priority), Steps: steps}, Service: "s", Priority: priority,
		MaxAttempts: 4, Slack: 2, BaseObjective: time.Second,
	}, sim.now)
}

// crash ends a worker's process. Its agent reports the crash, unless the loss is
// silent.
func (sim *crashSim) crash(i int) {
	w := &sim.workers[i]
	sim.s.RemoveWorker(w.Incarnation)
	delete(sim.crashAt, w.Incarnation)
	sim.downSince[w.Incarnation] = sim.now
	u := sim.store.Usage(w.Incarnation)
	if u == nil {
		return
	}
	silent := sim.silentLoss || sim.unreported != nil && sim.unreported()
	for run := range u.Runs {
		e := submission.End{Run: run, Worker: w.Incarnation, Reason: submission.Crashed, Ran: sim.now.Sub(sim.startedAt[run])}
		if silent {
			e.Reason, e.Ran = submission.LeaseExpired, 0
		}
		sim.endAt[run], sim.due[run] = e, sim.now.Add(_simDetection)
		sim.breakGang(run)
	}
}

// breakGang ends the runs of a gang on other workers than a member's that is lost.
func (sim *crashSim) breakGang(lost submission.RunID) {
	sub, _ := sim.store.Submission(lost.Task.Submission)
	if !sub.Steps[lost.Task.Step].Gang {
		return
	}
	for _, st := range sub.Runs() {
		if _, down := sim.downSince[st.Worker]; !down && st.Run.Number == lost.Number {
			sim.endAt[st.Run] = submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.GangBroken}
			sim.due[st.Run] = sim.now.Add(_simTick)
		}
	}
}

// step advances the time by one tick.
func (sim *crashSim) step() {
	sim.now = sim.now.Add(_simTick)
	for i := range sim.workers {
		w := &sim.workers[i]
		if at, ok := sim.crashAt[w.Incarnation]; ok && !sim.now.Before(at) {
			sim.crash(i)
		}
		if at, ok := sim.downSince[w.Incarnation]; ok && sim.now.Sub(at) >= _simDowntime {
			delete(sim.downSince, w.Incarnation)
			w.Incarnation += "+"
			w.Since = sim.now
			sim.s.SetWorker(&sim.store, *w)
		}
	}
	var ends []submission.End
	for run, at := range sim.due {
		if !sim.now.Before(at) {
			ends = append(ends, sim.endAt[run])
			delete(sim.due, run)
			delete(sim.endAt, run)
		}
	}
	slices.SortFunc(ends, func(a, b submission.End) int { return compareRuns(a.Run, b.Run) })
	sim.store.EndAll(ends, sim.now)
	for _, e := range ends {
		sim.s.RecordEnd(sim.now, &sim.store, e, sim.now.Sub(sim.startedAt[e.Run]))
	}
	if sim.round++; sim.round%_simRoundTicks == 0 || len(ends) > 0 {
		for _, st := range sim.s.startTasks(sim.t, &sim.store, sim.now) {
			sim.handleStart(st)
		}
	}
	for _, sub := range sim.store.Unended() {
		if sub.ActiveRuns() > 0 {
			delete(sim.waits, sub.ID)
			continue
		}
		sim.waits[sub.ID] += _simTick
		sim.longest = max(sim.longest, sim.waits[sub.ID])
	}
}

func (sim *crashSim) handleStart(st submission.Start) {
	sim.startedAt[st.Run] = sim.now
	sim.starts[st.Run.Task]++
	if after, ok := sim.crashers[st.Run.Task]; ok {
		if _, crashing := sim.crashAt[st.Worker]; !crashing {
			sim.crashAt[st.Worker] = sim.now.Add(after)
		}
	}
	sub, _ := sim.store.Submission(st.Run.Task.Submission)
	step := &sub.Steps[st.Run.Task.Step]
	if step.LongRunning {
		return
	}
	sim.endAt[st.Run] = submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Done}
	sim.due[st.Run] = sim.now.Add(step.Estimate)
}

func (sim *crashSim) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.step()
	}
}

func (sim *crashSim) state(id string) submission.State {
	sub, ok := sim.store.Submission(id)
	if !ok {
		return 0
	}
	return sub.State
}

var (
	lookupStep = submission.Step{Count: 6, Needs: submission.Resources{CPU: 240, Memory: 500}, Estimate: 640 * time.Millisecond}
	planStep   = submission.Step{Count: 8, Needs: submission.Resources{CPU: 1800, Memory: 4000}, Estimate: 1700 * time.Millisecond}
	watchStep  = submission.Step{Count: 6, Needs: submission.Resources{CPU: 400, Memory: 500}, LongRunning: true}
)

// TestTaskThatCrashesWorkersIsGivenUp has tasks that crash each worker that starts
// them, beside other work.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	gang, lasting := lookupStep, watchStep
	gang.Gang = true
	tests := []struct {
		name  string
		step  submission.Step
		after time.Duration // from the start to the crash
	}{
		{name: "task", step: lookupStep, after: _simCrashDelay},
		{name: "gang", step: gang, after: _simCrashDelay},
		{name: "lasting task", step: lasting, after: _simCrashDelay},
		{name: "large task", step: planStep, after: _simCrashDelay},
		{name: "later crash", step: planStep, after: 900 * time.Millisecond},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			sim := newCrashSim(t, 11)
			sim.submit("watch", 0, watchStep)
			innocent := 0
			for i := range 40 {
				sim.submit(fmt.Sprint("lookup", i), 0, lookupStep, lookupStep)
				if i%4 == 0 {
					sim.submit(fmt.Sprint("plan", i), 2, planStep, planStep)
				}
				if i%10 == 3 {
					id := submission.TaskID{Submission: fmt.Sprint("bad", i), Index: i % tc.step.Count}
					sim.crashers[id] = tc.after
					sim.submit(id.Submission, 0, tc.step, lookupStep)
				}
				innocent++
				sim.run(250 * time.Millisecond)
			}
			sim.run(40 * time.Second)
			for id := range sim.crashers {
				if sim.starts[id] > _simMaxStarts || sim.state(id.Submission) != submission.OutOfAttempts {
					t.Errorf("%s was started %d times and its submission is %s; want at most %d times and failed", id, sim.starts[id], sim.state(id.Submission), _simMaxStarts)
				}
			}
			for i := range innocent {
				if id := fmt.Sprint("lookup", i); sim.state(id) != submission.Completed {
					t.Errorf("%s is %s, want completed", id, sim.state(id))
				}
			}
			if limit := 3 * time.Second; sim.longest >= limit {
				t.Errorf("a submission had no active run for %s, want less than %s", sim.longest, limit)
			}
			if sim.state("watch") != submission.Running {
				t.Errorf("the watch is %s, want running", sim.state("watch"))
			}
		})
	}
}

// TestNewLeaderKeepsWhatIsKnownOfCrashes changes the leader after each crash.
func TestNewLeaderKeepsWhatIsKnownOfCrashes(t *testing.T) {
	sim := newCrashSim(t, 11)
	id := submission.TaskID{Submission: "bad", Index: 2}
	sim.crashers[id] = _simCrashDelay
	sim.submit("bad", 0, lookupStep)
	for range 10 {
		sim.submit(fmt.Sprint("lookup", sim.round), 0, lookupStep, lookupStep)
		sim.run(time.Second)
		sim.s.Reset()
		sim.s.setWorkers(&sim.store, sim.upWorkers())
	}
	if sim.starts[id] > _simMaxStarts || sim.state("bad") != submission.OutOfAttempts {
		t.Errorf("started %d times, the submission is %s; want at most %d times and failed", sim.starts[id], sim.state("bad"), _simMaxStarts)
	}
}

func (sim *crashSim) upWorkers() []Worker {
	var out []Worker
	for _, w := range sim.workers {
		if _, down := sim.downSince[w.Incarnation]; !down {
			out = append(out, w)
		}
	}
	return out
}

// TestCrashesOfOtherCausesGiveUpNoTask crashes workers for reasons that are not in
// their tasks. No submission may fail.
func TestCrashesOfOtherCausesGiveUpNoTask(t *testing.T) {
	long := planStep
	long.Estimate = 12 * time.Second
	tests := []struct {
		name   string
		silent bool
		share  float64 // of crashes that are not reported
		every  time.Duration
		count  int // workers at a time
	}{
		{name: "one worker at a time", every: 2 * time.Second, count: 1},
		{name: "a rack", every: 5 * time.Second, count: 3},
		{name: "half of the pool", every: 6 * time.Second, count: 6},
		{name: "the whole pool", every: 8 * time.Second, count: 11},
		{name: "partitions", every: 2 * time.Second, count: 3, silent: true},
		{name: "one worker at a time, every third unreported", every: 2 * time.Second, count: 1, share: 0.33},
		{name: "half of the pool, every second unreported", every: 6 * time.Second, count: 6, share: 0.5},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(20) {
				rnd := rand.New(rand.NewPCG(seed, 7))
				sim := newCrashSim(t, 11)
				sim.silentLoss = tc.silent
				sim.unreported = func() bool { return tc.share > 0 && rnd.Float64() < tc.share }
				sim.submit("watch", 0, watchStep)
				next := sim.now.Add(tc.every)
				for i := range 200 {
					sim.submit(fmt.Sprint("lookup", i), 0, lookupStep, lookupStep)
					if i%8 == 0 {
						sim.submit(fmt.Sprint("plan", i), 2, planStep)
					}
					if i%25 == 0 {
						sim.submit(fmt.Sprint("long", i), 2, long)
					}
					sim.run(time.Duration(100+rnd.IntN(200)) * time.Millisecond)
					if sim.now.Before(next) {
						continue
					}
					next = sim.now.Add(tc.every)
					for _, w := range rnd.Perm(len(sim.workers))[:tc.count] {
						if _, down := sim.downSince[sim.workers[w].Incarnation]; !down {
							sim.crash(w)
						}
					}
				}
				for _, sub := range sim.store.All() {
					if sub.State == submission.OutOfAttempts {
						t.Errorf("seed %d: %s was given up", seed, sub.ID)
					}
				}
			}
		})
	}
}

// suspect starts a submission's tasks and records prompt crashes under their runs.
// The workers stay in the pool.
func suspect(t *testing.T, s *Scheduler, store *submission.Store, id string) {
	t.Helper()
	for _, st := range s.startTasks(t, store, testNow) {
		if st.Run.Task.Submission == id {
			s.recordEnd(store, testNow, submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Crashed, Ran: time.Millisecond}, 0)
		}
	}
}

// TestSuspectedTaskIsAlone starts a suspected task and then others, for which only its
// worker has room. They must wait until it has survived its start.
func TestSuspectedTaskIsAlone(t *testing.T) {
	var store submission.Store
	workers := newWorkers(2, 16000, 62500)
	workers[1].Capacity.CPU = 100
	s := newScheduler(&store, workers)
	step := lookupStep
	step.Count = 1
	submitSteps(&store, "bad", 0, step)
	suspect(t, s, &store, "bad")
	if got := s.startTasks(t, &store, testNow); len(got) != 1 {
		t.Fatalf("%d tasks started, want the suspected one", len(got))
	}
	submitSteps(&store, "other", 0, step)
	for _, tc := range []struct {
		after time.Duration
		want  int // started tasks
	}{{after: 10 * time.Millisecond}, {after: submission.StartWindow - time.Millisecond}, {after: submission.StartWindow, want: 1}} {
		if got := s.startTasks(t, &store, testNow.Add(tc.after)); len(got) != tc.want {
			t.Errorf("%d tasks started %s after the suspected one, want %d", len(got), tc.after, tc.want)
		}
	}
}

// TestSuspectedTaskFindsWorkerWithoutFreshRun starts tasks on all workers, again and
// again. The suspected task must start where none has just started, and soon.
func TestSuspectedTaskFindsWorkerWithoutFreshRun(t *testing.T) {
	var store submission.Store
	s := newScheduler(&store, newWorkers(2, 16000, 62500))
	step, spread := lookupStep, lookupStep
	step.Count, spread.Count, spread.MaxPerWorker = 1, 2, 1
	submitSteps(&store, "bad", 0, step)
	submitSteps(&store, "first", 0, spread)
	suspect(t, s, &store, "bad")
	latest := map[string]time.Time{"w00": testNow, "w01": testNow} // starts of other submissions
	for after := 50 * time.Millisecond; after < _maxStarvation; after += 50 * time.Millisecond {
		now := testNow.Add(after)
		submitSteps(&store, fmt.Sprint("next", after), 0, spread)
		for _, st := range s.startTasks(t, &store, now) {
			if st.Run.Task.Submission != "bad" {
				latest[st.Worker] = now
				continue
			}
			if fresh := now.Sub(latest[st.Worker]); fresh < submission.StartWindow {
				t.Errorf("the suspected task started %s after another one on its worker", fresh)
			}
			if after > _cordonTime {
				t.Errorf("the suspected task started after %s, want at most %s", after, _cordonTime)
			}
			return
		}
	}
	t.Error("the suspected task did not start")
}

// TestIsolationStarvesNoTask has more suspected tasks than workers that may be
// isolated. In a lightly loaded pool none of them may wait for seconds.
func TestIsolationStarvesNoTask(t *testing.T) {
	for _, lasting := range []bool{false, true} {
		var store submission.Store
		s := newScheduler(&store, newWorkers(3, 16000, 62500))
		for i := range 8 {
			id := fmt.Sprint("s", i)
			step := watchStep
			step.Count, step.LongRunning = 1, lasting
			submitSteps(&store, id, 0, step)
			suspect(t, s, &store, id)
		}
		for now := testNow; now.Before(testNow.Add(_maxStarvation + 200*time.Millisecond)); now = now.Add(50 * time.Millisecond) {
			s.startTasks(t, &store, now)
		}
		for _, sub := range store.All() {
			if sub.ActiveRuns() != 1 {
				t.Errorf("lasting tasks: %t: %s has no active run after %s", lasting, sub.ID, _maxStarvation)
			}
		}
	}
}
