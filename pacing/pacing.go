// Package pacing decides how fast the batch tasks on a worker may run beside
// service tasks.
//
// A Pacer is given the usage statistics of one worker's listing and the time, and
// returns the CPU shares to set. The tail latency of a service task follows the
// batch load beside it with a lag of half a second. How strongly it does so differs
// by the pair of images and is known only roughly. The Pacer throttles the images
// that interfere strongly as soon as a target is missed, pauses all batch images if
// that does not help, and restores the shares in steps.
package pacing

import (
	"time"

	"github.com/gentianrail/gentianrail/interference"
)

// Parameters of the pacing decisions.
const (
	_fullShare  = 100 // percent
	_throttleTo = 50  // percent of the current share, set after a missed target
	// Percent of the target from which heavy images are paused at once: a backlog
	// takes seconds to drain.
	_severeTailLatency = 150
	_minShare          = 5  // percent; a share below it becomes 0
	_restoreStepHeavy  = 10 // percentage points per step for a heavy image
	_restoreStepLight  = 50 // percentage points per step for a light image
	_safeTailLatency   = 85 // percent of the target up to which it is met with a margin
	// Interference coefficient up to which an image is light, and above which it is
	// heavy. At full speed an image with this coefficient raises the tail latency
	// of a lightly loaded service task to three quarters of the target.
	_lightCoefficient = 0.5
	_feedbackDelay    = 700 * time.Millisecond  // until a change shows in the usage statistics, which cover half a second
	_restoreDelay     = 700 * time.Millisecond  // for which targets are met with a margin before a heavy image is restored
	_pauseHeavyAfter  = 1500 * time.Millisecond // of a missed target after which heavy images are paused
	// Duration of a missed target after which all batch images are paused. The
	// requirement is 4 s.
	_pauseAllAfter = 2500 * time.Millisecond
)

// Task is a run in the latest listing.
type Task struct {
	IsService   bool
	IsBatch     bool // may interfere with service tasks
	Step        string
	Image       string
	TailTarget  time.Duration // of a service task
	Share       int           // current share; negative if unknown
	Measurement int64         // tail latency in ms of a service task, else the CPU in use in thousandths of a core
}

// Decision sets the share of the task at Index.
type Decision struct {
	Index          int
	Share          int
	MaxTailLatency int // highest tail latency on the worker, in percent of its target
}

// Pacer holds the pacing state of one worker. The zero value is ready to use.
type Pacer struct {
	batchImages    map[string]*batchImage   // by image
	serviceImages  map[string]*serviceImage // by image
	maxTailLatency int                      // highest tail latency in the latest listing, in percent of its target
	any            bool                     // the latest listing has a service task with a target
	capacity       int64                    // the worker's CPU in thousandths of a core; 0 if unknown
}

// batchImage is the pacing state of the batch tasks of one image.
type batchImage struct {
	share     int       // percent
	changed   time.Time // latest change of the share
	present   bool      // a task of the image is in the latest listing
	load      float64   // share of the worker's CPU in use
	fullLoad  float64   // the same at a share of 100
	suggested int       // share that the model allows
}

// serviceImage is the latency state of the service tasks of one image.
type serviceImage struct {
	maxTailLatency int       // highest tail latency in percent of its target
	missedSince    time.Time // start of the current miss; zero if the target is met
	safeSince      time.Time // since when the target is met with a margin; zero if it is not
	present        bool
}

// Decide returns the shares to set.
func (p *Pacer) Decide(now time.Time, tasks []Task, coefficients interference.Coefficients) []Decision {
	if p.batchImages == nil {
		p.batchImages, p.serviceImages = make(map[string]*batchImage), make(map[string]*serviceImage)
	}
	p.recordListing(now, tasks)
	p.recordLoads(tasks)
	p.updateSuggestions(coefficients)
	for image, b := range p.batchImages {
		if !b.present {
			delete(p.batchImages, image)
			continue
		}
		if p.any {
			p.adjustShare(now, image, b, coefficients)
		} else {
			b.share = _fullShare
		}
	}
	var out []Decision
	for i, t := range tasks {
		if !t.IsBatch || t.Share == p.batchImages[t.Image].share {
			continue
		}
		out = append(out, Decision{Index: i, Share: p.batchImages[t.Image].share, MaxTailLatency: p.maxTailLatency})
	}
	return out
}

// recordListing updates the state of all images from a listing.
func (p *Pacer) recordListing(now time.Time, tasks []Task) {
	for _, s := range p.serviceImages {
		s.present, s.maxTailLatency = false, 0
	}
	for _, b := range p.batchImages {
		b.present = false
	}
	p.maxTailLatency, p.any = 0, false
	for _, t := range tasks {
		switch {
		case t.IsService && t.TailTarget > 0:
			s := p.serviceImages[t.Image]
			if s == nil {
				s = &serviceImage{}
				p.serviceImages[t.Image] = s
			}
			s.present = true
			s.maxTailLatency = max(s.maxTailLatency, int(t.Measurement*100/max(t.TailTarget.Milliseconds(), 1)))
			p.any, p.maxTailLatency = true, max(p.maxTailLatency, s.maxTailLatency)
		case t.IsBatch:
			b := p.batchImages[t.Image]
			if b == nil {
				b = &batchImage{share: _fullShare}
				p.batchImages[t.Image] = b
			}
			b.present = true
		}
	}
	for image, s := range p.serviceImages {
		if !s.present {
			delete(p.serviceImages, image)
			continue
		}
		s.updateTimes(now)
	}
}

// updateTimes updates missedSince and safeSince.
func (s *serviceImage) updateTimes(now time.Time) {
	switch {
	case s.maxTailLatency > 100:
		if s.missedSince.IsZero() {
			s.missedSince = now
		}
		s.safeSince = time.Time{}
	case s.maxTailLatency > _safeTailLatency:
		s.missedSince, s.safeSince = time.Time{}, time.Time{}
	default:
		s.missedSince = time.Time{}
		if s.safeSince.IsZero() {
			s.safeSince = now
		}
	}
}

// adjustShare updates the share of an image's tasks.
func (p *Pacer) adjustShare(now time.Time, image string, b *batchImage, coefficients interference.Coefficients) {
	changeVisible := now.Sub(b.changed) >= _feedbackDelay
	canRestore, share, restoreStep := true, b.share, _restoreStepLight
	for service, s := range p.serviceImages {
		heavy := coefficients.Of(interference.Pair{Batch: image, Service: service}) > _lightCoefficient
		if heavy {
			restoreStep = _restoreStepHeavy
		}
		if s.missedSince.IsZero() {
			canRestore = canRestore && (!heavy || p.capacity > 0 || !s.safeSince.IsZero() && now.Sub(s.safeSince) >= _restoreDelay)
			continue
		}
		missedFor := now.Sub(s.missedSince)
		canRestore = canRestore && !heavy
		switch {
		case missedFor >= _pauseAllAfter, heavy && (missedFor >= _pauseHeavyAfter || s.maxTailLatency >= _severeTailLatency):
			share, canRestore = 0, false
		case heavy && changeVisible:
			share = min(share, b.share*_throttleTo/100)
		}
	}
	if share < _minShare {
		share = 0
	}
	if b.suggested <= share-_lowerBy && changeVisible {
		share = b.suggested
	}
	if share < _minShare {
		share = 0
	}
	if canRestore && changeVisible && p.capacity == 0 {
		share = min(b.share+restoreStep, _fullShare)
	}
	if canRestore && changeVisible && p.capacity > 0 && b.suggested > b.share {
		share = min(b.share+max(restoreStep, _raiseBy), b.suggested)
	}
	if share != b.share {
		b.share, b.changed = share, now
	}
}
