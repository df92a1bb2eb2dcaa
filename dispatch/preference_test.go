package dispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/locality"
	"github.com/gentianrail/gentianrail/submission"
)

var _rackSeeds = flag.Uint64("rack-seeds", 60, "seeds of the tests that play work with preferred racks")

// oneCore is a step whose tasks need a core for a second.
func oneCore(count int) submission.Step {
	return submission.Step{Count: count, Needs: submission.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second}
}

// onRack returns the step with its data on a rack.
func onRack(step submission.Step, rack string) submission.Step {
	step.DataRack = rack
	return step
}

// newFullRack returns a simulation of racks of two workers of four cores in which rack r0
// is full of tasks that end in left.
func newFullRack(t *testing.T, penalty float64, left time.Duration) *rackSim {
	t.Helper()
	m := newRackSim(1, rackWorkers(4, 2, 4), penalty)
	fill := onRack(oneCore(8), "r0")
	fill.Estimate = left
	m.submit("fill", 0, 2, time.Minute, 0, fill)
	if got := len(m.round()); got != 8 || m.remote > 0 {
		t.Fatalf("%d tasks started, %d elsewhere", got, m.remote)
	}
	return m
}

// playUntilStart runs rounds until a task of the submission starts. It returns the time
// until then and the starts of that round.
func (m *rackSim) playUntilStart(id string) (time.Duration, []submission.Start) {
	for begin := m.now; m.now.Sub(begin) < time.Minute; m.now = m.now.Add(_simRound) {
		m.endRuns(func(string) bool { return false })
		var out []submission.Start
		for _, st := range m.round() {
			if st.Run.Task.Submission == id {
				out = append(out, st)
			}
		}
		if len(out) > 0 {
			return m.now.Sub(begin), out
		}
	}
	return time.Minute, nil
}

// TestTasksWaitForTheirRack checks for how long work of each kind waits for a full rack,
// and where it starts.
func TestTasksWaitForTheirRack(t *testing.T) {
	const ms = time.Millisecond
	gang := func(step submission.Step) submission.Step { step.Gang = true; return step }
	for _, c := range []struct {
		name    string
		penalty float64
		left    time.Duration // until the runs on the rack end
		step    submission.Step
		want    time.Duration // waiting time
		rack    string        // of the starts; empty for any other than r0
	}{
		{"short wait", 2, 400 * ms, onRack(oneCore(3), "r0"), 400 * ms, "r0"},
		{"wait longer than its worth", 1.2, 400 * ms, onRack(oneCore(3), "r0"), 0, ""},
		{"wait beyond the bound", 3, 5000 * ms, onRack(oneCore(3), "r0"), 0, ""},
		{"no penalty", 0, 400 * ms, onRack(oneCore(3), "r0"), 0, ""},
		{"rack without workers", 2, 400 * ms, onRack(oneCore(3), "r9"), 0, ""},
		{"no estimate", 2, 400 * ms, func() submission.Step { s := onRack(oneCore(3), "r0"); s.Estimate = 0; return s }(), 0, ""},
		{"gang with its data on the rack", 2, 400 * ms, gang(onRack(oneCore(6), "r0")), 400 * ms, "r0"},
		{"long-running", 2, 400 * ms, func() submission.Step { s := onRack(oneCore(3), "r0"); s.LongRunning = true; return s }(), 0, ""},
	} {
		m := newFullRack(t, c.penalty, c.left)
		m.submit("a", 0, 2, time.Minute, 0, c.step)
		wait, starts := m.playUntilStart("a")
		if wait != c.want || len(starts) != c.step.Count {
			t.Errorf("%s: %d tasks started after %s, want %d after %s", c.name, len(starts), wait, c.step.Count, c.want)
		}
		for _, st := range starts {
			if rack := m.rackOf(st.Worker); rack != c.rack && (c.rack != "" || rack == "r0") {
				t.Errorf("%s: starts on rack %s", c.name, rack)
			}
		}
		counts := m.s.PreferenceCounts()
		if waited := counts.Waits > 0; waited != (c.want > 0) || counts.Preferred+counts.Elsewhere != counts.Waits || waited && counts.Elsewhere > 0 {
			t.Errorf("%s: counts %+v", c.name, counts)
		}
	}
}

// TestWaitEndsAtItsBound plays runs on the rack that take ten times as long as estimated,
// or never end. The waiting tasks must start elsewhere at the latest at their bound, and a
// task that is started again does not wait again.
func TestWaitEndsAtItsBound(t *testing.T) {
	for _, factor := range []time.Duration{10, 1e6} {
		m := newFullRack(t, 3, 400*time.Millisecond)
		for id := range m.ends {
			m.ends[id] = m.now.Add(factor * 400 * time.Millisecond)
		}
		m.submit("a", 0, 2, time.Minute, 0, onRack(oneCore(1), "r0"))
		wait, starts := m.playUntilStart("a")
		if wait == 0 || wait > locality.MaxWait || len(starts) != 1 || m.rackOf(starts[0].Worker) == "r0" {
			t.Fatalf("factor %d: started %v after %s", factor, starts, wait)
		}
		if got := m.s.PreferenceCounts(); got != (PreferenceCounts{Waits: 1, Elsewhere: 1}) {
			t.Errorf("factor %d: counts %+v", factor, got)
		}
	}
}

// TestWaitsOfATaskAreCumulative starts a task again and again, each time with a rack that is
// expected to have room soon. All of its waits together must stay within one bound.
func TestWaitsOfATaskAreCumulative(t *testing.T) {
	m := newFullRack(t, 3, 400*time.Millisecond)
	step, busy := onRack(oneCore(1), "r0"), oneCore(1)
	busy.Estimate = time.Hour
	m.submit("a", 0, 2, time.Hour, 0, step, busy)
	sum, waits := time.Duration(0), 0
	for range 20 {
		for id := range m.ends {
			m.ends[id] = m.now.Add(400 * time.Millisecond)
			sub := first(m.store.Submission(id.Task.Submission))
			sub.Task(id.Task).Runs[0].Started = m.now // the estimate stays 400 ms from now
		}
		begin := m.now
		m.s.rackState.decide = func(in locality.Input) locality.Decision {
			d := locality.Decide(in)
			if m.now.Sub(begin) >= 300*time.Millisecond {
				d.Wait, d.Reason = 0, locality.TooLong // as if a run took longer
			}
			return d
		}
		var run submission.Start
		for ; run.Worker == "" && m.now.Sub(begin) < 3*time.Second; m.now = m.now.Add(_simRound) {
			for _, st := range m.round() {
				if st.Run.Task == (submission.TaskID{Submission: "a"}) {
					run = st
				}
			}
		}
		wait := m.now.Add(-_simRound).Sub(begin)
		sum += wait
		if wait > 0 {
			waits++
		}
		if sum > 2*time.Second || run.Worker == "" {
			t.Fatalf("the task has waited for %s in %d waits", sum, waits)
		}
		m.s.recordEnd(&m.store, m.now, submission.End{Run: run.Run, Worker: run.Worker, Reason: submission.Lost}, -1)
		delete(m.ends, run.Run)
	}
	if waits < 2 {
		t.Errorf("%d waits", waits)
	}
}

// TestWaitsUnderTwoLeadersStarveNoSubmission changes the leader while the only task of a
// submission waits for a rack that is always expected to have room in 100 ms. The waits
// under both leaders together must end 2 s after the submission was accepted, since the
// pool has much free capacity.
func TestWaitsUnderTwoLeadersStarveNoSubmission(t *testing.T) {
	m := newFullRack(t, 3, 100*time.Millisecond)
	step := onRack(oneCore(1), "r0")
	step.Estimate = 10 * time.Second
	m.submit("a", 0, 2, time.Hour, 0, step)
	begin := m.now
	for ; m.now.Sub(begin) < 5*time.Second; m.now = m.now.Add(_simRound) {
		fill := first(m.store.Submission("fill"))
		for i := range fill.StepRecords[0][0].Tasks {
			fill.StepRecords[0][0].Tasks[i].Runs[0].Started = m.now
		}
		if m.now.Sub(begin) == time.Second {
			m.s.Reset()
			m.s.setWorkers(&m.store, m.workers)
		}
		if starts := m.round(); len(starts) > 0 {
			break
		}
	}
	if wait := m.now.Sub(begin); wait < 1500*time.Millisecond || wait > 2*time.Second {
		t.Errorf("the task starts after %s, want at most 2s", wait)
	}
}

// TestWaitBeginsAnewOnceUnderANewLeader guards against a task that waits for its bound
// under each of several leaders: under a new one the wait counts from its first round.
func TestWaitBeginsAnewOnceUnderANewLeader(t *testing.T) {
	m := newFullRack(t, 3, 1500*time.Millisecond)
	busy := oneCore(1) // keeps the submission from being without an active run
	busy.Estimate = 20 * time.Second
	m.submit("a", 0, 2, time.Minute, 0, busy, onRack(oneCore(1), "r0"))
	if wait, _ := m.playUntilStart("a"); wait != 0 {
		t.Fatalf("the task without data waits for %s", wait)
	}
	for id := range m.ends {
		m.ends[id] = m.now.Add(time.Hour)
	}
	m.now = m.now.Add(time.Second)
	m.s.Reset()
	m.s.setWorkers(&m.store, m.workers)
	if starts := m.round(); len(starts) > 0 {
		t.Fatalf("%v start although the rack is expected to have capacity", starts)
	}
	w := m.s.rackState.waits[submission.TaskID{Submission: "a", Step: 1}]
	if w == nil || w.waitedAt(m.now) != 0 {
		t.Fatalf("the wait under the new leader is %+v", w)
	}
	m.now = m.now.Add(locality.MaxWait)
	if starts := m.round(); len(starts) != 1 {
		t.Errorf("%d starts at the bound, want 1", len(starts))
	}
	// A task of the submission that has not waited under this leader may have waited before.
	if got := m.s.rackState.wait(clocksAt(m.now), first(m.store.Submission("a")), submission.TaskID{Submission: "a", Step: 7}); got.waited != locality.MaxWait {
		t.Errorf("a task of an older submission has used %s of its bound, want %s", got.waited, locality.MaxWait)
	}
}

func first[A, B any](a A, _ B) A { return a }

// TestRackLocalWorkTakesTheRackThatHoldsIt fills racks partly. The rack-local step or gang
// must start on the one rack that holds all of its tasks, although another has emptier
// workers, and on the one that holds most otherwise.
func TestRackLocalWorkTakesTheRackThatHoldsIt(t *testing.T) {
	for _, c := range []struct {
		used []int64 // cores on each worker, by rack
		want string
	}{
		{[]int64{2, 1, 2, 2}, "r1"},
		{[]int64{3, 2, 2, 0}, "r3"},
		{[]int64{1, 0, 2, 3}, "r0"}, // both hold it, r1 also more
	} {
		for _, isGang := range []bool{false, true} {
			m := newRackSim(1, rackWorkers(4, 2, 4), 2)
			for i, used := range c.used {
				fill := onRack(oneCore(2), fmt.Sprint("r", i))
				fill.Needs.CPU, fill.MaxPerWorker = 1000*used, 1
				if used > 0 {
					m.submit(fmt.Sprint("fill", i), 0, 2, time.Minute, 0, fill)
				}
			}
			m.round()
			step := oneCore(6)
			step.RackLocal, step.Gang = true, isGang
			m.submit("a", 0, 2, time.Minute, 0, step)
			_, starts := m.playUntilStart("a")
			if len(starts) != 6 {
				t.Fatalf("used %v: %d starts", c.used, len(starts))
			}
			for _, st := range starts {
				if rack := m.rackOf(st.Worker); rack != c.want {
					t.Errorf("used %v, gang %t: a task starts on rack %s, want %s", c.used, isGang, rack, c.want)
				}
			}
		}
	}
}

// TestRackLocalGangWaitsForOneRack plays a gang that fits only on several racks now, and
// soon on one.
func TestRackLocalGangWaitsForOneRack(t *testing.T) {
	for _, c := range []struct {
		left, want time.Duration // until the runs on r0 end; wait of the gang
	}{{300 * time.Millisecond, 300 * time.Millisecond}, {3 * time.Second, 0}} {
		m := newRackSim(1, rackWorkers(3, 2, 4), 2)
		for i := range 3 {
			fill := onRack(oneCore(2), fmt.Sprint("r", i))
			fill.Needs.CPU, fill.MaxPerWorker, fill.Estimate = 2000, 1, time.Hour
			if i == 0 {
				fill.Estimate = c.left
			}
			m.submit(fmt.Sprint("fill", i), 0, 2, time.Minute, 0, fill)
		}
		m.round()
		step := oneCore(6)
		step.RackLocal, step.Gang = true, true
		m.submit("a", 0, 2, time.Minute, 0, step)
		m.round()
		if c.want > 0 {
			waits := m.s.ExplainWaits(clocksAt(m.now), &m.store, 5)
			if len(waits) != 1 || waits[0].Preferred == nil || waits[0].Preferred.Rack != "r0" || waits[0].Preferred.Reason != locality.Worthwhile ||
				waits[0].Preferred.Until.Sub(m.now) > 1100*time.Millisecond || waits[0].Preferred.Expected > 400*time.Millisecond {
				t.Errorf("explanation %+v", waits)
			}
			wait, starts := m.playUntilStart("a")
			if wait != c.want || len(starts) != 6 || m.remote > 0 {
				t.Errorf("%d members start after %s, %d remote", len(starts), wait, m.remote)
			}
			continue
		}
		if sub, _ := m.store.Submission("a"); sub.ActiveRuns() != 6 {
			t.Errorf("%d members run, want 6 although the gang is split", sub.ActiveRuns())
		}
	}
}

// TestWaitersShareTheRack submits more tasks than the rack will have room for within the
// worth of a wait. Those beyond it must start elsewhere at once, whichever step they are of.
func TestWaitersShareTheRack(t *testing.T) {
	m := newFullRack(t, 1.5, 400*time.Millisecond)
	m.submit("a", 0, 2, time.Minute, 0, onRack(oneCore(6), "r0"))
	m.submit("b", 0, 2, time.Minute, 0, onRack(oneCore(6), "r0"))
	if got := len(m.round()); got != 4 {
		t.Errorf("%d tasks started elsewhere, want the 4 for which the rack has no room soon", got)
	}
}

// TestOccurrencesWaitAsOthersDo guards against occurrences whose wait counts from the
// submission's acceptance, long before they were due, so that they never wait.
func TestOccurrencesWaitAsOthersDo(t *testing.T) {
	m := newFullRack(t, 2, 400*time.Millisecond)
	m.store.Submit(submission.Submission{
		Spec:    submission.Spec{ID: "a", Queue: "q0", Steps: []submission.Step{onRack(oneCore(1), "r0")}, Repeat: 2, StartAt: m.now, Interval: time.Minute},
		Service: "s", MaxAttempts: 3, Slack: 2, BaseObjective: time.Minute,
	}, m.now.Add(-time.Hour))
	if wait, _ := m.playUntilStart("a"); wait != 400*time.Millisecond {
		t.Errorf("the occurrence waits for %s, want 400ms", wait)
	}
}

// TestRunsHaveDifferentSamples guards against equal samples of the ends of alike runs, with
// which the first of them would not be expected to end earlier than each: those of a worker,
// whether recorded or started in the round, and the first ones of a rack's workers.
func TestRunsHaveDifferentSamples(t *testing.T) {
	for recorded := range 3 {
		m := newRackSim(1, rackWorkers(1, 3, 8), 3)
		run := func(id string, task int) submission.RunID {
			return submission.RunID{Task: submission.TaskID{Submission: id, Index: task}, Number: 1}
		}
		m.submit("recorded", 0, 2, time.Minute, 0, onRack(oneCore(6), "r0"))
		for i := range recorded * len(m.workers) {
			for _, st := range m.store.Start([]submission.Start{{Run: run("recorded", i), Worker: m.workers[i%len(m.workers)].Incarnation}}, m.now) {
				m.s.RecordStart(m.now, &m.store, st)
			}
		}
		m.submit("new", 0, 2, time.Minute, 0, onRack(oneCore(6), "r0"))
		at := clocksAt(m.now)
		r := m.s.newStartRound(at, &m.store)
		var p placement
		for _, ws := range m.s.waitingSteps(at, &m.store) {
			if ws.sub.ID == "new" {
				p = r.newPlacement(ws)
			}
		}
		p.beginSearch(p.ws.record())
		firsts := make(map[locality.Times]bool)
		for i := range 6 {
			p.start(run("new", i), m.s.pool.nodes[m.workers[i%len(m.workers)].Incarnation])
		}
		for _, w := range m.workers {
			ends := p.expectedCapacity(m.s.pool.nodes[w.Incarnation], true).Ends
			ofWorker := make(map[locality.Times]bool)
			for _, e := range ends {
				ofWorker[e.In] = true
			}
			if want := recorded + 2; len(ends) != want || len(ofWorker) != want {
				t.Errorf("%d recorded runs: %s has %d ends with %d different samples, want %d", recorded, w.Incarnation, len(ends), len(ofWorker), want)
			}
			firsts[ends[0].In] = true
		}
		if len(firsts) != len(m.workers) {
			t.Errorf("%d recorded runs: the first runs of %d workers have %d different samples", recorded, len(m.workers), len(firsts))
		}
		r.end(&m.store)
	}
}

// TestStateOfWaitsIsDropped guards against a leader that keeps something of each submission
// that has waited.
func TestStateOfWaitsIsDropped(t *testing.T) {
	m := newRackSim(3, rackWorkers(6, 4, 8), 3)
	play := boundCheck{rackSim: m, beside: make(map[submission.TaskID]time.Duration), idle: make(map[string]time.Duration)}
	rs := &m.s.rackState
	for range 400 {
		if len(rs.waits) == 0 || len(rs.stepRacks) == 0 || len(rs.idleSince) == 0 {
			play.step()
		}
	}
	if len(rs.waits) == 0 || len(rs.stepRacks) == 0 || len(rs.idleSince) == 0 {
		t.Fatal("nothing has waited")
	}
	for _, sub := range m.store.Unended() {
		if err := m.store.Cancel(sub.ID, m.now); err != nil {
			t.Fatal(err)
		}
	}
	m.now = m.now.Add(_rackStatePruneInterval)
	m.round()
	if len(rs.waits)+len(rs.idleSince)+len(rs.stepRacks) > 0 {
		t.Errorf("%d waits, %d submissions and %d steps are left", len(rs.waits), len(rs.idleSince), len(rs.stepRacks))
	}
}

// TestEstimatesIgnoreTheRemotePenalty guards against estimates and health that count runs
// away from their data as slow.
func TestEstimatesIgnoreTheRemotePenalty(t *testing.T) {
	m := newFullRack(t, 3, time.Hour)
	for i := range 20 {
		m.submit(fmt.Sprint("a", i), 1, 2, time.Minute, 0, onRack(oneCore(4), "r0"))
		m.round()
		for range 80 {
			m.now = m.now.Add(_simRound)
			m.endRuns(func(string) bool { return false })
			m.round()
		}
	}
	if m.remote < 60 {
		t.Fatalf("%d runs were away from their data", m.remote)
	}
	m.submit("last", 1, 2, time.Minute, 0, oneCore(1))
	sub, _ := m.store.Submission("last")
	if got, _ := m.s.times.Submission(m.now, sub).Step(0); got < 800*time.Millisecond || got > 1200*time.Millisecond {
		t.Errorf("the estimate is %s, want about 1 s", got)
	}
	if r := m.s.newRound(clocksAt(m.now), &m.store); len(r.unhealthy) > 0 {
		t.Errorf("workers %v are unhealthy", r.unhealthy)
	}
}

// TestEachTaskStartsWithinItsBound plays pools of any size whose racks are full, dead or
// slow, with new leaders and with estimates that are wrong by a factor of ten. It guards
// against a task, or a gang, that waits longer than its bound while workers have capacity
// for it, that waits beside capacity without a decision, and against a submission that has
// nothing running for 2 s beside much free capacity.
func TestEachTaskStartsWithinItsBound(t *testing.T) {
	waits := PreferenceCounts{}
	for seed := range *_rackSeeds {
		m := randomRackSim(seed)
		play := boundCheck{rackSim: m, beside: make(map[submission.TaskID]time.Duration), idle: make(map[string]time.Duration)}
		for range 400 {
			play.step()
			if err := play.check(); err != nil {
				t.Fatalf("seed %d, after %s: %v", seed, m.now.Sub(testNow), err)
			}
		}
		c := m.s.PreferenceCounts()
		waits.Waits, waits.Preferred, waits.Elsewhere = waits.Waits+c.Waits, waits.Preferred+c.Preferred, waits.Elsewhere+c.Elsewhere
	}
	t.Logf("waits %+v", waits)
	if waits.Preferred < 200 || waits.Elsewhere < 200 {
		t.Errorf("waits %+v: too few for a test", waits)
	}
}

func randomRackSim(seed uint64) *rackSim {
	rnd := rand.New(rand.NewPCG(seed, 12))
	workers := rackWorkers(1+rnd.IntN(8), 1+rnd.IntN(9), 4, 8, 16)
	return newRackSim(seed, workers, []float64{1.5, 2, 3}[rnd.IntN(3)])
}

// boundCheck checks the waits of a simulation with random events.
type boundCheck struct {
	*rackSim
	submitted int
	beside    map[submission.TaskID]time.Duration // for which tasks have waited beside capacity, under this leader
	idle      map[string]time.Duration            // for which submissions have had nothing running beside much capacity
}

// step submits, loses or slows something and runs a scheduling round.
func (b *boundCheck) step() {
	b.now = b.now.Add(_simRound)
	racks := len(b.workers)
	rack := b.workers[b.rnd.IntN(racks)].Rack
	switch b.rnd.IntN(30) {
	case 0:
		b.down[rack] = !b.down[rack]
		for _, w := range b.workers {
			w.Schedulable = !b.down[w.Rack]
			b.s.SetWorker(&b.store, w)
		}
	case 1:
		b.slow[rack] = 20 * b.rnd.Float64()
	case 2:
		if b.rnd.IntN(4) == 0 {
			b.s.Reset()
			clear(b.beside)
			for _, w := range b.workers {
				w.Schedulable = !b.down[w.Rack]
				b.s.SetWorker(&b.store, w)
			}
		}
	case 3, 4, 5, 6, 7, 8, 9, 10:
		b.submitRandom(rack)
	}
	b.endRuns(func(incarnation string) bool { return b.down[b.rackSim.rackOf(incarnation)] })
	b.round()
	b.s.Prune(b.now, &b.store)
}

func (b *boundCheck) submitRandom(rack string) {
	var steps []submission.Step
	for range 1 + b.rnd.IntN(2) {
		step := oneCore(1 + b.rnd.IntN(12))
		step.Needs.CPU = int64(200 + b.rnd.IntN(4000))
		step.Estimate = time.Duration(50+b.rnd.IntN(3000)) * time.Millisecond
		step.Gang, step.UnreservedCPU = b.rnd.IntN(4) == 0, b.rnd.IntN(4) == 0
		switch b.rnd.IntN(4) {
		case 0:
			step.RackLocal = true
		case 1, 2:
			step.DataRack = rack
		}
		if b.rnd.IntN(20) == 0 && !step.Gang {
			step.Estimate = 0
		}
		if b.rnd.IntN(20) == 0 {
			step.LongRunning, step.Gang, step.Count = true, false, 2
		}
		if len(steps) > 0 && !steps[0].LongRunning {
			step.DependsOn = []int{0}
		}
		steps = append(steps, step)
	}
	b.submitted++
	const factorOfTen = 2.3 // about one estimate in three is wrong by more than a factor of ten
	b.submit(fmt.Sprint("s", b.submitted), b.rnd.IntN(3), 2, 2*time.Second, []float64{0.1, 0.9, factorOfTen}[b.rnd.IntN(3)], steps...)
}

// check adds the time since the latest round to the waits of tasks that could start.
func (b *boundCheck) check() error {
	at := clocksAt(b.now)
	r := b.s.newRound(at, &b.store)
	defer r.end(&b.store)
	idle := make(map[string]bool)
	for _, ws := range b.s.waitingSteps(at, &b.store) {
		p := r.newPlacement(ws)
		rec := ws.record()
		p.countActiveRuns(rec)
		room := 0
		for _, n := range b.s.pool.nodes {
			if p.mayRun(n) {
				room += roomFor(p.step, n, r.unhealthy[n.Incarnation])
			}
		}
		needed := 1
		if p.step.Gang {
			needed = len(rec.Tasks)
		}
		if room < needed || p.step.Gang && hasRuns(rec) {
			continue
		}
		if ws.sub.ActiveRuns() == 0 && room >= 2*needed && r.lightlyLoaded["s"] {
			idle[ws.sub.ID] = true
		}
		if err := b.checkTasks(ws); err != nil {
			return err
		}
	}
	for id := range b.idle {
		if !idle[id] {
			delete(b.idle, id)
		}
	}
	for id := range idle {
		if b.idle[id] += _simRound; b.idle[id] > _maxStarvation+_simRound {
			return fmt.Errorf("submission %s has had nothing running for %s beside free capacity", id, b.idle[id])
		}
	}
	return nil
}

// roomFor returns the number of a step's tasks that may start on a worker that may run one.
// The first task of a starved submission may start without idle CPU, which makes no room
// for a gang.
func roomFor(step *submission.Step, n *node, isUnhealthy bool) int {
	cpu := n.free.CPU
	if step.UnreservedCPU {
		cpu = max(n.idleCPU, 0)
	}
	room := int(min(cpu/step.Needs.CPU, n.free.Memory/step.Needs.Memory))
	if isUnhealthy {
		room = min(room, 1) // such a worker gets one task at a time
	}
	if step.Gang {
		return room
	}
	return max(room, 1)
}

func (b *boundCheck) checkTasks(ws waitingStep) error {
	for i := range ws.record().Tasks {
		task := &ws.record().Tasks[i]
		if task.Done || len(task.Runs) > 0 {
			continue
		}
		id := submission.TaskID{Submission: ws.sub.ID, Occurrence: ws.occurrence, Step: ws.step, Index: i}
		w := b.s.rackState.waits[id]
		if w == nil {
			return fmt.Errorf("%s waits beside capacity without a decision: %+v", id, ws.sub.Steps[ws.step])
		}
		b.beside[id] += _simRound
		if limit := w.limit + _simRound; b.beside[id] > limit || limit > 2*time.Second+_simRound {
			return fmt.Errorf("%s has waited for %s beside capacity, its bound is %s", id, b.beside[id], w.limit)
		}
		if ws.sub.Steps[ws.step].LongRunning {
			return fmt.Errorf("long-running %s waits beside capacity", id)
		}
		if ws.sub.Steps[ws.step].Gang {
			break
		}
	}
	return nil
}

func hasRuns(rec *submission.StepRecord) bool {
	for i := range rec.Tasks {
		if len(rec.Tasks[i].Runs) > 0 {
			return true
		}
	}
	return false
}
