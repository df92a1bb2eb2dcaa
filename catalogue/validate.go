package catalogue

import (
	"fmt"
	"path"
	"regexp"
	"time"
)

// Bounds of a declaration's fields. The capacity bounds are those of the
// largest worker that the platform offers; a limit above them could never be
// satisfied.
const (
	MostSlots        = 4096
	MostConnections  = 65536
	MostQueue        = 65536
	MostTimeout      = 24 * time.Hour
	MostBodyBytes    = 1 << 30
	MostCPUMillis    = 256_000
	MostMemoryBytes  = 4 << 40
	MostAccelerators = 16
	MostTasks        = 200_000
	MostDeadline     = 30 * 24 * time.Hour
	MostPriority     = 100
	MostAttemptsEver = 100
)

var (
	_namePattern   = regexp.MustCompile(`^[a-z][a-z0-9_]{0,62}$`)
	_methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)
)

// Problem is one fault of a declaration.
type Problem struct {
	Field   string // path of the field in the declaration, such as limits.slots
	Allowed string // what the field may hold
	Found   string // what it holds
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s, allowed is %s", p.Field, p.Found, p.Allowed)
}

// ValidName reports whether s can name an entry, an owner or a target.
func ValidName(s string) bool { return _namePattern.MatchString(s) }

type checker struct{ problems []Problem }

func (c *checker) add(field, allowed string, found any) {
	c.problems = append(c.problems, Problem{Field: field, Allowed: allowed, Found: fmt.Sprintf("%v", found)})
}

func (c *checker) name(field, value string) {
	if !ValidName(value) {
		c.add(field, "a lower-case letter followed by at most 62 of a-z, 0-9 and _", fmt.Sprintf("%q", value))
	}
}

func (c *checker) between(field string, value, low, high int64) {
	if value < low || value > high {
		c.add(field, fmt.Sprintf("a whole number from %d to %d", low, high), value)
	}
}

func (c *checker) duration(field string, value, low, high time.Duration) {
	if value < low || value > high {
		c.add(field, fmt.Sprintf("a duration from %s to %s", low, high), value)
	}
}

// Validate returns every problem of the declaration, none if it is sound.
func (s Spec) Validate() []Problem {
	var c checker
	c.name("name", s.Name)
	c.name("owner", s.Owner)
	c.name("target", s.Target)
	if _, ok := _classNames[s.Class]; !ok {
		c.add("class", "service, batch or watch", s.Class)
	}
	s.checkLimits(&c)
	s.checkObjective(&c)
	for i, m := range s.IdempotentMethods {
		if !_methodPattern.MatchString(m) {
			c.add(fmt.Sprintf("idempotent_methods[%d]", i), "an HTTP method in capitals", fmt.Sprintf("%q", m))
		}
	}
	for i, p := range s.IdempotentPaths {
		if _, err := path.Match(p, "/"); err != nil || p == "" || p[0] != '/' {
			c.add(fmt.Sprintf("idempotent_paths[%d]", i), "a path pattern that starts with / and may hold *, ? and [a-z]", fmt.Sprintf("%q", p))
		}
	}
	return c.problems
}

func (s Spec) checkLimits(c *checker) {
	l := s.Limits
	c.between("limits.slots", int64(l.Slots), 1, MostSlots)
	c.between("limits.connections", int64(l.Connections), 1, MostConnections)
	c.between("limits.queue", int64(l.Queue), 0, MostQueue)
	c.duration("limits.request_timeout", l.RequestTimeout, time.Millisecond, MostTimeout)
	c.between("limits.body_size", l.BodyBytes, 0, MostBodyBytes)
	c.between("limits.cpu", l.CPUMillis, 0, MostCPUMillis)
	c.between("limits.memory", l.MemoryBytes, 0, MostMemoryBytes)
	c.between("limits.accelerators", int64(l.Accelerators), 0, MostAccelerators)
	c.between("limits.most_running_tasks", int64(l.MostRunningTasks), 1, MostTasks)
	c.duration("limits.deadline", l.Deadline, time.Millisecond, MostDeadline)
	c.between("limits.priority", int64(l.Priority), 0, MostPriority)
	c.between("limits.most_attempts", int64(l.MostAttempts), 1, MostAttemptsEver)
}

func (s Spec) checkObjective(c *checker) {
	if !(s.Objective.Ratio > 0 && s.Objective.Ratio < 1) {
		c.add("objective.ratio", "a number above 0 and below 1", s.Objective.Ratio)
	}
	c.duration("objective.latency", s.Objective.Latency, time.Millisecond, MostDeadline)
}
