// Package locality decides how long a task waits for a worker on the rack where it runs
// fastest while workers of other racks have capacity for it.
//
// The load that this addresses: a rack is full for a time that is short compared with the
// run time of the tasks that prefer it, while the rest of the pool has capacity. A task
// runs a constant factor longer away from its data, or if its gang is split over racks. If
// the rack will have capacity soon, waiting is cheaper. Estimates of run times may be wrong
// by any factor, so each wait has a bound that does not depend on how the runs on the rack
// turn out.
//
// The package performs no I/O and reads no clock.
package locality

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// MaxWait is the longest time for which a task waits for its preferred rack. The platform
// allows that a submission has nothing running beside free capacity for 3 s, which includes
// the time to order and to start a run.
const MaxWait = 2 * time.Second

// _maxDeviation is the standard deviation of the logarithm of a run time from which its
// estimate is unusable: at 1 one run in three is off by more than a factor of e, so that
// the expected wait is mostly that of the outliers.
const _maxDeviation = 1.0

// Never is a time that does not pass: the expected wait for a rack whose capacity is not
// expected to become free.
const Never = time.Duration(math.MaxInt64)

// Reason says why a task waits or does not wait.
type Reason uint8

const (
	// Worthwhile waits are expected to be shorter than the cost of starting elsewhere.
	Worthwhile Reason = iota + 1
	// NoPenalty tasks run as fast elsewhere.
	NoPenalty
	// LongRunning tasks must not be down while there is capacity for them.
	LongRunning
	// NoEstimate tasks have no usable estimate of their run time.
	NoEstimate
	// Exhausted tasks have waited as long as they may.
	Exhausted
	// NoCapacity racks are not expected to have capacity again.
	NoCapacity
	// TooLong waits would cost more than starting elsewhere.
	TooLong
	// Overdue submissions have had no active run for as long as they may beside free
	// capacity, or would during the wait.
	Overdue
	// MissesObjective steps would miss their objective by waiting but not by starting
	// elsewhere.
	MissesObjective
)

// String returns the reason's name in lower case.
func (r Reason) String() string {
	return [...]string{
		"none", "worthwhile", "no_penalty", "long_running", "no_estimate", "exhausted", "no_capacity", "too_long", "overdue", "misses_objective",
	}[r]
}

// Input is what the decision about one task, or one gang, is based on.
type Input struct {
	LongRunning   bool
	Penalty       float64       // factor by which the task runs longer elsewhere
	RunTime       time.Duration // estimated, on the preferred rack; 0 if unknown
	Deviation     float64       // standard deviation of the logarithm of the run time from that of the estimate
	RestartLikely bool          // the run elsewhere is likely to fail and to start again
	Expected      time.Duration // estimated time until the rack has capacity, after what waits for it ahead; Never if it is unknown
	Waited        time.Duration // sum of the task's waits so far, with the present one
	WaitLimit     time.Duration // Decision.WaitLimit of the task's latest decision to wait; 0 before the first
	// TimeLeft is the time until the task must be done for the submission to meet its
	// objective; negative if that is impossible.
	TimeLeft time.Duration
	// StartWithin is the time from now within which a task of the submission must start,
	// whatever the cost; Never if there is no such limit.
	StartWithin time.Duration
}

// Decision is how long a task waits.
type Decision struct {
	Wait      time.Duration // at most, from now on; 0 if the task starts elsewhere
	WaitLimit time.Duration // longest sum of all waits of the task
	Reason    Reason
}

// Decide decides whether a task waits for its preferred rack and for how long at most.
func Decide(in Input) Decision {
	switch {
	case in.LongRunning:
		return Decision{Reason: LongRunning}
	case in.Penalty <= 1:
		return Decision{Reason: NoPenalty}
	case in.RunTime <= 0 || !(in.Deviation <= _maxDeviation): // also if it is not a number
		return Decision{Reason: NoEstimate}
	}
	extra := scale(in.RunTime, in.Penalty-1)
	if in.RestartLikely {
		extra = min(extra, Never-in.RunTime) + in.RunTime
	}
	d := Decision{WaitLimit: min(extra, MaxWait)}
	if in.WaitLimit > 0 {
		d.WaitLimit = min(d.WaitLimit, in.WaitLimit)
	}
	left := d.WaitLimit - in.Waited
	slack := in.TimeLeft - min(scale(in.RunTime, in.Penalty), MaxRunTime)
	switch {
	case left <= 0:
		d.Reason = Exhausted
	case in.Expected == Never:
		d.Reason = NoCapacity
	case in.Expected >= min(extra, left):
		d.Reason = TooLong
	case in.Expected >= in.StartWithin:
		d.Reason = Overdue
	case in.TimeLeft >= 0 && slack >= 0 && in.Expected >= slack:
		d.Reason = MissesObjective
	default:
		d.Reason, d.Wait = Worthwhile, min(left, in.StartWithin)
		if in.TimeLeft >= 0 && slack >= 0 {
			d.Wait = min(d.Wait, slack)
		}
	}
	return d
}

// MaxRunTime bounds run times, so that sums of them do not overflow.
const MaxRunTime = 365 * 24 * time.Hour

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, float64(MaxRunTime)))
}

// Samples is the number of samples of the course of the runs on a rack. The first of many
// runs with uncertain ends is expected to end much earlier than each of them.
const Samples = 5

// Times are the time until an event in each sample.
type Times [Samples]time.Duration

// Constant returns an event whose time is known.
func Constant(d time.Duration) (t Times) {
	for i := range t {
		t[i] = d
	}
	return t
}

// Remaining returns the time until a run ends that has run for elapsed, and false if it is
// not known because there is no usable estimate. The logarithm of the run time is normally
// distributed around that of the estimate. A run that has exceeded its estimate is expected
// to last at least as long again as it has exceeded it: the estimate was wrong, and so may
// the deviation be. Runs with successive indexes get different samples of their
// distributions, so that the samples of several runs are independent.
func Remaining(estimate time.Duration, deviation float64, elapsed time.Duration, index int) (t Times, ok bool) {
	if estimate <= 0 || !(deviation <= _maxDeviation) {
		return t, false
	}
	deviation = max(deviation, 0.01)
	elapsed = max(elapsed, 0)
	overrun := max(elapsed-estimate, 0)
	survival := 1.0
	if elapsed > 0 {
		survival = math.Erfc(math.Log(elapsed.Seconds()/estimate.Seconds())/deviation/math.Sqrt2) / 2
	}
	for i := range t {
		// Each run takes the samples of the distribution in another order.
		above := 1 - (float64((i*(1+index%(Samples-1))+index/(Samples-1))%Samples)+0.5)/Samples
		if q := above * survival; q > 1e-12 { // otherwise the quantile below loses its precision
			runTime := scale(estimate, math.Exp(deviation*math.Sqrt2*math.Erfcinv(2*q)))
			t[i] = max(runTime-elapsed, 0)
		}
		t[i] = min(max(t[i], scale(overrun, -math.Log(above))), MaxRunTime)
	}
	return t, true
}

// Mean returns the expected run time of a task with the given estimate, which is the median.
func Mean(estimate time.Duration, deviation float64) time.Duration {
	return scale(estimate, math.Exp(min(deviation, _maxDeviation)*min(deviation, _maxDeviation)/2))
}

// Worker is a worker of the preferred rack.
type Worker struct {
	Free     submission.Resources // less what waits for the rack ahead; may be negative
	Ends     []End                // of the runs that are expected to end
	MaxTasks int                  // tasks of the step that it may still get; negative for no limit
}

// End is the end of a run.
type End struct {
	In    Times // from now
	Frees submission.Resources
}

// Slot is the expected time at which the rack has room for one more task.
type Slot struct {
	In     time.Duration
	Worker int // index of the worker that probably has it
}

// Slots returns when the workers are expected to have room for the next tasks with the
// given needs, the earliest first, for at most count tasks. It orders the ends of the
// workers' runs.
func Slots(workers []Worker, needs submission.Resources, count int) []Slot {
	var out []Slot
	for sample := Samples - 1; sample >= 0; sample-- {
		slots := sampleSlots(workers, needs, count, sample)
		if out == nil {
			out = make([]Slot, len(slots))
		}
		for i, s := range slots { // each sample has the same number of slots
			out[i].In += s.In / Samples
			out[i].Worker = s.Worker
		}
	}
	return out
}

func sampleSlots(workers []Worker, needs submission.Resources, count, sample int) []Slot {
	var out []Slot
	for i := range workers {
		w := &workers[i]
		limit := count
		if w.MaxTasks >= 0 {
			limit = min(limit, w.MaxTasks)
		}
		free, fitting := w.Free, 0
		add := func(in time.Duration) {
			for n := fits(needs, free, limit); fitting < n; fitting++ {
				out = append(out, Slot{In: in, Worker: i})
			}
		}
		add(0)
		if fitting < limit && len(w.Ends) > 0 {
			slices.SortFunc(w.Ends, func(a, b End) int { return cmp.Compare(a.In[sample], b.In[sample]) })
		}
		for _, e := range w.Ends {
			if fitting >= limit {
				break
			}
			free = free.Add(e.Frees)
			add(e.In[sample])
		}
	}
	slices.SortStableFunc(out, func(a, b Slot) int { return cmp.Compare(a.In, b.In) })
	return out[:min(len(out), count)]
}

// fits returns how many tasks with the given needs the free resources hold, up to limit.
func fits(needs, free submission.Resources, limit int) int {
	n := int64(limit)
	for _, v := range [...][2]int64{{needs.CPU, free.CPU}, {needs.Memory, free.Memory}, {needs.GPU, free.GPU}} {
		switch {
		case v[1] < v[0]:
			return 0
		case v[0] > 0:
			n = min(n, v[1]/v[0])
		}
	}
	return int(n)
}
