package runner

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// TestFreezeExtendsNoLease guards against a lease end that moves on while the agent stands
// still between its computation and the call, or while grants arrive late and out of order.
func TestFreezeExtendsNoLease(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var l lease
	l.recordWorkerClock(time.Hour, at(0))
	l.applyGrant(at(0), 4*time.Second)
	l.applyGrant(at(-3000), 4*time.Second) // overtaken by the one above
	sent, ok := l.nextEnd(at(1000))
	if want := time.Hour + 3500*time.Millisecond - 70*time.Millisecond; !ok || sent != want {
		t.Fatalf("got the lease end %s, %t, want %s", sent, ok, want)
	}
	for _, frozen := range []int{4000, 9000} {
		if end, ok := l.nextEnd(at(frozen)); ok {
			t.Errorf("%d ms after the grant a lease until %s is passed on", frozen, end)
		}
		l.applyGrant(at(0), 4*time.Second) // arrives after the freeze
		if end, ok := l.nextEnd(at(frozen)); ok {
			t.Errorf("a grant that was %d ms under way gives a lease until %s", frozen, end)
		}
	}
	if l.hasExpired(at(3499)) || !l.hasExpired(at(3500)) {
		t.Error("the lease that was sent does not end after 3.5 s")
	}
	l.recordWorkerClock(time.Hour+time.Second, at(9000)) // read before the freeze
	l.applyGrant(at(8900), 4*time.Second)
	if end, _ := l.nextEnd(at(9000)); end > time.Hour+11500*time.Millisecond {
		t.Errorf("an answer that was under way for 8 s gives the lease end %s", end)
	}
}

// TestStartThatWasUnderWayDuringFreezeIsNotCarriedOut guards against a start under the next
// grant, whose order and grant both arrived after the leader has ended the run.
func TestStartThatWasUnderWayDuringFreezeIsNotCarriedOut(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{answer: Started}}}
	r := newRunner(t, w)
	r.mu.Lock()
	r.lease.grantEnd = clock.Now().Add(-time.Second)
	r.mu.Unlock()
	thawed := clock.Now()
	r.deliverOrder(&pb.AgentOrder{Term: 1, Sent: thawed.Add(-5 * time.Second).UnixNano(), Lease: int64(4 * time.Second)})
	r.deliverOrder(startOrder(1))
	time.Sleep(2 * _retryInterval)
	r.deliverOrder(&pb.AgentOrder{Term: 1, Sent: thawed.UnixNano(), Lease: int64(4 * time.Second)})
	eventually(t, "the start is rejected", func() bool {
		return r.inferredReason(testRun(1)) == submission.Rejected || len(w.recordedCalls()) > 0
	})
	if calls := w.recordedCalls(); len(calls) != 0 {
		t.Errorf("calls %v, want none", calls)
	}
}
