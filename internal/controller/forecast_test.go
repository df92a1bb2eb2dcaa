package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// TestExplainAnswersAsSubmitDoes asks a leader about submissions that it would accept and
// reject. Each rejection must be that of a submission, and nothing may be recorded.
func TestExplainAnswersAsSubmitDoes(t *testing.T) {
	l := newDrivenLeader(t)
	step := submission.Step{Count: 2, Needs: submission.Resources{CPU: 1000, Memory: 1}, Estimate: time.Second}
	for _, c := range []struct {
		name, host, path, malformed string
		step                        submission.Step
		accepted                    bool
	}{
		{"valid", "h.example", "/new", "", step, true},
		{"unknown queue", "other.example", "/new", "", step, false},
		{"malformed", "h.example", "/new", "not JSON", step, false},
		{"identifier with a dot", "h.example", "/n.ew", "", step, false},
		{"no tasks", "h.example", "/new", "", submission.Step{}, false},
	} {
		in := &pb.CallRequest{
			Host: c.host, Path: c.path, Verb: uint32(control.Explain), Malformed: c.malformed,
			Spec: wire.EncodeSubmissionSpec(submission.Spec{Steps: []submission.Step{c.step}}),
		}
		out, submitted := &pb.CallReply{}, &pb.CallReply{}
		applied, count, proposed := l.core.lastApplied, l.core.machine.Submissions().Len(), l.core.accepted.sum
		if cmd := l.core.handleCall(in, out); cmd != nil {
			t.Errorf("%s: the command %+v", c.name, cmd)
		}
		if l.core.lastApplied.Index != applied.Index || l.core.machine.Submissions().Len() != count {
			t.Errorf("%s: the state has changed", c.name)
		}
		if sum := l.core.accepted.sum; sum != proposed {
			t.Errorf("%s: explain has recorded work as proposed: %+v, before %+v", c.name, sum, proposed)
		}
		in.Verb = uint32(control.Submit)
		cmd := l.core.handleCall(in, submitted)
		if out.GetCode() != submitted.GetCode() || out.GetMessage() != submitted.GetMessage() || (cmd != nil) != c.accepted || (out.GetForecast() != nil) != c.accepted {
			t.Errorf("%s: explain answers %+v, submit %+v", c.name, out, submitted)
		}
		if f := out.GetForecast(); c.accepted && (len(f.GetSteps()) != 1 || f.GetSteps()[0].GetTasks() != 2 || !f.GetSteps()[0].GetReady() || f.GetTerm() != l.core.replica.Term()) {
			t.Errorf("%s: forecast %+v", c.name, f)
		}
	}
	out := &pb.CallReply{}
	l.core.handleCall(&pb.CallRequest{Host: "h.example", Path: "/s1", Verb: uint32(control.Explain)}, out)
	if !out.GetForecast().GetRepeatedSubmission() {
		t.Errorf("a submission that was accepted before: %+v", out)
	}
}
