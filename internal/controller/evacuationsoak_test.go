package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/control"
)

// _evacuationTimeout is the time from the acknowledgement of an order until no agent starts a
// task in the zone.
const _evacuationTimeout = 5 * time.Second

// evacuationPlay evacuates the zones of a soak now and then, and checks the calls that start
// runs.
type evacuationPlay struct {
	*soak
	mu      sync.Mutex
	calls   map[string][]time.Time // by zone
	windows map[string][][2]time.Time
	orders  int
}

func (p *evacuationPlay) record(machine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	zone := modelZone(machine)
	p.calls[zone] = append(p.calls[zone], time.Now())
}

// play evacuates each zone now and then, so that at times both are evacuated.
func (p *evacuationPlay) play(rnd *rand.Rand, sleep func(time.Duration) bool) {
	var zones sync.WaitGroup
	for _, zone := range []string{"z0", "z1"} {
		zoneRnd := rand.New(rand.NewPCG(rnd.Uint64(), 0))
		zones.Go(func() { p.playZone(zone, zoneRnd, sleep) })
	}
	zones.Wait()
}

func (p *evacuationPlay) playZone(zone string, rnd *rand.Rand, sleep func(time.Duration) bool) {
	addresses := make([]string, 0, len(p.members))
	for _, m := range p.members {
		addresses = append(addresses, m.Address)
	}
	client := control.NewClient(addresses)
	defer client.Close()
	// The order is repeated until it is acknowledged, at times before the former copy has ended.
	accept := func(order func(context.Context, string) error) bool {
		for sleep(time.Millisecond) {
			ctx, cancel := context.WithTimeout(context.Background(), between(rnd, 100*time.Millisecond, 2*time.Second))
			err := order(ctx, zone)
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	}
	for sleep(between(rnd, time.Second, 4*time.Second)) {
		p.note("evacuation of %s starts", zone)
		if !accept(client.StartEvacuation) {
			return
		}
		from := time.Now().Add(_evacuationTimeout)
		sleep(between(rnd, 100*time.Millisecond, 10*time.Second))
		to := time.Now()
		p.note("evacuation of %s ends", zone)
		p.mu.Lock()
		p.orders++
		if to.After(from) {
			p.windows[zone] = append(p.windows[zone], [2]time.Time{from, to})
		}
		p.mu.Unlock()
		if !accept(client.FinishEvacuation) {
			return
		}
	}
}

// TestNothingStartsInEvacuatedZoneBesideFaults guards against an agent that starts a task 5 s
// or more after its zone was evacuated, whatever happens to workers, agents and leaders, and
// against two runs of a task because of the starts that are cancelled.
func TestNothingStartsInEvacuatedZoneBesideFaults(t *testing.T) {
	t.Parallel()
	var groups sync.WaitGroup
	for seed := *_firstSeed; seed < *_firstSeed+max(1, *_seeds/4); seed++ { // other parallel tests of the package measure times
		dir := t.TempDir()
		groups.Go(func() {
			s := newSoak(seed, dir)
			p := &evacuationPlay{soak: s, calls: make(map[string][]time.Time), windows: make(map[string][][2]time.Time)}
			s.onStartCall, s.playMore = p.record, p.play
			s.play(*_soakTime)
			windows, calls := 0, 0
			for zone, list := range p.windows {
				windows += len(list)
				for _, w := range list {
					for _, at := range p.calls[zone] {
						if at.After(w[0]) && at.Before(w[1]) {
							t.Errorf("seed %d: a start call in %s %s after its evacuation, which ended %s later", seed, zone,
								at.Sub(w[0])+_evacuationTimeout, w[1].Sub(at))
						}
					}
				}
			}
			for _, list := range p.calls {
				calls += len(list)
			}
			t.Logf("seed %d: %d evacuations, %d of them checked, %d start calls, %d starts", seed, p.orders, windows, calls, s.startCount())
			if calls == 0 {
				t.Errorf("seed %d: no task was started", seed)
			}
			for _, v := range s.violations[:min(len(s.violations), 3)] {
				t.Errorf("seed %d: %s: %s", seed, v.cause, v.text)
			}
		})
	}
	groups.Wait()
}
