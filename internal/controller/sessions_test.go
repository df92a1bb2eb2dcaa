package controller

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/state"
)

// TestNoTasksWithoutLease looks at workers whose agents have just reported. One
// whose lease has run out gets no tasks until it is renewed: its runs would be
// given up at once, again and again, while their starts are on their way.
func TestNoTasksWithoutLease(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		granted time.Duration // until the end of the lease; 0 for none
		want    int
	}{
		{"a lease that lasts", 3 * time.Second, 1},
		{"a lease that has run out", -time.Millisecond, 0},
		{"no lease of this leader", 0, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := &Core{machine: &state.Machine{}}
			c.sessions.reset(now.Add(-time.Second))
			c.sessions.byLife["w"] = &session{worker: dispatch.Worker{Life: "w", Open: true}, listed: true, heard: now}
			if tc.granted != 0 {
				c.sessions.granted["w"] = now.Add(tc.granted)
			}
			if got := len(c.openWorkers(now)); got != tc.want {
				t.Errorf("%d workers get tasks, want %d", got, tc.want)
			}
		})
	}
}
