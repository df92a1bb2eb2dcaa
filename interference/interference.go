// Package interference learns how much the tasks that fill a worker disturb the
// tasks that serve users beside them.
//
// The tail latency of a serving task follows how busy it is: its demand, which
// all tasks of its step share and which swings within seconds, times a factor
// that grows with the CPU that others use beside it. How fast it grows differs
// by the pair of images, from hardly at all to several times the demand. A
// Table estimates demands and factors from what listings of workers show. It
// performs no I/O and reads no clock.
package interference

import (
	"math"
	"time"
)

// Constants of the model. The figures were read off listings of workers with
// and without tasks that fill beside those that serve.
const (
	_idleTail       = 20                     // tail latency of a serving task without demand, in percent of its target; both users set targets of five times the idle tail
	_usualDemand    = 0.45                   // demand of a step of which nothing is known: the mean of those seen
	_pressHalfLife  = 20 * time.Second       // after which a sample of a pair counts half, so that a pair that changes is learnt anew
	_demandHalfLife = 800 * time.Millisecond // the same for a demand, which swings with a period of 20 s
	_demandKept     = 5 * time.Second        // a demand that was not seen for so long is forgotten
	_clean          = 0.15                   // rise of the pressure up to which a sample tells the demand
	_usualPress     = 2.5                    // press of a pair of which nothing is known: between the light and the heavy ones seen
	_usualWeight    = 0.05                   // weight of that guess; two samples of a sixth of a worker's CPU
	_mostRise       = 4.0                    // rise of the pressure above which a sample says no more
	_between        = 200 * time.Millisecond // between two samples of one worker, whose figures cover half a second
)

// Pair is an image of tasks that fill and one of tasks that serve.
type Pair struct {
	Fills  string
	Serves string
}

// Strain is how the tasks of one step that serve fare on a worker.
type Strain struct {
	Step    string // name of the step
	Image   string
	Percent int // worst tail latency, in percent of the target
}

// Load is what the tasks of one image that fill take of a worker.
type Load struct {
	Image string
	Share float64 // CPU in use, as a share of the worker's
}

// Pressure returns how busy serving tasks are that show a tail latency, in
// percent of their target: 0 if they are idle, and near 1 if they fall behind.
func Pressure(percent int) float64 {
	if percent <= _idleTail {
		return 0
	}
	return 1 - float64(_idleTail)/float64(percent)
}

// Presses holds by how much the pressure on serving tasks rises, as a factor of
// their demand, if tasks that fill use all of a worker.
type Presses map[Pair]float64

// Of returns the press of a pair; the usual one if nothing is known of it.
func (p Presses) Of(pair Pair) float64 {
	if v, ok := p[pair]; ok {
		return v
	}
	return _usualPress
}

// Table holds what has been learnt. The zero value is ready.
type Table struct {
	presses map[Pair]*press
	demands map[string]*demand
	seen    map[string]time.Time // latest sample, by worker
}

// press is a decayed least-squares estimate.
type press struct {
	at     time.Time
	sum    float64 // of load times rise
	weight float64 // of load squared
}

func (p *press) decay(now time.Time) {
	if x := decayed(now.Sub(p.at), _pressHalfLife); x < 1 {
		p.sum, p.weight, p.at = p.sum*x, p.weight*x, now
	}
}

func (p *press) value() float64 {
	return max(0, (p.sum+_usualPress*_usualWeight)/(p.weight+_usualWeight))
}

type demand struct {
	at    time.Time
	value float64
}

func decayed(d, halfLife time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp2(-float64(d) / float64(halfLife))
}

// Press returns the press of a pair.
func (t *Table) Press(now time.Time, pair Pair) float64 {
	p := t.presses[pair]
	if p == nil {
		return _usualPress
	}
	p.decay(now)
	return p.value()
}

// Demand returns how busy the tasks of a step are by themselves.
func (t *Table) Demand(now time.Time, step string) float64 {
	if d := t.demands[step]; d != nil && now.Sub(d.at) < _demandKept {
		return d.value
	}
	return _usualDemand
}

// Rise returns by how much the loads raise the pressure on a step's tasks, as a
// factor of their demand.
func (t *Table) Rise(now time.Time, image string, loads []Load) float64 {
	rise := 0.0
	for _, l := range loads {
		rise += l.Share * t.Press(now, Pair{Fills: l.Image, Serves: image})
	}
	return rise
}

// Seen takes in the figures of a worker.
func (t *Table) Seen(now time.Time, worker string, strains []Strain, loads []Load) {
	if at, ok := t.seen[worker]; ok && now.Sub(at) < _between {
		return
	}
	if t.presses == nil {
		t.presses, t.demands, t.seen = make(map[Pair]*press), make(map[string]*demand), make(map[string]time.Time)
	}
	t.seen[worker] = now
	for _, s := range strains {
		pressure := Pressure(s.Percent)
		rise := t.Rise(now, s.Image, loads)
		if rise <= _clean {
			t.seenDemand(now, s.Step, pressure/(1+rise))
			if len(loads) == 0 {
				continue
			}
		}
		own := t.Demand(now, s.Step)
		t.learn(now, s.Image, loads, min(pressure/max(own, 0.1)-1, _mostRise)-rise)
	}
}

func (t *Table) seenDemand(now time.Time, step string, value float64) {
	d := t.demands[step]
	if d == nil || now.Sub(d.at) >= _demandKept {
		t.demands[step] = &demand{at: now, value: value}
		return
	}
	x := decayed(now.Sub(d.at), _demandHalfLife)
	d.value, d.at = d.value*x+value*(1-x), now
}

// learn corrects the presses of the loads' images by what the rise of the
// pressure differs from the one they explain.
func (t *Table) learn(now time.Time, image string, loads []Load, missing float64) {
	for _, l := range loads {
		pair := Pair{Fills: l.Image, Serves: image}
		p := t.presses[pair]
		if p == nil {
			p = &press{at: now}
			t.presses[pair] = p
		}
		p.decay(now)
		own := l.Share * p.value() // what the pair explains of the rise by itself
		p.sum += l.Share * (own + missing)
		p.weight += l.Share * l.Share
	}
}

// Forget drops the demands of steps and the workers that were not seen lately.
func (t *Table) Forget(now time.Time) {
	for step, d := range t.demands {
		if now.Sub(d.at) >= _demandKept {
			delete(t.demands, step)
		}
	}
	for w, at := range t.seen {
		if now.Sub(at) >= _demandKept {
			delete(t.seen, w)
		}
	}
}
