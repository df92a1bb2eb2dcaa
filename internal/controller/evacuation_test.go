package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// zonedReport returns the complete first report of an agent of a zone.
func zonedReport(incarnation, zone string, runs ...submission.RunID) *pb.AgentReport {
	r := report(incarnation, runs...)
	r.Worker.Zone = zone
	return r
}

// latestOrder removes the session's orders. It returns the runs that they start and whether
// the latest one says that the zone is evacuated. Starts and that must be in one order.
func (l *drivenLeader) latestOrder(sess *session) (starts []submission.RunID, evacuated bool) {
	l.Helper()
	orders, _ := sess.outbox.popAll()
	if len(orders) == 0 {
		l.Fatal("no order was sent")
	}
	for _, o := range orders {
		evacuated = o.GetEvacuated()
		for _, s := range o.GetStarts() {
			starts = append(starts, wire.DecodeRun(s.GetRun()))
		}
	}
	return starts, evacuated
}

func (l *drivenLeader) order(cmd state.Command) {
	l.Helper()
	l.propose(cmd)
	l.commit()
}

func (l *drivenLeader) startTasks() []submission.Start {
	l.Helper()
	l.core.dispatchTasks(l.now)
	l.commit()
	return l.activeRuns()
}

// TestNoStartInEvacuatedZone guards against starts on workers of an evacuated zone, also
// under a new leader and after a snapshot, against agents that are not told, and against a
// zone that gets no tasks after its evacuation.
func TestNoStartInEvacuatedZone(t *testing.T) {
	l := newDrivenLeader(t)
	sess, other := l.attach(zonedReport("m1/w/1", "a")), l.attach(zonedReport("m2/w/1", "b"))
	for _, s := range []*session{sess, other} {
		if _, evacuated := l.latestOrder(s); evacuated {
			t.Error("an agent is told of an evacuation before it started")
		}
	}
	l.order(state.StartEvacuation{Zone: "a"})
	if _, evacuated := l.latestOrder(sess); !evacuated {
		t.Error("the zone's agent is not told that the evacuation has started")
	}
	if orders, _ := other.outbox.popAll(); len(orders) > 0 {
		t.Errorf("the agent of another zone gets the orders %v", orders)
	}
	l.core.detach(other)
	if got := l.startTasks(); len(got) > 0 {
		t.Fatalf("%v started in an evacuated zone", got)
	}
	l.restart()
	if got := l.core.evacuatedZones.Value(); got != 1 {
		t.Errorf("the metric shows %d evacuated zones, want 1", got)
	}
	sess = l.attach(zonedReport("m1/w/1", "a"))
	if _, evacuated := l.latestOrder(sess); !evacuated {
		t.Error("the new leader does not tell the agent of the evacuation")
	}
	if got := l.startTasks(); len(got) > 0 {
		t.Fatalf("%v started under a new leader", got)
	}
	l.order(state.StartEvacuation{Zone: "a"}) // repeated
	l.order(state.FinishEvacuation{Zone: "a"})
	l.order(state.FinishEvacuation{Zone: "a"})
	if _, evacuated := l.latestOrder(sess); evacuated {
		t.Error("the agent is not told that the evacuation has finished")
	}
	l.pass(time.Second)
	l.core.handleReport(l.now, sess, &pb.AgentReport{Sent: 1})
	if got, want := l.startTasks(), []submission.Start{{Run: l.run(1), Worker: "m1/w/1"}}; !slices.Equal(got, want) {
		t.Errorf("after the evacuation the record has the runs %v, want %v", got, want)
	}
	if got := l.core.evacuatedZones.Value(); got != 0 {
		t.Errorf("the metric shows %d evacuated zones, want none", got)
	}
}

// TestStartsThatEvacuationOvertakesAreNotOrdered guards against starts that were proposed
// while the order of an evacuation was on its way into the log, and against members of a gang
// that start without the others.
func TestStartsThatEvacuationOvertakesAreNotOrdered(t *testing.T) {
	for _, gang := range []bool{false, true} {
		l := newDrivenLeaderOf(t, submission.Step{
			Count: 2, Gang: gang, Needs: submission.Resources{CPU: 1000, Memory: 1}, MaxPerWorker: 1, Estimate: 10 * time.Second,
		})
		a, b := l.attach(zonedReport("m1/w/1", "a")), l.attach(zonedReport("m2/w/1", "b"))
		l.latestOrder(a)
		l.latestOrder(b)
		l.propose(state.StartEvacuation{Zone: "a"})
		if len(l.startTasks()) != 2 {
			t.Fatalf("gang %t: the record has the runs %v, want two until their ends are recorded", gang, l.activeRuns())
		}
		if starts, evacuated := l.latestOrder(a); len(starts) > 0 || !evacuated {
			t.Errorf("gang %t: the starts %v were ordered in the evacuated zone; told: %t", gang, starts, evacuated)
		}
		starts, _ := orderedRuns(b)
		if len(starts) == 0 != gang {
			t.Errorf("gang %t: the starts %v were ordered in the other zone", gang, starts)
		}
		l.commit()
		for _, r := range l.activeRuns() {
			if gang || r.Worker == "m1/w/1" {
				t.Errorf("gang %t: %v is recorded as active and was not ordered", gang, r)
			}
		}
	}
}

// TestAgentThatWasAwayCancelsStarts guards against a start that an agent carries out when it
// comes back, because the order does not say that its zone was evacuated meanwhile, and
// against one that it cancels although the evacuation has finished.
func TestAgentThatWasAwayCancelsStarts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before []state.Command // while the agent is there
		away   []state.Command
		want   bool // evacuated
	}{
		{"during Start", nil, []state.Command{state.StartEvacuation{Zone: "a"}}, true},
		{"during Finish", []state.Command{state.StartEvacuation{Zone: "a"}}, []state.Command{state.FinishEvacuation{Zone: "a"}}, false},
		{"during both", nil, []state.Command{state.StartEvacuation{Zone: "a"}, state.FinishEvacuation{Zone: "a"}}, false},
		{"during both, in the other order", []state.Command{state.StartEvacuation{Zone: "a"}}, []state.Command{state.FinishEvacuation{Zone: "a"}, state.StartEvacuation{Zone: "a"}}, true},
	} {
		l := newDrivenLeader(t)
		sess := l.attach(zonedReport("m1/w/1", "a"))
		l.startFirstRun(sess) // the order is lost
		for _, cmd := range tc.before {
			l.order(cmd)
		}
		l.core.detach(sess)
		for _, cmd := range tc.away {
			l.order(cmd)
		}
		back := l.attach(zonedReport("m1/w/1", "a"))
		orders, _ := back.outbox.popAll()
		starts := 0
		for _, o := range orders {
			for _, part := range splitOrder(o) {
				starts += len(part.GetStarts())
				if part.GetEvacuated() != tc.want {
					t.Errorf("%s: an order says that the zone is evacuated: %t, want %t", tc.name, part.GetEvacuated(), tc.want)
				}
			}
		}
		if starts != 1 {
			t.Errorf("%s: %d starts were ordered again, want one that the agent carries out or cancels", tc.name, starts)
		}
	}
}

// TestZonesOfOrders guards against orders of zones that do not exist, and against the
// rejection of an order that was accepted, for example when it is repeated.
func TestZonesOfOrders(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(l *drivenLeader)
		zone    string
		want    fault.Code
	}{
		{"no zone is known", func(*drivenLeader) {}, "x", fault.OK},
		{"no zone is known, bad name", func(*drivenLeader) {}, "x/y", fault.BadRequest},
		{"of a worker", func(l *drivenLeader) { l.attach(zonedReport("m1/w/1", "a")) }, "a", fault.OK},
		{"of a worker that has gone", func(l *drivenLeader) { l.core.detach(l.attach(zonedReport("m1/w/1", "a"))) }, "a", fault.OK},
		{"of no worker", func(l *drivenLeader) { l.attach(zonedReport("m1/w/1", "a")) }, "x", fault.ZoneNotFound},
		{"of the settings", func(l *drivenLeader) {
			l.core.zones.configured["c"] = true
			l.attach(zonedReport("m1/w/1", "a"))
		}, "c", fault.OK},
		{"of a worker and not the settings", func(l *drivenLeader) {
			l.core.zones.configured["c"] = true
			l.attach(zonedReport("m1/w/1", "a"))
		}, "a", fault.OK},
		{"neither of the settings nor of a worker", func(l *drivenLeader) { l.core.zones.configured["c"] = true }, "x", fault.ZoneNotFound},
		{"just after an election", func(l *drivenLeader) {
			l.core.zones.configured["c"] = true
			l.core.sessions.leaderSince = l.now
		}, "x", fault.NotReady},
		{"of an accepted order", func(l *drivenLeader) {
			l.order(state.StartEvacuation{Zone: "x"})
			l.attach(zonedReport("m1/w/1", "a"))
		}, "x", fault.OK},
		{"of an accepted order, finished, after a restart", func(l *drivenLeader) {
			l.order(state.StartEvacuation{Zone: "x"})
			l.order(state.FinishEvacuation{Zone: "x"})
			l.restart()
			l.attach(zonedReport("m1/w/1", "a"))
		}, "x", fault.OK},
		{"of a proposed order", func(l *drivenLeader) {
			if err := l.core.checkZone(l.now, "x"); err != nil {
				l.Error(err)
			}
			l.attach(zonedReport("m1/w/1", "a"))
		}, "x", fault.OK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newDrivenLeader(t)
			l.core.sessions.leaderSince = l.now.Add(-time.Minute)
			tc.prepare(l)
			if tc.want == fault.ZoneNotFound {
				l.core.sessions.leaderSince = l.now.Add(-_zonesUnknownTime)
			}
			if err := l.core.checkZone(l.now, tc.zone); fault.CodeOf(err) != tc.want {
				t.Errorf("got %v, want %s", err, tc.want.Name())
			}
		})
	}
}
