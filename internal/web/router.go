// Package web holds what the caller API and the operator API share: a router
// with open-ended paths, answers in the project's form, and a server with a
// graceful end.
//
// The handlers run under go-zero's rest. Its own timeouts, shedding, circuit
// breaking, body limits and unpacking are off, since those decisions are this
// project's.
package web

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"github.com/gentianrail/gentianrail/fault"
)

// AnyMethod in a route takes every method.
const AnyMethod = "ANY"

// node is one route. A segment "{name}" takes one path segment, and a last
// segment "{name...}" takes the rest of the path as it was sent.
type node struct {
	method   string
	segments []string
	handler  http.Handler
}

// router matches the path as it was sent, without cleaning, since a target
// may tell "a//b" from "a/b".
type router struct {
	nodes []node
}

var _ httpx.Router = (*router)(nil)

// Handle implements httpx.Router.
func (r *router) Handle(method, path string, handler http.Handler) error {
	r.nodes = append(r.nodes, node{method: method, segments: strings.Split(path[1:], "/"), handler: handler})
	return nil
}

// SetNotFoundHandler implements httpx.Router; the router answers by itself.
func (r *router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router; the router answers by itself.
func (r *router) SetNotAllowedHandler(http.Handler) {}

type varsKey struct{}

type variable struct{ name, value string }

// Var returns a path variable of the request.
func Var(r *http.Request, name string) string {
	vars, _ := r.Context().Value(varsKey{}).([]variable)
	for _, v := range vars {
		if v.name == name {
			return v.value
		}
	}
	return ""
}

// ServeHTTP implements http.Handler.
func (r *router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	path := strings.TrimPrefix(req.URL.EscapedPath(), "/")
	known := false
	for i := range r.nodes {
		n := &r.nodes[i]
		vars, ok := n.match(path)
		if !ok {
			continue
		}
		known = true
		if n.method == AnyMethod || n.method == req.Method {
			n.handler.ServeHTTP(w, req.WithContext(context.WithValue(req.Context(), varsKey{}, vars)))
			return
		}
	}
	if known {
		WriteFault(w, fault.New(fault.BadRequest, "the path does not take the method %s", req.Method))
		return
	}
	WriteFault(w, fault.New(fault.NotFound, "no such path"))
}

func (n *node) match(path string) ([]variable, bool) {
	var vars []variable
	left := path
	for i, s := range n.segments {
		name, isVar := strings.CutPrefix(s, "{")
		if open, ok := strings.CutSuffix(name, "...}"); ok && isVar {
			return append(vars, variable{open, left}), true
		}
		part, tail, more := strings.Cut(left, "/")
		last := i == len(n.segments)-1
		if isVar {
			value, err := url.PathUnescape(part)
			if err != nil || value == "" {
				return nil, false
			}
			vars = append(vars, variable{strings.TrimSuffix(name, "}"), value})
		} else if part != s {
			return nil, false
		}
		if last {
			return vars, !more
		}
		if !more && !strings.HasSuffix(n.segments[i+1], "...}") {
			return nil, false
		}
		left = tail
	}
	return nil, false
}

// Handler returns the routes under go-zero's rest.
func Handler(name string, routes []rest.Route) (http.Handler, error) {
	logx.Disable()
	var conf rest.RestConf
	conf.Name = name
	server, err := rest.NewServer(conf, rest.WithRouter(&router{}))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "make the server %s", name)
	}
	server.AddRoutes(routes)
	handler, err := rest.NewServerless(server)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "bind the routes of %s", name)
	}
	return http.HandlerFunc(handler.Serve), nil
}
