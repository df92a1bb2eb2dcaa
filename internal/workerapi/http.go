package workerapi

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/gentianrail/gentianrail/fault"
)

// Prefix is the path prefix of a worker's task API.
const Prefix = "/.gentianrail/v1"

const (
	_maxAnswerBytes = 1 << 20
	_maxErrorBytes  = 256 // that an error quotes of an answer
	_maxClock       = 100 * 365 * 24 * time.Hour
	_callTimeout    = 2 * time.Second  // of a call, in addition to its long poll
	_idleTimeout    = 30 * time.Second // after which an idle connection is closed
)

// StartDocument is the JSON form of a task to start.
type StartDocument struct {
	Target     string `json:"target"`
	Body       []byte `json:"body"`
	Checkpoint []byte `json:"checkpoint"`
	LeaseEndMS int64  `json:"until_ms"`
}

// TaskDocument identifies one attempt.
type TaskDocument struct {
	Job     string `json:"job"`
	Attempt uint32 `json:"attempt"`
}

// RenewDocument is the JSON form of a renewal.
type RenewDocument struct {
	Tasks      []TaskDocument `json:"tasks"`
	LeaseEndMS int64          `json:"until_ms"`
}

// ThrottleDocument is the JSON form of a throttle order.
type ThrottleDocument struct {
	Percent int `json:"percent"`
}

// ClockDocument is the JSON form of an answer that has only the worker's clock.
type ClockDocument struct {
	ClockMS int64 `json:"clock_ms"`
}

// SessionDocument is the JSON form of the answer to an order to stop all tasks.
type SessionDocument struct {
	ClockMS int64  `json:"clock_ms"`
	Session string `json:"session"` // decimal number; empty for a worker without sessions
}

// StatusDocument is the JSON form of a task's status.
type StatusDocument struct {
	State  string `json:"progress"`
	Code   int    `json:"code"`
	Result []byte `json:"result"`
	Reason string `json:"reason"`
}

// CheckpointDocument is the JSON form of a checkpoint.
type CheckpointDocument struct {
	Checkpoint []byte `json:"checkpoint"`
}

// UsageDocument is the JSON form of one task's resource usage.
type UsageDocument struct {
	Job         string `json:"job"`
	Attempt     uint32 `json:"attempt"`
	CPUMillis   int64  `json:"cpu_millis"`
	MemoryBytes int64  `json:"memory_bytes"`
	AtMS        int64  `json:"at_ms"`
}

var _stateNames = map[State]string{
	Running: "running", Finished: "finished", Failed: "failed", Stopped: "stopped", Unknown: "unknown",
}

// String returns the state's name in JSON documents.
func (s State) String() string { return _stateNames[s] }

// ParseState returns the state with the given name, or 0 if there is none.
func ParseState(name string) State {
	for s, n := range _stateNames {
		if n == name {
			return s
		}
	}
	return 0
}

// Client calls a worker over HTTP.
type Client struct {
	base       string
	service    httpc.Service
	httpClient *http.Client
}

var _ Worker = (*Client)(nil)

// NewClient returns a client of the worker that listens on address.
func NewClient(address string) *Client {
	const name = "worker"
	breaker.NoBreakerFor(name)
	httpClient := &http.Client{Transport: &http.Transport{IdleConnTimeout: _idleTimeout}}
	return &Client{
		base:       "http://" + address + Prefix,
		service:    httpc.NewServiceWithClient(name, httpClient),
		httpClient: httpClient,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fault.Wrap(fault.Internal, err, "encode a worker request")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "create a worker request")
	}
	resp, err := c.service.DoRequest(req)
	if err != nil {
		return fault.Wrap(fault.TargetDown, err, "call the worker")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, _maxAnswerBytes))
	if err != nil {
		return fault.Wrap(fault.TargetFailed, err, "read the worker's answer")
	}
	if resp.StatusCode == http.StatusConflict {
		return fault.New(fault.StaleWorker, "the worker rejected the call as outdated: %s", bytes.TrimSpace(data))
	}
	if resp.StatusCode >= http.StatusBadRequest {
		text := strings.ToValidUTF8(string(data[:min(len(data), _maxErrorBytes)]), "")
		return fault.New(fault.TargetFailed, "the worker answered with status %d: %s", resp.StatusCode, strings.TrimSpace(text))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fault.Wrap(fault.TargetFailed, err, "decode the worker's answer")
	}
	return nil
}

// duration returns the time on a worker's clock, which may have any origin.
func duration(ms int64) (time.Duration, error) {
	if ms < 0 || ms > _maxClock.Milliseconds() {
		return 0, fault.New(fault.TargetFailed, "the worker's clock: found %d ms, allowed are 0 to %d", ms, _maxClock.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// callForClock makes a call whose answer has only the worker's clock.
func (c *Client) callForClock(ctx context.Context, method, path string, in any) (time.Duration, error) {
	var out ClockDocument
	if err := c.call(ctx, _callTimeout, method, path, in, &out); err != nil {
		return 0, err
	}
	return duration(out.ClockMS)
}

func sessionQuery(session uint64) string { return "?session=" + strconv.FormatUint(session, 10) }

func taskPath(id TaskID, suffix string) string {
	return fmt.Sprintf("/tasks/%s/%d%s", id.Job, id.Attempt, suffix)
}

// Clock implements Worker.
func (c *Client) Clock(ctx context.Context) (time.Duration, error) {
	return c.callForClock(ctx, http.MethodGet, "/clock", nil)
}

// Start implements Worker.
func (c *Client) Start(ctx context.Context, t Task) (time.Duration, error) {
	in := StartDocument{Target: t.Target, Body: t.Body, Checkpoint: t.Checkpoint, LeaseEndMS: t.LeaseEnd.Milliseconds()}
	return c.callForClock(ctx, http.MethodPut, taskPath(t.ID, sessionQuery(t.Session)), in)
}

// Renew implements Worker.
func (c *Client) Renew(ctx context.Context, session uint64, ids []TaskID, leaseEnd time.Duration) (time.Duration, error) {
	in := RenewDocument{LeaseEndMS: leaseEnd.Milliseconds()}
	for _, id := range ids {
		in.Tasks = append(in.Tasks, TaskDocument(id))
	}
	return c.callForClock(ctx, http.MethodPost, "/renew"+sessionQuery(session), in)
}

// Wait implements Worker.
func (c *Client) Wait(ctx context.Context, id TaskID, wait time.Duration) (Status, error) {
	path := taskPath(id, "?wait_ms="+strconv.FormatInt(wait.Milliseconds(), 10))
	var out StatusDocument
	if err := c.call(ctx, _callTimeout+wait, http.MethodGet, path, nil, &out); err != nil {
		return Status{}, err
	}
	state := ParseState(out.State)
	if state == 0 {
		return Status{}, fault.New(fault.TargetFailed, "the worker answered with the unexpected progress %q", out.State)
	}
	return Status{State: state, Code: out.Code, Result: out.Result, Reason: out.Reason}, nil
}

// Checkpoint implements Worker.
func (c *Client) Checkpoint(ctx context.Context, id TaskID) ([]byte, error) {
	var out CheckpointDocument
	err := c.call(ctx, _callTimeout, http.MethodPost, taskPath(id, "/checkpoint"), nil, &out)
	return out.Checkpoint, err
}

// Throttle implements Worker.
func (c *Client) Throttle(ctx context.Context, id TaskID, percent int) error {
	return c.call(ctx, _callTimeout, http.MethodPost, taskPath(id, "/throttle"), ThrottleDocument{Percent: percent}, nil)
}

// Stop implements Worker.
func (c *Client) Stop(ctx context.Context, id TaskID) ([]byte, error) {
	var out CheckpointDocument
	err := c.call(ctx, _callTimeout, http.MethodDelete, taskPath(id, ""), nil, &out)
	return out.Checkpoint, err
}

// StopAll implements Worker.
func (c *Client) StopAll(ctx context.Context, session uint64) (clock time.Duration, present uint64, err error) {
	var out SessionDocument
	if err := c.call(ctx, _callTimeout, http.MethodDelete, "/tasks"+sessionQuery(session), nil, &out); err != nil {
		return 0, 0, err
	}
	if out.Session != "" {
		if present, err = strconv.ParseUint(out.Session, 10, 64); err != nil {
			return 0, 0, fault.Wrap(fault.TargetFailed, err, "decode the worker's session")
		}
	}
	clock, err = duration(out.ClockMS)
	return clock, present, err
}

// Usage implements Worker.
func (c *Client) Usage(ctx context.Context) ([]Usage, error) {
	var body jsontext.Value
	if err := c.call(ctx, _callTimeout, http.MethodGet, "/usage", nil, &body); err != nil {
		return nil, err
	}
	return decodeUsage(body)
}

// decodeUsage decodes the rows of an answer. It skips a row that can't be read.
func decodeUsage(body []byte) ([]Usage, error) {
	var rows []jsontext.Value
	if err := json.Unmarshal(body, &rows); err != nil {
		return nil, fault.Wrap(fault.TargetFailed, err, "decode the worker's answer")
	}
	var out []Usage
	for _, row := range rows {
		var d UsageDocument
		if row.Kind() != jsontext.KindBeginObject || json.Unmarshal(row, &d) != nil {
			continue
		}
		at, err := duration(d.AtMS)
		if err != nil || d.CPUMillis < 0 || d.MemoryBytes < 0 {
			continue
		}
		out = append(out, Usage{
			ID:          TaskID{Job: d.Job, Attempt: d.Attempt},
			CPUMillis:   d.CPUMillis,
			MemoryBytes: d.MemoryBytes,
			At:          at,
		})
	}
	return out, nil
}
