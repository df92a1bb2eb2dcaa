package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// TestNoStartBeyondShrunkCapacity changes the capacity of workers between rounds. A
// worker that runs more than it holds now keeps its runs and gets no others.
func TestNoStartBeyondShrunkCapacity(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 11))
		var store submission.Store
		full := newWorkers(8, 16000, 64000)
		workers := newWorkers(8, 16000, 64000)
		s := newScheduler(&store, workers)
		now, started := testNow, 0
		for i := range 120 {
			now = now.Add(200 * time.Millisecond)
			step := []submission.Step{plainStep, batchStep, serviceStep, lookupStep}[rnd.IntN(4)]
			step.Count, step.UnreservedCPU = 1+rnd.IntN(6), !step.LongRunning && rnd.IntN(6) == 0
			submitSteps(&store, fmt.Sprint("s", i), rnd.IntN(3), step)
			w := &workers[rnd.IntN(len(workers))]
			if w.Capacity = full[0].Capacity; rnd.IntN(2) == 0 {
				w.Capacity.CPU, w.Capacity.Memory = w.Capacity.CPU*int64(rnd.IntN(100))/100, w.Capacity.Memory*int64(rnd.IntN(100))/100
			}
			s.SetWorker(&store, *w)
			before := make(map[string]submission.Resources)
			for _, w := range workers {
				if u := store.Usage(w.Incarnation); u != nil {
					before[w.Incarnation] = u.Reserved
				}
			}
			started += len(s.startTasks(t, &store, now))
			for _, w := range workers {
				u := store.Usage(w.Incarnation)
				if u != nil && u.Reserved != before[w.Incarnation] && !u.Reserved.Fits(w.Capacity) {
					t.Fatalf("seed %d, round %d: %s holds %v and got runs up to %v", seed, i, w.Incarnation, w.Capacity, u.Reserved)
				}
			}
			for _, stop := range s.Stops(clocksAt(now), &store) {
				s.recordEnd(&store, now, submission.End{Run: stop.Run, Worker: stop.Worker, Reason: submission.Stopped}, time.Second)
			}
			endRandomRuns(rnd, s, &store, now)
		}
		if started < 100 {
			t.Errorf("seed %d: only %d runs started", seed, started)
		}
	}
}

// TestGrownWorkerGetsTasksAgain shrinks the only worker to less than a task needs.
func TestGrownWorkerGetsTasksAgain(t *testing.T) {
	var store submission.Store
	workers := newWorkers(1, 16000, 64000)
	s := newScheduler(&store, workers)
	w := workers[0]
	w.Capacity = submission.Resources{CPU: 500, Memory: 64000}
	s.SetWorker(&store, w)
	submitSteps(&store, "a", 0, plainStep)
	if got := s.startTasks(t, &store, testNow); len(got) != 0 {
		t.Errorf("%d tasks started on a worker that is too small", len(got))
	}
	s.SetWorker(&store, workers[0])
	if got := s.startTasks(t, &store, testNow); len(got) != plainStep.Count {
		t.Errorf("%d tasks started after the worker has grown, want %d", len(got), plainStep.Count)
	}
}

// TestShrunkWorkerIsNotUnhealthy has a worker that shrinks while starts are on their
// way, so that its agent rejects them. When it has grown again, the tasks must start
// there at once: the other worker is full.
func TestShrunkWorkerIsNotUnhealthy(t *testing.T) {
	var store submission.Store
	workers := newWorkers(2, 16000, 64000)
	workers[1].Capacity.CPU = 500
	s := newScheduler(&store, workers)
	submitSteps(&store, "a", 0, plainStep)
	starts := s.startTasks(t, &store, testNow)
	shrunk := workers[0]
	shrunk.Capacity.CPU = 800
	s.SetWorker(&store, shrunk)
	now := testNow.Add(50 * time.Millisecond)
	for _, st := range starts {
		store.End(submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Rejected}, now)
	}
	for _, st := range starts {
		s.RecordEnd(now, &store, submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Rejected}, 50*time.Millisecond)
	}
	s.SetWorker(&store, workers[0])
	if got := s.startTasks(t, &store, now); len(got) != plainStep.Count {
		t.Errorf("%d tasks started after the worker has grown, want %d", len(got), plainStep.Count)
	}
}

// TestWorkerThatRejectsWhatItHoldsIsUnhealthy has a worker that rejects starts for
// which it has announced the capacity. It must not get the same tasks at once again.
func TestWorkerThatRejectsWhatItHoldsIsUnhealthy(t *testing.T) {
	var store submission.Store
	workers := newWorkers(2, 16000, 64000)
	workers[1].Capacity.CPU = 500
	s := newScheduler(&store, workers)
	submitSteps(&store, "a", 0, plainStep)
	for _, st := range s.startTasks(t, &store, testNow) {
		s.recordEnd(&store, testNow, submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Rejected}, 50*time.Millisecond)
	}
	if got := s.startTasks(t, &store, testNow); len(got) != 0 {
		t.Errorf("%d tasks started on the worker again", len(got))
	}
}

// TestBurstBesideShrunkWorkers shrinks a quarter of the workers below what they run,
// while a burst arrives. The runs must go on, the burst must be served by the others,
// and workers that have grown again must share the load at once.
func TestBurstBesideShrunkWorkers(t *testing.T) {
	const (
		shrinkAt, growAt   = 6 * time.Second, 20 * time.Second
		burstAt, burstEnd  = 11 * time.Second, 17 * time.Second
		interval, atBurst  = 250 * time.Millisecond, 180 * time.Millisecond
		shrunk, shrunkCPU  = 2, 8800
		maxWait, maxReturn = time.Second, 2 * time.Second
	)
	sim := newCrashSim(t, 4*shrunk)
	watch := watchStep
	watch.Count, watch.Needs.CPU = 8, 10000 // one for each worker
	sim.submit("watch", 0, watch)
	full := sim.workers[0].Capacity
	setCPU := func(cpu int64) {
		for i := range sim.workers[:shrunk] {
			sim.workers[i].Capacity.CPU = cpu
			sim.s.SetWorker(&sim.store, sim.workers[i])
		}
	}
	sim.run(interval)
	began := sim.now
	reserved := func(i int) int64 { return sim.store.Usage(sim.workers[i].Incarnation).Reserved.CPU }
	for submitted := 0; sim.now.Sub(began) < growAt+maxReturn; submitted++ {
		before := sim.now.Sub(began)
		sim.submit(fmt.Sprint("lookup", submitted), 0, lookupStep, lookupStep)
		if submitted%8 == 0 {
			sim.submit(fmt.Sprint("plan", submitted), 2, planStep)
		}
		was := [shrunk]int64{reserved(0), reserved(1)}
		sim.run(map[bool]time.Duration{true: atBurst, false: interval}[before >= burstAt && before < burstEnd])
		if stops := sim.s.Stops(clocksAt(sim.now), &sim.store); len(stops) > 0 {
			t.Fatalf("%s: stops %v", before, stops)
		}
		for i := range was {
			if now := reserved(i); sim.workers[i].Capacity.CPU == shrunkCPU && now > max(was[i], shrunkCPU) {
				t.Fatalf("%s: a shrunk worker's runs reserve %d, before %d", before, now, was[i])
			}
		}
		switch after := sim.now.Sub(began); {
		case before < shrinkAt && after >= shrinkAt:
			setCPU(shrunkCPU)
		case before < growAt && after >= growAt:
			setCPU(full.CPU)
		}
	}
	if sim.longest > maxWait {
		t.Errorf("a submission had no active run for %s, want at most %s", sim.longest, maxWait)
	}
	for i := range sim.workers[:shrunk] {
		if reserved(i) <= watch.Needs.CPU {
			t.Errorf("%s has got no task since it has grown", sim.workers[i].Incarnation)
		}
	}
	sim.run(10 * time.Second)
	for _, sub := range sim.store.Unended() {
		if sub.ID != "watch" {
			t.Errorf("%s is %s, want completed", sub.ID, sub.State)
		}
	}
}
