// Package feed keeps the latest changes of the controllers' view for the processes that
// hold copies of it.
package feed

import (
	"sort"
	"sync"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
)

// _feedCapacity is the number of view changes retained for holders that lag. A
// holder that lags further gets a snapshot.
const _feedCapacity = 4096

type change struct {
	revision uint64
	event    state.Event
}

// Feed retains the latest changes of the view. The core writes it; the streams that
// serve the view read it.
type Feed struct {
	mu               sync.Mutex
	base             uint64        // revision up to which changes are discarded
	changes          []change      // revisions ascend
	revision         uint64        // latest applied revision
	updated          chan struct{} // closed when changes are added
	hasLeaderContact bool          // the replica has recent contact with its leader
}

// New returns a feed without changes.
func New(revision uint64) *Feed {
	return &Feed{base: revision, revision: revision, updated: make(chan struct{})}
}

// Advance sets the revision of the state and appends the events that led to it. It
// ignores revisions that the feed has: a controller applies them again when it has
// restored its state.
func (f *Feed) Advance(revision uint64, events []state.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.revision {
		return
	}
	f.revision = revision
	if len(events) == 0 {
		return
	}
	for _, e := range events {
		f.changes = append(f.changes, change{revision: revision, event: e})
	}
	if extra := len(f.changes) - _feedCapacity; extra > 0 {
		f.base = f.changes[extra-1].revision
		f.changes = append([]change(nil), f.changes[extra:]...)
	}
	f.notifyReaders()
}

// Reset discards all changes, since a snapshot has replaced the state. The revision
// does not go back.
func (f *Feed) Reset(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = max(f.revision, revision)
	f.base = f.revision
	f.changes = nil
	f.notifyReaders()
}

// Revision returns the latest revision.
func (f *Feed) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

func (f *Feed) notifyReaders() {
	close(f.updated)
	f.updated = make(chan struct{})
}

// SetLeaderContact records whether the replica has recent contact with its
// leader.
func (f *Feed) SetLeaderContact(ok bool) {
	f.mu.Lock()
	f.hasLeaderContact = ok
	f.mu.Unlock()
}

// CanServe reports whether the view is recent enough to be served.
func (f *Feed) CanServe() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasLeaderContact
}

// ChangesSince returns the changes after a revision. ok is false if some of them
// are discarded. updated is closed at the next change.
func (f *Feed) ChangesSince(revision uint64) (u *pb.ViewUpdate, ok bool, updated <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.base {
		return nil, false, f.updated
	}
	u = &pb.ViewUpdate{Revision: f.revision}
	first := sort.Search(len(f.changes), func(i int) bool { return f.changes[i].revision > revision })
	for _, c := range f.changes[first:] {
		addEvent(u, c.event)
	}
	return u, true, f.updated
}

// addEvent adds a change to an update. A put cancels an earlier deletion of the
// same name, since a holder applies puts before deletions.
func addEvent(u *pb.ViewUpdate, e state.Event) {
	switch e := e.(type) {
	case state.EntryChanged:
		u.DeletedEntries = removeName(u.DeletedEntries, e.Entry.Name())
		u.Entries = append(u.Entries, wire.EncodeEntry(e.Entry))
	case state.EntryDeleted:
		u.DeletedEntries = append(u.DeletedEntries, e.Name)
	case state.WorkerChanged:
		u.GoneWorkers = removeName(u.GoneWorkers, e.Worker.ID)
		u.Workers = append(u.Workers, wire.EncodeWorker(e.Worker))
	case state.WorkerRetired:
		u.GoneWorkers = append(u.GoneWorkers, e.ID)
	default:
		panic("feed: unexpected event")
	}
}

func removeName(names []string, name string) []string {
	out := names[:0]
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// SnapshotUpdate returns the whole view.
func SnapshotUpdate(m *state.Machine) *pb.ViewUpdate {
	u := &pb.ViewUpdate{Revision: m.Revision(), Snapshot: true}
	for _, e := range m.Catalogue().Entries() {
		u.Entries = append(u.Entries, wire.EncodeEntry(e))
	}
	for _, w := range m.Workers().Workers() {
		u.Workers = append(u.Workers, wire.EncodeWorker(w))
	}
	return u
}
