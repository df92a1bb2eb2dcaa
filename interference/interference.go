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
	_idleTail     = 20                      // tail latency of a serving task without demand, in percent of its target; both users set targets of five times the idle tail
	_usualDemand  = 0.45                    // demand of a step of which nothing is known: the mean of those seen
	_demandSpread = 0.15                    // standard deviation of that guess, and of a demand that was not seen for long: demands swing by half
	_demandDrift  = 0.07                    // a second; the fastest change of a demand that swings by half in 20 s
	_usualPress   = 2.0                     // press of a pair of which nothing is known: between the light and the heavy ones seen
	_pressSpread  = 2.5                     // standard deviation of that guess
	_pressDrift   = 0.1                     // a second; a pair that changes is learnt anew within a minute
	_doubt        = 0.5                     // standard deviations by which a press is taken for higher than estimated, so that what is not known is tried with little
	_trendOver    = 1500 * time.Millisecond // time over which the trend of a demand is taken: three looks or more
	_mostPress    = 15.0                    // above which more makes no difference
	_noise        = 0.06                    // standard deviation of the pressure that one look shows
	_behind       = 150                     // percent of the target from which a tail shows a backlog rather than a pressure
	_between      = 200 * time.Millisecond  // between two samples of one worker, whose figures cover half a second
	_kept         = 10 * time.Second        // a demand that was not seen for so long is forgotten
	_pressKept    = 10 * time.Minute        // the same for a press, so that images of former days take no memory
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
	Percent int // mean tail latency of the step's tasks, in percent of the target
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
//
// It is a Kalman filter whose states are the demands of steps and the presses of
// pairs, without the covariances between them. Demands change quickly and
// presses hardly, so that a sudden rise beside a new load is put down to the
// load, and a slow one to the demand.
type Table struct {
	presses map[Pair]*estimate
	demands map[string]*demand
	seen    map[string]sample // latest sample, by worker
}

type sample struct {
	at       time.Time
	percents map[string]int // by step
}

// estimate is one state of the filter.
type estimate struct {
	at       time.Time
	value    float64
	variance float64
}

// demand is the estimate of a step's demand, with what it was a while ago.
type demand struct {
	estimate
	marks [2]mark // the older one first
}

type mark struct {
	at    time.Time
	value float64
}

// note keeps marks for the trend, the older of them at least _trendOver old.
func (d *demand) note(now time.Time) {
	if d.marks[1].at.IsZero() || now.Sub(d.marks[1].at) >= _trendOver {
		d.marks[0], d.marks[1] = d.marks[1], mark{at: now, value: d.value}
	}
}

// trend returns the change a second.
func (d *demand) trend() float64 {
	span := d.at.Sub(d.marks[0].at)
	if d.marks[0].at.IsZero() || span <= 0 {
		return 0
	}
	return min((d.value-d.marks[0].value)/span.Seconds(), _demandDrift)
}

// age lets the estimate's variance grow by its drift a second, up to its spread.
func (e *estimate) age(now time.Time, drift, spread float64) {
	if d := now.Sub(e.at).Seconds(); d > 0 {
		e.variance = min(e.variance+drift*drift*d, spread*spread)
		e.at = now
	}
}

// correct moves the estimate by its share of what was measured beyond what was
// expected. slope is the change of the measured value with the estimate's,
// total the variance of the measured value.
func (e *estimate) correct(slope, beyond, total, least, most float64) {
	gain := e.variance * slope / total
	e.value = min(max(e.value+gain*beyond, least), most)
	e.variance *= 1 - gain*slope
}

// Press returns the press of a pair.
func (t *Table) Press(pair Pair) float64 {
	if p := t.presses[pair]; p != nil {
		return p.value
	}
	return _usualPress
}

// cautious returns the press of a pair with what may be wrong with it.
func (t *Table) cautious(pair Pair) float64 {
	if p := t.presses[pair]; p != nil {
		return p.value + _doubt*math.Sqrt(p.variance)
	}
	return _usualPress + _doubt*_pressSpread
}

// CautiousRise is Rise with presses taken for as high as they may well be.
func (t *Table) CautiousRise(image string, loads []Load) float64 {
	rise := 0.0
	for _, l := range loads {
		rise += l.Share * t.cautious(Pair{Fills: l.Image, Serves: image})
	}
	return rise
}

// Demand returns how busy the tasks of a step will be by themselves after a
// while, if that is more than now.
func (t *Table) Demand(step string, ahead time.Duration) float64 {
	d := t.demands[step]
	if d == nil {
		return _usualDemand
	}
	return min(d.value+max(0, d.trend())*ahead.Seconds(), 1)
}

// Rise returns by how much the loads raise the pressure on a step's tasks, as a
// factor of their demand.
func (t *Table) Rise(image string, loads []Load) float64 {
	rise := 0.0
	for _, l := range loads {
		rise += l.Share * t.Press(Pair{Fills: l.Image, Serves: image})
	}
	return rise
}

// Seen takes in the figures of a worker.
func (t *Table) Seen(now time.Time, worker string, strains []Strain, loads []Load) {
	last := t.seen[worker]
	if now.Sub(last.at) < _between {
		return
	}
	if t.presses == nil {
		t.presses, t.demands, t.seen = make(map[Pair]*estimate), make(map[string]*demand), make(map[string]sample)
	}
	percents := make(map[string]int, len(strains))
	for _, s := range strains {
		percents[s.Step] = s.Percent
		if s.Percent < _behind {
			t.learn(now, s, loads, true)
			continue
		}
		// What has queued drains for seconds after its cause is gone.
		if before, ok := last.percents[s.Step]; ok && s.Percent > before {
			t.learn(now, s, loads, false)
		}
	}
	t.seen[worker] = sample{at: now, percents: percents}
}

// learn corrects what explains a strain. A strain that shows a backlog tells a
// least pressure only, and nothing of the demand.
func (t *Table) learn(now time.Time, s Strain, loads []Load, exact bool) {
	d := t.demands[s.Step]
	if d == nil {
		d = &demand{estimate: estimate{at: now, value: _usualDemand, variance: _demandSpread * _demandSpread}}
		t.demands[s.Step] = d
	}
	d.age(now, _demandDrift, _demandSpread)
	rise := t.Rise(s.Image, loads)
	beyond := Pressure(s.Percent) - d.value*(1+rise)
	if !exact && beyond <= 0 {
		return
	}
	slope := 1 + rise
	total := _noise * _noise
	if exact {
		total += d.variance * slope * slope
	}
	presses := make([]*estimate, len(loads))
	for i, l := range loads {
		p := t.press(now, Pair{Fills: l.Image, Serves: s.Image})
		presses[i] = p
		total += p.variance * (d.value * l.Share) * (d.value * l.Share)
	}
	own := d.value
	if exact {
		d.correct(slope, beyond, total, 0, 1)
		d.note(now)
	}
	for i, l := range loads {
		presses[i].correct(own*l.Share, beyond, total, 0, _mostPress)
	}
}

func (t *Table) press(now time.Time, pair Pair) *estimate {
	p := t.presses[pair]
	if p == nil {
		p = &estimate{at: now, value: _usualPress, variance: _pressSpread * _pressSpread}
		t.presses[pair] = p
	}
	p.age(now, _pressDrift, _pressSpread)
	return p
}

// Forget drops the demands, presses and workers that were not seen lately.
func (t *Table) Forget(now time.Time) {
	for step, d := range t.demands {
		if now.Sub(d.at) >= _kept {
			delete(t.demands, step)
		}
	}
	for pair, p := range t.presses {
		if now.Sub(p.at) >= _pressKept {
			delete(t.presses, pair)
		}
	}
	for w, s := range t.seen {
		if now.Sub(s.at) >= _kept {
			delete(t.seen, w)
		}
	}
}
