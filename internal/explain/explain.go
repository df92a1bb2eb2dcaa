// Package explain tells the life of a submission from the log lines of all
// processes.
package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
)

// _mostLine bounds a log line that is read; longer ones are none of ours.
const _mostLine = 1 << 20 // bytes

// Line is one log line that concerns a submission.
type Line struct {
	Time    time.Time
	Process string
	Event   string // name of the event
	Text    string
	Fields  map[string]any // the others
}

// Detail returns the fields that are not part of the line's own ones, in a fixed
// order.
func (l Line) Detail() string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%v", k, l.Fields[k])
	}
	return b.String()
}

// Story is what logs tell of one submission.
type Story struct {
	lines   []Line
	workers map[string]bool // that had a run of it
	losses  []Line          // of any worker
	skipped int             // lines that could not be read
}

// Read takes in the log of one or more processes. What stands before the first
// brace of a line, such as a collector's own time, is left out.
func (s *Story) Read(r io.Reader, id string) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), _mostLine)
	for lines.Scan() {
		text := lines.Text()
		i := strings.IndexByte(text, '{')
		if i < 0 {
			continue
		}
		lost := strings.Contains(text, `"worker_lost"`) || strings.Contains(text, `"target_silent"`)
		if !lost && !strings.Contains(text, id) {
			continue
		}
		l, ok := parse(text[i:])
		switch {
		case !ok:
			s.skipped++
		case l.concerns(id):
			s.add(l)
		case lost:
			s.losses = append(s.losses, l)
		}
	}
	return lines.Err()
}

func parse(text string) (Line, bool) {
	var f map[string]any
	if err := json.Unmarshal([]byte(text), &f); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, textOf(f, "time"))
	if err != nil {
		return Line{}, false
	}
	l := Line{Time: at, Process: textOf(f, "name"), Event: textOf(f, "event_name"), Text: textOf(f, "msg"), Fields: f}
	for _, own := range []string{"time", "name", "event_name", "msg", "event", "level", "role"} {
		delete(f, own)
	}
	return l, true
}

func textOf(f map[string]any, key string) string {
	s, _ := f[key].(string)
	return s
}

// concerns reports whether a line names the submission or one of its tasks.
func (l Line) concerns(id string) bool {
	task := textOf(l.Fields, "task")
	return textOf(l.Fields, "submission") == id || strings.HasPrefix(task, id+".") || strings.HasSuffix(textOf(l.Fields, "path"), id)
}

func (s *Story) add(l Line) {
	s.lines = append(s.lines, l)
	if w := textOf(l.Fields, "worker"); w != "" {
		if s.workers == nil {
			s.workers = make(map[string]bool)
		}
		s.workers[w] = true
	}
}

// Lines returns the lines in order of time, with the losses of the workers that
// had a run of the submission.
func (s *Story) Lines() []Line {
	out := slices.Clone(s.lines)
	for _, l := range s.losses {
		if s.workers[textOf(l.Fields, "worker")] {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process))
	})
	return out
}

// Skipped returns how many lines that seemed to concern the submission could not
// be read.
func (s *Story) Skipped() int { return s.skipped }

// Finding is one reason for the time that a submission took, or for its end.
type Finding struct {
	Text  string
	Count int
}

// Findings sums up what delayed or ended the submission, the most frequent
// reason first.
func (s *Story) Findings() []Finding {
	counts := make(map[string]int)
	for _, l := range s.Lines() {
		switch l.Event {
		case "step_waits":
			obstacles, _ := l.Fields["obstacles"].(map[string]any)
			for o := range obstacles {
				counts["a step waited with workers "+o]++
			}
		case "run_ended":
			if how := textOf(l.Fields, "how"); how != "done" {
				counts["a run ended "+how+" on "+textOf(l.Fields, "worker")]++
			}
		case "run_paced":
			counts["a run was paced at "+l.Process]++
		case "run_stopped":
			counts["a run was stopped: "+textOf(l.Fields, "reason")]++
		case "worker_lost", "target_silent":
			counts[l.Event+": "+textOf(l.Fields, "worker")]++
		case "submission_rejected":
			counts["refused: "+textOf(l.Fields, "reason")]++
		}
	}
	out := make([]Finding, 0, len(counts))
	for t, n := range counts {
		out = append(out, Finding{Text: t, Count: n})
	}
	slices.SortFunc(out, func(a, b Finding) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Text, b.Text)) })
	return out
}
