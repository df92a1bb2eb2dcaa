package catalogue

import (
	"sort"
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

// ChangeMemory is how long a change identifier is remembered. A change resent
// later than this is judged by its base version alone.
const ChangeMemory = 24 * time.Hour

// AnyVersion as a base version accepts a change whatever the entry's version.
const AnyVersion = ^uint64(0)

// Change asks for an entry to be put or deleted.
type Change struct {
	ID     string // chosen by the operator's tool; equal for resends
	Base   uint64 // version that the change was based on; 0 for a new entry
	Name   string
	Put    *Spec // nil to delete
	At     time.Time
	DryRun bool
}

// Accepted is the answer to a change.
type Accepted struct {
	Entry    Entry  // the entry in force; zero after a delete
	Revision uint64 // revision that took the change in
	Repeated bool   // the change had been accepted before
	Deleted  bool
	Same     bool // the declaration was in force already; nothing changed
}

// Remembered is an accepted change kept to answer a resend.
type Remembered struct {
	ID       string
	Revision uint64
	Version  uint64
	At       time.Time
}

// DeletedVersion is the last version of a deleted name.
type DeletedVersion struct {
	Name    string
	Version uint64
}

// Catalogue is the aggregate of all entries. The zero value is empty and
// ready. It is not safe for concurrent use.
type Catalogue struct {
	entries  map[string]Entry
	versions map[string]uint64 // last version of each name, deleted ones included; never falls
	changes  map[string]Remembered
	order    []string // change identifiers, oldest first
}

// Entry returns the entry with the given name.
func (c *Catalogue) Entry(name string) (Entry, bool) {
	e, ok := c.entries[name]
	return e, ok
}

// Len returns the number of entries.
func (c *Catalogue) Len() int { return len(c.entries) }

// Entries returns all entries by name.
func (c *Catalogue) Entries() []Entry {
	out := make([]Entry, 0, len(c.entries))
	for _, e := range c.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name() < out[j].Name() })
	return out
}

// Apply takes in a change at the given revision. The error is a *fault.Error.
func (c *Catalogue) Apply(ch Change, revision uint64) (Accepted, error) {
	if !ch.DryRun {
		c.forget(ch.At)
	}
	if r, ok := c.changes[ch.ID]; ok && ch.ID != "" {
		return Accepted{Entry: c.entries[ch.Name], Revision: r.Revision, Repeated: true, Deleted: ch.Put == nil}, nil
	}
	current, exists := c.entries[ch.Name]
	if ch.Put == nil && !exists {
		return Accepted{}, fault.New(fault.EntryNotFound, "no entry %q", ch.Name)
	}
	if err := c.checkVersions(ch, current); err != nil {
		return Accepted{}, err
	}
	if ch.Put == nil {
		return c.delete(ch, revision), nil
	}
	return c.put(ch, current, exists, revision)
}

// checkVersions refuses a change that is not newer than what is in force. A
// declaration that states its version must state a higher one than the name
// ever had, unless it asks for what is in force.
func (c *Catalogue) checkVersions(ch Change, current Entry) error {
	if ch.Base != AnyVersion && ch.Base != current.version {
		return fault.New(fault.VersionConflict,
			"entry %q: the change is based on version %d, but version %d of revision %d is in force",
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
		"entry %q: version %d was declared with other content than version %d of revision %d, which is in force; declare a higher version",
		ch.Name, ch.Put.Version, current.version, current.revision)
}

func (c *Catalogue) delete(ch Change, revision uint64) Accepted {
	out := Accepted{Revision: revision, Deleted: true}
	if ch.DryRun {
		return out
	}
	delete(c.entries, ch.Name)
	c.remember(ch, revision, 0)
	return out
}

func (c *Catalogue) put(ch Change, current Entry, exists bool, revision uint64) (Accepted, error) {
	if problems := ch.Put.Validate(); len(problems) > 0 {
		return Accepted{}, fault.New(fault.BadDeclaration, "entry %q: %s", ch.Name, problems[0])
	}
	if exists && current.spec.Equal(*ch.Put) {
		out := Accepted{Entry: current, Revision: current.revision, Same: true}
		if !ch.DryRun {
			c.remember(ch, current.revision, current.version)
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
		c.remember(ch, revision, entry.version)
	}
	return Accepted{Entry: entry, Revision: revision}, nil
}

// Put stores an accepted entry, as when a snapshot or a view is read.
func (c *Catalogue) Put(e Entry) {
	if c.entries == nil {
		c.entries = make(map[string]Entry)
		c.versions = make(map[string]uint64)
	}
	c.entries[e.Name()] = e
	c.versions[e.Name()] = max(e.version, c.versions[e.Name()])
}

// Versions returns the last version of each name that is not in force any
// more.
func (c *Catalogue) Versions() []DeletedVersion {
	var out []DeletedVersion
	for name, v := range c.versions {
		if _, ok := c.entries[name]; !ok {
			out = append(out, DeletedVersion{Name: name, Version: v})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// RestoreVersion stores a deleted name's last version, as when a snapshot is
// read.
func (c *Catalogue) RestoreVersion(d DeletedVersion) {
	if c.versions == nil {
		c.entries = make(map[string]Entry)
		c.versions = make(map[string]uint64)
	}
	c.versions[d.Name] = d.Version
}

// Remove forgets an entry, as when a view is read.
func (c *Catalogue) Remove(name string) { delete(c.entries, name) }

func (c *Catalogue) remember(ch Change, revision, version uint64) {
	if ch.ID == "" {
		return
	}
	c.Remember(Remembered{ID: ch.ID, Revision: revision, Version: version, At: ch.At})
}

// Remember stores an accepted change, as when a snapshot is read.
func (c *Catalogue) Remember(r Remembered) {
	if c.changes == nil {
		c.changes = make(map[string]Remembered)
	}
	c.changes[r.ID] = r
	c.order = append(c.order, r.ID)
}

// RememberedChanges returns the changes kept, oldest first.
func (c *Catalogue) RememberedChanges() []Remembered {
	out := make([]Remembered, 0, len(c.order))
	for _, id := range c.order {
		out = append(out, c.changes[id])
	}
	return out
}

func (c *Catalogue) forget(now time.Time) {
	for len(c.order) > 0 {
		oldest := c.changes[c.order[0]]
		if now.Sub(oldest.At) < ChangeMemory {
			return
		}
		delete(c.changes, oldest.ID)
		c.order = c.order[1:]
	}
}
