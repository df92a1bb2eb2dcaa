package agent

import (
	"sync"
	"time"
)

// lease tracks the expiry of the agent's task leases. All tasks of an agent
// share one lease. The lease length is counted from a time before the renewal
// was sent, so the lease never ends later here than at the controllers.
type lease struct {
	mu                    sync.Mutex
	end                   time.Time     // on the clock of package clock, which also counts suspensions; zero before the first renewal
	workerClock           time.Duration // the worker's clock, read before workerClockReceivedAt
	workerClockReceivedAt time.Time
	session               uint64 // of the worker, in which its clock was read
}

// recordRenewal extends the lease after a renewal that was sent at the given
// time.
func (l *lease) recordRenewal(sent time.Time, length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := sent.Add(length); end.After(l.end) {
		l.end = end
	}
}

// recordWorkerClock records the worker's clock from an answer that was received
// at the given time in a session of the worker.
func (l *lease) recordWorkerClock(clock time.Duration, session uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workerClock, l.session = clock, session
	l.workerClockReceivedAt = at
}

// endOnWorkerClock returns the end of the lease on the worker's clock, and the
// session in which the clock was read. ok is false if the lease has expired or the
// worker's clock is unknown.
func (l *lease) endOnWorkerClock(now time.Time) (leaseEnd time.Duration, session uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.workerClockReceivedAt.IsZero() || !now.Before(l.end) {
		return 0, l.session, false
	}
	// The worker read its clock before the answer was received, so the result is
	// at or before the true end.
	return l.workerClock + l.end.Sub(l.workerClockReceivedAt), l.session, true
}

// hasExpired reports whether the lease has expired. It returns false before the
// first renewal, when there are no tasks.
func (l *lease) hasExpired(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.end.IsZero() && !now.Before(l.end)
}

// reset clears an expired lease. hasExpired then returns false until the next
// renewal.
func (l *lease) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = time.Time{}
}
