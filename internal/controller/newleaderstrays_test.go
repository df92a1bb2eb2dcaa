package controller

import (
	"testing"
	"time"
)

// TestNewLeaderKnowsStrays guards against a second run beside a stray one that only the
// former leader has heard of.
func TestNewLeaderKnowsStrays(t *testing.T) {
	l := newDrivenLeader(t)
	l.endFirstRun()
	l.attach(report("m1/w/2", l.run(1)))
	l.restart()
	l.dispatchBeside(0)
	if runs := l.activeRuns(); len(runs) > 0 {
		t.Errorf("%v were started while the worker has run 1", runs)
	}
}

// TestTaskOfStrayStartsUnderNewLeader guards against a task that waits for ever for a stray run that
// has ended, or whose agent is lost.
func TestTaskOfStrayStartsUnderNewLeader(t *testing.T) {
	for _, tc := range []struct {
		name    string
		back    bool // the agent, whose worker does not have the run any more
		changes int  // of the leader
		after   time.Duration
	}{{"agent is back", true, 1, 0}, {"agent is lost", false, 1, 24 * time.Second}, {"agent is lost beside changes of the leader", false, 8, 35 * time.Second}} {
		t.Run(tc.name, func(t *testing.T) {
			l := newDrivenLeader(t)
			l.core.sessions.lateStarts.window = _testLateStartWindow
			l.endFirstRun()
			l.core.detach(l.attach(report("m1/w/2", l.run(1))))
			l.commit()
			since := l.now
			for range tc.changes {
				l.elapse(3 * time.Second)
				l.changeLeader()
			}
			if tc.back {
				l.attach(report("m1/w/2"))
				l.commit()
			}
			for l.now.Sub(since) < tc.after {
				l.dispatchBeside(0)
				if runs := l.activeRuns(); len(runs) > 0 && l.now.Sub(since) < _testLateStartWindow {
					t.Fatalf("%v were started %s after the worker had run 1", runs, l.now.Sub(since))
				}
				l.elapse(500 * time.Millisecond)
			}
			l.dispatchBeside(0)
			if runs := l.activeRuns(); len(runs) != 1 {
				t.Errorf("the record has the runs %v, want one", runs)
			}
		})
	}
}
