package dispatch

import (
	"math"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Bounds of what is learnt of images.
const (
	_interferenceHalfLife = 10 * time.Second       // after which a figure counts half; interference changes within seconds
	_interferenceLeast    = 1.0                    // decayed figures needed to judge an image
	_light                = 70                     // percent of the target up to which an image counts as light
	_calm                 = 75                     // percent of the target up to which a worker takes one more task that fills
	_unknownCalm          = 62                     // the same for an image of which nothing is known
	_settled              = 900 * time.Millisecond // until a run shows in the figures
	NoStrain              = -1                     // of a worker without tasks that serve
)

// Interference holds how the tasks that serve fared beside each image of tasks
// that fill. It answers a load in which some images disturb heavily and others
// hardly at all, which only the figures tell, with a lag. The zero value is
// ready.
type Interference struct {
	images map[string]*figure
}

// figure is a decayed mean of the strain seen beside an image.
type figure struct {
	at     time.Time
	sum    float64
	weight float64
}

func (f *figure) decay(now time.Time) {
	if d := now.Sub(f.at); d > 0 {
		x := math.Exp2(-float64(d) / float64(_interferenceHalfLife))
		f.sum, f.weight, f.at = f.sum*x, f.weight*x, now
	}
}

// Seen takes in the strain of a worker's serving tasks, in percent of their
// target, beside the given images.
func (i *Interference) Seen(now time.Time, images []string, strain int) {
	if strain < 0 || len(images) == 0 {
		return
	}
	if i.images == nil {
		i.images = make(map[string]*figure)
	}
	weight := 1 / float64(len(images))
	for _, name := range images {
		f := i.images[name]
		if f == nil {
			f = &figure{at: now}
			i.images[name] = f
		}
		f.decay(now)
		f.sum += weight * float64(strain)
		f.weight += weight
	}
}

func (i *Interference) mean(now time.Time, image string) (mean float64, known bool) {
	f, ok := i.images[image]
	if !ok {
		return 0, false
	}
	f.decay(now)
	if f.weight < _interferenceLeast {
		return 0, false
	}
	return f.sum / f.weight, true
}

// Beside returns the images of the settled runs that fill a worker, each once.
// begun tells when a run was ordered, if this leader did.
func Beside(now time.Time, u *submission.Usage, facts map[submission.RunID]Fact, begun map[submission.RunID]time.Time) []string {
	if u == nil {
		return nil
	}
	seen := make(map[string]bool)
	var out []string
	for run, s := range u.Runs {
		step := &s.Steps[run.Task.Step]
		f, told := facts[run]
		if !step.Fills() || seen[step.Image] || told && f.Share < _paceLow || now.Sub(begun[run]) < _settled {
			continue
		}
		seen[step.Image] = true
		out = append(out, step.Image)
	}
	return out
}

// takesFiller reports whether a worker whose tasks serve users takes one more task
// of the image. One that is late anyway is tried whatever the image, since a
// pacer that slows it down does no more harm.
func (n *node) takesFiller(now time.Time, i *Interference, image string, late bool) bool {
	if n.Strain < 0 || n.joined {
		return false // its figures are not known, or one has just been given to it
	}
	mean, known := i.mean(now, image)
	switch {
	case known && mean <= _light:
		return n.Strain <= _calm
	case known:
		return late && n.Strain <= _unknownCalm
	default:
		return n.Strain <= _unknownCalm
	}
}
