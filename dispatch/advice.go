package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Limits of requests to the advice service.
const (
	_maxWorkersPerRequest  = 12                     // each worker adds to the response time
	_rejectedRetryInterval = 2 * time.Second        // until a worker that was not approved is included again
	_ticketMargin          = 300 * time.Millisecond // of a ticket's validity, for delivering the start to the worker
)

// StepID identifies a step of one occurrence.
type StepID struct {
	Submission string
	Occurrence int
	Step       int
}

// stepAdvice holds the latest answers of the advice service about a step.
type stepAdvice struct {
	tickets    map[string]adviceTicket // by worker incarnation
	rejectedAt map[string]time.Time    // latest rejection by worker incarnation
}

type adviceTicket struct {
	text       string
	validUntil time.Time
}

// approvals holds the tickets and rejections of the advice service. The zero value
// is ready to use.
type approvals struct {
	steps map[StepID]*stepAdvice
}

// recordAnswer records an answer of the advice service. asked lists the
// incarnations of the workers in the request. tickets holds the tickets of the
// approved workers by incarnation, and validity is how long they are valid.
func (a *approvals) recordAnswer(now time.Time, id StepID, asked []string, tickets map[string]string, validity time.Duration) {
	if a.steps == nil {
		a.steps = make(map[StepID]*stepAdvice)
	}
	s := a.steps[id]
	if s == nil {
		s = &stepAdvice{tickets: make(map[string]adviceTicket), rejectedAt: make(map[string]time.Time)}
		a.steps[id] = s
	}
	for _, incarnation := range asked {
		if text, ok := tickets[incarnation]; ok {
			s.tickets[incarnation] = adviceTicket{text: text, validUntil: now.Add(validity - _ticketMargin)}
			delete(s.rejectedAt, incarnation)
			continue
		}
		s.rejectedAt[incarnation] = now
	}
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

// AdviceRequests returns the requests that waiting steps need before they can
// start, the most urgent first.
func (s *Scheduler) AdviceRequests(at Clocks, store *submission.Store) []AdviceRequest {
	r := s.newRound(at, store)
	defer r.end(store)
	var out []AdviceRequest
	for _, ws := range s.waitingSteps(at, store) {
		if !ws.sub.NeedsAdvice {
			continue
		}
		id := StepID{Submission: ws.sub.ID, Occurrence: ws.occurrence, Step: ws.step}
		if asked := r.workersToAsk(id, ws); len(asked) > 0 {
			out = append(out, AdviceRequest{Step: id, Workers: asked})
		}
	}
	return out
}

// workersToAsk returns the workers to request tickets for, the one with the lowest
// cost first. It returns none if a worker with a valid ticket can run a task of
// the step.
func (r *round) workersToAsk(id StepID, ws waitingStep) []string {
	p := &placement{round: r, ws: ws, step: &ws.sub.Steps[ws.step]}
	search := r.newSearch(ws.sub, p.step)
	var fit []candidate
	for n := search.next(); n != nil; n = search.next() {
		if r.obstacle(n, ws.sub, p.step, 0) != 0 {
			continue
		}
		if _, ok := r.approvals.ticket(r.at.Now, id, n.Incarnation); ok {
			return nil
		}
		if !r.approvals.wasRejected(r.at.Now, id, n.Incarnation) {
			fit = append(fit, candidate{n: n, cost: p.cost(n)})
		}
	}
	slices.SortFunc(fit, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.cost, y.cost), cmp.Compare(x.n.Incarnation, y.n.Incarnation))
	})
	var out []string
	for _, c := range fit[:min(len(fit), _maxWorkersPerRequest)] {
		out = append(out, c.n.Incarnation)
	}
	return out
}

// wasRejected reports whether a worker was rejected so recently that it is not
// included in a request again.
func (a *approvals) wasRejected(now time.Time, id StepID, incarnation string) bool {
	s := a.steps[id]
	if s == nil {
		return false
	}
	at, rejected := s.rejectedAt[incarnation]
	return rejected && now.Sub(at) < _rejectedRetryInterval
}

// RecordAdvice records an answer of the advice service. asked lists the
// incarnations of the workers in the request. tickets holds the tickets of the
// approved workers by incarnation, and validity is how long they are valid.
func (s *Scheduler) RecordAdvice(now time.Time, id StepID, asked []string, tickets map[string]string, validity time.Duration) {
	s.approvals.recordAnswer(now, id, asked, tickets, validity)
}

// Ticket returns the valid ticket for starting the step on a worker, if any.
func (s *Scheduler) Ticket(now time.Time, id StepID, incarnation string) (string, bool) {
	return s.approvals.ticket(now, id, incarnation)
}

// PruneAdvice drops the advice about submissions that have ended.
func (s *Scheduler) PruneAdvice(store *submission.Store) { s.approvals.pruneEnded(store) }
