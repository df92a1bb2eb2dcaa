package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Limits of requests to the advice service.
const (
	_maxNewPerRequest      = 12                     // workers without an earlier approval; each worker adds to the response time
	_maxWorkersPerRequest  = 100                    // of any kind; the service accepts no more
	_rejectedRetryInterval = 2 * time.Second        // until a worker that was not approved is included again
	_ticketMargin          = 300 * time.Millisecond // of a ticket's validity, for delivering the start to the worker
	_answerTTL             = 10 * time.Minute       // after which an answer about a worker is forgotten
	_minAdviceBackoff      = 20 * time.Millisecond  // after a failed request about a step; doubles with each further one
	_maxAdviceBackoff      = time.Second
)

// StepID identifies a step of one occurrence.
type StepID struct {
	Submission string
	Occurrence int
	Step       int
}

// stepAdvice holds the latest answers of the advice service about a step.
type stepAdvice struct {
	tickets  map[string]adviceTicket // by incarnation of the workers that were approved last time they were asked about
	askedAt  map[string]time.Time    // latest answer by worker incarnation
	turn     uint64                  // number of the latest request about the step
	failures int                     // requests that have failed since the latest answer
	retryAt  time.Time               // before which no request is sent, after a failure
}

type adviceTicket struct {
	text       string
	validUntil time.Time
}

// approvals holds the tickets and rejections of the advice service. The zero value
// is ready to use.
type approvals struct {
	steps map[StepID]*stepAdvice
	turns uint64 // requests so far
}

// step returns the advice about a step, which it adds if there is none.
func (a *approvals) step(id StepID) *stepAdvice {
	if a.steps == nil {
		a.steps = make(map[StepID]*stepAdvice)
	}
	s := a.steps[id]
	if s == nil {
		s = &stepAdvice{tickets: make(map[string]adviceTicket), askedAt: make(map[string]time.Time)}
		a.steps[id] = s
	}
	return s
}

// recordAnswer records an answer of the advice service. asked lists the
// incarnations of the workers in the request. tickets holds the tickets of the
// approved workers by incarnation, and validity is how long they are valid.
func (a *approvals) recordAnswer(now time.Time, id StepID, asked []string, tickets map[string]string, validity time.Duration) {
	s := a.step(id)
	s.failures, s.retryAt = 0, time.Time{}
	maps.DeleteFunc(s.askedAt, func(incarnation string, at time.Time) bool {
		expired := now.Sub(at) >= _answerTTL
		if expired {
			delete(s.tickets, incarnation)
		}
		return expired
	})
	for _, incarnation := range asked {
		s.askedAt[incarnation] = now
		if text, ok := tickets[incarnation]; ok {
			s.tickets[incarnation] = adviceTicket{text: text, validUntil: now.Add(validity - min(_ticketMargin, validity/2))}
			continue
		}
		delete(s.tickets, incarnation)
	}
}

// recordFailure records that a request about a step had no answer.
func (a *approvals) recordFailure(now time.Time, id StepID) {
	s := a.step(id)
	backoff := _minAdviceBackoff
	for range min(s.failures, 10) {
		backoff = min(2*backoff, _maxAdviceBackoff)
	}
	s.failures++
	s.retryAt = now.Add(backoff)
}

// ticket returns the valid ticket for starting the step on a worker, if any.
func (a *approvals) ticket(now time.Time, id StepID, incarnation string) (string, bool) {
	s := a.steps[id]
	if s == nil {
		return "", false
	}
	t, ok := s.tickets[incarnation]
	return t.text, ok && now.Before(t.validUntil)
}

// pruneEnded drops the advice about submissions that have ended.
func (a *approvals) pruneEnded(store *submission.Store) {
	for id := range a.steps {
		if s, ok := store.Submission(id.Submission); !ok || s.State.Ended() {
			delete(a.steps, id)
		}
	}
}

// AdviceRequest is a request to the advice service about one step.
type AdviceRequest struct {
	Step    StepID
	Workers []string // incarnations
}

// NextAdviceRequest returns the request to send now, if any step needs one: some of its
// tasks find no worker, and workers without a valid ticket could run them.
//
// Every second request is about the step whose latest request was longest ago, the
// others about the most urgent step. So a step whose policy approves no worker, or whose
// requests fail, delays the requests about the others but does not prevent them.
func (s *Scheduler) NextAdviceRequest(at Clocks, store *submission.Store) (AdviceRequest, bool) {
	steps := slices.DeleteFunc(slices.Clone(s.waitingSteps(at, store)), func(ws waitingStep) bool {
		a := s.approvals.steps[ws.id()]
		return !ws.sub.NeedsAdvice || a != nil && at.Now.Before(a.retryAt)
	})
	if len(steps) == 0 {
		return AdviceRequest{}, false
	}
	if s.approvals.turns%2 == 1 {
		slices.SortStableFunc(steps, func(x, y waitingStep) int {
			return cmp.Compare(s.approvals.lastTurn(x.id()), s.approvals.lastTurn(y.id()))
		})
	}
	r := s.newStartRound(at, store)
	defer r.end(store)
	for _, ws := range steps {
		if asked := r.workersToAsk(ws); len(asked) > 0 {
			s.approvals.turns++
			s.approvals.step(ws.id()).turn = s.approvals.turns
			return AdviceRequest{Step: ws.id(), Workers: asked}, true
		}
	}
	return AdviceRequest{}, false
}

// lastTurn returns the number of the latest request about a step, or 0.
func (a *approvals) lastTurn(id StepID) uint64 {
	if s := a.steps[id]; s != nil {
		return s.turn
	}
	return 0
}

// workersToAsk returns the workers to request tickets for: none if the round places all
// tasks of the step on workers with valid tickets. The tasks are placed in r.
//
// Workers that were approved before come first, as many as there are tasks without a
// worker, so that a gang gets tickets that are valid at the same time. The others are
// asked about in turn, those never asked about by cost, then the one asked about longest
// ago. So each worker that can run a task has its turn, however large the pool is and
// whichever workers the policy approves.
func (r *round) workersToAsk(ws waitingStep) []string {
	p := r.newPlacement(ws)
	p.place()
	if p.unplaced == 0 {
		return nil
	}
	var approved, others []candidate
	search := r.newSearch(ws.sub, p.step, nil)
	search.unbound = true
	for n := search.next(); n != nil; n = search.next() {
		if r.isApproved(ws, n) || !p.mayRun(n) {
			continue
		}
		c := candidate{n: n, cost: p.cost(n)}
		switch r.approvals.latestAnswer(r.at.Now, ws.id(), n.Incarnation) {
		case answerApproved:
			approved = append(approved, c)
		case answerNone:
			others = append(others, c)
		}
	}
	askedAt := r.approvals.step(ws.id()).askedAt
	compareTurn := func(x, y candidate) int {
		return cmp.Or(askedAt[x.n.Incarnation].Compare(askedAt[y.n.Incarnation]), cmp.Compare(x.cost, y.cost), cmp.Compare(x.n.Incarnation, y.n.Incarnation))
	}
	slices.SortFunc(approved, compareTurn)
	slices.SortFunc(others, compareTurn)
	others = others[:min(len(others), _maxNewPerRequest)]
	approved = approved[:min(len(approved), p.unplaced, _maxWorkersPerRequest-len(others))]
	var out []string
	for _, c := range append(approved, others...) {
		out = append(out, c.n.Incarnation)
	}
	return out
}

// answer is what the advice service has said of a worker and a step.
type answer uint8

const (
	answerNone     answer = iota // nothing, or a rejection so long ago that the worker is asked about again
	answerApproved               // its ticket may have expired
	answerRejected
)

func (a *approvals) latestAnswer(now time.Time, id StepID, incarnation string) answer {
	s := a.steps[id]
	if s == nil {
		return answerNone
	}
	if _, approved := s.tickets[incarnation]; approved {
		return answerApproved
	}
	if at, asked := s.askedAt[incarnation]; asked && now.Sub(at) < _rejectedRetryInterval {
		return answerRejected
	}
	return answerNone
}

// RecordAdvice records an answer of the advice service. asked lists the
// incarnations of the workers in the request. tickets holds the tickets of the
// approved workers by incarnation, and validity is how long they are valid.
func (s *Scheduler) RecordAdvice(now time.Time, id StepID, asked []string, tickets map[string]string, validity time.Duration) {
	s.approvals.recordAnswer(now, id, asked, tickets, validity)
}

// RecordAdviceFailure records that a request to the advice service about a step has failed.
func (s *Scheduler) RecordAdviceFailure(now time.Time, id StepID) {
	s.approvals.recordFailure(now, id)
}

// Ticket returns the valid ticket for starting the step on a worker, if any.
func (s *Scheduler) Ticket(now time.Time, id StepID, incarnation string) (string, bool) {
	return s.approvals.ticket(now, id, incarnation)
}

// PruneAdvice drops the advice about submissions that have ended.
func (s *Scheduler) PruneAdvice(store *submission.Store) { s.approvals.pruneEnded(store) }
