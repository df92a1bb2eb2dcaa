package main

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/daemon"
	"github.com/gentianrail/gentianrail/internal/event"
)

// TestStartWaitsForSpace guards against a process that ends because its disk is full, that
// waits for a disk with another fault, or that cannot be stopped while it waits.
func TestStartWaitsForSpace(t *testing.T) {
	full := fault.Wrap(fault.DataUnusable, fmt.Errorf("create lock: %w", syscall.ENOSPC), "lock the data folder")
	broken := fault.Wrap(fault.DataUnusable, syscall.EIO, "open the data folder")
	for _, tc := range []struct {
		name    string
		results []error // of the attempts; the last one repeats
		signals []os.Signal
		want    error
		starts  int // attempts at least
	}{
		{"space at once", []error{nil}, nil, nil, 1},
		{"space later", []error{full, errors.Join(full, errors.New("stop")), nil}, nil, nil, 3},
		{"broken", []error{broken}, nil, broken, 1},
		{"full, then broken", []error{full, broken}, nil, broken, 2},
		{"full until a signal", []error{full}, []os.Signal{syscall.SIGHUP, syscall.SIGTERM}, nil, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			signals := make(chan os.Signal, 2)
			for _, s := range tc.signals {
				signals <- s
			}
			started := &daemon.Daemon{}
			attempts := 0
			var last error
			began := time.Now()
			d, err := start(func() (*daemon.Daemon, error) {
				last = tc.results[min(attempts, len(tc.results)-1)]
				attempts++
				if last != nil {
					return nil, last
				}
				return started, nil
			}, event.Log{}, signals)
			if !errors.Is(err, tc.want) || (err == nil) != (tc.want == nil) || (d == started) != (last == nil) {
				t.Errorf("got %v, %v, want the error %v", d, err, tc.want)
			}
			if attempts < tc.starts || time.Since(began) > 30*time.Second {
				t.Errorf("%d attempts in %s, want %d", attempts, time.Since(began), tc.starts)
			}
		})
	}
}
