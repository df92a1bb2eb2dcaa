// Package disk stores a controller's replicated log and snapshots in one folder.
//
// The log is a sequence of segments, files of checksummed frames. Each frame is
// written with one write and synced before the next, so a crash can tear only
// the last frame of the last segment. Open removes that frame. Open rejects
// damage anywhere else, since it means that acknowledged data is lost. A
// snapshot is written to a temporary file, synced and renamed.
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
	_segmentPrefix   = "log_"
	_snapshotPrefix  = "snapshot_"
	_temporaryPrefix = "new_"
)

// Store is the durable state of one replica. One goroutine owns it.
type Store struct {
	files         Files
	openSegment   File
	segmentNumber uint64 // of openSegment
	failure       error  // first failed write; later writes return it
	snapshot      replica.Snapshot
	commit        uint64 // highest commit index that was saved
	buf           []byte
}

// Open restores the state from the folder and makes all of it durable. It removes
// a torn last frame and returns the number of removed bytes.
func Open(files Files) (*Store, replica.RestoredState, int, error) {
	s := &Store{files: files}
	names, err := files.List()
	if err != nil {
		return nil, replica.RestoredState{}, 0, fault.Wrap(fault.DataUnusable, err, "list the data folder")
	}
	var restored replica.RestoredState
	if restored.Snapshot, err = s.readSnapshot(names); err != nil {
		return nil, replica.RestoredState{}, 0, err
	}
	s.snapshot = restored.Snapshot
	segments := fileNumbers(names, _segmentPrefix)
	truncated := 0
	for i, n := range segments {
		if truncated, err = s.readSegment(n, i == len(segments)-1, &restored); err != nil {
			return nil, replica.RestoredState{}, 0, err
		}
	}
	restored.Commit = max(restored.Commit, restored.Snapshot.Index)
	s.commit = restored.Commit
	if err := checkEntriesContiguous(restored); err != nil {
		return nil, replica.RestoredState{}, 0, err
	}
	if err := s.openLastSegment(segments); err != nil {
		return nil, replica.RestoredState{}, 0, fault.Wrap(fault.DataUnusable, err, "open the log")
	}
	if err := s.syncRestored(); err != nil {
		return nil, replica.RestoredState{}, 0, fault.Wrap(fault.DataUnusable, err, "sync the log")
	}
	s.removeObsoleteFiles(names)
	return s, restored, truncated, nil
}

func fileName(prefix string, n uint64) string { return fmt.Sprintf("%s%016d", prefix, n) }

// fileNumbers returns the numbers of the files with the prefix. They ascend,
// since names is sorted.
func fileNumbers(names []string, prefix string) []uint64 {
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
	all := fileNumbers(names, _snapshotPrefix)
	if len(all) == 0 {
		return replica.Snapshot{}, nil
	}
	file := fileName(_snapshotPrefix, all[len(all)-1])
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

func (s *Store) readSegment(n uint64, last bool, out *replica.RestoredState) (truncated int, err error) {
	file := fileName(_segmentPrefix, n)
	data, err := s.files.Read(file)
	if err != nil {
		return 0, fault.Wrap(fault.DataUnusable, err, "read %s", file)
	}
	offset := 0
	for offset < len(data) {
		payload, size, err := nextFrame(data[offset:])
		if errors.Is(err, errTorn) && last {
			return len(data) - offset, s.truncate(file, int64(offset))
		}
		if err != nil {
			return 0, fault.Wrap(fault.DataDamaged, err, "%s at byte %d", file, offset)
		}
		record, err := wire.UnmarshalLogRecord(payload)
		if err != nil {
			return 0, fault.Wrap(fault.DataDamaged, err, "%s at byte %d", file, offset)
		}
		if record.State != nil {
			out.State = *record.State
		}
		mergeEntries(out, record.Entries)
		out.Commit = max(out.Commit, record.Commit)
		offset += size
	}
	return 0, nil
}

func (s *Store) truncate(file string, size int64) error {
	f, err := s.files.Append(file)
	if err != nil {
		return fault.Wrap(fault.DataUnusable, err, "open %s", file)
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return fault.Wrap(fault.DataUnusable, err, "truncate %s", file)
	}
	if err := f.Sync(); err != nil {
		return fault.Wrap(fault.DataUnusable, err, "sync %s", file)
	}
	return nil
}

// mergeEntries adds a record's entries. They replace the existing entries from
// the index of the first one on. Entries that the snapshot covers are skipped.
func mergeEntries(out *replica.RestoredState, entries []replica.Entry) {
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

func checkEntriesContiguous(r replica.RestoredState) error {
	want := r.Snapshot.Index + 1
	for _, e := range r.Entries {
		if e.Index != want {
			return fault.New(fault.DataDamaged, "log entry %d is missing; the next entry is %d", want, e.Index)
		}
		want++
	}
	return nil
}

func (s *Store) openLastSegment(segments []uint64) error {
	if len(segments) == 0 {
		return s.startSegment(1, nil)
	}
	s.segmentNumber = segments[len(segments)-1]
	f, err := s.files.Append(fileName(_segmentPrefix, s.segmentNumber))
	if err != nil {
		return err
	}
	s.openSegment = f
	return nil
}

// syncRestored syncs what an earlier process wrote. If it was killed before its
// sync, this process has read what a loss of power would take away.
func (s *Store) syncRestored() error {
	if err := s.openSegment.Sync(); err != nil {
		return err
	}
	return s.files.SyncFolder()
}

// startSegment creates a segment that starts with the given frames and makes
// it the open segment.
func (s *Store) startSegment(number uint64, frames []byte) error {
	file := fileName(_segmentPrefix, number)
	f, err := s.files.Create(_temporaryPrefix + file)
	if err != nil {
		return err
	}
	if err := writeAndSync(f, frames); err != nil {
		return err
	}
	if err := s.files.Rename(_temporaryPrefix+file, file); err != nil {
		return err
	}
	if err := s.files.SyncFolder(); err != nil {
		return err
	}
	if s.openSegment != nil {
		if err := s.openSegment.Close(); err != nil {
			return err
		}
	}
	s.openSegment = f
	s.segmentNumber = number
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

// Save makes a hard state and entries durable. A commit index alone is not worth a
// write. After a failed write the contents at the end of the file are unknown, so
// every later call fails too.
func (s *Store) Save(r replica.LogRecord) error {
	if r.State == nil && len(r.Entries) == 0 {
		return nil
	}
	if s.failure != nil {
		return s.failure
	}
	s.commit = max(s.commit, r.Commit)
	payload, err := wire.MarshalLogRecord(r)
	if err != nil {
		return s.recordFailure(err, "encode a log record")
	}
	s.buf = appendFrame(s.buf[:0], payload)
	if err := writeAndSync(s.openSegment, s.buf); err != nil {
		return s.recordFailure(err, "write the log")
	}
	return nil
}

func (s *Store) recordFailure(err error, operation string) error {
	s.failure = fault.Wrap(fault.DataUnusable, err, "%s", operation)
	return s.failure
}

// SaveSnapshot makes a snapshot durable and starts a new segment with the
// hard state and the entries after the snapshot. It then removes older files.
func (s *Store) SaveSnapshot(snap replica.Snapshot, state replica.HardState, tail []replica.Entry) error {
	if s.failure != nil {
		return s.failure
	}
	if err := s.writeSnapshot(snap); err != nil {
		return s.recordFailure(err, "write a snapshot")
	}
	payload, err := wire.MarshalLogRecord(replica.LogRecord{State: &state, Entries: tail, Commit: max(s.commit, snap.Index)})
	if err != nil {
		return s.recordFailure(err, "encode a log record")
	}
	if err := s.startSegment(s.segmentNumber+1, appendFrame(nil, payload)); err != nil {
		return s.recordFailure(err, "start a log segment")
	}
	s.snapshot = snap
	if names, err := s.files.List(); err == nil {
		s.removeObsoleteFiles(names)
	}
	return nil
}

func (s *Store) writeSnapshot(snap replica.Snapshot) error {
	payload, err := wire.MarshalSnapshot(snap)
	if err != nil {
		return err
	}
	file := fileName(_snapshotPrefix, snap.Index)
	f, err := s.files.Create(_temporaryPrefix + file)
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
	if err := s.files.Rename(_temporaryPrefix+file, file); err != nil {
		return err
	}
	// A snapshot from the leader may be ahead of the old segment. The new
	// segment must not be kept without it.
	return s.files.SyncFolder()
}

// removeObsoleteFiles deletes files that the newest snapshot and segment
// replace. If a removal fails, the next call retries it.
func (s *Store) removeObsoleteFiles(names []string) {
	for _, file := range names {
		if s.isObsolete(file) {
			_ = s.files.Remove(file)
		}
	}
}

func (s *Store) isObsolete(file string) bool {
	if strings.HasPrefix(file, _temporaryPrefix) {
		return true
	}
	if n := fileNumbers([]string{file}, _snapshotPrefix); len(n) == 1 {
		return n[0] < s.snapshot.Index
	}
	if n := fileNumbers([]string{file}, _segmentPrefix); len(n) == 1 {
		return n[0] < s.segmentNumber
	}
	return false
}

// Snapshot returns the newest snapshot on disk.
func (s *Store) Snapshot() replica.Snapshot { return s.snapshot }

// Close closes the open segment.
func (s *Store) Close() error { return s.openSegment.Close() }
