package operator

import (
	"context"
	"io"
	"net/http"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/declaration"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/state"
)

const _mostQueuesBytes = 4 << 20 // of a table; thousands of queues

// parseBody reads a request's body and parses it. ok is false if that failed,
// which the caller has been told.
func parseBody[T any](w http.ResponseWriter, r *http.Request, most int64, parse func([]byte) (T, error)) (out T, ok bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		err = fault.New(fault.BodyTooLarge, "the body could not be read within %d bytes: %s", most, err)
	} else {
		out, err = parse(data)
	}
	if err != nil {
		web.WriteFault(w, err)
		return out, false
	}
	return out, true
}

// putQueues puts a table of queues in force. A table that is not newer than the
// one in force is a conflict, unless it is the same.
func (o *operator) putQueues(w http.ResponseWriter, r *http.Request) {
	t, ok := parseBody(w, r, _mostQueuesBytes, declaration.ParseQueues)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), _operatorDeadline)
	defer cancel()
	if _, err := o.client.Propose(ctx, state.ReplaceQueues{Table: t}); err != nil {
		web.WriteFault(w, err)
		return
	}
	inForce, err := o.client.Queues(ctx)
	if err == nil && inForce.Version > t.Version {
		err = fault.New(fault.VersionConflict, "version %d of the queues is in force", inForce.Version)
	}
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, declaration.FormatQueues(inForce))
}

func (o *operator) getQueues(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), _operatorDeadline)
	defer cancel()
	t, err := o.client.Queues(ctx)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, declaration.FormatQueues(t))
}

// postSubmission hands a submission in. The identifier makes resends harmless.
func (o *operator) postSubmission(w http.ResponseWriter, r *http.Request) {
	spec, ok := parseBody(w, r, declaration.MostBytes, declaration.ParseSubmission)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), _operatorDeadline)
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
	o.describe(w, r, spec.ID)
}
