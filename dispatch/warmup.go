package dispatch

import (
	"math"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// WarmUp bounds the tasks on workers that are slow after their start or an evacuation. It
// addresses the load of a zone that returns: its empty workers would otherwise attract most
// starts while they are slowest. The zero value bounds nothing.
type WarmUp struct {
	Overage   float64 // multiple of the share of its capacity that a linear ramp gives a worker
	Tolerance int     // tasks beyond that
}

// SetWarmUp sets the bounds of cold workers.
func (s *Scheduler) SetWarmUp(w WarmUp) { s.warmUp = w }

// isCold reports whether a worker is slow. No worker is if cold ones are not bounded.
func (s *Scheduler) isCold(now time.Time, n *node) bool {
	return s.warmUp.Overage > 0 && now.Before(n.WarmAt)
}

// isFullWhileCold reports whether a worker is cold and has as many tasks as it may have so
// far, in terms of the CPU that one more task of the step requests.
func (r *round) isFullWhileCold(n *node, step *submission.Step) bool {
	if !r.isCold(r.at.Now, n) {
		return false
	}
	share := 0.0
	if left := n.WarmAt.Sub(r.at.Now); left < n.WarmUp {
		share = 1 - float64(left)/float64(n.WarmUp)
	}
	allowed := int64(math.Round(r.warmUp.Overage*share*float64(n.Capacity.CPU))) + int64(r.warmUp.Tolerance)*step.Needs.CPU
	return n.requestedCPU+step.Needs.CPU > allowed
}
