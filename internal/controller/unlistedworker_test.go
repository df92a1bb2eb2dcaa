package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// TestRunsOfUnlistedWorkerEnd guards against runs that never end: their agent has restarted
// and is there, and the worker never answers it.
func TestRunsOfUnlistedWorkerEnd(t *testing.T) {
	skipKnownRed(t)
	l := newDrivenLeader(t)
	l.core.sessions.lateStarts.window = 22 * time.Second
	sess := l.attach(report("m1/w/1"))
	l.startFirstRun(sess)
	next := l.attach(&pb.AgentReport{Worker: report("m1/w/1").GetWorker()})
	for range 150 { // 60 s
		l.now = l.now.Add(400 * time.Millisecond)
		l.answerHeartbeat()
		l.core.handleReport(l.now, next, &pb.AgentReport{Sent: 1, Worker: &pb.WorkerLife{Life: "m1/w/1", Silent: true}})
		l.core.dispatchTasks(l.now)
		l.commit()
	}
	if runs := l.activeRuns(); len(runs) > 0 {
		t.Errorf("the record has the runs %v of a worker that has answered nobody for 60 s", runs)
	}
}
