// Package sample implements the sample target. The target serves requests and
// watches, runs tasks as a worker does, and counts the requests and tasks that it
// has run.
package sample

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/zeromicro/go-zero/rest"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/internal/workerapi"
)

const (
	_maxBody       = 64 << 20 // bytes of a request body
	_maxClock      = 100 * 365 * 24 * time.Hour
	_watchInterval = time.Second // between the events of a watch
)

// runDocument is the answer to a request.
type runDocument struct {
	Run    int64  `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Target is a sample target.
type Target struct {
	server *web.Server
	store  *store
	runs   atomic.Int64
}

// Start serves a target on the address.
func Start(address string) (*Target, error) {
	t := &Target{}
	t.store = newStore(time.Now(), func() int64 { return t.runs.Add(1) })
	handler, err := web.Handler("sample", t.routes())
	if err != nil {
		return nil, err
	}
	if t.server, err = web.Listen(address, handler); err != nil {
		return nil, err
	}
	return t, nil
}

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.server.Address() }

// Runs returns how many requests and tasks have run.
func (t *Target) Runs() int64 { return t.runs.Load() }

// Server returns the target's HTTP server.
func (t *Target) Server() *web.Server { return t.server }

func (t *Target) routes() []rest.Route {
	task := workerapi.Prefix + "/tasks/{job}/{attempt}"
	return []rest.Route{
		{Method: http.MethodGet, Path: workerapi.Prefix + "/clock", Handler: t.serveClock},
		{Method: http.MethodPut, Path: task, Handler: t.startTask},
		{Method: http.MethodGet, Path: task, Handler: t.waitTask},
		{Method: http.MethodDelete, Path: task, Handler: t.stopTask},
		{Method: http.MethodPost, Path: task + "/checkpoint", Handler: t.checkpointTask},
		{Method: http.MethodPost, Path: task + "/throttle", Handler: t.throttleTask},
		{Method: http.MethodDelete, Path: workerapi.Prefix + "/tasks", Handler: t.stopAllTasks},
		{Method: http.MethodPost, Path: workerapi.Prefix + "/renew", Handler: t.renewLeases},
		{Method: http.MethodGet, Path: workerapi.Prefix + "/usage", Handler: t.serveUsage},
		{Method: web.AnyMethod, Path: "/{path...}", Handler: t.serveRequest},
	}
}

func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		t.serveWatch(w, r)
		return
	}
	run := t.runs.Add(1)
	body, err := io.ReadAll(io.LimitReader(r.Body, _maxBody))
	if err != nil {
		web.WriteFault(w, fault.New(fault.BadRequest, "read the body: %s", err))
		return
	}
	delay, _ := strconv.Atoi(r.URL.Query().Get("delay_ms"))
	if delay > 0 {
		time.Sleep(time.Duration(delay) * time.Millisecond)
	}
	status, err := strconv.Atoi(r.URL.Query().Get("status"))
	if err != nil || status < 200 || status > 599 {
		status = http.StatusOK
	}
	web.WriteJSON(w, status, runDocument{Run: run, Method: r.Method, Path: r.URL.Path, Body: string(body)})
}

// serveWatch sends a numbered event every second. The first event has the number
// after the caller's Last-Event-ID.
func (t *Target) serveWatch(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.ParseInt(r.Header.Get("Last-Event-ID"), 10, 64)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	tick := time.NewTicker(_watchInterval)
	defer tick.Stop()
	for n := last + 1; ; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: {\"event\":%d}\n\n", n, n); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-tick.C:
		}
	}
}

func (t *Target) writeClock(w http.ResponseWriter) {
	web.WriteJSON(w, http.StatusOK, workerapi.ClockDocument{ClockMS: t.store.clock(time.Now()).Milliseconds()})
}

func (t *Target) serveClock(w http.ResponseWriter, _ *http.Request) { t.writeClock(w) }

var errBadAttempt = errors.New("the attempt is not an unsigned 32-bit number")

// readOrder decodes the body of an order.
func readOrder(w http.ResponseWriter, r *http.Request, order any) error {
	return json.UnmarshalRead(http.MaxBytesReader(w, r.Body, _maxBody), order)
}

// leaseEnd returns a lease end on the target's clock.
func leaseEnd(ms int64) (time.Duration, error) {
	if ms < 0 || ms > _maxClock.Milliseconds() {
		return 0, fmt.Errorf("until_ms: found %d, allowed are 0 to %d", ms, _maxClock.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func taskID(r *http.Request) (workerapi.TaskID, error) {
	n, err := strconv.ParseUint(web.PathValue(r, "attempt"), 10, 32)
	if err != nil {
		return workerapi.TaskID{}, errBadAttempt
	}
	return workerapi.TaskID{Job: web.PathValue(r, "job"), Attempt: uint32(n)}, nil
}

var errBadSession = errors.New("the session is not an unsigned 64-bit number")

func sessionOf(r *http.Request) (uint64, error) {
	n, err := strconv.ParseUint(r.URL.Query().Get("session"), 10, 64)
	if err != nil {
		return 0, errBadSession
	}
	return n, nil
}

func (t *Target) startTask(w http.ResponseWriter, r *http.Request) {
	id, err := taskID(r)
	var doc workerapi.StartDocument
	var session uint64
	if err == nil {
		session, err = sessionOf(r)
	}
	if err == nil {
		err = readOrder(w, r, &doc)
	}
	if err != nil {
		web.WriteFault(w, fault.New(fault.BadRequest, "%s", err))
		return
	}
	end, err := leaseEnd(doc.LeaseEndMS)
	if err != nil {
		web.WriteFault(w, fault.New(fault.BadRequest, "%s", err))
		return
	}
	if err := t.store.startTask(session, id, doc.Body, doc.Checkpoint, end, time.Now()); err != nil {
		web.WriteFault(w, err)
		return
	}
	t.writeClock(w)
}

// requireTask returns the task that the request names. If there is none, it
// answers the request and returns nil.
func (t *Target) requireTask(w http.ResponseWriter, r *http.Request) *task {
	id, err := taskID(r)
	if err != nil {
		web.WriteFault(w, fault.New(fault.BadRequest, "%s", err))
		return nil
	}
	found := t.store.findTask(id)
	if found == nil {
		web.WriteJSON(w, http.StatusOK, workerapi.StatusDocument{State: workerapi.Unknown.String()})
	}
	return found
}

func (t *Target) waitTask(w http.ResponseWriter, r *http.Request) {
	found := t.requireTask(w, r)
	if found == nil {
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-found.done:
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	if !found.hasEnded() {
		web.WriteJSON(w, http.StatusOK, workerapi.StatusDocument{State: workerapi.Running.String()})
		return
	}
	s := found.status
	web.WriteJSON(w, http.StatusOK, workerapi.StatusDocument{
		State: s.State.String(), Code: s.Code, Result: s.Result, Reason: s.Reason,
	})
}

func (t *Target) stopTask(w http.ResponseWriter, r *http.Request) {
	id, err := taskID(r)
	if err != nil {
		web.WriteFault(w, fault.New(fault.BadRequest, "%s", err))
		return
	}
	web.WriteJSON(w, http.StatusOK, workerapi.CheckpointDocument{Checkpoint: t.store.stopTask(id, time.Now())})
}

func (t *Target) checkpointTask(w http.ResponseWriter, r *http.Request) {
	if found := t.requireTask(w, r); found != nil {
		web.WriteJSON(w, http.StatusOK, workerapi.CheckpointDocument{Checkpoint: t.store.checkpointTask(found, time.Now())})
	}
}

// throttleTask accepts a throttle order without effect, since tasks only wait.
func (t *Target) throttleTask(w http.ResponseWriter, r *http.Request) {
	if found := t.requireTask(w, r); found != nil {
		t.writeClock(w)
	}
}

func (t *Target) stopAllTasks(w http.ResponseWriter, r *http.Request) {
	session, err := sessionOf(r)
	if err != nil {
		web.WriteFault(w, fault.New(fault.BadRequest, "%s", err))
		return
	}
	present := t.store.stopAllTasks(session)
	web.WriteJSON(w, http.StatusOK, workerapi.SessionDocument{
		ClockMS: t.store.clock(time.Now()).Milliseconds(), Session: strconv.FormatUint(present, 10),
	})
}

func (t *Target) renewLeases(w http.ResponseWriter, r *http.Request) {
	var doc workerapi.RenewDocument
	session, err := sessionOf(r)
	if err == nil {
		err = readOrder(w, r, &doc)
	}
	var end time.Duration
	if err == nil {
		end, err = leaseEnd(doc.LeaseEndMS)
	}
	if err != nil {
		web.WriteFault(w, fault.New(fault.BadRequest, "%s", err))
		return
	}
	ids := make([]workerapi.TaskID, 0, len(doc.Tasks))
	for _, d := range doc.Tasks {
		ids = append(ids, workerapi.TaskID(d))
	}
	if err := t.store.renewLeases(session, ids, end, time.Now()); err != nil {
		web.WriteFault(w, err)
		return
	}
	t.writeClock(w)
}

func (t *Target) serveUsage(w http.ResponseWriter, _ *http.Request) {
	docs := []workerapi.UsageDocument{}
	at := t.store.clock(time.Now()).Milliseconds()
	for _, id := range t.store.runningTasks() {
		docs = append(docs, workerapi.UsageDocument{Job: id.Job, Attempt: id.Attempt, AtMS: at})
	}
	web.WriteJSON(w, http.StatusOK, docs)
}
