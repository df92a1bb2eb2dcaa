package declaration

import (
	"os"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/submission"
)

const _validSubmission = `{"id": "p-1", "queue": "plans", "text": "x", "steps": [
	{"count": 2, "cpu": "500m", "memory": "256MiB", "estimate": "900ms"},
	{"count": 3, "cpu": "2", "memory": "1GiB", "estimate": "3s", "depends_on": [0], "checkpointing": true, "gang": true,
	 "rack_local": true, "speculative": true, "leftover": true, "requirement": "a", "data_rack": "r", "most_per_worker": 2,
	 "image": "i", "accelerators": 1},
	{"count": 1, "cpu": "1", "long_running": true, "tail_target": "25ms", "max_unavailable": 1}],
	"repeat": 3, "start_at": "2026-12-04T05:00:00Z", "interval": "10s"}`

func TestParseSubmissionReadsAllFields(t *testing.T) {
	s, err := ParseSubmission([]byte(_validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	if s.ID != "p-1" || s.Queue != "plans" || s.Repeat != 3 || s.Interval != 10*time.Second || !s.StartAt.Equal(time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)) {
		t.Errorf("got %+v", s)
	}
	first, second, third := s.Steps[0], s.Steps[1], s.Steps[2]
	if first.Needs != (submission.Resources{CPU: 500, Memory: 256}) || first.Estimate != 900*time.Millisecond {
		t.Errorf("first step: %+v", first)
	}
	want := submission.Step{
		Count: 3, Needs: submission.Resources{CPU: 2000, Memory: 1024, GPU: 1}, Estimate: 3 * time.Second, DependsOn: second.DependsOn,
		Checkpointing: true, Gang: true, RackLocal: true, Speculative: true, UnreservedCPU: true, Requirement: "a", DataRack: "r",
		MaxPerWorker: 2, Image: "i",
	}
	if len(second.DependsOn) != 1 || second.DependsOn[0] != 0 {
		t.Errorf("second step depends on %v", second.DependsOn)
	}
	second.DependsOn, want.DependsOn = nil, nil
	if got, w := second, want; !equalSteps(got, w) {
		t.Errorf("second step: %+v, want %+v", got, w)
	}
	if !third.LongRunning || third.TailTarget != 25*time.Millisecond || third.MaxUnavailable != 1 {
		t.Errorf("third step: %+v", third)
	}
}

func equalSteps(a, b submission.Step) bool {
	return a.Count == b.Count && a.Needs == b.Needs && a.Estimate == b.Estimate && a.Checkpointing == b.Checkpointing && a.Gang == b.Gang &&
		a.RackLocal == b.RackLocal && a.Speculative == b.Speculative && a.UnreservedCPU == b.UnreservedCPU && a.Requirement == b.Requirement &&
		a.DataRack == b.DataRack && a.MaxPerWorker == b.MaxPerWorker && a.Image == b.Image
}

func TestInvalidSubmissionsAreRejected(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`"id": "p-1"`, `"id": "p.1"`, "letters, digits and dashes"},
		{`"queue": "plans"`, `"queue": ""`, "queue"},
		{`"count": 2`, `"count": 0`, "found 0 tasks"},
		{`"depends_on": [0]`, `"depends_on": [2]`, "dependency on step 2"},
		{`"gang": true`, `"gnag": true`, "gnag"},
		{`"500m"`, `"half"`, "half"},
		{`"text": "x"`, `"text": "` + strings.Repeat("x", submission.MaxTextBytes+1) + `"`, "bytes"},
	} {
		if !strings.Contains(_validSubmission, tc.old) {
			t.Fatalf("%q is not in the document", tc.old)
		}
		_, err := ParseSubmission([]byte(strings.Replace(_validSubmission, tc.old, tc.new, 1)))
		if fault.CodeOf(err) != fault.BadDeclaration || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got %v, want an error with %q", tc.new, err, tc.want)
		}
	}
}

// TestExampleFilesAreValid parses the files that the README's walk-through uses.
func TestExampleFilesAreValid(t *testing.T) {
	read := func(name string) []byte {
		data, err := os.ReadFile("../../examples/submissions/" + name)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	table, err := ParseQueues(read("queues.json"))
	if err != nil {
		t.Fatal(err)
	}
	s, err := ParseSubmission(read("plan.json"))
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := table.Queue(s.Queue); !ok {
		t.Errorf("no queue %q in queues.json", s.Queue)
	}
}

const _validQueues = `{"version": 4, "services": [{"name": "w", "guards": true}], "queues": [
	{"name": "plans", "host": "h.example", "prefix": "/p/", "service": "w", "priority": 2, "attempts": 4, "slack": 2,
	 "target": "1s", "timeout": "3s", "advice": {"latency": "10ms", "per_worker": "2ms", "validity": "1s"}}]}`

func TestQueuesRoundTrip(t *testing.T) {
	table, err := ParseQueues([]byte(_validQueues))
	if err != nil {
		t.Fatal(err)
	}
	q, ok := table.Queue("plans")
	if !ok || table.Version != 4 || q.Timeout != 3*time.Second || q.Advice == nil || q.Advice.PerWorker != 2*time.Millisecond {
		t.Fatalf("got %+v", table)
	}
	d := FormatQueues(table)
	if d.Version != 4 || len(d.Queues) != 1 || d.Queues[0].Advice == nil || time.Duration(d.Queues[0].BaseObjective) != time.Second || !d.Services[0].ChecksCapacity {
		t.Errorf("formatted %+v", d)
	}
}

func TestInvalidQueuesAreRejected(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`"version": 4`, `"version": 0`, "version"},
		{`"timeout": "3s"`, `"timeout": "0s"`, "timeout"},
		{`"service": "w"`, `"service": "v"`, "no service"},
		{`"attempts": 4`, `"attempts": 0`, "attempts"},
		{`"slack": 2`, `"slak": 2`, "slak"},
	} {
		_, err := ParseQueues([]byte(strings.Replace(_validQueues, tc.old, tc.new, 1)))
		if fault.CodeOf(err) != fault.BadDeclaration || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got %v, want an error with %q", tc.new, err, tc.want)
		}
	}
}

func TestSubmissionWithOddNumbersIsRefused(t *testing.T) {
	parse := func(field, value string) error {
		_, err := ParseSubmission([]byte(`{"id":"a","queue":"q","steps":[{"count":1,"cpu":"1"` + field + value + `}]}`))
		return err
	}
	for _, tc := range []struct {
		field, allowed string
		refused        []string
	}{
		{`,"most_per_worker":`, "2147483647", []string{"2147483648", "-1", "1.5", "1e30", `"1"`}},
		{`,"max_unavailable":`, "2147483647", []string{"2147483648", "-1", "1.5", "1e30"}},
		{`,"accelerators":`, "1099511627776", []string{"1099511627777", "-1", "9223372036854775808"}},
		{`,"memory":`, `"1024GiB"`, []string{`"99999999999999999999GiB"`, `"-1GiB"`, "5", `"4194304TiB"`}},
		{`,"estimate":`, `"8760h"`, []string{`"8760h1s"`, `"-1s"`, `"1e30s"`, `"9999999999h"`, "5"}},
		{`,"tail_target":`, `"8760h"`, []string{`"8760h1s"`, `"-1s"`}},
		{`,"depends_on":`, "[]", []string{"[0]", "[-1]", "[1e30]", "[9223372036854775808]"}},
	} {
		if err := parse(tc.field, tc.allowed); err != nil {
			t.Errorf("%s%s: %v", tc.field, tc.allowed, err)
		}
		for _, v := range tc.refused {
			if err := parse(tc.field, v); err == nil {
				t.Errorf("%s%s was accepted", tc.field, v)
			}
		}
	}
	for when, accepted := range map[string]bool{"2199-12-31T00:00:00Z": true, "9999-12-31T00:00:00Z": false, "1e30": false} {
		_, err := ParseSubmission([]byte(`{"id":"a","queue":"q","steps":[{"count":1,"cpu":"1"}],"repeat":1,"start_at":"` + when + `"}`))
		if (err == nil) != accepted {
			t.Errorf("a start at %s: %v", when, err)
		}
	}
}

// A body of lists in lists must neither exhaust the stack nor take long.
func TestDeeplyNestedDeclarationsAreRefusedQuickly(t *testing.T) {
	defer debug.SetMaxStack(debug.SetMaxStack(16 << 20))
	const size = 4 << 20
	for name, value := range map[string]string{
		"lists": strings.Repeat("[", size), "objects": strings.Repeat(`{"a":`, size/5), "closed": strings.Repeat("[", size/2) + strings.Repeat("]", size/2),
	} {
		for _, prefix := range []string{"", `{"limits":`, `{"steps":`, `{"queues":[{"name":`} {
			began := time.Now()
			for reader, parse := range map[string]func([]byte) error{
				"entry":      func(b []byte) error { _, err := Parse("f", b); return err },
				"queues":     func(b []byte) error { _, err := ParseQueues(b); return err },
				"submission": func(b []byte) error { _, err := ParseSubmission(b); return err },
			} {
				if parse([]byte(prefix+value)) == nil {
					t.Errorf("%s after %q were accepted as %s", name, prefix, reader)
				}
			}
			if took := time.Since(began); took > 5*time.Second {
				t.Errorf("%s after %q took %s", name, prefix, took)
			}
		}
	}
}

func FuzzParseSubmission(f *testing.F) {
	f.Add([]byte(`{"id":"a","queue":"q","steps":[{"count":1,"cpu":"1","estimate":"1s"}],"repeat":2,"interval":"1h"}`))
	f.Add([]byte(`{"id":"a","queue":"q","steps":[{"count":1e30,"cpu":"-1"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSubmission(data)
		if err == nil && s.CriticalPath(-1) < 0 {
			t.Errorf("%q: critical path %s", data, s.CriticalPath(-1))
		}
	})
}

func FuzzParseQueues(f *testing.F) {
	f.Add([]byte(`{"version":1,"services":[{"name":"s"}],"queues":[{"name":"q","host":"h.example","prefix":"/q/","service":"s","attempts":1,"slack":1.5,"target":"1s","timeout":"1s"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := ParseQueues(data)
		if err != nil {
			return
		}
		if err := table.Validate(); err != nil {
			t.Errorf("%q: %v", data, err)
		}
	})
}
