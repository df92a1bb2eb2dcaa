package replica

// logTail is the part of the log after the latest snapshot.
type logTail struct {
	base     uint64  // index of the entry before entries[0]
	baseTerm uint64  // term of that entry
	entries  []Entry // contiguous from base+1
	bytes    int64   // of the entries' data
}

func (t *logTail) reset(index, term uint64) {
	t.base, t.baseTerm, t.entries, t.bytes = index, term, nil, 0
}

func dataBytes(entries []Entry) int64 {
	var n int64
	for i := range entries {
		n += int64(len(entries[i].Data))
	}
	return n
}

func (t *logTail) lastIndex() uint64 { return t.base + uint64(len(t.entries)) }

// termAt returns the term of the entry at index, or 0 if the log tail lacks the
// entry.
func (t *logTail) termAt(index uint64) uint64 {
	if index == t.base {
		return t.baseTerm
	}
	if index < t.base || index > t.lastIndex() {
		return 0
	}
	return t.entries[index-t.base-1].Term
}

// append adds entries and replaces existing ones from the first one's index on.
func (t *logTail) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	retained := entries[0].Index - t.base - 1
	t.bytes += dataBytes(entries) - dataBytes(t.entries[retained:])
	if retained == uint64(len(t.entries)) {
		t.entries = append(t.entries, entries...)
		return
	}
	// The full slice expression forces a copy, so that slices returned earlier
	// stay unchanged.
	t.entries = append(t.entries[:retained:retained], entries...)
}

// slice returns the entries in [from, to).
func (t *logTail) slice(from, to uint64) []Entry {
	lo, hi := from-t.base-1, to-t.base-1
	return t.entries[lo:hi:hi]
}

// compact drops the entries up to and including index.
func (t *logTail) compact(index uint64) {
	if index <= t.base {
		return
	}
	term := t.termAt(index)
	rest := t.entries[index-t.base:]
	t.bytes -= dataBytes(t.entries[:index-t.base])
	t.entries = append(make([]Entry, 0, len(rest)), rest...)
	t.base, t.baseTerm = index, term
}
