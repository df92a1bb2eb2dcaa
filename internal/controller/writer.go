package controller

import (
	"context"

	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
)

// writeRequest is one disk operation: a write of a part of the log, a write of a
// snapshot of the state, which the writer encodes, or an attempt to open the store of
// a full disk.
type writeRequest struct {
	ready    replica.Ready // its State and Entries are written
	snapshot *snapshotRequest
	reopen   *reopenRequest
	reply    chan<- writeResult // size one
}

// reopenRequest asks to open the store again.
type reopenRequest struct {
	files    disk.Files
	headroom int // bytes that the disk must accept
}

// snapshotRequest is a snapshot of the controller's own state.
type snapshotRequest struct {
	index     uint64
	term      uint64
	contents  state.Contents
	hardState replica.HardState
	members   []replica.Member
	tail      []replica.Entry // log after the snapshot
}

// writeResult is the result of a writeRequest.
type writeResult struct {
	ready       replica.Ready
	snapshot    *replica.Snapshot // the written snapshot; nil for another operation
	isReopening bool
	reopened    restoredStore
	err         error
}

// writer writes to the disk. It handles one request at a time in its own
// goroutine, so that a slow disk delays neither the core's messages nor its
// heartbeats.
type writer struct {
	store    *disk.Store       // nil while the disk is full
	requests chan writeRequest // size one
}

func newWriter(store *disk.Store) *writer {
	return &writer{store: store, requests: make(chan writeRequest, 1)}
}

// run handles requests until ctx is cancelled.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case req := <-w.requests:
			req.reply <- w.write(req)
		case <-ctx.Done():
			return
		}
	}
}

func (w *writer) write(req writeRequest) writeResult {
	if r := req.reopen; r != nil {
		out, err := reopenStore(r.files, r.headroom)
		w.store = out.store
		return writeResult{isReopening: true, reopened: out, err: err}
	}
	if req.snapshot == nil {
		return writeResult{ready: req.ready, err: w.store.Save(req.ready.LogRecord())}
	}
	s := req.snapshot
	data, err := wire.MarshalState(s.contents)
	if err != nil {
		return writeResult{err: err}
	}
	snap := replica.Snapshot{Index: s.index, Term: s.term, Data: data, Members: s.members}
	return writeResult{snapshot: &snap, err: w.store.SaveSnapshot(snap, s.hardState, s.tail)}
}
