// Package queue holds the queues that callers submit to.
//
// A Table is one version of all queues with their limits, and of the services
// whose workers run their tasks. A table is replaced completely; the one with the
// highest version is current. Its document is stored as it was sent, so that it
// can be read back unchanged.
package queue

import (
	"math"
	"strings"
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

// MaxQueues is the maximum number of queues or services of a table. A deployment has up
// to 10,000; each takes hundreds of bytes, also one that is written with two.
const MaxQueues = 32_768

// Bounds that keep sums and products in the range of their types.
const (
	_maxSlack    = 1_000_000
	_maxDuration = 365 * 24 * time.Hour
)

// AdviceService describes the service that approves workers for a queue's steps.
type AdviceService struct {
	Latency   time.Duration // of a request
	PerWorker time.Duration // added for each worker in the request
	Validity  time.Duration // of a ticket
}

// Queue takes submissions from callers.
type Queue struct {
	Name          string
	Host          string
	Prefix        string         // of the request path, with a trailing slash
	Service       string         // name of the service whose workers run the tasks
	Priority      int            // 0 is the highest
	MaxAttempts   int            // failed runs of a task after which its submission fails
	Slack         float64        // objective: multiple of the critical path's duration
	BaseObjective time.Duration  // objective: time added to that multiple
	Timeout       time.Duration  // of a request; must be above 0
	Advice        *AdviceService // nil if any worker may run the steps
}

// Service is a pool of workers.
type Service struct {
	Name           string
	ChecksCapacity bool // its workers reject tasks that exceed their free capacity
	Standby        bool // its machines are switched off
}

// Table is one version of all queues.
type Table struct {
	Version  uint64
	Queues   []Queue
	Services []Service
	Document []byte // as it was sent, compressed; opaque to this package
}

// Validate returns an error for the first fault of a table.
func (t *Table) Validate() error {
	services := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		if s.Name == "" || services[s.Name] {
			return fault.New(fault.BadDeclaration, "services: the name %q is missing or duplicate", s.Name)
		}
		services[s.Name] = true
	}
	type route struct{ host, prefix string }
	names := make(map[string]bool, len(t.Queues))
	routes := make(map[route]bool, len(t.Queues))
	for i := range t.Queues {
		q := &t.Queues[i]
		switch r := (route{strings.ToLower(q.Host), q.Prefix}); {
		case q.Name == "" || names[q.Name]:
			return fault.New(fault.BadDeclaration, "queues: the name %q is missing or duplicate", q.Name)
		case !services[q.Service]:
			return fault.New(fault.BadDeclaration, "queue %q: no service %q", q.Name, q.Service)
		case q.Host == "" || !strings.HasPrefix(q.Prefix, "/"):
			return fault.New(fault.BadDeclaration, "queue %q: host or path prefix is missing", q.Name)
		case routes[r]:
			return fault.New(fault.BadDeclaration, "queue %q: another queue has the same host and path prefix", q.Name)
		case q.Timeout <= 0:
			return fault.New(fault.BadDeclaration, "queue %q: timeout: found %s, allowed is one above 0", q.Name, q.Timeout)
		default:
			names[q.Name], routes[r] = true, true
		}
		if err := q.checkBounds(); err != nil {
			return err
		}
	}
	return nil
}

func (q *Queue) checkBounds() error {
	switch {
	case q.Priority < math.MinInt32 || q.Priority > math.MaxInt32:
		return fault.New(fault.BadDeclaration, "queue %q: priority: found %d, allowed is a number of 32 bits", q.Name, q.Priority)
	case q.MaxAttempts < 0 || q.MaxAttempts > math.MaxInt32:
		return fault.New(fault.BadDeclaration, "queue %q: attempts: found %d, allowed is a number from 0 to %d", q.Name, q.MaxAttempts, math.MaxInt32)
	case !(q.Slack >= 0 && q.Slack <= _maxSlack):
		return fault.New(fault.BadDeclaration, "queue %q: slack: found %v, allowed is a number from 0 to %d", q.Name, q.Slack, _maxSlack)
	}
	durations := []time.Duration{q.BaseObjective, q.Timeout}
	if a := q.Advice; a != nil {
		durations = append(durations, a.Latency, a.PerWorker, a.Validity)
	}
	for _, d := range durations {
		if d < 0 || d > _maxDuration {
			return fault.New(fault.BadDeclaration, "queue %q: found the duration %s, allowed are 0 to %s", q.Name, d, _maxDuration)
		}
	}
	return nil
}

// Match returns the queue of a request and the rest of its path. If several
// queues match, the one with the longest prefix is returned.
func (t *Table) Match(host, path string) (q *Queue, rest string, ok bool) {
	if h, _, found := strings.Cut(host, ":"); found {
		host = h
	}
	for i := range t.Queues {
		c := &t.Queues[i]
		if strings.EqualFold(c.Host, host) && strings.HasPrefix(path, c.Prefix) &&
			(q == nil || len(c.Prefix) > len(q.Prefix)) {
			q = c
		}
	}
	if q == nil {
		return nil, "", false
	}
	return q, path[len(q.Prefix):], true
}

// Queue returns the queue with the name.
func (t *Table) Queue(name string) (*Queue, bool) {
	for i := range t.Queues {
		if t.Queues[i].Name == name {
			return &t.Queues[i], true
		}
	}
	return nil, false
}

// Service returns the service with the name.
func (t *Table) Service(name string) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
