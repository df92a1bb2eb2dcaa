package agent

import (
	"sync"
	"time"
)

// lease is what the agent knows of the end of its tasks' leases. All tasks of
// an agent share one lease. Its end is counted from before the renewal was
// sent, so it is never later than the controllers count it.
type lease struct {
	mu          sync.Mutex
	end         time.Time     // on this process's monotonic clock; zero before the first
	workerClock time.Duration // the worker's clock as of some instant before readAt
	readAt      time.Time
}

// renewed notes a renewal that was sent at the given time.
func (l *lease) renewed(sent time.Time, length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := sent.Add(length); end.After(l.end) {
		l.end = end
	}
}

// read notes the worker's clock from an answer that was received at the given
// time.
func (l *lease) read(clock time.Duration, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workerClock = clock
	l.readAt = at
}

// workerEnd returns the end of the lease on the worker's clock. ok is false
// if the lease is over or the worker's clock is not known.
func (l *lease) workerEnd(now time.Time) (until time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readAt.IsZero() || !now.Before(l.end) {
		return 0, false
	}
	// The clock was read before readAt, so this is at or before the true end.
	return l.workerClock + l.end.Sub(l.readAt), true
}

// over reports whether the lease has run out. It is not over before the first
// renewal, when there are no tasks.
func (l *lease) over(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.end.IsZero() && !now.Before(l.end)
}

// forget starts over after the lease has run out and its tasks are gone.
func (l *lease) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = time.Time{}
}
