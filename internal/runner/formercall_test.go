package runner

import (
	"context"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
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
	skipKnownRed(t)
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
	skipKnownRed(t)
	r, _, _ := startBesideFormerCall(t)
	late := clock.Now().Add(_maxWorkerLease + 100*time.Millisecond)
	r.failPolls(late, context.DeadlineExceeded, context.DeadlineExceeded, context.DeadlineExceeded)
	if end := r.inferredEnd(testRun(2)); end.Reason != 0 {
		t.Errorf("the run is %s after %s; its worker has given it %s", end.Reason, _maxWorkerLease, r.maxLease)
	}
}
