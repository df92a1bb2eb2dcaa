package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// block is a shell block of the README and the output that the README shows.
type block struct {
	commands string
	output   string // empty if the README shows none
}

// readBlocks returns the shell blocks of a page in order.
func readBlocks(t *testing.T, file string) []block {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var blocks []block
	for _, m := range regexp.MustCompile("(?s)```(sh|text)\n(.*?)```").FindAllStringSubmatch(string(data), -1) {
		if m[1] == "sh" {
			blocks = append(blocks, block{commands: m[2]})
			continue
		}
		blocks[len(blocks)-1].output = m[2]
	}
	return blocks
}

// copyProject copies the project to a temporary folder, so that the test leaves
// no data folder in the project.
func copyProject(t *testing.T) string {
	t.Helper()
	to := t.TempDir()
	script := `tar -C .. --exclude=./.git --exclude=./data --exclude=./bin -cf - . | tar -C "$1" -xf -`
	if out, err := exec.Command("bash", "-c", script, "copy", to).CombinedOutput(); err != nil {
		t.Fatalf("copy the project: %v\n%s", err, out)
	}
	return to
}

// matches reports whether got has each line of want, in order. In want, "…"
// matches any text, and runs of spaces match one space.
func matches(got, want string) bool {
	lines := strings.Split(strings.TrimSpace(got), "\n")
	for _, w := range strings.Split(strings.TrimSpace(want), "\n") {
		pattern := "^" + strings.ReplaceAll(regexp.QuoteMeta(collapseSpaces(w)), "…", ".*") + "$"
		re := regexp.MustCompile(pattern)
		for len(lines) > 0 && !re.MatchString(collapseSpaces(lines[0])) {
			lines = lines[1:]
		}
		if len(lines) == 0 {
			return false
		}
		lines = lines[1:]
	}
	return true
}

func collapseSpaces(s string) string { return strings.Join(strings.Fields(s), " ") }

// backgroundCommand is a command of the README that keeps running.
type backgroundCommand struct {
	cmd  *exec.Cmd
	done chan error
}

// startProcessGroup starts a command in its own process group, as a terminal does.
func startProcessGroup(t *testing.T, dir, command string, log *os.File) *backgroundCommand {
	t.Helper()
	cmd := exec.Command("bash", "-c", "exec "+command)
	cmd.Dir = dir
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	r := &backgroundCommand{cmd: cmd, done: make(chan error, 1)}
	go func() { r.done <- cmd.Wait() }()
	t.Cleanup(func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) })
	return r
}

// interrupt sends SIGINT to the process group, as Ctrl-C does, and waits for the
// end.
func (r *backgroundCommand) interrupt(t *testing.T) error {
	t.Helper()
	if err := syscall.Kill(-r.cmd.Process.Pid, syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-r.done:
		return err
	case <-time.After(time.Minute):
		t.Fatal("the command did not end")
		return nil
	}
}

func newProcessLog(t *testing.T) *os.File {
	t.Helper()
	f, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			data, _ := os.ReadFile(f.Name())
			t.Logf("log of the processes:\n%s", data)
		}
		_ = f.Close()
	})
	return f
}

func waitReady(t *testing.T, urls ...string) {
	t.Helper()
	args := append([]string{"-fsS", "--fail-early", "-o", "/dev/null", "--max-time", "2"}, urls...)
	for range 600 {
		if exec.Command("curl", args...).Run() == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("not ready: %v", urls)
}

// runBlocks runs blocks of the README and compares their output with the README.
func runBlocks(t *testing.T, dir string, blocks []block) {
	t.Helper()
	for _, b := range blocks {
		cmd := exec.Command("bash", "-euo", "pipefail", "-c", b.commands)
		cmd.Dir = dir
		out, err := cmd.CombinedOutput()
		if err != nil {
			t.Fatalf("%s: %v\n%s", b.commands, err, out)
		}
		if !matches(string(out), b.output) {
			t.Fatalf("%s\nprinted\n%s\nthe README shows\n%s", b.commands, out, b.output)
		}
	}
}

// TestReadmeCommands checks that the README's commands work and print the output
// that the README shows.
func TestReadmeCommands(t *testing.T) {
	dir := copyProject(t)
	blocks := readBlocks(t, filepath.Join(dir, "README.md"))
	daemon := startProcessGroup(t, dir, strings.TrimSpace(blocks[0].commands), newProcessLog(t))
	waitReady(t, "http://127.0.0.1:8600/readyz", "http://127.0.0.1:8601/readyz")
	if want := "go test -timeout 20m ./...\n"; blocks[1].commands != want {
		t.Fatalf("the second command is %q, want %q", blocks[1].commands, want)
	}
	runBlocks(t, dir, blocks[2:])
	// The exit status is that of go run, which reports the signal, so only the end
	// itself is checked.
	_ = daemon.interrupt(t)
}
