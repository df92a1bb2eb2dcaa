package controller

import (
	"testing"
)

// TestNewLeaderKnowsStrays guards against a second run beside a stray one that only the
// former leader has heard of.
func TestNewLeaderKnowsStrays(t *testing.T) {
	skipKnownRed(t)
	l := newDrivenLeader(t)
	l.endFirstRun()
	l.attach(report("m1/w/2", l.run(1)))
	l.restart()
	l.dispatchBeside(0)
	if runs := l.activeRuns(); len(runs) > 0 {
		t.Errorf("%v were started while the worker has run 1", runs)
	}
}
