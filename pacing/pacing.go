// Package pacing decides how fast the tasks that fill a worker may work while
// others on the same worker serve users of their own.
//
// A Pacer is given the figures of one worker's listing and the time, and
// returns the shares to set. It answers a load in which the tail latency of a
// serving task follows what fills beside it with a lag of half a second, by
// amounts that differ by the pair of images and are known roughly. It cuts the
// images that disturb hard as soon as a target is missed, all others if that
// does not help, and gives back in steps.
package pacing

import (
	"time"

	"github.com/gentianrail/gentianrail/interference"
)

// Bounds of the decisions.
const (
	_full      = 100                     // percent
	_cutTo     = 50                      // percent of the present share after a miss
	_farOver   = 150                     // percent of its target from which what disturbs stands still at once: a backlog takes seconds to drain
	_least     = 5                       // percent; a share below it becomes 0
	_giveBack  = 10                      // percent points at a time to an image that disturbs
	_giveLight = 50                      // the same to one that does not, or hardly
	_margin    = 85                      // percent of its target below which a task counts as well served
	_light     = 0.5                     // press up to which an image is not blamed: at full speed it takes a calm task to three quarters of its target
	_settle    = 700 * time.Millisecond  // until a change shows in the figures, which cover half a second
	_calmFor   = 700 * time.Millisecond  // all targets met with a margin until something is given back
	_hardAfter = 1500 * time.Millisecond // of a miss after which images that disturb stand still
	_allAfter  = 2500 * time.Millisecond // of a miss after which all do; the users allow 4 s
)

// Task is one run as the latest listing shows it.
type Task struct {
	Serves     bool
	Fills      bool // may disturb tasks that serve
	Step       string
	Image      string
	TailTarget time.Duration // of a task that serves
	Percent    int           // share that it is known to work at; below 0 if that is not known
	Figure     int64         // tail latency in ms of a task that serves, else the CPU in use in thousandths of a core
}

// Decision sets the share of the task at Index.
type Decision struct {
	Index   int
	Percent int
	Worst   int // highest tail latency in percent of its target
}

// Pacer holds what one worker's figures have shown. The zero value is ready.
type Pacer struct {
	paces  map[string]*pace    // by image of tasks that fill
	served map[string]*service // by image of tasks that serve
	worst  int                 // highest tail latency in percent of its target, as seen last
	any    bool                // a task serves
}

// pace is the share of an image's tasks.
type pace struct {
	share   int
	changed time.Time
	present bool // a task of the image is in the latest listing
}

// service is how the tasks of one image that serve fare.
type service struct {
	worst   int       // highest tail latency in percent of its target
	missed  time.Time // since when the target is missed; zero if it is met
	calm    time.Time // since when it is met with a margin
	present bool
}

// Decide returns the shares to set.
func (p *Pacer) Decide(now time.Time, tasks []Task, presses interference.Presses) []Decision {
	if p.paces == nil {
		p.paces, p.served = make(map[string]*pace), make(map[string]*service)
	}
	p.look(now, tasks)
	for image, c := range p.paces {
		if !c.present {
			delete(p.paces, image)
			continue
		}
		if p.any {
			p.adjust(now, image, c, presses)
		} else {
			c.share = _full
		}
	}
	var out []Decision
	for i, t := range tasks {
		if !t.Fills || t.Percent == p.paces[t.Image].share {
			continue
		}
		out = append(out, Decision{Index: i, Percent: p.paces[t.Image].share, Worst: p.worst})
	}
	return out
}

// look takes in a listing.
func (p *Pacer) look(now time.Time, tasks []Task) {
	for _, s := range p.served {
		s.present, s.worst = false, 0
	}
	for _, c := range p.paces {
		c.present = false
	}
	p.worst, p.any = 0, false
	for _, t := range tasks {
		switch {
		case t.Serves && t.TailTarget > 0:
			s := p.served[t.Image]
			if s == nil {
				s = &service{}
				p.served[t.Image] = s
			}
			s.present = true
			s.worst = max(s.worst, int(t.Figure*100/max(t.TailTarget.Milliseconds(), 1)))
			p.any, p.worst = true, max(p.worst, s.worst)
		case t.Fills:
			c := p.paces[t.Image]
			if c == nil {
				c = &pace{share: _full}
				p.paces[t.Image] = c
			}
			c.present = true
		}
	}
	for image, s := range p.served {
		if !s.present {
			delete(p.served, image)
			continue
		}
		s.note(now)
	}
}

func (s *service) note(now time.Time) {
	switch {
	case s.worst > 100:
		if s.missed.IsZero() {
			s.missed = now
		}
		s.calm = time.Time{}
	case s.worst > _margin:
		s.missed, s.calm = time.Time{}, time.Time{}
	default:
		s.missed = time.Time{}
		if s.calm.IsZero() {
			s.calm = now
		}
	}
}

// adjust sets the share of an image's tasks.
func (p *Pacer) adjust(now time.Time, image string, c *pace, presses interference.Presses) {
	settled := now.Sub(c.changed) >= _settle
	calm, share, back := true, c.share, _giveLight
	for serves, s := range p.served {
		heavy := presses.Of(interference.Pair{Fills: image, Serves: serves}) > _light
		if heavy {
			back = _giveBack
		}
		if s.missed.IsZero() {
			calm = calm && (!heavy || !s.calm.IsZero() && now.Sub(s.calm) >= _calmFor)
			continue
		}
		missed := now.Sub(s.missed)
		calm = calm && !heavy
		switch {
		case missed >= _allAfter, heavy && (missed >= _hardAfter || s.worst >= _farOver):
			share, calm = 0, false
		case heavy && settled:
			share = min(share, c.share*_cutTo/100)
		}
	}
	if share < _least {
		share = 0
	}
	if calm && settled {
		share = min(c.share+back, _full)
	}
	if share != c.share {
		c.share, c.changed = share, now
	}
}
