package controller

import (
	"cmp"
	"testing"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/queue"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// TestSubmissionOfRemovedQueueIsKnown guards against an answer that no such queue exists, for
// a submission that was accepted and runs: its queue was removed before the call was repeated.
func TestSubmissionOfRemovedQueueIsKnown(t *testing.T) {
	l := newDrivenLeader(t)
	l.propose(state.ReplaceQueues{Table: queue.Table{Version: 2, Services: []queue.Service{{Name: "s"}}}})
	l.commit()
	spec := wire.EncodeSubmissionSpec(submission.Spec{Steps: []submission.Step{{Count: 1}}})
	for _, tc := range []struct {
		name    string
		path    string
		verb    control.Verb
		want    fault.Code
		changes bool
	}{
		{"repeated submission", "/q/s1", control.Submit, fault.OK, false},
		{"state", "/q/s1", control.Describe, fault.OK, false},
		{"cancellation", "/q/s1", control.Cancel, fault.OK, true},
		{"new submission", "/q/s2", control.Submit, fault.EntryNotFound, false},
		{"state of no submission", "/q/s2", control.Describe, fault.EntryNotFound, false},
		{"cancellation of no submission", "/q/s2", control.Cancel, fault.EntryNotFound, false},
		{"number of waiting ones", "/q/s1", control.Count, fault.EntryNotFound, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			out := &pb.CallReply{}
			cmd := l.core.handleCall(&pb.CallRequest{Host: "h.example", Path: tc.path, Verb: uint32(tc.verb), Spec: spec}, out)
			if got := fault.Code(cmp.Or(out.GetCode(), int32(fault.OK))); got != tc.want {
				t.Errorf("got %s (%s), want %s", got.Name(), out.GetMessage(), tc.want.Name())
			}
			if (cmd != nil) != tc.changes {
				t.Errorf("got the command %v, want one: %t", cmd, tc.changes)
			}
		})
	}
}
