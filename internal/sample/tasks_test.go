package sample

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/workerapi"
)

func task1(attempt uint32) workerapi.TaskID { return workerapi.TaskID{Job: "j", Attempt: attempt} }

// TestStopOfLaterAttemptStopsEarlierOne guards against an attempt that nothing can
// stop any more: it runs beside the attempt that is started elsewhere.
func TestStopOfLaterAttemptStopsEarlierOne(t *testing.T) {
	now := time.Now()
	s := newStore(now, func() int64 { return 1 })
	s.stopAllTasks(1)
	if err := s.startTask(1, task1(1), []byte(`{"work_ms": 60000}`), nil, time.Minute, now); err != nil {
		t.Fatal(err)
	}
	first := s.findTask(task1(1))
	s.stopTask(task1(2), now)
	if !first.hasEnded() {
		t.Error("attempt 1 runs after attempt 2 was stopped")
	}
	s.stopAllTasks(2)
	if !first.hasEnded() {
		t.Error("attempt 1 runs after all tasks were stopped")
	}
}

// TestLateStartDoesNotRun guards against a start that is carried out after the end of
// its lease, when the job may run elsewhere.
func TestLateStartDoesNotRun(t *testing.T) {
	now := time.Now()
	runs := int64(0)
	s := newStore(now.Add(-time.Minute), func() int64 { runs++; return runs })
	s.stopAllTasks(1)
	for attempt := uint32(1); attempt <= 50; attempt++ {
		if err := s.startTask(1, task1(attempt), nil, nil, time.Second, now); err != nil {
			t.Fatal(err)
		}
		found := s.findTask(task1(attempt))
		<-found.done
		if found.status.State != workerapi.Stopped {
			t.Fatalf("attempt %d is %s, %d ran", attempt, found.status.State, runs)
		}
	}
}
