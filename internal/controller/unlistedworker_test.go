package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// unlisted returns a report of an agent whose worker has not listed its runs.
func unlisted(incarnation string) *pb.AgentReport {
	return &pb.AgentReport{Sent: 1, Worker: &pb.WorkerLife{Life: incarnation, Silent: true}}
}

// reportFor lets an agent whose worker has not listed its runs report for a while, and the
// leader end the runs whose leases have expired.
func (l *drivenLeader) reportFor(sess *session, d time.Duration) {
	l.Helper()
	for end := l.now.Add(d); l.now.Before(end); {
		l.pass(100 * time.Millisecond)
		l.core.handleReport(l.now, sess, unlisted(sess.worker.Incarnation))
		l.core.endExpiredRuns(l.now)
		l.commit()
	}
}

// newLeaderOfSettledRun returns a leader whose task has had a run for a while, which its agent
// has reported as settled, and the agent's session. The task is not a long-running one.
func newLeaderOfSettledRun(t *testing.T) (*drivenLeader, *session) {
	t.Helper()
	l := newDrivenLeader(t)
	l.core.sessions.lateStarts.window = _testLateStartWindow
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	l.core.handleReport(l.now, sess, &pb.AgentReport{Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run(1)), Settled: true}}})
	l.pass(_minSettledAge)
	l.recordSettled()
	l.core.handleReport(l.now, sess, &pb.AgentReport{Sent: 1}) // which renews the lease
	return l, sess
}

// TestRunsOfUnlistedWorkerEnd guards against runs that never end: their agent has restarted
// and is there, and the worker never answers it.
func TestRunsOfUnlistedWorkerEnd(t *testing.T) {
	l := newDrivenLeader(t)
	l.core.sessions.lateStarts.window = 22 * time.Second
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	next := l.attach(&pb.AgentReport{Worker: report("m1/w/1").GetWorker()})
	for range 150 { // 60 s
		l.now = l.now.Add(400 * time.Millisecond)
		l.answerHeartbeat()
		l.core.handleReport(l.now, next, &pb.AgentReport{Sent: 1, Worker: &pb.WorkerLife{Life: "m1/w/1", Silent: true}})
		l.core.dispatchTasks(l.now)
		l.commit()
	}
	if runs := l.activeRuns(); len(runs) > 0 {
		t.Errorf("the record has the runs %v of a worker that has answered nobody for 60 s", runs)
	}
}

// TestSettledRunsOfUnlistedWorkerEndWithTheirLease guards against tasks that wait for a late
// call which can't come: leader and agent have restarted, and the worker never answers again.
func TestSettledRunsOfUnlistedWorkerEndWithTheirLease(t *testing.T) {
	for _, tc := range []struct {
		name          string
		leaderChanges int
	}{{"the same leader", 0}, {"another leader", 1}, {"three leaders", 3}} {
		t.Run(tc.name, func(t *testing.T) {
			l, sess := newLeaderOfSettledRun(t)
			l.core.detach(sess)
			for range tc.leaderChanges {
				l.changeLeader()
			}
			next := l.attach(unlisted("m1/w/1"))
			lease := l.core.sessions.maxLease()
			l.reportFor(next, lease-500*time.Millisecond)
			if runs := l.activeRuns(); len(runs) != 1 {
				t.Fatalf("the record has the runs %v, want run 1 while the earlier agent's lease may last", runs)
			}
			l.reportFor(next, 2*time.Second)
			if runs := l.activeRuns(); len(runs) > 0 {
				t.Errorf("the record has the runs %v, want none after the earlier agent's lease", runs)
			}
		})
	}
}

// TestUnlistedAgentGetsNoLease guards against a second run of a task: an agent that was granted
// a lease which the leader doesn't count could pass it on when its worker answers at last.
func TestUnlistedAgentGetsNoLease(t *testing.T) {
	l, sess := newLeaderOfSettledRun(t)
	l.core.detach(sess)
	l.changeLeader()
	next := l.attach(unlisted("m1/w/1"))
	l.reportFor(next, time.Second)
	orders, _ := next.outbox.popAll()
	for _, o := range orders {
		if o.GetLease() != 0 || o.GetSent() != 0 {
			t.Fatalf("order %v grants a lease to an agent whose worker has not listed its runs", o)
		}
	}
}

// TestEndsOfUnlistedWorkerRenewLease guards against runs that lapse while their restarted agent
// needs several listings for all ends of its worker.
func TestEndsOfUnlistedWorkerRenewLease(t *testing.T) {
	l, sess := newLeaderOfSettledRun(t)
	l.core.detach(sess)
	l.changeLeader()
	next := l.attach(unlisted("m1/w/1"))
	orderedRuns(next)
	for n := range uint64(20) {
		l.pass(500 * time.Millisecond)
		ended := submission.RunID{Task: submission.TaskID{Submission: "other"}, Number: uint32(n) + 1}
		in := &pb.AgentReport{Sent: 1, Ends: []*pb.ListedEnd{{Number: n + 1, Run: wire.EncodeRun(ended), How: uint32(submission.Done)}}}
		l.core.handleReport(l.now, next, in)
		orders, _ := next.outbox.popAll()
		if len(orders) != 1 || orders[0].GetLease() == 0 {
			t.Fatalf("orders %v, want a lease", orders)
		}
		l.core.dispatchTasks(l.now)
		l.commit()
	}
	if runs := l.activeRuns(); len(runs) != 1 {
		t.Errorf("the record has the runs %v, want run 1", runs)
	}
	l.reportFor(next, l.core.sessions.maxLease()+2*time.Second) // no further listing
	if runs := l.activeRuns(); len(runs) > 0 {
		t.Errorf("the record has the runs %v, want none when the worker lists no more", runs)
	}
}

// TestLateListingKeepsRun guards against a second run of a task whose worker answers its
// restarted agent late, while its lease lasts.
func TestLateListingKeepsRun(t *testing.T) {
	l, sess := newLeaderOfSettledRun(t)
	l.core.detach(sess)
	l.changeLeader()
	next := l.attach(unlisted("m1/w/1"))
	l.reportFor(next, l.core.sessions.maxLease()-300*time.Millisecond)
	listed := report("m1/w/1", l.run(1))
	listed.Sent = 1
	l.core.handleReport(l.now, next, listed)
	for range 100 {
		l.pass(100 * time.Millisecond)
		l.core.handleReport(l.now, next, &pb.AgentReport{Sent: 1})
		l.core.dispatchTasks(l.now)
		l.commit()
	}
	if runs := l.activeRuns(); len(runs) != 1 || runs[0].Run != l.run(1) {
		t.Errorf("the record has the runs %v, want run 1, which its worker has listed", runs)
	}
}

// TestYoungRunIsNotRecordedAsSettled guards against an entry in the log for each short task.
func TestYoungRunIsNotRecordedAsSettled(t *testing.T) {
	l := newDrivenLeader(t)
	l.core.sessions.lateStarts.window = _testLateStartWindow
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	l.core.handleReport(l.now, sess, &pb.AgentReport{Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run(1)), Settled: true}}})
	l.pass(_minSettledAge / 2)
	l.recordSettled()
	if l.core.isSettled(l.run(1)) {
		t.Error("the run is recorded as settled before its task has lasted")
	}
	l.pass(_minSettledAge)
	l.recordSettled()
	if !l.core.isSettled(l.run(1)) {
		t.Error("the run is not recorded as settled")
	}
}
