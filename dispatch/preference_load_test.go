package dispatch

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/gentianrail/gentianrail/locality"
	"github.com/gentianrail/gentianrail/submission"
)

var _compareRacks = flag.Bool("compare-racks", false, "log how the alternatives to waiting by an estimate do on several loads")

// rackLoad is a load of work that prefers racks. In a burst, most of the data is on one
// rack.
type rackLoad struct {
	name      string
	short     float64 // submissions per second of short tasks
	gangs     float64 // the same of rack-local gangs
	local     float64 // the same of rack-local steps that are no gangs
	reserved  int64   // cores of each worker that long-running tasks hold
	penalty   float64
	deviation float64 // of the logarithm of the true run times from that of the estimates
	shared    bool    // the data of all submissions of a second is on one rack
}

const _loadTime = 40 * time.Second

// play returns the mean worth of a submission: 1 if it is on time, 0.15 if it is late by
// less than LateFactor, 0 otherwise. It also returns the mean time to completion in
// multiples of the critical path, the share of runs away from their rack, and the
// core-seconds of a submission.
func (l *rackLoad) play(seed uint64, change func(*Scheduler)) (worth, stretch, remote, cpu float64) {
	m := newRackSim(seed, rackWorkers(7, 8, 32, 48), l.penalty)
	change(m.s)
	services := submission.Step{
		Count: len(m.workers), Needs: submission.Resources{CPU: 1000 * l.reserved, Memory: 1000}, LongRunning: true, MaxPerWorker: 1, Image: "web", TailTarget: time.Second,
	}
	m.submit("services", 0, 2, time.Minute, 0, services)
	m.round()
	submitted, done := 0, 0
	arrivals := rand.New(rand.NewPCG(seed, 13)) // equal for all alternatives
	m.rnd = rand.New(rand.NewPCG(seed, 14))
	next := [3]time.Duration{}
	for m.now.Sub(testNow) < 2*_loadTime && (m.now.Sub(testNow) < _loadTime || m.store.UnendedCount() > 1) {
		m.now = m.now.Add(_simRound)
		m.endRuns(func(string) bool { return false })
		for kind, rate := range [...]float64{l.short, l.gangs, l.local} {
			for rate > 0 && next[kind] < min(m.now.Sub(testNow), _loadTime) {
				next[kind] += time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second))
				submitted++
				l.submit(m, arrivals, kind, fmt.Sprint("s", submitted))
			}
		}
		m.round()
	}
	for _, sub := range m.store.All() {
		if sub.ID == "services" {
			continue
		}
		critical := time.Duration(0)
		for _, w := range m.work[sub.ID] {
			critical += w
		}
		took, objective := sub.EndedAt.Sub(sub.Accepted), sub.ObjectiveOf(critical)
		if sub.State != submission.Completed {
			took = m.now.Sub(sub.Accepted)
		}
		switch {
		case sub.State == submission.Completed && took <= objective+2*_simRound: // runs end and start with rounds
			worth++
		case sub.State == submission.Completed && took <= LateFactor*objective:
			worth += 0.15
		}
		stretch += float64(took) / float64(critical)
		done++
	}
	n := float64(done)
	return worth / n, stretch / n, float64(m.remote) / float64(m.started), m.cpuTime / n
}

func (l *rackLoad) submit(m *rackSim, rnd *rand.Rand, kind int, id string) {
	lognormal := func(median time.Duration, deviation float64) time.Duration {
		return time.Duration(float64(median) * math.Exp(deviation*rnd.NormFloat64()))
	}
	rack := fmt.Sprint("r", min(int(rnd.ExpFloat64()*2), 6)) // the data is uneven over the racks
	if l.shared {
		rack = fmt.Sprint("r", int(m.now.Sub(testNow).Seconds())%7)
	}
	var steps []submission.Step
	count := 1 + rnd.IntN(2)
	priority, slack, base := 0, 1.5, 400*time.Millisecond
	for i := range count {
		var step submission.Step
		switch kind {
		case 0:
			step = submission.Step{Count: 4 + rnd.IntN(12), Needs: submission.Resources{CPU: 600 + rnd.Int64N(1200), Memory: 500}, Estimate: lognormal(800*time.Millisecond, 0.5)}
			step.DataRack = rack
		default:
			step = submission.Step{Count: 8 + rnd.IntN(16), Needs: submission.Resources{CPU: 2000 + rnd.Int64N(2000), Memory: 1000}, Estimate: lognormal(2*time.Second, 0.5)}
			step.RackLocal, step.Gang = true, kind == 1
			priority, slack, base = 2, 1.5, time.Second
		}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		steps = append(steps, step)
	}
	m.submit(id, priority, slack, base, l.deviation, steps...)
}

// rackAlternatives are the ways to place work that prefers racks that are compared.
var rackAlternatives = []struct {
	name   string
	change func(*Scheduler)
}{
	{"elsewhere at once (before)", func(s *Scheduler) { s.SetRemotePenalty(0) }},
	{"elsewhere at once, rack chosen", func(s *Scheduler) { s.rackState.decide = fixedWait(0) }},
	{"fixed wait of 0.5 s", func(s *Scheduler) { s.rackState.decide = fixedWait(500 * time.Millisecond) }},
	{"fixed wait of 2 s", func(s *Scheduler) { s.rackState.decide = fixedWait(2 * time.Second) }},
	{"estimate", func(*Scheduler) {}},
}

// fixedWait returns a decision that does not consider what the rack is expected to do.
func fixedWait(wait time.Duration) func(locality.Input) locality.Decision {
	return func(in locality.Input) locality.Decision {
		if in.LongRunning || in.Waited >= wait || in.StartWithin == 0 {
			return locality.Decision{Reason: locality.Exhausted}
		}
		return locality.Decision{Wait: min(wait-in.Waited, in.StartWithin), WaitLimit: wait, Reason: locality.Worthwhile}
	}
}

// TestEstimateIsNoWorseThanStartingElsewhere guards against waits that cost more than they
// gain: over several loads the mean worth must be at least that of starting elsewhere at
// once and of waiting for a fixed time. With -compare-racks it logs the figures of
// docs/design/15-preferred-placement.md.
func TestEstimateIsNoWorseThanStartingElsewhere(t *testing.T) {
	loads := []rackLoad{
		{name: "short tasks, half load", short: 12, reserved: 24, penalty: 2, deviation: 0.2},
		{name: "short tasks, full racks", short: 20, reserved: 24, penalty: 2, deviation: 0.2, shared: true},
		{name: "gangs and short tasks", short: 10, gangs: 1.5, local: 0.5, reserved: 20, penalty: 2, deviation: 0.2},
	}
	if *_compareRacks {
		for _, penalty := range []float64{1.5, 3} {
			for _, l := range loads[:3] {
				l.penalty = penalty
				loads = append(loads, l)
			}
		}
		for _, l := range loads[:3] {
			l.deviation = 0.9
			loads = append(loads, l)
		}
		loads = append(loads, rackLoad{name: "more work than capacity", short: 30, gangs: 2, local: 1, reserved: 24, penalty: 2, deviation: 0.2, shared: true})
	}
	seeds := min(*_rackSeeds, 3)
	if *_compareRacks {
		seeds = *_rackSeeds
	}
	means := make(map[string]float64)
	for _, l := range loads {
		var first []float64
		for _, a := range rackAlternatives {
			worths, gains := make([]float64, 0, seeds), make([]float64, 0, seeds)
			var stretch, remote, cpu float64
			for seed := range seeds {
				w, s, r, c := l.play(seed, a.change)
				worths = append(worths, w)
				stretch, remote, cpu = stretch+s/float64(seeds), remote+r/float64(seeds), cpu+c/float64(seeds)
			}
			if first == nil {
				first = worths
			}
			for i, w := range worths {
				gains = append(gains, w-first[i])
			}
			mean := stat.Mean(worths, nil)
			means[a.name] += mean / float64(len(loads))
			t.Logf("%-26s penalty %.1f, deviation %.1f, %-31s worth %.3f (%+.3f ± %.3f), stretch %.2f, remote %4.1f%%, %5.1f core-s", l.name, l.penalty, l.deviation, a.name+":", mean,
				stat.Mean(gains, nil), 1.96*stat.StdErr(stat.StdDev(gains, nil), float64(seeds)), stretch, 100*remote, cpu)
		}
	}
	best := means["estimate"]
	for name, mean := range means {
		t.Logf("%s: mean worth %.4f", name, mean)
		if mean > best {
			t.Errorf("the mean worth is %.4f with the estimate and %.4f with: %s", best, mean, name)
		}
	}
}
