package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// TestNoGrantUntilAllExpiredRunsHaveEnded guards against a lease that is renewed while the
// end of its runs is in the log: an end on the same worker was proposed before, for instance
// during a stall of the disks, and is applied first.
func TestNoGrantUntilAllExpiredRunsHaveEnded(t *testing.T) {
	l := newLeaderWithTask(t)
	const worker = "m1/w/1"
	stream, _ := l.attach(worker)
	l.run = l.waitForStart(stream)
	earlier := submission.RunID{Task: submission.TaskID{Submission: "s0"}, Number: 1}
	if err := l.core.Do(t.Context(), func(c *Core, now time.Time) {
		sess := c.sessions.byIncarnation[worker]
		c.sessions.leaseExpiries[worker] = now.Add(-time.Millisecond)
		c.endRunsWithoutLease(now, worker, true)
		c.handleRecordedEnds([]submission.End{{Run: earlier, Worker: worker, Reason: submission.Done}})
		order := c.newOrder(sess)
		c.renewLease(now, sess, &pb.AgentReport{Sent: now.UnixNano()}, order)
		if order.GetLease() != 0 && isActive(c.machine.Submissions(), worker, l.run) {
			t.Error("the lease is renewed while the end of its run is proposed")
		}
	}); err != nil {
		t.Fatal(err)
	}
	l.keepReporting(stream)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if number, _ := l.lastRun(); number == 2 {
			return // the worker gets leases and tasks again
		}
	}
	t.Error("the task is not started again")
}
