// Package client implements a client of the operator API.
package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/web"
)

const (
	_maxAnswerBytes = 64 << 20
	_maxAttempts    = 3 // of a call that fails with a transient error
	_retryInterval  = 300 * time.Millisecond
	_serviceName    = "operator_api"
)

// Client calls the operator API of one controller.
type Client struct {
	baseURL string
	service httpc.Service
}

// New returns a client of the server, given as IP:port or as a URL.
func New(server string, timeout time.Duration) *Client {
	logx.Disable()
	breaker.NoBreakerFor(_serviceName)
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	return &Client{
		baseURL: strings.TrimSuffix(server, "/"),
		service: httpc.NewServiceWithClient(_serviceName, &http.Client{Timeout: timeout}),
	}
}

// Call is one request.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is an answer with a status below 400.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call and retries it on transient errors. Every call of the operator
// API can be repeated safely. An answer with a status of 400 or above is returned
// as a *fault.Error.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	var lastErr error
	for attempt := 0; attempt < _maxAttempts; attempt++ {
		if attempt > 0 {
			select {
			case <-ctx.Done():
				return Answer{}, lastErr
			case <-time.After(_retryInterval):
			}
		}
		a, err := c.doOnce(ctx, call)
		if err == nil || !isTransient(err) {
			return a, err
		}
		lastErr = err
	}
	return Answer{}, lastErr
}

// isTransient reports whether a retry may succeed.
func isTransient(err error) bool {
	switch fault.CodeOf(err) {
	case fault.NoLeader, fault.MaybeApplied:
		return true
	}
	return false
}

func (c *Client) doOnce(ctx context.Context, call Call) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.baseURL+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, fault.Wrap(fault.BadRequest, err, "create the request")
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	resp, err := c.service.DoRequest(req)
	if err != nil {
		return Answer{}, fault.Wrap(fault.NoLeader, err, "call %s", c.baseURL)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, _maxAnswerBytes))
	if err != nil {
		return Answer{}, fault.Wrap(fault.NoLeader, err, "read the answer of %s", c.baseURL)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return Answer{}, decodeFault(resp, body)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func decodeFault(resp *http.Response, body []byte) error {
	var doc web.FaultDocument
	if err := json.Unmarshal(body, &doc); err != nil || doc.Code == 0 {
		return fault.New(fault.Internal, "the server answered %s without an error code", resp.Status)
	}
	f := fault.New(fault.Code(doc.Code), "%s", doc.Message).WithRan(fault.ParseRan(doc.Ran))
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		f = f.WithRetryAfter(time.Duration(s) * time.Second)
	}
	return f
}

// Get requests a path and decodes the JSON document of the answer into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	a, err := c.Do(ctx, Call{Method: http.MethodGet, Path: path})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.Body, out); err != nil {
		return fault.Wrap(fault.Internal, err, "decode the answer")
	}
	return nil
}
