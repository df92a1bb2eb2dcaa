// Package link pools the connections between gentianrail's own processes.
//
// A drpc connection carries one call at a time, so each address has a set of
// idle connections. A call that fails or times out closes its connection, so
// that an unresponsive connection is never reused.
package link

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Limits of connections.
const (
	DialTimeout        = time.Second
	MaxMessageBytes    = 8 << 20          // bytes of one message
	_maxIdlePerAddress = 64               // idle connections
	_idleTimeout       = 20 * time.Second // after which an idle connection is closed; TCP keep-alive interval
	_serverIdleTimeout = 60 * time.Second // after which a server closes an idle connection
	_writerBuffer      = 4 << 10          // bytes
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: _writerBuffer,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
	}
}

// ServerOptions returns the options of gentianrail's drpc servers.
func ServerOptions(log func(error)) drpcserver.Options {
	m := managerOptions()
	m.InactivityTimeout = _serverIdleTimeout
	return drpcserver.Options{Manager: m, Log: log}
}

// Conn is a drpc connection.
type Conn struct {
	*drpcconn.Conn
	idleSince time.Time // zero before the first call
}

// IdleTime returns the time since the latest call, which ended well. It is long for
// a new connection.
func (c *Conn) IdleTime(now time.Time) time.Duration { return now.Sub(c.idleSince) }

// Pool holds idle connections by address. The zero value is ready to use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*Conn // most recently used last
	closed bool
}

// Get returns an idle connection to the address, or dials a new one.
func (p *Pool) Get(ctx context.Context, now time.Time, address string) (*Conn, error) {
	if c := p.popIdle(now, address); c != nil {
		return c, nil
	}
	return Dial(ctx, address)
}

// Dial opens a new connection.
func Dial(ctx context.Context, address string) (*Conn, error) {
	d := net.Dialer{KeepAlive: _idleTimeout}
	raw, err := dialRepeatedly(ctx, func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) })
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})}, nil
}

func (p *Pool) popIdle(now time.Time, address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if now.Sub(c.idleSince) < _idleTimeout && !isClosed(c) {
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, address)
	return nil
}

func isClosed(c *Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

// Put returns a working connection to the pool.
func (p *Pool) Put(now time.Time, address string, c *Conn) {
	if isClosed(c) {
		return
	}
	c.idleSince = now
	p.mu.Lock()
	if p.closed || len(p.idle[address]) >= _maxIdlePerAddress {
		p.mu.Unlock()
		_ = c.Close()
		return
	}
	if p.idle == nil {
		p.idle = make(map[string][]*Conn)
	}
	p.idle[address] = append(p.idle[address], c)
	p.mu.Unlock()
}

// CloseIdle closes all idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes connections that have been idle for the idle timeout.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		for len(list) > 0 && now.Sub(list[0].idleSince) >= _idleTimeout {
			expired = append(expired, list[0])
			list = list[1:]
		}
		p.idle[address] = list
		if len(list) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// Close closes all idle connections and the connections that are returned later.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			_ = c.Close()
		}
	}
}
