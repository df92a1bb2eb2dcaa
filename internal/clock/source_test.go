package clock

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// _timeNowFiles may call time.Now. Everything else uses this package: time.Now
// stops while a machine is suspended, and its wall clock may step. The note "Time"
// in docs/design lists what a step does to each.
var _timeNowFiles = []string{
	"internal/agent/agent.go",           // rate limit of renewals
	"internal/agent/body.go",            // progress of bodies, compared with request deadlines
	"internal/agent/claims.go",          // request deadlines, which contexts use
	"internal/agent/gate.go",            // request deadlines
	"internal/agent/serve.go",           // request deadlines
	"internal/agent/tasks.go",           // timeout of a start
	"internal/clock/clock.go",           // fallback without a boot clock
	"internal/controller/controller.go", // random seed
	"internal/controller/forecast.go",   // own wall clock, as in rounds.go
	"internal/controller/rounds.go",     // own wall clock, for the majority
	"internal/daemon/daemon.go",         // first agent incarnation
	"internal/daemon/platform.go",       // durations of requests
	"internal/entry/entry.go",           // random seed
	"internal/entry/service.go",         // request deadlines and durations
	"internal/entry/upstream.go",        // durations of requests
	"internal/entry/watch.go",           // request deadlines and durations
	"internal/event/event.go",           // rate limit of log lines
	"internal/inbound/budget.go",        // progress of messages, compared with deadlines of connections
	"internal/inbound/listener.go",      // progress of connections
	"internal/inbound/observer.go",      // rate limit of log lines
	"internal/link/server.go",           // deadlines of connections
	"internal/load/load.go",             // durations of requests
	"internal/runner/report.go",         // own wall clock, for the majority
	"internal/sample/sample.go",         // the sample target's clock
	"internal/tool/catalogue.go",        // timeout of a command
	"internal/tool/jobs.go",             // timeout of a command
	"internal/web/body.go",              // deadlines of connections
	"internal/web/gate.go",              // deadlines of connections
}

func TestOnlyListedFilesCallTimeNow(t *testing.T) {
	root := filepath.Join("..", "..")
	var found []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if strings.Contains(string(data), "time.Now()") {
			name, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			found = append(found, filepath.ToSlash(name))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range found {
		if !slices.Contains(_timeNowFiles, name) {
			t.Errorf("%s calls time.Now instead of clock.Now", name)
		}
	}
	for _, name := range _timeNowFiles {
		if !slices.Contains(found, name) {
			t.Errorf("%s is listed and does not call time.Now", name)
		}
	}
}
