package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
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

// order is a call to a worker.
type order struct {
	task        string
	run         int
	spec        string
	leaseEndMS  float64
	token       uint64
	recordedEnd int
	waitMS      int
}

func decodeOrder(data []byte) (o order, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return o, err
	}
	for name, out := range map[string]any{
		_wire.Task: &o.task, _wire.Run: &o.run, _wire.Spec: &o.spec, _wire.LeaseEnd: &o.leaseEndMS,
		_wire.Token: &o.token, _wire.RecordedEnd: &o.recordedEnd, _wire.Wait: &o.waitMS,
	} {
		if field, ok := fields[name]; ok {
			if err := json.Unmarshal(field, out); err != nil {
				return o, fmt.Errorf("field %s: %w", name, err)
			}
		}
	}
	return o, nil
}
