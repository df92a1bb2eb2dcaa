package queue

import (
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
