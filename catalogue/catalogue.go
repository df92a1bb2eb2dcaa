package catalogue

import (
	"sort"
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

// ChangeRetention is the retention of accepted change identifiers. A change
// resent later is checked only by its versions.
const ChangeRetention = 24 * time.Hour

// AnyVersion is a base version that matches any version of the entry.
const AnyVersion = ^uint64(0)

// Change is a request to put or delete an entry.
type Change struct {
	ID     string // chosen by the operator's tool; the same when resent
	Base   uint64 // entry version that the change is based on; 0 for a new entry
	Name   string
	Put    *Spec // nil to delete
	At     time.Time
	DryRun bool
}

// ChangeResult is the result of an accepted change.
type ChangeResult struct {
	Entry     Entry  // the current entry; zero after a delete
	Revision  uint64 // revision that accepted the change; if Unchanged, that of the current entry
	Repeated  bool   // the change had been accepted before
	Deleted   bool
	Unchanged bool // the declaration equals the current entry; nothing changed
}

// AcceptedChange records an accepted change, to answer a resent one.
type AcceptedChange struct {
	ID       string
	Revision uint64
	Version  uint64 // of the entry; 0 for a delete
	At       time.Time
}

// DeletedVersion is the last version of a deleted entry.
type DeletedVersion struct {
	Name    string
	Version uint64
}

// Catalogue holds all entries. The zero value is empty and ready. It is not
// safe for concurrent use.
type Catalogue struct {
	entries     map[string]Entry
	versions    map[string]uint64 // highest version of each name, deleted entries included; never decreases
	changes     map[string]AcceptedChange
	changeOrder []string // change identifiers, oldest first
}

// Entry returns the entry with the given name.
func (c *Catalogue) Entry(name string) (Entry, bool) {
	e, ok := c.entries[name]
	return e, ok
}

// Len returns the number of entries.
func (c *Catalogue) Len() int { return len(c.entries) }

// Entries returns all entries, sorted by name.
func (c *Catalogue) Entries() []Entry {
	out := make([]Entry, 0, len(c.entries))
	for _, e := range c.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name() < out[j].Name() })
	return out
}

// Apply applies a change at the given revision. The error is a *fault.Error.
func (c *Catalogue) Apply(ch Change, revision uint64) (ChangeResult, error) {
	if !ch.DryRun {
		c.pruneChanges(ch.At)
	}
	if r, ok := c.changes[ch.ID]; ok && ch.ID != "" {
		return ChangeResult{Entry: c.entries[ch.Name], Revision: r.Revision, Repeated: true, Deleted: ch.Put == nil}, nil
	}
	current, exists := c.entries[ch.Name]
	if ch.Put == nil && !exists {
		return ChangeResult{}, fault.New(fault.EntryNotFound, "no entry %q", ch.Name)
	}
	if err := c.checkVersions(ch, current); err != nil {
		return ChangeResult{}, err
	}
	if ch.Put == nil {
		return c.delete(ch, revision), nil
	}
	return c.put(ch, current, exists, revision)
}

// checkVersions rejects a change whose base is not the current version. A
// declaration that states its version must state a higher one than the name
// ever had, unless the declaration equals the current entry.
func (c *Catalogue) checkVersions(ch Change, current Entry) error {
	if ch.Base != AnyVersion && ch.Base != current.version {
		return fault.New(fault.VersionConflict,
			"entry %q: the change is based on version %d, but version %d of revision %d is current",
			ch.Name, ch.Base, current.version, current.revision)
	}
	if ch.Put == nil || ch.Put.Version == 0 {
		return nil
	}
	last := c.versions[ch.Name]
	if ch.Put.Version > last {
		return nil
	}
	if current.version != 0 && current.spec.Equal(*ch.Put) {
		return nil
	}
	if current.version == 0 {
		return fault.New(fault.VersionConflict,
			"entry %q: version %d was declared, but version %d was deleted; declare a higher version",
			ch.Name, ch.Put.Version, last)
	}
	return fault.New(fault.VersionConflict,
		"entry %q: version %d was declared with other content than version %d of revision %d, which is current; declare a higher version",
		ch.Name, ch.Put.Version, current.version, current.revision)
}

func (c *Catalogue) delete(ch Change, revision uint64) ChangeResult {
	out := ChangeResult{Revision: revision, Deleted: true}
	if ch.DryRun {
		return out
	}
	delete(c.entries, ch.Name)
	c.recordChange(ch, revision, 0)
	return out
}

func (c *Catalogue) put(ch Change, current Entry, exists bool, revision uint64) (ChangeResult, error) {
	if problems := ch.Put.Validate(); len(problems) > 0 {
		return ChangeResult{}, fault.New(fault.BadDeclaration, "entry %q: %s", ch.Name, problems[0])
	}
	if exists && current.spec.Equal(*ch.Put) {
		out := ChangeResult{Entry: current, Revision: current.revision, Unchanged: true}
		if !ch.DryRun {
			c.recordChange(ch, current.revision, current.version)
		}
		return out, nil
	}
	version := ch.Put.Version
	if version == 0 {
		version = c.versions[ch.Name] + 1
	}
	entry := Entry{spec: *ch.Put, version: version, revision: revision}
	if !ch.DryRun {
		c.Put(entry)
		c.recordChange(ch, revision, entry.version)
	}
	return ChangeResult{Entry: entry, Revision: revision}, nil
}

// Put stores an accepted entry, for instance from a snapshot or a view.
func (c *Catalogue) Put(e Entry) {
	if c.entries == nil {
		c.entries = make(map[string]Entry)
		c.versions = make(map[string]uint64)
	}
	c.entries[e.Name()] = e
	c.versions[e.Name()] = max(e.version, c.versions[e.Name()])
}

// DeletedVersions returns the last version of each deleted entry, sorted by
// name.
func (c *Catalogue) DeletedVersions() []DeletedVersion {
	var out []DeletedVersion
	for name, v := range c.versions {
		if _, ok := c.entries[name]; !ok {
			out = append(out, DeletedVersion{Name: name, Version: v})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// RestoreVersion stores a deleted entry's last version from a snapshot.
func (c *Catalogue) RestoreVersion(d DeletedVersion) {
	if c.versions == nil {
		c.entries = make(map[string]Entry)
		c.versions = make(map[string]uint64)
	}
	c.versions[d.Name] = d.Version
}

// Remove removes an entry on a view's update and keeps its last version.
func (c *Catalogue) Remove(name string) { delete(c.entries, name) }

// recordChange stores an accepted change if it has an identifier.
func (c *Catalogue) recordChange(ch Change, revision, version uint64) {
	if ch.ID == "" {
		return
	}
	c.RestoreChange(AcceptedChange{ID: ch.ID, Revision: revision, Version: version, At: ch.At})
}

// RestoreChange stores an accepted change, for instance from a snapshot.
func (c *Catalogue) RestoreChange(r AcceptedChange) {
	if c.changes == nil {
		c.changes = make(map[string]AcceptedChange)
	}
	c.changes[r.ID] = r
	c.changeOrder = append(c.changeOrder, r.ID)
}

// AcceptedChanges returns the stored changes, oldest first.
func (c *Catalogue) AcceptedChanges() []AcceptedChange {
	out := make([]AcceptedChange, 0, len(c.changeOrder))
	for _, id := range c.changeOrder {
		out = append(out, c.changes[id])
	}
	return out
}

// pruneChanges removes the changes whose retention has ended.
func (c *Catalogue) pruneChanges(now time.Time) {
	for len(c.changeOrder) > 0 {
		oldest := c.changes[c.changeOrder[0]]
		if now.Sub(oldest.At) < ChangeRetention {
			return
		}
		delete(c.changes, oldest.ID)
		c.changeOrder = c.changeOrder[1:]
	}
}
