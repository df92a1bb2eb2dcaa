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

// Bounds of a server's connections.
const (
	_headerTimeout = 10 * time.Second // until a request's header is read
	_idleTimeout   = 2 * time.Minute  // between requests on one connection
	_mostHeader    = 64 << 10         // bytes
)

// Server serves one listener.
type Server struct {
	server   *http.Server
	listener net.Listener
	done     sync.WaitGroup
	err      error
}

// Listen opens the address and serves the handler on it.
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
			MaxHeaderBytes:    _mostHeader,
		},
	}
	s.done.Go(func() {
		if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.err = err
		}
	})
	return s, nil
}

// Address returns the address that is served.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Shutdown closes the listener and waits for the requests in flight. When the
// context ends it closes their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = s.server.Close()
	}
	s.done.Wait()
	return errors.Join(err, s.err)
}
