package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulation holds workers whose service tasks follow the model. Demands vary by
// half within 20 s and are the same for a step on all workers. The coefficient of
// a pair is either high or low.
type simulation struct {
	rnd          *rand.Rand
	now          time.Time
	coefficients map[Pair]float64
	backlog      map[string]float64 // of a step on a worker, in percent of the target
}

var testImages = []string{"f0", "f1", "f2", "f3"}

func newSimulation(seed uint64) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), coefficients: make(map[Pair]float64), backlog: make(map[string]float64)}
	for _, f := range testImages {
		for _, service := range []string{"s0", "s1"} {
			v := 4.5
			if s.rnd.IntN(2) == 0 {
				v = 0.2
			}
			s.coefficients[Pair{Batch: f, Service: service}] = v
		}
	}
	return s
}

func (s *simulation) demand(step int) float64 {
	at := float64(s.now.Sub(time.Unix(1000, 0))) / float64(20*time.Second)
	return 0.45 * (1 + 0.5*math.Sin(2*math.Pi*(at+float64(step)/3)))
}

// tailLatencies returns the tail latencies of steps 0 and 1 on a worker with the
// given loads.
func (s *simulation) tailLatencies(worker string, loads []Load) []TailLatency {
	var out []TailLatency
	for step := range 2 {
		image := fmt.Sprint("s", step)
		interference := 0.0
		for _, l := range loads {
			interference += l.Share * s.coefficients[Pair{Batch: l.Image, Service: image}]
		}
		utilization := s.demand(step) * (1 + interference) * (1 + 0.05*s.rnd.NormFloat64())
		key := worker + image
		s.backlog[key] = max(0, 0.5*s.backlog[key])
		if utilization > 0.97 {
			s.backlog[key] += 300
			utilization = 0.97
		}
		percent := int(_idleTailPercent/(1-utilization) + s.backlog[key])
		out = append(out, TailLatency{Step: fmt.Sprint("step", step), Image: image, Percent: percent})
	}
	return out
}

// TestEstimatesFollowSimulation simulates four workers for a minute, each with
// other batch images every few seconds. The estimates must separate pairs with a
// high coefficient from pairs with a low one, and must follow the demands.
func TestEstimatesFollowSimulation(t *testing.T) {
	wrong, demandError, samples := 0, 0.0, 0
	const seeds = 20
	for seed := range uint64(seeds) {
		s := newSimulation(seed)
		var estimator Estimator
		loads := make([][]Load, 4)
		for tick := range 150 { // of 400 ms
			s.now = s.now.Add(400 * time.Millisecond)
			for w := range loads {
				if tick%6 == 0 { // other loads every 2.4 s, sometimes none
					loads[w] = nil
					for range s.rnd.IntN(3) {
						loads[w] = append(loads[w], Load{Image: testImages[s.rnd.IntN(len(testImages))], Share: 0.05 + 0.2*s.rnd.Float64()})
					}
				}
				name := fmt.Sprint("w", w)
				estimator.AddSample(s.now, name, s.tailLatencies(name, loads[w]), loads[w])
			}
			if tick > 50 {
				for step := range 2 {
					demandError += math.Abs(estimator.Demand(fmt.Sprint("step", step), 0) - s.demand(step))
					samples++
				}
			}
		}
		for pair, v := range s.coefficients {
			if got := estimator.Coefficient(pair); (got > 1.5) != (v > 1.5) {
				t.Logf("seed %d: %v: coefficient %.1f, want %.1f", seed, pair, got, v)
				wrong++
			}
		}
	}
	if maxWrong := seeds * 8 / 20; wrong > maxWrong {
		t.Errorf("%d of %d coefficients are on the wrong side of 1.5, want at most one in 20", wrong, seeds*8)
	}
	if mean := demandError / float64(samples); mean > 0.08 {
		t.Errorf("mean error of demands %.3f, want at most 0.08; demands vary by 0.22", mean)
	}
}

// TestDrainingBacklogKeepsCoefficients replaces a load that has caused a backlog by
// one that causes no interference. The tail latency stays high while the backlog
// drains, which must not raise the coefficient of the second load.
func TestDrainingBacklogKeepsCoefficients(t *testing.T) {
	var estimator Estimator
	now := time.Unix(1000, 0)
	observe := func(percent int, loads ...Load) {
		now = now.Add(400 * time.Millisecond)
		estimator.AddSample(now, "w", []TailLatency{{Step: "a", Image: "s", Percent: percent}}, loads)
	}
	for range 20 {
		observe(36)
	}
	light := Load{Image: "light", Share: 0.3}
	for range 8 {
		observe(36, light)
	}
	before := estimator.Coefficient(Pair{Batch: "light", Service: "s"})
	for _, percent := range []int{4000, 9000} {
		observe(percent, Load{Image: "heavy", Share: 0.3})
	}
	if d := estimator.Demand("a", 0); d > 0.5 {
		t.Errorf("demand %.2f with a backlog, want 0.44", d)
	}
	for _, percent := range []int{8000, 4000, 2000, 900, 400, 160} {
		observe(percent, light)
	}
	if after := estimator.Coefficient(Pair{Batch: "light", Service: "s"}); after > before+0.2 {
		t.Errorf("coefficient rose from %.2f to %.2f while the backlog drained", before, after)
	}
	if heavy := estimator.Coefficient(Pair{Batch: "heavy", Service: "s"}); heavy < 2.5 {
		t.Errorf("coefficient %.2f of the load that caused the backlog, want at least 2.5", heavy)
	}
}

// TestDemandFollowsRisingTrend checks the expected demand. A rising trend must be
// extrapolated, a falling trend must not.
func TestDemandFollowsRisingTrend(t *testing.T) {
	for _, tc := range []struct {
		name    string
		slope   float64 // per second
		minRise float64
		maxRise float64
	}{
		{"rising", 0.05, 0.05, 0.15},
		{"falling", -0.05, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var estimator Estimator
			now, demand := time.Unix(1000, 0), 0.45
			for range 15 {
				now = now.Add(400 * time.Millisecond)
				demand += tc.slope * 0.4
				estimator.AddSample(now, "w", []TailLatency{{Step: "a", Image: "s", Percent: int(_idleTailPercent / (1 - demand))}}, nil)
			}
			ahead := estimator.Demand("a", 2*time.Second) - estimator.Demand("a", 0)
			if ahead < tc.minRise || ahead > tc.maxRise {
				t.Errorf("demand in 2 s is %.3f above the current one, want %.2f to %.2f", ahead, tc.minRise, tc.maxRise)
			}
		})
	}
}

func TestUnknownPairHasDefaultCoefficient(t *testing.T) {
	var estimator Estimator
	pair := Pair{Batch: "f", Service: "s"}
	if got := estimator.Coefficient(pair); got != _defaultCoefficient {
		t.Errorf("coefficient %.2f, want the default", got)
	}
	load := []Load{{Image: "f", Share: 1}}
	if estimator.CautiousInterference("s", load) <= estimator.Interference("s", load) {
		t.Error("the cautious estimate of an unknown pair is not above the plain one")
	}
	if got := (Coefficients{}).Of(pair); got != _defaultCoefficient {
		t.Errorf("coefficient %.2f without estimates, want the default", got)
	}
}

func TestPruneRemovesExpiredEstimates(t *testing.T) {
	var estimator Estimator
	now := time.Unix(1000, 0)
	estimator.AddSample(now, "w", []TailLatency{{Step: "a", Image: "s", Percent: 100}}, []Load{{Image: "f", Share: 0.1}})
	estimator.Prune(now.Add(_demandTTL - time.Second))
	if len(estimator.demands) != 1 || len(estimator.samples) != 1 || len(estimator.coefficients) != 1 {
		t.Error("dropped before the TTL")
	}
	estimator.Prune(now.Add(_demandTTL))
	if len(estimator.demands) != 0 || len(estimator.samples) != 0 || len(estimator.coefficients) != 1 {
		t.Error("expired demands or samples are kept, or a coefficient is dropped before its TTL")
	}
	estimator.Prune(now.Add(_coefficientTTL))
	if len(estimator.coefficients) != 0 {
		t.Error("an expired coefficient is kept")
	}
}

// TestSmallLoadsShowTheirCoefficients simulates eight workers for 20 s, whose batch tasks
// of twelve images each use a tenth of a worker or less. The upper estimates must tell
// pairs with a low coefficient, whose tasks then start beside service tasks, from the
// others. It guards against a filter that trusts samples so little that batch work waits
// beside service tasks that tolerate it.
func TestSmallLoadsShowTheirCoefficients(t *testing.T) {
	const seeds, images, workers, threshold = 20, 12, 8, 1.0
	low, known, mistaken := 0, 0, 0
	for seed := range uint64(seeds) {
		s := newSimulation(seed + 100)
		for i := range images {
			for _, service := range []string{"s0", "s1"} {
				s.coefficients[Pair{Batch: fmt.Sprint("f", i), Service: service}] = []float64{0.2, 4.5}[s.rnd.IntN(2)]
			}
		}
		var estimator Estimator
		loads := make([][]Load, workers)
		for tick := range 50 { // of 400 ms
			s.now = s.now.Add(400 * time.Millisecond)
			for w := range loads {
				if tick%6 == 0 { // other loads every 2.4 s, sometimes none
					loads[w] = nil
					for range s.rnd.IntN(4) {
						loads[w] = append(loads[w], Load{Image: fmt.Sprint("f", s.rnd.IntN(images)), Share: 0.05 + 0.05*s.rnd.Float64()})
					}
				}
				name := fmt.Sprint("w", w)
				estimator.AddSample(s.now, name, s.tailLatencies(name, loads[w]), loads[w])
			}
		}
		for pair, v := range s.coefficients {
			got := estimator.cautiousCoefficient(pair)
			switch {
			case v < threshold && got < threshold:
				known++
				low++
			case v < threshold:
				low++
			case got < threshold:
				mistaken++
			}
		}
	}
	t.Logf("%d of %d low coefficients are known, %d of the others are mistaken for low", known, low, mistaken)
	if 100*known < 75*low || mistaken > 0 {
		t.Errorf("%d of %d low coefficients are known, want three quarters; %d of the others are mistaken for low, want none", known, low, mistaken)
	}
}
