package control

import (
	"context"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/link"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/routing"
	"github.com/gentianrail/gentianrail/worker"
)

// BookmarkInterval is how often a controller sends its revision on a view's
// stream when nothing changes. A stream without an update or bookmark for
// ViewTimeout is closed.
const (
	BookmarkInterval = 500 * time.Millisecond
	ViewTimeout      = 3 * time.Second
)

// View is a holder's read-only copy of the catalogue and the workers. Its
// revision never falls. It is safe for concurrent use.
type View struct {
	mu         sync.RWMutex
	revision   uint64
	loaded     bool
	catalogue  catalogue.Catalogue
	workers    worker.Pool
	candidates map[string]*routing.Candidates // by target; built at the first use after the workers have changed
	lastUpdate time.Time                      // bookmarks included
}

// Entry returns a catalogue entry.
func (v *View) Entry(name string) (catalogue.Entry, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.catalogue.Entry(name)
}

// Candidates returns the workers that serve a target.
func (v *View) Candidates(target string) *routing.Candidates {
	v.mu.RLock()
	c, ok := v.candidates[target]
	v.mu.RUnlock()
	if ok {
		return c
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var candidates []worker.Worker
	for _, w := range v.workers.Workers() {
		if w.Serves(target) {
			candidates = append(candidates, w)
		}
	}
	c = routing.NewCandidates(candidates)
	if v.candidates == nil {
		v.candidates = make(map[string]*routing.Candidates)
	}
	v.candidates[target] = c
	return c
}

// Revision returns the current revision; 0 before the first update.
func (v *View) Revision() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.revision
}

// Loaded reports whether the view has had an update.
func (v *View) Loaded() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.loaded
}

// LastUpdate returns when the latest update or bookmark arrived.
func (v *View) LastUpdate() time.Time {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.lastUpdate
}

// Apply applies an update unless the update is older than the current revision.
// It reports whether the update was applied.
func (v *View) Apply(u *pb.ViewUpdate, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if u.GetRevision() < v.revision {
		return false
	}
	if u.GetSnapshot() {
		v.catalogue = catalogue.Catalogue{}
		v.workers = worker.Pool{}
	}
	if u.GetSnapshot() || len(u.GetWorkers()) > 0 || len(u.GetGoneWorkers()) > 0 {
		v.candidates = nil
	}
	for _, e := range u.GetEntries() {
		v.catalogue.Put(wire.DecodeEntry(e))
	}
	for _, name := range u.GetDeletedEntries() {
		v.catalogue.Remove(name)
	}
	for _, w := range u.GetWorkers() {
		v.workers.Put(wire.DecodeWorker(w))
	}
	for _, id := range u.GetGoneWorkers() {
		v.workers.Remove(id)
	}
	v.revision = u.GetRevision()
	v.loaded = true
	v.lastUpdate = now
	return true
}

// FollowView keeps the view up to date until the context ends. It calls changed
// after each update and lost with the cause each time a stream breaks.
func (c *Client) FollowView(ctx context.Context, holder string, v *View, changed func(), lost func(error)) {
	retryInterval := _minRetryInterval
	for ctx.Err() == nil {
		before := v.LastUpdate()
		err := c.followStream(ctx, holder, v, changed)
		if ctx.Err() != nil {
			return
		}
		lost(err)
		if v.LastUpdate().After(before) {
			retryInterval = _minRetryInterval
		}
		clock.Sleep(ctx, retryInterval)
		retryInterval = min(2*retryInterval, _maxRetryInterval)
	}
}

func (c *Client) followStream(ctx context.Context, holder string, v *View, changed func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := link.Dial(ctx, c.NextAddress(&c.watches))
	if err != nil {
		return err
	}
	defer conn.Close()
	updateTimer := time.AfterFunc(ViewTimeout, func() { _ = conn.Close() })
	defer updateTimer.Stop()
	stream, err := pb.NewDRPCControllerClient(conn).Watch(ctx, &pb.WatchRequest{Revision: v.Revision(), Holder: holder})
	if err != nil {
		return err
	}
	for {
		u, err := stream.Recv()
		if err != nil {
			return err
		}
		updateTimer.Reset(ViewTimeout)
		if v.Apply(u, clock.Now()) {
			changed()
		}
	}
}

// HasWorker reports whether the view has the worker.
func (v *View) HasWorker(id string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	_, ok := v.workers.Worker(id)
	return ok
}
