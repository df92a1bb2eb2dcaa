package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// evacuationSim plays an evacuation: stopped runs end after a delay, and waiting tasks start.
// It checks each stop of a run in an evacuated zone.
type evacuationSim struct {
	*testing.T
	scheduler *Scheduler
	store     submission.Store
	workers   []Worker
	now       time.Time
	evacuated map[string]time.Time
	stopping  map[submission.RunID]submission.Start
	endsAt    map[submission.RunID]time.Time
	moves     int
	stopDelay func() time.Duration
	stopsLost func() bool // a stop that is returned is not carried out
}

func newEvacuationSim(t *testing.T, workers []Worker) *evacuationSim {
	sim := &evacuationSim{
		T: t, workers: workers, now: testNow, evacuated: make(map[string]time.Time), stopping: make(map[submission.RunID]submission.Start),
		endsAt: make(map[submission.RunID]time.Time), stopDelay: func() time.Duration { return 200 * time.Millisecond }, stopsLost: func() bool { return false },
	}
	sim.scheduler = newScheduler(&sim.store, workers)
	return sim
}

func (sim *evacuationSim) evacuate(zones ...string) {
	var names []string
	before := sim.evacuated
	sim.evacuated = make(map[string]time.Time)
	for _, zone := range zones {
		names = append(names, zone)
		sim.evacuated[zone] = sim.now
		if at, ok := before[zone]; ok {
			sim.evacuated[zone] = at
		}
	}
	sim.scheduler.SetEvacuatedZones(sim.now, &sim.store, names)
}

// run plays for a time.
func (sim *evacuationSim) run(d time.Duration) {
	sim.Helper()
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(100 * time.Millisecond) {
		sim.scheduler.startTasks(sim.T, &sim.store, sim.now)
		for _, s := range sim.scheduler.Stops(clocksAt(sim.now), &sim.store) {
			if _, ok := sim.stopping[s.Run]; ok {
				continue
			}
			if s.Reason != Evacuating {
				sim.Fatalf("%v was stopped: %s", s.Run, s.Reason)
			}
			sim.checkStop(s)
			if sim.stopsLost() {
				continue
			}
			sim.moves++
			sim.scheduler.RecordMove(sim.now, s.Run)
			sim.stopping[s.Run] = submission.Start{Run: s.Run, Worker: s.Worker}
			sim.endsAt[s.Run] = sim.now.Add(sim.stopDelay())
		}
		for run, at := range sim.endsAt {
			if sim.now.Before(at) {
				continue
			}
			sim.scheduler.recordEnd(&sim.store, sim.now, submission.End{Run: run, Worker: sim.stopping[run].Worker, Reason: submission.Stopped}, time.Second)
			delete(sim.endsAt, run)
			delete(sim.stopping, run)
		}
	}
}

func (sim *evacuationSim) checkStop(s Stop) {
	sim.Helper()
	sub, _ := sim.store.Submission(s.Run.Task.Submission)
	step := &sub.Steps[s.Run.Task.Step]
	since, ok := sim.evacuated[zoneOf(sim.workers, s.Worker)]
	if !ok || sim.now.Sub(since) < _evacuationDelay {
		sim.Errorf("%v was stopped %s after the start of an evacuation of its zone (%t)", s.Run, sim.now.Sub(since), ok)
	}
	if !step.LongRunning || step.Gang {
		sim.Errorf("%v was stopped, a task of the step %+v", s.Run, step)
	}
	unavailable := 1
	for i := range sub.StepRecords[s.Run.Task.Occurrence][s.Run.Task.Step].Tasks {
		task := submission.TaskID{Submission: sub.ID, Occurrence: s.Run.Task.Occurrence, Step: s.Run.Task.Step, Index: i}
		if task == s.Run.Task {
			continue
		}
		runs := sub.Task(task).Runs
		isStopping := len(runs) > 0 && sim.endsAt[submission.RunID{Task: task, Number: runs[0].Number}] != time.Time{}
		if len(runs) == 0 || isStopping {
			unavailable++
		}
		if len(runs) > 0 && !isStopping && sim.now.Sub(runs[0].Started) < _minSteadyTime {
			sim.Errorf("%v was stopped, task %d of the step has run for %s", s.Run, i, sim.now.Sub(runs[0].Started))
		}
	}
	if limit := max(1, step.MaxUnavailable); unavailable > limit {
		sim.Errorf("%d tasks of %s are unavailable at a time, allowed are %d", unavailable, sub.ID, limit)
	}
}

// longRunningIn counts the active long-running runs in a zone.
func (sim *evacuationSim) longRunningIn(zone string) (n int) {
	for _, sub := range sim.store.Unended() {
		for _, r := range sub.Runs() {
			if sub.Steps[r.Run.Task.Step].LongRunning && zoneOf(sim.workers, r.Worker) == zone {
				n++
			}
		}
	}
	return n
}

// TestLongRunningTasksLeaveEvacuatedZone guards against long-running tasks that stay in an
// evacuated zone although others have capacity, that are moved too many or too early, or that
// are down for long. Steps have different limits, stops take different times and some are
// lost, as under a new leader.
func TestLongRunningTasksLeaveEvacuatedZone(t *testing.T) {
	for seed := range uint64(10) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		sim := newEvacuationSim(t, newZonedWorkers(12, 32000, 128000))
		sim.stopDelay = func() time.Duration { return time.Duration(rnd.IntN(1500)) * time.Millisecond }
		sim.stopsLost = func() bool { return rnd.IntN(5) == 0 }
		for i := range 6 {
			step := submission.Step{
				Count: 1 + rnd.IntN(4), Needs: submission.Resources{CPU: 4000, Memory: 8000}, LongRunning: true, MaxPerWorker: rnd.IntN(2), MaxUnavailable: rnd.IntN(4),
			}
			if rnd.IntN(2) == 0 {
				step.Image, step.TailTarget = "web", 10*time.Millisecond
			}
			submitSteps(&sim.store, fmt.Sprint("s", i), 0, step)
		}
		short := plainStep
		short.Count = 10
		submitSteps(&sim.store, "short", 0, short)
		sim.run(2 * time.Second)
		before := sim.longRunningIn("z0") + sim.longRunningIn("z1") + sim.longRunningIn("z2")
		sim.evacuate("z0")
		sim.run(90 * time.Second)
		if got := sim.longRunningIn("z0"); got > 0 {
			t.Errorf("seed %d: %d long-running tasks are in the evacuated zone after 90 s", seed, got)
		}
		if got := sim.longRunningIn("z1") + sim.longRunningIn("z2"); got != before {
			t.Errorf("seed %d: %d of %d long-running tasks run elsewhere", seed, got, before)
		}
		if sub, _ := sim.store.Submission("short"); len(sub.Runs()) != short.Count {
			t.Errorf("seed %d: %d of %d short tasks are active", seed, len(sub.Runs()), short.Count)
		}
		moves := sim.moves
		sim.evacuate()
		sim.run(10 * time.Second)
		if sim.moves != moves {
			t.Errorf("seed %d: %d tasks were moved after the evacuation", seed, sim.moves-moves)
		}
	}
}

// TestNothingLeavesEvacuatedZoneWithoutNeed guards against moves in a short evacuation, moves
// without capacity elsewhere, and moves of tasks that must stay.
func TestNothingLeavesEvacuatedZoneWithoutNeed(t *testing.T) {
	long := submission.Step{Count: 3, Needs: submission.Resources{CPU: 4000, Memory: 8000}, LongRunning: true, MaxPerWorker: 1}
	for _, tc := range []struct {
		name   string
		step   func(s *submission.Step)
		zones  []string
		d      time.Duration // of the evacuation
		room   bool          // in the other zones
		advice bool
	}{
		{name: "short evacuation", zones: []string{"z0"}, d: _evacuationDelay, room: true},
		{name: "no capacity elsewhere", zones: []string{"z0"}, d: time.Minute},
		{name: "all zones", zones: []string{"z0", "z1", "z2"}, d: time.Minute, room: true},
		{name: "gang", step: func(s *submission.Step) { s.Gang = true }, zones: []string{"z0"}, d: time.Minute, room: true},
		{name: "rack-local", step: func(s *submission.Step) { s.RackLocal = true }, zones: []string{"z0"}, d: time.Minute, room: true},
		{name: "advice service", zones: []string{"z0"}, d: time.Minute, room: true, advice: true},
		{name: "short task", step: func(s *submission.Step) { s.LongRunning, s.Estimate = false, time.Hour }, zones: []string{"z0"}, d: time.Minute, room: true},
		{name: "label of the zone", step: func(s *submission.Step) { s.Requirement = "z0" }, zones: []string{"z0"}, d: time.Minute, room: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			workers := newZonedWorkers(9, 8000, 64000)
			for i := range workers {
				workers[i].Labels = append(workers[i].Labels, workers[i].Zone)
			}
			sim := newEvacuationSim(t, workers)
			step := long
			if tc.step != nil {
				tc.step(&step)
			}
			submitSteps(&sim.store, "s1", 0, step)
			var starts []submission.Start
			for i := range step.Count {
				run := submission.RunID{Task: submission.TaskID{Submission: "s1", Index: i}, Number: 1}
				starts = append(starts, submission.Start{Run: run, Worker: fmt.Sprintf("w%02d", 3*i)}) // all in z0
			}
			sim.store.Start(starts, sim.now)
			for _, st := range starts {
				sim.scheduler.RecordStart(sim.now, &sim.store, st)
			}
			if !tc.room {
				filler := submission.Step{Count: 12, Needs: submission.Resources{CPU: 4000, Memory: 8000}, Estimate: time.Hour, Requirement: "z1"}
				submitSteps(&sim.store, "f1", 0, filler)
				filler.Requirement = "z2"
				submitSteps(&sim.store, "f2", 0, filler)
			}
			if sub, _ := sim.store.Submission("s1"); tc.advice {
				sub.NeedsAdvice = true
			}
			sim.run(_minSteadyTime + time.Second)
			sim.evacuate(tc.zones...)
			sim.run(tc.d)
			sim.evacuate()
			sim.run(time.Second)
			if sim.moves > 0 {
				t.Errorf("%d tasks were moved", sim.moves)
			}
		})
	}
}

// TestEvacuationMovesOneTaskOfStepAtATime guards against an evacuation that takes a step's
// tasks down together, while another task of the step has just started or waits.
func TestEvacuationMovesOneTaskOfStepAtATime(t *testing.T) {
	workers := newZonedWorkers(9, 16000, 64000)
	sim := newEvacuationSim(t, workers)
	submitSteps(&sim.store, "s1", 0, submission.Step{Count: 6, Needs: submission.Resources{CPU: 4000, Memory: 8000}, LongRunning: true, MaxPerWorker: 1})
	sim.run(time.Second)
	sim.evacuate("z0", "z1")
	sim.run(_minSteadyTime)
	first := sim.moves
	if first > 1 {
		t.Errorf("%d tasks were moved in the first %s", first, _minSteadyTime)
	}
	sim.run(60 * time.Second)
	if got := sim.longRunningIn("z2"); got != 3 { // one on each worker
		t.Errorf("%d tasks are in the only zone that is left, want 3", got)
	}
	if got := sim.longRunningIn("z0") + sim.longRunningIn("z1"); got != 3 {
		t.Errorf("%d tasks run in the evacuated zones, want 3 for which there is no worker elsewhere", got)
	}
}

// TestDestinationStaysReservedUntilSlowStop guards against a long-running task that is stopped
// and finds no capacity, because other work has taken its destination while the stop took its
// time.
func TestDestinationStaysReservedUntilSlowStop(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		workers := newZonedWorkers(2, 8000, 64000)
		sim := newEvacuationSim(t, workers)
		sim.stopDelay = func() time.Duration { return delay }
		long := submission.Step{Count: 1, Needs: submission.Resources{CPU: 6000, Memory: 8000}, LongRunning: true}
		submitSteps(&sim.store, "long", 0, long)
		st := submission.Start{Run: submission.RunID{Task: submission.TaskID{Submission: "long"}, Number: 1}, Worker: "w00"}
		sim.store.Start([]submission.Start{st}, sim.now)
		sim.scheduler.RecordStart(sim.now, &sim.store, st)
		sim.run(_minSteadyTime)
		sim.evacuate("z0")
		for end := sim.now.Add(30 * time.Second); sim.moves == 0 && sim.now.Before(end); {
			sim.run(100 * time.Millisecond)
		}
		submitSteps(&sim.store, "short", 0, submission.Step{Count: 8, Needs: submission.Resources{CPU: 2000, Memory: 1000}, Estimate: time.Hour})
		sim.run(delay + 300*time.Millisecond)
		if got := sim.longRunningIn("z1"); sim.moves != 1 || got != 1 {
			t.Errorf("with a stop that takes %s, %d moves, and %d tasks run in the other zone, want 1 and 1", delay, sim.moves, got)
		}
	}
}
