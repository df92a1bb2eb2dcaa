package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// TestThawedAgentsRunIsNotSettled guards against a second run of a task whose start call an agent
// has made again, as it seems, after it had stood still: the time after which its run was reported
// to be settled has gone by meanwhile.
func TestThawedAgentsRunIsNotSettled(t *testing.T) {
	l, sess := newLeaderOfLastingRun(t)
	l.core.sessions.lateStarts.remove(l.run(1))
	reportSettlesIn := func(d time.Duration) {
		l.core.handleReport(l.now, sess, &pb.AgentReport{Sent: 1, Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run(1)), SettlesIn: int64(d)}}})
	}
	reportSettlesIn(17 * time.Second)
	l.elapse(20 * time.Second)
	if runs := l.activeRuns(); len(runs) != 1 {
		t.Fatalf("the record has the runs %v, want run 1 until no late call is left", runs)
	}
	reportSettlesIn(_testLateStartWindow) // the call that was under way has failed
	l.core.detach(sess)
	l.elapse(6 * time.Second)
	if runs := l.activeRuns(); len(runs) != 1 {
		t.Errorf("the record has the runs %v, want run 1 while its start may be late", runs)
	}
}

// TestRecordOfThawedAgentsRunIsTakenBack guards against a next leader that ends such a run at once,
// since it is recorded as settled.
func TestRecordOfThawedAgentsRunIsTakenBack(t *testing.T) {
	l, sess := newLeaderOfLastingRun(t)
	l.core.sessions.lateStarts.remove(l.run(1))
	reportSettlesIn := func(d time.Duration) {
		l.core.handleReport(l.now, sess, &pb.AgentReport{Sent: 1, Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run(1)), SettlesIn: int64(d)}}})
	}
	reportSettlesIn(time.Second)
	for range 30 {
		l.recordSettled()
	}
	if !l.isRecordedSettled() {
		t.Fatal("run 1 is not recorded as settled after the time that its agent has reported")
	}
	reportSettlesIn(_testLateStartWindow)
	l.commit()
	if l.isRecordedSettled() {
		t.Error("run 1 is recorded as settled, and its agent says that a call may start it")
	}
}

// TestEndOfThawedAgentsRunIsLate guards against a second run of a task beside one that has ended: the
// time after which its agent said that it would be settled has passed, and a call for it has failed since.
func TestEndOfThawedAgentsRunIsLate(t *testing.T) {
	l, sess := newLeaderOfLastingRun(t)
	l.core.sessions.lateStarts.remove(l.run(1))
	l.core.handleReport(l.now, sess, &pb.AgentReport{Sent: 1, Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run(1)), SettlesIn: int64(time.Second)}}})
	l.pass(2 * time.Second)
	end := &pb.ListedEnd{Number: 1, Run: wire.EncodeRun(l.run(1)), How: uint32(submission.Failed), LateFor: int64(12 * time.Second)}
	l.core.handleReport(l.now, sess, &pb.AgentReport{Ends: []*pb.ListedEnd{end}})
	l.commit()
	if late := l.core.machine.Submissions().LateRuns(); len(late) != 1 {
		t.Errorf("the record has the late runs %v, want run 1, which a call may start again", late)
	}
}
