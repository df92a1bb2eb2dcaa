package runner

import (
	"context"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/submission"
)

// TestLateStartAfterLapseIsFencedByNextPoll guards against a start that the next
// incarnation carries out after the run has ended with its lease: the incarnation has
// answered a poll, but hasn't announced itself yet.
func TestLateStartAfterLapseIsFencedByNextPoll(t *testing.T) {
	r, w, l := newReturningRunner(t)
	holdStart(t, w, l)
	w.set(func() { w.hold, w.down = false, true })
	for range _maxFailedPolls {
		l.poll()
	}
	r.mu.Lock()
	r.lease.maxSentEnd, r.lease.heldUntil = time.Time{}, time.Time{} // the lease has expired
	r.mu.Unlock()
	l.poll()
	l.exchange()
	if got := l.ended[testRun(1)]; got != submission.LeaseExpired {
		t.Fatalf("the run is reported as %s, want lapsed", got)
	}
	w.restart()
	w.set(func() { w.down = false })
	l.poll()
	w.carryOutHeld()
	l.check()
}

// TestIdentifierOfEarlierIncarnationIsRemembered guards against a late start for an
// incarnation before the former one: the present one has its identifier again.
func TestIdentifierOfEarlierIncarnationIsRemembered(t *testing.T) {
	r, w, l := newReturningRunner(t)
	holdStart(t, w, l)
	w.set(func() { w.hold, w.down = false, true })
	w.set(func() {
		w.reset()
		w.down = false
		w.incarnation = Incarnation{ID: "v", StartTimeMS: 2000}
	})
	r.announceIncarnation(Incarnation{ID: "v", StartTimeMS: 2000})
	w.set(func() {
		w.reset()
		w.incarnation = Incarnation{ID: "w", StartTimeMS: 3000}
	})
	r.announceIncarnation(Incarnation{ID: "w", StartTimeMS: 3000})
	for range 20 {
		l.poll()
		l.exchange()
		if l.ended[testRun(1)] != 0 {
			break
		}
	}
	if l.ended[testRun(1)] == 0 {
		t.Error("the end was not reported")
	}
	w.carryOutHeld()
	l.check()
}

// TestLateStartIsFencedBeforeAnnouncement guards against a start whose repetition was
// answered and whose run is done: the next incarnation has answered a poll under the token
// of that start, and announces itself seconds later.
func TestLateStartIsFencedBeforeAnnouncement(t *testing.T) {
	r, w, l := newReturningRunner(t)
	holdStart(t, w, l)
	w.set(func() { w.hold = false })
	w.waitForStarts(t, 1)
	w.endOf(1)
	l.settle()
	if got := l.ended[testRun(1)]; got != submission.Done {
		t.Fatalf("the run is reported as %s, want done", got)
	}
	r.failPolls(clock.Now(), context.DeadlineExceeded)
	w.restart()
	l.poll()
	l.poll()
	w.carryOutHeld()
	l.check()
}
