package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// TestTaskWaitsNotForStrayOfUnlistedWorker guards against a task that never starts again: the
// agent whose worker had a stray run of it has restarted, and the worker never answers it.
func TestTaskWaitsNotForStrayOfUnlistedWorker(t *testing.T) {
	l := newDrivenLeader(t)
	l.core.sessions.lateStarts.window = 18 * time.Second
	l.endFirstRun()
	l.attach(report("m1/w/2", l.run(1)))
	next := l.attach(&pb.AgentReport{Worker: report("m1/w/2").GetWorker()})
	for range 150 { // 60 s
		l.core.handleReport(l.now, next, &pb.AgentReport{Sent: 1, Worker: &pb.WorkerLife{Life: "m1/w/2", Silent: true}})
		l.dispatchBeside(400 * time.Millisecond)
	}
	if runs := l.activeRuns(); len(runs) != 1 {
		t.Errorf("the record has the runs %v 60 s after anyone has heard of the stray run, want run 2", runs)
	}
}
