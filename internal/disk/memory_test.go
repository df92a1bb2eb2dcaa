package disk

import (
	"errors"
	"maps"
	"math"
	"sort"
	"syscall"
)

var errCrash = errors.New("simulated crash")

// memoryContent holds the synced and the written bytes of a file.
type memoryContent struct {
	synced  []byte
	written []byte
	dropped [2]int // range of the written bytes that a failed sync has dropped
}

// memoryFiles is a Files in memory that fails or crashes at a chosen operation.
// After a crash it has the synced data, and as much of the unsynced data as the
// tear mode says.
type memoryFiles struct {
	files        map[string]*memoryContent                // as the running process reads the folder
	durable      map[string]*memoryContent                // as of the folder's last sync
	unsynced     []func(folder map[string]*memoryContent) // changes of the folder since its last sync
	remainingOps int                                      // operations before one fails; negative for no failure
	opError      error                                    // returned by the failing operation; nil for a crash
	capacity     int                                      // bytes that all files may have together; 0 for no limit
}

func newMemoryFiles() *memoryFiles {
	return &memoryFiles{files: make(map[string]*memoryContent), durable: make(map[string]*memoryContent), remainingOps: -1}
}

// countOp counts an operation. It returns opError or errCrash if no operation
// remains.
func (m *memoryFiles) countOp() error {
	if m.remainingOps < 0 {
		return nil
	}
	if m.remainingOps == 0 {
		if m.opError != nil {
			return m.opError
		}
		return errCrash
	}
	m.remainingOps--
	return nil
}

// tearMode says how many of a file's unsynced bytes a crash leaves.
type tearMode int

const (
	tearNone   tearMode = iota // all unsynced bytes are lost
	tearHalf                   // the first half remains
	tearZeroed                 // the length remains, the second half is zero
	tearAll                    // all bytes remain
)

// afterCrash returns the folder as the next process reads it. Each unsynced
// change of the folder may be lost or kept: it is kept if its bit is set in kept.
func (m *memoryFiles) afterCrash(t tearMode, kept uint64) *memoryFiles {
	out := newMemoryFiles()
	folder := maps.Clone(m.durable)
	for i, change := range m.unsynced {
		if kept&(1<<(i%64)) != 0 {
			change(folder)
		}
	}
	for name, c := range folder {
		data := append([]byte(nil), c.synced...)
		if len(c.written) > len(c.synced) {
			rest := c.written[len(c.synced):]
			half := len(rest) / 2
			switch t {
			case tearNone:
			case tearHalf:
				data = append(data, rest[:half]...)
			case tearZeroed:
				data = append(append(data, rest[:half]...), make([]byte, len(rest)-half)...)
			case tearAll:
				data = append(data, rest...)
			}
		}
		f := &memoryContent{synced: data, written: append([]byte(nil), data...)}
		out.files[name] = f
		out.durable[name] = f
	}
	return out
}

// free returns how many bytes can be written.
func (m *memoryFiles) free() int {
	if m.capacity == 0 {
		return math.MaxInt
	}
	used := 0
	for _, c := range m.files {
		used += len(c.written)
	}
	return max(m.capacity-used, 0)
}

func (m *memoryFiles) List() ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

type memoryFile struct {
	m *memoryFiles
	c *memoryContent
}

func (m *memoryFiles) Create(name string) (File, error) {
	if err := m.countOp(); err != nil {
		return nil, err
	}
	if m.free() == 0 {
		return nil, syscall.ENOSPC
	}
	c := &memoryContent{}
	m.changeFolder(func(folder map[string]*memoryContent) { folder[name] = c })
	return &memoryFile{m, c}, nil
}

// changeFolder changes the folder at once, and its durable state at the next
// sync.
func (m *memoryFiles) changeFolder(fn func(folder map[string]*memoryContent)) {
	fn(m.files)
	m.unsynced = append(m.unsynced, fn)
}

func (m *memoryFiles) Read(name string) ([]byte, error) {
	return append([]byte(nil), m.files[name].written...), nil
}

func (m *memoryFiles) Rename(from, to string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	c := m.files[from]
	m.changeFolder(func(folder map[string]*memoryContent) {
		folder[to] = c
		if folder[from] == c {
			delete(folder, from)
		}
	})
	return nil
}

func (m *memoryFiles) Remove(name string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	m.changeFolder(func(folder map[string]*memoryContent) { delete(folder, name) })
	return nil
}

func (m *memoryFiles) SyncFolder() error {
	if err := m.countOp(); err != nil {
		return err
	}
	m.durable = maps.Clone(m.files)
	m.unsynced = nil
	return nil
}

func (f *memoryFile) Read([]byte) (int, error) { return 0, errors.ErrUnsupported }
func (f *memoryFile) Close() error             { return nil }

// Write implements File. A write that fails has written a part.
func (f *memoryFile) Write(p []byte) (int, error) {
	if err := f.m.countOp(); err != nil {
		if errors.Is(err, errCrash) {
			f.c.written = append(f.c.written, p...) // a crash may leave the data on the disk
			return 0, err
		}
		f.c.written = append(f.c.written, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	n := min(len(p), f.m.free())
	f.c.written = append(f.c.written, p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Sync implements File. Like operating systems do, a sync that fails drops the data:
// it can still be read, and the next sync succeeds without writing it.
func (f *memoryFile) Sync() error {
	if err := f.m.countOp(); err != nil {
		if !errors.Is(err, errCrash) && f.c.dropped[1] < len(f.c.written) {
			f.c.dropped = [2]int{len(f.c.synced), len(f.c.written)}
		}
		return err
	}
	f.c.synced = append([]byte(nil), f.c.written...)
	clear(f.c.synced[min(f.c.dropped[0], len(f.c.synced)):min(f.c.dropped[1], len(f.c.synced))])
	return nil
}
