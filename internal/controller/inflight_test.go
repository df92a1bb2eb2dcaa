package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// TestRunWhoseEndIsProposedIsNotStartedAgain guards against a start beside the next run: an
// agent reports a rejected run and restarts before the end is recorded.
func TestRunWhoseEndIsProposedIsNotStartedAgain(t *testing.T) {
	l := newDrivenLeader(t)
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	rejected := submission.End{Run: l.run(1), Worker: "m1/w/1", Reason: submission.Rejected}
	l.core.handleReport(l.now, sess, &pb.AgentReport{Refused: []*pb.RunEnd{wire.EncodeRunEnd(rejected)}})
	next := l.attach(report("m1/w/1"))
	if starts, _ := orderedRuns(next); len(starts) > 0 {
		t.Errorf("the starts %v were ordered, although the end of the run is proposed", starts)
	}
	l.commit()
	if runs := l.activeRuns(); len(runs) > 0 {
		t.Errorf("the record has the runs %v, want none", runs)
	}
}

// TestActiveRunWhoseEndIsProposedIsStopped guards against a run that goes on beside the next
// one: an agent reports it as active when its end is proposed and not recorded.
func TestActiveRunWhoseEndIsProposedIsStopped(t *testing.T) {
	for _, tc := range []struct {
		name   string
		report func(submission.RunID) *pb.AgentReport
	}{
		{"active", func(run submission.RunID) *pb.AgentReport { return report("m1/w/1", run) }},
		{"ordered", func(run submission.RunID) *pb.AgentReport {
			r := report("m1/w/1")
			r.Ordered = []*pb.Run{wire.EncodeRun(run)}
			return r
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newDrivenLeader(t)
			sess := l.attach(report("m1/w/1"))
			l.startFirstRun(sess)
			l.core.detach(sess)
			l.expireLeases()
			next := l.attach(tc.report(l.run(1)))
			if _, stops := orderedRuns(next); !slices.Equal(stops, []submission.RunID{l.run(1)}) {
				t.Errorf("the stops %v were ordered while the end is proposed, want one of run 1", stops)
			}
			l.commit()
			if runs := l.activeRuns(); len(runs) > 0 {
				t.Errorf("the record has the runs %v, want none", runs)
			}
		})
	}
}

// TestNoLeaseWhileEndOfExpiredRunsIsProposed guards against a lease for runs that are about
// to end: another end of their worker is recorded first.
func TestNoLeaseWhileEndOfExpiredRunsIsProposed(t *testing.T) {
	l := newDrivenLeader(t)
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	l.core.proposeEnds(l.now, []submission.End{{Run: l.run(7), Worker: "m1/w/1", Reason: submission.Stopped}})
	other := l.core.replica.LastIndex()
	l.core.detach(sess)
	l.expireLeases()
	l.commitUpTo(other)
	next := l.attach(report("m1/w/1", l.run(1)))
	if orders, _ := next.outbox.popAll(); len(orders) == 0 || orders[0].GetLease() != 0 {
		t.Error("a lease was granted while the end of the worker's runs is proposed")
	}
	l.commit()
	l.core.handleReport(l.now, next, &pb.AgentReport{Sent: 1})
	if orders, _ := next.outbox.popAll(); len(orders) == 0 || orders[len(orders)-1].GetLease() == 0 {
		t.Error("no lease is granted after the ends are recorded")
	}
}

// TestRunThatOutlivesItsLeaseIsStopped guards against a run that goes on beside the next one:
// its agent is silent for longer than a lease and then goes on with the same stream.
func TestRunThatOutlivesItsLeaseIsStopped(t *testing.T) {
	l := newDrivenLeader(t)
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	l.core.handleReport(l.now, sess, &pb.AgentReport{Active: report("", l.run(1)).GetActive()})
	l.expireLeases()
	l.commit()
	if runs := l.activeRuns(); len(runs) > 0 {
		t.Fatalf("the record has the runs %v, want none", runs)
	}
	l.core.handleReport(l.now, sess, &pb.AgentReport{Sent: 1}) // the run has not changed, so it is not reported
	if _, stops := orderedRuns(sess); !slices.Equal(stops, []submission.RunID{l.run(1)}) {
		t.Errorf("the stops %v were ordered, want one of run 1", stops)
	}
}

// TestReportedEndOfLeaseOrdersNoStop guards against useless orders: the agent knows the end.
func TestReportedEndOfLeaseOrdersNoStop(t *testing.T) {
	lapsed := submission.End{Run: submission.RunID{Task: submission.TaskID{Submission: "s1"}, Number: 1}, Worker: "m1/w/1", Reason: submission.LeaseExpired}
	for name, in := range map[string]*pb.AgentReport{
		"listed":   {Ends: []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(lapsed.Run), How: uint32(lapsed.Reason)}}},
		"inferred": {Refused: []*pb.RunEnd{wire.EncodeRunEnd(lapsed)}},
	} {
		l := newDrivenLeader(t)
		sess := l.attach(report("m1/w/1"))
		l.startFirstRun(sess)
		l.core.handleReport(l.now, sess, in)
		l.commit()
		if runs := l.activeRuns(); len(runs) > 0 {
			t.Errorf("%s: the record has the runs %v, want none", name, runs)
		}
		if _, stops := orderedRuns(sess); len(stops) > 0 {
			t.Errorf("%s: the stops %v were ordered", name, stops)
		}
	}
}

// TestTaskWaitsForRunWhoseEndWasProposed guards against a run beside one that goes on: its
// agent reports it as active while the end with its lease is on its way into the log.
func TestTaskWaitsForRunWhoseEndWasProposed(t *testing.T) {
	l := newDrivenLeader(t)
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	l.core.detach(sess)
	l.expireLeases()
	back := l.attach(report("m1/w/1", l.run(1)))
	l.commit()
	l.attach(report("m2/w/1"))
	l.core.dispatchTasks(l.now)
	l.commit()
	if runs := l.activeRuns(); len(runs) > 0 {
		t.Fatalf("%v were started while the worker has run 1", runs)
	}
	l.core.handleReport(l.now, back, &pb.AgentReport{Ends: []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(l.run(1)), How: uint32(submission.Stopped)}}})
	l.pass(time.Second)
	l.core.handleReport(l.now, back, &pb.AgentReport{Sent: 1})
	l.core.dispatchTasks(l.now)
	l.commit()
	if runs := l.activeRuns(); len(runs) != 1 {
		t.Errorf("the record has the runs %v, want one after the end of run 1", runs)
	}
}
