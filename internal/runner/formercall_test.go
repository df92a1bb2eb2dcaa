package runner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/submission"
)

// startBesideFormerCall returns an agent that has restarted together with its worker, which has
// carried out a late call of the earlier agent, for the former incarnation: its lease end is an
// hour away on the clock of this one, so the worker has taken the longest lease. Run 2 was
// started after that.
func startBesideFormerCall(t *testing.T) (r *Runner, l *stubLeader, held time.Time) {
	t.Helper()
	_, w, l := newReturningRunner(t)
	w.set(func() { w.began = w.began.Add(-time.Hour) })
	l.settle()
	holdStart(t, w, l)
	w.set(func() { w.hold = false })
	next := w.restart()
	w.carryOutHeld()
	held = clock.Now().Add(6 * time.Second) // the maxLease of newRunner
	r = newRunnerBeside(t, w)
	r.callDelay, r.began = 10*time.Second, clock.Now()
	r.lease.assumeHeld(clock.Now(), _maxWorkerLease) // as Start does
	l.r = r
	r.announceIncarnation(next)
	l.settle()
	l.exchange(2)
	w.waitForStarts(t, 2)
	r.waitForAnswer(t, testRun(2))
	return r, l, held
}

// TestRunBesideFormerCallIsReportedAsUnsettled guards against a leader that ends a run with the
// grant: a late call of an earlier agent, for the former incarnation, prolongs its lease.
func TestRunBesideFormerCallIsReportedAsUnsettled(t *testing.T) {
	r, l, held := startBesideFormerCall(t)
	report, _ := r.nextReport(&l.s)
	a := activeRun(report, testRun(2))
	if until := clock.Now().Add(time.Duration(a.GetSettlesIn())); a == nil || until.Before(held) {
		t.Errorf("the run is reported as %v, so settled %s before its lease ends", a, held.Sub(until))
	}
}

// TestRunBesideFormerCallOutlivesLease guards against the end of such a run while polls have no
// answer.
func TestRunBesideFormerCallOutlivesLease(t *testing.T) {
	r, _, _ := startBesideFormerCall(t)
	late := clock.Now().Add(_maxWorkerLease + 100*time.Millisecond)
	r.failPolls(late, context.DeadlineExceeded, context.DeadlineExceeded, context.DeadlineExceeded)
	if end := r.inferredEnd(testRun(2)); end.Reason != 0 {
		t.Errorf("the run is %s after %s; its worker has given it %s", end.Reason, _maxWorkerLease, r.maxLease)
	}
}

// TestFormerCallsAreAssumedOnYoungWorkersOnly guards against both sides: a lease that an earlier
// agent's late call may have given and that is not waited for, and tasks that wait for it on each
// agent that is replaced while its worker goes on.
func TestFormerCallsAreAssumedOnYoungWorkersOnly(t *testing.T) {
	const (
		callDelay = 12 * time.Second
		maxLease  = 6 * time.Second
		drift     = 122 * time.Millisecond // of a clock that shows maxLease and is 2% slow
	)
	for _, tc := range []struct {
		agent, worker time.Duration // ages
		clockOrigin   time.Duration // that of the worker's clock at its start
		held          time.Duration // after the listing; 0 for none
	}{
		{agent: time.Second, worker: time.Second, held: maxLease + drift},
		{agent: time.Second, worker: time.Second, clockOrigin: time.Hour, held: maxLease + drift},
		{agent: time.Second, worker: 11 * time.Second, held: maxLease + drift},
		{agent: 11 * time.Second, worker: time.Second, held: maxLease + drift},
		{agent: 14 * time.Second, worker: time.Second, held: 4*time.Second + drift},
		{agent: 20 * time.Second, worker: time.Second},
		{agent: time.Second, worker: 24 * time.Second, held: 4*time.Second + drift},
		{agent: time.Second, worker: time.Minute},
	} {
		t.Run(fmt.Sprintf("agent of %s, worker of %s", tc.agent, tc.worker), func(t *testing.T) {
			r := newRunner(t, &fakeWorker{})
			now := clock.Now()
			r.reset()
			r.maxLease, r.callDelay, r.began = maxLease, callDelay, now.Add(-tc.agent)
			r.incarnation = Incarnation{ID: "w", StartTimeMS: now.Add(-tc.worker).UnixMilli()}
			r.token = token{term: 1, attachment: 2}
			r.polledToken = r.token
			r.recordListing(now, now, Listing{Clock: tc.clockOrigin + tc.worker})
			if held := max(r.lease.heldUntil.Sub(now), 0).Round(time.Millisecond); held != tc.held {
				t.Errorf("a lease of %s is assumed, want %s", held, tc.held)
			}
		})
	}
}

// TestLongestLeaseLastsLongerOnSlowClock guards against a second run of a task beside one whose
// worker has a slow clock: the longest lease counts on that.
func TestLongestLeaseLastsLongerOnSlowClock(t *testing.T) {
	r, w, l := newReturningRunner(t)
	w.set(func() { w.active[testRun(1)] = true }) // nobody here has started it
	l.poll()
	found := clock.Now()
	r.failPolls(found.Add(6100*time.Millisecond), context.DeadlineExceeded, context.DeadlineExceeded, context.DeadlineExceeded)
	if end := r.inferredEnd(testRun(1)); end.Reason != 0 {
		t.Errorf("the run is %s 6.1 s after it was found, want it to hold its lease of 6 s on a clock that is 2%% slow", end.Reason)
	}
	r.failPolls(found.Add(6200*time.Millisecond), context.DeadlineExceeded, context.DeadlineExceeded, context.DeadlineExceeded)
	if end := r.inferredEnd(testRun(1)); end.Reason != submission.LeaseExpired {
		t.Errorf("the run has the end %s 6.2 s after it was found, want that its lease has expired", end.Reason)
	}
}
