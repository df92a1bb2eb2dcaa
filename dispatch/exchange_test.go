package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// trainPairs lets the scheduler learn that each service image is sensitive to the
// batch images that are named with it.
func (s *Scheduler) trainPairs(now time.Time, sensitive map[string]string, batchImages ...string) {
	for i := range 80 {
		at := now.Add(time.Duration(i-80) * 400 * time.Millisecond)
		for service, heavy := range sensitive {
			for _, image := range batchImages {
				percent := 40
				if image == heavy {
					percent = 140
				}
				worker, latencies := service+image, []interference.TailLatency{{Step: "train" + service, Image: service, Percent: percent}}
				s.AddSample(at, worker, latencies, []interference.Load{{Image: image, Share: 0.1}})
				s.AddSample(at, worker+"idle", []interference.TailLatency{{Step: "train" + service, Image: service, Percent: 40}}, nil)
			}
		}
	}
}

// submitService submits a service step of the image whose tasks start on the worker
// with the label.
func submitService(t *testing.T, s *Scheduler, store *submission.Store, id, image, label string, count int) {
	t.Helper()
	step := serviceStep
	step.Image, step.Count = image, count
	submitSteps(store, id, 0, step)
	starts := make([]submission.Start, count)
	for i := range starts {
		starts[i] = submission.Start{Run: submission.RunID{Task: submission.TaskID{Submission: id, Index: i}, Number: 1}, Worker: label}
	}
	if got := store.Start(starts, testNow); len(got) != count {
		t.Fatalf("%d of %d starts were recorded", len(got), count)
	}
	for _, st := range starts {
		s.RecordStart(testNow, store, st)
	}
}

// TestServiceTasksJoinThoseThatTolerateTheSame has two workers whose service tasks
// are sensitive to different batch images. A service task of a third image must
// start beside those that are sensitive to the same batch images, although the
// other worker is fuller.
func TestServiceTasksJoinThoseThatTolerateTheSame(t *testing.T) {
	var store submission.Store
	s := newScheduler(&store, newWorkers(2, 64000, 256000))
	s.trainPairs(testNow, map[string]string{"a1": "a", "a2": "a", "b1": "b"}, "a", "b", "c")
	submitService(t, s, &store, "first", "a1", "w00", 1)
	submitService(t, s, &store, "second", "b1", "w01", 2)
	step := serviceStep
	step.Image, step.Count = "a2", 2
	submitSteps(&store, "third", 0, step)
	for _, st := range s.startTasks(t, &store, testNow) {
		if st.Worker != "w00" {
			t.Errorf("a task started on %s, which then tolerates no batch image but one", st.Worker)
		}
	}
}

// TestExchangesSeparateSensitivities has workers that each run service tasks with
// different sensitivities, as after a start with unknown interference. The
// exchanges must make each worker tolerate more batch images, without stopping the
// tasks again and again.
func TestExchangesSeparateSensitivities(t *testing.T) {
	const workers = 6
	var store submission.Store
	s := newScheduler(&store, newWorkers(workers, 64000, 256000))
	s.trainPairs(testNow, map[string]string{"a1": "a", "b1": "b"}, "a", "b", "c", "d")
	for i := range workers {
		submitService(t, s, &store, fmt.Sprint("a", i), "a1", fmt.Sprintf("w%02d", i), 2-i%2)
		submitService(t, s, &store, fmt.Sprint("b", i), "b1", fmt.Sprintf("w%02d", i), 1+i%2)
	}
	now, stopped := testNow, 0
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		for _, stop := range s.Stops(clocksAt(now), &store) {
			if stop.Reason != Misplaced {
				t.Fatalf("stop %v", stop)
			}
			stopped++
			s.recordEnd(&store, now, submission.End{Run: stop.Run, Worker: stop.Worker, Reason: submission.Stopped}, time.Second)
		}
		s.startTasks(t, &store, now)
	}
	running, mixed := 0, 0
	for i := range workers {
		u := store.Usage(fmt.Sprintf("w%02d", i))
		running += u.ServiceRuns
		if len(u.ServiceImages) > 1 {
			mixed++
		}
	}
	if running != 3*workers {
		t.Errorf("%d service tasks run, want %d", running, 3*workers)
	}
	if mixed > 1 {
		t.Errorf("%d of %d workers still run tasks of both images", mixed, workers)
	}
	if stopped > 2*workers {
		t.Errorf("%d service tasks were stopped, want at most %d", stopped, 2*workers)
	}
}

// TestMovedTaskWaitsForItsDestination stops the first task of an exchange while the
// second still runs. The first must not start anywhere else, nor may another task
// take its place at the destination.
func TestMovedTaskWaitsForItsDestination(t *testing.T) {
	var store submission.Store
	s := newScheduler(&store, newWorkers(2, 32000, 256000))
	s.trainPairs(testNow, map[string]string{"a1": "a", "b1": "b"}, "a", "b")
	submitService(t, s, &store, "a0", "a1", "w00", 1)
	submitService(t, s, &store, "b0", "b1", "w00", 1)
	submitService(t, s, &store, "a1", "a1", "w01", 1)
	submitService(t, s, &store, "b1", "b1", "w01", 1)
	stops := s.Stops(clocksAt(testNow), &store)
	if len(stops) != 2 {
		t.Fatalf("stops %v, want two", stops)
	}
	s.recordEnd(&store, testNow, submission.End{Run: stops[0].Run, Worker: stops[0].Worker, Reason: submission.Stopped}, time.Second)
	other := serviceStep
	other.Image, other.Count = "a1", 1
	submitSteps(&store, "other", 0, other)
	if got := s.startTasks(t, &store, testNow); len(got) != 0 {
		t.Fatalf("starts %v while the destination is occupied", got)
	}
	s.recordEnd(&store, testNow, submission.End{Run: stops[1].Run, Worker: stops[1].Worker, Reason: submission.Stopped}, time.Second)
	got := s.startTasks(t, &store, testNow)
	if len(got) != 2 {
		t.Fatalf("starts %v, want both moved tasks", got)
	}
	for _, st := range got {
		for i, stop := range stops {
			if st.Run.Task == stop.Run.Task && st.Worker != stops[1-i].Worker {
				t.Errorf("%s started on %s, want %s", st.Run.Task, st.Worker, stops[1-i].Worker)
			}
		}
	}
}

// TestExchangesRespectAvailability guards against moving tasks of a step that limits
// how many of its tasks may be unavailable.
func TestExchangesRespectAvailability(t *testing.T) {
	var store submission.Store
	s := newScheduler(&store, newWorkers(2, 32000, 256000))
	s.trainPairs(testNow, map[string]string{"a1": "a", "b1": "b"}, "a", "b")
	for i, worker := range []string{"w00", "w01"} {
		for _, image := range []string{"a1", "b1"} {
			step := serviceStep
			step.Image, step.Count, step.MaxUnavailable = image, 1, 1
			id := fmt.Sprint(image, i)
			submitSteps(&store, id, 0, step)
			st := submission.Start{Run: submission.RunID{Task: submission.TaskID{Submission: id}, Number: 1}, Worker: worker}
			store.Start([]submission.Start{st}, testNow)
			s.RecordStart(testNow, &store, st)
		}
	}
	if got := s.Stops(clocksAt(testNow), &store); len(got) != 0 {
		t.Errorf("stops %v, want none", got)
	}
}

// TestMovedTaskDoesNotWaitForOthersOfItsStep guards against a moved task that loses the
// resources reserved for it because an earlier task of its step finds no worker.
func TestMovedTaskDoesNotWaitForOthersOfItsStep(t *testing.T) {
	var store submission.Store
	s := newScheduler(&store, newWorkers(2, 32000, 256000))
	s.trainPairs(testNow, map[string]string{"a1": "a", "b1": "b"}, "a", "b")
	step := serviceStep
	step.Image, step.Count = "a1", 2
	submitSteps(&store, "a0", 0, step)
	moved := submission.RunID{Task: submission.TaskID{Submission: "a0", Index: 1}, Number: 1}
	first := []submission.Start{{Run: moved, Worker: "w00"}}
	store.Start(first, testNow)
	s.RecordStart(testNow, &store, first[0])
	submitService(t, s, &store, "b0", "b1", "w00", 1)
	submitService(t, s, &store, "a1", "a1", "w01", 1)
	submitService(t, s, &store, "b1", "b1", "w01", 1)
	stops := s.Stops(clocksAt(testNow), &store)
	index := slices.IndexFunc(stops, func(stop Stop) bool { return stop.Run == moved })
	if len(stops) != 2 || index < 0 {
		t.Fatalf("stops %v, want two, one of them of %v", stops, moved)
	}
	for _, stop := range stops {
		s.recordEnd(&store, testNow, submission.End{Run: stop.Run, Worker: stop.Worker, Reason: submission.Stopped}, time.Second)
	}
	for _, st := range s.startTasks(t, &store, testNow) {
		if st.Run.Task == moved.Task && st.Worker == stops[1-index].Worker {
			return
		}
	}
	t.Error("the moved task has not started at its destination")
}

// TestMovedTaskStartsElsewhereIfDestinationIsLost guards against a service task that
// waits for a worker that can no longer run it.
func TestMovedTaskStartsElsewhereIfDestinationIsLost(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *Scheduler, store *submission.Store, destination Worker)
		want   bool // the moved task starts at once
	}{
		{"unchanged", func(*Scheduler, *submission.Store, Worker) {}, false},
		{"removed", func(s *Scheduler, _ *submission.Store, w Worker) { s.RemoveWorker(w.Incarnation) }, true},
		{"shrunk, still large enough", func(s *Scheduler, store *submission.Store, w Worker) {
			w.Capacity.CPU = 2 * serviceStep.Needs.CPU
			s.SetWorker(store, w)
		}, false},
		{"shrunk", func(s *Scheduler, store *submission.Store, w Worker) {
			w.Capacity.CPU = serviceStep.Needs.CPU
			s.SetWorker(store, w)
		}, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var store submission.Store
			workers := newWorkers(2, 32000, 256000)
			s := newScheduler(&store, workers)
			s.trainPairs(testNow, map[string]string{"a1": "a", "b1": "b"}, "a", "b")
			submitService(t, s, &store, "a0", "a1", "w00", 1)
			submitService(t, s, &store, "b0", "b1", "w00", 1)
			submitService(t, s, &store, "a1", "a1", "w01", 1)
			submitService(t, s, &store, "b1", "b1", "w01", 1)
			stops := s.Stops(clocksAt(testNow), &store)
			if len(stops) != 2 {
				t.Fatalf("stops %v, want two", stops)
			}
			s.SetWorker(&store, Worker{Incarnation: "w02", Service: "s", Capacity: workers[0].Capacity, Schedulable: true})
			s.recordEnd(&store, testNow, submission.End{Run: stops[0].Run, Worker: stops[0].Worker, Reason: submission.Stopped}, time.Second)
			tc.change(s, &store, workers[slices.IndexFunc(workers, func(w Worker) bool { return w.Incarnation == stops[1].Worker })])
			got := s.startTasks(t, &store, testNow)
			if started := len(got) == 1 && got[0].Run.Task == stops[0].Run.Task; started != tc.want {
				t.Errorf("starts %v; the moved task starts: %t, want %t", got, started, tc.want)
			}
		})
	}
}

// TestTasksWithTicketsAreNotExchanged guards against service tasks that are stopped for a
// worker that the advice service has not approved.
func TestTasksWithTicketsAreNotExchanged(t *testing.T) {
	for _, needsAdvice := range []bool{false, true} {
		var store submission.Store
		s := newScheduler(&store, newWorkers(2, 32000, 256000))
		s.trainPairs(testNow, map[string]string{"a1": "a", "b1": "b"}, "a", "b")
		for i, worker := range []string{"w00", "w01"} {
			for _, image := range []string{"a1", "b1"} {
				id := fmt.Sprint(image, i)
				submitService(t, s, &store, id, image, worker, 1)
				sub, _ := store.Submission(id)
				sub.NeedsAdvice = needsAdvice
			}
		}
		if stops := s.Stops(clocksAt(testNow), &store); (len(stops) == 0) != needsAdvice {
			t.Errorf("tickets needed %t: stops %v", needsAdvice, stops)
		}
	}
}
