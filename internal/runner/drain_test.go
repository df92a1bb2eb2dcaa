package runner

import (
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

func stopOrder(number uint32) *pb.AgentOrder {
	return &pb.AgentOrder{Term: 1, Stops: []*pb.Run{wire.EncodeRun(testRun(number))}}
}

// TestOutdatedStartIsNotRepeated guards against a start that was ordered before the worker
// announced that it leaves, or before a stop was ordered, and that is carried out when the
// worker answers again.
func TestOutdatedStartIsNotRepeated(t *testing.T) {
	leave := Announcement{ID: "w", StartTimeMS: 1000, Sequence: 2, Address: "10.0.0.1:1", Draining: true}
	for _, tc := range []struct {
		name   string
		called bool // a call that starts the run got no answer
		leave  func(r *Runner)
		want   submission.EndReason
	}{
		{name: "draining, a call without an answer", called: true, leave: func(r *Runner) { r.announce(leave) }, want: submission.Stopped},
		{name: "departed, a call without an answer", called: true, leave: func(r *Runner) { r.HandleDeparture(Incarnation{"w", 1000}) }, want: submission.Stopped},
		{name: "stop ordered, a call without an answer", called: true, leave: func(r *Runner) { r.deliverOrder(stopOrder(1)) }, want: submission.Stopped},
		{name: "draining, no call yet", leave: func(r *Runner) { r.announce(leave) }, want: submission.Rejected},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := &fakeWorker{startResults: []startResult{{err: errNoAnswer}}}
			r := newRunner(t, w)
			if !tc.called {
				r.mu.Lock()
				r.disconnected = true
				r.mu.Unlock()
			}
			r.deliverOrder(startOrder(1))
			if tc.called {
				eventually(t, "the start is tried", func() bool { return len(w.recordedCalls()) > 0 })
			}
			tc.leave(r)
			time.Sleep(2 * _retryInterval) // a call may be under way
			w.mu.Lock()
			w.startResults = []startResult{{answer: Started}}
			w.calls = nil
			w.mu.Unlock()
			r.mu.Lock()
			r.disconnected = false
			r.mu.Unlock()
			eventually(t, "the run has ended", func() bool {
				time.Sleep(_retryInterval)
				r.handlePollResult(t.Context(), r.currentIncarnation(), clock.Now(), Listing{Clock: time.Hour}, nil)
				return r.inferredReason(testRun(1)) != 0
			})
			if got := r.inferredReason(testRun(1)); got != tc.want {
				t.Errorf("the run is %s, want %s", got, tc.want)
			}
			if calls := w.recordedCalls(); slices.Contains(calls, "start") {
				t.Errorf("calls %v: a start after its order is out of date", calls)
			}
		})
	}
}

// TestUnhealthyAnswerRejectsNoEarlierStart guards against a run that counts as rejected
// while the start that an earlier agent has sent is still under way. A worker that answers
// as unhealthy has not read the order, so it may not refuse that start yet.
func TestUnhealthyAnswerRejectsNoEarlierStart(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{answer: Unhealthy}}}
	r := newRunner(t, w)
	o := startOrder(1)
	o.Attachment = 1 // the worker has listed its runs under an earlier token
	r.deliverOrder(o)
	eventually(t, "the start is tried", func() bool { return len(w.recordedCalls()) > 0 })
	eventually(t, "the run is stopped", func() bool { return slices.Contains(w.recordedCalls(), "stop") || r.inferredReason(testRun(1)) != 0 })
	if got := r.inferredReason(testRun(1)); got != 0 {
		t.Errorf("the run is %s before the worker has listed its runs under the present token", got)
	}
}
