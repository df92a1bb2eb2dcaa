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
