package queue

import (
	"math"
	"testing"
	"time"
)

func table(change func(*Table)) Table {
	t := Table{
		Version:  1,
		Services: []Service{{Name: "s"}},
		Queues: []Queue{
			{Name: "a", Host: "h.example", Prefix: "/q/", Service: "s", Timeout: time.Second},
			{Name: "b", Host: "h.example", Prefix: "/q/deep/", Service: "s", Timeout: time.Second},
			{Name: "c", Host: "other.example", Prefix: "/", Service: "s", Timeout: time.Second},
		},
	}
	if change != nil {
		change(&t)
	}
	return t
}

func TestValidateRejectsFaultyTables(t *testing.T) {
	good := table(nil)
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Table){
		"no name":                   func(t *Table) { t.Queues[0].Name = "" },
		"duplicate queue name":      func(t *Table) { t.Queues[1].Name = "a" },
		"duplicate host and prefix": func(t *Table) { t.Queues[1].Prefix, t.Queues[1].Host = "/q/", "H.EXAMPLE" },
		"unknown service":           func(t *Table) { t.Queues[0].Service = "x" },
		"no host":                   func(t *Table) { t.Queues[0].Host = "" },
		"relative prefix":           func(t *Table) { t.Queues[0].Prefix = "q/" },
		"no timeout":                func(t *Table) { t.Queues[0].Timeout = 0 },
		"duplicate service":         func(t *Table) { t.Services = append(t.Services, t.Services[0]) },
		"service without a name":    func(t *Table) { t.Services = append(t.Services, Service{}) },
		"negative timeout":          func(t *Table) { t.Queues[2].Timeout = -1 },
		"no services":               func(t *Table) { t.Services = nil },
		"empty queue":               func(t *Table) { t.Queues = append(t.Queues, Queue{}) },
		"no prefix":                 func(t *Table) { t.Queues[2].Prefix = "" },
	} {
		bad := table(change)
		if bad.Validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestMatchReturnsLongestPrefix(t *testing.T) {
	all := table(nil)
	for _, tc := range []struct {
		host, path string
		want, rest string // empty for no match
	}{
		{"h.example", "/q/1", "a", "1"},
		{"H.Example:8080", "/q/1", "a", "1"},
		{"h.example", "/q/deep/1", "b", "1"},
		{"h.example", "/q/deep", "a", "deep"},
		{"h.example", "/q", "", ""},
		{"other.example", "/any/1", "c", "any/1"},
		{"unknown.example", "/q/1", "", ""},
	} {
		q, rest, ok := all.Match(tc.host, tc.path)
		name := ""
		if ok {
			name = q.Name
		}
		if name != tc.want || rest != tc.rest {
			t.Errorf("%s%s: got %q %q, want %q %q", tc.host, tc.path, name, rest, tc.want, tc.rest)
		}
	}
}

// The log holds 32 bits of a priority and of the attempts, and durations are summed up.
func TestValidateBoundsNumbers(t *testing.T) {
	const year = 365 * 24 * time.Hour
	for _, tc := range []struct {
		name  string
		ok    bool
		apply func(q *Queue)
	}{
		{"priority at the bounds", true, func(q *Queue) { q.Priority = math.MaxInt32 }},
		{"lowest priority", true, func(q *Queue) { q.Priority = math.MinInt32 }},
		{"priority above", false, func(q *Queue) { q.Priority = math.MaxInt32 + 1 }},
		{"priority below", false, func(q *Queue) { q.Priority = math.MinInt32 - 1 }},
		{"attempts at the bound", true, func(q *Queue) { q.MaxAttempts = math.MaxInt32 }},
		{"attempts above", false, func(q *Queue) { q.MaxAttempts = math.MaxInt32 + 1 }},
		{"negative attempts", false, func(q *Queue) { q.MaxAttempts = -1 }},
		{"slack at the bound", true, func(q *Queue) { q.Slack = 1e6 }},
		{"slack above", false, func(q *Queue) { q.Slack = 1e6 + 1 }},
		{"negative slack", false, func(q *Queue) { q.Slack = -1 }},
		{"slack that is no number", false, func(q *Queue) { q.Slack = math.NaN() }},
		{"infinite slack", false, func(q *Queue) { q.Slack = math.Inf(1) }},
		{"timeout at the bound", true, func(q *Queue) { q.Timeout = year }},
		{"timeout above", false, func(q *Queue) { q.Timeout = year + 1 }},
		{"objective at the bound", true, func(q *Queue) { q.BaseObjective = year }},
		{"objective above", false, func(q *Queue) { q.BaseObjective = year + 1 }},
		{"negative objective", false, func(q *Queue) { q.BaseObjective = -1 }},
		{"advice at the bounds", true, func(q *Queue) { q.Advice = &AdviceService{Latency: year, PerWorker: year, Validity: year} }},
		{"latency of advice above", false, func(q *Queue) { q.Advice = &AdviceService{Latency: year + 1} }},
		{"negative time per worker", false, func(q *Queue) { q.Advice = &AdviceService{PerWorker: -1} }},
		{"validity of tickets above", false, func(q *Queue) { q.Advice = &AdviceService{Validity: year + 1} }},
	} {
		checked := table(func(t *Table) { tc.apply(&t.Queues[0]) })
		if err := checked.Validate(); (err == nil) != tc.ok {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}
