package controller

import (
	"testing"
	"time"
)

// TestMissingVotersAreReported guards against a group that stays short of voters, and whose
// operator learns of it at the next loss.
func TestMissingVotersAreReported(t *testing.T) {
	for _, tc := range []struct {
		name    string
		missing func(second int) int
		want    int // reports in a minute
	}{
		{"none", func(int) int { return 0 }, 0},
		{"replaced in time", func(s int) int { return min(s/20, 1) * min(max(24-s, 0), 1) }, 0},
		{"again and again for a short time", func(s int) int { return s % 4 / 2 }, 0},
		{"all the time", func(int) int { return 2 }, 6},
		{"from the middle on", func(s int) int { return s / 30 }, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s shortage
			now, got := time.Unix(1_700_000_000, 0), 0
			for second := range 60 {
				for range 20 {
					if s.isDue(now, tc.missing(second)) {
						got++
					}
					now = now.Add(_memberCheckInterval)
				}
			}
			if got != tc.want {
				t.Errorf("%d reports, want %d", got, tc.want)
			}
		})
	}
}
