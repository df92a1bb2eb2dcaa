package runner

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// endOf makes the worker end the runs as done, in that order.
func (w *returningWorker) endOf(numbers ...uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range numbers {
		w.end(testRun(n), submission.Done)
	}
}

// waitForStarts waits until the worker has started the runs.
func (w *returningWorker) waitForStarts(t *testing.T, numbers ...uint32) {
	t.Helper()
	eventually(t, "the runs start", func() bool {
		for _, n := range numbers {
			if !w.runs(testRun(n)) {
				return false
			}
		}
		return true
	})
}

// TestRunBeyondListedEndsIsNotInferredEnded guards against the end of a run that is done
// being inferred because the worker has more ends than it lists: the task would run again.
func TestRunBeyondListedEndsIsNotInferredEnded(t *testing.T) {
	for _, tc := range []struct {
		name string
		stop bool // the run is ordered to be stopped after its end
	}{
		{name: "missing run"},
		{name: "stopped run", stop: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, w, l := newReturningRunner(t)
			l.exchange(1, 2)
			w.waitForStarts(t, 1, 2)
			l.poll()
			w.endOf(1, 2)
			w.set(func() { w.maxEnds = 1 })
			if tc.stop {
				r.deliverOrder(&pb.AgentOrder{Term: 1, Attachment: l.last, Stops: []*pb.Run{wire.EncodeRun(testRun(2))}})
			}
			for end := time.Now().Add(_missingRunTimeout + 300*time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				l.poll()
			}
			l.settle()
			if got := l.ended[testRun(2)]; got != submission.Done {
				t.Errorf("the run was reported as %s, want done", got)
			}
		})
	}
}

// TestLostRunIsNoticedAfterPartialListings guards against a run that counts as active for
// ever because some listings were partial.
func TestLostRunIsNoticedAfterPartialListings(t *testing.T) {
	r, w, l := newReturningRunner(t)
	l.exchange(1, 2, 3)
	w.waitForStarts(t, 1, 2, 3)
	l.poll()
	w.endOf(1, 2)
	w.set(func() {
		w.maxEnds = 1
		delete(w.active, testRun(3)) // without an end, as members of a gang that is done
	})
	l.poll()
	l.settle()
	eventually(t, "the run counts as lost", func() bool {
		l.poll()
		return r.inferredReason(testRun(3)) == submission.Lost
	})
}

// TestPartialListingRejectsNoStart guards against a start that counts as rejected although
// the run is done: a restarted agent knows only the ends that the worker lists.
func TestPartialListingRejectsNoStart(t *testing.T) {
	_, w, l := newReturningRunner(t)
	l.exchange(1, 2)
	w.waitForStarts(t, 1, 2)
	w.endOf(1, 2)
	w.set(func() { w.maxEnds = 1 })
	r := newRunnerBeside(t, w)
	l.r = r
	r.announce(Announcement{ID: "w", StartTimeMS: 1000, Sequence: 2, Address: "10.0.0.1:1", Draining: true})
	l.attach()
	r.deliverOrder(&pb.AgentOrder{Term: 1, Attachment: l.last})
	l.poll()
	r.deliverOrder(&pb.AgentOrder{Term: 1, Attachment: l.last, Starts: startOrder(2).Starts})
	if got := r.inferredReason(testRun(2)); got != 0 {
		t.Errorf("the run counts as %s", got)
	}
	l.settle()
	if got := l.ended[testRun(2)]; got != submission.Done {
		t.Errorf("the run was reported as %s, want done", got)
	}
}

// TestPartialListingSettlesNoFormerIncarnation guards against a run that counts as lost
// with the former incarnation although the present one has carried out its start and
// completed it, beyond the ends that it lists.
func TestPartialListingSettlesNoFormerIncarnation(t *testing.T) {
	r, w, l := newReturningRunner(t)
	w.set(func() { w.hold = true })
	l.exchange(1, 2, 3)
	eventually(t, "the starts are sent", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		sent := make(map[uint32]bool)
		for _, o := range w.held {
			sent[o.Run.Number] = true
		}
		return len(sent) == 3
	})
	next := w.restart()
	w.set(func() {
		w.hold = false
		w.maxEnds = 1
		for i := range w.held {
			w.held[i].LeaseEnd = time.Hour
		}
	})
	w.carryOutHeld()
	w.endOf(1, 2, 3)
	r.announceIncarnation(next)
	l.settle()
	if got := l.ended[testRun(3)]; got != submission.Done {
		t.Errorf("the run was reported as %s, want done", got)
	}
}
