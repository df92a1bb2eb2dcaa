package runner

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// thawedAgent returns an agent that has an order to start run 1 which it has not carried
// out, the next agent of the machine, and the leader's end of the latter's stream. The next
// agent has listed its worker's runs.
func thawedAgent(t *testing.T) (earlier, next *Runner, w *returningWorker, l *stubLeader) {
	t.Helper()
	earlier, w, l = newReturningRunner(t)
	earlier.mu.Lock()
	earlier.disconnected = true // keeps it from calling
	earlier.raised = 3          // more often than the next agent
	earlier.mu.Unlock()
	l.exchange(1)
	next = newRunnerBeside(t, w)
	l.r = next
	next.announceIncarnation(w.incarnation)
	l.attach()
	l.settle()
	return earlier, next, w, l
}

func (r *Runner) thaw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = false
}

// checkStartIsFenced waits until the worker has refused a start, and fails the test if run 1
// was started.
func (w *returningWorker) checkStartIsFenced(t *testing.T) {
	t.Helper()
	eventually(t, "a start is refused", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.fenced > 0 || w.active[testRun(1)]
	})
	if w.runs(testRun(1)) {
		t.Error("the run was started")
	}
}

// TestThawedAgentStartsNothing guards against an agent that was frozen with an order, and
// that carries it out beside its successor.
func TestThawedAgentStartsNothing(t *testing.T) {
	earlier, _, w, _ := thawedAgent(t)
	earlier.thaw()
	w.checkStartIsFenced(t)
}

// TestThawedAgentStartsNothingOnNextIncarnation guards against the same on an incarnation
// that its successor has taken up: it has seen no other token than the successor's.
func TestThawedAgentStartsNothingOnNextIncarnation(t *testing.T) {
	earlier, next, w, l := thawedAgent(t)
	next.announceIncarnation(w.restart())
	l.settle()
	earlier.thaw()
	w.checkStartIsFenced(t)
}

// TestThawedAgentRenewsNoLease guards against an agent that keeps runs beyond the lease that
// its successor knows of.
func TestThawedAgentRenewsNoLease(t *testing.T) {
	earlier, _, w, _ := thawedAgent(t)
	earlier.thaw()
	incarnation, req, ok := earlier.nextPoll()
	if !ok || req.LeaseEnd == 0 {
		t.Fatalf("got a poll with the lease end %s, want one that renews", req.LeaseEnd)
	}
	if list, err := w.Poll(t.Context(), incarnation.ID, req); !errors.Is(err, ErrFenced) {
		t.Errorf("the worker has answered the poll of the earlier agent with %+v, %v, want %v", list, err, ErrFenced)
	}
}

// TestThawedAgentEndsNothing guards against an agent that takes the refusals of its worker,
// which obeys its successor, for a worker that is gone.
func TestThawedAgentEndsNothing(t *testing.T) {
	earlier, w, l := newReturningRunner(t)
	l.exchange(1)
	w.waitForStarts(t, 1)
	l.settle()
	s := l.s
	next := newRunnerBeside(t, w)
	l.r = next
	next.announceIncarnation(w.incarnation)
	l.attach()
	l.settle()
	former := &stubLeader{t: t, r: earlier, w: w, s: s, last: l.last - 1, ended: l.ended}
	for range 2 * _maxFailedPolls {
		former.poll()
	}
	earlier.mu.Lock()
	earlier.lease.maxSentEnd, earlier.lease.heldUntil = clock.Now(), clock.Now()
	earlier.mu.Unlock()
	former.poll()
	if report, _ := earlier.nextReport(&former.s); len(report.GetRefused())+len(report.GetEnds()) != 0 {
		t.Errorf("the earlier agent has reported %v", report)
	}
}

// stoppingWorker stops its agent during each start, and leaves the start unanswered.
type stoppingWorker struct {
	*returningWorker
	stop context.CancelFunc
}

func (w *stoppingWorker) Start(ctx context.Context, id string, o StartOrder) (StartAnswer, time.Duration, error) {
	w.stop()
	return w.returningWorker.Start(ctx, id, o)
}

// TestStoppedAgentSendsNothing guards against calls of an agent that has stopped: its
// successor may run.
func TestStoppedAgentSendsNothing(t *testing.T) {
	r, w, l := newReturningRunner(t)
	ctx, cancel := context.WithCancel(t.Context())
	w.set(func() { w.hold = true })
	order := startOrder(1)
	order.Attachment = l.last
	r.mu.Lock()
	r.worker = &stoppingWorker{returningWorker: w, stop: cancel}
	r.applyOrder(ctx, order)
	r.mu.Unlock()
	eventually(t, "the start is sent", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.held) > 0
	})
	r.goroutines.Wait()
	time.Sleep(3 * _retryInterval) // goroutines that nothing waits for
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.held) != 1 {
		t.Errorf("%d starts were sent after the stop", len(w.held)-1)
	}
	if how := r.inferredReason(testRun(1)); how != 0 {
		t.Errorf("the run is %s since the agent has stopped", how)
	}
}
