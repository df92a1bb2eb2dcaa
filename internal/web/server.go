package web

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

// Limits of a server's connections without a gate.
const (
	_headerTimeout  = 10 * time.Second // for reading a request's headers
	_idleTimeout    = 2 * time.Minute  // between requests on one connection
	_maxHeaderBytes = 64 << 10
)

// Server is an HTTP server on one listener.
type Server struct {
	server   *http.Server
	listener net.Listener
	done     sync.WaitGroup
	serveErr error
}

// Listen listens on the address and serves the handler there, without limits on
// bodies and connections.
func Listen(address string, handler http.Handler) (*Server, error) {
	var g *Gate
	return g.Listen(address, handler)
}

// Listen listens on the address and serves the handler there within the gate's
// limits.
func (g *Gate) Listen(address string, handler http.Handler) (*Server, error) {
	return g.serve(address, handler, false)
}

// ListenSmall is like Listen, for a listener of probes or metrics: it has its own
// few connections, which remain when those of other listeners are used up.
func (g *Gate) ListenSmall(address string, handler http.Handler) (*Server, error) {
	return g.serve(address, handler, true)
}

func (g *Gate) serve(address string, handler http.Handler, small bool) (*Server, error) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: _headerTimeout,
		IdleTimeout:       _idleTimeout,
		MaxHeaderBytes:    _maxHeaderBytes,
	}
	var l net.Listener
	var err error
	if g == nil {
		l, err = net.Listen("tcp", address)
	} else {
		g.configure(server)
		l, err = g.listen(address, small)
	}
	if err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "listen on %s", address)
	}
	s := &Server{listener: l, server: server}
	s.done.Go(func() {
		if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.serveErr = err
		}
	})
	return s, nil
}

// Address returns the listener's address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Shutdown closes the listener and waits for the requests in flight. When ctx
// ends, Shutdown closes their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = s.server.Close()
	}
	s.done.Wait()
	return errors.Join(err, s.serveErr)
}
