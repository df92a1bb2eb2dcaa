package disk

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/replica"
)

// oracle is what a store must hold: what was acknowledged, and what may be
// there besides because its call was under way.
type oracle struct {
	state    replica.HardState
	snapshot replica.Snapshot
	entries  []replica.Entry
}

func (o *oracle) save(s *replica.HardState, entries []replica.Entry) {
	if s != nil {
		o.state = *s
	}
	for _, e := range entries {
		keep := 0
		for keep < len(o.entries) && o.entries[keep].Index < e.Index {
			keep++
		}
		o.entries = append(append([]replica.Entry(nil), o.entries[:keep]...), e)
	}
}

func (o *oracle) saveSnapshot(s replica.Snapshot) {
	o.snapshot = s
	var rest []replica.Entry
	for _, e := range o.entries {
		if e.Index > s.Index {
			rest = append(rest, e)
		}
	}
	o.entries = rest
}

func (o oracle) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v %d/%d %q:", o.state, o.snapshot.Index, o.snapshot.Term, o.snapshot.Data)
	for _, e := range o.entries {
		fmt.Fprintf(&b, " %d/%d/%s", e.Index, e.Term, e.Data)
	}
	return b.String()
}

// script runs a fixed mix of calls until one fails. It returns what was
// acknowledged, and what would be there if the failed call had taken effect.
func script(seed uint64, files Files) (acked, next oracle, err error) {
	s, _, _, err := Open(files)
	if err != nil {
		return acked, next, err
	}
	rnd := rand.New(rand.NewPCG(seed, 1))
	index, term := uint64(0), uint64(1)
	for range 40 {
		next = oracle{state: acked.state, snapshot: acked.snapshot, entries: acked.entries}
		switch n := rnd.IntN(10); {
		case n == 0 && len(acked.entries) > 2:
			e := acked.entries[len(acked.entries)/2]
			snap := replica.Snapshot{Index: e.Index, Term: e.Term, Data: []byte(fmt.Sprint("state", e.Index))}
			next.saveSnapshot(snap)
			err = s.SaveSnapshot(snap, next.state, next.entries)
		default:
			var state *replica.HardState
			if n < 3 {
				term++
				state = &replica.HardState{Term: term, Vote: "r1"}
				if n == 1 && len(acked.entries) > 1 {
					index = acked.entries[len(acked.entries)-1].Index - 1 // a new leader replaces the log's end
				}
			}
			var entries []replica.Entry
			for range 1 + rnd.IntN(3) {
				index++
				entries = append(entries, replica.Entry{
					Index: index, Term: term, Kind: replica.KindCommand, Data: fmt.Appendf(nil, "c%d", rnd.IntN(1000)),
				})
			}
			next.save(state, entries)
			err = s.Save(state, entries)
		}
		if err != nil {
			return acked, next, err
		}
		acked = next
	}
	return acked, next, nil
}

func reopen(t *testing.T, files Files) oracle {
	t.Helper()
	_, r, _, err := Open(files)
	if err != nil {
		t.Fatalf("open after the crash: %v", err)
	}
	return oracle{state: r.State, snapshot: r.Snapshot, entries: r.Entries}
}

// TestCrashPoints stops the machine at every operation in turn, with each way
// of tearing what was not synced.
func TestCrashPoints(t *testing.T) {
	points := 0
	rnd := rand.New(rand.NewPCG(11, 1))
	for seed := uint64(1); seed <= 12; seed++ {
		for stop := 0; ; stop++ {
			whole := false
			for _, how := range []tear{tearNone, tearHalf, tearZeroed, tearAll} {
				m := newMemory()
				m.left = stop
				acked, next, err := script(seed, m)
				whole = err == nil
				points++
				kept := rnd.Uint64()
				got := reopen(t, m.crash(how, kept)).String()
				if got != acked.String() && got != next.String() {
					t.Fatalf("seed %d, stopped at operation %d, tear %d, kept %x:\n got %s\nwant %s\n  or %s", seed, stop, how, kept, got, acked, next)
				}
			}
			if whole {
				break
			}
		}
	}
	if points < 1000 {
		t.Errorf("%d crash points, want at least 1000", points)
	}
	t.Logf("%d crash points", points)
}

// TestFailedDisk checks that a store refuses everything after its first
// failure, and that nothing acknowledged is lost by it.
func TestFailedDisk(t *testing.T) {
	full := errors.New("no space left on device")
	for stop := 1; stop < 60; stop++ {
		m := newMemory()
		m.left, m.failing = stop, full
		acked, next, err := script(7, m)
		if !errors.Is(err, full) {
			t.Fatalf("stopped at operation %d: error %v, want %v", stop, err, full)
		}
		if stop > 3 && fault.CodeOf(err) != fault.DataUnusable {
			t.Errorf("stopped at operation %d: code %d, want %d", stop, fault.CodeOf(err), fault.DataUnusable)
		}
		got := reopen(t, m.crash(tearAll, 0)).String()
		if got != acked.String() && got != next.String() {
			t.Errorf("stopped at operation %d: got %s, want %s", stop, got, acked)
		}
	}
}

func TestStoreRefusesAfterFailure(t *testing.T) {
	m := newMemory()
	s, _, _, err := Open(m)
	if err != nil {
		t.Fatal(err)
	}
	m.left, m.failing = 1, errors.New("input/output error") // the sync fails
	if err := s.Save(&replica.HardState{Term: 1}, nil); err == nil {
		t.Fatal("a failed sync was acknowledged")
	}
	m.left = -1
	if err := s.Save(&replica.HardState{Term: 2}, nil); err == nil {
		t.Error("a save was acknowledged after a failed sync")
	}
}

// TestFlippedBit checks that damage before the last frame is refused.
func TestFlippedBit(t *testing.T) {
	m := newMemory()
	if _, _, err := script(3, m); err != nil {
		t.Fatal(err)
	}
	names, err := m.List()
	if err != nil {
		t.Fatal(err)
	}
	flipped := 0
	for _, file := range names {
		data := m.files[file].written
		ends := frameEnds(data)
		last := 0
		if strings.HasPrefix(file, _segmentPrefix) && len(ends) > 1 {
			last = ends[len(ends)-2]
		}
		for i := 0; i < last; i += 7 {
			c := m.crash(tearNone, 0)
			c.files[file].written[i] ^= 0x10
			if _, _, _, err := Open(c); fault.CodeOf(err) != fault.DataDamaged {
				t.Fatalf("%s with a bit of byte %d flipped: error %v, want code %d", file, i, err, fault.DataDamaged)
			}
			flipped++
		}
	}
	if flipped < 20 {
		t.Errorf("only %d bits were flipped", flipped)
	}
}

func frameEnds(data []byte) []int {
	var ends []int
	for at := 0; at < len(data); {
		_, size, err := nextFrame(data[at:])
		if err != nil {
			break
		}
		at += size
		ends = append(ends, at)
	}
	return ends
}

// TestCutSegment checks that only the last segment may have a torn end.
func TestCutSegment(t *testing.T) {
	m := newMemory()
	s, _, _, err := Open(m)
	if err != nil {
		t.Fatal(err)
	}
	entry := replica.Entry{Index: 1, Term: 1, Kind: replica.KindCommand, Data: []byte("c1")}
	if err := s.Save(&replica.HardState{Term: 1}, []replica.Entry{entry}); err != nil {
		t.Fatal(err)
	}
	if err := s.newSegment(2, nil); err != nil {
		t.Fatal(err)
	}
	c := m.crash(tearNone, 0)
	first := c.files[name(_segmentPrefix, 1)]
	first.written = first.written[:len(first.written)-1]
	if _, _, _, err := Open(c); fault.CodeOf(err) != fault.DataDamaged {
		t.Errorf("a cut segment before the last: error %v, want code %d", err, fault.DataDamaged)
	}
}

func TestFolder(t *testing.T) {
	files, err := OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	want, _, err := script(5, files)
	if err != nil {
		t.Fatal(err)
	}
	if got := reopen(t, files).String(); got != want.String() {
		t.Errorf("got %s, want %s", got, want)
	}
}

func FuzzFrame(f *testing.F) {
	f.Add(appendFrame(nil, []byte("payload")))
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0}, 64))
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, size, err := nextFrame(data)
		if err == nil && !bytes.Equal(appendFrame(nil, payload), data[:size]) {
			t.Errorf("a frame was read that would be written otherwise")
		}
	})
}
