package disk

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/gentianrail/gentianrail/replica"
)

// A restarted controller must not acknowledge what an earlier process wrote but did not sync.
func TestPowerLossAfterKillKeepsRestoredState(t *testing.T) {
	rnd := rand.New(rand.NewPCG(13, 1))
	for seed := uint64(1); seed <= 4; seed++ {
		for stop := 0; ; stop++ {
			completed := false
			for _, mode := range []tearMode{tearNone, tearHalf, tearZeroed, tearAll} {
				m := newMemoryFiles()
				m.remainingOps = stop
				_, _, err := runScript(seed, m)
				completed = err == nil
				m.remainingOps = -1
				restored := reopenStore(t, m)
				kept := rnd.Uint64()
				name := fmt.Sprintf("seed %d, kill at operation %d, tear mode %d, kept changes %x", seed, stop, mode, kept)
				_, r, _, err := Open(m.afterCrash(mode, kept))
				if err != nil {
					t.Fatalf("%s: %v", name, err)
				}
				got := storeContents{state: r.State, commit: r.Commit, snapshot: r.Snapshot, entries: r.Entries}
				if got.String() != restored.String() {
					t.Fatalf("%s:\n got %s\nwant %s", name, got, restored)
				}
			}
			if completed {
				break
			}
		}
	}
}

// Any part of the last frame may not have reached the disk, also of its header.
func TestOpenRemovesTornHeader(t *testing.T) {
	m := newMemoryFiles()
	s, _, _, err := Open(m)
	if err != nil {
		t.Fatal(err)
	}
	record := func(index uint64) replica.LogRecord {
		return replica.LogRecord{State: &replica.HardState{Term: index}, Entries: []replica.Entry{
			{Index: index, Term: index, Kind: replica.KindCommand, Data: []byte("command")},
		}}
	}
	if err := s.Save(record(1)); err != nil {
		t.Fatal(err)
	}
	file := m.files[fileName(_segmentPrefix, 1)]
	synced := len(file.synced)
	m.remainingOps = 1
	if err := s.Save(record(2)); err == nil {
		t.Fatal("the sync did not fail")
	}
	for at := synced; at <= len(file.written); at++ {
		for tear, zeroed := range map[string][2]int{
			"without its end":        {at, len(file.written)},
			"without its beginning":  {synced, at},
			"without one byte":       {at, min(at+1, len(file.written))},
			"without a few bytes":    {at, min(at+5, len(file.written))},
			"of which little exists": {min(at+2, len(file.written)), len(file.written)},
		} {
			c := m.afterCrash(tearAll, 0)
			data := c.files[fileName(_segmentPrefix, 1)].written
			clear(data[zeroed[0]:zeroed[1]])
			_, r, _, err := Open(c)
			if err != nil {
				t.Errorf("a frame torn at byte %d of %d %s: %v", at-synced, len(file.written)-synced, tear, err)
				continue
			}
			if n := len(r.Entries); n == 0 || r.Entries[0].Index != 1 {
				t.Errorf("a frame torn at byte %d %s: entries %v, want the synced one", at-synced, tear, r.Entries)
			}
		}
	}
}

// The entries after a leader's snapshot must not be kept without the snapshot.
func TestPowerLossDuringInstallKeepsStoreReadable(t *testing.T) {
	for stop := 0; ; stop++ {
		for kept := range uint64(1 << 6) {
			m := newMemoryFiles()
			s, _, _, err := Open(m)
			if err != nil {
				t.Fatal(err)
			}
			old := replica.Entry{Index: 1, Term: 1, Kind: replica.KindCommand, Data: []byte("c1")}
			if err := s.Save(replica.LogRecord{State: &replica.HardState{Term: 1}, Entries: []replica.Entry{old}}); err != nil {
				t.Fatal(err)
			}
			m.remainingOps = stop
			err = s.SaveSnapshot(replica.Snapshot{Index: 5, Term: 2, Data: []byte("state5")}, replica.HardState{Term: 2},
				[]replica.Entry{{Index: 6, Term: 2, Kind: replica.KindCommand, Data: []byte("c6")}})
			_, r, _, openErr := Open(m.afterCrash(tearNone, kept))
			if openErr != nil {
				t.Fatalf("power lost at operation %d, kept changes %b: %v", stop, kept, openErr)
			}
			if err == nil && (r.Snapshot.Index != 5 || len(r.Entries) != 1) {
				t.Fatalf("the saved snapshot is %d with %d entries, want 5 with 1", r.Snapshot.Index, len(r.Entries))
			}
			if err == nil && stop > 20 {
				return
			}
		}
	}
}
