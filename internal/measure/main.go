// Command measure regenerates the figures of docs/CAPACITY.md.
//
// Idle costs, requests, commits and views are measured on real processes on
// loopback; state and placement are measured in the process of the command. A run
// takes under ten minutes and ends all processes that it starts. Run the command
// from the project's root:
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
	_pageFile    = "docs/CAPACITY.md"
	_beginMarker = "<!-- measured: begin -->"
	_endMarker   = "<!-- measured: end -->"
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
		return fmt.Errorf("build gentianraild: %w\n%s", err, out)
	}
	began := time.Now()
	var page strings.Builder
	for _, measurement := range []func(binary, dir string, out *strings.Builder) error{
		measureIdleProcesses, measureRequestPath, measureCommits, measureViews, measureState, measurePlacement,
	} {
		if err := measurement(binary, dir, &page); err != nil {
			return err
		}
	}
	fmt.Fprintf(&page, "The measurements took %s.\n", time.Since(began).Round(time.Second))
	fmt.Print(page.String())
	return replaceTables(page.String())
}

// replaceTables replaces the text between the markers of the page.
func replaceTables(tables string) error {
	data, err := os.ReadFile(_pageFile)
	if err != nil {
		return err
	}
	before, rest, ok := strings.Cut(string(data), _beginMarker)
	_, after, ok2 := strings.Cut(rest, _endMarker)
	if !ok || !ok2 {
		return fmt.Errorf("%s: missing marker %s or %s", _pageFile, _beginMarker, _endMarker)
	}
	return os.WriteFile(_pageFile, []byte(before+_beginMarker+"\n\n"+tables+"\n"+_endMarker+after), 0o600)
}
