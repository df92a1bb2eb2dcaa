package runner

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/submission"
)

// reportedHold returns the time for which the latest report lets a start call without an
// answer give the run a lease. ok is false if the agent reports no such run as active.
func (l *stubLeader) reportedHold(run submission.RunID) (d time.Duration, ok bool) {
	l.attach()
	report, _ := l.r.nextReport(&l.s)
	for _, a := range report.GetActive() {
		if wire.DecodeRun(a.GetRun()) == run {
			return time.Duration(a.GetMayHold()), true
		}
	}
	return 0, false
}

// TestStartWithoutAnswerIsReportedWithItsHold guards against a leader that ends a run
// with its agent's lease although a late start may still give the run another lease.
func TestStartWithoutAnswerIsReportedWithItsHold(t *testing.T) {
	const callDelay = 10 * time.Second
	for _, tc := range []struct {
		name     string
		lost     bool // the first call gets no answer
		restart  bool // the agent restarts after the start
		wantHold bool
	}{
		{name: "every call answered"},
		{name: "first call without an answer", lost: true, wantHold: true},
		{name: "call of an earlier agent", restart: true, wantHold: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, w, l := newReturningRunner(t)
			r.callDelay = callDelay
			if tc.lost {
				holdStart(t, w, l)
				w.set(func() { w.hold = false })
			} else {
				l.exchange(1)
			}
			eventually(t, "the run is active", func() bool { return w.runs(testRun(1)) })
			if tc.restart {
				r = newRunnerBeside(t, w)
				r.callDelay, r.began = callDelay, clock.Now()
				l.r = r
				r.announceIncarnation(w.incarnation)
			}
			var hold time.Duration
			eventually(t, "the run is reported", func() (ok bool) {
				l.settle()
				hold, ok = l.reportedHold(testRun(1))
				return ok
			})
			if hold > callDelay+r.maxLease || (hold > 0) != tc.wantHold {
				t.Errorf("the run may hold a lease for another %s; want one: %t", hold, tc.wantHold)
			}
		})
	}
}
