package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// TestCrashReportedByNextIncarnationIsRecorded loses the report of a crash. The agent
// repeats it on the stream of the worker's next incarnation, whose first report also
// ends the runs of the earlier one.
func TestCrashReportedByNextIncarnationIsRecorded(t *testing.T) {
	l := newLeaderWithTask(t)
	first, stop := l.attach("m1/w/1")
	l.run = l.waitForStart(first)
	stop()
	end := submission.End{Run: l.run, Worker: "m1/w/1", Reason: submission.Crashed, Ran: 10 * time.Millisecond}
	r := report("m1/w/2")
	r.Refused = []*pb.RunEnd{wire.EncodeRunEnd(end)}
	next, _ := l.attachWith(r)
	timeout := time.After(10 * time.Second)
	for settled := false; !settled; {
		select {
		case o := <-next.orders:
			settled = len(o.GetSettled()) == 1 && wire.DecodeRun(o.GetSettled()[0]) == l.run
		case next.reports <- &pb.AgentReport{}:
			time.Sleep(10 * time.Millisecond)
		case <-timeout:
			t.Fatal("the end is not acknowledged")
		}
	}
	if err := l.core.Do(t.Context(), func(c *Core, _ time.Time) {
		s, _ := c.machine.Submissions().Submission("s1")
		crashes := s.Task(l.run.Task).Crashes
		if len(crashes) != 1 || crashes[0].Ran != end.Ran || !crashes[0].Alone {
			t.Errorf("the record has the crashes %v, want one after %s", crashes, end.Ran)
		}
	}); err != nil {
		t.Fatal(err)
	}
}

// TestCrashesSurviveSnapshot restores the state machine from a snapshot after each
// crash. The task must be given up all the same.
func TestCrashesSurviveSnapshot(t *testing.T) {
	m := &state.Machine{}
	l := submission.Submission{Spec: submission.Spec{ID: "s1", Queue: "q", Steps: []submission.Step{{Count: 1}}}}
	index := uint64(0)
	at := time.Unix(1_700_000_000, 0)
	apply := func(cmd state.Command) {
		data, err := wire.MarshalCommand(cmd)
		if err != nil {
			t.Fatal(err)
		}
		if cmd, err = wire.UnmarshalCommand(data); err != nil {
			t.Fatal(err)
		}
		index++
		at = at.Add(time.Second)
		if r := m.Apply(index, at, cmd); r.Outcome.Err != nil {
			t.Fatal(r.Outcome.Err)
		}
		if data, err = wire.MarshalState(m.Contents()); err != nil {
			t.Fatal(err)
		}
		contents, err := wire.UnmarshalState(data)
		if err != nil {
			t.Fatal(err)
		}
		m = state.Restore(contents)
	}
	apply(state.ReplaceQueues{Table: testQueues()})
	apply(state.Submit{Submission: l})
	for n := uint32(1); n <= 3; n++ {
		run := submission.RunID{Task: submission.TaskID{Submission: "s1"}, Number: n}
		apply(state.StartRuns{Starts: []submission.Start{{Run: run, Worker: "w"}}})
		apply(state.EndRuns{Ends: []submission.End{{Run: run, Worker: "w", Reason: submission.Crashed, Ran: time.Millisecond}}})
	}
	if s, _ := m.Submissions().Submission("s1"); s.State != submission.OutOfAttempts {
		t.Errorf("the submission is %s after three crashes, want failed", s.State)
	}
}
