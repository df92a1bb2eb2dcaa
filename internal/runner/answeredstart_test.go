package runner

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// TestAnsweredStartOfServiceTaskIsReportedAtOnce guards against a standing task that waits for
// a late call when its machine is lost: the call had an answer, and the agent had not reported
// it yet.
func TestAnsweredStartOfServiceTaskIsReportedAtOnce(t *testing.T) {
	r, w, l := newReturningRunner(t)
	select {
	case <-r.wakeReport:
	default:
	}
	r.deliverOrder(&pb.AgentOrder{
		Term: 1, Attachment: l.last, Sent: clock.Now().UnixNano(), Lease: int64(time.Minute),
		Starts: []*pb.StartOrder{{Run: wire.EncodeRun(testRun(1)), Text: "x", Serves: true}},
	})
	select {
	case <-r.wakeReport:
	case <-time.After(_reportInterval / 2):
		t.Fatal("no report is due")
	}
	if !w.runs(testRun(1)) {
		t.Fatal("a report was due before the start was answered")
	}
	report, _ := r.nextReport(&l.s)
	if a := activeRun(report, testRun(1)); a == nil || !a.GetSettled() {
		t.Errorf("the run is reported as %v, want it settled", a)
	}
}
