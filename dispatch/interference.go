package dispatch

import (
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// Bounds of the pressure on tasks that serve. At 0.8 both users' tasks reach
// their target.
const (
	_calmPressure = 0.7  // up to which a worker takes one more task that fills; the demand swings on while the task lasts
	_slightRise   = 0.02 // of the pressure by a task that is let in whatever the pressure
	_fullPressure = 0.77 // up to which it takes one that hardly raises it
	_missed       = 100  // percent of the target from which it takes none
	_riseCost     = 4.0  // cost of a task that fills, by the rise of the pressure that it brings; a rise of 0.15, what one task of an image that disturbs brings, costs as much as a worker that serves nobody
)

// _lookAhead is how far ahead demands are looked at: half of what most batch
// tasks of both users take. A trend says little about more.
const _lookAhead = time.Second

// _servingUse is the share of the CPU that they ask for which tasks that serve
// use: the mean of those seen, whose demands swing apart from each other.
const _servingUse = 0.5

func usedBy(served int64) int64 { return int64(_servingUse * float64(served)) }

// loadOf returns what tasks of a step that fill take of the worker.
func (n *node) loadOf(step *submission.Step, count int) interference.Load {
	l := interference.Load{Image: step.Image}
	if n.Capacity.CPU > 0 {
		l.Share = float64(int64(count)*step.Needs.CPU) / float64(n.Capacity.CPU)
	}
	return l
}

// rise returns by how much one more task of a step that fills raises the
// pressure on the worker's tasks that serve at most, and whether all of them
// are known to bear it for the next while.
func (r *round) rise(step *submission.Step, n *node) (most float64, borne bool) {
	load := []interference.Load{n.loadOf(step, 1)}
	borne = len(n.Strains) > 0 // nothing is known of tasks that have just begun
	for _, s := range n.Strains {
		demand := r.known.Demand(s.Step, _lookAhead)
		rise := demand * r.known.CautiousRise(s.Image, load)
		after := demand*(1+r.known.CautiousRise(s.Image, n.Loads)+r.known.CautiousRise(s.Image, n.Fresh)) + rise
		most = max(most, rise)
		borne = borne && s.Percent <= _missed && (after <= _calmPressure || rise <= _slightRise && after <= _fullPressure)
	}
	return most, borne
}

// bears reports whether the worker's tasks that serve bear one more task of a
// step that fills.
func (r *round) bears(step *submission.Step, n *node) bool {
	_, borne := r.rise(step, n)
	return borne
}

// disturbance returns the cost of the rise of the pressure that a task brings.
func (r *round) disturbance(step *submission.Step, n *node) float64 {
	if !step.Fills() || n.serving == 0 {
		return 0
	}
	rise, _ := r.rise(step, n)
	return _riseCost * rise
}
