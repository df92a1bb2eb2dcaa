// Package disk stores a controller's replicated log and snapshots in one folder.
//
// The log is a sequence of segments, files of checksummed frames. Each frame is
// written with one write and synced before the next, so a crash can tear only
// the last frame of the last segment. Open leaves out that frame, and rewrites the
// log to a new segment. Open rejects damage anywhere else, since it means that acknowledged data is lost. A
// snapshot is written to a temporary file, synced and renamed.
//
// A full disk (see IsFull) may reject any change of the folder. Open and Reopen
// may then be called again until they succeed: they lose nothing.
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
	_rewriteBytes    = 1 << 20 // entry data in one record when Open rewrites the log
)

// Store is the durable state of one replica. One goroutine owns it.
type Store struct {
	files         Files
	openSegment   File
	segmentNumber uint64 // of openSegment
	failure       error  // first failed write; later writes return it
	failedSize    int    // bytes of that write
	snapshot      replica.Snapshot
	commit        uint64 // highest commit index that was saved
	buf           []byte
}

// Open restores the state from the folder and makes all of it durable. It leaves out
// a torn last frame and returns the number of its bytes.
func Open(files Files) (*Store, replica.RestoredState, int, error) {
	s := &Store{files: files}
	restored, torn, err := s.open()
	if err != nil {
		return nil, replica.RestoredState{}, 0, err
	}
	return s, restored, torn, nil
}

func (s *Store) open() (replica.RestoredState, int, error) {
	names, err := s.files.List()
	if err != nil {
		return replica.RestoredState{}, 0, fault.Wrap(fault.DataUnusable, err, "list the data folder")
	}
	s.removeObsoleteFiles(temporaryFiles(names))
	var restored replica.RestoredState
	if restored.Snapshot, err = s.readSnapshot(names); err != nil {
		return replica.RestoredState{}, 0, err
	}
	s.snapshot = restored.Snapshot
	segments := fileNumbers(names, _segmentPrefix)
	torn, err := s.readLog(segments, &restored)
	if err != nil {
		return replica.RestoredState{}, 0, err
	}
	restored.Commit = max(restored.Commit, restored.Snapshot.Index)
	s.commit = restored.Commit
	if err := checkEntriesContiguous(restored); err != nil {
		return replica.RestoredState{}, 0, err
	}
	if err := s.removeReplacedFiles(names); err != nil {
		return replica.RestoredState{}, 0, fault.Wrap(fault.DataUnusable, err, "sync the data folder")
	}
	if err := s.rewriteLog(restored); err != nil {
		return replica.RestoredState{}, 0, fault.Wrap(fault.DataUnusable, err, "rewrite the log")
	}
	s.removeObsoleteFiles(names)
	return restored, torn, nil
}

// Reopen opens the folder again after IsFull errors. It first removes obsolete
// files, and checks that headroom bytes can be written and synced.
func Reopen(files Files, headroom int) (*Store, replica.RestoredState, int, error) {
	names, err := files.List()
	if err != nil {
		return nil, replica.RestoredState{}, 0, fault.Wrap(fault.DataUnusable, err, "list the data folder")
	}
	s := &Store{files: files}
	if all := fileNumbers(names, _snapshotPrefix); len(all) > 0 {
		s.snapshot.Index = all[len(all)-1]
	}
	if all := fileNumbers(names, _segmentPrefix); len(all) > 0 {
		s.segmentNumber = all[len(all)-1]
	}
	s.removeObsoleteFiles(temporaryFiles(names))
	if err := s.removeReplacedFiles(names); err != nil {
		return nil, replica.RestoredState{}, 0, fault.Wrap(fault.DataUnusable, err, "sync the data folder")
	}
	if err := writeProbe(files, headroom); err != nil {
		return nil, replica.RestoredState{}, 0, fault.Wrap(fault.DataUnusable, err, "write a probe")
	}
	return Open(files)
}

// writeProbe writes and syncs a file of the size, and removes it.
func writeProbe(files Files, size int) error {
	const name = _temporaryPrefix + "probe"
	f, err := files.Create(name)
	if err != nil {
		return err
	}
	err = writeAndSync(f, make([]byte, size))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if removeErr := files.Remove(name); err == nil {
		err = removeErr
	}
	return err
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

// readLog adds the segments' records to out. Segments before the last one that
// starts with a whole log are replaced, and may have an end that was never synced.
// readLog returns the number of bytes after the last segment's complete frames.
func (s *Store) readLog(segments []uint64, out *replica.RestoredState) (torn int, err error) {
	var contents [][]byte // from the last segment on
	for i := len(segments) - 1; i >= 0; i-- {
		file := fileName(_segmentPrefix, segments[i])
		data, err := s.files.Read(file)
		if err != nil {
			return 0, fault.Wrap(fault.DataUnusable, err, "read %s", file)
		}
		contents = append(contents, data)
		if startsWithLog(data) {
			break
		}
	}
	for i := len(contents) - 1; i >= 0; i-- {
		s.segmentNumber = segments[len(segments)-1-i]
		if torn, err = readSegment(fileName(_segmentPrefix, s.segmentNumber), contents[i], i == 0, out); err != nil {
			return 0, err
		}
	}
	return torn, nil
}

// startsWithLog reports whether a segment starts with the whole log after the
// snapshot, as all but the first one of a folder do. Its first record then has the
// hard state, and what follows was synced before the segment got its name.
func startsWithLog(data []byte) bool {
	payload, _, err := nextFrame(data)
	if err != nil {
		return false
	}
	record, err := wire.UnmarshalLogRecord(payload)
	return err == nil && record.State != nil
}

// readSegment adds a segment's records to out. It returns the number of bytes after
// the complete frames, which only the last segment may have.
func readSegment(file string, data []byte, last bool, out *replica.RestoredState) (torn int, err error) {
	offset := 0
	for offset < len(data) {
		payload, size, err := nextFrame(data[offset:])
		if errors.Is(err, errTorn) && last {
			return len(data) - offset, nil
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

// rewriteLog starts a segment with the restored log. What has been read need not
// be durable: an earlier process may have been killed before its sync, and after a
// failed sync the operating system may return written data that a later sync does
// not write to the disk.
func (s *Store) rewriteLog(restored replica.RestoredState) error {
	if s.segmentNumber == 0 {
		return s.startSegment(1, nil)
	}
	frames, err := appendLog(nil, restored)
	if err != nil {
		return err
	}
	return s.startSegment(s.segmentNumber+1, frames)
}

// appendLog appends the frames of a whole log. Each has about _rewriteBytes of entries, so
// that encoding them takes little memory beside the result.
func appendLog(frames []byte, restored replica.RestoredState) ([]byte, error) {
	record := replica.LogRecord{State: &restored.State, Commit: restored.Commit}
	for rest := restored.Entries; ; {
		n, bytes := 0, 0
		for n < len(rest) && bytes < _rewriteBytes {
			bytes += len(rest[n].Data)
			n++
		}
		record.Entries, rest = rest[:n], rest[n:]
		payload, err := wire.MarshalLogRecord(record)
		if err != nil {
			return nil, err
		}
		frames = appendFrame(frames, payload)
		if len(rest) == 0 {
			return frames, nil
		}
		record = replica.LogRecord{}
	}
}

// startSegment creates a segment that starts with the given frames and makes
// it the open segment.
func (s *Store) startSegment(number uint64, frames []byte) error {
	file := fileName(_segmentPrefix, number)
	f, err := s.files.Create(_temporaryPrefix + file)
	if err != nil {
		return err
	}
	err = writeAndSync(f, frames)
	if err == nil {
		err = s.files.Rename(_temporaryPrefix+file, file)
	}
	if err == nil {
		err = s.files.SyncFolder()
	}
	if err == nil && s.openSegment != nil {
		err = s.openSegment.Close()
		s.openSegment = nil
	}
	if err != nil {
		_ = f.Close()
		return err
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
		return s.recordFailure(err, 0, "encode a log record")
	}
	s.buf = appendFrame(s.buf[:0], payload)
	if err := writeAndSync(s.openSegment, s.buf); err != nil {
		return s.recordFailure(err, len(s.buf), "write the log")
	}
	return nil
}

func (s *Store) recordFailure(err error, size int, operation string) error {
	s.failure = fault.Wrap(fault.DataUnusable, err, "%s", operation)
	s.failedSize = size
	return s.failure
}

// FailedSize returns the number of bytes of the first write that failed; 0 if none
// has.
func (s *Store) FailedSize() int { return s.failedSize }

// SaveSnapshot makes a snapshot durable and starts a new segment with the
// hard state and the entries after the snapshot. It then removes older files.
func (s *Store) SaveSnapshot(snap replica.Snapshot, state replica.HardState, tail []replica.Entry) error {
	if s.failure != nil {
		return s.failure
	}
	payload, err := wire.MarshalLogRecord(replica.LogRecord{State: &state, Entries: tail, Commit: max(s.commit, snap.Index)})
	if err != nil {
		return s.recordFailure(err, 0, "encode a log record")
	}
	size := len(snap.Data) + len(payload)
	if err := s.writeSnapshot(snap); err != nil {
		return s.recordFailure(err, size, "write a snapshot")
	}
	if err := s.startSegment(s.segmentNumber+1, appendFrame(nil, payload)); err != nil {
		return s.recordFailure(err, size, "start a log segment")
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

func temporaryFiles(names []string) []string {
	var out []string
	for _, file := range names {
		if strings.HasPrefix(file, _temporaryPrefix) {
			out = append(out, file)
		}
	}
	return out
}

// removeReplacedFiles deletes obsolete files after making the names of the files
// that replace them durable.
func (s *Store) removeReplacedFiles(names []string) error {
	if err := s.files.SyncFolder(); err != nil {
		return err
	}
	s.removeObsoleteFiles(names)
	return nil
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
func (s *Store) Close() error {
	if s.openSegment == nil {
		return nil
	}
	return s.openSegment.Close()
}
