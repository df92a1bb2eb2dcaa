package runner

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

var errRefused = fmt.Errorf("dial: %w", ErrRefused)

// startConfirmedRun lets the leader order a run and the worker start it.
func startConfirmedRun(t *testing.T, r *Runner, number uint32) {
	t.Helper()
	r.deliverOrder(startOrder(number))
	eventually(t, "the run is started", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.runs[testRun(number)] != nil && r.runs[testRun(number)].confirmed
	})
}

// failPolls lets polls fail at the given time.
func (r *Runner) failPolls(at time.Time, errs ...error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, err := range errs {
		r.recordPollFailure(at, err)
	}
}

func (r *Runner) inferredEnd(run submission.RunID) submission.End {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inferredEnds[run].End
}

// TestCrashIsToldFromOtherLosses guards against blaming tasks for a worker that was
// cut off or left, and against missing a crash.
func TestCrashIsToldFromOtherLosses(t *testing.T) {
	errBroken, errTimeout := errors.New("EOF"), context.DeadlineExceeded
	tests := []struct {
		name  string
		polls []error
		leave bool
		want  submission.EndReason
	}{
		{name: "process gone", polls: []error{errRefused, errRefused, errRefused}, want: submission.Crashed},
		{name: "connection breaks, then process gone", polls: []error{errBroken, errRefused, errRefused}, want: submission.Crashed},
		{name: "another incarnation answers", polls: []error{errBroken, ErrOtherIncarnation, ErrOtherIncarnation}, want: submission.Crashed},
		{name: "partition", polls: []error{errTimeout, errTimeout, errTimeout}, want: submission.LeaseExpired},
		{name: "worker restarts behind a partition", polls: []error{errTimeout, errTimeout, errRefused, errRefused}, want: submission.LeaseExpired},
		{name: "worker leaves", polls: []error{errBroken, errRefused, errRefused}, leave: true, want: submission.LeaseExpired},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRunner(t, &fakeWorker{startResults: []startResult{{answer: Started}}})
			startConfirmedRun(t, r, 1)
			if tc.leave {
				r.announce(Announcement{ID: "w", StartTimeMS: 1000, Sequence: 2, Address: "10.0.0.1:1", Draining: true})
			}
			r.mu.Lock()
			startedAt := r.runs[testRun(1)].startedAt
			r.mu.Unlock()
			crashedAt := startedAt.Add(30 * time.Millisecond)
			r.failPolls(crashedAt, tc.polls...)
			r.failPolls(crashedAt.Add(_maxWorkerLease), tc.polls[len(tc.polls)-1])
			end := r.inferredEnd(testRun(1))
			if end.Reason != tc.want {
				t.Errorf("the run is %s, want %s", end.Reason, tc.want)
			}
			if want := 30 * time.Millisecond; tc.want == submission.Crashed && end.Ran != want {
				t.Errorf("the run ran %s until the crash, want %s", end.Ran, want)
			}
		})
	}
}

// TestRunOrderedAfterCrashIsNotBlamed guards against blaming a run whose start order
// was in transit when its worker crashed.
func TestRunOrderedAfterCrashIsNotBlamed(t *testing.T) {
	r := newRunner(t, &fakeWorker{startResults: []startResult{{err: errRefused}}})
	now := clock.Now()
	r.failPolls(now, errRefused)
	r.deliverOrder(startOrder(1))
	r.failPolls(now, errRefused, errRefused)
	r.failPolls(now.Add(_maxWorkerLease), errRefused)
	eventually(t, "the run ends", func() bool { return r.inferredReason(testRun(1)) != 0 })
	if got := r.inferredReason(testRun(1)); got != submission.LeaseExpired {
		t.Errorf("the run is %s, want lapsed", got)
	}
}

// TestRunOfEarlierAgentHasUnknownStart guards against taking a run that the agent
// found at its own start for one that has just started. The run may hold any lease.
func TestRunOfEarlierAgentHasUnknownStart(t *testing.T) {
	r := newRunner(t, &fakeWorker{})
	now := clock.Now()
	r.handlePollResult(context.Background(), r.currentIncarnation(), now, Listing{Clock: time.Hour, Active: []ListedRun{{Run: testRun(1)}}}, nil)
	r.failPolls(now.Add(time.Millisecond), errRefused, errRefused, errRefused)
	r.failPolls(now.Add(r.maxLease-time.Millisecond), errRefused)
	if end := r.inferredEnd(testRun(1)); end.Reason != 0 {
		t.Errorf("the run is %s before its longest lease has expired", end.Reason)
	}
	r.failPolls(now.Add(r.maxLease+time.Second), errRefused)
	if end := r.inferredEnd(testRun(1)); end.Reason != submission.Crashed || end.Ran != 0 {
		t.Errorf("the run is %s after %s, want crashed after an unknown time", end.Reason, end.Ran)
	}
}

// TestCrashIsReportedUntilRecorded has a worker that is back before its lease has
// expired, and loses the report of the crash with its stream.
func TestCrashIsReportedUntilRecorded(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{answer: Started}}}
	r := newRunner(t, w)
	startConfirmedRun(t, r, 1)
	former := r.incarnationName(r.currentIncarnation())
	r.failPolls(clock.Now(), errRefused)
	w.running = Incarnation{"v", 2000}
	r.announce(Announcement{ID: "v", StartTimeMS: 2000, Sequence: 1, Address: "10.0.0.1:1"})
	for _, stream := range []string{"first", "second"} {
		s := session{incarnation: r.currentIncarnation(), inferredEnds: make(map[submission.RunID]bool)}
		report, _ := r.nextReport(&s)
		if len(report.GetRefused()) != 1 {
			t.Fatalf("%s stream: %d ends reported, want 1", stream, len(report.GetRefused()))
		}
		if end := wire.DecodeRunEnd(report.GetRefused()[0]); end.Reason != submission.Crashed || end.Worker != former {
			t.Errorf("%s stream: reported %s on %s, want crashed on %s", stream, end.Reason, end.Worker, former)
		}
	}
	r.deliverOrder(&pb.AgentOrder{Term: 1, Settled: []*pb.Run{wire.EncodeRun(testRun(1))}})
	s := session{incarnation: r.currentIncarnation(), inferredEnds: make(map[submission.RunID]bool)}
	if report, _ := r.nextReport(&s); len(report.GetRefused()) != 0 {
		t.Error("a recorded end is reported again")
	}
}
