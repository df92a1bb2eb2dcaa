// Package catalogue holds the operators' declarations: which work exists, who
// owns it, what it may use and what is expected of it.
//
// An Entry is immutable. The Catalogue accepts changes one at a time; each
// names the version that it was based on, so that of two racing changes one
// wins and the other is refused, and an identifier, so that a resent change
// gets its first answer and is not applied again.
package catalogue

import (
	"net/http"
	"path"
	"slices"
	"time"
)

// Class tells what kind of work an entry is.
type Class uint8

const (
	// Service work answers callers who wait.
	Service Class = iota + 1
	// Batch work runs as jobs with results that are fetched later.
	Batch
	// Watch work is a standing stream of events.
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

// Limits bound what an entry's work may use.
type Limits struct {
	Slots            int           // requests or tasks at once at one target
	Connections      int           // connections at once at one target
	Queue            int           // requests that may wait at one target
	RequestTimeout   time.Duration // from receipt by an entry instance to the answer's end
	BodyBytes        int64         // largest request body
	CPUMillis        int64         // thousandths of a core of one task
	MemoryBytes      int64         // memory of one task
	Accelerators     int           // accelerators of one task
	MostRunningTasks int           // tasks running at once over all workers
	Deadline         time.Duration // from a job's submission to when its result is needed
	Priority         int           // higher goes first within a class; 0 to 100
	MostAttempts     int           // attempts of a job until it is given up
}

// Objective states what callers are promised.
type Objective struct {
	Ratio   float64       // share of requests that must be good, below 1
	Latency time.Duration // an answer later than this is not good
}

// Spec is what a declaration states. It is the input of NewEntry.
type Spec struct {
	Name              string
	Owner             string
	Class             Class
	Target            string
	Version           uint64 // version that the author wants the entry to have; 0 for the next
	Limits            Limits
	Objective         Objective
	IdempotentMethods []string // besides the safe methods, which always are
	IdempotentPaths   []string // path patterns whose requests are idempotent
	KeyRequired       bool     // refuse a non-idempotent request without an idempotency key
}

// Entry is one accepted declaration.
type Entry struct {
	spec     Spec
	version  uint64 // rises by one with each accepted change of this name
	revision uint64 // revision of the catalogue that accepted it
}

// Restore returns an entry that was accepted before, as read from the log or
// a view. It does not validate.
func Restore(spec Spec, version, revision uint64) Entry {
	return Entry{spec: spec, version: version, revision: revision}
}

// Name returns the entry's unique name.
func (e Entry) Name() string { return e.spec.Name }

// Owner returns the team that answers for the entry.
func (e Entry) Owner() string { return e.spec.Owner }

// Class returns the kind of work.
func (e Entry) Class() Class { return e.spec.Class }

// Target returns the name that targets announce.
func (e Entry) Target() string { return e.spec.Target }

// Limits returns the bounds of the entry's work.
func (e Entry) Limits() Limits { return e.spec.Limits }

// Objective returns what callers are promised.
func (e Entry) Objective() Objective { return e.spec.Objective }

// KeyRequired reports whether non-idempotent requests need a key.
func (e Entry) KeyRequired() bool { return e.spec.KeyRequired }

// Version returns the entry's own version.
func (e Entry) Version() uint64 { return e.version }

// Revision returns the catalogue's revision that accepted the entry.
func (e Entry) Revision() uint64 { return e.revision }

// Spec returns a copy of the declaration with the accepted version.
func (e Entry) Spec() Spec {
	s := e.spec
	s.Version = e.version
	s.IdempotentMethods = slices.Clone(s.IdempotentMethods)
	s.IdempotentPaths = slices.Clone(s.IdempotentPaths)
	return s
}

// Idempotent reports whether running the request twice does no harm. The safe
// methods are idempotent by their definition (RFC 9110, 9.2.2); PUT and DELETE
// count only if the declaration says so, since targets get them wrong.
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

// Equal reports whether two declarations ask for the same.
func (s Spec) Equal(o Spec) bool {
	return s.Name == o.Name && s.Owner == o.Owner && s.Class == o.Class &&
		s.Target == o.Target && s.Limits == o.Limits && s.Objective == o.Objective &&
		s.KeyRequired == o.KeyRequired &&
		slices.Equal(s.IdempotentMethods, o.IdempotentMethods) &&
		slices.Equal(s.IdempotentPaths, o.IdempotentPaths)
}
