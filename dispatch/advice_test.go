package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// _maxAdvicePass is the time in which each worker of a pool of 150 has its turn in
// requests that are answered at once.
const _maxAdvicePass = 15 * time.Second

// adviceSim plays an advice service with a scheduler whose queue needs its tickets.
type adviceSim struct {
	t        *testing.T
	s        *Scheduler
	store    submission.Store
	now      time.Time
	validity time.Duration
	latency  time.Duration // of a request
	approves func(id StepID, worker string) bool
	fails    func(id StepID) bool

	request  AdviceRequest
	answerAt time.Time
	asked    map[string]int // requests by worker
	largest  int            // workers in one request
}

func newAdviceSim(t *testing.T, workers int, validity time.Duration, approves func(StepID, string) bool) *adviceSim {
	t.Helper()
	a := &adviceSim{t: t, now: testNow, validity: validity, approves: approves, fails: func(StepID) bool { return false }, asked: make(map[string]int)}
	a.s = newScheduler(&a.store, newAdviceWorkers(workers))
	return a
}

func newAdviceWorkers(n int) []Worker {
	workers := newWorkers(n, 64000, 256000)
	for i := range workers {
		workers[i].Incarnation = fmt.Sprintf("w%04d", i)
	}
	return workers
}

func (a *adviceSim) submit(id string, priority int, step submission.Step) {
	a.t.Helper()
	a.store.Submit(submission.Submission{
		Spec:    submission.Spec{ID: id, Queue: "q", Steps: []submission.Step{step}},
		Service: "s", Priority: priority, MaxAttempts: 4, NeedsAdvice: true,
	}, a.now)
}

// step plays 20 ms.
func (a *adviceSim) step() {
	a.t.Helper()
	a.now = a.now.Add(20 * time.Millisecond)
	if !a.answerAt.IsZero() && !a.now.Before(a.answerAt) {
		a.answerAt = time.Time{}
		a.answer()
	}
	if a.answerAt.IsZero() {
		a.s.PruneAdvice(&a.store)
		if request, ok := a.s.NextAdviceRequest(clocksAt(a.now), &a.store); ok {
			a.request, a.answerAt = request, a.now.Add(a.latency)
			a.largest = max(a.largest, len(request.Workers))
			for _, w := range request.Workers {
				a.asked[w]++
			}
		}
	}
	starts := a.s.startTasks(a.t, &a.store, a.now)
	for _, st := range starts {
		id := StepID{Submission: st.Run.Task.Submission, Occurrence: st.Run.Task.Occurrence, Step: st.Run.Task.Step}
		if _, ok := a.s.Ticket(a.now, id, st.Worker); !ok {
			a.t.Errorf("%v started on %s without a valid ticket", st.Run, st.Worker)
		}
	}
}

func (a *adviceSim) answer() {
	if a.fails(a.request.Step) {
		a.s.RecordAdviceFailure(a.now, a.request.Step)
		return
	}
	tickets := make(map[string]string)
	for _, w := range a.request.Workers {
		if a.approves(a.request.Step, w) {
			tickets[w] = "t"
		}
	}
	a.s.RecordAdvice(a.now, a.request.Step, a.request.Workers, tickets, a.validity)
}

// active returns the number of a submission's active runs.
func (a *adviceSim) active(id string) int {
	sub, ok := a.store.Submission(id)
	if !ok {
		return 0
	}
	return sub.ActiveRuns()
}

func (a *adviceSim) runUntil(d time.Duration, done func() bool) bool {
	for end := a.now.Add(d); a.now.Before(end); {
		if a.step(); done() {
			return true
		}
	}
	return false
}

// TestApprovedWorkersAreFound guards against tasks that never start, since the advice
// service is asked about the same workers again and again: whichever workers of a pool the
// policy allows, each has its turn.
func TestApprovedWorkersAreFound(t *testing.T) {
	watch := submission.Step{Needs: submission.Resources{CPU: 1000}, LongRunning: true, MaxPerWorker: 1}
	gang := submission.Step{Needs: submission.Resources{CPU: 1000}, Gang: true, MaxPerWorker: 1, Estimate: time.Minute}
	for _, tc := range []struct {
		workers, allowed, tasks int
		validity, latency       time.Duration
		step                    submission.Step
	}{
		{16, 6, 4, 3 * time.Second, 0, watch},
		{16, 4, 4, 3 * time.Second, 100 * time.Millisecond, watch},
		{60, 5, 4, 3 * time.Second, 0, watch},
		{60, 5, 4, time.Second, 0, watch},
		{60, 5, 4, 400 * time.Millisecond, 80 * time.Millisecond, watch},
		{60, 5, 4, 200 * time.Millisecond, 0, watch},
		{60, 6, 4, 3 * time.Second, 80 * time.Millisecond, gang},
		{60, 6, 4, time.Second, 80 * time.Millisecond, gang},
		{150, 8, 6, 8 * time.Second, 0, watch},
		{150, 8, 8, time.Second, 80 * time.Millisecond, gang},
		{150, 1, 1, 3 * time.Second, 80 * time.Millisecond, watch},
		{300, 1, 1, 3 * time.Second, 80 * time.Millisecond, watch},
	} {
		t.Run(fmt.Sprintf("%d of %d for %d, gang %t, %s", tc.allowed, tc.workers, tc.tasks, tc.step.Gang, tc.validity), func(t *testing.T) {
			for seed := range uint64(20) {
				rnd := rand.New(rand.NewPCG(seed, 1))
				allowed := make(map[string]bool)
				for _, i := range rnd.Perm(tc.workers)[:tc.allowed] {
					allowed[fmt.Sprintf("w%04d", i)] = true
				}
				a := newAdviceSim(t, tc.workers, tc.validity, func(_ StepID, w string) bool { return allowed[w] })
				a.latency = tc.latency
				tc.step.Count = tc.tasks
				a.submit("a", 0, tc.step)
				if !a.runUntil(_maxAdvicePass, func() bool { return a.active("a") == tc.tasks }) {
					t.Errorf("seed %d: %d of %d tasks run after %s", seed, a.active("a"), tc.tasks, _maxAdvicePass)
				}
			}
		})
	}
}

// TestLostTaskFindsApprovedWorker guards against a standing task that never returns after
// its worker is lost: the workers that run its other tasks are the cheapest ones.
func TestLostTaskFindsApprovedWorker(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		allowed := make(map[string]bool)
		for _, i := range rnd.Perm(50)[:6] {
			allowed[fmt.Sprintf("w%04d", i)] = true
		}
		a := newAdviceSim(t, 50, 3*time.Second, func(_ StepID, w string) bool { return allowed[w] })
		a.latency = 80 * time.Millisecond
		a.submit("a", 0, submission.Step{Count: 4, Needs: submission.Resources{CPU: 1000}, LongRunning: true, MaxPerWorker: 1})
		if !a.runUntil(_maxAdvicePass, func() bool { return a.active("a") == 4 }) {
			t.Fatalf("seed %d: the tasks have not started", seed)
		}
		sub, _ := a.store.Submission("a")
		lost := sub.Runs()[0]
		a.s.RemoveWorker(lost.Worker)
		a.s.recordEnd(&a.store, a.now, submission.End{Run: lost.Run, Worker: lost.Worker, Reason: submission.LeaseExpired}, time.Second)
		if !a.runUntil(6*time.Second, func() bool { return a.active("a") == 4 }) {
			t.Errorf("seed %d: the task of the lost worker has not started again", seed)
		}
	}
}

// TestEachWorkerHasItsTurnInAdviceRequests states the property of the requests: while a
// task waits, each worker that can run it is asked about within a bounded number of
// requests, and no request asks about more workers than the service accepts.
func TestEachWorkerHasItsTurnInAdviceRequests(t *testing.T) {
	for _, n := range []int{1, 11, 12, 13, 50, 300, 600} {
		for seed := range uint64(3) {
			rnd := rand.New(rand.NewPCG(seed, uint64(n)))
			approved := make(map[string]bool) // and too small for the rest of the tasks
			for i := range n {
				approved[fmt.Sprintf("w%04d", i)] = rnd.IntN(3) == 0
			}
			a := newAdviceSim(t, n, time.Duration(200+rnd.IntN(8000))*time.Millisecond, func(_ StepID, w string) bool { return approved[w] })
			a.submit("a", 0, submission.Step{Count: 2 * n, Needs: submission.Resources{CPU: 40000}, Estimate: time.Hour})
			passes := 0
			for range 3 {
				clear(a.asked)
				all := func() bool {
					for i := range n {
						if w := fmt.Sprintf("w%04d", i); a.asked[w] == 0 && !a.hasRun(w) {
							return false
						}
					}
					return true
				}
				if a.runUntil(_rejectedRetryInterval+time.Duration(n/_maxNewPerRequest+1)*20*time.Millisecond*2, all) {
					passes++
				}
			}
			if passes < 3 {
				t.Errorf("%d workers, seed %d: all were asked about in %d of 3 passes", n, seed, passes)
			}
			if a.largest > _maxWorkersPerRequest {
				t.Errorf("%d workers in one request, want %d at most", a.largest, _maxWorkersPerRequest)
			}
		}
	}
}

func (a *adviceSim) hasRun(worker string) bool {
	u := a.store.Usage(worker)
	return u != nil && len(u.Runs) > 0
}

// TestStepsTakeTurnsInAdviceRequests guards against steps that get no tickets while the
// requests about a more urgent one fail, or its policy approves no worker.
func TestStepsTakeTurnsInAdviceRequests(t *testing.T) {
	one := submission.Step{Count: 1, Needs: submission.Resources{CPU: 1000}, LongRunning: true}
	for _, tc := range []struct {
		name  string
		setup func(a *adviceSim)
	}{
		{"requests fail", func(a *adviceSim) { a.fails = func(id StepID) bool { return id.Submission == "urgent" } }},
		{"no worker is approved", func(a *adviceSim) {
			a.approves = func(id StepID, _ string) bool { return id.Submission != "urgent" }
		}},
		{"requests time out", func(a *adviceSim) {
			a.fails, a.latency = func(id StepID) bool { return id.Submission == "urgent" }, time.Second
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := newAdviceSim(t, 600, 3*time.Second, func(StepID, string) bool { return true })
			tc.setup(a)
			a.submit("urgent", 0, one)
			var others []string
			for i := range 5 {
				id := fmt.Sprint("other", i)
				others = append(others, id)
				a.submit(id, 2, one)
			}
			if !a.runUntil(_maxAdvicePass, func() bool {
				return !slices.ContainsFunc(others, func(id string) bool { return a.active(id) == 0 })
			}) {
				t.Error("the other steps have not all started")
			}
		})
	}
}

// TestFailedAdviceRequestsBackOff guards against requests in quick succession to a service
// that rejects them.
func TestFailedAdviceRequestsBackOff(t *testing.T) {
	a := newAdviceSim(t, 10, 3*time.Second, func(StepID, string) bool { return true })
	a.fails = func(StepID) bool { return true }
	a.submit("a", 0, submission.Step{Count: 1, Needs: submission.Resources{CPU: 1000}, LongRunning: true})
	a.runUntil(10*time.Second, func() bool { return false })
	if n := a.asked["w0000"]; n > 20 {
		t.Errorf("%d requests in 10 s, want 20 at most", n)
	}
	a.fails = func(StepID) bool { return false }
	if !a.runUntil(2*_maxAdviceBackoff, func() bool { return a.active("a") == 1 }) {
		t.Error("the task has not started although requests are answered again")
	}
}

// TestUnapprovedWorkersExplainWait guards against a task that waits for a ticket and for
// which no reason is named.
func TestUnapprovedWorkersExplainWait(t *testing.T) {
	a := newAdviceSim(t, 10, 3*time.Second, func(StepID, string) bool { return false })
	a.submit("a", 0, submission.Step{Count: 1, Needs: submission.Resources{CPU: 1000}})
	a.runUntil(time.Second, func() bool { return false })
	waits := a.s.ExplainWaits(clocksAt(a.now), &a.store, 1)
	if len(waits) != 1 || !maps.Equal(waits[0].Obstacles, map[Obstacle]int{Unapproved: 10}) {
		t.Errorf("waits %v, want one step for which 10 workers are unapproved", waits)
	}
}
