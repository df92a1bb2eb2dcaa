package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcserver"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/intake"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/inbound"
)

const (
	// _smallMessage holds a chunk of a body. Larger messages are received within the
	// budget.
	_smallMessage = 48 << 10
	// _keptConnection is the largest message after which a connection is kept: it keeps
	// buffers of the size of its largest message.
	_keptConnection = 2 * _smallMessage

	_readStep       = 4 << 10                // bytes of a message that are received at once, at least
	_messageStall   = 300 * time.Millisecond // longer than the time between segments of a client that sends
	_messageGrace   = time.Second
	_messageRate    = 64 << 10 // bytes per second
	_messageWait    = 2 * time.Second
	_messageTimeout = 30 * time.Second
	_writeTimeout   = 30 * time.Second      // for a client to read a part of an answer
	_retireDelay    = time.Second           // from the end of a call to the end of a connection that is not kept
	_acceptPause    = 50 * time.Millisecond // after an accept that failed for want of descriptors
)

// ServerConfig is the configuration of a Server. The zero value has no limits.
type ServerConfig struct {
	Role          string // part of the names of the metrics
	Connections   int    // 0 for no limit
	MessageBudget int64  // bytes of messages that are being received or handled; 0 for no limit
	Log           event.Log
	Metrics       metrics.Registry // nil for none
	OnPanic       func(call string, value any, stack string)
}

// Server serves drpc calls at an address. It bounds the connections of its clients and
// the bytes of their messages.
type Server struct {
	cfg      ServerConfig
	listener *inbound.Listener
	budget   *inbound.Budget
	drpc     *drpcserver.Server
	calls    sync.WaitGroup // goroutines of connections
}

// Listen listens on an address. Serve serves the handler there.
func Listen(address string, handler drpc.Handler, cfg ServerConfig) (*Server, error) {
	const noLimit = 1 << 30
	if cfg.Connections == 0 {
		cfg.Connections = noLimit
	}
	if cfg.MessageBudget == 0 {
		cfg.MessageBudget = noLimit
	}
	observer := inbound.NewObserver("intake_"+cfg.Role, cfg.Log, cfg.Metrics)
	s := &Server{cfg: cfg, budget: inbound.NewBudget(intake.Limits{
		// A client address may use all but a part, which is kept for messages of others.
		Budget: cfg.MessageBudget, ClientShare: max(cfg.MessageBudget/4*3, MaxMessageBytes),
		Stall: _messageStall, Grace: _messageGrace, MinRate: _messageRate, MaxWait: _messageWait, BodyTimeout: _messageTimeout,
	}, observer)}
	var err error
	s.listener, err = inbound.Listen(address, inbound.Limits{Connections: cfg.Connections, WriteTimeout: _writeTimeout}, s.budget, observer, nil)
	if err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "listen on %s", address)
	}
	s.drpc = drpcserver.NewWithOptions(callHandler{RecoveringHandler{Handler: handler, OnPanic: cfg.OnPanic}}, ServerOptions(nil))
	return s, nil
}

// Address returns the listener's address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves calls until the context ends, then closes all connections and waits for
// their calls.
func (s *Server) Serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer s.calls.Wait()
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = s.listener.Close() })()
	for {
		conn, err := s.listener.AcceptConn()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(_acceptPause)
			continue
		}
		s.calls.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) serveConn(ctx context.Context, conn *inbound.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A closed connection ends the wait for its next call too.
	conn.OnClose(cancel)
	c := &serverConn{Conn: conn, budget: s.budget, state: inbound.Receiving}
	defer c.release()
	// The client learns of an error by the end of the connection.
	_ = s.drpc.ServeOne(ctx, c)
}

// serverConn is a connection of a Server. One goroutine reads from it.
//
// Its state follows its calls: it is receiving until the first message of a call is
// complete, so that a client can't keep a connection with the beginning of a call.
type serverConn struct {
	*inbound.Conn
	budget  *inbound.Budget
	account *inbound.Account // of the latest message that is not small; nil before
	charged bool             // account is that of the current message

	mu      sync.Mutex
	scanner frameScanner
	largest int64 // bytes of the largest message
	begun   int   // calls that the server has begun to handle
	calling bool  // the latest of them is being handled
	retired bool  // the connection is closed if no call begins soon
	state   inbound.State
}

var errCutOff = errors.New("the message was cut off for others")

// Read implements net.Conn. It waits until a message that is not small may hold more
// bytes.
func (c *serverConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	size := c.scanner.messageSize()
	c.mu.Unlock()
	if size > _smallMessage {
		room, err := c.acquire(size)
		if err != nil {
			return 0, err
		}
		p = p[:min(int64(len(p)), room)]
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if err := c.record(p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// acquire returns how many bytes of a message of the given size may be received.
func (c *serverConn) acquire(size int64) (room int64, err error) {
	if !c.charged {
		c.release()
		c.account = c.budget.Open(c.Client(), func() { _ = c.Conn.Close() })
		c.charged = true
	}
	held := c.account.Held()
	room, reason := c.account.Acquire(max(min(size, max(2*held, _smallMessage))-held, _readStep))
	if reason != intake.NoReason {
		return 0, errCutOff
	}
	return room, nil
}

// record records received bytes.
func (c *serverConn) record(p []byte) error {
	if c.charged && c.account.Receive(len(p)) != intake.NoReason {
		return errCutOff
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := c.scanner.ended
	if err := c.scanner.scan(p); err != nil {
		return err
	}
	c.largest = max(c.largest, c.scanner.messageSize())
	if c.charged && c.scanner.ended > ended {
		// The next message, which may have begun, has an account of its own.
		c.charged = false
		if c.account.Complete() != intake.NoReason {
			return errCutOff
		}
	}
	c.updateState()
	return nil
}

// release releases what the latest message holds.
func (c *serverConn) release() {
	if c.account != nil {
		c.account.Close()
		c.account = nil
	}
}

// updateState records what the connection does. c.mu is held.
func (c *serverConn) updateState() {
	state := c.state
	switch {
	case c.begun < c.scanner.invocations || c.calling && !c.scanner.messaged:
		// The next call has begun to arrive.
	case c.calling:
		state = inbound.Handling
	case c.begun > 0:
		state = inbound.Idle
	}
	if state != c.state {
		c.state = state
		c.SetState(state)
	}
	if c.retired && c.calling {
		c.retired = false
		_ = c.SetReadDeadline(time.Time{})
	}
}

// beginCall records that a call is being handled.
func (c *serverConn) beginCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun++
	c.calling = true
	c.updateState()
}

// endCall records that a call has ended. A connection with large buffers is closed
// after a time in which a client uses it again without a probe.
func (c *serverConn) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calling = false
	c.updateState()
	if c.largest > _keptConnection && c.begun == c.scanner.invocations {
		c.retired = true
		_ = c.SetReadDeadline(time.Now().Add(_retireDelay))
	}
}

// callHandler tells a connection when a call begins and ends.
type callHandler struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h callHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	transport, _ := drpcctx.Transport(stream.Context())
	if c, ok := transport.(*serverConn); ok {
		c.beginCall()
		defer c.endCall()
	}
	return h.Handler.HandleRPC(stream, rpc)
}
