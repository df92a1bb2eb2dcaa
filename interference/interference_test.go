package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// site plays workers whose serving tasks follow the model: demands that swing
// by half in 20 s, the same for a step on all workers, and pairs of images that
// disturb hard or hardly.
type site struct {
	rnd     *rand.Rand
	now     time.Time
	presses map[Pair]float64
	backlog map[string]float64 // of a step on a worker, in percent of the target
}

var testImages = []string{"f0", "f1", "f2", "f3"}

func newSite(seed uint64) *site {
	s := &site{rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), presses: make(map[Pair]float64), backlog: make(map[string]float64)}
	for _, f := range testImages {
		for _, serves := range []string{"s0", "s1"} {
			v := 4.5
			if s.rnd.IntN(2) == 0 {
				v = 0.2
			}
			s.presses[Pair{Fills: f, Serves: serves}] = v
		}
	}
	return s
}

func (s *site) demand(step int) float64 {
	at := float64(s.now.Sub(time.Unix(1000, 0))) / float64(20*time.Second)
	return 0.45 * (1 + 0.5*math.Sin(2*math.Pi*(at+float64(step)/3)))
}

// look returns the figures of a worker with the steps 0 and 1 and the given loads.
func (s *site) look(worker string, loads []Load) []Strain {
	var out []Strain
	for step := range 2 {
		image := fmt.Sprint("s", step)
		rise := 0.0
		for _, l := range loads {
			rise += l.Share * s.presses[Pair{Fills: l.Image, Serves: image}]
		}
		pressure := s.demand(step) * (1 + rise) * (1 + 0.05*s.rnd.NormFloat64())
		key := worker + image
		s.backlog[key] = max(0, 0.5*s.backlog[key])
		if pressure > 0.97 {
			s.backlog[key] += 300
			pressure = 0.97
		}
		percent := int(_idleTail/(1-pressure) + s.backlog[key])
		out = append(out, Strain{Step: fmt.Sprint("step", step), Image: image, Percent: percent})
	}
	return out
}

// TestPairsAreTold plays four workers for a minute, on each of which another
// image fills for a few seconds at a time: pairs that disturb are told from
// those that hardly do, and demands are followed.
func TestPairsAreTold(t *testing.T) {
	wrong, off, looks := 0, 0.0, 0
	const seeds = 20
	for seed := range uint64(seeds) {
		s := newSite(seed)
		var table Table
		loads := make([][]Load, 4)
		for tick := range 150 { // of 400 ms
			s.now = s.now.Add(400 * time.Millisecond)
			for w := range loads {
				if tick%6 == 0 { // another load every 2.4 s; none at times
					loads[w] = nil
					for range s.rnd.IntN(3) {
						loads[w] = append(loads[w], Load{Image: testImages[s.rnd.IntN(len(testImages))], Share: 0.05 + 0.2*s.rnd.Float64()})
					}
				}
				name := fmt.Sprint("w", w)
				table.Seen(s.now, name, s.look(name, loads[w]), loads[w])
			}
			if tick > 50 {
				for step := range 2 {
					off += math.Abs(table.Demand(fmt.Sprint("step", step), 0) - s.demand(step))
					looks++
				}
			}
		}
		for pair, v := range s.presses {
			if got := table.Press(pair); (got > 1.5) != (v > 1.5) {
				t.Logf("seed %d: %v: press %.1f, want %.1f", seed, pair, got, v)
				wrong++
			}
		}
	}
	if most := seeds * 8 / 20; wrong > most {
		t.Errorf("%d of %d pairs were told wrongly, want at most one in 20", wrong, seeds*8)
	}
	if mean := off / float64(looks); mean > 0.08 {
		t.Errorf("demands were off by %.3f in the mean; they swing by 0.22", mean)
	}
}

// TestDrainingBacklogBlamesNobody stops a load that has made serving tasks fall
// behind and starts one that disturbs nobody: while the backlog drains, the
// second is not blamed.
func TestDrainingBacklogBlamesNobody(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	seen := func(percent int, loads ...Load) {
		now = now.Add(400 * time.Millisecond)
		table.Seen(now, "w", []Strain{{Step: "a", Image: "s", Percent: percent}}, loads)
	}
	for range 20 {
		seen(36)
	}
	light := Load{Image: "light", Share: 0.3}
	for range 8 {
		seen(36, light)
	}
	before := table.Press(Pair{Fills: "light", Serves: "s"})
	for _, percent := range []int{4000, 9000} {
		seen(percent, Load{Image: "heavy", Share: 0.3})
	}
	if d := table.Demand("a", 0); d > 0.5 {
		t.Errorf("the demand is taken for %.2f through a backlog, want 0.44", d)
	}
	for _, percent := range []int{8000, 4000, 2000, 900, 400, 160} {
		seen(percent, light)
	}
	if after := table.Press(Pair{Fills: "light", Serves: "s"}); after > before+0.2 {
		t.Errorf("the press went from %.2f to %.2f while the backlog drained", before, after)
	}
	if heavy := table.Press(Pair{Fills: "heavy", Serves: "s"}); heavy < 2.5 {
		t.Errorf("the load that caused the backlog has press %.2f", heavy)
	}
}

// TestDemandLooksAhead follows a demand that rises: what it will be is more than
// what it is, and a falling one is taken as it is.
func TestDemandLooksAhead(t *testing.T) {
	for _, tc := range []struct {
		name  string
		slope float64 // a second
		least float64
		most  float64
	}{
		{"rising", 0.05, 0.05, 0.15},
		{"falling", -0.05, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var table Table
			now, demand := time.Unix(1000, 0), 0.45
			for range 15 {
				now = now.Add(400 * time.Millisecond)
				demand += tc.slope * 0.4
				table.Seen(now, "w", []Strain{{Step: "a", Image: "s", Percent: int(_idleTail / (1 - demand))}}, nil)
			}
			ahead := table.Demand("a", 2*time.Second) - table.Demand("a", 0)
			if ahead < tc.least || ahead > tc.most {
				t.Errorf("2 s ahead %.3f more than now, want %.2f to %.2f", ahead, tc.least, tc.most)
			}
		})
	}
}

func TestUnknownPairs(t *testing.T) {
	var table Table
	pair := Pair{Fills: "f", Serves: "s"}
	if got := table.Press(pair); got != _usualPress {
		t.Errorf("press %.2f, want the usual one", got)
	}
	load := []Load{{Image: "f", Share: 1}}
	if table.CautiousRise("s", load) <= table.Rise("s", load) {
		t.Error("a press that is not known is not doubted")
	}
	if got := (Presses{}).Of(pair); got != _usualPress {
		t.Errorf("an agent that was told nothing takes %.2f", got)
	}
}

func TestForget(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	table.Seen(now, "w", []Strain{{Step: "a", Image: "s", Percent: 100}}, []Load{{Image: "f", Share: 0.1}})
	table.Forget(now.Add(_kept - time.Second))
	if len(table.demands) != 1 || len(table.seen) != 1 || len(table.presses) != 1 {
		t.Error("what was seen lately is forgotten")
	}
	table.Forget(now.Add(_kept))
	if len(table.demands) != 0 || len(table.seen) != 0 || len(table.presses) != 1 {
		t.Error("demands that were not seen for long are kept, or presses are not")
	}
	table.Forget(now.Add(_pressKept))
	if len(table.presses) != 0 {
		t.Error("a press that was not seen for long is kept")
	}
}
