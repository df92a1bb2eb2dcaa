package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// record is the record of a run: what was sent, answered and run, each with the time since
// the start.
type record struct {
	began time.Time
	file  *os.File

	mu  sync.Mutex
	buf *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: clock.Now(), file: f, buf: bufio.NewWriter(f)}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.buf, "%7.3f %s\n", since(r.began).Seconds(), fmt.Sprintf(format, args...))
	r.buf.Flush()
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buf.Flush()
	r.file.Close()
}
