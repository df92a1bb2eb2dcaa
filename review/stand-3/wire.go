package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

//go:embed wire.json
var _wireFile []byte

// wireNames are the platform's names of calls and of fields of calls to a worker.
type wireNames struct {
	ReplaceConfig string `json:"replace_config"`
	Heartbeat     string `json:"heartbeat"` // the worker's identifier follows
	Start         string `json:"start"`
	Stop          string `json:"stop"`
	List          string `json:"list"` // renews the lease and lists the runs
	Pace          string `json:"pace"`

	Run         string `json:"run"`
	LeaseEnd    string `json:"lease_end"` // on the worker's clock, in ms
	Token       string `json:"token"`
	RecordedEnd string `json:"recorded_end"` // the worker forgets ends up to this number
}

var _wire = mustReadWire()

func mustReadWire() (w wireNames) {
	if err := json.Unmarshal(_wireFile, &w); err != nil {
		panic(fmt.Sprintf("wire.json: %s", err))
	}
	return w
}

// call is the body of a call to the worker.
type call struct {
	Task       string
	Run        int
	Spec       string
	Expires    int64
	Fence      uint64
	Checkpoint string
	LastSeen   int
	WaitMS     int64
	Percent    int
}

// UnmarshalJSON decodes a body with the platform's names.
func (c *call) UnmarshalJSON(data []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	for name, out := range map[string]any{
		"task": &c.Task, _wire.Run: &c.Run, "spec": &c.Spec, _wire.LeaseEnd: &c.Expires, _wire.Token: &c.Fence,
		"checkpoint": &c.Checkpoint, _wire.RecordedEnd: &c.LastSeen, "wait-ms": &c.WaitMS, "percent": &c.Percent,
	} {
		if value, ok := fields[name]; ok {
			if err := json.Unmarshal(value, out); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return nil
}

func since(t time.Time) time.Duration { return clock.Now().Sub(t) }

func until(t time.Time) time.Duration { return t.Sub(clock.Now()) }
