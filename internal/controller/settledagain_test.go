package controller

import "testing"

// TestRunIsRecordedAsSettledAgain guards against a settled run that is never recorded as such
// any more: its session was replaced while the record was to be changed.
func TestRunIsRecordedAsSettledAgain(t *testing.T) {
	l, sess := newLeaderOfLastingRun(t)
	l.recordSettled()
	l.recordSettled()
	l.core.detach(sess)
	l.core.detach(l.attach(report("m1/w/1"))) // lacks run 1
	next := report("m1/w/1", l.run(1))
	next.Active[0].Settled = true
	l.attach(next)
	l.commit()
	for range 10 {
		l.recordSettled()
	}
	if !l.isRecordedSettled() {
		t.Error("run 1 is not recorded as settled a second after its agent has reported it so")
	}
}
