package disk

import (
	"io"
	"os"
	"sort"
)

// File is an open file of the data folder.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	// Sync makes written data durable.
	Sync() error
}

// Files is the file layer below a Store. Tests replace it with one that fails
// or stops at a chosen operation.
type Files interface {
	// List returns the names in the folder, sorted.
	List() ([]string, error)
	// Create makes an empty file and replaces an existing one of that name.
	Create(name string) (File, error)
	// Read returns a file's contents.
	Read(name string) ([]byte, error)
	// Rename moves a file over another.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
}

// Folder implements Files for a folder of the operating system.
type Folder struct {
	path string
}

var _ Files = Folder{}

// OpenFolder opens a folder and creates it if it does not exist.
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return Folder{}, err
	}
	return Folder{path: path}, nil
}

func (f Folder) join(name string) string { return f.path + string(os.PathSeparator) + name }

// List implements Files.
func (f Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Create implements Files.
func (f Folder) Create(name string) (File, error) {
	return os.OpenFile(f.join(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Read implements Files.
func (f Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.join(name)) }

// Rename implements Files.
func (f Folder) Rename(from, to string) error { return os.Rename(f.join(from), f.join(to)) }

// Remove implements Files.
func (f Folder) Remove(name string) error { return os.Remove(f.join(name)) }

// SyncFolder implements Files.
func (f Folder) SyncFolder() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
