package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// unansweredRun is a leader whose task has failed on m1, which says that a call to start it may
// still be carried out, and whose next run is on m2.
type unansweredRun struct {
	*drivenLeader
	first, second *session
}

func newUnansweredRun(t *testing.T, step submission.Step, how submission.EndReason, lateFor time.Duration) *unansweredRun {
	t.Helper()
	step.Count, step.Needs, step.Estimate = max(step.Count, 1), submission.Resources{CPU: 1000, Memory: 1}, 10*time.Second
	u := &unansweredRun{drivenLeader: newDrivenLeaderOf(t, step)}
	u.core.sessions.lateStarts.window = _testLateStartWindow
	u.first = u.attach(report("m1/w/1"))
	u.startFirstRun(u.first)
	u.core.handleReport(u.now, u.first, &pb.AgentReport{Ends: []*pb.ListedEnd{
		{Number: 1, Run: wire.EncodeRun(u.run(1)), How: uint32(how), LateFor: int64(lateFor)},
	}})
	u.commit()
	u.second = u.attach(report("m2/w/1"))
	u.propose(state.StartRuns{Starts: []submission.Start{{Run: u.run(2), Worker: "m2/w/1"}}})
	u.play(_maxReportAge + 100*time.Millisecond)
	return u
}

// play lets time go by, in which the agents that are attached report.
func (u *unansweredRun) play(d time.Duration) {
	u.Helper()
	for end := u.now.Add(d); u.now.Before(end); {
		u.pass(100 * time.Millisecond)
		for _, sess := range []*session{u.first, u.second} {
			if sess != nil {
				u.core.handleReport(u.now, sess, &pb.AgentReport{Sent: 1})
			}
		}
		u.core.dispatchTasks(u.now)
		u.commit()
	}
}

// loseFirst loses the agent of m1.
func (u *unansweredRun) loseFirst() {
	u.core.detach(u.first)
	u.first = nil
}

// endNext lets the agent of m2 report the end of the run that it was told to stop. It returns
// false if it wasn't.
func (u *unansweredRun) endNext() bool {
	u.Helper()
	_, stops := orderedRuns(u.second)
	if len(stops) == 0 {
		return false
	}
	u.core.handleReport(u.now, u.second, &pb.AgentReport{Ends: []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(stops[0]), How: uint32(submission.Stopped)}}})
	u.commit()
	return true
}

// TestNextRunRestsWhileLateCallMayStartFormer guards against a second run of a task that has
// ended on a worker's word: a call to start it without an answer is carried out by the worker's
// next incarnation while its agent is away. The next run starts at once, is stopped when the agent
// vanishes, and starts again when the agent is back or no call is left.
func TestNextRunRestsWhileLateCallMayStartFormer(t *testing.T) {
	const callDelay = 12 * time.Second
	for _, how := range []submission.EndReason{submission.Failed, submission.Stopped, submission.LeaseExpired, submission.GangBroken, submission.GangIncomplete} {
		for _, tc := range []struct {
			name    string
			leaders int // changes of the leader while the agent is away
			returns bool
		}{{name: "it returns", returns: true}, {name: "it is lost"}, {name: "it is lost beside changes of the leader", leaders: 6}} {
			t.Run(how.String()+"/"+tc.name, func(t *testing.T) {
				u := newUnansweredRun(t, submission.Step{}, how, callDelay)
				if runs := u.activeRuns(); len(runs) != 1 || runs[0].Run != u.run(2) {
					t.Fatalf("the record has the runs %v, want run 2 at once", runs)
				}
				u.loseFirst()
				u.play(100 * time.Millisecond)
				if !u.endNext() {
					t.Fatal("run 2 goes on while a late call may start run 1")
				}
				lost := u.now
				for range tc.leaders {
					u.play(4 * time.Second)
					u.core.detach(u.second)
					u.changeLeader()
					u.second = u.attach(report("m2/w/1"))
					if runs := u.activeRuns(); u.now.Sub(lost) < _testLateStartWindow && len(runs) > 0 {
						t.Fatalf("the record has the runs %v after a change of the leader, while a late call may start run 1", runs)
					}
				}
				if tc.leaders == 0 {
					u.play(5 * time.Second)
					if runs := u.activeRuns(); len(runs) > 0 {
						t.Fatalf("the record has the runs %v while a late call may start run 1", runs)
					}
				}
				if tc.returns {
					u.first = u.attach(report("m1/w/2"))
					u.commit()
					u.play(300 * time.Millisecond)
				}
				for u.now.Sub(lost) < _testLateStartWindow+u.core.sessions.maxLease()+8*time.Second && len(u.activeRuns()) == 0 {
					u.play(500 * time.Millisecond)
				}
				if runs := u.activeRuns(); len(runs) != 1 {
					t.Errorf("the record has the runs %v, %s after m1 was lost, want a next run", runs, u.now.Sub(lost))
				}
				if waited := u.now.Sub(lost); tc.returns && waited > 6*time.Second {
					t.Errorf("the next run started %s after m1 was lost, want it as soon as its agent was back", waited)
				}
			})
		}
	}
}

// TestNextRunIsNotStopped guards against work that is thrown away: no call can start the former
// run, or its agent is there.
func TestNextRunIsNotStopped(t *testing.T) {
	const callDelay = 12 * time.Second
	for _, tc := range []struct {
		name    string
		step    submission.Step
		lateFor time.Duration
		play    func(u *unansweredRun)
	}{
		{name: "every call answered", play: (*unansweredRun).loseFirst},
		{name: "the agent stays", lateFor: callDelay, play: func(*unansweredRun) {}},
		{name: "the worker starts again, and its agent stays", lateFor: callDelay, play: func(u *unansweredRun) {
			u.core.handleReport(u.now, u.first, &pb.AgentReport{Sent: 1, Agent: 7, Complete: true})
			u.core.detach(u.first)
			u.first = u.attach(&pb.AgentReport{Worker: report("m1/w/2").GetWorker(), Agent: 7})
			u.pass(100 * time.Millisecond)
			u.core.dispatchTasks(u.now)
			u.first = u.attach(report("m1/w/2"))
		}},
		{name: "the calls are over", lateFor: callDelay, play: func(u *unansweredRun) {
			u.play(callDelay + 2*time.Second)
			u.loseFirst()
		}},
		{name: "copies are allowed", step: submission.Step{Speculative: true}, lateFor: callDelay, play: (*unansweredRun).loseFirst},
		{name: "no further task may be unavailable", step: submission.Step{Count: 2, LongRunning: true, MaxUnavailable: 1}, lateFor: callDelay, play: func(u *unansweredRun) {
			sess := u.core.sessions.byIncarnation["m2/w/1"]
			for _, r := range u.activeRuns() { // of the other task
				if r.Run.Task.Index == 1 {
					u.core.handleReport(u.now, sess, &pb.AgentReport{Ends: []*pb.ListedEnd{{Number: 9, Run: wire.EncodeRun(r.Run), How: uint32(submission.Failed)}}})
				}
			}
			u.commit()
			u.loseFirst()
		}},
		{name: "the new leader has just begun", lateFor: callDelay, play: func(u *unansweredRun) {
			u.core.detach(u.second)
			u.changeLeader()
			u.second = u.attach(report("m2/w/1", u.run(2)))
			u.play(400 * time.Millisecond)
			u.first = u.attach(report("m1/w/1"))
			u.commit()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := newUnansweredRun(t, tc.step, submission.Failed, tc.lateFor)
			tc.play(u)
			u.play(300 * time.Millisecond)
			if _, stops := orderedRuns(u.second); len(stops) > 0 {
				t.Errorf("the stops %v were ordered", stops)
			}
		})
	}
}

// TestSettledRunsEndLeavesNoLateRun guards against stops after each replacement of an agent: the
// next agent doesn't know that the calls of the one before had answers, and the leader does.
func TestSettledRunsEndLeavesNoLateRun(t *testing.T) {
	l := newDrivenLeader(t)
	l.core.sessions.lateStarts.window = _testLateStartWindow
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	l.core.handleReport(l.now, sess, &pb.AgentReport{Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run(1)), Settled: true}}})
	l.core.detach(sess)
	next := report("m1/w/1")
	next.Ends = []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(l.run(1)), How: uint32(submission.Failed), LateFor: int64(12 * time.Second)}}
	l.attach(next)
	l.commit()
	if late := l.core.machine.Submissions().LateRuns(); len(late) > 0 {
		t.Errorf("the record has the late runs %v; all calls had answers", late)
	}
}

// TestNewLeaderStopsNextRunSoon guards against a second run of a task that a late call starts soon after
// an election: the leader and the first worker's machine were lost together.
func TestNewLeaderStopsNextRunSoon(t *testing.T) {
	u := newUnansweredRun(t, submission.Step{}, submission.Failed, 12*time.Second)
	u.loseFirst()
	u.core.detach(u.second)
	u.changeLeader()
	u.second = u.attach(report("m2/w/1", u.run(2)))
	u.play(700 * time.Millisecond)
	if _, stops := orderedRuns(u.second); len(stops) != 1 {
		t.Errorf("the stops %v were ordered within 0.7 s of the election, want run 2", stops)
	}
}
