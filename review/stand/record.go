package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// record is the list of what was sent, answered and run. It is safe for concurrent
// use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: clock.Now()}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", clock.Now().Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() error { return r.file.Close() }
