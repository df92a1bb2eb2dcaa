package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

func (l *drivenLeader) isRecordedSettled() bool {
	s, _ := l.core.machine.Submissions().Submission("s1")
	return s.IsSettled(l.run(1))
}

// TestLateReportOfFormerStreamSettlesNothing guards against a stray run on the next incarnation
// that counts as settled because of a report that a later stream has overtaken.
func TestLateReportOfFormerStreamSettlesNothing(t *testing.T) {
	l, former := newLeaderOfLastingRun(t)
	next := l.attach(report("m1/w/2", l.run(1))) // not settled
	l.core.handleReport(l.now, former, &pb.AgentReport{Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run(1)), Settled: true}}})
	l.recordSettled()
	if l.isRecordedSettled() {
		t.Error("run 1 is recorded as settled while the next incarnation has it")
	}
	l.core.detach(former)
	l.core.detach(next)
	l.elapse(6 * time.Second)
	if runs := l.activeRuns(); len(runs) != 1 {
		t.Errorf("the record has the runs %v, want run 1 while a late call may prolong its lease", runs)
	}
}
