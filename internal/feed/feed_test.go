package feed

import (
	"fmt"
	"testing"

	"github.com/gentianrail/gentianrail/state"
)

// fill adds changes up to a revision, one in each.
func fill(f *Feed, to uint64) {
	for r := uint64(1); r <= to; r++ {
		f.Advance(r, []state.Event{state.EntryDeleted{Name: fmt.Sprint("e", r)}})
	}
}

func TestChangesFollowRevision(t *testing.T) {
	f := New(0)
	fill(f, 10)
	for _, tc := range []struct {
		since uint64
		want  []string
	}{
		{since: 10}, {since: 9, want: []string{"e10"}}, {since: 7, want: []string{"e8", "e9", "e10"}}, {since: 12},
	} {
		u, ok, _ := f.ChangesSince(tc.since)
		if !ok || fmt.Sprint(u.GetDeletedEntries()) != fmt.Sprint(tc.want) || u.GetRevision() != 10 {
			t.Errorf("since %d: %v, %t at %d; want %v at 10", tc.since, u.GetDeletedEntries(), ok, u.GetRevision(), tc.want)
		}
	}
}

func TestHolderThatLagsFarGetsSnapshot(t *testing.T) {
	f := New(0)
	fill(f, _feedCapacity+5)
	if _, ok, _ := f.ChangesSince(4); ok {
		t.Error("changes that are discarded were served")
	}
	if u, ok, _ := f.ChangesSince(5); !ok || len(u.GetDeletedEntries()) != _feedCapacity {
		t.Errorf("got %d changes, %t; want all %d retained ones", len(u.GetDeletedEntries()), ok, _feedCapacity)
	}
	f.Reset(9000)
	if _, ok, _ := f.ChangesSince(8999); ok {
		t.Error("changes before a snapshot were served")
	}
}

// BenchmarkChangesSince serves one change to a holder that is up to date.
func BenchmarkChangesSince(b *testing.B) {
	for _, retained := range []uint64{10, _feedCapacity} {
		b.Run(fmt.Sprint("retained=", retained), func(b *testing.B) {
			f := New(0)
			fill(f, retained)
			for b.Loop() {
				f.ChangesSince(retained - 1)
			}
		})
	}
}
