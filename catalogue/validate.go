package catalogue

import (
	"fmt"
	"path"
	"regexp"
	"time"
)

// Maximum values of a declaration's fields. The capacity bounds (CPU, memory,
// accelerators) are those of the platform's largest worker; no worker could
// satisfy a higher limit.
const (
	MaxSlots          = 4096
	MaxConnections    = 65536
	MaxQueue          = 65536
	MaxRequestTimeout = 24 * time.Hour
	MaxBodyBytes      = 1 << 30
	MaxCPUMillis      = 256_000
	MaxMemoryBytes    = 4 << 40
	MaxAccelerators   = 16
	MaxRunningTasks   = 200_000
	MaxDeadline       = 30 * 24 * time.Hour
	MaxPriority       = 100
	MaxAttempts       = 100
)

var (
	_namePattern   = regexp.MustCompile(`^[a-z][a-z0-9_]{0,62}$`)
	_methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)
)

// Problem is one invalid field of a declaration.
type Problem struct {
	Field   string // path of the field in the declaration, such as limits.slots
	Allowed string // allowed values
	Found   string // actual value
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s, allowed is %s", p.Field, p.Found, p.Allowed)
}

// ValidName reports whether s is a valid name of an entry, an owner or a
// target.
func ValidName(s string) bool { return _namePattern.MatchString(s) }

// checker collects the problems of a declaration.
type checker struct{ problems []Problem }

func (c *checker) addProblem(field, allowed string, found any) {
	c.problems = append(c.problems, Problem{Field: field, Allowed: allowed, Found: fmt.Sprintf("%v", found)})
}

func (c *checker) checkName(field, value string) {
	if !ValidName(value) {
		c.addProblem(field, "a lower-case letter followed by at most 62 of a-z, 0-9 and _", fmt.Sprintf("%q", value))
	}
}

func (c *checker) checkRange(field string, value, low, high int64) {
	if value < low || value > high {
		c.addProblem(field, fmt.Sprintf("a whole number from %d to %d", low, high), value)
	}
}

func (c *checker) checkDuration(field string, value, low, high time.Duration) {
	if value < low || value > high {
		c.addProblem(field, fmt.Sprintf("a duration from %s to %s", low, high), value)
	}
}

// Validate returns all problems of the declaration, or none if it is valid.
func (s Spec) Validate() []Problem {
	var c checker
	c.checkName("name", s.Name)
	c.checkName("owner", s.Owner)
	c.checkName("target", s.Target)
	if _, ok := _classNames[s.Class]; !ok {
		c.addProblem("class", "service, batch or watch", s.Class)
	}
	s.checkLimits(&c)
	s.checkObjective(&c)
	for i, m := range s.IdempotentMethods {
		if !_methodPattern.MatchString(m) {
			c.addProblem(fmt.Sprintf("idempotent_methods[%d]", i), "an HTTP method in capitals", fmt.Sprintf("%q", m))
		}
	}
	for i, p := range s.IdempotentPaths {
		if _, err := path.Match(p, "/"); err != nil || p == "" || p[0] != '/' {
			c.addProblem(fmt.Sprintf("idempotent_paths[%d]", i), "a path pattern that starts with / and may hold *, ? and [a-z]", fmt.Sprintf("%q", p))
		}
	}
	return c.problems
}

func (s Spec) checkLimits(c *checker) {
	l := s.Limits
	c.checkRange("limits.slots", int64(l.Slots), 1, MaxSlots)
	c.checkRange("limits.connections", int64(l.Connections), 1, MaxConnections)
	c.checkRange("limits.queue", int64(l.Queue), 0, MaxQueue)
	c.checkDuration("limits.request_timeout", l.RequestTimeout, time.Millisecond, MaxRequestTimeout)
	c.checkRange("limits.body_size", l.BodyBytes, 0, MaxBodyBytes)
	c.checkRange("limits.cpu", l.CPUMillis, 0, MaxCPUMillis)
	c.checkRange("limits.memory", l.MemoryBytes, 0, MaxMemoryBytes)
	c.checkRange("limits.accelerators", int64(l.Accelerators), 0, MaxAccelerators)
	c.checkRange("limits.most_running_tasks", int64(l.MaxRunningTasks), 1, MaxRunningTasks)
	c.checkDuration("limits.deadline", l.Deadline, time.Millisecond, MaxDeadline)
	c.checkRange("limits.priority", int64(l.Priority), 0, MaxPriority)
	c.checkRange("limits.most_attempts", int64(l.MaxAttempts), 1, MaxAttempts)
}

func (s Spec) checkObjective(c *checker) {
	if !(s.Objective.Ratio > 0 && s.Objective.Ratio < 1) {
		c.addProblem("objective.ratio", "a number above 0 and below 1", s.Objective.Ratio)
	}
	c.checkDuration("objective.latency", s.Objective.Latency, time.Millisecond, MaxDeadline)
}
