package runner

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// TestLateStartOnFurtherIncarnationFollowsNoEnd guards against a second run of a task: the
// worker has started again, has listed its runs and starts again once more. That incarnation
// has seen no token, and carries out a start of the first one while nobody asks it.
func TestLateStartOnFurtherIncarnationFollowsNoEnd(t *testing.T) {
	r, w, l := newReturningRunner(t)
	r.callDelay = time.Minute
	holdStart(t, w, l)
	w.set(func() { w.hold = false })
	eventually(t, "the start is answered", func() bool { return w.runs(testRun(1)) })
	l.settle()
	r.announceIncarnation(w.restart())
	l.settle()
	if how := l.ended[testRun(1)]; how != 0 {
		t.Errorf("the run was reported as %s while its start may be carried out late", how)
	}
	report, _ := r.nextReport(&l.s)
	if report.GetListedAttachment() != 0 {
		t.Error("the lists were reported as proof that the former incarnation's runs have ended")
	}
	w.set(func() { w.began = w.began.Add(-time.Hour) })
	w.restart()
	w.set(func() { w.began = w.began.Add(-time.Second) })
	w.carryOutHeld()
	l.check()
}

// TestRunsEndWhenNoStartIsLate guards against tasks that wait for ever, or without need, for
// a start that can't be carried out any more.
func TestRunsEndWhenNoStartIsLate(t *testing.T) {
	for _, tc := range []struct {
		name     string
		held     bool // one call to start the run has no answer
		restarts int
	}{
		{"all calls have answers", false, 1},
		{"all calls have answers, two restarts", false, 2},
		{"a call has no answer", true, 1},
		{"a call has no answer, two restarts", true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const callDelay = 300 * time.Millisecond
			r, w, l := newReturningRunner(t)
			r.callDelay = callDelay
			if tc.held {
				holdStart(t, w, l)
				w.set(func() { w.hold, w.held = false, nil })
			} else {
				r.callDelay = time.Hour
				l.exchange(1)
			}
			eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
			l.settle()
			for range tc.restarts {
				r.announceIncarnation(w.restart())
				l.settle()
			}
			if tc.held {
				time.Sleep(callDelay + 2*_callTimeout)
				l.settle()
			}
			if how := l.ended[testRun(1)]; how == 0 || how == submission.Done {
				t.Errorf("the run was reported as %s, want its loss", how)
			}
			report, _ := r.nextReport(&l.s)
			if report.GetListedAttachment() != l.last {
				t.Errorf("the lists were reported under attachment %d, want %d", report.GetListedAttachment(), l.last)
			}
		})
	}
}
