package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
)

// startCore runs the only controller of a group, "a", until the test ends.
func startCore(t *testing.T) *Core {
	t.Helper()
	files, err := disk.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	core, err := NewCore(CoreConfig{
		Replica: replica.Config{
			ID: "a", InitialMembers: []replica.Member{{ID: "a"}}, ElectionTimeout: 100 * time.Millisecond,
			Heartbeat: 20 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 1)),
		},
		Files: files, Send: func([]replica.Message) {}, SnapshotEntries: 1000, WorkerLease: time.Second, RunLease: time.Second,
	}, clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { core.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return core
}

// TestQueriesSeeCommittedEntries runs queries while changes are committed. It
// guards against a query that runs before a committed change is applied: a reader
// that relies on the leader's lease would see an older state.
func TestQueriesSeeCommittedEntries(t *testing.T) {
	core := startCore(t)
	ctx := context.Background()
	const writers, changes = 4, 300
	var writer sync.WaitGroup
	for range writers {
		writer.Go(func() {
			for n := 0; n < changes; {
				// The command is rejected, but it is recorded in the log.
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

// brokenDisk fails all writes while broken is set.
type brokenDisk struct {
	disk.Files
	broken atomic.Bool
}

func (f *brokenDisk) Create(name string) (disk.File, error) {
	file, err := f.Files.Create(name)
	return &brokenFile{File: file, disk: f}, err
}

type brokenFile struct {
	disk.File
	disk *brokenDisk
}

func (f *brokenFile) Write(p []byte) (int, error) {
	if f.disk.broken.Load() {
		return 0, errors.New("input/output error")
	}
	return f.File.Write(p)
}

// TestControllerReportsBrokenDisk fails all writes for another reason than lack of space.
// The core must report the failure. Restarted with a working disk, it must accept changes
// again.
func TestControllerReportsBrokenDisk(t *testing.T) {
	folder, err := disk.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	files := &brokenDisk{Files: folder}
	start := func() (*Core, func()) {
		core, err := NewCore(CoreConfig{
			Replica: replica.Config{
				ID: "a", InitialMembers: []replica.Member{{ID: "a"}}, ElectionTimeout: 100 * time.Millisecond,
				Heartbeat: 20 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 1)),
			},
			Files: files, Send: func([]replica.Message) {}, SnapshotEntries: 1000, WorkerLease: time.Second, RunLease: time.Second,
		}, clock.Now())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { core.Run(ctx) })
		return core, func() {
			cancel()
			running.Wait()
		}
	}
	propose := func(core *Core) error {
		var err error
		for range 500 {
			if _, err = core.Propose(context.Background(), state.CancelSubmission{ID: "none"}); fault.CodeOf(err) != fault.NoLeader {
				return err
			}
			time.Sleep(10 * time.Millisecond)
		}
		return err
	}
	core, stop := start()
	if err := propose(core); err != nil {
		t.Fatal(err)
	}
	files.broken.Store(true)
	if err := propose(core); fault.CodeOf(err) != fault.MaybeApplied {
		t.Errorf("with a broken disk: got %v, want MaybeApplied", err)
	}
	select {
	case <-core.DiskFailed():
	case <-time.After(10 * time.Second):
		t.Fatal("the failure is not reported")
	}
	stop()
	files.broken.Store(false)
	core, stop = start()
	defer stop()
	if err := propose(core); err != nil {
		t.Errorf("after a restart: %v", err)
	}
}
