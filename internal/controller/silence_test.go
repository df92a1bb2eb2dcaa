package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/silence"
	"github.com/gentianrail/gentianrail/state"
)

// newLeaderOfLostMachine returns a leader whose task has a run on a machine that was lost before
// its agent has reported the start. Nothing else is known of the run.
func newLeaderOfLostMachine(t *testing.T) *drivenLeader {
	t.Helper()
	l := newDrivenLeader(t)
	l.core.sessions.lateStarts.window = _testLateStartWindow
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	l.core.detach(sess)
	return l
}

// TestLostRunEndsBesideRestartsOfAllControllers guards against tasks that wait anew with each
// change of the leader, however close together the changes are.
func TestLostRunEndsBesideRestartsOfAllControllers(t *testing.T) {
	for _, lead := range []time.Duration{3 * time.Second, 5 * time.Second, 8 * time.Second, 20 * time.Second} {
		t.Run(lead.String(), func(t *testing.T) {
			l := newLeaderOfLostMachine(t)
			lostAt, needed := l.now, l.core.sessions.maxLease()+_testLateStartWindow
			// Of the time of each leader as much is lost as from its latest record.
			counted := lead - _silenceRecordInterval - 100*time.Millisecond
			limit := (needed/counted+2)*lead + _leaseSweepInterval
			for l.now.Sub(lostAt) < limit {
				l.elapse(lead)
				if runs := l.activeRuns(); len(runs) == 0 {
					if waited := l.now.Sub(lostAt); waited < needed-lead {
						t.Errorf("run 1 ended after %s, want %s", waited, needed)
					}
					return
				}
				l.changeLeader()
			}
			t.Errorf("the record has the runs %v, %s after their machine was lost", l.activeRuns(), l.now.Sub(lostAt))
		})
	}
}

// TestReturnedMachineIsWaitedForAnew guards against a second run of a task: the next leader takes
// a machine to be silent since before its agent was back and had a lease.
func TestReturnedMachineIsWaitedForAnew(t *testing.T) {
	for _, changes := range []int{0, 1, 3} { // of the leader while the machine is silent
		l := newLeaderOfLostMachine(t)
		l.elapse(9 * time.Second)
		for range changes {
			l.changeLeader()
			l.elapse(3 * time.Second)
		}
		l.core.detach(l.attach(report("m1/w/1", l.run(1))))
		back := l.attach(report("m1/w/1", l.run(1)))
		l.commit()
		granted := l.now
		orders, _ := back.outbox.popAll()
		if !grantsLease(orders) {
			t.Fatalf("%d changes: the agent got the orders %v, want a lease", changes, orders)
		}
		l.core.detach(back)
		l.changeLeader()
		l.elapse(_testLateStartWindow)
		if runs := l.activeRuns(); len(runs) != 1 {
			t.Errorf("%d changes: the record has the runs %v %s after the last lease, want run 1 while a late call may hold it", changes, runs, l.now.Sub(granted))
		}
	}
}

func grantsLease(orders []*pb.AgentOrder) bool {
	for _, o := range orders {
		if o.GetLease() > 0 {
			return true
		}
	}
	return false
}

// TestLeaseWaitsForRemovalOfSilence guards against a lease that the next leader doesn't know of:
// the record that the machine has none is still there.
func TestLeaseWaitsForRemovalOfSilence(t *testing.T) {
	l := newLeaderOfLostMachine(t)
	l.elapse(5 * time.Second)
	sess := l.attach(report("m1/w/1"))
	orders, _ := sess.outbox.popAll()
	for _, o := range orders {
		if o.GetLease() > 0 || len(o.GetStarts()) > 0 {
			t.Errorf("the order %v came before the record was removed", o)
		}
	}
	l.core.handleReport(l.now, sess, &pb.AgentReport{Sent: 1})
	l.commit()
	orders, _ = sess.outbox.popAll()
	starts := 0
	for _, o := range orders {
		starts += len(o.GetStarts())
		if starts > 0 && o.GetLease() == 0 {
			t.Errorf("the order %v has starts and no lease", o)
		}
	}
	if !grantsLease(orders) || starts != 1 {
		t.Errorf("the agent got the orders %v, want a lease and the start of run 1 again", orders)
	}
	if l.core.machine.Silence().Has("m1") {
		t.Error("the machine has a lease and is recorded to be without one")
	}
}

// TestSilenceOfOlderTermIsVoid guards against a second run of a task: a leader of an earlier
// version, which doesn't remove the records, has granted a lease.
func TestSilenceOfOlderTermIsVoid(t *testing.T) {
	l := newLeaderOfLostMachine(t)
	term := l.core.replica.Term()
	l.elapse(20 * time.Second)
	l.restart() // of that leader only the first entry of its term remains
	l.changeLeader()
	l.elapse(5 * time.Second)
	if runs := l.activeRuns(); len(runs) != 1 {
		t.Errorf("the record has the runs %v, want run 1, since the records are of term %d", runs, term)
	}
}

// TestCalmMachinesHaveNoSilenceRecords guards against an entry in the log for each renewal.
func TestCalmMachinesHaveNoSilenceRecords(t *testing.T) {
	l := newDrivenLeader(t)
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	l.commit()
	last := l.core.replica.LastIndex()
	for range 100 {
		l.pass(400 * time.Millisecond)
		in := &pb.AgentReport{Sent: 1, Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run(1)), SettlesIn: int64(time.Second)}}}
		l.core.handleReport(l.now, sess, in)
		l.core.endExpiredRuns(l.now)
		l.commit()
	}
	if n := l.core.replica.LastIndex() - last; n > 0 {
		t.Errorf("%d entries were written in 40 s in which nothing happened", n)
	}
}

// TestFormerVersionIgnoresSilence guards against copies of the log that part while controllers
// of the former version are replaced: they take the command for one that ends no runs.
func TestFormerVersionIgnoresSilence(t *testing.T) {
	cmd := state.RecordSilence{Change: silence.Change{Term: 2, Silent: []silence.Machine{{Name: "m1", For: time.Second}}}}
	m := wire.EncodeCommand(cmd).GetEndRuns()
	if m == nil || len(m.GetEnds())+len(m.GetSettled())+len(m.GetUnsettled()) > 0 {
		t.Errorf("the command is written as %v, want one that ends no runs", m)
	}
}
