package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/submission"
)

// TestLeaderWithoutLeaseGrantsNothing guards against grants and starts of a leader that is
// frozen or cut off, and that another one may have replaced: its streams are still open.
func TestLeaderWithoutLeaseGrantsNothing(t *testing.T) {
	l := newDrivenLeader(t)
	sess := l.attach(report("m1/w/1"))
	if orders, _ := sess.outbox.popAll(); orders[0].GetLease() == 0 {
		t.Fatal("the leader grants no lease")
	}
	expiry := l.core.sessions.leaseExpiry("m1/w/1")
	l.now = l.now.Add(time.Minute)
	if l.core.replica.Role() != replica.Leader || l.core.replica.HoldsLease(l.now) {
		t.Fatal("want a leader that does not hold its lease")
	}
	l.core.handleReport(l.now, sess, &pb.AgentReport{Sent: 1})
	for orders, _ := sess.outbox.popAll(); len(orders) > 0; orders = orders[1:] {
		if orders[0].GetLease() != 0 {
			t.Error("a lease was granted")
		}
	}
	if got := l.core.sessions.leaseExpiry("m1/w/1"); !got.Equal(expiry) {
		t.Errorf("the worker's lease was extended by %s", got.Sub(expiry))
	}
	if l.core.attach(l.now, report("m2/w/1")) != nil {
		t.Error("an agent was attached")
	}
	last := l.core.replica.LastIndex()
	l.core.sessions.scheduler.SetWorker(l.core.machine.Submissions(), sess.worker)
	l.core.sessions.reportOrder.touch("m1/w/1")
	l.core.dispatchTasks(l.now)
	if l.core.replica.LastIndex() != last {
		t.Error("a start was proposed")
	}
}

// TestNewLeaderWaitsForLeasesOfEarlierLeader guards against runs that a new leader ends
// within the lease that the earlier one may have granted as its last act.
func TestNewLeaderWaitsForLeasesOfEarlierLeader(t *testing.T) {
	l := newDrivenLeader(t)
	l.startFirstRun(l.attach(report("m1/w/1")))
	l.core.sessions.reset(l.now)
	began := l.now
	for _, tc := range []struct {
		after time.Duration
		want  int // active runs
	}{
		{4 * time.Second, 1},                  // the lease
		{4*time.Second + 4*time.Second/20, 1}, // with the drift of the agent's clock
		{30 * time.Second, 0},
	} {
		l.now = began.Add(tc.after)
		l.answerHeartbeat()
		l.core.sessions.lastLeaseSweep = time.Time{}
		l.core.endExpiredRuns(l.now)
		l.commit()
		if got := len(l.activeRuns()); got != tc.want {
			t.Errorf("%s after the election the task has %d active runs, want %d", tc.after, got, tc.want)
		}
	}
}

// TestEndFromAnotherMachineEndsNothing guards against ends on the word of another machine's
// agent: only the worker that has the run, or a later one on its machine, knows its end.
func TestEndFromAnotherMachineEndsNothing(t *testing.T) {
	for _, other := range []string{"m10/w/1", "m/w/1", "m2/w/1"} {
		l := newDrivenLeader(t)
		l.startFirstRun(l.attach(report("m1/w/1")))
		in := report(other)
		in.Ends = []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(l.run(1)), How: uint32(submission.Stopped)}}
		in.Refused = []*pb.RunEnd{wire.EncodeRunEnd(submission.End{Run: l.run(1), Worker: other, Reason: submission.Rejected})}
		in.ListedTerm, in.ListedAttachment = 1, 1
		l.attach(in)
		l.commit()
		if got, want := l.activeRuns(), []submission.Start{{Run: l.run(1), Worker: "m1/w/1"}}; !slices.Equal(got, want) {
			t.Errorf("after a report of %s the record has the runs %v, want %v", other, got, want)
		}
	}
}

// TestRepeatedProposalStartsOneRun guards against two runs of a task whose first start was
// proposed seconds ago and is not recorded yet.
func TestRepeatedProposalStartsOneRun(t *testing.T) {
	l := newDrivenLeader(t)
	sessions := make(map[string]*session)
	place := func(worker string) {
		t.Helper()
		sessions[worker] = l.attach(report(worker))
		last := l.core.replica.LastIndex()
		l.core.dispatchTasks(l.now)
		if l.core.replica.LastIndex() != last+1 {
			t.Fatalf("no start was proposed with %s", worker)
		}
	}
	place("m1/w/1")
	l.pass(_proposalRetryDelay + time.Second)
	l.core.sessions.dropSilentWorkers(l.now)
	place("m2/w/1")
	l.commit()
	if runs := l.activeRuns(); len(runs) != 1 {
		t.Errorf("the record has the runs %v, want one", runs)
	}
	ordered := 0
	for _, sess := range sessions {
		starts, _ := orderedRuns(sess)
		ordered += len(starts)
	}
	if ordered != 1 {
		t.Errorf("%d starts were ordered, want one", ordered)
	}
}

// TestStartOfEarlierTermIsOrderedOnce guards against a second run of a task whose start an
// earlier leader has proposed, and which is recorded only in the next term.
func TestStartOfEarlierTermIsOrderedOnce(t *testing.T) {
	l := newDrivenLeader(t)
	former := l.attach(report("m1/w/1"))
	l.core.dispatchTasks(l.now)
	if len(l.activeRuns()) != 0 {
		t.Fatal("the start was recorded at once")
	}
	last := l.core.replica.LastIndex()
	l.answer(replica.AppendReply{Sent: l.now}) // the start is written
	if err := l.core.replica.Step(l.now, replica.Message{From: "b", To: "a", Term: 2, Body: replica.VoteReply{}}); err != nil {
		t.Fatal(err)
	}
	l.elect()
	if l.core.attach(l.now, report("m2/w/1")) != nil {
		t.Error("an agent was attached before the earlier leader's start was recorded")
	}
	l.core.dispatchTasks(l.now)
	if got := l.core.replica.LastIndex(); got != last+1 { // the entry of the new term
		t.Errorf("%d entries were proposed", got-last-1)
	}
	l.commit()
	sessions := []*session{former, l.attach(report("m2/w/1")), l.attach(report("m1/w/1"))}
	l.core.dispatchTasks(l.now)
	l.commit()
	if got, want := l.activeRuns(), []submission.Start{{Run: l.run(1), Worker: "m1/w/1"}}; !slices.Equal(got, want) {
		t.Errorf("the record has the runs %v, want %v", got, want)
	}
	for i, want := range []int{0, 0, 1} {
		if starts, _ := orderedRuns(sessions[i]); len(starts) != want {
			t.Errorf("stream %d got the starts %v, want %d", i, starts, want)
		}
	}
}

// TestControllerFromSnapshotRepeatsNoRun guards against a record that forgets a run, its
// number or that its task is done, when a controller starts from a snapshot.
func TestControllerFromSnapshotRepeatsNoRun(t *testing.T) {
	l := newDrivenLeader(t)
	check := func(want ...submission.Start) {
		t.Helper()
		l.core.dispatchTasks(l.now)
		l.commit()
		if got := l.activeRuns(); !slices.Equal(got, want) {
			t.Fatalf("the record has the runs %v, want %v", got, want)
		}
	}
	l.attach(report("m1/w/1"))
	for number := uint32(1); number <= 3; number++ {
		run := l.run(number)
		check(submission.Start{Run: run, Worker: "m1/w/1"})
		l.restart()
		sess := l.attach(report("m1/w/1", run))
		check(submission.Start{Run: run, Worker: "m1/w/1"})
		reason := submission.Stopped
		if number == 3 {
			reason = submission.Done
		}
		l.core.handleReport(l.now, sess, &pb.AgentReport{
			Sent: 1, Ends: []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(run), How: uint32(reason)}},
		})
		l.commit()
		l.restart()
		l.attach(report("m1/w/1"))
	}
	check()
}
