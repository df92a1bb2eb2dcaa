package dispatch

import (
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Parameters of the isolation of tasks that are suspected of crashing workers.
const (
	_cordonTime    = 2 * submission.StartWindow // for which a worker without new starts waits for a suspected task
	_isolatedShare = 4                          // at most one in _isolatedShare of a service's workers is isolated at a time
)

// cordon keeps other submissions off a worker, so that a suspected task soon finds
// no run there that has just started.
type cordon struct {
	submission string
	until      time.Time // log time
}

// isolates reports whether a worker is isolated for another submission.
func (r *round) isolates(n *node, submissionID string) bool {
	if n.isolatedFor != "" && n.isolatedFor != submissionID && r.at.Log.Before(n.isolatedUntil) {
		return true
	}
	c, ok := r.cordons[n.Incarnation]
	return ok && c.submission != submissionID && r.at.Log.Before(c.until)
}

// ignoresIsolation reports whether a step's tasks may start on a worker that is
// isolated for another submission, so that nothing waits for seconds beside free
// capacity.
func (r *round) ignoresIsolation(n *node, s *submission.Submission, step *submission.Step) bool {
	return r.isStarved(s) || step.LongRunning && n.isolatedUntil.Sub(r.at.Log) > _cordonTime
}

// isIsolated reports whether a worker is isolated for any submission.
func (r *round) isIsolated(n *node) bool { return r.isolates(n, "") }

// pruneCordons drops expired cordons and those of workers that are gone.
func (s *Scheduler) pruneCordons(at Clocks) {
	for incarnation, c := range s.cordons {
		if !at.Log.Before(c.until) || s.pool.nodes[incarnation] == nil {
			delete(s.cordons, incarnation)
		}
	}
}

// bestIsolatedWorker returns the candidate with the fewest runs on which no run of
// another submission has just started, or nil. If there is none, it cordons off a
// candidate. A starved submission does not wait for that, and a long-running task
// does not wait until other isolated workers are free.
func (p *placement) bestIsolatedWorker() *node {
	var best, fallback *node
	for {
		for _, c := range p.candidates {
			if len(p.absent) > 0 && !p.fits(c.n) {
				continue // starts on other workers have used the room
			}
			if fallback == nil || c.n.runs < fallback.runs {
				fallback = c.n
			}
			if !p.hasJustStarted(c.n) && (p.isIsolated(c.n) || p.mayIsolateMore()) && (best == nil || c.n.runs < best.runs) {
				best = c.n
			}
		}
		if !p.findCandidates() {
			break
		}
	}
	switch {
	case best != nil || fallback == nil:
		return best
	case p.isStarved(p.ws.sub), p.step.LongRunning && !p.mayIsolateMore():
		return fallback
	}
	p.cordonOff(fallback)
	return nil
}

// hasJustStarted reports whether a run of another submission has just started on a
// worker.
func (p *placement) hasJustStarted(n *node) bool {
	for _, id := range n.roundStarts {
		if id != p.ws.sub.ID {
			return true
		}
	}
	u := p.store.Usage(n.Incarnation)
	return u != nil && p.at.Log.Sub(u.LatestStart(p.ws.sub.ID)) < submission.StartWindow
}

// mayIsolateMore reports whether one more worker of the submission's service may be
// isolated.
func (p *placement) mayIsolateMore() bool {
	service := p.pool.services[p.ws.sub.Service]
	n, counted := p.isolatedWorkers[p.ws.sub.Service]
	if !counted {
		for _, list := range service.byFree {
			for _, other := range list {
				if p.isIsolated(other) {
					n++
				}
			}
		}
		p.isolatedWorkers[p.ws.sub.Service] = n
	}
	return n < max(1, service.workers/_isolatedShare)
}

// cordonOff keeps other submissions off a worker, unless one is waiting for the
// submission already.
func (p *placement) cordonOff(n *node) {
	for _, c := range p.cordons {
		if c.submission == p.ws.sub.ID {
			return
		}
	}
	if p.isIsolated(n) || !p.mayIsolateMore() {
		return
	}
	if p.cordons == nil {
		p.cordons = make(map[string]cordon)
	}
	p.cordons[n.Incarnation] = cordon{submission: p.ws.sub.ID, until: p.at.Log.Add(_cordonTime)}
	p.isolatedWorkers[n.Service]++
}

// isolate keeps other submissions off a worker on which a suspected task starts.
func (p *placement) isolate(n *node, d time.Duration) {
	if !p.isIsolated(n) {
		p.isolatedWorkers[n.Service]++
	}
	if until := p.at.Log.Add(d); n.isolatedFor != p.ws.sub.ID || until.After(n.isolatedUntil) {
		n.isolatedFor, n.isolatedUntil = p.ws.sub.ID, until
	}
	delete(p.cordons, n.Incarnation)
}
