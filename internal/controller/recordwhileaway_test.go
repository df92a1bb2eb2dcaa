package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// TestRunOfLostAgentIsNotRecordedAsSettled guards against a second run of a task while a late
// call for another run, made after the last one for this, prolongs its lease: the time after
// which the run was reported to be settled goes by while its agent is away.
func TestRunOfLostAgentIsNotRecordedAsSettled(t *testing.T) {
	l, sess := newLeaderOfLastingRun(t)
	l.core.sessions.lateStarts.remove(l.run(1))
	unsettled := &pb.ListedRun{Run: wire.EncodeRun(l.run(1)), SettlesIn: int64(8 * time.Second)}
	l.core.handleReport(l.now, sess, &pb.AgentReport{Active: []*pb.ListedRun{unsettled}})
	l.pass(3 * time.Second)
	l.core.handleReport(l.now, sess, &pb.AgentReport{Sent: 1}) // the agent's latest grant
	l.core.detach(sess)
	for end := l.now.Add(_testLateStartWindow); l.now.Before(end); {
		l.pass(100 * time.Millisecond)
		l.core.dispatchTasks(l.now)
		l.core.endExpiredRuns(l.now)
		l.commit()
		if runs := l.activeRuns(); len(runs) != 1 {
			t.Fatalf("run 1 has ended %s before the end of the lease that a late call may give it, recorded as settled", end.Sub(l.now))
		}
	}
}
