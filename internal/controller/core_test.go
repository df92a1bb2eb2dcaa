package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
)

// TestQueriesSeeAllThatIsCommitted reads while changes are committed: a reader
// that trusts the leader's lease must not find an older state.
func TestQueriesSeeAllThatIsCommitted(t *testing.T) {
	files, err := disk.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	core, err := NewCore(CoreConfig{
		Replica: replica.Config{
			ID: "a", Founders: []replica.Member{{ID: "a"}}, ElectionTimeout: 100 * time.Millisecond,
			Heartbeat: 20 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 1)),
		},
		Files: files, Send: func([]replica.Message) {}, SnapshotEntries: 1000, Lease: time.Second, RunLease: time.Second,
	}, clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { core.Run(ctx) })
	defer running.Wait()
	defer cancel()
	const writers, changes = 4, 300
	var writer sync.WaitGroup
	for range writers {
		writer.Go(func() {
			for n := 0; n < changes; {
				// The change itself is refused, but it is recorded.
				if _, err := core.Propose(ctx, state.CancelSubmission{ID: "none"}); err == nil {
					n++
					continue
				}
				time.Sleep(time.Millisecond) // no leader yet
			}
		})
	}
	done := make(chan struct{})
	go func() {
		writer.Wait()
		close(done)
	}()
	for stale := 0; ; {
		err := core.Do(ctx, func(c *Core, _ time.Time) {
			if c.lastApplied.Index < c.replica.Commit() {
				stale++
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		if stale > 0 {
			t.Fatal("a query saw a state without a committed change")
		}
		select {
		case <-done:
			return
		default:
		}
	}
}
