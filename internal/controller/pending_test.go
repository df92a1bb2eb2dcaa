package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// pending returns the answer to a call that counts the queue's waiting submissions.
func (l *leader) pending() int64 {
	l.Helper()
	out, err := l.rpc.Call(l.Context(), &pb.CallRequest{Verb: uint32(control.Count), Host: "h.example", Path: "/"})
	if err != nil || out.GetCode() != 0 {
		l.Fatalf("%v, %v", out, err)
	}
	return out.GetPending()
}

// TestSubmissionWaitsUntilItsWorkerHasStarted guards against a submission that isn't counted
// as waiting although its worker hasn't carried out the start that was ordered.
func TestSubmissionWaitsUntilItsWorkerHasStarted(t *testing.T) {
	run := submission.RunID{Task: submission.TaskID{Submission: "s1"}, Number: 1}
	for _, tc := range []struct {
		name   string
		report *pb.AgentReport
		want   int64
	}{
		{"no news", &pb.AgentReport{}, 1},
		{"the run is active", &pb.AgentReport{Active: report("", run).GetActive()}, 0},
		{"the run has failed", &pb.AgentReport{Ends: []*pb.ListedEnd{{Number: 1, Run: wire.EncodeRun(run), How: uint32(submission.Failed)}}}, 0},
		{"the run was rejected", &pb.AgentReport{Refused: []*pb.RunEnd{wire.EncodeRunEnd(submission.End{Run: run, Worker: "m1/w/1", Reason: submission.Rejected})}}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLeaderWithTask(t)
			if got := l.pending(); got != 1 {
				t.Errorf("%d submissions wait before the start is ordered, want 1", got)
			}
			stream, _ := l.attach("m1/w/1")
			l.run = l.waitForStart(stream)
			if got := l.pending(); got != 1 {
				t.Errorf("%d submissions wait when the start is ordered, want 1", got)
			}
			stream.reports <- tc.report
			for end := time.Now().Add(500 * time.Millisecond); l.pending() != tc.want || tc.want == 1; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					break
				}
			}
			if got := l.pending(); got != tc.want {
				t.Errorf("%d submissions wait, want %d", got, tc.want)
			}
		})
	}
}
