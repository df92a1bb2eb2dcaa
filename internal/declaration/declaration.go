// Package declaration reads and writes the JSON form of catalogue entries, tables
// of queues and submissions, which operators keep under version control.
package declaration

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/unit"
)

// MaxBytes is the maximum size of a declaration in bytes.
const MaxBytes = 256 << 10

type limits struct {
	Slots           int           `json:"slots"`
	Connections     int           `json:"connections"`
	Queue           int           `json:"queue"`
	RequestTimeout  unit.Duration `json:"request_timeout"`
	BodySize        unit.Bytes    `json:"body_size"`
	CPU             unit.Cores    `json:"cpu"`
	Memory          unit.Bytes    `json:"memory"`
	Accelerators    int           `json:"accelerators"`
	MaxRunningTasks int           `json:"most_running_tasks"`
	Deadline        unit.Duration `json:"deadline"`
	Priority        int           `json:"priority"`
	MaxAttempts     int           `json:"most_attempts"`
}

type objective struct {
	Ratio   float64       `json:"ratio"`
	Latency unit.Duration `json:"latency"`
}

// Document is the JSON form of one entry.
type Document struct {
	Name              string    `json:"name"`
	Owner             string    `json:"owner"`
	Class             string    `json:"class"`
	Target            string    `json:"target"`
	Version           uint64    `json:"version"`
	Revision          uint64    `json:"revision,omitzero"`
	Limits            limits    `json:"limits"`
	Objective         objective `json:"objective"`
	IdempotentMethods []string  `json:"idempotent_methods,omitempty"`
	IdempotentPaths   []string  `json:"idempotent_paths,omitempty"`
	KeyRequired       bool      `json:"key_required,omitzero"`
}

// defaultLimits returns the values of limits that a declaration omits.
func defaultLimits() limits {
	return limits{
		Slots:           8,
		Connections:     64,
		Queue:           32,
		RequestTimeout:  unit.Duration(2 * time.Second),
		BodySize:        1 << 20,
		CPU:             1000,
		Memory:          256 << 20,
		MaxRunningTasks: 1000,
		Deadline:        unit.Duration(time.Hour),
		Priority:        50,
		MaxAttempts:     5,
	}
}

// Parse parses and validates a declaration. The error lists every invalid field
// with the file and the allowed values.
func Parse(file string, data []byte) (catalogue.Spec, error) {
	doc := Document{Limits: defaultLimits()}
	if len(data) > MaxBytes {
		return catalogue.Spec{}, fault.New(fault.BadDeclaration, "%s: the limit of a declaration is %d bytes, found %d", file, MaxBytes, len(data))
	}
	if err := UnmarshalStrict(data, &doc); err != nil {
		return catalogue.Spec{}, fault.New(fault.BadDeclaration, "%s: %s", file, err)
	}
	spec := doc.Spec()
	problems := spec.Validate()
	if len(problems) == 0 {
		return spec, nil
	}
	var lines []string
	for _, p := range problems {
		if p.Field == "class" {
			p.Found = fmt.Sprintf("%q", doc.Class)
		}
		lines = append(lines, p.String())
	}
	return catalogue.Spec{}, fault.New(fault.BadDeclaration, "%s: %s", file, strings.Join(lines, "; "))
}

// UnmarshalStrict unmarshals JSON into v and rejects unknown and repeated fields.
// The error names the field.
func UnmarshalStrict(data []byte, v any) error {
	err := json.Unmarshal(data, v, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return describeSemanticError(semantic)
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		return describeSyntacticError(syntactic)
	}
	return err
}

// fieldPath returns a JSON pointer as field names separated by dots.
func fieldPath(p jsontext.Pointer) string {
	if p == "" {
		return "the document"
	}
	var parts []string
	for token := range p.Tokens() {
		parts = append(parts, token)
	}
	return strings.Join(parts, ".")
}

func describeSemanticError(e *json.SemanticError) error {
	if errors.Is(e.Err, json.ErrUnknownName) {
		return fmt.Errorf("%s: unknown field", fieldPath(e.JSONPointer))
	}
	if e.Err != nil {
		return fmt.Errorf("%s: %s", fieldPath(e.JSONPointer), e.Err)
	}
	return fmt.Errorf("%s: found a JSON %s, allowed is %s", fieldPath(e.JSONPointer), describeJSONKind(e.JSONKind), describeExpectedType(e))
}

func describeJSONKind(k jsontext.Kind) string {
	switch k {
	case jsontext.KindBeginObject:
		return "object"
	case jsontext.KindBeginArray:
		return "list"
	}
	return k.String()
}

func describeExpectedType(e *json.SemanticError) string {
	if e.GoType == nil {
		return "another type"
	}
	switch e.GoType.Kind().String() {
	case "string":
		return "a string"
	case "int", "int64", "uint64":
		return "a whole number"
	case "float64":
		return "a number"
	case "bool":
		return "true or false"
	case "slice":
		return "a list"
	}
	return "an object"
}

func describeSyntacticError(e *jsontext.SyntacticError) error {
	if errors.Is(e.Err, jsontext.ErrDuplicateName) {
		return fmt.Errorf("%s: repeated field", fieldPath(e.JSONPointer))
	}
	return fmt.Errorf("not JSON at byte %d: %s", e.ByteOffset, e.Err)
}

// Spec returns the declared spec without validating it.
func (d Document) Spec() catalogue.Spec {
	l := d.Limits
	return catalogue.Spec{
		Name:    d.Name,
		Owner:   d.Owner,
		Class:   catalogue.ParseClass(d.Class),
		Target:  d.Target,
		Version: d.Version,
		Limits: catalogue.Limits{
			Slots:           l.Slots,
			Connections:     l.Connections,
			Queue:           l.Queue,
			RequestTimeout:  time.Duration(l.RequestTimeout),
			BodyBytes:       int64(l.BodySize),
			CPUMillis:       int64(l.CPU),
			MemoryBytes:     int64(l.Memory),
			Accelerators:    l.Accelerators,
			MaxRunningTasks: l.MaxRunningTasks,
			Deadline:        time.Duration(l.Deadline),
			Priority:        l.Priority,
			MaxAttempts:     l.MaxAttempts,
		},
		Objective:         catalogue.Objective{Ratio: d.Objective.Ratio, Latency: time.Duration(d.Objective.Latency)},
		IdempotentMethods: d.IdempotentMethods,
		IdempotentPaths:   d.IdempotentPaths,
		KeyRequired:       d.KeyRequired,
	}
}

// Format returns the JSON form of a spec. Revision 0 is omitted.
func Format(s catalogue.Spec, revision uint64) Document {
	l := s.Limits
	return Document{
		Name:     s.Name,
		Owner:    s.Owner,
		Class:    s.Class.String(),
		Target:   s.Target,
		Version:  s.Version,
		Revision: revision,
		Limits: limits{
			Slots:           l.Slots,
			Connections:     l.Connections,
			Queue:           l.Queue,
			RequestTimeout:  unit.Duration(l.RequestTimeout),
			BodySize:        unit.Bytes(l.BodyBytes),
			CPU:             unit.Cores(l.CPUMillis),
			Memory:          unit.Bytes(l.MemoryBytes),
			Accelerators:    l.Accelerators,
			MaxRunningTasks: l.MaxRunningTasks,
			Deadline:        unit.Duration(l.Deadline),
			Priority:        l.Priority,
			MaxAttempts:     l.MaxAttempts,
		},
		Objective:         objective{Ratio: s.Objective.Ratio, Latency: unit.Duration(s.Objective.Latency)},
		IdempotentMethods: s.IdempotentMethods,
		IdempotentPaths:   s.IdempotentPaths,
		KeyRequired:       s.KeyRequired,
	}
}

// Marshal returns the indented JSON of a spec.
func Marshal(s catalogue.Spec, revision uint64) ([]byte, error) {
	return json.Marshal(Format(s, revision), jsontext.WithIndent("  "))
}
