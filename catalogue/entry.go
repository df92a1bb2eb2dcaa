// Package catalogue holds the operators' declarations of services, batch work
// and watches: their owners, limits and objectives.
//
// An Entry is immutable. The Catalogue applies changes one at a time. A change
// states its base version, so that one of two concurrent changes is rejected,
// and an identifier, so that a resent change returns the revision of the first
// one and is not applied again.
package catalogue

import (
	"net/http"
	"path"
	"slices"
	"time"
)

// Class is the kind of work that an entry declares.
type Class uint8

const (
	// Service work answers callers that wait.
	Service Class = iota + 1
	// Batch work runs as jobs whose results are fetched later.
	Batch
	// Watch work is a long-lived stream of events.
	Watch
)

var _classNames = map[Class]string{Service: "service", Batch: "batch", Watch: "watch"}

// String returns the class's name in declarations.
func (c Class) String() string { return _classNames[c] }

// ParseClass returns the class named s, or 0.
func ParseClass(s string) Class {
	for c, name := range _classNames {
		if name == s {
			return c
		}
	}
	return 0
}

// Limits are the resource and request limits of an entry.
type Limits struct {
	Slots           int           // concurrent requests or tasks at one target
	Connections     int           // concurrent connections to one target
	Queue           int           // maximum waiting requests at one target
	RequestTimeout  time.Duration // from receipt by an entry instance to the end of the answer
	BodyBytes       int64         // maximum size of a request body
	CPUMillis       int64         // CPU of one task, in thousandths of a core
	MemoryBytes     int64         // memory of one task
	Accelerators    int           // accelerators of one task
	MaxRunningTasks int           // maximum concurrent tasks on all workers
	Deadline        time.Duration // from a job's submission to when its result is needed
	Priority        int           // higher runs first within a class; 0 to 100
	MaxAttempts     int           // maximum attempts of a job
}

// Objective is an entry's service-level objective.
type Objective struct {
	Ratio   float64       // minimum share of good requests, below 1
	Latency time.Duration // a slower answer is not good
}

// Spec is the content of a declaration.
type Spec struct {
	Name              string
	Owner             string
	Class             Class
	Target            string
	Version           uint64 // requested version of the entry; 0 for the next one
	Limits            Limits
	Objective         Objective
	IdempotentMethods []string // in addition to the safe methods, which are always idempotent
	IdempotentPaths   []string // path patterns whose requests are idempotent
	KeyRequired       bool     // reject a non-idempotent request without an idempotency key
}

// Entry is one accepted declaration.
type Entry struct {
	spec     Spec
	version  uint64 // increases with each accepted change of this name
	revision uint64 // revision that accepted the declaration
}

// RestoreEntry returns a previously accepted entry, as read from the log or a
// view. It does not validate.
func RestoreEntry(spec Spec, version, revision uint64) Entry {
	return Entry{spec: spec, version: version, revision: revision}
}

// Name returns the entry's unique name.
func (e Entry) Name() string { return e.spec.Name }

// Owner returns the team responsible for the entry.
func (e Entry) Owner() string { return e.spec.Owner }

// Class returns the kind of work.
func (e Entry) Class() Class { return e.spec.Class }

// Target returns the name that the entry's targets announce.
func (e Entry) Target() string { return e.spec.Target }

// Limits returns the entry's limits.
func (e Entry) Limits() Limits { return e.spec.Limits }

// Objective returns the entry's service-level objective.
func (e Entry) Objective() Objective { return e.spec.Objective }

// KeyRequired reports whether non-idempotent requests need a key.
func (e Entry) KeyRequired() bool { return e.spec.KeyRequired }

// Version returns the entry's version.
func (e Entry) Version() uint64 { return e.version }

// Revision returns the revision that accepted the declaration.
func (e Entry) Revision() uint64 { return e.revision }

// Spec returns a copy of the declaration with the accepted version.
func (e Entry) Spec() Spec {
	s := e.spec
	s.Version = e.version
	s.IdempotentMethods = slices.Clone(s.IdempotentMethods)
	s.IdempotentPaths = slices.Clone(s.IdempotentPaths)
	return s
}

// Idempotent reports whether the request can safely run twice. The safe methods
// are idempotent by definition (RFC 9110, 9.2.2). PUT and DELETE count as
// idempotent only if declared so, since some targets do not implement them
// idempotently.
func (e Entry) Idempotent(method, requestPath string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	if slices.Contains(e.spec.IdempotentMethods, method) {
		return true
	}
	for _, pattern := range e.spec.IdempotentPaths {
		if ok, err := path.Match(pattern, requestPath); err == nil && ok {
			return true
		}
	}
	return false
}

// Equal reports whether two declarations are equal apart from their versions.
func (s Spec) Equal(o Spec) bool {
	return s.Name == o.Name && s.Owner == o.Owner && s.Class == o.Class &&
		s.Target == o.Target && s.Limits == o.Limits && s.Objective == o.Objective &&
		s.KeyRequired == o.KeyRequired &&
		slices.Equal(s.IdempotentMethods, o.IdempotentMethods) &&
		slices.Equal(s.IdempotentPaths, o.IdempotentPaths)
}
