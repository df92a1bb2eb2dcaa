package e2e

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// singleProcess is a daemon with all roles, run with examples/single.json.
type singleProcess struct {
	t   *testing.T
	dir string
	cmd *exec.Cmd
}

func startSingleProcess(t *testing.T) *singleProcess {
	t.Helper()
	s := &singleProcess{t: t, dir: copyProject(t)}
	build := exec.Command("go", "build", "-o", "bin/", "./cmd/...")
	build.Dir = s.dir
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	s.startDaemon()
	t.Cleanup(func() { _ = s.cmd.Process.Kill() })
	return s
}

func (s *singleProcess) daemonCommand(settings string) *exec.Cmd {
	return exec.Command(filepath.Join(s.dir, "bin/gentianraild"), "--config", filepath.Join(s.dir, "examples", settings))
}

func (s *singleProcess) startDaemon() {
	s.t.Helper()
	s.cmd = s.daemonCommand("single.json")
	s.cmd.Stderr = newProcessLog(s.t)
	if err := s.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	waitReady(s.t, _entries[0]+"/readyz", _operators[0]+"/readyz")
}

// runTool runs the command-line tool and returns its exit code and output.
func (s *singleProcess) runTool(args ...string) (int, string) {
	s.t.Helper()
	cmd := exec.Command(filepath.Join(s.dir, "bin/gentianrail"), args...)
	cmd.Dir = s.dir
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		s.t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

func (s *singleProcess) writeFile(name, text string) {
	s.t.Helper()
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

const _entryTemplate = `{"name": "quotes", "owner": "workshop", "class": "%s", "target": "sample", "version": %d,
	"limits": {"cpu": "%s"}, "objective": {"ratio": 0.99, "latency": "1s"}}`

// TestToolExitCodesAndOutput checks the exit codes and output that scripts get
// from the tool. The commands run in order against one daemon.
func TestToolExitCodesAndOutput(t *testing.T) {
	s := startSingleProcess(t)
	s.writeFile("new.json", fmt.Sprintf(_entryTemplate, "service", 9, "1"))
	s.writeFile("racing.json", fmt.Sprintf(_entryTemplate, "service", 9, "2"))
	s.writeFile("bad.json", fmt.Sprintf(_entryTemplate, "cron", 9, "one"))
	s.writeFile("huge.json", strings.Replace(fmt.Sprintf(_entryTemplate, "batch", 1, "200"), "quotes", "huge", 1))
	for _, tc := range []struct {
		args string
		exit int
		want string
	}{
		{"version", 0, "0."},
		{"validate -f examples/catalogue", 0, "3 declarations are valid"},
		{"validate -f bad.json", 2, `bad.json: limits.cpu: "one" is not a count of cores`},
		{"validate -f none.json", 2, "none.json"},
		{"diff -f examples/catalogue", 6, "quotes (examples/catalogue/quotes.json):"},
		{"apply -f examples/catalogue --dry-run", 0, "created (dry run)"},
		{"get quotes", 4, "entry_not_found"},
		{"apply -f examples/catalogue", 0, "created"},
		{"apply -f examples/catalogue", 0, "unchanged"},
		{"diff -f examples/catalogue", 0, ""},
		{"apply -f new.json", 0, "changed"},
		{"apply -f racing.json", 3, "racing.json: entry \"quotes\": version 9 was declared with other content than version 9"},
		{"apply -f huge.json", 2, "found a task that could never run"},
		{"-o json get", 0, `"name": "batting_stock"`},
		{"describe entry quotes", 0, "VERDICT"},
		{"status", 0, "controller_1"},
		{"-o json workers", 0, `"id": "worker_1"`},
		{"tasks", 0, "ATTEMPT"},
		{"drain worker_9", 4, "worker_not_found"},
		{"drain", 2, "expected one worker"},
		{"jobs submit none", 4, "entry_not_found"},
		{"jobs submit quotes", 2, "wrong_class"},
		{"jobs result none", 4, "job_not_found"},
		{"jobs cancel none", 4, "job_not_found"},
		{"delete quotes --version 3", 3, "version_conflict"},
		{"apply -f new.json --prune", 0, "deleted"},
		{"delete quotes", 0, "deleted"},
		{"apply -f new.json", 3, "version 9 was deleted"},
		{"queues list", 0, "version 0"},
		{"submissions submit -f examples/submissions/plan.json", 4, "no queue"},
		{"explain submission -f examples/submissions/plan.json", 0, "submission plan-2026-12-04 would be rejected now: no queue"},
		{"queues apply -f examples/submissions/plan.json", 2, "queues"},
		{"queues apply -f examples/submissions/queues.json", 0, "cutting_plans"},
		{"queues apply -f examples/submissions/queues.json", 0, "version 1"},
		{"-o json queues list", 0, `"prefix": "/plans/"`},
		{"submissions submit -f examples/submissions/queues.json", 2, "submission"},
		{"submissions submit -f none.json", 2, "none.json"},
		{"explain submission -f examples/submissions/queues.json", 2, "submission"},
		{"explain submission -f examples/submissions/plan.json", 0, "step 1: waits for the steps that it depends on"},
		{"-o json explain submission -f examples/submissions/plan.json", 0, `"age_ms": `},
		{"submissions describe plan-2026-12-04", 4, "job_not_found"},
		{"submissions submit -f examples/submissions/plan.json", 0, "queued"},
		{"submissions submit -f examples/submissions/plan.json", 0, "queued"},
		{"submissions list --queue cutting_plans", 0, "0/12"},
		{"explain submission -f examples/submissions/plan.json", 0, "was accepted before"},
		{"submissions describe plan-2026-12-04", 0, "OCCURRENCE"},
		{"submissions cancel plan-2026-12-04", 0, "cancelled"},
		{"submissions describe none", 4, "job_not_found"},
		{"logs explain", 2, "expected a submission"},
		{"logs explain none none.log", 2, "none.log"},
		{"logs explain none README.md", 4, "names the submission"},
		{"load http://198.51.100.1/", 2, "loopback"},
		{"load --rate 50 --duration 1s http://127.0.0.1:8630/price", 0, "sent 50, answered 50"},
		{"evacuate", 2, "expected one zone"},
		{"evacuate zone_a", 0, "zone zone_a is evacuated"},
		{"evacuate zone_a", 0, "zone zone_a is evacuated"},
		{"evacuations", 0, "zone_a"},
		{"workers", 0, "evacuated"},
		{"-o json evacuations", 0, `"zone": "zone_a"`},
		{"evacuate --undo zone_a", 0, "zone zone_a is open"},
		{"-o json evacuations", 0, `"evacuations": []`},
		{"--server 127.0.0.1:1 status", 5, "no_leader"},
		{"-o xml status", 1, "allowed are table and json"},
	} {
		exit, out := s.runTool(strings.Fields(tc.args)...)
		if exit != tc.exit || !strings.Contains(out, tc.want) {
			t.Errorf("gentianrail %s: exit code %d, want %d; printed\n%swant %q", tc.args, exit, tc.exit, out, tc.want)
		}
	}
}

// TestDataFolderLockAndRecovery checks that a second process cannot use a data
// folder, and that the state survives a kill of the process.
func TestDataFolderLockAndRecovery(t *testing.T) {
	s := startSingleProcess(t)
	if exit, out := s.runTool("apply", "-f", "examples/catalogue"); exit != 0 {
		t.Fatal(out)
	}
	text, err := os.ReadFile(filepath.Join(s.dir, "examples/single.json"))
	if err != nil {
		t.Fatal(err)
	}
	s.writeFile("examples/other_ports.json", strings.ReplaceAll(string(text), "127.0.0.1:86", "127.0.0.1:87"))
	out, err := s.daemonCommand("other_ports.json").CombinedOutput()
	if err == nil || !strings.Contains(string(out), "data_locked") {
		t.Errorf("a second process on the data folder: %v\n%s", err, out)
	}
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait()
	s.startDaemon()
	if exit, out := s.runTool("get", "quotes"); exit != 0 || !strings.Contains(out, `"version": 1`) {
		t.Errorf("after a kill: exit code %d\n%s", exit, out)
	}
}

// TestSecondSignalSkipsDrain checks that the daemon waits for a request in flight
// after one signal, and ends without waiting after a second one.
func TestSecondSignalSkipsDrain(t *testing.T) {
	s := startSingleProcess(t)
	if exit, out := s.runTool("apply", "-f", "examples/catalogue"); exit != 0 {
		t.Fatal(out)
	}
	done := make(chan error, 1)
	go func() {
		_, err := _client.Get(_entries[0] + "/v1/services/quotes/price?delay_ms=1500")
		done <- err
	}()
	time.Sleep(500 * time.Millisecond)
	_ = s.cmd.Process.Signal(syscall.SIGTERM)
	if err := <-done; err != nil {
		t.Errorf("a request in flight at the signal: %v", err)
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("the daemon ended with %v", err)
	}
	s.startDaemon()
	go func() {
		resp, err := _client.Get(_entries[0] + "/v1/watches/batting_stock/cotton")
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	ended := make(chan error, 1)
	go func() { ended <- s.cmd.Wait() }()
	_ = s.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	_ = s.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(time.Minute):
		t.Error("the daemon did not end at the second signal")
	}
}

// TestJobKeysPagesAndCatalogueWatch checks that a key submits a job once, that
// pages list all jobs, and that a watch of the catalogue shows each declaration.
func TestJobKeysPagesAndCatalogueWatch(t *testing.T) {
	s := startSingleProcess(t)
	var list struct{ Revision uint64 }
	if err := getJSON(_operators[0]+"/v1/catalogue/entries", &list); err != nil {
		t.Fatal(err)
	}
	resp, err := http.Get(fmt.Sprintf("%s/v1/catalogue/entries?watch&revision=%d", _operators[0], list.Revision))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if exit, out := s.runTool("apply", "-f", "examples/catalogue"); exit != 0 {
		t.Fatal(out)
	}
	seen := 0
	for lines := bufio.NewScanner(resp.Body); seen < 3 && lines.Scan(); {
		if strings.Contains(lines.Text(), `"type":"put"`) {
			seen++
		}
	}
	if seen != 3 {
		t.Errorf("the watch sent %d declarations, want 3", seen)
	}
	submit := func(key, body string) (int, string) {
		return s.runTool("jobs", "submit", "--key", key, "--body", body, "cutting_plans")
	}
	_, first := submit("k1", "{}")
	if _, again := submit("k1", "{}"); again != first {
		t.Errorf("a resend with the key got job %q, want %q", again, first)
	}
	if exit, out := submit("k1", `{"work_ms": 1}`); exit != 3 {
		t.Errorf("another job with the key: exit code %d\n%s", exit, out)
	}
	for i := range 4 {
		submit(fmt.Sprint("p", i), "{}")
	}
	after, pages, jobs := "", 0, 0
	for {
		var page struct {
			Jobs []struct{ State string }
			Next string
		}
		if err := getJSON(_entries[0]+"/v1/jobs?limit=2&entry=cutting_plans&after="+after, &page); err != nil {
			t.Fatal(err)
		}
		pages, jobs = pages+1, jobs+len(page.Jobs)
		if after = page.Next; after == "" {
			break
		}
	}
	if jobs != 5 || pages != 3 {
		t.Errorf("%d jobs on %d pages, want 5 on 3", jobs, pages)
	}
}

// getStatus sends a request and returns the status of the answer.
func getStatus(path string) (int, error) {
	resp, err := _client.Get(_entries[0] + path)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// awaitStatus repeats a request until the answer has the status.
func (s *singleProcess) awaitStatus(status int) {
	s.t.Helper()
	last, err := 0, error(nil)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if last, err = getStatus("/v1/services/quotes/price"); last == status {
			return
		}
	}
	s.t.Fatalf("the latest request was answered %d, %v, want %d", last, err, status)
}

// TestEvacuationOfProduct guards against requests and jobs that are given to the workers of an
// evacuated zone, against one in flight that an evacuation ends, and against work that does
// not go on afterwards.
func TestEvacuationOfProduct(t *testing.T) {
	s := startSingleProcess(t)
	if exit, out := s.runTool("apply", "-f", "examples/catalogue"); exit != 0 {
		t.Fatal(out)
	}
	s.awaitStatus(http.StatusOK)
	inFlight := make(chan int, 1)
	go func() {
		status, _ := getStatus("/v1/services/quotes/price?delay_ms=1500")
		inFlight <- status
	}()
	time.Sleep(300 * time.Millisecond)
	if exit, out := s.runTool("evacuate", "zone_a"); exit != 0 {
		t.Fatal(out)
	}
	s.awaitStatus(http.StatusServiceUnavailable)
	if status := <-inFlight; status != http.StatusOK {
		t.Errorf("a request in flight was answered %d", status)
	}
	exit, out := s.runTool("evacuate", "nowhere")
	for end := time.Now().Add(20 * time.Second); exit == 5 && time.Now().Before(end); exit, out = s.runTool("evacuate", "nowhere") {
		time.Sleep(100 * time.Millisecond) // for 2 s from an election the leader does not know all zones
	}
	if exit != 4 || !strings.Contains(out, "zone_not_found") {
		t.Errorf("an unknown zone: exit code %d\n%s", exit, out)
	}
	exit, job := s.runTool("jobs", "submit", "--body", "{}", "cutting_plans")
	if exit != 0 {
		t.Fatal(job)
	}
	time.Sleep(time.Second)
	if _, out := s.runTool("tasks"); strings.Contains(out, "cutting_plans") {
		t.Errorf("a job runs in the evacuated zone:\n%s", out)
	}
	if exit, out := s.runTool("evacuate", "--undo", "zone_a"); exit != 0 {
		t.Fatal(out)
	}
	s.awaitStatus(http.StatusOK)
	if exit, out := s.runTool("jobs", "result", "--wait", "20s", strings.TrimSpace(job)); exit != 0 {
		t.Errorf("the job has no result after the evacuation: exit code %d\n%s", exit, out)
	}
}
