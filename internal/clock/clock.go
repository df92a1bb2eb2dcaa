// Package clock provides the time for leases and elections.
//
// Go's monotonic clock stops while a machine is suspended. After a resume, a
// leader or an agent would treat its lease as unexpired although the other
// processes have counted the time of the suspension. Now includes that time.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// _bootTime is the wall-clock time at which the boot clock was 0. It is read
// once at program start, so that later steps of the wall clock have no effect.
var _bootTime = func() time.Time {
	boot, ok := sinceBoot()
	if !ok {
		return time.Now().Round(0)
	}
	return time.Now().Round(0).Add(-boot)
}()

func sinceBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

// Now returns the current time. The time never goes back, ignores steps of the
// wall clock and includes suspensions. On a system without a boot clock, Now
// returns time.Now.
func Now() time.Time {
	boot, ok := sinceBoot()
	if !ok {
		return time.Now()
	}
	return _bootTime.Add(boot)
}

// Sleep returns true after d, or false as soon as the context ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
