package web

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/intake"
	"github.com/gentianrail/gentianrail/internal/event"
)

// GateConfig is the configuration of a Gate.
type GateConfig struct {
	BodyBudget    int64         // bytes of bodies that are being read or processed
	Connections   int           // of all listeners for callers, operators and workers
	ReceiveBuffer int           // bytes of a connection's receive buffer
	BodyTimeout   time.Duration // from the start of a body to its end
	HeaderTimeout time.Duration // for reading a request's headers
	IdleTimeout   time.Duration // between requests on one connection
	Log           event.Log
	Metrics       metrics.Registry // nil for none
}

const (
	_sweepInterval    = 100 * time.Millisecond // between checks of bodies that are being received
	_reportInterval   = 10 * time.Second       // between log events of one gate
	_smallBody        = 16 << 10               // bytes of a small body, and first part of a body of unknown size
	_bodyStall        = 300 * time.Millisecond // longer than the time between segments of a client that sends
	_bodyGrace        = time.Second
	_minBodyRate      = 16 << 10         // bytes per second
	_maxBudgetWait    = time.Second      // leaves a caller 2 of the 3 s that it waits for an answer
	_timeoutSlack     = 2 * time.Second  // from a body's timeout to that of its connection
	_concurrentDecode = 2                // bodies that are not small
	_smallListener    = 64               // connections of a listener for probes or metrics
	_backlog          = 256              // connections that wait to be accepted
	_answerTimeout    = 2 * time.Second  // for sending the rest of an answer to a client that reads it
	_gateMaxHeader    = 20 << 10         // clients send at most 16,384 bytes
	_rejectTimeout    = time.Millisecond // for the answer to a connection beyond the limit
)

// Gate bounds what the clients of a process's listeners can make it hold: the
// bodies that it reads and processes, and its connections. A nil Gate bounds
// nothing.
type Gate struct {
	cfg      GateConfig
	decoding chan struct{}

	mu       sync.Mutex
	ledger   *intake.Ledger
	readers  map[*intake.Body]*bodyReader
	sweeping bool

	rejected   metrics.Counter
	evicted    metrics.Counter
	cut        [intake.TooSlow + 1]metrics.Counter
	held       metrics.Gauge
	open       metrics.Gauge
	count      atomic.Int64 // of connections
	reportedAt atomic.Int64
	unreported atomic.Int64
}

// NewGate returns a gate.
func NewGate(cfg GateConfig) *Gate {
	registry := cfg.Metrics
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	g := &Gate{
		cfg:      cfg,
		decoding: make(chan struct{}, _concurrentDecode),
		ledger: intake.New(intake.Limits{
			Budget: cfg.BodyBudget, Reserve: cfg.BodyBudget / 4, SmallBody: _smallBody, ClientShare: cfg.BodyBudget / 8 * 5,
			Stall: _bodyStall, Grace: _bodyGrace, MinRate: _minBodyRate, MaxWait: _maxBudgetWait, BodyTimeout: cfg.BodyTimeout,
		}),
		readers:  make(map[*intake.Body]*bodyReader),
		rejected: metrics.GetOrRegisterCounter("intake.rejected_connections", registry),
		evicted:  metrics.GetOrRegisterCounter("intake.closed_connections", registry),
		held:     metrics.GetOrRegisterGauge("intake.held_bytes", registry),
		open:     metrics.GetOrRegisterGauge("intake.connections", registry),
	}
	for r := intake.Stalled; r <= intake.TooSlow; r++ {
		g.cut[r] = metrics.GetOrRegisterCounter("intake.cut_bodies."+r.String(), registry)
	}
	return g
}

// report writes a log event, at most one in _reportInterval.
func (g *Gate) report(reason, client string) {
	g.unreported.Add(1)
	now := time.Now().UnixNano()
	last := g.reportedAt.Load()
	if last != 0 && now-last < int64(_reportInterval) || !g.reportedAt.CompareAndSwap(last, now) {
		return
	}
	g.cfg.Log.Emit(event.ClientsLimited, event.Fields{
		"reason": reason, "client": client, "count": g.unreported.Swap(0), "held_bytes": g.held.Value(), "connections": g.count.Load(),
	}, "bodies or connections of clients cut off")
}

// carryOut wakes granted bodies and interrupts those that were cut off. g.mu is held.
func (g *Gate) carryOut(a intake.Actions) {
	for _, b := range a.Granted {
		if r := g.readers[b]; r != nil {
			r.wake()
		}
	}
	for _, b := range a.Cut {
		r := g.readers[b]
		if r == nil {
			continue
		}
		g.cut[b.Reason()].Inc(1)
		g.report(b.Reason().String(), r.conn.client)
		r.wake()
		_ = r.conn.SetReadDeadline(_past)
	}
	g.held.Update(g.ledger.Held())
	if !g.sweeping && g.ledger.Reading() > 0 {
		g.sweeping = true
		time.AfterFunc(_sweepInterval, g.sweep)
	}
}

// _past ends a read at once.
var _past = time.Unix(1, 0)

func (g *Gate) sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweeping = false
	g.carryOut(g.ledger.Advance(time.Now()))
}

// States of a connection.
const (
	_connHeaders  int32 = iota + 1 // no complete headers of the current request yet
	_connIdle                      // between requests
	_connHandling                  // the handler runs
	_connAnswered                  // the handler has returned; the answer may not have been sent completely
)

// gateConn is an accepted connection.
type gateConn struct {
	net.Conn
	listener *gateListener
	client   string // address without the port
	state    atomic.Int32
	since    atomic.Int64 // when the state began
	unread   atomic.Bool  // the handler has not read the request's body
	closed   sync.Once
}

func (c *gateConn) setState(state int32) {
	c.since.Store(time.Now().UnixNano())
	c.state.Store(state)
}

// Close closes the connection.
func (c *gateConn) Close() error {
	c.closed.Do(func() { c.listener.remove(c) })
	return c.Conn.Close()
}

// CloseWrite ends the sending direction. The server calls it before it closes a
// connection with unread bytes, since the reset of such a connection may discard the
// answer at the client.
func (c *gateConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// gateListener limits the connections of a listener. At the limit it closes the
// connection that has been without a complete request longest, then the one that
// has been idle longest, then one whose rejected body is still awaited. A connection
// whose request is being handled stays.
type gateListener struct {
	net.Listener
	gate  *Gate
	limit int
	mu    sync.Mutex
	conns map[*gateConn]struct{}
}

// Accept implements net.Listener.
func (l *gateListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		client, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
		c := &gateConn{Conn: conn, listener: l, client: client}
		c.setState(_connHeaders)
		if l.add(c) {
			return c, nil
		}
		l.gate.rejected.Inc(1)
		l.gate.report("connections", client)
		reject(conn)
	}
}

// reject answers a connection beyond the limit.
func reject(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(_rejectTimeout))
	_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
	_ = conn.Close()
}

// add adds a connection. At the limit it closes another one first; it returns false
// if there is none that may be closed.
func (l *gateListener) add(c *gateConn) bool {
	for {
		l.mu.Lock()
		if len(l.conns) < l.limit {
			l.conns[c] = struct{}{}
			l.mu.Unlock()
			l.gate.open.Update(l.gate.count.Add(1))
			return true
		}
		victim := l.longestWithoutRequest()
		l.mu.Unlock()
		if victim == nil {
			if !l.gate.cutStalled() {
				return false
			}
			// The connection of the body that was cut off is closed after its answer.
			l.mu.Lock()
			l.conns[c] = struct{}{}
			l.mu.Unlock()
			l.gate.open.Update(l.gate.count.Add(1))
			return true
		}
		l.gate.evicted.Inc(1)
		l.gate.report("connections", victim.client)
		_ = victim.Close()
	}
}

// cutStalled cuts off a body that has come to a halt, if there is one.
func (g *Gate) cutStalled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.ledger.CutStalled(time.Now())
	g.carryOut(a)
	return len(a.Cut) > 0
}

func (l *gateListener) longestWithoutRequest() *gateConn {
	var victim *gateConn
	var victimState int32
	now := time.Now()
	stalledBefore, sentBefore := now.Add(-_bodyStall).UnixNano(), now.Add(-_answerTimeout).UnixNano()
	for c := range l.conns {
		state, since := c.state.Load(), c.since.Load()
		if state == _connHandling && (!c.unread.Load() || since > stalledBefore) || state == _connAnswered && since > sentBefore {
			continue
		}
		if victim == nil || state < victimState || state == victimState && since < victim.since.Load() {
			victim, victimState = c, state
		}
	}
	return victim
}

func (l *gateListener) remove(c *gateConn) {
	l.mu.Lock()
	_, ok := l.conns[c]
	delete(l.conns, c)
	l.mu.Unlock()
	if ok {
		l.gate.open.Update(l.gate.count.Add(-1))
	}
}

// listen listens on an address with the gate's receive buffers, which count as
// memory of the machine until they are read.
func (g *Gate) listen(address string, small bool) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, g.cfg.ReceiveBuffer)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := limitBacklog(l); err != nil {
		_ = l.Close()
		return nil, err
	}
	limit := g.cfg.Connections
	if small {
		limit = min(limit, _smallListener)
	}
	return &gateListener{Listener: l, gate: g, limit: limit, conns: make(map[*gateConn]struct{})}, nil
}

// limitBacklog limits the connections that wait to be accepted. With the default of
// some thousands their unread bytes alone filled the memory of a machine.
func limitBacklog(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	c, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := c.Control(func(fd uintptr) { err = syscall.Listen(int(fd), _backlog) })
	return errors.Join(controlErr, err)
}

type gateConnKey struct{}

// configure makes a server track its connections and limit the bodies of requests.
func (g *Gate) configure(s *http.Server) {
	next := s.Handler
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = g.cfg.HeaderTimeout, g.cfg.IdleTimeout, _gateMaxHeader
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, gateConnKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		gc, ok := c.(*gateConn)
		if !ok {
			return
		}
		switch state {
		case http.StateIdle:
			gc.setState(_connIdle)
		case http.StateActive:
			gc.setState(_connHeaders)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(gateConnKey{}).(*gateConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.setState(_connHandling)
		if r.Body == nil || r.Body == http.NoBody {
			defer c.setState(_connAnswered)
			next.ServeHTTP(w, r)
			return
		}
		if r.Method == http.MethodGet || r.Method == http.MethodHead {
			// A body without a meaning is not awaited, and no deadline may end a watch.
			w.Header().Set("Connection", "close")
		} else {
			// The deadline also ends the server's own reads of a body that the handler left.
			_ = c.SetReadDeadline(time.Now().Add(g.cfg.BodyTimeout + _timeoutSlack))
			c.unread.Store(true)
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

// cutError returns the error of a body that was cut off. Its request has not run.
func cutError(r intake.Reason) *fault.Error {
	switch r {
	case intake.TooSlow:
		return fault.New(fault.Overloaded, "the body did not arrive in time")
	case intake.Stalled:
		return fault.New(fault.Overloaded, "the body came to a halt while others waited")
	default:
		return fault.New(fault.Overloaded, "too many bodies are being received")
	}
}
