package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// newZonedWorkers returns workers of three zones, "z0" to "z2".
func newZonedWorkers(n int, cpu, memory int64) []Worker {
	out := newWorkers(n, cpu, memory)
	for i := range out {
		out[i].Zone = fmt.Sprint("z", i%3)
	}
	return out
}

func zoneOf(workers []Worker, incarnation string) string {
	i := slices.IndexFunc(workers, func(w Worker) bool { return w.Incarnation == incarnation })
	return workers[i].Zone
}

// TestNothingStartsInEvacuatedZones guards against starts, members of gangs and long-running
// tasks on workers of evacuated zones, whose number and order changes, and against zones that
// get no starts after their evacuation. Workers report again and again in between.
func TestNothingStartsInEvacuatedZones(t *testing.T) {
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var store submission.Store
		workers := newZonedWorkers(9, 32000, 128000)
		s := newScheduler(&store, workers)
		started := make(map[string]int) // by zone
		now := testNow
		for i := range 60 {
			now = now.Add(time.Second)
			var zones []string
			for k := range 3 {
				if rnd.IntN(2) == 0 {
					zones = append(zones, fmt.Sprint("z", k))
				}
			}
			s.SetEvacuatedZones(now, &store, zones)
			for _, w := range workers {
				switch rnd.IntN(4) {
				case 0:
					s.RemoveWorker(w.Incarnation)
				case 1, 2:
					s.SetWorker(&store, w)
				}
				if slices.Contains(zones, w.Zone) && s.HasWorker(w.Incarnation) {
					t.Fatalf("seed %d: %s of an evacuated zone can receive tasks", seed, w.Incarnation)
				}
			}
			step := []submission.Step{serviceStep, batchStep, plainStep}[rnd.IntN(3)]
			step.Gang = rnd.IntN(4) == 0 && !step.LongRunning
			submitSteps(&store, fmt.Sprint("s", i), rnd.IntN(3), step)
			for _, st := range s.startTasks(t, &store, now) {
				if zone := zoneOf(workers, st.Worker); slices.Contains(zones, zone) {
					t.Errorf("seed %d: %v started in zone %s, evacuated are %v", seed, st.Run, zone, zones)
				}
				started[zoneOf(workers, st.Worker)]++
			}
			for _, sub := range store.Unended() {
				for _, r := range sub.Runs() {
					if rnd.IntN(3) == 0 {
						s.recordEnd(&store, now, submission.End{Run: r.Run, Worker: r.Worker, Reason: submission.Done}, time.Second)
					}
				}
			}
		}
		if len(started) != 3 {
			t.Errorf("seed %d: tasks have started in the zones %v only", seed, started)
		}
	}
}

// TestEvacuatedWorkersCountAsAbsent guards against decisions on the other workers that depend
// on those of evacuated zones, for example because these count as free capacity.
func TestEvacuatedWorkersCountAsAbsent(t *testing.T) {
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		workers := newZonedWorkers(12, 32000, 128000)
		others := slices.DeleteFunc(slices.Clone(workers), func(w Worker) bool { return w.Zone == "z1" })
		var storeA, storeB submission.Store
		var a, b Scheduler
		a.SetEvacuatedZones(testNow, &storeA, []string{"z1"})
		a.setWorkers(&storeA, workers)
		b.setWorkers(&storeB, others)
		for i := range 30 {
			step := []submission.Step{serviceStep, batchStep, plainStep}[rnd.IntN(3)]
			step.UnreservedCPU = rnd.IntN(4) == 0 && !step.LongRunning
			priority := rnd.IntN(3)
			now := testNow.Add(time.Duration(i) * 500 * time.Millisecond)
			submitSteps(&storeA, fmt.Sprint("s", i), priority, step)
			submitSteps(&storeB, fmt.Sprint("s", i), priority, step)
			if got, want := a.startTasks(t, &storeA, now), b.startTasks(t, &storeB, now); !slices.Equal(got, want) {
				t.Fatalf("seed %d, round %d: started %v, without the zone's workers %v", seed, i, got, want)
			}
		}
		got, want := a.Summary(clocksAt(testNow), &storeA), b.Summary(clocksAt(testNow), &storeB)
		if want.Evacuated = 4; got != want {
			t.Errorf("seed %d: summary %+v, want %+v", seed, got, want)
		}
	}
}

// TestAllZonesEvacuated guards against work that starts or fails while all zones are
// evacuated, and against a wait without an explanation.
func TestAllZonesEvacuated(t *testing.T) {
	var store submission.Store
	workers := newZonedWorkers(6, 32000, 128000)
	s := newScheduler(&store, workers)
	s.SetEvacuatedZones(testNow, &store, []string{"z0", "z1", "z2"})
	submitSteps(&store, "s1", 0, plainStep)
	late := testNow.Add(10 * time.Second)
	if got := s.startTasks(t, &store, late); len(got) > 0 {
		t.Fatalf("%v started", got)
	}
	waits := s.ExplainWaits(clocksAt(late), &store, 10)
	if len(waits) != 1 || len(waits[0].Obstacles) != 1 || waits[0].Obstacles[Evacuated] != len(workers) {
		t.Errorf("the wait is explained by %v", waits)
	}
	if got := Evacuated.String(); got != "evacuated" {
		t.Errorf("the obstacle is named %q", got)
	}
	s.Reset() // a new leader's agents report
	s.setWorkers(&store, workers)
	if got := s.startTasks(t, &store, late); len(got) > 0 {
		t.Fatalf("after a reset %v started", got)
	}
	s.SetEvacuatedZones(late, &store, []string{"z0"})
	if got := s.startTasks(t, &store, late); len(got) != plainStep.Count {
		t.Errorf("%d tasks started after the evacuation of two zones, want %d", len(got), plainStep.Count)
	}
}

// TestEvacuationIsNoLossOfWorkers guards against batch tasks that wait because the service
// tasks on evacuated workers, which go on running, count as those of lost workers.
func TestEvacuationIsNoLossOfWorkers(t *testing.T) {
	var store submission.Store
	workers := newZonedWorkers(6, 32000, 128000)
	s := newScheduler(&store, workers)
	services := serviceStep
	services.Count = 12
	submitSteps(&store, "serving", 0, services)
	if got := s.startTasks(t, &store, testNow); len(got) != services.Count {
		t.Fatalf("%d service tasks started, want %d", len(got), services.Count)
	}
	empty := newZonedWorkers(9, 32000, 128000)[6:]
	s.setWorkers(&store, empty)
	now := testNow.Add(_absenceTTL)
	s.Starts(clocksAt(now), &store)
	for _, zones := range [][]string{{"z0", "z1"}, {"z0"}, {"z0", "z1"}} {
		s.SetEvacuatedZones(now, &store, zones)
	}
	if s.pool.lostServiceTasks {
		t.Error("the evacuation counts as a loss of workers")
	}
	s.pool.lostServiceTasks = true // at the same time another worker is lost
	if got := s.absences(clocksAt(now), &store); len(got) > 0 {
		t.Errorf("the service tasks count as absent: %v", got)
	}
	s.RemoveWorker("w00")
	if !s.pool.lostServiceTasks {
		t.Error("the loss of an evacuated worker with service tasks goes unnoticed")
	}
}

// TestCancelledStartsAreNoFailures guards against workers that count as unhealthy after an
// evacuation because their agents have cancelled starts.
func TestCancelledStartsAreNoFailures(t *testing.T) {
	var store submission.Store
	workers := newZonedWorkers(9, 32000, 128000)
	s := newScheduler(&store, workers)
	step := plainStep
	step.Count = 200
	submitSteps(&store, "s1", 0, step)
	starts := s.startTasks(t, &store, testNow)
	now := testNow.Add(100 * time.Millisecond)
	s.SetEvacuatedZones(now, &store, []string{"z0"})
	for i, st := range starts {
		if zoneOf(workers, st.Worker) != "z0" {
			continue
		}
		if i > len(starts)/2 {
			s.SetEvacuatedZones(now, &store, nil)
		}
		s.recordEnd(&store, now, submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Rejected}, 100*time.Millisecond)
	}
	if unhealthy := s.unhealthyWorkers(now); len(unhealthy) > 0 {
		t.Errorf("the workers %v count as unhealthy", unhealthy)
	}
	later := now.Add(_cancelTime)
	for _, st := range store.Unended()[0].Runs() {
		if st.Worker == "w01" {
			s.recordEnd(&store, later, submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Rejected}, 100*time.Millisecond)
		}
	}
	if !s.unhealthyWorkers(later)["w01"] {
		t.Error("a worker of another zone that rejects all tasks counts as healthy")
	}
}

// TestMovedTaskLeavesEvacuatedDestination guards against a service task that waits for, or
// starts on, the worker to which it was being moved when that worker's zone was evacuated.
func TestMovedTaskLeavesEvacuatedDestination(t *testing.T) {
	var store submission.Store
	workers := newZonedWorkers(6, 32000, 128000)
	s := newScheduler(&store, workers)
	step := serviceStep
	step.Count = 1
	submitSteps(&store, "s1", 0, step)
	first := s.startTasks(t, &store, testNow)[0]
	i := slices.IndexFunc(workers, func(w Worker) bool { return w.Zone != zoneOf(workers, first.Worker) })
	r := s.newRound(clocksAt(testNow), &store)
	sub, _ := store.Submission("s1")
	r.beginMove(serviceTask{run: first.Run, sub: sub, step: &sub.Steps[0]}, s.pool.nodes[first.Worker], s.pool.nodes[workers[i].Incarnation])
	r.end(&store)
	s.SetEvacuatedZones(testNow, &store, []string{workers[i].Zone})
	s.recordEnd(&store, testNow, submission.End{Run: first.Run, Worker: first.Worker, Reason: submission.Stopped}, time.Second)
	again := s.startTasks(t, &store, testNow)
	if len(again) != 1 || zoneOf(workers, again[0].Worker) == workers[i].Zone {
		t.Errorf("the task has started again as %v, its destination was %+v", again, workers[i])
	}
}
