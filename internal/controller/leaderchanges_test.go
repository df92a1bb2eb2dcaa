package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// TestRunsOfLostMachineEndBesideLeaderChanges guards against tasks that wait for ever, since
// each new leader waits for late calls of a machine that nobody has heard of for minutes.
func TestRunsOfLostMachineEndBesideLeaderChanges(t *testing.T) {
	l := newDrivenLeader(t)
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	l.core.handleReport(l.now, sess, &pb.AgentReport{Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run(1)), Settled: true}}})
	for range 8 {
		l.restart()
		l.core.sessions.lateStarts.window, l.core.sessions.leaderSince = 22*time.Second, l.now
		l.now = l.now.Add(20 * time.Second)
		l.answerHeartbeat()
		l.core.endExpiredRuns(l.now)
		l.commit()
	}
	if runs := l.activeRuns(); len(runs) > 0 {
		t.Errorf("the record has the runs %v of a machine that was last heard of 160 s ago", runs)
	}
}
