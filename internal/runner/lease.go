package runner

import "time"

// Bounds of leases.
const (
	_clockDriftDivisor = 50                      // a worker's clock may run slow by 1/50
	_slowClockDivisor  = _clockDriftDivisor - 1  // what such a clock shows lasts longer by 1/49
	_maxWorkerLease    = 2500 * time.Millisecond // a worker's loss must be noticed well before the agent's lease ends
)

// lease converts the leader's grants to lease ends on the worker's clock. It
// tracks until when an unresponsive worker may keep its runs.
type lease struct {
	grantEnd    time.Time     // end of the leader's grant, on this machine's clock
	workerClock time.Duration // at clockReadAt
	clockReadAt time.Time     // when the answer with workerClock arrived, on this machine's clock
	hasClock    bool          // workerClock has been read
	maxSentEnd  time.Time     // latest end of a lease that was sent, on this machine's clock
	heldUntil   time.Time     // latest end of a lease that others may have sent, or that counts on another clock, on this machine's clock
}

// longestLease returns how long the longest lease that the worker accepts may last on this
// machine's clock.
func (r *Runner) longestLease() time.Duration { return r.maxLease + r.maxLease/_slowClockDivisor }

// assumeHeld assumes that the worker has been given a lease of that length by now.
func (l *lease) assumeHeld(now time.Time, length time.Duration) {
	if end := now.Add(length); end.After(l.heldUntil) {
		l.heldUntil = end
	}
}

// applyGrant applies a grant that counts from when the report was sent.
func (l *lease) applyGrant(sent time.Time, length time.Duration) {
	if end := sent.Add(length); end.After(l.grantEnd) {
		l.grantEnd = end
	}
}

// recordWorkerClock sets the worker's clock from an answer that arrived now.
func (l *lease) recordWorkerClock(workerClock time.Duration, now time.Time) {
	l.workerClock, l.clockReadAt, l.hasClock = workerClock, now, true
}

// hasSteppedBack reports whether a worker's clock that was read less than _callTimeout ago is
// behind the known one, so that another incarnation has answered. A clock of 0 is unknown.
func (l *lease) hasSteppedBack(workerClock time.Duration, now time.Time) bool {
	if workerClock == 0 || !l.hasClock {
		return false
	}
	passed := now.Sub(l.clockReadAt)
	return workerClock < l.workerClock+passed-passed/_clockDriftDivisor-_callTimeout
}

// nextEnd returns the lease end to send to the worker, on the worker's clock. The
// end is not after the leader's grant even if the worker's clock is slow. ok is
// false if there is no lease to pass on.
func (l *lease) nextEnd(now time.Time) (leaseEnd time.Duration, ok bool) {
	end := now.Add(_maxWorkerLease)
	if l.grantEnd.Before(end) {
		end = l.grantEnd
	}
	if !l.hasClock || !end.After(now) {
		return 0, false
	}
	// The clock was read before its answer arrived, so counting from the
	// arrival puts the end early.
	left := end.Sub(l.clockReadAt)
	leaseEnd = l.workerClock + left - left/_clockDriftDivisor
	if end.After(l.maxSentEnd) {
		l.maxSentEnd = end
	}
	return leaseEnd, true
}

// hasExpired reports whether every lease that was sent has expired.
func (l *lease) hasExpired(now time.Time) bool {
	return !now.Before(l.maxSentEnd) && !now.Before(l.heldUntil)
}
