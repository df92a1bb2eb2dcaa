package controller

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/internal/event"
)

// _adviceLimit bounds one call for advice: the longest that the users' pages
// name takes 100 workers at some milliseconds each, and calls wait in turn.
const _adviceLimit = 3 * time.Second

// _adviceEvery is the least time between two looks for steps that need advice.
const _adviceEvery = 20 * time.Millisecond

// Adviser tells which workers may run a step.
type Adviser interface {
	// Advise returns tickets by worker, and for how long they are valid.
	Advise(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
}

// advice makes the calls, one at a time, since the service takes one at a time
// from each machine.
type advice struct {
	adviser  Adviser // nil if there is none
	asking   bool
	lastLook time.Time
	answers  chan adviceAnswer // size one
	calls    sync.WaitGroup
}

type adviceAnswer struct {
	question dispatch.Question
	tickets  map[string]string // by life
	validity time.Duration
	err      error
}

// seekAdvice makes the next call for advice, if one is due.
func (c *Core) seekAdvice(now time.Time, workers []dispatch.Worker) {
	if c.advice.adviser == nil || c.advice.asking || now.Sub(c.advice.lastLook) < _adviceEvery {
		return
	}
	c.advice.lastLook = now
	c.sessions.approvals.Forget(c.machine.Submissions())
	questions := c.sessions.approvals.Questions(now, time.Now(), c.machine.Submissions(), workers)
	if len(questions) == 0 {
		return
	}
	c.advice.asking = true
	q := questions[0]
	c.advice.calls.Go(func() { c.advice.answers <- ask(c.advice.adviser, q) })
}

func ask(a Adviser, q dispatch.Question) adviceAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), _adviceLimit)
	defer cancel()
	lives := make(map[string]string, len(q.Workers))
	ids := make([]string, 0, len(q.Workers))
	for _, life := range q.Workers {
		id := workerOf(life)
		lives[id] = life
		ids = append(ids, id)
	}
	step := fmt.Sprintf("%s.%d.%d", q.Step.Submission, q.Step.Occurrence, q.Step.Step)
	tickets, validity, err := a.Advise(ctx, step, ids)
	out := adviceAnswer{question: q, tickets: make(map[string]string), validity: validity, err: err}
	for id, ticket := range tickets {
		out.tickets[lives[id]] = ticket
	}
	return out
}

// workerOf returns the worker's identifier in the name of a life.
func workerOf(life string) string {
	parts := strings.Split(life, "/")
	if len(parts) < 2 {
		return life
	}
	return parts[1]
}

// advised takes in the answer of a call.
func (c *Core) advised(now time.Time, a adviceAnswer) {
	c.advice.asking = false
	fields := event.Fields{
		"submission": a.question.Step.Submission, "occurrence": a.question.Step.Occurrence, "step": a.question.Step.Step,
		"asked": len(a.question.Workers), "approved": len(a.tickets),
	}
	if a.err != nil {
		fields["error"] = a.err.Error()
		c.log.Emit(event.AdviceFailed, fields, "a call for advice failed; it is made again")
		return
	}
	c.log.Emit(event.AdviceGiven, fields, "workers were approved for a step")
	c.sessions.approvals.Add(now, a.question.Step, a.question.Workers, a.tickets, a.validity)
	c.sessions.changed = true
}
