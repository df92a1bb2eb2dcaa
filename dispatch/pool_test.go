package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// TestPoolMatchesRecord applies random sequences of submissions, scheduling rounds,
// ends, reports and losses of workers. After each event the pool must equal one
// that is built anew from the record, and each worker must be found in the buckets
// of its free resources.
func TestPoolMatchesRecord(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		var store submission.Store
		s := &Scheduler{}
		workers := newWorkers(12, 64000, 256000)
		now, submitted := testNow, 0
		for event := range 300 {
			now = now.Add(time.Duration(rnd.IntN(200)) * time.Millisecond)
			switch rnd.IntN(6) {
			case 0:
				step := []submission.Step{serviceStep, batchStep, plainStep}[rnd.IntN(3)]
				step.Count, step.UnreservedCPU = 1+rnd.IntN(8), step.Image == "cut" && rnd.IntN(2) == 0
				step.Gang = step.Image == "" && rnd.IntN(4) == 0
				step.RackLocal = !step.Gang && step.Image == "" && rnd.IntN(4) == 0
				submitted++
				submitSteps(&store, fmt.Sprint("s", submitted), rnd.IntN(3), step)
			case 1, 2:
				s.startTasks(t, &store, now)
			case 3:
				endRandomRuns(rnd, s, &store, now)
			case 4:
				w := workers[rnd.IntN(len(workers))]
				w.Schedulable = rnd.IntN(4) > 0
				w.TailLatencies = []interference.TailLatency{{Step: "s1", Image: "web", Percent: 20 + rnd.IntN(100)}}
				s.SetWorker(&store, w)
			case 5:
				s.Stops(clocksAt(now), &store)
				s.ExplainWaits(clocksAt(now), &store, 3)
				if rnd.IntN(5) == 0 {
					s.RemoveWorker(workers[rnd.IntN(len(workers))].Incarnation)
				}
			}
			if err := s.pool.check(&store); err != nil {
				t.Fatalf("seed %d, event %d: %v", seed, event, err)
			}
		}
	}
}

func endRandomRuns(rnd *rand.Rand, s *Scheduler, store *submission.Store, now time.Time) {
	for _, sub := range store.Unended() {
		for _, st := range sub.Runs() {
			if rnd.IntN(3) == 0 {
				reason := []submission.EndReason{submission.Done, submission.Failed, submission.Stopped, submission.Lost}[rnd.IntN(4)]
				s.recordEnd(store, now, submission.End{Run: st.Run, Worker: st.Worker, Reason: reason}, time.Second)
			}
		}
	}
}

// check compares the pool with one that is built from the record.
func (p *pool) check(store *submission.Store) error {
	var rebuilt pool
	for _, n := range p.nodes {
		rebuilt.set(store, n.Worker)
	}
	for name, n := range p.nodes {
		want := rebuilt.nodes[name]
		if n.free != want.free || n.idleCPU != want.idleCPU || n.runs != want.runs || n.serviceRuns != want.serviceRuns || n.batchRuns != want.batchRuns {
			return fmt.Errorf("%s has %+v free, %d idle, %d runs, want %+v, %d, %d", name, n.free, n.idleCPU, n.runs, want.free, want.idleCPU, want.runs)
		}
		if fmt.Sprint(n.serviceImages) != fmt.Sprint(want.serviceImages) || n.changed || len(n.roundLoads) > 0 {
			return fmt.Errorf("%s has service images %v, want %v; round loads %v", name, n.serviceImages, want.serviceImages, n.roundLoads)
		}
		s := p.services[n.Service]
		if s.byFree[bucketOf(n.free.CPU)][n.freeIndex.index] != n || s.byIdle[bucketOf(n.idleCPU)][n.idleIndex.index] != n ||
			s.byRack[n.Rack][n.rackIndex] != n || s.byLabel[n.Labels[0]][n.labelIndexes[0]] != n {
			return fmt.Errorf("%s is not where the indexes expect it", name)
		}
	}
	for name, want := range rebuilt.services {
		if got := p.services[name]; got == nil || got.totals != want.totals {
			return fmt.Errorf("the totals of %s differ", name)
		}
	}
	return nil
}

// TestSampledPlacementMatchesFullSearch places the same load in a pool of 160
// workers once with the bounded search and once with a search of all workers. The
// bounded one must start as many tasks, at nearly the same mean cost.
func TestSampledPlacementMatchesFullSearch(t *testing.T) {
	const workers, steps = 160, 120
	run := func(seed uint64, searchAll bool) (starts int, cost float64) {
		rnd := rand.New(rand.NewPCG(seed, 8))
		var store submission.Store
		s := newScheduler(&store, newWorkers(workers, 64000, 256000))
		s.searchAll = searchAll
		for i := range steps {
			step := []submission.Step{serviceStep, batchStep, plainStep}[rnd.IntN(3)]
			step.Image += fmt.Sprint(rnd.IntN(4))
			if step.Estimate == plainStep.Estimate {
				step.Image = ""
			}
			step.Count = 1 + rnd.IntN(24)
			step.DataRack = []string{"", "r1"}[rnd.IntN(2)]
			submitSteps(&store, fmt.Sprint("s", i), 2, step)
			r := s.newRound(clocksAt(testNow), &store)
			for _, ws := range s.waitingSteps(clocksAt(testNow), &store) {
				p := &placement{round: r, ws: ws, step: &ws.sub.Steps[ws.step], onWorker: map[string]int{}, onRack: map[string]int{}}
				before := len(r.starts)
				r.placeStep(ws)
				for _, st := range r.starts[before:] {
					cost += p.cost(r.pool.nodes[st.Worker])
				}
			}
			r.end(&store)
			for _, st := range store.Start(r.starts, testNow) {
				s.RecordStart(testNow, &store, st)
			}
			starts += len(r.starts)
		}
		return starts, cost / float64(starts)
	}
	for seed := range uint64(6) {
		sampled, sampledCost := run(seed, false)
		full, fullCost := run(seed, true)
		if sampled < full || sampledCost > fullCost+0.1 {
			t.Errorf("seed %d: %d starts of mean cost %.3f, with a full search %d of %.3f", seed, sampled, sampledCost, full, fullCost)
		}
	}
}
