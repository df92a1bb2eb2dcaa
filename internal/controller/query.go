package controller

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/replica"
)

// query is a request to run a function in the core's goroutine.
type query struct {
	run  func(*Core, time.Time)
	done chan struct{}
	err  error // set before done is closed
}

var errStopped = errors.New("the controller has stopped")

// Do runs a function in the core's goroutine, which owns the state. It returns an
// error if the function has panicked.
func (c *Core) Do(ctx context.Context, run func(*Core, time.Time)) error {
	q := &query{run: run, done: make(chan struct{})}
	select {
	case c.queries <- q:
	case <-c.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	<-q.done
	return q.err
}

// runQuery runs a query after applying all committed entries: messages of the
// same iteration may have committed entries that are not applied yet.
func (c *Core) runQuery(q *query) {
	c.processReady()
	defer close(q.done)
	defer func() {
		if v := recover(); v != nil {
			c.logPanic("query", v, string(debug.Stack()))
			q.err = fault.New(fault.Internal, "the query failed unexpectedly: %v", v)
		}
	}()
	q.run(c, clock.Now())
}

// logPanic logs a panic that ended one call.
func (c *Core) logPanic(call string, value any, stack string) {
	c.log.Emit(event.CallPanicked, event.Fields{"call": call, "error": fmt.Sprint(value), "stack": stack}, "a call failed unexpectedly")
}

// step passes another replica's message to the replica, unless the disk has failed.
func (c *Core) step(now time.Time, m replica.Message) {
	if c.diskErr != nil {
		c.observe(now, m)
		return
	}
	if err := c.replica.Step(now, m); err != nil {
		c.log.Emit(event.PeerMessageRefused, event.Fields{"from": string(m.From), "term": m.Term, "error": err.Error()}, "malformed message from a replica was refused")
	}
}
