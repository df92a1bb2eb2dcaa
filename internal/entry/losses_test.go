package entry

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

var (
	errLostWhileRunning = fault.Wrap(fault.AgentLost, io.EOF, "connection broke")
	errNotSent          = fault.Wrap(fault.AgentLost, io.EOF, "connection broke").WithRan(fault.RanNo)
)

// TestRequestStopsAfterLosingWorkers guards against a request that crashes one target
// after the other.
func TestRequestStopsAfterLosingWorkers(t *testing.T) {
	tests := []struct {
		name string
		errs []error
		want bool // another worker may be asked
	}{
		{name: "one lost while running", errs: []error{errLostWhileRunning}, want: true},
		{name: "two lost while running", errs: []error{errLostWhileRunning, errLostWhileRunning}},
		{name: "target broke the connection twice", errs: []error{fault.Wrap(fault.TargetFailed, io.EOF, "send"), fault.Wrap(fault.TargetFailed, io.EOF, "send")}},
		{name: "not sent to any", errs: []error{errNotSent, errNotSent, errNotSent}, want: true},
		{name: "one lost while running, others not sent", errs: []error{errNotSent, errLostWhileRunning, errNotSent}, want: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := &call{idempotent: true}
			got := false
			for _, err := range tc.errs {
				got = c.canRetry(context.Background(), err)
			}
			if got != tc.want {
				t.Errorf("another worker may be asked: %t, want %t", got, tc.want)
			}
		})
	}
}

// TestWatchThatLosesItsWorkersSlowsDown guards against a watch that crashes each
// target that it opens at, again and again.
func TestWatchThatLosesItsWorkersSlowsDown(t *testing.T) {
	tests := []struct {
		name     string
		open     time.Duration
		advanced bool
		err      error
		wantSlow bool
	}{
		{name: "lost at once, without events", open: 20 * time.Millisecond, err: errLostWhileRunning, wantSlow: true},
		{name: "lost at once, after an event", open: 20 * time.Millisecond, advanced: true, err: errLostWhileRunning},
		{name: "open for a while, without events", open: time.Minute, err: errLostWhileRunning},
		{name: "workers refuse", open: time.Millisecond, err: errNotSent},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var r resumption
			opened := 0
			for now := time.Duration(0); now < 10*time.Minute; opened++ {
				now += tc.open + r.next(tc.open, tc.advanced, tc.err)
			}
			if slow := r.delay > _maxResumeDelay; slow != tc.wantSlow {
				t.Errorf("the delay is %s; want slow: %t", r.delay, tc.wantSlow)
			}
			if limit := 30; tc.wantSlow && opened > limit {
				t.Errorf("opened %d times in ten minutes", opened)
			}
		})
	}
}
