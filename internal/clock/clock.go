// Package clock reads the time that leases and elections count with.
//
// Go's monotonic clock stands still while a machine is suspended. A leader or
// an agent that wakes up would take its lease for unexpired although the
// others have gone on without it. Now counts that time.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// _base is the time of day at which the boot clock stood at 0, as seen once
// when the program started, so that later steps of the time of day do not
// count.
var _base = func() time.Time {
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

// Now returns the present time. It never goes back, does not follow steps of
// the time of day and counts suspensions. On a system without such a clock it
// is Go's own.
func Now() time.Time {
	boot, ok := sinceBoot()
	if !ok {
		return time.Now()
	}
	return _base.Add(boot)
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
