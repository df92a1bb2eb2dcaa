package dispatch

import (
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Parameters of the isolation of tasks that are suspected of crashing workers.
const (
	_cordonTime    = 2 * submission.StartWindow // for which a worker without new starts waits for a suspected task
	_settleTime    = 4 * submission.StartWindow // from the start of a worker until its crash counts against the task that has just started
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

// indexIsolated updates the index of isolated workers.
func (p *pool) indexIsolated(n *node) {
	if n.isolatedFor == "" {
		delete(p.isolated, n.Incarnation)
		return
	}
	if p.isolated == nil {
		p.isolated = make(map[string]*node)
	}
	p.isolated[n.Incarnation] = n
}

// isolations counts the isolated workers of a round.
type isolations struct {
	byService    map[string]int
	bySubmission map[string]int // for which the workers are isolated
}

// countIsolations returns the round's isolated workers. The cost follows their number.
func (r *round) countIsolations() *isolations {
	if r.isolations != nil {
		return r.isolations
	}
	r.isolations = &isolations{byService: make(map[string]int), bySubmission: make(map[string]int)}
	for incarnation, n := range r.pool.isolated {
		if _, cordoned := r.cordons[incarnation]; !cordoned && r.at.Log.Before(n.isolatedUntil) {
			r.isolations.add(n, n.isolatedFor)
		}
	}
	for incarnation, c := range r.cordons {
		if n := r.pool.nodes[incarnation]; n != nil && r.at.Log.Before(c.until) {
			r.isolations.add(n, c.submission)
		}
	}
	return r.isolations
}

func (i *isolations) add(n *node, submissionID string) {
	i.byService[n.Service]++
	i.bySubmission[submissionID]++
}

// mayIsolateMore reports whether one more worker of the submission's service may be
// isolated.
func (p *placement) mayIsolateMore() bool {
	service := p.ws.sub.Service
	return p.countIsolations().byService[service] < max(1, p.pool.services[service].workers/_isolatedShare)
}

// bestIsolatedWorker returns the candidate with the fewest runs on which no run of
// another submission has just started, or nil. If there is none, it cordons off a
// candidate. A starved submission does not wait for that, and a long-running task
// does not wait until other isolated workers are free. Every task waits until the worker
// has been up for a while: the crash of one that goes down again and again would count
// as caused by the task.
func (p *placement) bestIsolatedWorker() *node {
	if p.pool.services[p.ws.sub.Service] == nil {
		return nil
	}
	hasOwn, mayIsolate := p.countIsolations().bySubmission[p.ws.sub.ID] > 0, p.mayIsolateMore()
	mustNotWait := p.isStarved(p.ws.sub) || p.step.LongRunning && !mayIsolate
	if !hasOwn && !mayIsolate && !mustNotWait {
		return nil
	}
	var best, fallback *node
	for {
		for _, c := range p.candidates {
			if len(p.absent) > 0 && !p.fits(c.n) {
				continue // starts on other workers have used the room
			}
			if p.at.Now.Sub(c.n.Since) < _settleTime {
				continue
			}
			if fallback == nil || c.n.runs < fallback.runs {
				fallback = c.n
			}
			if (mayIsolate || p.isIsolated(c.n)) && (best == nil || c.n.runs < best.runs) && !p.hasJustStarted(c.n) {
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
	case mustNotWait:
		return fallback
	case !hasOwn && !p.isIsolated(fallback):
		p.cordonOff(fallback)
	}
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
	if u == nil {
		return false
	}
	if n.latestStarts == nil {
		latest := u.LatestStarts()
		n.latestStarts = &latest
	}
	return p.at.Log.Sub(n.latestStarts.ExceptOf(p.ws.sub.ID)) < submission.StartWindow
}

// cordonOff keeps other submissions off a worker that is not isolated.
func (p *placement) cordonOff(n *node) {
	if p.cordons == nil {
		p.cordons = make(map[string]cordon)
	}
	p.cordons[n.Incarnation] = cordon{submission: p.ws.sub.ID, until: p.at.Log.Add(_cordonTime)}
	p.countIsolations().add(n, p.ws.sub.ID)
}

// isolate keeps other submissions off a worker on which a suspected task starts.
func (p *placement) isolate(n *node, d time.Duration) {
	if !p.isIsolated(n) {
		p.countIsolations().add(n, p.ws.sub.ID)
	}
	if until := p.at.Log.Add(d); n.isolatedFor != p.ws.sub.ID || until.After(n.isolatedUntil) {
		n.isolatedFor, n.isolatedUntil = p.ws.sub.ID, until
	}
	p.pool.indexIsolated(n)
	delete(p.cordons, n.Incarnation)
}
