// Package explain reconstructs the history of a submission from the log lines of
// all processes.
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

// _maxLineBytes bounds the length of a log line. gentianrail never writes a
// longer line.
const _maxLineBytes = 1 << 20

// Line is one log line that concerns a submission.
type Line struct {
	Time    time.Time
	Process string
	Event   string // name of the event
	Text    string
	Fields  map[string]any // all fields but those above, the event's number, the level and the role
}

// Detail returns Fields as text, in order of their keys.
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

// History is the history of one submission, as read from logs.
type History struct {
	lines     []Line
	workers   map[string]bool // workers that had a run of the submission
	lossLines []Line          // lines about lost or unresponsive workers, of any submission
	skipped   int             // lines that could not be parsed
}

// Read adds the lines that concern the submission from the log of one or more
// processes. It ignores the text before the first brace of a line, such as a log
// collector's prefix.
func (h *History) Read(r io.Reader, id string) error {
	lines := bufio.NewReaderSize(r, _maxLineBytes)
	for {
		text, err := h.nextLine(lines)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		i := strings.IndexByte(text, '{')
		if i < 0 {
			continue
		}
		lost := strings.Contains(text, `"worker_lost"`) || strings.Contains(text, `"target_silent"`)
		if !lost && !strings.Contains(text, id) {
			continue
		}
		l, ok := parseLine(text[i:])
		switch {
		case !ok:
			h.skipped++
		case l.concerns(id):
			h.addLine(l)
		case lost:
			h.lossLines = append(h.lossLines, l)
		}
	}
}

// nextLine returns the next line. It skips lines that are too long.
func (h *History) nextLine(r *bufio.Reader) (string, error) {
	tooLong := false
	for {
		line, err := r.ReadSlice('\n')
		switch {
		case err == bufio.ErrBufferFull:
			tooLong = true
		case err != nil && (err != io.EOF || len(line) == 0):
			return "", err
		case tooLong:
			tooLong = false
			h.skipped++
		default:
			return string(line), nil
		}
	}
}

func parseLine(text string) (Line, bool) {
	var f map[string]any
	if err := json.Unmarshal([]byte(text), &f); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, stringField(f, "time"))
	if err != nil {
		return Line{}, false
	}
	l := Line{Time: at, Process: stringField(f, "name"), Event: stringField(f, "event_name"), Text: stringField(f, "msg"), Fields: f}
	for _, key := range []string{"time", "name", "event_name", "msg", "event", "level", "role"} {
		delete(f, key)
	}
	return l, true
}

func stringField(f map[string]any, key string) string {
	s, _ := f[key].(string)
	return s
}

// concerns reports whether a line names the submission or one of its tasks.
func (l Line) concerns(id string) bool {
	task := stringField(l.Fields, "task")
	return stringField(l.Fields, "submission") == id || strings.HasPrefix(task, id+".") || strings.HasSuffix(stringField(l.Fields, "path"), id)
}

func (h *History) addLine(l Line) {
	h.lines = append(h.lines, l)
	if w := stringField(l.Fields, "worker"); w != "" {
		if h.workers == nil {
			h.workers = make(map[string]bool)
		}
		h.workers[w] = true
	}
}

// Lines returns the lines in order of time, including those about the loss or
// unresponsiveness of workers that had a run of the submission.
func (h *History) Lines() []Line {
	out := slices.Clone(h.lines)
	for _, l := range h.lossLines {
		if h.workers[stringField(l.Fields, "worker")] {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process))
	})
	return out
}

// Skipped returns the number of lines that contain the submission's ID or report
// a lost or unresponsive worker but could not be parsed.
func (h *History) Skipped() int { return h.skipped }

// Finding is one reason for the delay or the end of a submission.
type Finding struct {
	Text  string
	Count int
}

// Findings counts the reasons that delayed or ended the submission, the most
// frequent first.
func (h *History) Findings() []Finding {
	counts := make(map[string]int)
	for _, l := range h.Lines() {
		switch l.Event {
		case "step_waits":
			obstacles, _ := l.Fields["obstacles"].(map[string]any)
			for o := range obstacles {
				counts["a step waited, obstacle on workers: "+o]++
			}
		case "run_ended":
			if how := stringField(l.Fields, "how"); how != "done" {
				counts["a run ended ("+how+") on "+stringField(l.Fields, "worker")]++
			}
		case "run_paced":
			counts["the CPU share of a run was changed at "+l.Process]++
		case "run_stopped":
			counts["a run was stopped: "+stringField(l.Fields, "reason")]++
		case "worker_lost", "target_silent":
			counts[l.Event+": "+stringField(l.Fields, "worker")]++
		case "submission_rejected":
			counts["rejected: "+stringField(l.Fields, "reason")]++
		}
	}
	out := make([]Finding, 0, len(counts))
	for t, n := range counts {
		out = append(out, Finding{Text: t, Count: n})
	}
	slices.SortFunc(out, func(a, b Finding) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Text, b.Text)) })
	return out
}
