package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// waitForStop waits until the stop of a run is ordered on the stream.
func (l *leader) waitForStop(stream *agentStream, run submission.RunID) {
	l.Helper()
	l.waitForOrder(stream, 10*time.Second, "stop order", func(o *pb.AgentOrder) bool {
		return slices.ContainsFunc(o.GetStops(), func(r *pb.Run) bool { return wire.DecodeRun(r) == run })
	})
}

// waitForEnd waits until the task has no active run.
func (l *leader) waitForEnd() {
	l.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if _, active := l.lastRun(); active == 0 {
			return
		}
		if time.Now().After(end) {
			l.Fatal("the run does not end")
		}
	}
}

// state returns the submission's state.
func (l *leader) state() submission.State {
	l.Helper()
	var out submission.State
	if err := l.core.Do(l.Context(), func(c *Core, _ time.Time) {
		s, _ := c.machine.Submissions().Submission("s1")
		out = s.State
	}); err != nil {
		l.Fatal(err)
	}
	return out
}

// TestRunOnNextIncarnationIsNotStartedAgain guards against a second run of a task that
// the worker's next incarnation has, since it carried out a start for the former one.
func TestRunOnNextIncarnationIsNotStartedAgain(t *testing.T) {
	l := newLeaderWithTask(t)
	l.setLease(3 * time.Second)
	former, _ := l.attach("m1/w/1")
	l.run = l.waitForStart(former)
	other, _ := l.attach("m2/w/1")
	l.keepReporting(other)
	former.reports <- &pb.AgentReport{Gone: true}
	next, _ := l.attach("m1/w/2", l.run)
	l.keepReporting(next)
	l.waitForStop(next, l.run)
	l.checkUntouched(5 * time.Second) // beyond the lease of the former incarnation
	next.reports <- &pb.AgentReport{Ends: []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(l.run), How: uint32(submission.Stopped)}}}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		number, active := l.lastRun()
		if number == 2 && active == 1 {
			return
		}
		if number > 2 || time.Now().After(end) {
			t.Fatalf("the latest run is %d, %d active; want run 2", number, active)
		}
	}
}

// TestDoneOnNextIncarnationIsRecorded guards against a second run of a task that the
// next incarnation has completed.
func TestDoneOnNextIncarnationIsRecorded(t *testing.T) {
	l := newLeaderWithTask(t)
	former, stop := l.attach("m1/w/1")
	l.run = l.waitForStart(former)
	stop()
	done := report("m1/w/2")
	done.Ends = []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(l.run), How: uint32(submission.Done)}}
	next, _ := l.attachWith(done)
	l.keepReporting(next)
	for end := time.Now().Add(10 * time.Second); l.state() != submission.Completed; time.Sleep(10 * time.Millisecond) {
		if number, _ := l.lastRun(); number != 1 || time.Now().After(end) {
			t.Fatalf("the submission is %s, and the latest run is %d; want run 1 to complete it", l.state(), number)
		}
	}
}

// checkLateDoneIsAcknowledged checks that an end which completes a task late is acknowledged
// when it is recorded, and not before.
func checkLateDoneIsAcknowledged(t *testing.T, done func(*pb.AgentReport, submission.RunID), acknowledges func(*pb.AgentOrder) bool) {
	t.Helper()
	l := newDrivenLeader(t)
	former := l.attach(report("m1/w/1"))
	l.startFirstRun(former)
	l.core.detach(former)
	l.expireLeases()
	l.commit()
	in := report("m1/w/2")
	done(in, l.run(1))
	next := l.attach(in)
	isAcknowledged := func() bool {
		orders, _ := next.outbox.popAll()
		return slices.ContainsFunc(orders, acknowledges)
	}
	if isAcknowledged() {
		t.Error("the end was acknowledged before it was recorded")
	}
	l.commit()
	if !isAcknowledged() {
		t.Error("the end was not acknowledged after it was recorded")
	}
}

// TestDoneAfterRecordedLossCompletesTask guards against a second run of a task that is done:
// the lease of the run had expired for the leader, and the worker lists its end later.
func TestDoneAfterRecordedLossCompletesTask(t *testing.T) {
	for _, tc := range []struct {
		name         string
		done         func(*pb.AgentReport, submission.RunID)
		acknowledges func(*pb.AgentOrder) bool
	}{
		{"listed", func(r *pb.AgentReport, run submission.RunID) {
			r.Ends = []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(run), How: uint32(submission.Done)}}
		}, func(o *pb.AgentOrder) bool { return o.GetTaken() >= 1 }},
		{"listed by a former incarnation", func(r *pb.AgentReport, run submission.RunID) {
			r.Refused = []*pb.RunEnd{wire.EncodeRunEnd(submission.End{Run: run, Worker: "m1/w/1", Reason: submission.Done})}
		}, func(o *pb.AgentOrder) bool { return len(o.GetSettled()) > 0 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLeaderWithTask(t)
			l.setLease(300 * time.Millisecond)
			former, stop := l.attach("m1/w/1")
			l.run = l.waitForStart(former)
			stop()
			l.waitForEnd() // with its lease
			done := report("m1/w/2")
			tc.done(done, l.run)
			next, _ := l.attachWith(done)
			l.keepReporting(next)
			for end := time.Now().Add(10 * time.Second); l.state() != submission.Completed; time.Sleep(10 * time.Millisecond) {
				if number, _ := l.lastRun(); number != 1 || time.Now().After(end) {
					t.Fatalf("the submission is %s, and the latest run is %d; want run 1 to complete it", l.state(), number)
				}
			}
			l.waitForOrder(next, 3*time.Second, "acknowledgement of the end", tc.acknowledges)
			checkLateDoneIsAcknowledged(t, tc.done, tc.acknowledges)
		})
	}
}

// The worker's next incarnation has started a run late whose end was recorded.
func TestTaskWaitsForItsStrayRun(t *testing.T) {
	l := newLeaderWithTask(t)
	l.setLease(10 * time.Second)
	former, stop := l.attach("m1/w/1")
	stray := l.waitForStart(former)
	former.reports <- &pb.AgentReport{Ends: []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(stray), How: uint32(submission.Stopped)}}}
	for l.run = l.waitForStart(former); l.run.Number != 2; l.run = l.waitForStart(former) {
	}
	stop()
	other, _ := l.attach("m2/w/1")
	l.keepReporting(other)
	next, _ := l.attach("m1/w/2", stray)
	l.keepReporting(next)
	l.waitForStop(next, stray)
	l.waitForEnd() // on the former incarnation
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if number, _ := l.lastRun(); number != 2 {
			t.Fatalf("run %d was started while the worker has run %d", number, stray.Number)
		}
	}
	next.reports <- &pb.AgentReport{Ends: []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(stray), How: uint32(submission.Stopped)}}}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if number, _ := l.lastRun(); number == 3 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the task does not start again")
		}
	}
}

// TestUnrecordedRunIsStopped guards against a run that goes on because the worker
// listed it only after the agent had sent its complete list.
func TestUnrecordedRunIsStopped(t *testing.T) {
	l := newLeaderWithTask(t)
	stream, _ := l.attach("m1/w/1")
	l.run = l.waitForStart(stream)
	unknown := submission.RunID{Task: submission.TaskID{Submission: "s0"}, Number: 4}
	stream.reports <- &pb.AgentReport{Active: report("", unknown).GetActive()}
	l.waitForStop(stream, unknown)
}

// TestNothingStartsBesideStray guards against starts on room that a run takes which is
// not recorded, and against a worker that gets no more tasks once that run has ended.
func TestNothingStartsBesideStray(t *testing.T) {
	stray := submission.RunID{Task: submission.TaskID{Submission: "s0"}, Number: 4}
	for _, tc := range []struct {
		name string
		end  *pb.AgentReport
	}{
		{"its end is listed", &pb.AgentReport{Ends: []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(stray), How: uint32(submission.Stopped)}}}},
		{"its end is inferred", &pb.AgentReport{Refused: []*pb.RunEnd{wire.EncodeRunEnd(submission.End{Run: stray, Worker: "m1/w/1", Reason: submission.Stopped})}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLeaderWithTask(t)
			stream, _ := l.attach("m1/w/1", stray)
			l.keepReporting(stream)
			l.waitForStop(stream, stray)
			time.Sleep(500 * time.Millisecond)
			if number, _ := l.lastRun(); number != 0 {
				t.Error("a run was started beside a stray one")
			}
			stream.reports <- tc.end
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if number, _ := l.lastRun(); number == 1 {
					return
				}
			}
			t.Error("no run is started after the end of the stray one")
		})
	}
}

// TestStrayEndsWithLeaseOfItsWorker guards against a run that never ends: the incarnation
// that has it beside the record is not heard of again.
func TestStrayEndsWithLeaseOfItsWorker(t *testing.T) {
	l := newLeaderWithTask(t)
	l.setLease(time.Second)
	former, stopFormer := l.attach("m1/w/1")
	l.run = l.waitForStart(former)
	stopFormer()
	next, stopNext := l.attach("m1/w/2", l.run)
	l.waitForStop(next, l.run)
	stopNext()
	other, _ := l.attach("m2/w/1")
	l.keepReporting(other)
	l.waitForStart(other)
}

// TestStreamsOfMachineAreNumbered guards against orders that a worker can't tell from
// those of an earlier stream.
func TestStreamsOfMachineAreNumbered(t *testing.T) {
	l := newLeaderWithTask(t)
	var last uint64
	for _, incarnation := range []string{"m1/w/1", "m1/w/1", "m1/w/2"} {
		stream, _ := l.attach(incarnation)
		o := <-stream.orders
		if o.GetAttachment() <= last {
			t.Errorf("the stream of %s has the number %d after %d", incarnation, o.GetAttachment(), last)
		}
		last = o.GetAttachment()
	}
}

// TestListingUnderOtherTokenEndsNothing guards against ends on the word of a listing that
// a late order of an earlier stream can follow, or of a stream that came late.
func TestListingUnderOtherTokenEndsNothing(t *testing.T) {
	for _, tc := range []struct {
		name             string
		term, attachment uint64
		late             bool
	}{
		{name: "an earlier stream", attachment: 1},
		{name: "an earlier term", term: 1, attachment: 2},
		{name: "beside a later stream", attachment: 2, late: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLeaderWithTask(t)
			former, _ := l.attach("m1/w/1")
			l.run = l.waitForStart(former)
			next, _ := l.attach("m1/w/2")
			o := <-next.orders
			if tc.late {
				l.attach("m1/w/1", l.run)
				time.Sleep(100 * time.Millisecond)
			}
			next.reports <- &pb.AgentReport{ListedTerm: o.GetTerm() - tc.term, ListedAttachment: tc.attachment}
			l.checkUntouched(500 * time.Millisecond)
		})
	}
}

// TestStrayThatVanishedIsEnded guards against a task that never runs again: a stray run
// is missing from the complete list of the next stream, and no end of it is reported.
func TestStrayThatVanishedIsEnded(t *testing.T) {
	l := newLeaderWithTask(t)
	l.setLease(time.Second)
	former, stopFormer := l.attach("m1/w/1")
	l.run = l.waitForStart(former)
	stopFormer()
	next, stopNext := l.attach("m1/w/2", l.run)
	l.waitForStop(next, l.run)
	stopNext()
	again, _ := l.attach("m1/w/2")
	l.keepReporting(again)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if number, _ := l.lastRun(); number == 2 {
			return
		}
	}
	t.Error("the task does not start again")
}

// TestEndOnNextIncarnationIsAcknowledgedBesideLateStream guards against ends that are
// never acknowledged, since a stream on the former incarnation came late.
func TestEndOnNextIncarnationIsAcknowledgedBesideLateStream(t *testing.T) {
	l := newLeaderWithTask(t)
	former, stop := l.attach("m1/w/1")
	l.run = l.waitForStart(former)
	stop()
	next, _ := l.attach("m1/w/2", l.run)
	l.waitForStop(next, l.run)
	l.attach("m1/w/1")
	next.reports <- &pb.AgentReport{Ends: []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(l.run), How: uint32(submission.Stopped)}}}
	l.keepReporting(next)
	l.waitForOrder(next, 3*time.Second, "acknowledgement of the end", func(o *pb.AgentOrder) bool { return o.GetTaken() >= 1 })
}

// TestRunsRecordedByEarlierLeaderRestartSoon guards against runs on an ended incarnation
// that this leader has never heard of: they must not wait for the sweep of leases.
func TestRunsRecordedByEarlierLeaderRestartSoon(t *testing.T) {
	l := newLeaderWithTask(t)
	l.setLease(10 * time.Second)
	former, stop := l.attach("m1/w/1")
	l.run = l.waitForStart(former)
	stop()
	if err := l.core.Do(t.Context(), func(c *Core, now time.Time) { c.sessions.reset(now) }); err != nil {
		t.Fatal(err)
	}
	l.restartsSoon("m1/w/2")
}

// TestRunRecordedOnEndedIncarnationRestartsSoon guards against runs whose start was
// proposed before their worker's next incarnation had listed its runs.
func TestRunRecordedOnEndedIncarnationRestartsSoon(t *testing.T) {
	l := newLeaderWithTask(t)
	l.setLease(10 * time.Second)
	former, _ := l.attachWith(&pb.AgentReport{Worker: report("m1/w/1").GetWorker()})
	<-former.orders
	next, _ := l.attachWith(&pb.AgentReport{Worker: report("m1/w/2").GetWorker()})
	<-next.orders
	next.reports <- l.listingReport("m1/w/2")
	<-next.orders
	l.propose(state.StartRuns{Starts: []submission.Start{{Run: l.run, Worker: "m1/w/1"}}})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		next.reports <- l.listingReport("m1/w/2")
		if number, active := l.lastRun(); number == 1 && active == 0 {
			return
		}
	}
	t.Error("the run on the ended incarnation has not ended")
}

// restartsSoon checks that the task's second run starts on an incarnation long before a
// lease of 10 s expires.
func (l *leader) restartsSoon(incarnation string) {
	l.Helper()
	next, _ := l.attach(incarnation)
	l.keepReporting(next)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if number, _ := l.lastRun(); number == 2 {
			return
		}
	}
	l.Error("the task does not start again")
}
