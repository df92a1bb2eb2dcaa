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
	_targetDial     = time.Second      // until a dial of the target has failed
	_targetIdleFor  = 30 * time.Second // how long an idle connection is kept
	_targetName     = "target"
	_headerRequest  = "Gentianrail-Request-Id"
	_mostIdleTarget = 256
)

// targetClient sends requests to the target beside the agent.
type targetClient struct {
	address string
	raw     *http.Client
	service httpc.Service
}

func newTargetClient(address string) *targetClient {
	breaker.NoBreakerFor(_targetName)
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: _targetDial}).DialContext,
		IdleConnTimeout:     _targetIdleFor,
		MaxIdleConnsPerHost: _mostIdleTarget,
		DisableCompression:  true, // the answer passes through as it is
	}
	raw := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &targetClient{address: address, raw: raw, service: httpc.NewServiceWithClient(_targetName, raw)}
}

func (t *targetClient) close() { t.raw.CloseIdleConnections() }

// onceBody hides from the transport that a body could be sent again. Without
// it the transport itself repeats a request that has no body, or that has an
// Idempotency-Key, when a reused connection breaks.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// bodyOf returns the body as the transport may see it. Only an idempotent
// request without a body may be repeated by the transport.
func bodyOf(open *pb.Open, body io.Reader) io.Reader {
	if open.GetIdempotent() && open.GetBodyEnded() && len(open.GetBody()) == 0 {
		return http.NoBody
	}
	return onceBody{body}
}

// send sends one request. The error tells whether it ran.
func (t *targetClient) send(ctx context.Context, requestID string, open *pb.Open, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, open.GetMethod(), "http://"+t.address+open.GetPath(), bodyOf(open, body))
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "make the request to the target")
	}
	req.ContentLength = open.GetBodyLength()
	for _, h := range open.GetHeaders() {
		if strings.EqualFold(h.GetName(), "Host") {
			req.Host = h.GetValue()
			continue
		}
		req.Header.Add(h.GetName(), h.GetValue())
	}
	req.Header.Set(_headerRequest, requestID)
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // or the transport adds its own
	}
	resp, err := t.service.DoRequest(req)
	if err != nil {
		return nil, sendError(err, open)
	}
	return resp, nil
}

// sendError says that a request did not run only if no connection was made.
func sendError(err error, open *pb.Open) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Wrap(fault.TargetDown, err, "connect to the target")
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return fault.New(fault.RequestTimeout, "the target did not answer in time")
	}
	return fault.Wrap(fault.TargetFailed, err, "the target broke off the request %s", open.GetMethod())
}
