package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// crash lets the workers go down together, each some time after the one before, and come back.
// The task starts on the first one 300 ms before that, and its agent reports the crash.
func (l *drivenLeader) crash(number uint32, workers int, apart time.Duration) {
	l.Helper()
	sessions := make([]*session, workers)
	for i := range sessions {
		sessions[i] = l.attach(report(fmt.Sprintf("m%d/w/%d", i, number)))
	}
	run := submission.Start{Run: l.run(number), Worker: sessions[0].worker.Incarnation}
	l.propose(state.StartRuns{Starts: []submission.Start{run}})
	l.commit()
	l.pass(300 * time.Millisecond)
	for _, sess := range sessions {
		down := report(sess.worker.Incarnation).GetWorker()
		down.Silent = true
		l.core.handleReport(l.now, sess, &pb.AgentReport{Worker: down})
		l.pass(apart)
	}
	l.pass(time.Second)
	end := submission.End{Run: run.Run, Worker: run.Worker, Reason: submission.Crashed, Ran: 300 * time.Millisecond}
	l.core.handleReport(l.now, sessions[0], &pb.AgentReport{Refused: []*pb.RunEnd{wire.EncodeRunEnd(end)}})
	l.commit()
	for _, sess := range sessions {
		l.core.detach(sess)
	}
	l.pass(2 * time.Second)
}

// TestCrashesWithCommonCauseFailNoTask guards against submissions that are shown as failed although
// no run of theirs has failed: their workers went down, together with others or on their own, and
// against a task that crashes worker after worker and is not given up.
func TestCrashesWithCommonCauseFailNoTask(t *testing.T) {
	for _, tc := range []struct {
		name    string
		lasting bool
		workers int // that go down together
		apart   time.Duration
		failed  bool
	}{
		{name: "worker after worker", workers: 1, failed: true},
		{name: "worker after worker, a long-running task", workers: 1, lasting: true},
		{name: "two at a time", workers: 2, apart: 20 * time.Millisecond},
		{name: "two, one after the other", workers: 2, apart: 300 * time.Millisecond, failed: true},
		{name: "all at a time", workers: 11},
		{name: "all at a time, a long-running task", workers: 11, lasting: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newDrivenLeaderOf(t, submission.Step{Count: 1, LongRunning: tc.lasting, Needs: submission.Resources{CPU: 1000, Memory: 1}})
			for n := range uint32(8) {
				if s, _ := l.core.machine.Submissions().Submission("s1"); s.State.Ended() {
					break
				}
				l.crash(n+1, tc.workers, tc.apart)
			}
			s, _ := l.core.machine.Submissions().Submission("s1")
			if got := s.State == submission.OutOfAttempts; got != tc.failed {
				t.Errorf("the submission is %s, want failed: %t", s.State, tc.failed)
			}
		})
	}
}

// TestSimultaneousOutagesHaveCommonCause guards against tasks that count as the cause of a loss of
// several workers at the same moment, or of half of them, and against tasks that crash workers and
// are not given up on a large site, where other workers go down at about any moment.
func TestSimultaneousOutagesHaveCommonCause(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		down, workers int
		apart         time.Duration // between outages
		idle          bool          // nothing had just started on one of them
		want          bool
	}{
		{down: 2, workers: 11, idle: true, want: true},
		{down: 2, workers: 11, apart: 300 * time.Millisecond, idle: true},
		{down: 7, workers: 160, idle: true},
		{down: 10, workers: 160, want: true},
		{down: 1, workers: 11},
		{down: 2, workers: 3},
		{down: 2, workers: 11},
		{down: 3, workers: 11, apart: 300 * time.Millisecond},
		{down: 3, workers: 11, apart: 20 * time.Millisecond, want: true},
		{down: 6, workers: 11, apart: 150 * time.Millisecond, want: true},
		{down: 11, workers: 11, want: true},
		{down: 3, workers: 3, apart: 300 * time.Millisecond, want: true},
	} {
		outages := make(workerOutages)
		for i := range tc.down {
			outages[fmt.Sprint("m", i)] = workerOutage{service: "s", at: now.Add(time.Duration(i) * tc.apart), hadStarted: !tc.idle || i != 1}
		}
		outages["other"] = workerOutage{service: "t", at: now}
		if got := outages.hasCommonCause("m0/w/1", tc.workers); got != tc.want {
			t.Errorf("%d of %d workers, %s apart: common cause: %t, want %t", tc.down, tc.workers, tc.apart, got, tc.want)
		}
	}
}
