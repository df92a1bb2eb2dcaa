// Package disk keeps a controller's replicated log and snapshots in one
// folder.
//
// The log is a chain of segments, files of checksummed frames. Each frame is
// written with one write and synced before the next, so a crash can tear only
// the last frame of the last segment; that one is cut off on opening. Damage
// anywhere else is refused, since it means that something acknowledged is
// gone. A snapshot is written beside, synced and renamed.
package disk

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/replica"
)

const (
	_segmentPrefix  = "log_"
	_snapshotPrefix = "snapshot_"
	_temporary      = "new_"
)

// Store is the durable state of one replica. It is owned by one task.
type Store struct {
	files    Files
	segment  File
	number   uint64 // of the open segment
	failed   error  // first failure; nothing is written after it
	snapshot replica.Snapshot
	buf      []byte
}

// Open reads the folder back. A torn last frame is cut off; the returned
// count tells how many bytes that were.
func Open(files Files) (*Store, replica.Restored, int, error) {
	s := &Store{files: files}
	names, err := files.List()
	if err != nil {
		return nil, replica.Restored{}, 0, fault.Wrap(fault.DataUnusable, err, "list the data folder")
	}
	var restored replica.Restored
	if restored.Snapshot, err = s.readSnapshot(names); err != nil {
		return nil, replica.Restored{}, 0, err
	}
	s.snapshot = restored.Snapshot
	segments := numbered(names, _segmentPrefix)
	cut := 0
	for i, n := range segments {
		if cut, err = s.readSegment(n, i == len(segments)-1, &restored); err != nil {
			return nil, replica.Restored{}, 0, err
		}
	}
	if err := checkContiguous(restored); err != nil {
		return nil, replica.Restored{}, 0, err
	}
	if err := s.openLast(segments); err != nil {
		return nil, replica.Restored{}, 0, fault.Wrap(fault.DataUnusable, err, "open the log")
	}
	s.removeOld(names)
	return s, restored, cut, nil
}

func name(prefix string, n uint64) string { return fmt.Sprintf("%s%016d", prefix, n) }

// numbered returns the numbers of the files with the prefix, rising.
func numbered(names []string, prefix string) []uint64 {
	var out []uint64
	for _, s := range names {
		digits, ok := strings.CutPrefix(s, prefix)
		if !ok {
			continue
		}
		if n, err := strconv.ParseUint(digits, 10, 64); err == nil {
			out = append(out, n)
		}
	}
	return out
}

func (s *Store) readSnapshot(names []string) (replica.Snapshot, error) {
	all := numbered(names, _snapshotPrefix)
	if len(all) == 0 {
		return replica.Snapshot{}, nil
	}
	file := name(_snapshotPrefix, all[len(all)-1])
	data, err := s.files.Read(file)
	if err != nil {
		return replica.Snapshot{}, fault.Wrap(fault.DataUnusable, err, "read %s", file)
	}
	payload, _, err := nextFrame(data)
	if err != nil {
		return replica.Snapshot{}, fault.Wrap(fault.DataDamaged, err, "%s", file)
	}
	return wire.UnmarshalSnapshot(payload)
}

func (s *Store) readSegment(n uint64, last bool, out *replica.Restored) (cut int, err error) {
	file := name(_segmentPrefix, n)
	data, err := s.files.Read(file)
	if err != nil {
		return 0, fault.Wrap(fault.DataUnusable, err, "read %s", file)
	}
	offset := 0
	for offset < len(data) {
		payload, size, err := nextFrame(data[offset:])
		if errors.Is(err, errTorn) && last {
			return len(data) - offset, s.cut(file, int64(offset))
		}
		if err != nil {
			return 0, fault.Wrap(fault.DataDamaged, err, "%s at byte %d", file, offset)
		}
		state, entries, err := wire.UnmarshalRecord(payload)
		if err != nil {
			return 0, fault.Wrap(fault.DataDamaged, err, "%s at byte %d", file, offset)
		}
		if state != nil {
			out.State = *state
		}
		mergeEntries(out, entries)
		offset += size
	}
	return 0, nil
}

func (s *Store) cut(file string, size int64) error {
	f, err := s.files.Append(file)
	if err != nil {
		return fault.Wrap(fault.DataUnusable, err, "open %s", file)
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return fault.Wrap(fault.DataUnusable, err, "cut the torn end of %s", file)
	}
	if err := f.Sync(); err != nil {
		return fault.Wrap(fault.DataUnusable, err, "sync %s", file)
	}
	return nil
}

// mergeEntries adds a record's entries, which replace what stands from the
// first one's index on. Entries that the snapshot includes are left out.
func mergeEntries(out *replica.Restored, entries []replica.Entry) {
	for _, e := range entries {
		if e.Index <= out.Snapshot.Index {
			continue
		}
		for len(out.Entries) > 0 && out.Entries[len(out.Entries)-1].Index >= e.Index {
			out.Entries = out.Entries[:len(out.Entries)-1]
		}
		out.Entries = append(out.Entries, e)
	}
}

func checkContiguous(r replica.Restored) error {
	want := r.Snapshot.Index + 1
	for _, e := range r.Entries {
		if e.Index != want {
			return fault.New(fault.DataDamaged, "the log lacks entry %d; the next one is %d", want, e.Index)
		}
		want++
	}
	return nil
}

func (s *Store) openLast(segments []uint64) error {
	if len(segments) == 0 {
		return s.newSegment(1, nil)
	}
	s.number = segments[len(segments)-1]
	f, err := s.files.Append(name(_segmentPrefix, s.number))
	if err != nil {
		return err
	}
	s.segment = f
	return nil
}

// newSegment makes a segment that starts with the given frames and makes it
// the one that is written to.
func (s *Store) newSegment(number uint64, frames []byte) error {
	file := name(_segmentPrefix, number)
	f, err := s.files.Create(_temporary + file)
	if err != nil {
		return err
	}
	if err := writeAndSync(f, frames); err != nil {
		return err
	}
	if err := s.files.Rename(_temporary+file, file); err != nil {
		return err
	}
	if err := s.files.SyncFolder(); err != nil {
		return err
	}
	if s.segment != nil {
		if err := s.segment.Close(); err != nil {
			return err
		}
	}
	s.segment = f
	s.number = number
	return nil
}

func writeAndSync(f File, data []byte) error {
	if len(data) > 0 {
		if _, err := f.Write(data); err != nil {
			return err
		}
	}
	return f.Sync()
}

// Save makes a hard state and entries durable. After a failure nothing is
// known of the file's end, so every later call fails too.
func (s *Store) Save(state *replica.HardState, entries []replica.Entry) error {
	if state == nil && len(entries) == 0 {
		return nil
	}
	if s.failed != nil {
		return s.failed
	}
	payload, err := wire.MarshalRecord(state, entries)
	if err != nil {
		return s.fail(err, "encode a log record")
	}
	s.buf = appendFrame(s.buf[:0], payload)
	if err := writeAndSync(s.segment, s.buf); err != nil {
		return s.fail(err, "write the log")
	}
	return nil
}

func (s *Store) fail(err error, doing string) error {
	s.failed = fault.Wrap(fault.DataUnusable, err, "%s", doing)
	return s.failed
}

// SaveSnapshot makes a snapshot durable and starts a new segment with the
// hard state and the entries after the snapshot. Older files are removed.
func (s *Store) SaveSnapshot(snap replica.Snapshot, state replica.HardState, tail []replica.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.writeSnapshot(snap); err != nil {
		return s.fail(err, "write a snapshot")
	}
	payload, err := wire.MarshalRecord(&state, tail)
	if err != nil {
		return s.fail(err, "encode a log record")
	}
	if err := s.newSegment(s.number+1, appendFrame(nil, payload)); err != nil {
		return s.fail(err, "start a log segment")
	}
	s.snapshot = snap
	if names, err := s.files.List(); err == nil {
		s.removeOld(names)
	}
	return nil
}

func (s *Store) writeSnapshot(snap replica.Snapshot) error {
	payload, err := wire.MarshalSnapshot(snap)
	if err != nil {
		return err
	}
	file := name(_snapshotPrefix, snap.Index)
	f, err := s.files.Create(_temporary + file)
	if err != nil {
		return err
	}
	err = writeAndSync(f, appendFrame(nil, payload))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	// The folder is synced with the new segment; until then the old files
	// still hold everything.
	return s.files.Rename(_temporary+file, file)
}

// removeOld deletes files that the newest snapshot and segment replace. A
// failure leaves files that the next call removes.
func (s *Store) removeOld(names []string) {
	for _, file := range names {
		if s.isOld(file) {
			_ = s.files.Remove(file)
		}
	}
}

func (s *Store) isOld(file string) bool {
	if strings.HasPrefix(file, _temporary) {
		return true
	}
	if n := numbered([]string{file}, _snapshotPrefix); len(n) == 1 {
		return n[0] < s.snapshot.Index
	}
	if n := numbered([]string{file}, _segmentPrefix); len(n) == 1 {
		return n[0] < s.number
	}
	return false
}

// Snapshot returns the newest snapshot on disk.
func (s *Store) Snapshot() replica.Snapshot { return s.snapshot }

// Close closes the open segment.
func (s *Store) Close() error { return s.segment.Close() }
