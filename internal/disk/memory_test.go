package disk

import (
	"errors"
	"maps"
	"sort"
)

var errCrash = errors.New("the machine has stopped")

// content is a file's bytes: what is synced, and what is written.
type content struct {
	synced  []byte
	written []byte
}

// memory is a Files that stops at a chosen operation. After a crash it has
// what was synced, and of the rest as much as the crash mode says.
type memory struct {
	files   map[string]*content                // as the running process sees the folder
	durable map[string]*content                // as of the folder's last sync
	pending []func(folder map[string]*content) // changes of the folder since then
	left    int                                // operations until the crash; negative for never
	failing error                              // returned by the operation that is reached; nil for a crash
}

func newMemory() *memory {
	return &memory{files: make(map[string]*content), durable: make(map[string]*content), left: -1}
}

// step counts an operation and reports whether it is the last.
func (m *memory) step() error {
	if m.left < 0 {
		return nil
	}
	if m.left == 0 {
		if m.failing != nil {
			return m.failing
		}
		return errCrash
	}
	m.left--
	return nil
}

// tear says how much of unsynced bytes a crash leaves.
type tear int

const (
	tearNone   tear = iota // all unsynced bytes are lost
	tearHalf               // the first half is there
	tearZeroed             // the length is there, the second half is zero
	tearAll                // all bytes are there
)

// crash returns the folder as the next process finds it. Of the changes of
// the folder that were not synced, any may be there: those whose bit is set in
// kept are.
func (m *memory) crash(t tear, kept uint64) *memory {
	out := newMemory()
	folder := maps.Clone(m.durable)
	for i, change := range m.pending {
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
		f := &content{synced: data, written: append([]byte(nil), data...)}
		out.files[name] = f
		out.durable[name] = f
	}
	return out
}

func (m *memory) List() ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

type memoryFile struct {
	m *memory
	c *content
}

func (m *memory) Create(name string) (File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	c := &content{}
	m.change(func(folder map[string]*content) { folder[name] = c })
	return &memoryFile{m, c}, nil
}

// change changes the folder now, and on the disk at its next sync.
func (m *memory) change(fn func(folder map[string]*content)) {
	fn(m.files)
	m.pending = append(m.pending, fn)
}

func (m *memory) Append(name string) (File, error) { return &memoryFile{m, m.files[name]}, nil }

func (m *memory) Read(name string) ([]byte, error) {
	return append([]byte(nil), m.files[name].written...), nil
}

func (m *memory) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	c := m.files[from]
	m.change(func(folder map[string]*content) {
		folder[to] = c
		if folder[from] == c {
			delete(folder, from)
		}
	})
	return nil
}

func (m *memory) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.change(func(folder map[string]*content) { delete(folder, name) })
	return nil
}

func (m *memory) SyncFolder() error {
	if err := m.step(); err != nil {
		return err
	}
	m.durable = maps.Clone(m.files)
	m.pending = nil
	return nil
}

func (f *memoryFile) Read([]byte) (int, error) { return 0, errors.ErrUnsupported }
func (f *memoryFile) Close() error             { return nil }

func (f *memoryFile) Write(p []byte) (int, error) {
	if err := f.m.step(); err != nil {
		if errors.Is(err, errCrash) {
			f.c.written = append(f.c.written, p...) // may have reached the disk
		}
		return 0, err
	}
	f.c.written = append(f.c.written, p...)
	return len(p), nil
}

func (f *memoryFile) Sync() error {
	if err := f.m.step(); err != nil {
		return err
	}
	f.c.synced = append([]byte(nil), f.c.written...)
	return nil
}

func (f *memoryFile) Truncate(size int64) error {
	if err := f.m.step(); err != nil {
		return err
	}
	f.c.written = f.c.written[:size]
	f.c.synced = f.c.synced[:min(int(size), len(f.c.synced))]
	return nil
}
