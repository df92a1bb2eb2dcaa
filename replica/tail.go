package replica

// tail is the part of the log after the latest snapshot.
type tail struct {
	base     uint64  // index of the entry before entries[0]
	baseTerm uint64  // term of that entry
	entries  []Entry // contiguous from base+1
}

func (t *tail) reset(index, term uint64) {
	t.base, t.baseTerm, t.entries = index, term, nil
}

func (t *tail) last() uint64 { return t.base + uint64(len(t.entries)) }

// term returns the term of the entry at index, or 0 if it is not held.
func (t *tail) term(index uint64) uint64 {
	if index == t.base {
		return t.baseTerm
	}
	if index < t.base || index > t.last() {
		return 0
	}
	return t.entries[index-t.base-1].Term
}

// append adds entries, replacing what stands from the first one's index on.
func (t *tail) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := entries[0].Index - t.base - 1
	if keep == uint64(len(t.entries)) {
		t.entries = append(t.entries, entries...)
		return
	}
	// The full slice expression forces a copy, so that slices which were
	// handed out stay unchanged.
	t.entries = append(t.entries[:keep:keep], entries...)
}

// slice returns the entries in [from, to).
func (t *tail) slice(from, to uint64) []Entry {
	lo, hi := from-t.base-1, to-t.base-1
	return t.entries[lo:hi:hi]
}

func (t *tail) compact(index uint64) {
	if index <= t.base {
		return
	}
	term := t.term(index)
	rest := t.entries[index-t.base:]
	t.entries = append(make([]Entry, 0, len(rest)), rest...)
	t.base, t.baseTerm = index, term
}
