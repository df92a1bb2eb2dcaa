package inbound

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	_backlog       = 256                    // connections that wait to be accepted
	_stall         = 300 * time.Millisecond // longer than the time between segments of a client that sends
	_answerTimeout = 2 * time.Second        // for sending a part of an answer to a client that reads it
	_maxWrite      = 64 << 10               // bytes of an answer that are sent within one time limit
)

// State is what a connection does.
type State int32

// States of a connection, in the order in which connections are closed for new ones.
const (
	// Receiving connections have no complete headers of the current request.
	Receiving State = iota + 1
	// Idle connections are between requests.
	Idle
	// Handling connections have a request that is being handled.
	Handling
	// Answered connections have a request that was handled; the answer may not have been
	// sent completely.
	Answered
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	client   string // address without the port
	state    atomic.Int32
	since    atomic.Int64 // when the state began
	unread   atomic.Bool  // the handler has not read the request's body
	writing  atomic.Int64 // Unix time in ns at which the current write began; 0 between writes

	mu      sync.Mutex
	closed  bool
	onClose func() // nil for none
}

// OnClose sets a function that is called when the connection is closed, or at once if it
// is closed.
func (c *Conn) OnClose(f func()) {
	c.mu.Lock()
	c.onClose = f
	closed := c.closed
	c.mu.Unlock()
	if closed {
		f()
	}
}

// Client returns the client's address without the port.
func (c *Conn) Client() string { return c.client }

// SetState records what the connection does from now on.
func (c *Conn) SetState(s State) {
	c.since.Store(time.Now().UnixNano())
	c.state.Store(int32(s))
}

// SetUnread records whether the request's body waits to be read by the handler.
func (c *Conn) SetUnread(unread bool) { c.unread.Store(unread) }

// Write implements net.Conn. It fails if the client reads nothing for the time that the
// listener allows.
func (c *Conn) Write(p []byte) (n int, err error) {
	defer c.writing.Store(0)
	for {
		now := time.Now()
		c.writing.Store(now.UnixNano())
		if t := c.listener.limits.WriteTimeout; t > 0 {
			_ = c.SetWriteDeadline(now.Add(t))
		}
		m, err := c.Conn.Write(p[n:min(n+_maxWrite, len(p))])
		n += m
		if err != nil || n == len(p) {
			return n, err
		}
	}
}

// BeginLasting records that the answer to the current request lasts: a watch, or a wait
// of many seconds. It returns false if such answers already have three quarters of
// the listener's connections. The caller calls end when the answer has ended.
func (c *Conn) BeginLasting() (end func(), ok bool) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lasting >= max(l.limits.Connections/4*3, 1) {
		return nil, false
	}
	l.lasting++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lasting--
	}, true
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.mu.Lock()
	first, onClose := !c.closed, c.onClose
	c.closed = true
	c.mu.Unlock()
	if first {
		c.listener.remove(c)
		if onClose != nil {
			onClose()
		}
	}
	return c.Conn.Close()
}

// CloseWrite ends the sending direction. An HTTP server calls it before it closes a
// connection with unread bytes, since the reset of such a connection may discard the
// answer at the client.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Limits are the limits of a Listener.
type Limits struct {
	Connections  int
	Buffer       int           // bytes of a connection's receive buffer, and of its send buffer; 0 for the system's default
	WriteTimeout time.Duration // for a client to read a part of an answer; 0 for no limit
}

// Listener limits the connections of an address. At the limit it closes the
// connection that has been without a complete request longest, then the one that
// has been idle longest, then one whose rejected body is still awaited, then one whose
// client doesn't read its answer. Other connections whose request is being handled stay.
type Listener struct {
	net.Listener
	limits   Limits
	budget   *Budget // of which a stalled message gives way to a connection
	observer *Observer
	reject   func(net.Conn) // answers and closes a connection beyond the limit

	mu      sync.Mutex
	conns   map[*Conn]struct{}
	lasting int // connections with an answer that lasts
}

// Listen listens on an address. reject answers a connection beyond the limit before it
// is closed; it may be nil.
func Listen(address string, l Limits, budget *Budget, o *Observer, reject func(net.Conn)) (*Listener, error) {
	// What is in buffers counts as memory of the machine. Accepted connections inherit them.
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if l.Buffer == 0 {
			return nil
		}
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, l.Buffer),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, l.Buffer),
			)
		})
		return errors.Join(controlErr, err)
	}}
	inner, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := limitBacklog(inner); err != nil {
		_ = inner.Close()
		return nil, err
	}
	return &Listener{
		Listener: inner, limits: l, budget: budget, observer: o, reject: reject, conns: make(map[*Conn]struct{}),
	}, nil
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

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) { return l.AcceptConn() }

// AcceptConn is Accept with the type of the connection.
func (l *Listener) AcceptConn() (*Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		client, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
		c := &Conn{Conn: conn, listener: l, client: client}
		c.SetState(Receiving)
		if l.add(c) {
			return c, nil
		}
		l.observer.recordRejected(client)
		if l.reject != nil {
			l.reject(conn)
		}
		_ = conn.Close()
	}
}

// add adds a connection. At the limit it closes another one first; it returns false
// if there is none that may be closed.
func (l *Listener) add(c *Conn) bool {
	for {
		l.mu.Lock()
		if len(l.conns) < l.limits.Connections {
			l.conns[c] = struct{}{}
			l.mu.Unlock()
			l.observer.addConnections(1)
			return true
		}
		victim := l.leastUseful(time.Now())
		l.mu.Unlock()
		if victim == nil {
			if !l.budget.CutStalled() {
				return false
			}
			// The connection of the message that was cut off is closed after its answer.
			l.mu.Lock()
			l.conns[c] = struct{}{}
			l.mu.Unlock()
			l.observer.addConnections(1)
			return true
		}
		l.observer.recordEvicted(victim.client)
		_ = victim.Close()
	}
}

// leastUseful returns the connection to close for a new one, or nil. l.mu is held.
func (l *Listener) leastUseful(now time.Time) *Conn {
	var victim *Conn
	var victimState State
	stalledBefore, sentBefore := now.Add(-_stall).UnixNano(), now.Add(-_answerTimeout).UnixNano()
	for c := range l.conns {
		state, since := State(c.state.Load()), c.since.Load()
		writing := c.writing.Load()
		unread := c.unread.Load() && since <= stalledBefore || writing != 0 && writing <= sentBefore
		if state == Handling && !unread || state == Answered && since > sentBefore {
			continue
		}
		if victim == nil || state < victimState || state == victimState && since < victim.since.Load() {
			victim, victimState = c, state
		}
	}
	return victim
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	_, ok := l.conns[c]
	delete(l.conns, c)
	l.mu.Unlock()
	if ok {
		l.observer.addConnections(-1)
	}
}
