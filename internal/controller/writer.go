package controller

import (
	"context"

	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
)

// writeJob is one write of the disk: either a part of the log or a snapshot
// of the state, which is encoded here and not in the core.
type writeJob struct {
	ready    replica.Ready    // its State and Entries are written
	snapshot *snapshotJob     // nil for a part of the log
	done     chan<- writeDone // size one
}

// snapshotJob is a snapshot of the controller's own state.
type snapshotJob struct {
	index    uint64
	term     uint64
	contents state.Contents
	hard     replica.HardState
	members  []replica.Member
	tail     []replica.Entry // log after the snapshot
}

// writeDone is the end of a writeJob.
type writeDone struct {
	ready    replica.Ready
	snapshot *replica.Snapshot // that was written; nil for a part of the log
	err      error
}

// writer is the task that owns the disk. It does one job at a time, so a slow
// disk keeps the core neither from its messages nor from its heartbeats.
type writer struct {
	store *disk.Store
	jobs  chan writeJob // size one
}

func newWriter(store *disk.Store) *writer {
	return &writer{store: store, jobs: make(chan writeJob, 1)}
}

// run writes until the context ends and no job is left.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case j := <-w.jobs:
			j.done <- w.write(j)
		case <-ctx.Done():
			return
		}
	}
}

func (w *writer) write(j writeJob) writeDone {
	if j.snapshot == nil {
		return writeDone{ready: j.ready, err: w.store.Save(j.ready.State, j.ready.Entries)}
	}
	s := j.snapshot
	data, err := wire.MarshalState(s.contents)
	if err != nil {
		return writeDone{err: err}
	}
	snap := replica.Snapshot{Index: s.index, Term: s.term, Data: data, Members: s.members}
	return writeDone{snapshot: &snap, err: w.store.SaveSnapshot(snap, s.hard, s.tail)}
}
