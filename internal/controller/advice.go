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

// _adviceRequestTimeout bounds one advice request: the longest documented
// request asks about 100 workers at a few milliseconds each, and the advice
// service handles requests in turn.
const _adviceRequestTimeout = 3 * time.Second

// _adviceInterval is the minimum time between searches for steps that need advice.
const _adviceInterval = 20 * time.Millisecond

// AdviceClient is a client of the advice service, which approves workers for a
// step.
type AdviceClient interface {
	// Advise returns tickets by worker ID and the time for which the tickets are
	// valid.
	Advise(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
}

// advice sends one advice request at a time, since the advice service accepts
// one at a time from each machine.
type advice struct {
	client     AdviceClient // nil if there is none
	requesting bool
	lastCheck  time.Time
	results    chan adviceResult // size one
	requests   sync.WaitGroup
}

type adviceResult struct {
	request  dispatch.AdviceRequest
	tickets  map[string]string // by worker incarnation
	validity time.Duration
	err      error
}

// requestAdvice sends the next advice request, if one is due.
func (c *Core) requestAdvice(at dispatch.Clocks) {
	if c.advice.client == nil || c.advice.requesting || at.Now.Sub(c.advice.lastCheck) < _adviceInterval {
		return
	}
	c.advice.lastCheck = at.Now
	c.sessions.scheduler.PruneAdvice(c.machine.Submissions())
	request, ok := c.sessions.scheduler.NextAdviceRequest(at, c.machine.Submissions())
	if !ok {
		return
	}
	c.advice.requesting = true
	c.advice.requests.Go(func() { c.advice.results <- sendAdviceRequest(c.advice.client, request) })
}

func sendAdviceRequest(client AdviceClient, request dispatch.AdviceRequest) adviceResult {
	ctx, cancel := context.WithTimeout(context.Background(), _adviceRequestTimeout)
	defer cancel()
	incarnations := make(map[string]string, len(request.Workers))
	ids := make([]string, 0, len(request.Workers))
	for _, incarnation := range request.Workers {
		id := workerID(incarnation)
		incarnations[id] = incarnation
		ids = append(ids, id)
	}
	step := fmt.Sprintf("%s.%d.%d", request.Step.Submission, request.Step.Occurrence, request.Step.Step)
	tickets, validity, err := client.Advise(ctx, step, ids)
	out := adviceResult{request: request, tickets: make(map[string]string), validity: validity, err: err}
	for id, ticket := range tickets {
		out.tickets[incarnations[id]] = ticket
	}
	return out
}

// workerID returns the worker's identifier within an incarnation.
func workerID(incarnation string) string {
	parts := strings.Split(incarnation, "/")
	if len(parts) < 2 {
		return incarnation
	}
	return parts[1]
}

// handleAdvice records the result of an advice request.
func (c *Core) handleAdvice(now time.Time, a adviceResult) {
	c.advice.requesting = false
	fields := event.Fields{
		"submission": a.request.Step.Submission, "occurrence": a.request.Step.Occurrence, "step": a.request.Step.Step,
		"asked": len(a.request.Workers), "approved": len(a.tickets),
	}
	if a.err != nil {
		fields["error"] = a.err.Error()
		c.log.Emit(event.AdviceFailed, fields, "advice request failed; retrying")
		c.sessions.scheduler.RecordAdviceFailure(now, a.request.Step)
		return
	}
	c.log.Emit(event.AdviceGiven, fields, "advice service approved workers for a step")
	c.sessions.scheduler.RecordAdvice(now, a.request.Step, a.request.Workers, a.tickets, a.validity)
	c.sessions.changed = true
}
