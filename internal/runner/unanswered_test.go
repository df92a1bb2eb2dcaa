package runner

import (
	"context"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// fencingWorker answers the first start with Fenced, and passes on the later ones.
type fencingWorker struct {
	*returningWorker
	starts int
}

func (w *fencingWorker) Start(ctx context.Context, id string, o StartOrder) (StartAnswer, time.Duration, error) {
	w.mu.Lock()
	w.starts++
	first := w.starts == 1
	w.mu.Unlock()
	if first {
		return Fenced, 0, nil
	}
	return w.returningWorker.Start(ctx, id, o)
}

// activeRun returns the report's entry of a run, or nil if it is not reported as active.
func activeRun(report *pb.AgentReport, run submission.RunID) *pb.ListedRun {
	for _, a := range report.GetActive() {
		if wire.DecodeRun(a.GetRun()) == run {
			return a
		}
	}
	return nil
}

// completeReport returns the first report on a new stream.
func (l *stubLeader) completeReport() *pb.AgentReport {
	l.attach()
	report, _ := l.r.nextReport(&l.s)
	return report
}

// TestStartWithoutAnswerIsReportedAsUnsettled guards against a leader that ends a run
// with its agent's lease although a late start may still give the run another lease.
func TestStartWithoutAnswerIsReportedAsUnsettled(t *testing.T) {
	const callDelay = 10 * time.Second
	for _, tc := range []struct {
		name    string
		lost    bool // the first call gets no answer
		restart bool // the agent restarts after the start
		settled bool
	}{
		{name: "every call answered", settled: true},
		{name: "first call without an answer", lost: true},
		{name: "call of an earlier agent", restart: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, w, l := newReturningRunner(t)
			r.callDelay, r.began = callDelay, clock.Now()
			if tc.lost {
				holdStart(t, w, l)
				w.set(func() { w.hold = false })
			} else {
				l.exchange(1)
			}
			eventually(t, "the run is active", func() bool { return w.runs(testRun(1)) })
			if tc.restart {
				r = newRunnerBeside(t, w)
				r.callDelay, r.began = callDelay, clock.Now()
				l.r = r
				r.announceIncarnation(w.incarnation)
			}
			var reported *pb.ListedRun
			eventually(t, "the run is reported", func() bool {
				l.settle()
				reported = activeRun(l.completeReport(), testRun(1))
				return reported != nil
			})
			settlesIn := time.Duration(reported.GetSettlesIn())
			least := r.maxLease // that of any run that the agent has found
			if tc.settled {
				least = -1
			}
			if reported.GetSettled() != tc.settled || (settlesIn > 0) == tc.settled || settlesIn <= least || settlesIn > callDelay+r.maxLease {
				t.Errorf("the run is reported as settled: %t, in %s; want settled: %t", reported.GetSettled(), settlesIn, tc.settled)
			}
		})
	}
}

// TestRefusedStartIsNotReportedAsActive guards against a run that counts as begun and
// settled before its next call.
func TestRefusedStartIsNotReportedAsActive(t *testing.T) {
	r, w, l := newReturningRunner(t)
	r.worker = &fencingWorker{returningWorker: w}
	r.callDelay = 10 * time.Second
	w.set(func() { w.hold = true })
	l.exchange(1)
	var reported *pb.ListedRun
	eventually(t, "a later call is under way", func() bool {
		r.mu.Lock()
		r.reportAll() // as when another incarnation answers
		r.mu.Unlock()
		report, _ := r.nextReport(&l.s)
		if a := activeRun(report, testRun(1)); a != nil {
			reported = a
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.held) > 0
	})
	if reported != nil {
		t.Errorf("the run is reported as active, settled: %t; its start was refused, and a call is under way", reported.GetSettled())
	}
}

// TestRunKnownFromStopOrderIsReportedAsUnsettled guards against calls of an earlier agent
// that count as answered.
func TestRunKnownFromStopOrderIsReportedAsUnsettled(t *testing.T) {
	_, w, l := newReturningRunner(t)
	w.set(func() { w.active[testRun(1)], w.refuseStops = true, true })
	r := newRunnerBeside(t, w)
	r.callDelay, r.began = 10*time.Second, clock.Now()
	l.r = r
	r.announceIncarnation(w.incarnation)
	l.attach()
	r.deliverOrder(&pb.AgentOrder{
		Term: 1, Attachment: l.last, Sent: clock.Now().UnixNano(), Lease: int64(time.Minute), Stops: []*pb.Run{wire.EncodeRun(testRun(1))},
	})
	l.poll()
	if a := activeRun(l.completeReport(), testRun(1)); a == nil || a.GetSettled() {
		t.Errorf("the run is reported as %v; want it active and not settled", a)
	}
}

// waitForAnswer waits until the answer to a run's start is handled.
func (r *Runner) waitForAnswer(t *testing.T, run submission.RunID) {
	t.Helper()
	eventually(t, "the answer is handled", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		tr := r.runs[run]
		return tr == nil || tr.confirmed
	})
}

// TestAnsweredStartOnNextIncarnationIsReportedAsUnsettled guards against the end with the
// grant of a run that holds the longest lease: the one that was started, or another one.
func TestAnsweredStartOnNextIncarnationIsReportedAsUnsettled(t *testing.T) {
	for _, tc := range []struct {
		name  string
		polls bool // a poll shows that another incarnation runs
	}{
		{name: "the worker's clock stepped back"},
		{name: "another incarnation answers a poll", polls: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, w, l := newReturningRunner(t)
			r.callDelay = 10 * time.Second
			if !tc.polls {
				w.set(func() { w.began = w.began.Add(-time.Hour) })
				l.settle()
			}
			l.exchange(2)
			w.waitForStarts(t, 2)
			l.settle()
			w.restart()
			l.exchange(1)
			eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
			started := clock.Now()
			r.waitForAnswer(t, testRun(1))
			if tc.polls {
				r.nextReport(&l.s)
				l.poll()
			}
			report, _ := r.nextReport(&l.s)
			for _, run := range []submission.RunID{testRun(1), testRun(2)} {
				a := activeRun(report, run)
				until := clock.Now().Add(time.Duration(a.GetSettlesIn()))
				if held := until.Sub(started); a == nil || held < r.maxLease-time.Second {
					t.Errorf("%v is reported as %v, so settled after %s; the worker may have given it %s", run, a, held, r.maxLease)
				}
			}
		})
	}
}

// TestAnsweredStartOnNextIncarnationOutlivesLease guards against the end of a run that holds
// the longest lease, while polls have no answer.
func TestAnsweredStartOnNextIncarnationOutlivesLease(t *testing.T) {
	r, w, l := newReturningRunner(t)
	w.set(func() { w.began = w.began.Add(-time.Hour) })
	l.settle()
	w.restart()
	l.exchange(1)
	eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
	r.waitForAnswer(t, testRun(1))
	late := clock.Now().Add(_maxWorkerLease + 100*time.Millisecond)
	r.failPolls(late, context.DeadlineExceeded, context.DeadlineExceeded, context.DeadlineExceeded)
	if end := r.inferredEnd(testRun(1)); end.Reason != 0 {
		t.Errorf("the run is %s after %s; its worker has given it %s", end.Reason, _maxWorkerLease, r.maxLease)
	}
}

// TestRunListedByNextIncarnationIsNotEnded guards against the end of a run that an
// incarnation lists for longer than the longest lease without announcing itself.
func TestRunListedByNextIncarnationIsNotEnded(t *testing.T) {
	r, w, l := newReturningRunner(t)
	l.exchange(1)
	eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
	l.settle()
	next := w.restart()
	list := Listing{StartTimeMS: next.StartTimeMS, Clock: time.Second, Active: []ListedRun{{Run: testRun(1)}}}
	for range 2 {
		r.handlePollResult(t.Context(), r.currentIncarnation(), clock.Now(), list, nil)
		r.mu.Lock()
		r.lease.maxSentEnd, r.lease.heldUntil = time.Time{}, time.Time{} // the leases have expired
		r.mu.Unlock()
	}
	if how := r.inferredReason(testRun(1)); how != 0 {
		t.Errorf("the run is %s while the next incarnation lists it", how)
	}
}

// TestThawedAgentEndsNoRunThatALateCallMayHaveStarted guards against the end of a run with
// the lease that the agent sent before it stood still.
func TestThawedAgentEndsNoRunThatALateCallMayHaveStarted(t *testing.T) {
	for _, tc := range []struct {
		name  string
		looks func(r *Runner, standStill func()) // what the agent does when the lease has expired
	}{
		{"between polls", func(r *Runner, standStill func()) {
			standStill()
			incarnation, _, _ := r.nextPoll()
			r.handlePollResult(context.Background(), incarnation, clock.Now(), Listing{}, errNoAnswer)
		}},
		{"during a poll", func(r *Runner, standStill func()) {
			incarnation, _, _ := r.nextPoll()
			standStill()
			r.handlePollResult(context.Background(), incarnation, clock.Now(), Listing{}, errNoAnswer)
		}},
		{"after the worker's departure", func(r *Runner, standStill func()) {
			r.HandleDeparture(r.currentIncarnation())
			standStill()
			r.nextPoll()
		}},
	} {
		for _, frozen := range []bool{true, false} {
			r, w, l := newReturningRunner(t)
			r.callDelay = 10 * time.Second
			holdStart(t, w, l)
			w.set(func() { w.hold, w.down = false, true })
			for range _maxFailedPolls - 1 {
				l.poll()
			}
			r.mu.Lock()
			r.lease.maxSentEnd, r.lease.heldUntil = time.Time{}, time.Time{} // the lease has expired
			r.mu.Unlock()
			tc.looks(r, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				if frozen {
					r.polledAt = r.polledAt.Add(-5 * time.Second)
				}
			})
			if how := r.inferredReason(testRun(1)); (how == 0) != frozen {
				t.Errorf("%s: the run is %s; the agent was frozen: %t", tc.name, how, frozen)
			}
		}
	}
}

// TestRestartedAgentReportsRunsAsSettled guards against tasks that wait for late calls of an
// earlier agent, all of which were answered, when the machine is lost.
func TestRestartedAgentReportsRunsAsSettled(t *testing.T) {
	for _, tc := range []struct {
		name     string
		told     bool // by the leader: every call of the earlier agent was answered
		repeated bool // and then the agent's own call gets no answer
		want     bool
	}{
		{name: "told by the leader", told: true, want: true},
		{name: "not told"},
		{name: "own call without an answer", told: true, repeated: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, w, l := newReturningRunner(t)
			if !tc.repeated {
				l.exchange(1)
				eventually(t, "the run is active", func() bool { return w.runs(testRun(1)) })
			}
			r := newRunnerBeside(t, w)
			r.callDelay, r.began = 10*time.Second, clock.Now()
			l.r = r
			r.announceIncarnation(w.incarnation)
			l.settle()
			if tc.repeated {
				holdStart(t, w, l)
				w.set(func() { w.hold = false })
				eventually(t, "the run is active", func() bool { return w.runs(testRun(1)) })
				l.settle()
			}
			description := startOrder(1)
			description.Attachment = l.last
			description.Starts[0].Text, description.Starts[0].Settled = "", tc.told
			r.deliverOrder(description)
			report, _ := r.nextReport(&l.s)
			a := activeRun(report, testRun(1))
			if !tc.want {
				a = activeRun(l.completeReport(), testRun(1))
			}
			if a == nil || (a.GetSettlesIn() <= int64(r.longestLease())) != tc.want {
				t.Errorf("the run is reported as %v; want it to be settled after the longest lease of %s: %t", a, r.longestLease(), tc.want)
			}
		})
	}
}

// TestEndSaysWhetherLateCallMayStartRunAgain guards against a second run of a task beside one that
// has ended on the worker's word: a leader must know that a call for it may still be carried out.
func TestEndSaysWhetherLateCallMayStartRunAgain(t *testing.T) {
	const callDelay = 10 * time.Second
	for _, tc := range []struct {
		name    string
		lost    bool // the first call gets no answer, the second one does
		restart bool // the agent restarts before the end is listed
		stop    bool // the run is stopped before it has started
		late    bool
	}{
		{name: "every call answered"},
		{name: "first call without an answer", lost: true, late: true},
		{name: "call of an earlier agent", restart: true, late: true},
		{name: "stopped before an answer", lost: true, stop: true, late: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, w, l := newReturningRunner(t)
			r.callDelay, r.began = callDelay, clock.Now()
			if tc.lost {
				holdStart(t, w, l)
				if tc.stop {
					r.deliverOrder(&pb.AgentOrder{Term: 1, Attachment: l.last, Stops: []*pb.Run{wire.EncodeRun(testRun(1))}})
				}
				w.set(func() { w.hold = false })
			} else {
				l.exchange(1)
			}
			if !tc.stop {
				eventually(t, "the run is active", func() bool { return w.runs(testRun(1)) })
				r.waitForAnswer(t, testRun(1))
				w.set(func() { w.end(testRun(1), submission.Failed) })
			}
			if tc.restart {
				r = newRunnerBeside(t, w)
				r.callDelay, r.began = callDelay, clock.Now()
				l.r = r
				r.announceIncarnation(w.incarnation)
			}
			var lateFor time.Duration
			eventually(t, "the end is reported", func() bool {
				l.poll()
				report := l.completeReport()
				for _, e := range report.GetEnds() {
					lateFor = time.Duration(e.GetLateFor())
				}
				for _, e := range report.GetRefused() {
					lateFor = time.Duration(e.GetLateFor())
				}
				l.r.deliverOrder(&pb.AgentOrder{Term: 1, Attachment: l.last})
				return len(report.GetEnds())+len(report.GetRefused()) > 0
			})
			if (lateFor > callDelay-2*time.Second) != tc.late || lateFor > callDelay {
				t.Errorf("the end says that a call may be carried out for %s, want late: %t", lateFor, tc.late)
			}
		})
	}
}
