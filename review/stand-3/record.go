package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// record writes what was sent, answered and run, each line with the seconds since the start.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: clock.Now(), file: f}, nil
}

// since returns the time since the start of the record.
func (r *record) since() time.Duration { return since(r.began) }

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", r.since().Seconds(), fmt.Sprintf(format, args...))
}
