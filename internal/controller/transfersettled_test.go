package controller

import (
	"testing"
	"time"
)

// TestSettlementIsNotProposedDuringTransfer guards against a failed proposal for each check.
func TestSettlementIsNotProposedDuringTransfer(t *testing.T) {
	l, sess := newLeaderOfLastingRun(t)
	if err := l.core.replica.TransferLeadership(l.now); err != nil {
		t.Fatal(err)
	}
	l.pass(100 * time.Millisecond)
	l.core.dispatchTasks(l.now)
	if l.core.sessions.byIncarnation["m1/w/1"] != sess {
		t.Error("the agents' streams were closed to record that a run is settled")
	}
}
