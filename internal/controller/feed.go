package controller

import (
	"sync"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
)

// feedLength is how many changes of the view are kept for holders that are
// behind. A holder further behind gets a snapshot.
const feedLength = 4096

type change struct {
	revision uint64
	event    state.Event
}

// feed keeps the latest changes of the view for the streams that serve it. It
// is written by the core task and read by the streams.
type feed struct {
	mu       sync.Mutex
	base     uint64 // changes at or below it are not kept any more
	changes  []change
	revision uint64        // latest revision that was applied
	moved    chan struct{} // closed when changes are added
	inTouch  bool          // whether the replica hears its leader
}

func newFeed(revision uint64) *feed {
	return &feed{base: revision, revision: revision, moved: make(chan struct{})}
}

// advance notes that the state is at the revision, with the events if any.
func (f *feed) advance(revision uint64, events []state.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = revision
	if len(events) == 0 {
		return
	}
	for _, e := range events {
		f.changes = append(f.changes, change{revision: revision, event: e})
	}
	if extra := len(f.changes) - feedLength; extra > 0 {
		f.base = f.changes[extra-1].revision
		f.changes = append([]change(nil), f.changes[extra:]...)
	}
	f.wake()
}

// reset forgets all changes, after the state was replaced by a snapshot.
func (f *feed) reset(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.base = revision
	f.revision = revision
	f.changes = nil
	f.wake()
}

func (f *feed) wake() {
	close(f.moved)
	f.moved = make(chan struct{})
}

// setInTouch notes whether the replica hears its leader.
func (f *feed) setInTouch(ok bool) {
	f.mu.Lock()
	f.inTouch = ok
	f.mu.Unlock()
}

// serving reports whether the view is recent enough to be served.
func (f *feed) serving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inTouch
}

// since returns the changes after a revision. ok is false if they are not
// kept any more. moved is closed at the next change.
func (f *feed) since(revision uint64) (u *pb.ViewUpdate, ok bool, moved <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.base {
		return nil, false, f.moved
	}
	u = &pb.ViewUpdate{Revision: f.revision}
	for _, c := range f.changes {
		if c.revision > revision {
			addEvent(u, c.event)
		}
	}
	return u, true, f.moved
}

// addEvent adds a change to an update. A later change of a name replaces an
// earlier one, since a holder puts before it removes.
func addEvent(u *pb.ViewUpdate, e state.Event) {
	switch e := e.(type) {
	case state.EntryChanged:
		u.DeletedEntries = without(u.DeletedEntries, e.Entry.Name())
		u.Entries = append(u.Entries, wire.EncodeEntry(e.Entry))
	case state.EntryDeleted:
		u.DeletedEntries = append(u.DeletedEntries, e.Name)
	case state.WorkerChanged:
		u.GoneWorkers = without(u.GoneWorkers, e.Worker.ID)
		u.Workers = append(u.Workers, wire.EncodeWorker(e.Worker))
	case state.WorkerGone:
		u.GoneWorkers = append(u.GoneWorkers, e.ID)
	default:
		panic("controller: unexpected event")
	}
}

func without(names []string, name string) []string {
	out := names[:0]
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

func snapshotUpdate(m *state.Machine) *pb.ViewUpdate {
	u := &pb.ViewUpdate{Revision: m.Revision(), Snapshot: true}
	for _, e := range m.Catalogue().Entries() {
		u.Entries = append(u.Entries, wire.EncodeEntry(e))
	}
	for _, w := range m.Workers().Workers() {
		u.Workers = append(u.Workers, wire.EncodeWorker(w))
	}
	return u
}
