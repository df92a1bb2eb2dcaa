package runner

import "time"

// Bounds of leases.
const (
	_clockSlow  = 50                      // a worker's clock may lose 1/50 of the time
	_workerMost = 2500 * time.Millisecond // a worker's lease, so that its loss is noticed well before the agent's lease ends
)

// lease turns the leader's grants into lease ends on the worker's clock, and
// knows until when the worker may hold on to its runs without an answer.
type lease struct {
	until    time.Time     // end of the leader's grant, on this machine's clock
	clock    time.Duration // worker's clock at readAt
	readAt   time.Time     // when that answer arrived
	known    bool          // whether the worker's clock has been read
	lastSent time.Time     // latest instant at which a lease that was sent can still last
}

// granted takes in a grant that counts from when the report was sent.
func (l *lease) granted(sent time.Time, length time.Duration) {
	if end := sent.Add(length); end.After(l.until) {
		l.until = end
	}
}

// read takes in the worker's clock from an answer that arrived now.
func (l *lease) read(clock time.Duration, now time.Time) {
	l.clock, l.readAt, l.known = clock, now, true
}

// next returns the lease end to send to the worker, on its clock. It is not
// after the leader's grant even if the worker's clock is slow. ok is false if
// there is no lease to pass on.
func (l *lease) next(now time.Time) (until time.Duration, ok bool) {
	end := now.Add(_workerMost)
	if l.until.Before(end) {
		end = l.until
	}
	if !l.known || !end.After(now) {
		return 0, false
	}
	// The clock was read before its answer arrived, so counting from the
	// arrival puts the end early.
	left := end.Sub(l.readAt)
	until = l.clock + left - left/_clockSlow
	if end.After(l.lastSent) {
		l.lastSent = end
	}
	return until, true
}

// over reports whether no lease that was sent can last any more.
func (l *lease) over(now time.Time) bool { return !now.Before(l.lastSent) }
