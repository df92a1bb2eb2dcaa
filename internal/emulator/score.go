package emulator

import (
	"math"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Parts of the score.
const (
	_serviceInterval = 2 * time.Second // over which a service is judged
	_lateCredit      = 0.15            // of a submission that is late by less than _lateFactor
	_causedFactor    = 4               // weight of a missed target that batch tasks cause
	_window          = 2 * time.Second // over which the worst times are judged
	_worstWindows    = 2
	_longMiss        = 4 * time.Second // of a missed target, from which a promise to the service is broken
	_minServed       = 0.05            // share of a service's tasks at work from which an interval counts as served
	_goodServed      = 0.9             // share from which it counts as in time
)

// outcome is what a caller got.
type outcome struct {
	request   *request
	rejected  bool
	cancelled bool
	endedAt   time.Duration
	state     submission.State
	interval  float64 // share of the tasks at work, summed up over the ticks of the current interval
	ticks     int
	credits   []credit // of a service's ended intervals
}

// credit is the judgement on one thing that is owed to a caller.
type credit struct {
	kind   kind
	at     time.Duration
	share  float64 // of the value, from 0 to 1
	value  float64
	inTime bool
	served bool
}

// KindResult sums up what the callers of one kind of submission got.
type KindResult struct {
	Owed     int
	InTime   int
	Late     int
	Failed   int
	Rejected int
	Credit   float64 // share of the value
}

// UsageSums sums up the use of the workers over time.
type UsageSums struct {
	MissedSeconds float64 // of service tasks over their target because of batch tasks
	Moves         int     // service tasks that were moved
	BatchCores    float64 // mean CPU that batch tasks used, in cores
	LongMisses    int     // service tasks over their target for _longMiss on end because of batch tasks
	IdleCores     float64 // mean CPU of the workers that nothing used, in cores
	LostCores     float64 // mean CPU of batch tasks whose submissions have lost their value, in cores
	ticks         int
}

// Result is what the callers of an emulation got.
type Result struct {
	Kinds  map[string]KindResult
	Whole  float64 // credit over all
	Worst  float64 // credit of the worst windows
	Nines  float64 // share that was not served at all, as a logarithm: 1 for one in a thousand
	Class  float64 // credit of the worst kind
	Usage  UsageSums
	Score  float64 // weighted sum
	Failed float64 // share that was not served at all
}

// Weights of the parts of Result.Score.
const (
	_wholeWeight = 0.4
	_worstWeight = 0.15
	_classWeight = 0.1
	_ninesWeight = 0.35
)

// score judges the services at the present tick.
func (e *emulation) score() {
	if e.now < e.scenario.Lead {
		return
	}
	type tally struct{ atWork, missed, caused int }
	tallies := make(map[string]*tally)
	e.sumUse()
	for _, w := range e.workers {
		for _, r := range w.runs {
			if !r.step.LongRunning {
				continue
			}
			t := tallies[r.id.Task.Submission]
			if t == nil {
				t = &tally{}
				tallies[r.id.Task.Submission] = t
			}
			if e.now < r.began {
				continue
			}
			t.atWork++
			e.updateMiss(r)
			switch {
			case r.percent > 100 && r.caused:
				t.caused++
				e.usage.MissedSeconds += _tick.Seconds()
			case r.percent > 100:
				t.missed++
			}
		}
	}
	if e.now >= e.scenario.Lead+e.scenario.Length {
		return
	}
	for _, o := range e.order {
		if o.request.kind != service || o.cancelled {
			continue
		}
		if t := tallies[o.request.spec.ID]; t != nil {
			n := float64(o.request.spec.Steps[0].Count)
			o.interval += max(float64(t.atWork)-float64(t.missed)-_causedFactor*float64(t.caused), 0) / n
		}
		if o.ticks++; time.Duration(o.ticks)*_tick >= _serviceInterval {
			share := o.interval / float64(o.ticks)
			o.credits = append(o.credits, credit{
				kind: service, at: e.now - _serviceInterval, share: share, value: o.request.value, inTime: share >= _goodServed, served: share >= _minServed,
			})
			o.interval, o.ticks = 0, 0
		}
	}
}

// sumUse adds the present use of the workers to the sums.
func (e *emulation) sumUse() {
	for _, w := range e.workers {
		if e.now >= w.lostUntil {
			e.usage.IdleCores += float64(w.capacity.CPU) / 1000
		}
		for _, r := range w.runs {
			e.usage.IdleCores -= r.used / 1000
			if r.step.UnreservedCPU && !r.step.LongRunning {
				e.usage.BatchCores += r.used / 1000
			}
			if !r.step.LongRunning && e.now > r.request.at+_lateFactor*r.request.objective {
				e.usage.LostCores += r.used / 1000
			}
		}
	}
	e.usage.ticks++
}

// updateMiss updates for how long a service task has missed its target on end because of
// batch tasks.
func (e *emulation) updateMiss(r *run) {
	if r.percent <= 100 || !r.caused {
		r.missed = 0
		return
	}
	if r.missed += _tick; r.missed == _longMiss {
		e.usage.LongMisses++
	}
}

// credits returns all judgements.
func (e *emulation) credits() (out []credit, rejected map[kind]int) {
	rejected = make(map[kind]int)
	for _, o := range e.order {
		out = append(out, o.credits...)
	}
	for _, o := range e.outcomes {
		r := o.request
		if r.kind == service || r.cancelAt > 0 {
			continue
		}
		c := credit{kind: r.kind, at: r.at, value: r.value}
		took := o.endedAt - r.at
		switch {
		case o.rejected:
			rejected[r.kind]++
		case o.endedAt == 0 || o.state == submission.OutOfAttempts && !r.poisoned:
		case took <= r.objective:
			c.share, c.inTime, c.served = 1, true, true
		case took <= _lateFactor*r.objective:
			c.share, c.served = _lateCredit, true
		}
		out = append(out, c)
	}
	return out, rejected
}

func (e *emulation) result() Result {
	credits, rejected := e.credits()
	res := Result{Kinds: make(map[string]KindResult), Class: 1, Usage: e.usage}
	if e.usage.ticks > 0 {
		res.Usage.BatchCores /= float64(e.usage.ticks)
		res.Usage.IdleCores /= float64(e.usage.ticks)
		res.Usage.LostCores /= float64(e.usage.ticks)
	}
	var earned, owed float64
	var unserved int
	windows := make(map[int][2]float64)
	sums := make(map[kind][2]float64)
	for _, c := range credits {
		k := res.Kinds[c.kind.String()]
		k.Owed++
		switch {
		case c.inTime:
			k.InTime++
		case c.served:
			k.Late++
		default:
			k.Failed++
			unserved++
		}
		res.Kinds[c.kind.String()] = k
		earned, owed = earned+c.share*c.value, owed+c.value
		n := int((c.at - e.scenario.Lead) / _window)
		w := windows[n]
		windows[n] = [2]float64{w[0] + c.share*c.value, w[1] + c.value}
		s := sums[c.kind]
		sums[c.kind] = [2]float64{s[0] + c.share*c.value, s[1] + c.value}
	}
	for k, s := range sums {
		r := res.Kinds[k.String()]
		r.Rejected = rejected[k]
		r.Failed -= rejected[k]
		r.Credit = s[0] / max(s[1], math.SmallestNonzeroFloat64)
		res.Kinds[k.String()] = r
		res.Class = min(res.Class, r.Credit)
	}
	if owed > 0 {
		res.Whole = earned / owed
		res.Failed = float64(unserved) / float64(len(credits))
		res.Nines = min(-math.Log10(max(res.Failed, 1e-3))/3, 1)
	}
	res.Worst = worstWindows(windows)
	res.Score = _wholeWeight*res.Whole + _worstWeight*res.Worst + _classWeight*res.Class + _ninesWeight*res.Nines
	return res
}

// worstWindows returns the mean credit of the worst windows.
func worstWindows(windows map[int][2]float64) float64 {
	var shares []float64
	for _, w := range windows {
		if w[1] > 0 {
			shares = append(shares, w[0]/w[1])
		}
	}
	slices.Sort(shares)
	n := min(_worstWindows, len(shares))
	if n == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range shares[:n] {
		sum += v
	}
	return sum / float64(n)
}
