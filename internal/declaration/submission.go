package declaration

import (
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/limited"
	"github.com/gentianrail/gentianrail/internal/unit"
	"github.com/gentianrail/gentianrail/submission"
)

type submissionDocument struct {
	ID       string        `json:"id"`
	Queue    string        `json:"queue"`
	Text     string        `json:"text,omitempty"`
	Steps    stepList      `json:"steps"`
	Repeat   int           `json:"repeat,omitzero"`
	StartAt  time.Time     `json:"start_at,omitzero"` // of the first occurrence; RFC 3339
	Interval unit.Duration `json:"interval,omitzero"`
}

// stepList is the list of steps of a submission.
type stepList []stepDocument

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (s *stepList) UnmarshalJSONFrom(d *jsontext.Decoder) error {
	return limited.UnmarshalList(d, (*[]stepDocument)(s), submission.MaxSteps)
}

// stepNumbers are the numbers of other steps.
type stepNumbers []int

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (s *stepNumbers) UnmarshalJSONFrom(d *jsontext.Decoder) error {
	return limited.UnmarshalList(d, (*[]int)(s), submission.MaxSteps)
}

type stepDocument struct {
	Count          int           `json:"count"`
	CPU            unit.Cores    `json:"cpu"`
	Memory         unit.Bytes    `json:"memory,omitzero"`
	Accelerators   int64         `json:"accelerators,omitzero"`
	Estimate       unit.Duration `json:"estimate,omitzero"`
	DependsOn      stepNumbers   `json:"depends_on,omitempty"`
	Checkpointing  bool          `json:"checkpointing,omitzero"`
	Gang           bool          `json:"gang,omitzero"`
	RackLocal      bool          `json:"rack_local,omitzero"`
	Speculative    bool          `json:"speculative,omitzero"`
	LongRunning    bool          `json:"long_running,omitzero"`
	UnreservedCPU  bool          `json:"leftover,omitzero"`
	Requirement    string        `json:"requirement,omitempty"`
	DataRack       string        `json:"data_rack,omitempty"`
	MaxPerWorker   int           `json:"most_per_worker,omitzero"`
	Image          string        `json:"image,omitempty"`
	TailTarget     unit.Duration `json:"tail_target,omitzero"`
	MaxUnavailable int           `json:"max_unavailable,omitzero"`
}

const (
	_bytesPerMiB = 1 << 20
	_maxIDBytes  = 64 // maximum length of a submission's identifier
)

// ParseSubmission parses and validates a submission.
func ParseSubmission(data []byte) (submission.Spec, error) {
	var d submissionDocument
	if err := json.Unmarshal(data, &d, json.RejectUnknownMembers(true)); err != nil {
		return submission.Spec{}, fault.New(fault.BadDeclaration, "submission: %s", err)
	}
	if d.Queue == "" {
		return submission.Spec{}, fault.New(fault.BadDeclaration, "submission: queue: found none")
	}
	if !isValidID(d.ID) {
		return submission.Spec{}, fault.New(fault.BadDeclaration, "submission: id: found %q, allowed are 1 to %d letters, digits and dashes", d.ID, _maxIDBytes)
	}
	s := submission.Spec{
		ID: d.ID, Queue: d.Queue, Text: d.Text, Repeat: d.Repeat, StartAt: d.StartAt.UTC(), Interval: time.Duration(d.Interval),
	}
	for _, e := range d.Steps {
		s.Steps = append(s.Steps, e.step())
	}
	if err := s.Validate(); err != nil {
		return submission.Spec{}, fault.New(fault.BadDeclaration, "submission %q: %s", d.ID, err)
	}
	return s, nil
}

func (d *stepDocument) step() submission.Step {
	return submission.Step{
		Count:          d.Count,
		Needs:          submission.Resources{CPU: int64(d.CPU), Memory: int64(d.Memory) / _bytesPerMiB, GPU: d.Accelerators},
		Estimate:       time.Duration(d.Estimate),
		DependsOn:      d.DependsOn,
		Checkpointing:  d.Checkpointing,
		Gang:           d.Gang,
		RackLocal:      d.RackLocal,
		Speculative:    d.Speculative,
		LongRunning:    d.LongRunning,
		UnreservedCPU:  d.UnreservedCPU,
		Requirement:    d.Requirement,
		DataRack:       d.DataRack,
		MaxPerWorker:   d.MaxPerWorker,
		Image:          d.Image,
		TailTarget:     time.Duration(d.TailTarget),
		MaxUnavailable: d.MaxUnavailable,
	}
}

// isValidID reports whether an identifier can be part of a URL path and of a
// task's name, whose parts are separated by dots.
func isValidID(id string) bool {
	for _, c := range id {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return id != "" && len(id) <= _maxIDBytes
}
