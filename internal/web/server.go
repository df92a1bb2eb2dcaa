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

// Limits of a server's connections.
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

// Listen listens on the address and serves the handler there.
func Listen(address string, handler http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "listen on %s", address)
	}
	s := &Server{
		listener: l,
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: _headerTimeout,
			IdleTimeout:       _idleTimeout,
			MaxHeaderBytes:    _maxHeaderBytes,
		},
	}
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
