package state_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/queue"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// TestRepeatedSubmissionChangesNothing guards against tasks that run again because a caller
// has sent their submission again, to another entry or queue and whatever became of it.
func TestRepeatedSubmissionChangesNothing(t *testing.T) {
	first := submission.RunID{Task: submission.TaskID{Submission: "a"}, Number: 1}
	start := state.StartRuns{Starts: []submission.Start{{Run: first, Worker: "m1/w/1"}}}
	end := func(r submission.EndReason) state.Command {
		return state.EndRuns{Ends: []submission.End{{Run: first, Worker: "m1/w/1", Reason: r, Checkpoint: "c"}}}
	}
	for _, tc := range []struct {
		name     string
		commands []state.Command
		age      time.Duration
	}{
		{name: "accepted"},
		{name: "started", commands: []state.Command{start}},
		{name: "stopped, to be moved", commands: []state.Command{start, end(submission.Stopped)}},
		{name: "completed", commands: []state.Command{start, end(submission.Done)}},
		{name: "completed a while ago", commands: []state.Command{start, end(submission.Done)}, age: 2 * time.Minute},
		{name: "out of attempts", commands: []state.Command{start, end(submission.Failed)}},
		{name: "cancelled", commands: []state.Command{state.CancelSubmission{ID: "a"}}},
		{name: "cancelled with an active run", commands: []state.Command{start, state.CancelSubmission{ID: "a"}}, age: time.Hour},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, now, index := &state.Machine{}, time.Unix(1_700_000_000, 0).UTC(), uint64(0)
			apply := func(c state.Command) state.Outcome {
				t.Helper()
				index++
				o := m.Apply(index, now, c).Outcome
				if o.Err != nil {
					t.Fatal(o.Err)
				}
				return o
			}
			submit := func(queue string, tasks int) state.Outcome {
				t.Helper()
				return apply(state.Submit{Submission: submission.Submission{Spec: submission.Spec{
					ID: "a", Queue: queue, Steps: []submission.Step{{Count: tasks}},
				}}})
			}
			apply(state.ReplaceQueues{Table: queue.Table{Version: 1, Services: []queue.Service{{Name: "pool"}}, Queues: []queue.Queue{
				{Name: "q", Host: "h.example", Prefix: "/q", Service: "pool", MaxAttempts: 1, Timeout: time.Minute},
				{Name: "r", Host: "h.example", Prefix: "/r", Service: "pool", MaxAttempts: 1, Timeout: time.Minute},
			}}})
			submit("q", 1)
			for _, c := range tc.commands {
				apply(c)
			}
			now = now.Add(tc.age)
			record := func() []byte {
				t.Helper()
				s, ok := m.Submissions().Submission("a")
				if !ok || m.Submissions().Len() != 1 {
					t.Fatal("the record does not have the one submission")
				}
				data, err := wire.MarshalState(state.Contents{Submissions: []*submission.Submission{s}})
				if err != nil {
					t.Fatal(err)
				}
				return data
			}
			want := record()
			for _, restored := range []bool{false, true} {
				if restored {
					m = state.Restore(m.Contents())
				}
				for _, o := range []state.Outcome{submit("q", 1), submit("r", 1), submit("q", 2)} {
					if !o.Repeated {
						t.Errorf("the submission is accepted as new (restored: %t)", restored)
					}
				}
				if !bytes.Equal(record(), want) {
					t.Errorf("the record has changed (restored: %t)", restored)
				}
			}
		})
	}
}
