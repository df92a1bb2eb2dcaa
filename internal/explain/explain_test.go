package explain

import (
	"bytes"
	"strings"
	"testing"
)

const _agentLog = `{"event":310,"event_name":"start_answered","level":"info","msg":"worker answered a start order","name":"agent_1","role":"agent","run":1,"task":"a1.0.0.0","time":"2026-12-04T05:00:00.030Z"}
{"event":311,"event_name":"run_paced","level":"info","msg":"setting the CPU share of a run","name":"agent_1","percent":50,"role":"agent","run":1,"task":"a1.0.0.0","time":"2026-12-04T05:00:01Z"}
{"event":311,"event_name":"run_paced","level":"info","msg":"setting the CPU share of a run","name":"agent_1","percent":50,"role":"agent","run":1,"task":"a12.0.0.0","time":"2026-12-04T05:00:01Z"}
not a line of ours
{"event":311,"event_name":"run_paced","task":"a1.0
`

const _leaderLog = `  7.5 core {"event":221,"event_name":"submission_accepted","level":"info","msg":"submission accepted","name":"controller_1","submission":"a1","time":"2026-12-04T05:00:00.010Z"}
  7.5 core {"event":214,"event_name":"run_placed","level":"info","msg":"run placed on a worker","name":"controller_1","submission":"a1","task":"a1.0.0.0","worker":"w1","time":"2026-12-04T05:00:00.020Z"}
{"event":218,"event_name":"step_waits","level":"info","msg":"step is waiting","name":"controller_1","submission":"a1","obstacles":{"no_cpu":2,"disturbed":1},"time":"2026-12-04T05:00:02Z"}
{"event":203,"event_name":"worker_lost","level":"warning","msg":"leases of the worker's runs expired; rescheduling its tasks","name":"controller_1","worker":"w1","time":"2026-12-04T05:00:03Z"}
{"event":203,"event_name":"worker_lost","level":"warning","msg":"leases of the worker's runs expired; rescheduling its tasks","name":"controller_1","worker":"w2","time":"2026-12-04T05:00:03Z"}
{"event":215,"event_name":"run_ended","level":"info","msg":"run ended","name":"controller_1","submission":"a1","task":"a1.0.0.0","worker":"w1","how":"lapsed","time":"2026-12-04T05:00:03.1Z"}
`

// TestReadMergesLogsOfProcesses checks that the history has the lines of one
// submission from two processes in order of time, and no lines of another
// submission or of the loss of an unrelated worker.
func TestReadMergesLogsOfProcesses(t *testing.T) {
	var h History
	for _, log := range []string{_agentLog, _leaderLog} {
		if err := h.Read(strings.NewReader(log), "a1"); err != nil {
			t.Fatal(err)
		}
	}
	var got []string
	for _, l := range h.Lines() {
		got = append(got, l.Event)
	}
	want := "submission_accepted run_placed start_answered run_paced step_waits worker_lost run_ended"
	if strings.Join(got, " ") != want {
		t.Errorf("got  %s\nwant %s", strings.Join(got, " "), want)
	}
	if h.Skipped() != 1 {
		t.Errorf("%d lines skipped, want 1", h.Skipped())
	}
	found := make(map[string]int)
	for _, f := range h.Findings() {
		found[f.Text] = f.Count
	}
	for _, text := range []string{"a step waited, obstacle on workers: no_cpu", "a run ended (lapsed) on w1", "the CPU share of a run was changed at agent_1", "worker_lost: w1"} {
		if found[text] != 1 {
			t.Errorf("%q: found %d times, want once", text, found[text])
		}
	}
	if found["worker_lost: w2"] != 0 {
		t.Error("the loss of a worker without a run of the submission is reported")
	}
	if d := h.Lines()[1].Detail(); d != "submission=a1 task=a1.0.0.0 worker=w1" {
		t.Errorf("details %q", d)
	}
}

func TestReadIgnoresOtherSubmissions(t *testing.T) {
	var h History
	if err := h.Read(strings.NewReader(_leaderLog), "b"); err != nil || len(h.Lines()) != 0 || len(h.Findings()) != 0 {
		t.Errorf("got %v, %v", h.Lines(), err)
	}
}

// One odd line, such as that of another program, must not hide the lines after it.
func TestOddLinesAreSkipped(t *testing.T) {
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	for name, line := range map[string]string{
		"longer than the limit":      `{"submission":"a1","x":"` + strings.Repeat("y", 1<<20) + `"}`,
		"far longer than the limit":  `{"submission":"a1","x":"` + strings.Repeat("y", 5<<20) + `"}`,
		"nested deeply":              `{"submission":"a1","x":` + deep + `}`,
		"time of another type":       `{"submission":"a1","time":5}`,
		"time in the year 1e30":      `{"submission":"a1","time":"1e30"}`,
		"a number that is too large": `{"submission":"a1","time":"2026-12-04T05:00:00Z","ms":1e400}`,
		"fields of other types":      `{"submission":["a1"],"time":"2026-12-04T05:00:00Z","task":{},"obstacles":7}`,
		"bytes that are no text":     "{\"submission\":\"a1\xff\x00\"}",
	} {
		var h History
		err := h.Read(strings.NewReader(line+"\n"+_leaderLog+line), "a1")
		events := 0
		for _, l := range h.Lines() {
			if l.Event == "run_ended" {
				events++
			}
		}
		if err != nil || events != 1 {
			t.Errorf("%s: %v, %d lines, the last one of the log found %d times", name, err, len(h.Lines()), events)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(_leaderLog))
	f.Add([]byte(_agentLog))
	f.Add([]byte(`{"submission":"a1","time":"2026-12-04T05:00:00Z","event_name":"step_waits","obstacles":{"no_cpu":1e400}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var h History
		if err := h.Read(bytes.NewReader(data), "a1"); err != nil {
			t.Error(err)
		}
		for _, l := range h.Lines() {
			_ = l.Detail()
		}
		h.Findings()
	})
}
