package runner

import "context"

// Bounds of concurrent calls to the worker, whose client has eight connections. A call
// beyond the connections would wait for one until its timeout, and a poll that does so
// renews no lease.
const (
	_maxConcurrentStarts = 5
	_maxConcurrentStops  = 2
)

// callSlots bounds the calls of one kind. A nil value doesn't.
type callSlots chan struct{}

// acquire waits for a slot. It returns false if ctx ends first.
func (s callSlots) acquire(ctx context.Context) bool {
	if s == nil {
		return true
	}
	select {
	case s <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s callSlots) release() {
	if s != nil {
		<-s
	}
}
