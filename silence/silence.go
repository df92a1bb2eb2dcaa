// Package silence holds for how long machines have certainly been without a lease.
//
// The leader of the controllers grants leases to the agents of machines. When a machine has
// had none for long enough, nothing runs on it any more. A leader sees when it grants a
// lease, and its successor does not, so the log records how long each machine has been
// without one. Such a length is a lower bound: it holds when the record is proposed, and so
// at any time after that, until the record is removed. Each replica adds the time that has
// passed on its own steady clock since it applied the record. No clocks of different
// machines are compared, and a change of the leader, or a restart of a replica that has a
// record, loses none of the time before it.
//
// A lease is granted only when the record of its machine has been removed. A controller of
// an earlier version does not know that. So the records are those of one term, and each
// leader writes those that it takes over anew, in its own term, before it changes them. Those
// of a term that does not directly precede the leader's are void: a leader of a term between
// them has not taken them over, and may have granted leases.
package silence

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Machine is a machine that is without a lease.
type Machine struct {
	Name string
	For  time.Duration // for which it has certainly been without a lease when the record was proposed
}

// Change is a change of the records by a leader.
type Change struct {
	Term    uint64    // of the leader; the records of an earlier term are dropped
	Silent  []Machine // recorded, or recorded anew
	Removed []string  // names of machines whose records are removed
}

// Table holds the records of all machines that are without a lease. The zero value is empty.
type Table struct {
	term    uint64 // of the latest change
	lengths map[string]time.Duration
}

// Apply applies a change. A change of an earlier term than the latest one is ignored.
func (t *Table) Apply(c Change) {
	if c.Term < t.term {
		return
	}
	if c.Term > t.term || t.lengths == nil {
		t.term, t.lengths = c.Term, make(map[string]time.Duration)
	}
	for _, m := range c.Silent {
		t.lengths[m.Name] = m.For
	}
	for _, name := range c.Removed {
		delete(t.lengths, name)
	}
}

// Term returns the term of the latest change.
func (t *Table) Term() uint64 { return t.term }

// Len returns the number of machines with a record.
func (t *Table) Len() int { return len(t.lengths) }

// Has reports whether there is a record of a machine.
func (t *Table) Has(name string) bool {
	_, ok := t.lengths[name]
	return ok
}

// Machines returns the records, by name.
func (t *Table) Machines() []Machine {
	out := make([]Machine, 0, len(t.lengths))
	for _, name := range slices.Sorted(maps.Keys(t.lengths)) {
		out = append(out, Machine{Name: name, For: t.lengths[name]})
	}
	return out
}

// Reckoning is the view of a Table that one replica has on its own steady clock. It is not
// replicated. The zero value is the view of an empty table.
type Reckoning struct {
	since      map[string]time.Time // from when on a machine has certainly been without a lease
	recordTerm uint64               // of the records
	latestTerm uint64               // of the latest log entry
	beforeTerm uint64               // of the latest log entry of an earlier term
}

// Restore sets the view to that of a table from a snapshot that ends with an entry of the given
// term.
func (r *Reckoning) Restore(now time.Time, t *Table, term uint64) {
	*r = Reckoning{since: make(map[string]time.Time), recordTerm: t.term, latestTerm: term}
	for name, length := range t.lengths {
		r.since[name] = now.Add(-length)
	}
}

// RecordTerm records that the log has an entry of a term.
func (r *Reckoning) RecordTerm(term uint64) {
	if term > r.latestTerm {
		r.beforeTerm, r.latestTerm = r.latestTerm, term
	}
}

// Apply records a change that the replica applies now. proposed holds the times of which the
// replica itself, as the leader, has recorded the lengths; it is empty on others.
func (r *Reckoning) Apply(now time.Time, c Change, proposed map[string]time.Time) {
	if c.Term < r.recordTerm {
		return
	}
	former := r.since
	if c.Term > r.recordTerm || r.since == nil {
		if !r.isValid() {
			former = nil
		}
		r.since, r.recordTerm = make(map[string]time.Time), c.Term
	}
	for _, m := range c.Silent {
		since := cmp.Or(proposed[m.Name], now.Add(-m.For))
		if earlier, ok := former[m.Name]; ok && earlier.Before(since) {
			since = earlier // the replica has counted for longer than the leader that recorded the length
		}
		r.since[m.Name] = since
	}
	for _, name := range c.Removed {
		delete(r.since, name)
	}
}

// isValid reports whether no leader can have granted a lease beside a record.
func (r *Reckoning) isValid() bool {
	return r.recordTerm == r.latestTerm || r.recordTerm == r.beforeTerm
}

// Since returns from when on, on the replica's steady clock, a machine has certainly been
// without a lease, for the leader of a term. ok is false if there is no valid record of it, or
// if the leader has not applied an entry of its term, and so perhaps not the removal of the
// record.
func (r *Reckoning) Since(term uint64, name string) (since time.Time, ok bool) {
	if r.latestTerm != term || !r.isValid() {
		return time.Time{}, false
	}
	since, ok = r.since[name]
	return since, ok
}

// Valid returns, for the leader of a term, the machines with a valid record and from when on
// they have been without a lease.
func (r *Reckoning) Valid(term uint64) map[string]time.Time {
	out := make(map[string]time.Time)
	if r.latestTerm == term && r.isValid() {
		maps.Copy(out, r.since)
	}
	return out
}
