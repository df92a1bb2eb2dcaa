package web

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/intake"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/inbound"
)

// GateConfig is the configuration of a Gate.
type GateConfig struct {
	BodyBudget    int64         // bytes of bodies that are being read or processed
	Connections   int           // of all listeners for callers, operators and workers
	Buffer        int           // bytes of a connection's receive buffer, and of its send buffer
	BodyTimeout   time.Duration // from the start of a body to its end
	HeaderTimeout time.Duration // for reading a request's headers
	IdleTimeout   time.Duration // between requests on one connection
	Log           event.Log
	Metrics       metrics.Registry // nil for none
}

const (
	_smallBody        = 16 << 10               // bytes of a small body, and first part of a body of unknown size
	_bodyStall        = 300 * time.Millisecond // longer than the time between segments of a client that sends
	_bodyGrace        = time.Second
	_minBodyRate      = 16 << 10         // bytes per second
	_maxBudgetWait    = time.Second      // leaves a caller 2 of the 3 s that it waits for an answer
	_timeoutSlack     = 2 * time.Second  // from a body's timeout to that of its connection
	_concurrentDecode = 2                // bodies that are not small
	_wholeBodies      = 8                // bodies of the largest size that is received completely, which the budget holds
	_smallListener    = 64               // connections of a listener for probes or metrics
	_gateMaxHeader    = 20 << 10         // clients send at most 16,384 bytes
	_rejectTimeout    = time.Millisecond // for the answer to a connection beyond the limit
)

// Gate bounds what the clients of a process's listeners can make it hold: the
// bodies that it reads and processes, and its connections. A nil Gate bounds
// nothing.
type Gate struct {
	cfg      GateConfig
	decoding chan struct{} // one value for each body that is being decoded
	observer *inbound.Observer
	budget   *inbound.Budget
}

// NewGate returns a gate.
func NewGate(cfg GateConfig) *Gate {
	o := inbound.NewObserver("intake", cfg.Log, cfg.Metrics)
	return &Gate{
		cfg:      cfg,
		decoding: make(chan struct{}, _concurrentDecode),
		observer: o,
		budget: inbound.NewBudget(intake.Limits{
			Budget: cfg.BodyBudget, Reserve: cfg.BodyBudget / 4, SmallBody: _smallBody, ClientShare: cfg.BodyBudget / 8 * 5,
			Stall: _bodyStall, Grace: _bodyGrace, MinRate: _minBodyRate, MaxWait: _maxBudgetWait, BodyTimeout: cfg.BodyTimeout,
		}, o),
	}
}

// _minWholeBody is the part of a body that is buffered without a gate.
const _minWholeBody = 64 << 10

// WholeBody returns the largest body, in bytes, that a handler should receive
// completely before it passes it on.
func (g *Gate) WholeBody() int64 {
	if g == nil {
		return _minWholeBody
	}
	return max(g.cfg.BodyBudget/_wholeBodies, _minWholeBody)
}

// _past ends a read at once.
var _past = time.Unix(1, 0)

// reject answers a connection beyond the limit.
func reject(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(_rejectTimeout))
	_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
}

// listen listens on an address within the gate's limits.
func (g *Gate) listen(address string, small bool) (net.Listener, error) {
	limit := g.cfg.Connections
	if small {
		limit = min(limit, _smallListener)
	}
	return inbound.Listen(address, inbound.Limits{
		Connections: limit, Buffer: g.cfg.Buffer, WriteTimeout: g.cfg.IdleTimeout,
	}, g.budget, g.observer, reject)
}

type gateConnKey struct{}

// configure makes a server track its connections and limit the bodies of requests.
func (g *Gate) configure(s *http.Server) {
	next := s.Handler
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = g.cfg.HeaderTimeout, g.cfg.IdleTimeout, _gateMaxHeader
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, gateConnKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		conn, ok := c.(*inbound.Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateIdle:
			conn.SetState(inbound.Idle)
		case http.StateActive:
			conn.SetState(inbound.Receiving)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(gateConnKey{}).(*inbound.Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.SetState(inbound.Handling)
		if r.Body == nil || r.Body == http.NoBody {
			defer c.SetState(inbound.Answered)
			next.ServeHTTP(w, r)
			return
		}
		if r.Method == http.MethodGet || r.Method == http.MethodHead {
			// A body without a meaning is not awaited, and no deadline may end a watch.
			w.Header().Set("Connection", "close")
		} else {
			// The deadline also ends the server's own reads of a body that the handler left.
			_ = c.SetReadDeadline(time.Now().Add(g.cfg.BodyTimeout + _timeoutSlack))
			c.SetUnread(true)
		}
		b := &bodyReader{gate: g, conn: c, w: w, body: r.Body, announced: r.ContentLength}
		defer b.finish()
		// The server's own request keeps its body: its type tells the server that a client
		// waits to be told to continue, so that the answer does not wait for the body.
		r = r.WithContext(r.Context())
		r.Body = b
		next.ServeHTTP(w, r)
	})
}

// BeginLasting admits a request whose answer lasts: a watch, or a wait of many seconds. It
// returns an error if such answers already have three quarters of the listener's
// connections. The caller calls end when the answer has ended.
func BeginLasting(r *http.Request) (end func(), err error) {
	c, ok := r.Context().Value(gateConnKey{}).(*inbound.Conn)
	if !ok {
		return func() {}, nil
	}
	end, ok = c.BeginLasting()
	if !ok {
		return nil, fault.New(fault.Overloaded, "too many watches are open")
	}
	return end, nil
}

// BeginDecoding waits until few other bodies are being decoded, since a decoded
// body may take many times its size. The caller calls end after decoding; otherwise
// decoding ends with the request.
func BeginDecoding(r *http.Request, size int) (end func()) {
	b, ok := r.Body.(*bodyReader)
	if !ok || size <= _smallBody {
		return func() {}
	}
	b.gate.decoding <- struct{}{}
	b.decoding = true
	return b.endDecoding
}
