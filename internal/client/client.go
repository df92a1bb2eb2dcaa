// Package client calls the operator API.
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
	_mostAnswer = 64 << 20 // bytes
	_tries      = 3        // of a call that can be made again
	_pause      = 300 * time.Millisecond
	_service    = "operator_api"
)

// Client calls the operator API of one controller.
type Client struct {
	base    string
	service httpc.Service
}

// New returns a client of the server, given as IP:port or as a URL.
func New(server string, timeout time.Duration) *Client {
	logx.Disable()
	breaker.NoBreakerFor(_service)
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	return &Client{
		base:    strings.TrimSuffix(server, "/"),
		service: httpc.NewServiceWithClient(_service, &http.Client{Timeout: timeout}),
	}
}

// Call is one request.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is a successful answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call. A call whose connection fails or that is refused for now
// is made again a few times, since every call of the operator API can be. An
// answer of 400 or above is returned as a *fault.Error.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	var last error
	for try := 0; try < _tries; try++ {
		if try > 0 {
			select {
			case <-ctx.Done():
				return Answer{}, last
			case <-time.After(_pause):
			}
		}
		a, err := c.once(ctx, call)
		if err == nil || !passing(err) {
			return a, err
		}
		last = err
	}
	return Answer{}, last
}

// passing reports whether an error may be gone soon.
func passing(err error) bool {
	switch fault.CodeOf(err) {
	case fault.NoLeader, fault.MaybeApplied:
		return true
	}
	return false
}

func (c *Client) once(ctx context.Context, call Call) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, fault.Wrap(fault.BadRequest, err, "make the request")
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	resp, err := c.service.DoRequest(req)
	if err != nil {
		return Answer{}, fault.Wrap(fault.NoLeader, err, "call %s", c.base)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, _mostAnswer))
	if err != nil {
		return Answer{}, fault.Wrap(fault.NoLeader, err, "read the answer of %s", c.base)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return Answer{}, answerFault(resp, body)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func answerFault(resp *http.Response, body []byte) error {
	var doc web.FaultDocument
	if err := json.Unmarshal(body, &doc); err != nil || doc.Code == 0 {
		return fault.New(fault.Internal, "answered %s", resp.Status)
	}
	f := fault.New(fault.Code(doc.Code), "%s", doc.Message).WithRan(fault.ParseRan(doc.Ran))
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		f = f.WithRetry(time.Duration(s) * time.Second)
	}
	return f
}

// Get reads a JSON document.
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
