// Package pacing decides how fast the tasks that fill a worker may work while
// others on the same worker serve users of their own.
//
// A Pacer is given the figures of one worker's listing and the time, and
// returns the shares to set. It answers a load in which the tail latency of a
// serving task follows what fills beside it with a lag of half a second, by
// amounts that are not known and change within seconds. It cuts the fillers
// hard as soon as a target is missed, and gives back a little at a time.
package pacing

import "time"

// Bounds of the decisions.
const (
	_full      = 100                     // percent
	_cutTo     = 50                      // percent of the present share after a miss
	_least     = 5                       // percent; a share below it becomes 0
	_giveBack  = 10                      // percent points at a time
	_margin    = 85                      // percent of its target below which a task counts as well served
	_settle    = 700 * time.Millisecond  // until a change shows in the figures
	_calmFor   = 1500 * time.Millisecond // all targets met with a margin until something is given back
	_hardAfter = 1500 * time.Millisecond // of a miss after which fillers stand still
)

// Task is one run as the latest listing shows it.
type Task struct {
	Serves     bool
	Fills      bool          // may disturb tasks that serve
	TailTarget time.Duration // of a task that serves
	Percent    int           // share that it is known to work at; below 0 if that is not known
	Figure     int64         // tail latency in ms of a task that serves
}

// Decision sets the share of the task at Index.
type Decision struct {
	Index   int
	Percent int
	Worst   int // highest tail latency in percent of its target
}

// Pacer holds what one worker's figures have shown. The zero value is ready.
type Pacer struct {
	share    int       // percent that all fillers work at; 0 stands for full until paced is set
	paced    bool      // share is below full
	changed  time.Time // when the share was changed last
	missed   time.Time // since when a target is missed; zero if all are met
	calm     time.Time // since when all targets are met with a margin
	worst    int       // as seen last; 0 stands for nothing seen until seen is set
	seen     bool
	watching bool // a task that serves shares the worker with fillers
}

// Watching reports whether the figures should be read often.
func (p *Pacer) Watching() bool { return p.watching }

// Worst returns the highest tail latency seen last, in percent of its target,
// or -1 if no task serves.
func (p *Pacer) Worst() int {
	if !p.seen {
		return -1
	}
	return p.worst
}

// Decide returns the shares to set.
func (p *Pacer) Decide(now time.Time, tasks []Task) []Decision {
	worst, fillers := worstOf(tasks)
	p.watching = worst >= 0 && fillers > 0
	p.worst, p.seen = worst, worst >= 0
	if worst < 0 {
		p.paced, p.missed, p.calm = false, time.Time{}, time.Time{}
		return p.set(tasks, _full, 0)
	}
	if !p.paced {
		p.share = _full
	}
	p.note(now, worst)
	p.adjust(now)
	p.paced = p.share < _full
	return p.set(tasks, p.share, worst)
}

// worstOf returns the highest tail latency in percent of its target, or -1 if
// no task serves, and the number of fillers.
func worstOf(tasks []Task) (worst, fillers int) {
	worst = -1
	for _, t := range tasks {
		if t.Fills {
			fillers++
		}
		if !t.Serves || t.TailTarget <= 0 {
			continue
		}
		worst = max(worst, int(t.Figure*100/max(t.TailTarget.Milliseconds(), 1)))
	}
	return worst, fillers
}

func (p *Pacer) note(now time.Time, worst int) {
	switch {
	case worst > 100:
		if p.missed.IsZero() {
			p.missed = now
		}
		p.calm = time.Time{}
	case worst > _margin:
		p.missed, p.calm = time.Time{}, time.Time{}
	default:
		p.missed = time.Time{}
		if p.calm.IsZero() {
			p.calm = now
		}
	}
}

func (p *Pacer) adjust(now time.Time) {
	settled := now.Sub(p.changed) >= _settle
	switch {
	case !p.missed.IsZero() && now.Sub(p.missed) >= _hardAfter && p.share > 0:
		p.share, p.changed = 0, now
	case !p.missed.IsZero() && settled && p.share > 0:
		p.share, p.changed = p.share*_cutTo/100, now
		if p.share < _least {
			p.share = 0
		}
	case !p.calm.IsZero() && now.Sub(p.calm) >= _calmFor && settled && p.share < _full:
		p.share, p.changed = min(p.share+_giveBack, _full), now
	}
}

func (p *Pacer) set(tasks []Task, share, worst int) []Decision {
	var out []Decision
	for i, t := range tasks {
		if !t.Fills || t.Percent == share {
			continue
		}
		out = append(out, Decision{Index: i, Percent: share, Worst: worst})
	}
	return out
}
