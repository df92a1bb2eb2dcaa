package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// setStartWindow sets how long after a start call a run may hold a lease that it gives.
func (l *leader) setStartWindow(d time.Duration) {
	l.Helper()
	if err := l.core.Do(l.Context(), func(c *Core, _ time.Time) { c.sessions.holds.window = d }); err != nil {
		l.Fatal(err)
	}
}

// TestUnansweredStartOfLostAgentIsNotPlacedElsewhere guards against a second run beside
// one that a worker starts late, on its next incarnation, while its agent is gone.
func TestUnansweredStartOfLostAgentIsNotPlacedElsewhere(t *testing.T) {
	const lease, window = 500 * time.Millisecond, 3 * time.Second
	for _, tc := range []struct {
		name     string
		reported bool
		mayHold  time.Duration // of the report
		kept     time.Duration // for which the run must stay the only one after the latest report
	}{
		{name: "start not reported", kept: lease + window},
		{name: "reported with a call without an answer", reported: true, mayHold: 2 * time.Second, kept: 2 * time.Second},
		{name: "every call answered", reported: true, kept: lease},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			l := newLeaderWithTask(t)
			l.setLease(lease)
			l.setStartWindow(window)
			lost, stop := l.attach("m1/w/1")
			l.run = l.waitForStart(lost)
			if tc.reported {
				lost.reports <- &pb.AgentReport{Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run), MayHold: int64(tc.mayHold)}}}
				<-lost.orders
			}
			other, _ := l.attach("m2/w/1")
			l.keepReporting(other)
			began := time.Now()
			stop()
			l.checkUntouched(tc.kept - 100*time.Millisecond)
			l.waitForStart(other)
			if took := time.Since(began); took > tc.kept+2*time.Second {
				t.Errorf("the task starts elsewhere after %s, want %s at most", took, tc.kept+2*time.Second)
			}
		})
	}
}

// TestReturningAgentKeepsRunWithoutLease guards against an agent that gets no lease any
// more after its runs were kept beyond the former one.
func TestReturningAgentKeepsRunWithoutLease(t *testing.T) {
	l := newLeaderWithTask(t)
	l.setLease(300 * time.Millisecond)
	l.setStartWindow(time.Minute)
	lost, stop := l.attach("m1/w/1")
	l.run = l.waitForStart(lost)
	stop()
	l.checkUntouched(2 * time.Second)
	back, _ := l.attach("m1/w/1", l.run)
	if o := <-back.orders; o.GetLease() == 0 {
		t.Error("the agent that is back got no lease")
	}
	l.checkUntouched(100 * time.Millisecond)
}

// TestRepeatedStartOfLostAgentIsNotPlacedElsewhere guards against an end on the word of
// an earlier agent whose calls were all answered, while the next agent has repeated the
// start and is gone.
func TestRepeatedStartOfLostAgentIsNotPlacedElsewhere(t *testing.T) {
	const lease, window = 500 * time.Millisecond, 3 * time.Second
	l := newLeaderWithTask(t)
	l.setLease(lease)
	l.setStartWindow(window)
	first, stopFirst := l.attach("m1/w/1")
	l.run = l.waitForStart(first)
	first.reports <- &pb.AgentReport{Active: report("", l.run).GetActive()}
	<-first.orders
	stopFirst()
	next, stopNext := l.attach("m1/w/1")
	if run := l.waitForStart(next); run != l.run {
		t.Fatalf("%v is started, want %v again", run, l.run)
	}
	other, _ := l.attach("m2/w/1")
	l.keepReporting(other)
	stopNext()
	l.checkUntouched(lease + window - 100*time.Millisecond)
	l.waitForStart(other)
}
