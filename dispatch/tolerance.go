package dispatch

import (
	"math/bits"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// Parameters of the tolerance of workers.
const (
	// Interference coefficient from which a service image does not tolerate a batch
	// image: one task that uses a tenth of a worker raises the utilization by a
	// tenth of the demand.
	_intolerableCoefficient = 1.5
	// Cost of a service task on a worker that then tolerates no batch image at all,
	// while it tolerated all before.
	_costLostTolerance = 8.0
)

// imageSet is a set of batch images, a bit for each.
type imageSet []uint64

func (s imageSet) add(i int) imageSet {
	for len(s) <= i/64 {
		s = append(s, 0)
	}
	s[i/64] |= 1 << (i % 64)
	return s
}

// countMissing returns the number of elements of o that s lacks.
func (s imageSet) countMissing(o imageSet) int {
	n := 0
	for i, word := range o {
		if i < len(s) {
			word &^= s[i]
		}
		n += bits.OnesCount64(word)
	}
	return n
}

func (s imageSet) union(o imageSet) imageSet {
	out := slices.Clone(s)
	for i, word := range o {
		if i < len(out) {
			out[i] |= word
		} else {
			out = append(out, word)
		}
	}
	return out
}

// tolerance knows which batch images each service image does not tolerate.
type tolerance struct {
	images      int                 // known batch images
	intolerable map[string]imageSet // by service image
}

// _toleranceInterval is the time between updates of the tolerance.
const _toleranceInterval = 500 * time.Millisecond

// updateTolerance takes over the estimated coefficients, at most once per
// _toleranceInterval.
func (s *Scheduler) updateTolerance(now time.Time) {
	if s.tolerance != nil && now.Sub(s.toleranceAt) < _toleranceInterval {
		return
	}
	s.toleranceAt = now
	t := &tolerance{intolerable: make(map[string]imageSet)}
	index := make(map[string]int)
	s.estimator.EachCoefficient(func(p interference.Pair, coefficient float64) {
		i, ok := index[p.Batch]
		if !ok {
			i = len(index)
			index[p.Batch] = i
		}
		images := t.intolerable[p.Service]
		if coefficient >= _intolerableCoefficient {
			images = images.add(i)
		}
		t.intolerable[p.Service] = images
	})
	t.images = len(index)
	s.tolerance = t
}

// toleranceCost returns the cost of the batch images that a worker no longer
// tolerates with one more service task of the step.
func (r *round) toleranceCost(step *submission.Step, n *node) float64 {
	if !step.IsService() || r.tolerance.images == 0 || n.serviceImages[step.Image] > 0 {
		return 0
	}
	added := r.tolerance.intolerable[step.Image]
	if len(added) == 0 {
		return 0
	}
	return _costLostTolerance * float64(r.tolerance.blocked(n.serviceImages, "").countMissing(added)) / float64(r.tolerance.images)
}

// blocked returns the batch images that a worker with the given numbers of service
// tasks by image does not tolerate. One task of the image without is left out.
func (t *tolerance) blocked(images map[string]int, without string) imageSet {
	var out imageSet
	for image, count := range images {
		if count > 1 || image != without && count > 0 {
			out = out.union(t.intolerable[image])
		}
	}
	return out
}

// share returns the share of the known batch images that are not blocked.
func (t *tolerance) share(blocked imageSet) float64 {
	return 1 - float64(imageSet(nil).countMissing(blocked))/float64(t.images)
}
