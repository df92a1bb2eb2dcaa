package runner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// TestInferredEndWaitsForListing guards against ends that are reported before the next
// incarnation has listed its runs, in the report that says that the former one is gone or
// in a later one.
func TestInferredEndWaitsForListing(t *testing.T) {
	for _, tc := range []struct {
		name string
		gone bool
	}{
		{name: "on the former stream", gone: true},
		{name: "on the next stream"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, w, l := newReturningRunner(t)
			next := w.restart()
			l.exchange(1)
			eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
			r.announceIncarnation(next)
			if !tc.gone {
				l.attach()
			}
			if report, _ := r.nextReport(&l.s); len(report.GetRefused()) != 0 {
				t.Error("the run was reported as lost while it runs")
			}
		})
	}
}

// TestLateStartRightAfterReportedEndIsFenced guards against an end that is reported on a
// listing under the token of the order whose run it ends.
func TestLateStartRightAfterReportedEndIsFenced(t *testing.T) {
	r, w, l := newReturningRunner(t)
	holdStart(t, w, l)
	next := w.restart()
	w.set(func() { w.hold = false })
	r.announceIncarnation(next)
	for range 20 {
		l.poll()
		l.exchange()
		if l.ended[testRun(1)] != 0 {
			w.carryOutHeld()
			l.check()
			return
		}
	}
	t.Error("the end was not reported")
}

// TestListingUnderFormerTokenEndsNothing guards against ends on the word of a poll that
// was under way when the token of the next stream arrived.
func TestListingUnderFormerTokenEndsNothing(t *testing.T) {
	r, w, l := newReturningRunner(t)
	holdStart(t, w, l)
	next := w.restart()
	r.announceIncarnation(next)
	incarnation, req, _ := r.nextPoll()
	sent := clock.Now()
	list, err := w.Poll(t.Context(), incarnation.ID, req)
	l.exchange()
	r.handlePollResult(t.Context(), incarnation, sent, list, err)
	l.exchange()
	w.carryOutHeld()
	l.check()
}

// TestStaleOrderIsIgnored guards against an order of an earlier stream that arrives late.
func TestStaleOrderIsIgnored(t *testing.T) {
	r, w, l := newReturningRunner(t)
	stale := startOrder(1)
	stale.Attachment = l.last
	l.attach()
	l.exchange()
	r.deliverOrder(stale)
	time.Sleep(2 * _retryInterval)
	if w.runs(testRun(1)) {
		t.Error("the order was carried out")
	}
}

// TestPollInDoubtDiscardsNoEnds guards against ends of the next incarnation that are
// discarded under the numbers of the former one.
func TestPollInDoubtDiscardsNoEnds(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(r *Runner, w *returningWorker, l *stubLeader)
	}{
		{"no answer", func(r *Runner, _ *returningWorker, _ *stubLeader) { r.failPolls(clock.Now(), errNoAnswer) }},
		{"another incarnation answers", func(_ *Runner, w *returningWorker, l *stubLeader) {
			w.restart()
			l.poll()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, w, l := newReturningRunner(t)
			w.set(func() { w.end(testRun(1), submission.Done) })
			l.settle()
			if _, req, _ := r.nextPoll(); req.LastRecordedEnd != 1 {
				t.Fatalf("end %d is acknowledged, want 1", req.LastRecordedEnd)
			}
			tc.change(r, w, l)
			if _, req, _ := r.nextPoll(); req.LastRecordedEnd != 0 {
				t.Errorf("end %d is acknowledged in doubt", req.LastRecordedEnd)
			}
		})
	}
}

// TestSupersededPollCarriesNoLease guards against a lease on the former clock for an
// incarnation that is known to be another one.
func TestSupersededPollCarriesNoLease(t *testing.T) {
	r, w, l := newReturningRunner(t)
	w.restart()
	l.poll()
	if _, req, ok := r.nextPoll(); !ok || req.LeaseEnd != 0 {
		t.Errorf("got a poll with the lease end %s, want none", req.LeaseEnd)
	}
	if report, _ := r.nextReport(&l.s); !report.GetWorker().GetSilent() {
		t.Error("the leader may place runs on the former incarnation")
	}
}

// TestRunsOfDepartedWorkerEnd guards against runs that never end since their worker has
// left and its agent stays.
func TestRunsOfDepartedWorkerEnd(t *testing.T) {
	r, w, l := newReturningRunner(t)
	l.exchange(1)
	eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
	l.settle()
	r.HandleDeparture(r.currentIncarnation())
	r.mu.Lock()
	r.lease.maxSentEnd, r.lease.heldUntil = clock.Now(), clock.Now()
	r.mu.Unlock()
	w.set(func() { w.down = true })
	if _, _, ok := r.nextPoll(); ok {
		t.Error("the worker is asked again")
	}
	if how := r.inferredReason(testRun(1)); how != submission.LeaseExpired {
		t.Errorf("the run is %s after its lease has expired", how)
	}
}

// TestNewAgentRespectsLeaseOfEarlierAgent guards against an agent that takes the leases
// of the one before it for expired, also once it has taken up its worker.
func TestNewAgentRespectsLeaseOfEarlierAgent(t *testing.T) {
	w := newReturningWorker()
	r := Start(event.Log{}, "m", "10.0.0.1:1", w, time.Minute, time.Minute, control.NewClient([]string{"127.0.0.1:1"}), metrics.NewRegistry())
	defer func() { _ = r.Stop(t.Context()) }()
	soon := clock.Now().Add(_maxWorkerLease / 2)
	r.announceIncarnation(w.incarnation)
	eventually(t, "the worker is taken up", func() bool { return r.currentIncarnation() == w.incarnation })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease.hasExpired(soon) {
		t.Error("the lease of an earlier agent counts as expired")
	}
}

// TestRunOnSupersedingIncarnationHoldsTheLongestLease guards against the end of a run
// that the next incarnation has, since the lease that this agent sent has expired.
func TestRunOnSupersedingIncarnationHoldsTheLongestLease(t *testing.T) {
	r, w, l := newReturningRunner(t)
	w.restart()
	l.exchange(1)
	eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
	l.poll()
	answered := clock.Now()
	w.set(func() { w.down = true })
	r.failPolls(answered.Add(r.maxLease-500*time.Millisecond), errNoAnswer, errNoAnswer, errNoAnswer)
	l.exchange()
}

// TestRunsOfSupersededIncarnationCrashed guards against losses that no task is blamed
// for: the worker crashed, and was back before a poll failed.
func TestRunsOfSupersededIncarnationCrashed(t *testing.T) {
	r, w, l := newReturningRunner(t)
	l.exchange(1)
	eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
	l.settle()
	next := w.restart()
	l.poll()
	r.announceIncarnation(next)
	l.settle()
	if how := l.ended[testRun(1)]; how != submission.Crashed {
		t.Errorf("the run is %s, want %s", how, submission.Crashed)
	}
}

// TestEndListedByNextIncarnationReplacesInferredEnd guards against a run that counts as
// lost although the next incarnation has completed it.
func TestEndListedByNextIncarnationReplacesInferredEnd(t *testing.T) {
	r, w, l := newReturningRunner(t)
	next := w.restart()
	l.exchange(1)
	eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
	w.set(func() { w.end(testRun(1), submission.Done) })
	r.announceIncarnation(next)
	l.attach()
	l.settle()
	if how := l.ended[testRun(1)]; how != submission.Done {
		t.Errorf("the run is %s, want %s", how, submission.Done)
	}
	if how := r.inferredReason(testRun(1)); how != 0 {
		t.Errorf("the run is also %s", how)
	}
}

// TestRunListedAfterCompleteListIsReported guards against a stray run that the leader
// doesn't learn of, and whose task it starts again.
func TestRunListedAfterCompleteListIsReported(t *testing.T) {
	r, w, l := newReturningRunner(t)
	w.set(func() { w.active[testRun(7)] = true })
	l.poll()
	report, _ := r.nextReport(&l.s)
	if len(report.GetActive()) != 1 || report.GetListedAttachment() != l.last {
		t.Errorf("got %d active runs under attachment %d, want 1 under %d", len(report.GetActive()), report.GetListedAttachment(), l.last)
	}
}

// TestNoCompleteListUnderFormerToken guards against tasks for a worker that a late order
// for its former incarnation can still reach.
func TestNoCompleteListUnderFormerToken(t *testing.T) {
	r, w, l := newReturningRunner(t)
	r.announceIncarnation(w.restart())
	l.poll()
	l.attach()
	if report, _ := r.nextReport(&l.s); report.GetComplete() {
		t.Error("the list is complete before a listing under the token of the stream")
	}
	l.exchange()
	l.poll()
	if report, _ := r.nextReport(&l.s); !report.GetComplete() || report.GetListedAttachment() != l.last {
		t.Errorf("complete %t under attachment %d; want a complete list under %d", report.GetComplete(), report.GetListedAttachment(), l.last)
	}
}

// TestStartOfEarlierAgentMayFollowRejection guards against a start of an earlier agent
// that is carried out right after this one has reported its run as rejected.
func TestStartOfEarlierAgentMayFollowRejection(t *testing.T) {
	r, w, l := newReturningRunner(t)
	w.set(func() {
		w.held = []StartOrder{{Run: testRun(1), LeaseEnd: time.Hour, Token: token{term: 1, attachment: l.last}.fence(0)}}
	})
	r.announce(Announcement{ID: "w", StartTimeMS: 1000, Sequence: 2, Address: "10.0.0.1:1", Draining: true})
	l.attach()
	l.exchange(1)
	l.exchange()
	w.carryOutHeld()
	l.check()
}

// TestFoundRunIsNotReportedAsEnded guards against the end of a run that the worker is slow
// to stop.
func TestFoundRunIsNotReportedAsEnded(t *testing.T) {
	r, w, l := newReturningRunner(t)
	next := w.restart()
	l.exchange(1)
	eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
	w.set(func() { w.refuseStops = true })
	r.announceIncarnation(next)
	l.settle()
	if how := l.ended[testRun(1)]; how != 0 {
		t.Errorf("the run is %s while it runs", how)
	}
}

// TestRestartedAgentTakesUpFencedWorker guards against an agent that never learns the
// term: its worker has seen it, and refuses to list its runs without it.
func TestRestartedAgentTakesUpFencedWorker(t *testing.T) {
	r, w, l := newReturningRunner(t)
	r.mu.Lock()
	r.reset()
	r.incarnation, r.token = Incarnation{}, token{}
	r.mu.Unlock()
	r.announceIncarnation(w.incarnation)
	l.attach()
	l.settle()
	if !l.s.complete {
		t.Error("the agent has not listed the runs of its worker")
	}
}

// TestListedEndOutlivesItsIncarnation guards against work that is done twice: the worker
// starts again after it has listed an end and before the leader has recorded it.
func TestListedEndOutlivesItsIncarnation(t *testing.T) {
	r, w, l := newReturningRunner(t)
	l.exchange(1)
	eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
	w.set(func() { w.end(testRun(1), submission.Done) })
	l.poll()
	r.announceIncarnation(w.restart())
	eventually(t, "the end is reported", func() bool {
		l.settle()
		return l.ended[testRun(1)] != 0
	})
	if got := l.ended[testRun(1)]; got != submission.Done {
		t.Errorf("the run is reported as %s, want done", got)
	}
}

// TestRunsOfSupersededWorkerEnd guards against runs that never end since the incarnation
// that answers never announces itself.
func TestRunsOfSupersededWorkerEnd(t *testing.T) {
	r, w, l := newReturningRunner(t)
	l.exchange(1)
	eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
	l.settle()
	w.restart()
	l.poll()
	r.mu.Lock()
	r.lease.maxSentEnd, r.lease.heldUntil = clock.Now(), clock.Now()
	r.mu.Unlock()
	l.poll()
	if how := r.inferredReason(testRun(1)); how == 0 {
		t.Error("the run goes on after its lease has expired")
	}
}

// TestStopEndsWhileWorkerIsInDoubt guards against an agent that does not stop, since a
// start waits for an answer to a poll.
func TestStopEndsWhileWorkerIsInDoubt(t *testing.T) {
	r, w, l := newReturningRunner(t)
	ctx, cancel := context.WithCancel(t.Context())
	w.set(func() { w.down = true })
	l.poll()
	r.mu.Lock()
	r.applyOrder(ctx, &pb.AgentOrder{Term: 1, Attachment: l.last, Starts: startOrder(1).GetStarts(), Stops: []*pb.Run{wire.EncodeRun(testRun(2))}})
	r.mu.Unlock()
	cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		r.goroutines.Wait()
	}()
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Error("the goroutines go on after the agent has stopped")
	}
}

// TestCancelledPollPutsWorkerInNoDoubt guards against starts that wait for a poll which
// the agent, as it stops, makes no more.
func TestCancelledPollPutsWorkerInNoDoubt(t *testing.T) {
	w := &slowPollWorker{}
	r := newRunner(t, &w.fakeWorker)
	r.worker = w
	ctx, cancel := context.WithCancel(t.Context())
	var loop sync.WaitGroup
	loop.Go(func() { r.pollLoop(ctx) })
	eventually(t, "a poll is made", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.polls > 0
	})
	cancel()
	loop.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isInDoubt() {
		t.Error("the worker is in doubt")
	}
}
