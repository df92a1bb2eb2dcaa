package runner

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// sizedOrder orders the start of a run that reserves the given CPU.
func sizedOrder(number uint32, cpu int64) *pb.AgentOrder {
	return &pb.AgentOrder{Term: 1, Starts: []*pb.StartOrder{{
		Run: wire.EncodeRun(testRun(number)), Needs: wire.EncodeResources(submission.Resources{CPU: cpu, Memory: 10}),
	}}}
}

func (r *Runner) announceCapacity(sequence uint64, cpu int64) {
	r.announce(Announcement{
		ID: "w", StartTimeMS: 1000, Sequence: sequence, Address: "10.0.0.1:1", Capacity: submission.Resources{CPU: cpu, Memory: 1000},
	})
}

// TestStartBeyondShrunkCapacityIsRejected orders runs that fitted when the leader
// placed them.
func TestStartBeyondShrunkCapacityIsRejected(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{answer: Started}}}
	r := newRunner(t, w)
	r.announceCapacity(2, 4000)
	r.deliverOrder(sizedOrder(1, 2000))
	eventually(t, "the first run starts", func() bool { return len(w.recordedCalls()) == 1 })
	r.announceCapacity(3, 3000)
	r.deliverOrder(sizedOrder(2, 2000))
	eventually(t, "the second run is rejected", func() bool { return r.inferredReason(testRun(2)) == submission.Rejected })
	r.announceCapacity(4, 4000)
	r.deliverOrder(sizedOrder(3, 2000))
	eventually(t, "the third run starts", func() bool { return len(w.recordedCalls()) == 2 })
	if got := r.inferredReason(testRun(1)); got != 0 {
		t.Errorf("the run that the worker had is %s", got)
	}
}

// TestRepeatedStartIsStoppedIfCapacityShrinks loses the answer to a start. The worker
// may have the run, so that only a stop settles it.
func TestRepeatedStartIsStoppedIfCapacityShrinks(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{err: errNoAnswer}}}
	r := newRunner(t, w)
	r.announceCapacity(2, 4000)
	r.deliverOrder(sizedOrder(1, 2000))
	eventually(t, "the start is tried", func() bool { return len(w.recordedCalls()) > 0 })
	r.announceCapacity(3, 1000)
	eventually(t, "a stop is sent", func() bool {
		calls := w.recordedCalls()
		return calls[len(calls)-1] == "stop"
	})
	if got := r.inferredReason(testRun(1)); got != 0 {
		t.Errorf("the run is %s before a listing has shown that the worker lacks it", got)
	}
}

// TestConcurrentStartsShareCapacity orders more runs at once than the worker holds.
func TestConcurrentStartsShareCapacity(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{answer: Started}}}
	r := newRunner(t, w)
	r.announceCapacity(2, 5000)
	const runs = 20
	for n := range uint32(runs) {
		r.deliverOrder(&pb.AgentOrder{Term: 1, Starts: []*pb.StartOrder{{
			Run:   wire.EncodeRun(submission.RunID{Task: submission.TaskID{Submission: "s", Index: int(n)}, Number: 1}),
			Needs: wire.EncodeResources(submission.Resources{CPU: 1000}),
		}}})
	}
	const want = 5
	eventually(t, "the others are rejected", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.inferredEnds) == runs-want
	})
	time.Sleep(_retryInterval)
	if got := len(w.recordedCalls()); got != want {
		t.Errorf("%d starts were sent, want %d", got, want)
	}
}
