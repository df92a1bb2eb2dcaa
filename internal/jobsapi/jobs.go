// Package jobsapi implements the HTTP API of batch jobs, which entry instances
// serve to callers and controllers serve to operators.
package jobsapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest"

	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/state"
)

// Limits of a request.
const (
	_controllersTimeout = 10 * time.Second // for an answer of the controllers
	_maxResultWait      = time.Minute      // of a caller for a result
	_maxPageSize        = 500              // jobs
)

// Controllers is the part of the controllers' client that the handlers use.
type Controllers interface {
	Propose(ctx context.Context, cmd state.Command) (state.Outcome, error)
	Jobs(ctx context.Context, q control.JobQuery) (control.JobPage, error)
}

// API holds the handlers of the job API.
type API struct {
	controllers Controllers
}

// New returns an API that calls the controllers with the given client.
func New(c Controllers) *API { return &API{controllers: c} }

// Routes returns the routes of the job API.
func (a *API) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/jobs/{id}", Handler: a.submitJob},
		{Method: http.MethodGet, Path: "/v1/jobs", Handler: a.listJobs},
		{Method: http.MethodGet, Path: "/v1/jobs/{id}", Handler: a.getJob},
		{Method: http.MethodDelete, Path: "/v1/jobs/{id}", Handler: a.cancelJob},
		{Method: http.MethodGet, Path: "/v1/jobs/{id}/result", Handler: a.getResult},
	}
}

// Document is the JSON form of a job.
type Document struct {
	JobID     string    `json:"job_id"`
	Entry     string    `json:"entry"`
	Owner     string    `json:"owner"`
	State     string    `json:"state"`
	Attempt   uint32    `json:"attempt"`
	Worker    string    `json:"worker,omitempty"`
	Failures  int       `json:"failures"`
	Reason    string    `json:"reason,omitempty"`
	Submitted time.Time `json:"submitted"`
	Ended     time.Time `json:"ended,omitzero"`
}

// ListDocument is the JSON form of a page of jobs.
type ListDocument struct {
	Jobs []Document `json:"jobs"`
	Next string     `json:"next,omitempty"`
}

// SubmitDocument is the JSON form of an accepted submission.
type SubmitDocument struct {
	JobID string `json:"job_id"`
	State string `json:"state"`
}

func newDocument(j job.Job) Document {
	return Document{
		JobID:     j.ID,
		Entry:     j.Entry,
		Owner:     j.Owner,
		State:     j.State.String(),
		Attempt:   j.Attempt,
		Worker:    j.Worker,
		Failures:  j.Failures,
		Reason:    j.Reason,
		Submitted: j.SubmittedAt,
		Ended:     j.EndedAt,
	}
}

func (a *API) submitJob(w http.ResponseWriter, r *http.Request) {
	// The path of a submission has the entry's name in place of a job identifier.
	entry := web.PathValue(r, "id")
	if !catalogue.ValidName(entry) {
		web.WriteFault(w, fault.New(fault.BadEntryName, "invalid entry name %q", entry))
		return
	}
	key, err := web.IdempotencyKey(r.Header)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	body, err := web.ReadBody(w, r, job.MaxBodyBytes)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), _controllersTimeout)
	defer cancel()
	o, err := a.controllers.Propose(ctx, state.SubmitJob{Job: job.Job{
		ID:          uuid.NewString(),
		Entry:       entry,
		Key:         key,
		Fingerprint: xxhash.Sum64(body),
		Body:        body,
	}})
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	w.Header().Set("Location", "/v1/jobs/"+o.Job.ID)
	web.WriteJSON(w, http.StatusAccepted, SubmitDocument{JobID: o.Job.ID, State: o.Job.State.String()})
}

func (a *API) listJobs(w http.ResponseWriter, r *http.Request) {
	q := control.JobQuery{
		Entry: r.URL.Query().Get("entry"),
		After: r.URL.Query().Get("after"),
		Limit: _maxPageSize,
	}
	if s := r.URL.Query().Get("state"); s != "" {
		if q.State = job.ParseState(s); q.State == 0 {
			web.WriteFault(w, fault.New(fault.BadRequest, "state: found %q, allowed are queued, running, done, failed and cancelled", s))
			return
		}
	}
	if s := r.URL.Query().Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > _maxPageSize {
			web.WriteFault(w, fault.New(fault.BadRequest, "limit: found %q, allowed is a number from 1 to %d", s, _maxPageSize))
			return
		}
		q.Limit = n
	}
	ctx, cancel := context.WithTimeout(r.Context(), _controllersTimeout)
	defer cancel()
	page, err := a.controllers.Jobs(ctx, q)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	out := ListDocument{Jobs: []Document{}, Next: page.Next}
	for _, j := range page.Jobs {
		out.Jobs = append(out.Jobs, newDocument(j))
	}
	web.WriteJSON(w, http.StatusOK, out)
}

func (a *API) fetchJob(r *http.Request, wait time.Duration) (job.Job, error) {
	id := web.PathValue(r, "id")
	ctx, cancel := context.WithTimeout(r.Context(), _controllersTimeout+wait)
	defer cancel()
	page, err := a.controllers.Jobs(ctx, control.JobQuery{ID: id, Wait: wait})
	if err != nil {
		return job.Job{}, err
	}
	if len(page.Jobs) == 0 {
		return job.Job{}, fault.New(fault.JobNotFound, "no job %q", id)
	}
	return page.Jobs[0], nil
}

func (a *API) getJob(w http.ResponseWriter, r *http.Request) {
	j, err := a.fetchJob(r, 0)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, newDocument(j))
}

func (a *API) cancelJob(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), _controllersTimeout)
	defer cancel()
	o, err := a.controllers.Propose(ctx, state.CancelJob{ID: web.PathValue(r, "id")})
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	status := http.StatusOK
	if !o.Job.State.Ended() {
		status = http.StatusAccepted // the attempt is being stopped and may still complete first
	}
	web.WriteJSON(w, status, newDocument(*o.Job))
}

func (a *API) getResult(w http.ResponseWriter, r *http.Request) {
	var wait time.Duration
	if s := r.URL.Query().Get("wait_ms"); s != "" {
		ms, err := strconv.Atoi(s)
		if err != nil || ms < 0 || int64(ms) > _maxResultWait.Milliseconds() {
			web.WriteFault(w, fault.New(fault.BadRequest, "wait_ms: found %q, allowed is a number from 0 to %d", s, _maxResultWait.Milliseconds()))
			return
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	if wait > 0 {
		end, err := web.BeginLasting(r)
		if err != nil {
			web.WriteFault(w, err)
			return
		}
		defer end()
	}
	j, err := a.fetchJob(r, wait)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	switch j.State {
	case job.Done:
		if j.ResultDropped {
			web.WriteFault(w, fault.New(fault.AnswerNotKept, "job %s is done, but its result was dropped for newer ones", j.ID))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set(web.HeaderRan, fault.RanYes.String())
		w.WriteHeader(j.Status)
		// A failed write means that the caller has disconnected.
		_, _ = w.Write(j.Result)
	case job.Failed:
		web.WriteFault(w, failedError(j))
	case job.Cancelled:
		web.WriteFault(w, cancelledError(j))
	case job.Queued, job.Running:
		web.WriteFault(w, fault.New(fault.JobNotFinished, "job %s has not finished: %s", j.ID, j.State))
	}
}

func failedError(j job.Job) error {
	f := fault.New(fault.JobFailed, "job %s failed: %s", j.ID, j.Reason)
	if j.Attempt == 0 {
		return f.WithRan(fault.RanNo)
	}
	return f
}

func cancelledError(j job.Job) error {
	f := fault.New(fault.JobCancelled, "job %s was cancelled", j.ID)
	if j.Attempt == 0 {
		return f.WithRan(fault.RanNo)
	}
	return f
}
