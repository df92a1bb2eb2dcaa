package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

const _testLateStartWindow = 18 * time.Second

// newLeaderOfLastingRun returns a leader whose long-running task has a run, which its agent has
// reported as settled, and the agent's session.
func newLeaderOfLastingRun(t *testing.T) (*drivenLeader, *session) {
	t.Helper()
	l := newDrivenLeaderOf(t, submission.Step{Count: 1, Needs: submission.Resources{CPU: 1000, Memory: 1}, LongRunning: true, Estimate: time.Second})
	l.core.sessions.lateStarts.window = _testLateStartWindow
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	l.core.handleReport(l.now, sess, &pb.AgentReport{Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run(1)), Settled: true}}})
	return l, sess
}

// recordSettled lets the leader record which runs are settled.
func (l *drivenLeader) recordSettled() {
	l.Helper()
	l.pass(100 * time.Millisecond)
	l.core.dispatchTasks(l.now)
	l.commit()
}

// elapse lets time go by, and the leader end the runs whose leases have expired.
func (l *drivenLeader) elapse(d time.Duration) {
	l.Helper()
	for end := l.now.Add(d); l.now.Before(end); {
		l.pass(100 * time.Millisecond)
		l.core.endExpiredRuns(l.now)
		l.commit()
	}
}

func (l *drivenLeader) changeLeader() {
	l.Helper()
	l.restart()
	l.core.sessions.lateStarts.window, l.core.sessions.leaderSince = _testLateStartWindow, l.now
}

// TestNextLeaderEndsSettledRunsOfLostMachine guards against long-running tasks that have no run
// for as long as a late call may take: their machine was removed, and the leader has changed.
func TestNextLeaderEndsSettledRunsOfLostMachine(t *testing.T) {
	const limit = 6 * time.Second
	l, sess := newLeaderOfLastingRun(t)
	l.recordSettled()
	l.core.detach(sess)
	for range 3 {
		l.elapse(time.Second)
		l.changeLeader()
	}
	if runs := l.activeRuns(); len(runs) != 1 {
		t.Fatalf("the record has the runs %v, want run 1 until its lease has expired", runs)
	}
	l.elapse(limit)
	if runs := l.activeRuns(); len(runs) > 0 {
		t.Errorf("the record has the runs %v %s after the change of leader, want none", runs, limit)
	}
}

// TestRepeatedStartOfSettledRunWaitsForRecord guards against a second run of a task while a
// repeated start may be late: the next leader finds its run recorded as settled.
func TestRepeatedStartOfSettledRunWaitsForRecord(t *testing.T) {
	for _, tc := range []struct {
		name     string
		recorded bool // as settled, and not just proposed
	}{{"recorded", true}, {"proposed", false}} {
		t.Run(tc.name, func(t *testing.T) {
			l, sess := newLeaderOfLastingRun(t)
			l.core.recordSettledRuns(l.now)
			if tc.recorded {
				l.commit()
			}
			l.core.detach(sess)
			next := l.attach(report("m1/w/1"))
			if starts, _ := orderedRuns(next); len(starts) > 0 {
				t.Fatalf("the starts %v were ordered while the record says that run 1 is settled", starts)
			}
			l.commit()
			if starts, _ := orderedRuns(next); len(starts) != 1 || starts[0] != l.run(1) {
				t.Fatalf("the starts %v were ordered, want run 1 again", starts)
			}
			l.core.detach(next)
			l.changeLeader()
			l.elapse(_testLateStartWindow)
			if runs := l.activeRuns(); len(runs) != 1 {
				t.Errorf("the record has the runs %v, want run 1 while its start may be late", runs)
			}
			l.elapse(6 * time.Second)
			if runs := l.activeRuns(); len(runs) > 0 {
				t.Errorf("the record has the runs %v, want none when no call can be late", runs)
			}
		})
	}
}

// TestLateRunIsNotRecordedAsSettled guards against a second run of a task whose former run the
// next incarnation has, or whose start the agent may call again, although it was settled.
func TestLateRunIsNotRecordedAsSettled(t *testing.T) {
	for _, tc := range []struct {
		name   string
		report func(run submission.RunID) *pb.AgentReport
	}{
		{"run of the next incarnation", func(run submission.RunID) *pb.AgentReport { return report("m1/w/2", run) }},
		{"start that is not carried out", func(run submission.RunID) *pb.AgentReport {
			r := report("m1/w/1")
			r.Ordered = []*pb.Run{wire.EncodeRun(run)}
			return r
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, sess := newLeaderOfLastingRun(t)
			l.recordSettled()
			l.core.detach(sess)
			l.core.detach(l.attach(tc.report(l.run(1))))
			l.commit()
			l.changeLeader()
			l.elapse(_testLateStartWindow)
			if runs := l.activeRuns(); len(runs) != 1 {
				t.Errorf("the record has the runs %v, want run 1 while a late call may hold it", runs)
			}
		})
	}
}
