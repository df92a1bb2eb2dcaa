package state_test

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/queue"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// TestRepeatedCommandIsAcceptedAfterRemoval guards against a rejection of work that was
// accepted, and runs: the first answer was lost, and the queue or the entry is gone by the
// time of the repeat.
func TestRepeatedCommandIsAcceptedAfterRemoval(t *testing.T) {
	entry, service := spec("plans", catalogue.Batch, 1), spec("plans", catalogue.Service, 1)
	table := queue.Table{Version: 1, Services: []queue.Service{{Name: "pool"}}, Queues: []queue.Queue{
		{Name: "q", Host: "h.example", Prefix: "/q/", Service: "pool", MaxAttempts: 1, Timeout: time.Minute},
	}}
	submit := func(id string) state.Command {
		return state.Submit{Submission: submission.Submission{Spec: submission.Spec{ID: id, Queue: "q", Steps: []submission.Step{{Count: 1}}}}}
	}
	for _, tc := range []struct {
		name        string
		before      state.Command
		accepted    state.Command
		removal     []state.Command
		repeat, new state.Command
	}{
		{
			name: "queue removed", before: state.ReplaceQueues{Table: table}, accepted: submit("a"),
			removal: []state.Command{state.ReplaceQueues{Table: queue.Table{Version: 2}}}, repeat: submit("a"), new: submit("b"),
		},
		{
			name: "entry deleted", before: state.PutEntry{Spec: entry, Base: catalogue.AnyVersion}, accepted: state.SubmitJob{Job: job.Job{ID: "a", Entry: "plans"}},
			removal: []state.Command{state.DeleteEntry{Name: "plans", Base: catalogue.AnyVersion}},
			repeat:  state.SubmitJob{Job: job.Job{ID: "a", Entry: "plans"}}, new: state.SubmitJob{Job: job.Job{ID: "b", Entry: "plans"}},
		},
		{
			name: "entry deleted, by key", before: state.PutEntry{Spec: entry, Base: catalogue.AnyVersion}, accepted: state.SubmitJob{Job: job.Job{ID: "a", Entry: "plans", Key: "k"}},
			removal: []state.Command{state.DeleteEntry{Name: "plans", Base: catalogue.AnyVersion}},
			repeat:  state.SubmitJob{Job: job.Job{ID: "c", Entry: "plans", Key: "k"}}, new: state.SubmitJob{Job: job.Job{ID: "b", Entry: "plans", Key: "other"}},
		},
		{
			name: "entry of another class", before: state.PutEntry{Spec: entry, Base: catalogue.AnyVersion}, accepted: state.SubmitJob{Job: job.Job{ID: "a", Entry: "plans"}},
			removal: []state.Command{state.DeleteEntry{Name: "plans", Base: catalogue.AnyVersion}, state.PutEntry{Spec: service, Base: catalogue.AnyVersion}},
			repeat:  state.SubmitJob{Job: job.Job{ID: "a", Entry: "plans"}}, new: state.SubmitJob{Job: job.Job{ID: "b", Entry: "plans"}},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, now, index := &state.Machine{}, time.Unix(1_700_000_000, 0).UTC(), uint64(0)
			apply := func(c state.Command) error {
				index++
				return m.Apply(index, now, c).Outcome.Err
			}
			for _, c := range append([]state.Command{tc.before, tc.accepted}, tc.removal...) {
				if err := apply(c); err != nil {
					t.Fatal(err)
				}
			}
			if err := apply(tc.repeat); err != nil {
				t.Errorf("the repeat is rejected: %v", err)
			}
			if err := apply(tc.new); fault.CodeOf(err) != fault.EntryNotFound && fault.CodeOf(err) != fault.WrongClass {
				t.Errorf("new work: got %v, want a rejection", err)
			}
			if m.Submissions().Len()+len(m.Jobs().Jobs()) != 1 {
				t.Error("the record does not have the accepted work alone")
			}
		})
	}
}
