package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// setLateStartWindow sets how long after an agent's latest call its worker may hold a lease.
func (l *leader) setLateStartWindow(d time.Duration) {
	l.Helper()
	if err := l.core.Do(l.Context(), func(c *Core, _ time.Time) { c.sessions.lateStarts.window = d }); err != nil {
		l.Fatal(err)
	}
}

// TestUnansweredStartOfLostAgentIsNotPlacedElsewhere guards against a second run beside
// one that a worker starts late, on its next incarnation, while its agent is gone.
func TestUnansweredStartOfLostAgentIsNotPlacedElsewhere(t *testing.T) {
	const lease, window = 500 * time.Millisecond, 3 * time.Second
	for _, tc := range []struct {
		name     string
		reported *pb.ListedRun // nil for no report of the run
		kept     time.Duration // for which the run must stay the only one after the latest report
	}{
		{name: "start not reported", kept: lease + window},
		{name: "call without an answer", reported: &pb.ListedRun{SettlesIn: int64(2 * time.Second)}, kept: lease + window},
		{name: "agent that doesn't say", reported: &pb.ListedRun{}, kept: lease + window},
		{name: "call too old when the lease expires", reported: &pb.ListedRun{SettlesIn: int64(lease / 2)}, kept: lease},
		{name: "every call answered", reported: &pb.ListedRun{Settled: true}, kept: lease},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			l := newLeaderWithTask(t)
			l.setLease(lease)
			l.setLateStartWindow(window)
			lost, stop := l.attach("m1/w/1")
			l.run = l.waitForStart(lost)
			if tc.reported != nil {
				tc.reported.Run = wire.EncodeRun(l.run)
				lost.reports <- &pb.AgentReport{Active: []*pb.ListedRun{tc.reported}}
				<-lost.orders
			}
			other, _ := l.attach("m2/w/1")
			l.keepReporting(other)
			began := time.Now()
			stop()
			l.checkUntouched(tc.kept - 100*time.Millisecond)
			l.waitForStart(other)
			if took := time.Since(began); took > tc.kept+2*time.Second {
				t.Errorf("the task starts elsewhere after %s, want %s at most", took, tc.kept+2*time.Second)
			}
		})
	}
}

// TestReturningAgentKeepsRunWithoutLease guards against an agent that gets no lease any
// more after its runs were kept beyond the former one.
func TestReturningAgentKeepsRunWithoutLease(t *testing.T) {
	l := newLeaderWithTask(t)
	l.setLease(300 * time.Millisecond)
	l.setLateStartWindow(time.Minute)
	lost, stop := l.attach("m1/w/1")
	l.run = l.waitForStart(lost)
	stop()
	l.checkUntouched(2 * time.Second)
	back, _ := l.attach("m1/w/1", l.run)
	if o := <-back.orders; o.GetLease() == 0 {
		t.Error("the agent that is back got no lease")
	}
	l.checkUntouched(100 * time.Millisecond)
}

// TestRepeatedStartOfLostAgentIsNotPlacedElsewhere guards against an end on the word of
// an earlier agent whose calls were all answered, while the next agent has repeated the
// start and is gone.
func TestRepeatedStartOfLostAgentIsNotPlacedElsewhere(t *testing.T) {
	const lease, window = 500 * time.Millisecond, 3 * time.Second
	l := newLeaderWithTask(t)
	l.setLease(lease)
	l.setLateStartWindow(window)
	first, stopFirst := l.attach("m1/w/1")
	l.run = l.waitForStart(first)
	first.reports <- &pb.AgentReport{Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run), Settled: true}}}
	<-first.orders
	stopFirst()
	next, stopNext := l.attach("m1/w/1")
	if run := l.waitForStart(next); run != l.run {
		t.Fatalf("%v is started, want %v again", run, l.run)
	}
	other, _ := l.attach("m2/w/1")
	l.keepReporting(other)
	stopNext()
	l.checkUntouched(lease + window - 100*time.Millisecond)
	l.waitForStart(other)
}

// TestOtherLateCallsProlongLeaseOfLateRun guards against an end while a later call, for
// another run, may prolong the lease.
func TestOtherLateCallsProlongLeaseOfLateRun(t *testing.T) {
	const callDelay, maxLease, grant = 12 * time.Second, 6 * time.Second, 4400 * time.Millisecond
	var (
		late     = lateStarts{window: callDelay + maxLease}
		run      = submission.RunID{Task: submission.TaskID{Submission: "s1"}, Number: 1}
		call     = time.Unix(1000, 0) // starts the run and has no answer
		lastCall = call.Add(8 * time.Second)
	)
	late.record(call.Add(time.Second), run, &pb.ListedRun{Run: wire.EncodeRun(run), SettlesIn: int64(late.window - time.Second)}, reporter{})
	// The worker starts again after lastCall; call is carried out 10 s late, and lastCall,
	// which starts another run, 7.9 s late, while the first run holds its lease.
	begins, prolonged := call.Add(10*time.Second), lastCall.Add(7900*time.Millisecond)
	if prolonged.After(begins.Add(maxLease)) {
		t.Fatal("the run has ended before its lease is prolonged")
	}
	end := prolonged.Add(maxLease)
	for now := begins; now.Before(end); now = now.Add(50 * time.Millisecond) {
		if late.hasEnded(now, lastCall.Add(grant), run) {
			t.Fatalf("the run counts as ended %s before its lease ends", end.Sub(now))
		}
	}
}

// TestUnsettledIncarnationKeepsRunsOfFormerOne guards against a second run of a task that the
// next incarnation may have, which has not listed its runs: its agent is there all the time.
func TestUnsettledIncarnationKeepsRunsOfFormerOne(t *testing.T) {
	l := newDrivenLeader(t)
	l.core.sessions.lateStarts.window = 18 * time.Second
	l.startFirstRun(l.attach(report("m1/w/1")))
	next := l.attach(&pb.AgentReport{Worker: report("m1/w/2").GetWorker()})
	for range 14 { // 5.6 s; a worker holds a run of a late order for up to 6 s
		l.pass(400 * time.Millisecond)
		l.core.handleReport(l.now, next, &pb.AgentReport{Sent: 1})
		l.core.dispatchTasks(l.now)
		l.commit()
	}
	if runs := l.activeRuns(); len(runs) != 1 {
		t.Errorf("the record has the runs %v, want run 1 to count as active", runs)
	}
}

// TestStrayCountsWhileItMayHoldTheLongestLease guards against a second run of a task that the
// next incarnation has from a late order, for up to 6 s, when the agent has vanished.
func TestStrayCountsWhileItMayHoldTheLongestLease(t *testing.T) {
	l := newDrivenLeader(t)
	l.core.sessions.lateStarts.window = 18 * time.Second
	l.startFirstRun(l.attach(report("m1/w/1")))
	l.core.detach(l.attach(report("m1/w/2", l.run(1))))
	l.pass(5500 * time.Millisecond)
	l.core.endExpiredRuns(l.now)
	l.commit()
	if runs := l.activeRuns(); len(runs) != 1 {
		t.Errorf("the record has the runs %v, want run 1 to count as active", runs)
	}
}

// TestNextAgentLearnsWhichRunsAreSettled guards against tasks that wait for late calls of an
// earlier agent, all of whose calls were answered, when the machine is lost.
func TestNextAgentLearnsWhichRunsAreSettled(t *testing.T) {
	const window = 18 * time.Second
	restarted := func(l *drivenLeader) *pb.AgentReport {
		r := report("m1/w/1", l.run(1))
		r.Active[0].SettlesIn = int64(window)
		return r
	}
	for _, tc := range []struct {
		name     string
		reported *pb.ListedRun // by the first agent
		wait     time.Duration
		between  func(l *drivenLeader)
		want     bool
	}{
		{name: "every call answered", reported: &pb.ListedRun{Settled: true}, want: true},
		{name: "call without an answer", reported: &pb.ListedRun{SettlesIn: int64(window)}, wait: window - time.Second},
		{name: "call too old", reported: &pb.ListedRun{SettlesIn: int64(window)}, wait: window + time.Second, want: true},
		{name: "agent that doesn't say", reported: &pb.ListedRun{}},
		{name: "two restarts", reported: &pb.ListedRun{Settled: true}, want: true, between: func(l *drivenLeader) {
			l.core.detach(l.attach(restarted(l)))
		}},
		{name: "start repeated", reported: &pb.ListedRun{Settled: true}, between: func(l *drivenLeader) {
			l.core.detach(l.attach(report("m1/w/1")))
		}},
		{name: "start not carried out", reported: &pb.ListedRun{Settled: true}, between: func(l *drivenLeader) {
			r := report("m1/w/1")
			r.Ordered = append(r.Ordered, wire.EncodeRun(l.run(1)))
			l.core.detach(l.attach(r))
		}},
		{name: "another leader", reported: &pb.ListedRun{Settled: true}, between: (*drivenLeader).restart},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newDrivenLeader(t)
			first := l.attach(report("m1/w/1"))
			l.startFirstRun(first)
			tc.reported.Run = wire.EncodeRun(l.run(1))
			l.core.handleReport(l.now, first, &pb.AgentReport{Active: []*pb.ListedRun{tc.reported}})
			l.now = l.now.Add(tc.wait)
			l.answerHeartbeat()
			l.core.detach(first)
			if tc.between != nil {
				tc.between(l)
			}
			orders, _ := l.attach(restarted(l)).outbox.popAll()
			starts := orders[0].GetStarts()
			if len(starts) != 1 || starts[0].GetSettled() != tc.want {
				t.Errorf("the next agent got %v; want the run, settled: %t", starts, tc.want)
			}
		})
	}
}

// TestRunOfRestartedAgentEndsWithItsGrant guards against tasks that wait for late calls because
// the agent of a lost machine was restarted shortly before, and assumes the longest lease.
func TestRunOfRestartedAgentEndsWithItsGrant(t *testing.T) {
	const maxLease, grant = 6 * time.Second, 4400 * time.Millisecond
	for _, tc := range []struct {
		name    string
		between func(late *lateStarts, run submission.RunID)
		want    bool
	}{
		{name: "restart only", want: true},
		{name: "start repeated", between: (*lateStarts).remove},
	} {
		t.Run(tc.name, func(t *testing.T) {
			late := lateStarts{window: 12*time.Second + maxLease}
			run := submission.RunID{Task: submission.TaskID{Submission: "s1"}, Number: 1}
			now := time.Unix(1000, 0)
			late.record(now, run, &pb.ListedRun{Settled: true}, reporter{started: 1})
			if tc.between != nil {
				tc.between(&late, run)
			}
			now = now.Add(time.Second)
			late.record(now, run, &pb.ListedRun{SettlesIn: int64(maxLease)}, reporter{started: 2})
			expiry := now.Add(grant)
			if late.hasEnded(expiry.Add(-time.Millisecond), expiry, run) {
				t.Error("the run counts as ended before the grant is over")
			}
			if got := late.hasEnded(expiry, expiry, run); got != tc.want {
				t.Errorf("the run counts as ended with the grant: %t, want %t", got, tc.want)
			}
		})
	}
}

// TestSettledRunOnNextIncarnationOutlivesGrant guards against a second run beside one that the
// next incarnation has from a late call, although the former one's agent had all its answers.
func TestSettledRunOnNextIncarnationOutlivesGrant(t *testing.T) {
	l := newDrivenLeader(t)
	l.core.sessions.lateStarts.window = 18 * time.Second
	first := l.attach(report("m1/w/1"))
	l.startFirstRun(first)
	l.core.handleReport(l.now, first, &pb.AgentReport{Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run(1)), Settled: true}}})
	stray := report("m1/w/2", l.run(1))
	stray.Active[0].SettlesIn = int64(6 * time.Second)
	l.core.detach(l.attach(stray))
	l.now = l.now.Add(5500 * time.Millisecond)
	l.answerHeartbeat()
	l.core.endExpiredRuns(l.now)
	l.commit()
	if runs := l.activeRuns(); len(runs) != 1 {
		t.Errorf("the record has the runs %v, want run 1 to count as active", runs)
	}
}
