// Package web holds the HTTP code that the caller API and the operator API
// share: a router with wildcard paths, JSON and error answers, and a server with
// graceful shutdown.
//
// The handlers run under go-zero's rest. Its timeouts, load shedding, circuit
// breaking, body limits and decompression are off, since gentianrail makes these
// decisions itself.
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

// AnyMethod in a route matches every method.
const AnyMethod = "ANY"

// route is a handler with its method and path pattern. The segment "{name}"
// matches one path segment, and the last segment "{name...}" matches the rest of
// the path in its escaped form.
type route struct {
	method   string
	segments []string
	handler  http.Handler
}

// router matches the path as it was sent, without cleaning, since a target may
// distinguish "a//b" from "a/b".
type router struct {
	routes []route
}

var _ httpx.Router = (*router)(nil)

// Handle implements httpx.Router.
func (r *router) Handle(method, path string, handler http.Handler) error {
	r.routes = append(r.routes, route{method: method, segments: strings.Split(path[1:], "/"), handler: handler})
	return nil
}

// SetNotFoundHandler implements httpx.Router. It does nothing: ServeHTTP
// writes these answers.
func (r *router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router. It does nothing: ServeHTTP
// writes these answers.
func (r *router) SetNotAllowedHandler(http.Handler) {}

type pathVariablesKey struct{}

type pathVariable struct{ name, value string }

// PathValue returns a path variable of the request.
func PathValue(r *http.Request, name string) string {
	vars, _ := r.Context().Value(pathVariablesKey{}).([]pathVariable)
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
	pathMatched := false
	for i := range r.routes {
		rt := &r.routes[i]
		vars, ok := rt.match(path)
		if !ok {
			continue
		}
		pathMatched = true
		if rt.method == AnyMethod || rt.method == req.Method {
			rt.handler.ServeHTTP(w, req.WithContext(context.WithValue(req.Context(), pathVariablesKey{}, vars)))
			return
		}
	}
	if pathMatched {
		WriteFault(w, fault.New(fault.BadRequest, "method %s is not allowed for the path", req.Method))
		return
	}
	WriteFault(w, fault.New(fault.NotFound, "path does not exist"))
}

func (r *route) match(path string) ([]pathVariable, bool) {
	var vars []pathVariable
	remaining := path
	for i, s := range r.segments {
		name, isVar := strings.CutPrefix(s, "{")
		if wildcard, ok := strings.CutSuffix(name, "...}"); ok && isVar {
			return append(vars, pathVariable{wildcard, remaining}), true
		}
		part, tail, hasTail := strings.Cut(remaining, "/")
		last := i == len(r.segments)-1
		if isVar {
			value, err := url.PathUnescape(part)
			if err != nil || value == "" {
				return nil, false
			}
			vars = append(vars, pathVariable{strings.TrimSuffix(name, "}"), value})
		} else if part != s {
			return nil, false
		}
		if last {
			return vars, !hasTail
		}
		if !hasTail && !strings.HasSuffix(r.segments[i+1], "...}") {
			return nil, false
		}
		remaining = tail
	}
	return nil, false
}

// Handler returns a handler that serves the routes under go-zero's rest.
func Handler(name string, routes []rest.Route) (http.Handler, error) {
	logx.Disable()
	var conf rest.RestConf
	conf.Name = name
	server, err := rest.NewServer(conf, rest.WithRouter(&router{}))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "create server %s", name)
	}
	server.AddRoutes(routes)
	handler, err := rest.NewServerless(server)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "bind routes of server %s", name)
	}
	return http.HandlerFunc(handler.Serve), nil
}
