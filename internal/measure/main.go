// Command measure regenerates the figures of docs/CAPACITY.md.
//
// It starts real processes on loopback where a process is what costs, and
// measures in its own process elsewhere. It takes under ten minutes and ends
// all that it started. Run it from the project's root:
//
//	go run ./internal/measure
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
)

const (
	_page  = "docs/CAPACITY.md"
	_begin = "<!-- measured: begin -->"
	_end   = "<!-- measured: end -->"
)

func main() {
	logx.Disable()
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run() error {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	binary := filepath.Join(dir, "gentianraild")
	if out, err := exec.Command("go", "build", "-o", binary, "./cmd/gentianraild").CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	began := time.Now()
	var page strings.Builder
	for _, part := range []func(binary, dir string, out *strings.Builder) error{
		measureAgents, measurePath, measureCommits, measureViews, measureState, measurePlacement,
	} {
		if err := part(binary, dir, &page); err != nil {
			return err
		}
	}
	fmt.Fprintf(&page, "All of it was measured in %s.\n", time.Since(began).Round(time.Second))
	fmt.Print(page.String())
	return rewrite(page.String())
}

// rewrite puts the tables between the marks of the page.
func rewrite(tables string) error {
	data, err := os.ReadFile(_page)
	if err != nil {
		return err
	}
	before, rest, ok := strings.Cut(string(data), _begin)
	_, after, ok2 := strings.Cut(rest, _end)
	if !ok || !ok2 {
		return fmt.Errorf("%s lacks the marks %s and %s", _page, _begin, _end)
	}
	return os.WriteFile(_page, []byte(before+_begin+"\n\n"+tables+"\n"+_end+after), 0o600)
}
