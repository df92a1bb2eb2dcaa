package declaration

import (
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/limited"
	"github.com/gentianrail/gentianrail/internal/unit"
	"github.com/gentianrail/gentianrail/queue"
)

// QueuesDocument is the JSON form of a table of queues.
type QueuesDocument struct {
	Version  uint64      `json:"version"` // the highest version is effective
	Services serviceList `json:"services"`
	Queues   queueList   `json:"queues"`
}

type serviceList []serviceDocument

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (l *serviceList) UnmarshalJSONFrom(d *jsontext.Decoder) error {
	return limited.UnmarshalList(d, (*[]serviceDocument)(l), queue.MaxQueues)
}

type queueList []queueDocument

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (l *queueList) UnmarshalJSONFrom(d *jsontext.Decoder) error {
	return limited.UnmarshalList(d, (*[]queueDocument)(l), queue.MaxQueues)
}

type serviceDocument struct {
	Name           string `json:"name"`
	ChecksCapacity bool   `json:"guards,omitzero"`
	Standby        bool   `json:"standby,omitzero"`
}

type queueDocument struct {
	Name          string          `json:"name"`
	Host          string          `json:"host"`
	Prefix        string          `json:"prefix"`
	Service       string          `json:"service"`
	Priority      int             `json:"priority,omitzero"`
	MaxAttempts   int             `json:"attempts"`
	Slack         float64         `json:"slack"`
	BaseObjective unit.Duration   `json:"target"`
	Timeout       unit.Duration   `json:"timeout"`
	Advice        *adviceDocument `json:"advice,omitempty"`
}

type adviceDocument struct {
	Latency   unit.Duration `json:"latency"`
	PerWorker unit.Duration `json:"per_worker"`
	Validity  unit.Duration `json:"validity"`
}

// ParseQueues parses and validates a table of queues. It rejects unknown fields,
// since a limit with a misspelt name would have no effect.
func ParseQueues(data []byte) (queue.Table, error) {
	var d QueuesDocument
	if err := json.Unmarshal(data, &d, json.RejectUnknownMembers(true)); err != nil {
		return queue.Table{}, fault.New(fault.BadDeclaration, "queues: %s", err)
	}
	if d.Version == 0 {
		return queue.Table{}, fault.New(fault.BadDeclaration, "queues: version: found none, allowed is a number from 1")
	}
	t := queue.Table{Version: d.Version}
	for _, s := range d.Services {
		t.Services = append(t.Services, queue.Service{Name: s.Name, ChecksCapacity: s.ChecksCapacity, Standby: s.Standby})
	}
	for _, q := range d.Queues {
		out := queue.Queue{
			Name: q.Name, Host: q.Host, Prefix: q.Prefix, Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Slack: q.Slack,
			BaseObjective: time.Duration(q.BaseObjective), Timeout: time.Duration(q.Timeout),
		}
		if q.MaxAttempts < 1 {
			return queue.Table{}, fault.New(fault.BadDeclaration, "queue %q: attempts: found %d, allowed is a number from 1", q.Name, q.MaxAttempts)
		}
		if a := q.Advice; a != nil {
			out.Advice = &queue.AdviceService{Latency: time.Duration(a.Latency), PerWorker: time.Duration(a.PerWorker), Validity: time.Duration(a.Validity)}
		}
		t.Queues = append(t.Queues, out)
	}
	return t, t.Validate()
}

// FormatQueues returns the JSON form of a table.
func FormatQueues(t queue.Table) QueuesDocument {
	d := QueuesDocument{Version: t.Version, Services: []serviceDocument{}, Queues: []queueDocument{}}
	for _, s := range t.Services {
		d.Services = append(d.Services, serviceDocument{Name: s.Name, ChecksCapacity: s.ChecksCapacity, Standby: s.Standby})
	}
	for _, q := range t.Queues {
		out := queueDocument{
			Name: q.Name, Host: q.Host, Prefix: q.Prefix, Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Slack: q.Slack,
			BaseObjective: unit.Duration(q.BaseObjective), Timeout: unit.Duration(q.Timeout),
		}
		if a := q.Advice; a != nil {
			out.Advice = &adviceDocument{Latency: unit.Duration(a.Latency), PerWorker: unit.Duration(a.PerWorker), Validity: unit.Duration(a.Validity)}
		}
		d.Queues = append(d.Queues, out)
	}
	return d
}
