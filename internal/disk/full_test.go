package disk

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/replica"
)

// errFull is the error of a full disk as the operating system reports it.
var errFull = &fs.PathError{Op: "write", Path: "log", Err: syscall.ENOSPC}

// TestFullIsToldFromOtherFailures guards against a full disk that ends the process, and
// against a broken one that is tried again for ever.
func TestFullIsToldFromOtherFailures(t *testing.T) {
	for _, tc := range []struct {
		err  error
		want bool
	}{
		{nil, false},
		{syscall.ENOSPC, true},
		{syscall.EDQUOT, true},
		{fault.Wrap(fault.DataUnusable, fmt.Errorf("sync: %w", errFull), "write the log"), true},
		{fault.Wrap(fault.DataUnusable, errors.Join(fs.ErrClosed, errFull), "open the log"), true},
		{&fs.PathError{Op: "write", Path: "log", Err: syscall.EIO}, false},
		{&fs.PathError{Op: "write", Path: "log", Err: syscall.EROFS}, false},
		{errors.New("no space left on device"), false},
		{fault.New(fault.DataDamaged, "log entry 3 is missing"), false},
	} {
		if got := IsFull(tc.err); got != tc.want {
			t.Errorf("%v: full is %t, want %t", tc.err, got, tc.want)
		}
	}
}

// TestFullDiskKeepsAcknowledged lets the disk become full at each operation of a store in
// turn: at appends, snapshots and starts of segments, with a part of a write on the disk, or
// with a write that only its sync rejects. All operations fail then, also those that free
// space. The store is reopened while more and more operations succeed, after a kill, or
// after a loss of power. It must have what was acknowledged, and keep what it returned in
// the next loss of power.
func TestFullDiskKeepsAcknowledged(t *testing.T) {
	rnd := rand.New(rand.NewPCG(15, 1))
	points, rejected := 0, 0
	for seed := uint64(1); seed <= 4; seed++ {
		for stop := 0; ; stop++ {
			completed := false
			for _, then := range []string{"reopened", "killed", "without power"} {
				name := fmt.Sprintf("seed %d, full at operation %d, then %s", seed, stop, then)
				m := newMemoryFiles()
				m.remainingOps, m.opError = stop, errFull
				acked, next, err := runScript(seed, m)
				completed = err == nil
				if err != nil && !IsFull(err) {
					t.Fatalf("%s: the error %v is not that of a full disk", name, err)
				}
				open := func() (*Store, replica.RestoredState, int, error) { return Reopen(m, 100) }
				if then != "reopened" {
					open = func() (*Store, replica.RestoredState, int, error) { return Open(m) }
				}
				if then == "without power" {
					m = m.afterCrash(tearMode(rnd.IntN(4)), rnd.Uint64())
				}
				got, n, err := openGradually(m, open)
				if err != nil {
					t.Fatalf("%s: %v", name, err)
				}
				rejected += n
				points++
				if got.String() != acked.String() && got.String() != next.String() || got.commit < acked.commit {
					t.Fatalf("%s:\n got %s\nwant %s\n  or %s", name, got, acked, next)
				}
				mode, kept := tearMode(rnd.IntN(4)), rnd.Uint64()
				if again := reopenStore(t, m.afterCrash(mode, kept)); again.String() != got.String() || again.commit < got.commit {
					t.Fatalf("%s, and power lost again (tear mode %d, kept changes %x):\n got %s\nwant %s", name, mode, kept, again, got)
				}
			}
			if completed {
				break
			}
		}
	}
	if points < 300 || rejected < 1000 {
		t.Errorf("%d points with %d rejected attempts, want at least 300 with 1000", points, rejected)
	}
	t.Logf("%d points, %d rejected attempts", points, rejected)
}

// openGradually tries to open a store, of whose operations one more succeeds at each attempt.
// It returns the store's contents and the number of rejected attempts.
func openGradually(m *memoryFiles, open func() (*Store, replica.RestoredState, int, error)) (storeContents, int, error) {
	for n := range 100 {
		m.remainingOps, m.opError = n, errFull
		_, r, _, err := open()
		if err == nil {
			return storeContents{state: r.State, commit: r.Commit, snapshot: r.Snapshot, entries: r.Entries}, n, nil
		}
		if !IsFull(err) {
			return storeContents{}, n, err
		}
	}
	return storeContents{}, 100, errFull
}

// TestPowerLossDuringOpenKeepsLog loses the power at each operation of Open. The rewritten
// log and the former one must not be lost together, nor a former one that was never synced
// make the store unreadable.
func TestPowerLossDuringOpenKeepsLog(t *testing.T) {
	rnd := rand.New(rand.NewPCG(16, 1))
	for seed := uint64(1); seed <= 4; seed++ {
		for end := 5; end < 60; end += 3 {
			for stop := 0; ; stop++ {
				m := newMemoryFiles()
				m.remainingOps = end
				acked, next, _ := runScript(seed, m)
				if rnd.IntN(2) == 0 {
					m.remainingOps = -1
					m = m.afterCrash(tearMode(rnd.IntN(4)), rnd.Uint64())
				}
				m.remainingOps = stop
				_, _, _, err := Open(m)
				mode, kept := tearMode(rnd.IntN(4)), rnd.Uint64()
				got := reopenStore(t, m.afterCrash(mode, kept)).String()
				if got != acked.String() && got != next.String() {
					t.Fatalf("seed %d, killed at operation %d, power lost at operation %d of Open (tear mode %d, kept changes %x):\n got %s\nwant %s\n  or %s",
						seed, end, stop, mode, kept, got, acked, next)
				}
				if err == nil {
					break
				}
			}
		}
	}
}

// TestOpenRewritesLargeLog guards against a large log that is rewritten in part, or in one
// record that takes several times its memory.
func TestOpenRewritesLargeLog(t *testing.T) {
	m := newMemoryFiles()
	s, _, _, err := Open(m)
	if err != nil {
		t.Fatal(err)
	}
	for index := uint64(1); index <= 30; index++ {
		e := replica.Entry{Index: index, Term: 1, Kind: replica.KindCommand, Data: make([]byte, 200_000)}
		if err := s.Save(replica.LogRecord{State: &replica.HardState{Term: 1}, Entries: []replica.Entry{e}, Commit: index - 1}); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		_, r, _, err := Open(m)
		if err != nil || len(r.Entries) != 30 || r.Commit != 29 || r.State.Term != 1 {
			t.Fatalf("%v, %d entries, commit %d, %v", err, len(r.Entries), r.Commit, r.State)
		}
		m = m.afterCrash(tearNone, 0)
		names, _ := m.List()
		for _, name := range names {
			start := 0
			for _, end := range frameEnds(m.files[name].written) {
				if end-start > _rewriteBytes+250_000 {
					t.Errorf("%s has a record of %d bytes", name, end-start)
				}
				start = end
			}
		}
	}
}

// TestReopenFreesSpaceFirst fills the disk with a snapshot that does not fit. The retry must
// remove what is left of it and of earlier logs, and not report space that the next attempt
// at the snapshot lacks.
func TestReopenFreesSpaceFirst(t *testing.T) {
	m := newMemoryFiles()
	s, _, _, err := Open(m)
	if err != nil {
		t.Fatal(err)
	}
	entry := func(index uint64) []replica.Entry {
		return []replica.Entry{{Index: index, Term: 1, Kind: replica.KindCommand, Data: make([]byte, 1000)}}
	}
	state := replica.HardState{Term: 1}
	for index := uint64(1); index <= 2; index++ {
		if err := s.Save(replica.LogRecord{State: &state, Entries: entry(index)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.SaveSnapshot(replica.Snapshot{Index: 1, Term: 1, Data: make([]byte, 10)}, state, entry(2)); err != nil {
		t.Fatal(err)
	}
	m.capacity = 4000
	err = s.SaveSnapshot(replica.Snapshot{Index: 2, Term: 1, Data: make([]byte, 5000)}, state, nil)
	if !IsFull(err) || m.free() > 0 {
		t.Fatalf("the snapshot: %v, with %d bytes free", err, m.free())
	}
	if n := s.FailedSize(); n < 5000 || n > 6000 {
		t.Errorf("the failed write has %d bytes, want a little over 5000", n)
	}
	if _, _, _, err := Reopen(m, s.FailedSize()); !IsFull(err) {
		t.Errorf("without space for the snapshot: %v, want the error of a full disk", err)
	}
	// The removal of these failed earlier.
	m.files["snapshot_0000000000000000"] = &memoryContent{written: make([]byte, 2000)}
	m.files["log_0000000000000001"] = &memoryContent{written: make([]byte, 900)}
	_, r, _, err := Reopen(m, 1500)
	if err != nil || r.Snapshot.Index != 1 || len(r.Entries) != 1 {
		t.Errorf("with space beside obsolete files: %v, snapshot %d, entries %v", err, r.Snapshot.Index, r.Entries)
	}
	for name := range m.files {
		if strings.HasPrefix(name, _temporaryPrefix) || name == "log_0000000000000001" || name == "snapshot_0000000000000000" {
			t.Errorf("%s was not removed", name)
		}
	}
}

// TestFailedOpenClosesFiles guards against a controller that runs out of descriptors while
// its disk stays full.
func TestFailedOpenClosesFiles(t *testing.T) {
	m := newMemoryFiles()
	if _, _, err := runScript(2, m); err != nil {
		t.Fatal(err)
	}
	for room := 0; ; room++ {
		m.remainingOps, m.opError = room, errFull
		files := &countingFiles{Files: m}
		s, _, _, err := Reopen(files, 10)
		if err == nil {
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
		}
		if files.open != 0 {
			t.Fatalf("failed at operation %d: %d files are open", room, files.open)
		}
		if err == nil {
			return
		}
	}
}

// countingFiles counts open files.
type countingFiles struct {
	Files
	open int
}

type countedFile struct {
	File
	files *countingFiles
}

func (f *countingFiles) Create(name string) (File, error) {
	file, err := f.Files.Create(name)
	if err != nil {
		return nil, err
	}
	f.open++
	return &countedFile{file, f}, nil
}

func (f *countedFile) Close() error {
	f.files.open--
	return f.File.Close()
}
