package dispatch

import (
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Bounds of asking for advice.
const (
	_askWorkers   = 12                     // workers named in one call; each takes time
	_askAgain     = 2 * time.Second        // until a worker that was not approved is named again
	_ticketMargin = 300 * time.Millisecond // of a ticket's validity that is left for the start to reach the worker
)

// StepID names a step of one occurrence.
type StepID struct {
	Submission string
	Occurrence int
	Step       int
}

// approval is what the advice service has said of a step.
type approval struct {
	tickets map[string]ticket    // by life of a worker
	denied  map[string]time.Time // when a life was not approved
}

type ticket struct {
	text  string
	until time.Time
}

// Approvals holds the tickets that the advice service has given. The zero
// value is ready.
type Approvals struct {
	steps map[StepID]*approval
}

// Add takes in an answer: tickets by life of the workers that may run the
// step, for the given time, and the lives that were asked for.
func (a *Approvals) Add(now time.Time, id StepID, asked []string, tickets map[string]string, validity time.Duration) {
	if a.steps == nil {
		a.steps = make(map[StepID]*approval)
	}
	s := a.steps[id]
	if s == nil {
		s = &approval{tickets: make(map[string]ticket), denied: make(map[string]time.Time)}
		a.steps[id] = s
	}
	for _, life := range asked {
		if text, ok := tickets[life]; ok {
			s.tickets[life] = ticket{text: text, until: now.Add(validity - _ticketMargin)}
			delete(s.denied, life)
			continue
		}
		s.denied[life] = now
	}
}

// Ticket returns the ticket with which the step may start on a worker.
func (a *Approvals) Ticket(now time.Time, id StepID, life string) (string, bool) {
	s := a.steps[id]
	if s == nil {
		return "", false
	}
	t, ok := s.tickets[life]
	return t.text, ok && now.Before(t.until)
}

// Forget drops what is known of submissions that have ended.
func (a *Approvals) Forget(book *submission.Book) {
	for id := range a.steps {
		if s, ok := book.Submission(id.Submission); !ok || s.State.Ended() {
			delete(a.steps, id)
		}
	}
}

// Question is a call of the advice service.
type Question struct {
	Step    StepID
	Workers []string // lives
}

// Questions returns the calls that bring waiting steps forward, the most
// urgent first.
func (a *Approvals) Questions(now, wall time.Time, book *submission.Book, workers []Worker) []Question {
	r := newRound(now, makeNodes(book, workers), nil)
	var out []Question
	for _, it := range waiting(now, wall, book) {
		if !it.s.Advised {
			continue
		}
		id := StepID{Submission: it.s.ID, Occurrence: it.occurrence, Step: it.step}
		if named := a.worthAsking(id, it, r); len(named) > 0 {
			out = append(out, Question{Step: id, Workers: named})
		}
	}
	return out
}

// worthAsking returns the workers that could take the step's tasks, if those
// that are approved cannot.
func (a *Approvals) worthAsking(id StepID, it item, r *round) []string {
	step := &it.s.Steps[it.step]
	var fit []*node
	for _, n := range r.nodes {
		if r.obstacle(n, it.s, step, 0) != 0 {
			continue
		}
		if _, ok := a.Ticket(r.now, id, n.Life); ok {
			return nil
		}
		if s := a.steps[id]; s != nil {
			if at, denied := s.denied[n.Life]; denied && r.now.Sub(at) < _askAgain {
				continue
			}
		}
		fit = append(fit, n)
	}
	slices.SortStableFunc(fit, func(x, y *node) int {
		if x.cost(step, nil) < y.cost(step, nil) {
			return -1
		}
		return 1
	})
	var out []string
	for _, n := range fit[:min(len(fit), _askWorkers)] {
		out = append(out, n.Life)
	}
	return out
}
