package controller

import (
	"testing"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// TestSubmissionWithUnreadableTaskNamesIsRefused guards against tasks that run again and
// again: an agent can't read their names in a listing, and takes their runs for lost.
func TestSubmissionWithUnreadableTaskNamesIsRefused(t *testing.T) {
	l := newLeaderWithTask(t)
	spec := submission.Spec{Steps: []submission.Step{{Count: 1}}}
	for id, want := range map[string]fault.Code{
		"5c0e7a21d94b36f8": fault.OK, "x_y-z": fault.OK, "a/b": fault.OK, "\u00e9": fault.OK,
		"": fault.BadRequest, ".": fault.BadRequest, "5c0e.7a21d94b36f8": fault.BadRequest, "a.0.0.1": fault.BadRequest,
	} {
		out, err := l.rpc.Call(l.Context(), &pb.CallRequest{
			Verb: uint32(control.Submit), Host: "h.example", Path: "/" + id, Spec: wire.EncodeSubmissionSpec(spec),
		})
		if got := fault.Code(out.GetCode()); err != nil || got != want && !(want == fault.OK && got == 0) {
			t.Errorf("%q: got code %d %s, %v, want %d", id, got, out.GetMessage(), err, want)
		}
	}
}
