package explain

import (
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
