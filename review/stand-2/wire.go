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

// wireNames are the platform's names of calls and fields that the stand-ins use.
type wireNames struct {
	// Paths of calls.
	ReplaceConfig string `json:"replace_config"`
	Heartbeat     string `json:"heartbeat"` // the worker's identifier follows
	Start         string `json:"start"`
	Stop          string `json:"stop"`
	List          string `json:"list"` // renews the lease and lists the runs
	Pace          string `json:"pace"`

	// Fields of a call to a worker.
	Task        string `json:"task"`
	Run         string `json:"run"`
	Spec        string `json:"spec"`
	LeaseEnd    string `json:"lease_end"` // on the worker's clock, in ms
	Token       string `json:"token"`
	Ticket      string `json:"ticket"`
	RecordedEnd string `json:"recorded_end"` // the worker forgets ends up to this number
	Wait        string `json:"wait"`         // in ms
}

var _wire = mustReadWire()

func mustReadWire() (w wireNames) {
	if err := json.Unmarshal(_wireFile, &w); err != nil {
		panic(fmt.Sprintf("wire.json: %s", err))
	}
	return w
}

// orderBody is the body of a call to a worker.
type orderBody struct {
	Task      string
	Run       uint32
	Spec      string
	ExpiresMS int64
	Fence     uint64
	Ticket    string
	LastSeen  uint64
	WaitMS    int64
}

// UnmarshalJSON decodes a body with the platform's names.
func (o *orderBody) UnmarshalJSON(data []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	for name, out := range map[string]any{
		_wire.Task: &o.Task, _wire.Run: &o.Run, _wire.Spec: &o.Spec, _wire.LeaseEnd: &o.ExpiresMS, _wire.Token: &o.Fence,
		_wire.Ticket: &o.Ticket, _wire.RecordedEnd: &o.LastSeen, _wire.Wait: &o.WaitMS,
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
