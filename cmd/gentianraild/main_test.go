package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
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
		reload  bool    // a signal to reload is waiting at the start
		stop    int     // attempt during which a signal to stop arrives; 0 for none
		want    error
		starts  int // attempts at least
	}{
		{"space at once", []error{nil}, false, 0, nil, 1},
		{"space later", []error{full, errors.Join(full, errors.New("stop")), nil}, false, 0, nil, 3},
		{"broken", []error{broken}, false, 0, broken, 1},
		{"full, then broken", []error{full, broken}, false, 0, broken, 2},
		{"full until a signal", []error{full}, true, 2, nil, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			received := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
			if tc.reload {
				received.reload <- syscall.SIGHUP
			}
			started := &daemon.Daemon{}
			attempts := 0
			var last error
			began := time.Now()
			d, err := start(func() (*daemon.Daemon, error) {
				last = tc.results[min(attempts, len(tc.results)-1)]
				attempts++
				if attempts == tc.stop {
					received.stop <- syscall.SIGTERM
				}
				if last != nil {
					return nil, last
				}
				return started, nil
			}, event.Log{}, received)
			if !errors.Is(err, tc.want) || (err == nil) != (tc.want == nil) || (d == started) != (last == nil) {
				t.Errorf("got %v, %v, want the error %v", d, err, tc.want)
			}
			if attempts < tc.starts || time.Since(began) > 30*time.Second {
				t.Errorf("%d attempts in %s, want %d", attempts, time.Since(began), tc.starts)
			}
		})
	}
}

// TestStopIsNotLostBesideReloads guards against a process that can't be stopped because a
// signal to stop arrives while one to reload has not been taken.
func TestStopIsNotLostBesideReloads(t *testing.T) {
	dir := t.TempDir()
	binary, file := filepath.Join(dir, "gentianraild"), filepath.Join(dir, "settings.json")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	text := `{"name": "target", "zone": "z", "roles": [], "sample": {"address": "127.0.0.1:0", "targets": ["sample"]}, "drain_timeout": "1s"}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		cmd := exec.Command(binary, "--config", file)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		// The first line follows the setup of the handlers.
		if _, err := bufio.NewReader(out).ReadString('\n'); err != nil {
			t.Error(err)
		}
		for range 50 {
			_ = cmd.Process.Signal(syscall.SIGHUP)
		}
		_ = cmd.Process.Signal(syscall.SIGTERM)
		limit := time.AfterFunc(20*time.Second, func() { _ = cmd.Process.Kill() })
		if err := cmd.Wait(); err != nil {
			t.Fatalf("the process did not stop: %v", err)
		}
		limit.Stop()
	}
}
