package link

import (
	"context"
	"net"
	"time"
)

// _dialInterval is the time after which a further attempt starts while the earlier
// ones are unanswered. A host that was off or cut off when an attempt began answers
// only the kernel's repetition, a second later.
const _dialInterval = 150 * time.Millisecond

// dialResult is the outcome of one attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialRepeatedly returns the connection of the first of several attempts to be
// answered, or the error of one that is rejected.
func dialRepeatedly(ctx context.Context, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	results := make(chan dialResult)
	attempts := 0
	start := func() {
		attempts++
		go func() {
			conn, err := dial(ctx)
			results <- dialResult{conn: conn, err: err}
		}()
	}
	defer func() {
		cancel()
		go discard(results, attempts)
	}()
	next := time.NewTicker(_dialInterval)
	defer next.Stop()
	start()
	for {
		select {
		case r := <-results:
			attempts--
			return r.conn, r.err
		case <-next.C:
			start()
		}
	}
}

// discard closes the connections of the remaining attempts.
func discard(results <-chan dialResult, attempts int) {
	for range attempts {
		if r := <-results; r.err == nil {
			_ = r.conn.Close()
		}
	}
}
