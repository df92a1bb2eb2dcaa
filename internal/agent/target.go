package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

const (
	_targetDialTimeout  = time.Second
	_targetIdleTimeout  = 30 * time.Second // after which an idle connection is closed
	_targetServiceName  = "target"
	_requestIDHeader    = "Gentianrail-Request-Id"
	_maxIdleTargetConns = 256
)

// targetClient sends requests to the target beside the agent.
type targetClient struct {
	address    string
	httpClient *http.Client
	service    httpc.Service
}

func newTargetClient(address string) *targetClient {
	breaker.NoBreakerFor(_targetServiceName)
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: _targetDialTimeout}).DialContext,
		IdleConnTimeout:     _targetIdleTimeout,
		MaxIdleConnsPerHost: _maxIdleTargetConns,
		DisableCompression:  true, // the answer is passed on unchanged
	}
	httpClient := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &targetClient{address: address, httpClient: httpClient, service: httpc.NewServiceWithClient(_targetServiceName, httpClient)}
}

func (t *targetClient) close() { t.httpClient.CloseIdleConnections() }

// singleUseBody hides from the transport that a body can be sent again. Without
// singleUseBody, the transport repeats a request without a body or with an
// Idempotency-Key when a reused connection breaks.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// transportBody returns the body to pass to the transport. The transport may
// repeat only an idempotent request without a body.
func transportBody(open *pb.Open, body io.Reader) io.Reader {
	if open.GetIdempotent() && open.GetBodyEnded() && len(open.GetBody()) == 0 {
		return http.NoBody
	}
	return singleUseBody{body}
}

// send sends one request. The error states whether the request ran.
func (t *targetClient) send(ctx context.Context, requestID string, open *pb.Open, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, open.GetMethod(), "http://"+t.address+string(open.GetPath()), transportBody(open, body))
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "create the request to the target")
	}
	req.ContentLength = open.GetBodyLength()
	for _, h := range open.GetHeaders() {
		if strings.EqualFold(h.GetName(), "Host") {
			req.Host = string(h.GetValue())
			continue
		}
		req.Header.Add(h.GetName(), string(h.GetValue()))
	}
	req.Header.Set(_requestIDHeader, requestID)
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // otherwise the transport adds its own
	}
	resp, err := t.service.DoRequest(req)
	if err != nil {
		return nil, classifySendError(err, open)
	}
	return resp, nil
}

// classifySendError returns the error for a request that could not be sent or
// was not answered. The error states that the request did not run only if the
// connection could not be made.
func classifySendError(err error, open *pb.Open) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Wrap(fault.TargetDown, err, "connect to the target")
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return fault.New(fault.RequestTimeout, "the target did not answer in time")
	}
	return fault.Wrap(fault.TargetFailed, err, "send the %s request to the target", open.GetMethod())
}
