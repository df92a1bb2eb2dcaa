// Package e2e tests the programs as separate processes on loopback.
package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Addresses of examples/three-zones.
var (
	_entries   = []string{"http://127.0.0.1:8600", "http://127.0.0.1:8605"}
	_operators = []string{"http://127.0.0.1:8601", "http://127.0.0.1:8602", "http://127.0.0.1:8603"}
	_targets   = []string{"http://127.0.0.1:8631", "http://127.0.0.1:8632", "http://127.0.0.1:8633"}
)

// _processNames are the processes of examples/three-zones in start order.
var _processNames = []string{
	"controller_1", "controller_2", "controller_3", "target_1", "target_2", "target_3",
	"agent_1", "agent_2", "agent_3", "entry_1", "entry_2",
}

// cluster is the running three-zone example. The test can stop and signal each
// process.
type cluster struct {
	t     *testing.T
	dir   string
	log   *os.File
	procs map[string]*exec.Cmd
}

func startCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: copyProject(t), log: newProcessLog(t), procs: make(map[string]*exec.Cmd)}
	build := exec.Command("go", "build", "-o", "bin/", "./cmd/...")
	build.Dir = c.dir
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	t.Cleanup(func() {
		for name := range c.procs {
			c.killProcess(name)
		}
	})
	for _, name := range _processNames {
		c.startProcess(name)
	}
	c.waitReady()
	c.runTool("apply", "-f", "examples/catalogue")
	return c
}

func (c *cluster) startProcess(name string) {
	c.t.Helper()
	cmd := exec.Command(filepath.Join(c.dir, "bin/gentianraild"), "--config", filepath.Join(c.dir, "examples/three-zones", name+".json"))
	cmd.Stderr = c.log
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.procs[name] = cmd
}

// killProcess kills a process and waits for its end.
func (c *cluster) killProcess(name string) {
	if cmd := c.procs[name]; cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(c.procs, name)
	}
}

// stopProcess asks a process to drain and waits for its end.
func (c *cluster) stopProcess(name string) {
	c.t.Helper()
	cmd := c.procs[name]
	delete(c.procs, name)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		c.t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			c.t.Errorf("%s ended with %v", name, err)
		}
	case <-time.After(time.Minute):
		_ = cmd.Process.Kill()
		c.t.Errorf("%s did not end", name)
	}
}

func (c *cluster) signalProcess(name string, s syscall.Signal) {
	c.t.Helper()
	if err := c.procs[name].Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) runTool(args ...string) string {
	c.t.Helper()
	cmd := exec.Command(filepath.Join(c.dir, "bin/gentianrail"), args...)
	cmd.Dir = c.dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		c.t.Fatalf("gentianrail %s: %v\n%s", strings.Join(args, " "), err, out)
	}
	return string(out)
}

// waitReady waits until entries and controllers are ready and all workers open.
func (c *cluster) waitReady() {
	c.t.Helper()
	waitReady(c.t, _entries[0]+"/readyz", _entries[1]+"/readyz", _operators[0]+"/readyz", _operators[1]+"/readyz", _operators[2]+"/readyz")
	eventually(c.t, "three workers", func() error {
		var doc struct{ Workers []struct{ State string } }
		if err := getJSON(_operators[0]+"/v1/workers", &doc); err != nil {
			return err
		}
		open := 0
		for _, w := range doc.Workers {
			if w.State == "open" {
				open++
			}
		}
		if open != 3 {
			return fmt.Errorf("%d workers are open", open)
		}
		return nil
	})
}

// leader returns the name of the leading controller.
func (c *cluster) leader() string {
	c.t.Helper()
	var leader string
	eventually(c.t, "a leader", func() error {
		for _, op := range _operators {
			var doc struct {
				Members []struct {
					ID     string
					Leader bool
				}
			}
			if err := getJSON(op+"/v1/status", &doc); err != nil {
				continue
			}
			for _, m := range doc.Members {
				if m.Leader {
					leader = m.ID
					return nil
				}
			}
		}
		return fmt.Errorf("no controller reports a leader")
	})
	return leader
}

var _client = &http.Client{Timeout: 30 * time.Second}

func getJSON(url string, out any) error {
	resp, err := _client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, body)
	}
	return json.Unmarshal(body, out)
}

// eventually retries for a minute, far longer than a healthy run needs.
func eventually(t *testing.T, what string, try func() error) {
	t.Helper()
	var err error
	for range 600 {
		if err = try(); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("%s: %v", what, err)
}

// totalRuns returns how many requests the targets have run, without the requests
// of totalRuns itself, which it counts in probes.
func totalRuns(t *testing.T, probes *int) int {
	t.Helper()
	total := 0
	for _, target := range _targets {
		var doc struct{ Run int }
		if err := getJSON(target+"/count", &doc); err != nil {
			t.Fatal(err)
		}
		*probes++
		total += doc.Run
	}
	return total - *probes
}

// answer is a caller's result of one request.
type answer struct {
	status int
	ran    string // header Gentianrail-Ran
	body   string
	err    error
}

func postConfirm(entry, key string) answer {
	req, err := http.NewRequest(http.MethodPost, entry+"/v1/services/quotes/confirm", strings.NewReader("one mattress"))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Idempotency-Key", key)
	resp, err := _client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, ran: resp.Header.Get("Gentianrail-Ran"), body: string(body), err: err}
}
