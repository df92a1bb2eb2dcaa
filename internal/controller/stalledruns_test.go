package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// TestLongRunningTaskAtWorkIsNotStopped guards against tasks that are stopped every few
// seconds, the last one at work among them, since they make no progress: a long-running task
// at work has none to make.
func TestLongRunningTaskAtWorkIsNotStopped(t *testing.T) {
	for _, tc := range []struct {
		name        string
		longRunning bool
		progress    int64
		stops       int
	}{
		{"long-running, at work", true, 100, 0},
		{"long-running, stuck as it starts", true, 40, 1},
		{"batch, stuck", false, 40, 1},
		{"batch, stuck at its end", false, 100, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newDrivenLeaderOf(t, submission.Step{Count: 1, Needs: submission.Resources{CPU: 1000, Memory: 1}, LongRunning: tc.longRunning, Estimate: time.Second})
			sess := l.attach(report("m1/w/1"))
			l.startFirstRun(sess)
			stops := 0
			for range 30 {
				l.pass(100 * time.Millisecond)
				l.core.handleReport(l.now, sess, &pb.AgentReport{Active: []*pb.ListedRun{{Run: wire.EncodeRun(l.run(1)), Share: 100, Progress: tc.progress, Stalled: true}}})
				l.core.dispatchTasks(l.now)
				_, ordered := orderedRuns(sess)
				stops += len(ordered)
			}
			if stops != tc.stops {
				t.Errorf("%d stops were ordered, want %d", stops, tc.stops)
			}
		})
	}
}
