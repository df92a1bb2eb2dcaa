package runner

import (
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// evacuated returns an order that says that the worker's zone is evacuated.
func evacuated(o *pb.AgentOrder) *pb.AgentOrder {
	o.Evacuated = true
	return o
}

// TestStartIsCancelledInEvacuatedZone guards against a start that was ordered before or with
// the news of an evacuation and is carried out afterwards, and against a run that ends because
// of one.
func TestStartIsCancelledInEvacuatedZone(t *testing.T) {
	for _, tc := range []struct {
		name   string
		called bool // a call that starts the run got no answer
		order  func(r *Runner)
		want   submission.EndReason
	}{
		{"no call yet", false, func(r *Runner) {
			r.deliverOrder(startOrder(1))
			r.deliverOrder(evacuated(&pb.AgentOrder{Term: 1}))
		}, submission.Rejected},
		{"in the same order", false, func(r *Runner) { r.deliverOrder(evacuated(startOrder(1))) }, submission.Rejected},
		{"a call without an answer", true, func(r *Runner) { r.deliverOrder(evacuated(&pb.AgentOrder{Term: 1})) }, submission.Stopped},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := &fakeWorker{startResults: []startResult{{err: errNoAnswer}}}
			r := newRunner(t, w)
			if tc.called {
				r.deliverOrder(startOrder(1))
				eventually(t, "the start is tried", func() bool { return len(w.recordedCalls()) > 0 })
			} else {
				r.mu.Lock()
				r.disconnected = true
				r.mu.Unlock()
			}
			tc.order(r)
			time.Sleep(2 * _retryInterval) // a call may be under way
			w.mu.Lock()
			w.startResults, w.calls = []startResult{{answer: Started}}, nil
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
				t.Errorf("calls %v: a start in an evacuated zone", calls)
			}
		})
	}
}

// TestRunsContinueInEvacuatedZone guards against runs that an evacuation stops, and against
// starts that are cancelled after it, or because of the late order of an earlier leader.
func TestRunsContinueInEvacuatedZone(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{answer: Started}}}
	r := newRunner(t, w)
	confirmed := func(number uint32) func() bool {
		return func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			tr := r.runs[testRun(number)]
			return tr != nil && tr.confirmed
		}
	}
	r.deliverOrder(startOrder(1))
	eventually(t, "the first run starts", confirmed(1))
	r.deliverOrder(evacuated(&pb.AgentOrder{Term: 2, Attachment: 1}))
	r.deliverOrder(&pb.AgentOrder{Term: 1, Attachment: 9}) // of the former leader
	r.deliverOrder(evacuated(&pb.AgentOrder{Term: 2, Attachment: 1, Starts: startOrder(2).Starts}))
	time.Sleep(3 * _retryInterval)
	if calls := w.recordedCalls(); !slices.Equal(calls[:1], []string{"start"}) || slices.Contains(calls[1:], "start") {
		t.Errorf("calls %v, want one start", calls)
	}
	if !confirmed(1)() {
		t.Error("the run does not go on")
	}
	r.deliverOrder(&pb.AgentOrder{Term: 2, Attachment: 1})
	o := startOrder(3)
	o.Term, o.Attachment = 2, 1
	r.deliverOrder(o)
	eventually(t, "a run starts after the evacuation", confirmed(3))
}

// TestWarmUpIsReported guards against a leader that does not learn how long a worker stays
// slow, or the length of its ramp, and against a report for each announcement.
func TestWarmUpIsReported(t *testing.T) {
	r := newRunner(t, &fakeWorker{startResults: []startResult{{answer: Started}}})
	s := session{incarnation: r.currentIncarnation(), inferredEnds: make(map[submission.RunID]bool)}
	next := func(sequence uint64, left time.Duration) *pb.WorkerLife {
		r.announce(Announcement{ID: "w", StartTimeMS: 1000, Sequence: sequence, Address: "10.0.0.1:1", WarmUpLeft: left})
		report, _ := r.nextReport(&s)
		return report.GetWorker()
	}
	near := func(got int64, want time.Duration) bool { return (time.Duration(got) - want).Abs() < 2*time.Second }
	if w := next(2, 0); w == nil || w.GetWarmUpLeft() != 0 || w.GetWarmUp() != 0 {
		t.Errorf("a warm worker is reported as %v", w)
	}
	if w := next(3, 40*time.Second); w == nil || !near(w.GetWarmUpLeft(), 40*time.Second) || w.GetWarmUp() != int64(40*time.Second) {
		t.Errorf("the start of the warm-up is reported as %v", w)
	}
	if w := next(4, 40*time.Second-time.Millisecond); w != nil {
		t.Errorf("an announcement without news is reported as %v", w)
	}
	if w := next(5, 20*time.Second); w == nil || !near(w.GetWarmUpLeft(), 20*time.Second) || w.GetWarmUp() != int64(40*time.Second) {
		t.Errorf("a shorter rest is reported as %v", w)
	}
	if w := next(6, 0); w == nil || w.GetWarmUpLeft() != 0 {
		t.Errorf("the end of the warm-up is reported as %v", w)
	}
}
