package operator

import (
	"context"
	"net/http"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/declaration"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/state"
)

const _maxQueuesBytes = 4 << 20 // holds thousands of queues

// parseBody reads and parses a request's body. If that fails, it answers the
// request with the error and returns false.
func parseBody[T any](w http.ResponseWriter, r *http.Request, maxBytes int64, parse func([]byte) (T, error)) (out T, ok bool) {
	data, err := web.ReadBody(w, r, maxBytes)
	if err == nil {
		end := web.BeginDecoding(r, len(data))
		out, err = parse(data)
		end()
	}
	if err != nil {
		web.WriteFault(w, err)
		return out, false
	}
	return out, true
}

// putQueues replaces the table of queues. A table whose version is older than
// the current version is a conflict. A table with the current version counts as a
// resend and changes nothing.
func (o *operator) putQueues(w http.ResponseWriter, r *http.Request) {
	t, ok := parseBody(w, r, _maxQueuesBytes, declaration.ParseQueues)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), _requestTimeout)
	defer cancel()
	if _, err := o.client.Propose(ctx, state.ReplaceQueues{Table: t}); err != nil {
		web.WriteFault(w, err)
		return
	}
	current, err := o.client.Queues(ctx)
	if err == nil && current.Version > t.Version {
		err = fault.New(fault.VersionConflict, "the current version of the queues is %d", current.Version)
	}
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, declaration.FormatQueues(current))
}

func (o *operator) getQueues(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), _requestTimeout)
	defer cancel()
	t, err := o.client.Queues(ctx)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, declaration.FormatQueues(t))
}

// postSubmission accepts a submission. The submission's identifier makes resends
// idempotent.
func (o *operator) postSubmission(w http.ResponseWriter, r *http.Request) {
	spec, ok := parseBody(w, r, declaration.MaxBytes, declaration.ParseSubmission)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), _requestTimeout)
	defer cancel()
	t, err := o.client.Queues(ctx)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	q, ok := t.Queue(spec.Queue)
	if !ok {
		web.WriteFault(w, fault.New(fault.EntryNotFound, "no queue %q", spec.Queue))
		return
	}
	call := control.Call{Host: q.Host, Path: q.Prefix + spec.ID, Verb: control.Submit, Spec: spec}
	if _, err := o.client.Call(ctx, call); err != nil {
		web.WriteFault(w, err)
		return
	}
	o.describeSubmission(w, r, spec.ID)
}
