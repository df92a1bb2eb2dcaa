package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// endFirstRun records the first run on m1/w/1 and its end, as its worker has listed it.
func (l *drivenLeader) endFirstRun() {
	l.Helper()
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	l.core.handleReport(l.now, sess, &pb.AgentReport{Ends: []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(l.run(1)), How: uint32(submission.Stopped)}}})
	l.commit()
	if runs := l.activeRuns(); len(runs) > 0 {
		l.Fatalf("the record has the runs %v, want none", runs)
	}
	l.core.detach(sess)
}

// dispatchBeside lets time pass, and starts tasks on a worker of another machine.
func (l *drivenLeader) dispatchBeside(d time.Duration) {
	l.Helper()
	l.now = l.now.Add(d)
	l.answerHeartbeat()
	l.attach(report("m2/w/1"))
	l.core.dispatchTasks(l.now)
	l.commit()
}

// TestTaskWaitsForStrayOfLostAgent guards against a second run beside one that the next
// incarnation has started late, whose end was recorded and whose agent has vanished.
func TestTaskWaitsForStrayOfLostAgent(t *testing.T) {
	l := newDrivenLeader(t)
	l.core.sessions.lateStarts.window = 18 * time.Second
	l.endFirstRun()
	l.core.detach(l.attach(report("m1/w/2", l.run(1))))
	l.dispatchBeside(5500 * time.Millisecond)
	if runs := l.activeRuns(); len(runs) > 0 {
		t.Errorf("%v were started while the worker may have run 1", runs)
	}
	l.dispatchBeside(20 * time.Second)
	if runs := l.activeRuns(); len(runs) != 1 {
		t.Errorf("the record has the runs %v, want one after the longest lease", runs)
	}
}

// TestTaskWaitsForStrayWhenItsProposedEndIsRecorded guards against a second run beside one
// whose agent has reported it as active, and vanished, while its end was on its way.
func TestTaskWaitsForStrayWhenItsProposedEndIsRecorded(t *testing.T) {
	l := newDrivenLeader(t)
	l.core.sessions.lateStarts.window = 18 * time.Second
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	l.core.handleReport(l.now, sess, &pb.AgentReport{Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run(1)), Settled: true}}})
	l.core.detach(sess)
	l.now = l.now.Add(5 * time.Second)
	l.answerHeartbeat()
	l.core.endExpiredRuns(l.now)
	l.core.detach(l.attach(report("m1/w/2", l.run(1))))
	l.commit()
	l.dispatchBeside(100 * time.Millisecond)
	if runs := l.activeRuns(); len(runs) > 0 {
		t.Errorf("%v were started while the worker has run 1", runs)
	}
	l.dispatchBeside(25 * time.Second)
	if runs := l.activeRuns(); len(runs) != 1 {
		t.Errorf("the record has the runs %v, want one after the longest lease", runs)
	}
}

// TestProposedStartWaitsForStray guards against an order beside a run that an agent reports
// while the start of the next one is on its way into the log.
func TestProposedStartWaitsForStray(t *testing.T) {
	l := newDrivenLeader(t)
	l.endFirstRun()
	other := l.attach(report("m2/w/1"))
	l.core.dispatchTasks(l.now)
	stray := l.attach(report("m1/w/2", l.run(1)))
	l.commit()
	if starts, _ := orderedRuns(other); len(starts) > 0 {
		t.Errorf("the starts %v were ordered while another worker has run 1", starts)
	}
	l.core.handleReport(l.now, stray, &pb.AgentReport{Ends: []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(l.run(1)), How: uint32(submission.Stopped)}}})
	l.commit()
	l.dispatchBeside(100 * time.Millisecond)
	if runs := l.activeRuns(); len(runs) != 1 || runs[0].Run != l.run(3) {
		t.Errorf("the record has the runs %v, want run 3 after the end of run 1", runs)
	}
}

// TestStrayOfLostAgentIsForgotten guards against memory that grows with each stray run whose
// agent does not return.
func TestStrayOfLostAgentIsForgotten(t *testing.T) {
	l := newDrivenLeader(t)
	l.core.sessions.lateStarts.window = 18 * time.Second
	l.endFirstRun()
	l.core.detach(l.attach(report("m1/w/2", l.run(1))))
	l.dispatchBeside(30 * time.Second)
	if n := len(l.core.sessions.strayHolders); n > 0 {
		t.Errorf("%d stray runs are kept in mind after the longest lease", n)
	}
}
