package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
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

// TestLostProposalEndsSessions reports an end to a leader that cannot record it,
// as while it hands its leadership over: the agent has to tell it again, even if
// the leader stays.
func TestLostProposalEndsSessions(t *testing.T) {
	files, err := disk.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	now := clock.Now()
	c, err := NewCore(CoreConfig{
		Replica: replica.Config{
			ID: "a", Founders: []replica.Member{{ID: "a"}, {ID: "b"}}, ElectionTimeout: time.Second,
			Heartbeat: 100 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 1)),
		},
		Files: files, Send: func([]replica.Message) {}, SnapshotEntries: 1000, Lease: time.Second, RunLease: time.Second,
	}, now)
	if err != nil {
		t.Fatal(err)
	}
	p := &session{worker: dispatch.Worker{Life: "w"}, out: newOutbox()}
	c.sessions.reset(now)
	c.sessions.byLife["w"] = p
	c.proposeEnds(now, []submission.End{{Run: submission.RunID{Number: 1}, Worker: "w", How: submission.Done}})
	if _, closed := p.out.takeAll(); !closed || len(c.sessions.byLife) != 0 {
		t.Error("the agent's stream goes on, though what it told is lost")
	}
}
