package runner

import (
	"context"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// unansweringWorker carries starts out and doesn't answer them.
type unansweringWorker struct{ *returningWorker }

func (w *unansweringWorker) Start(ctx context.Context, id string, o StartOrder) (StartAnswer, time.Duration, error) {
	if _, _, err := w.returningWorker.Start(ctx, id, o); err != nil {
		return 0, 0, err
	}
	<-ctx.Done()
	return 0, 0, ctx.Err()
}

// TestFailedCallOfListedRunIsReported guards against a leader that takes a run for settled by an
// earlier report: a call that was under way when the run was listed has got no answer.
func TestFailedCallOfListedRunIsReported(t *testing.T) {
	r, w, l := newReturningRunner(t)
	r.worker, r.callDelay = &unansweringWorker{w}, 10*time.Second
	l.exchange(1)
	eventually(t, "the run is active", func() bool { return w.runs(testRun(1)) })
	l.poll()
	var before, after time.Time // when the run is settled, as reported
	reported := func() (time.Time, bool) {
		report, _ := r.nextReport(&l.s)
		a := activeRun(report, testRun(1))
		return clock.Now().Add(time.Duration(a.GetSettlesIn())), a != nil
	}
	eventually(t, "the run is reported", func() (ok bool) { before, ok = reported(); return ok })
	eventually(t, "the run is reported again", func() (ok bool) { after, ok = reported(); return ok })
	if !after.After(before.Add(_callTimeout / 2)) {
		t.Errorf("the run is settled %s later than reported before its call failed, want about %s", after.Sub(before), _callTimeout)
	}
}
