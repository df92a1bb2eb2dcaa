package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// step is one step of a submission, as callers send it.
type step struct {
	Count          int    `json:"count"`
	CPU            int64  `json:"cpu,omitempty"`
	MemMB          int64  `json:"mem-mb,omitempty"`
	EstimatedMS    int64  `json:"estimated-ms,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	AntiAffinity   int    `json:"anti-affinity,omitempty"`
	LongRunning    bool   `json:"long-running,omitempty"`
	Image          string `json:"image,omitempty"`
	MaxUnavailable int    `json:"max-unavailable,omitempty"`
	TargetMS       int    `json:"target-ms,omitempty"`
	Utilization    bool   `json:"utilization,omitempty"`
	Requirements   string `json:"requirements,omitempty"`
}

type spec struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// route is a queue in the operator's configuration.
type route struct {
	Name           string          `json:"name"`
	Host           string          `json:"host"`
	Prefix         string          `json:"path-prefix"`
	Kind           string          `json:"kind"`
	TimeoutMS      int             `json:"timeout-ms"`
	TargetMS       int             `json:"target-completion-ms"`
	Priority       int             `json:"priority"`
	Service        string          `json:"service"`
	MaxAttempts    int             `json:"max-attempts"`
	SlackFactor    float64         `json:"slack-factor"`
	Recommendation *recommendation `json:"recommendation,omitempty"`
}

type recommendation struct {
	DecisionLatencyMS int `json:"decision-latency-ms"`
	PerWorkerMS       int `json:"per-worker-ms"`
	ValidityMS        int `json:"validity-ms"`
}

const _service = "workshop-api"

func newRoute(name string) route {
	return route{
		Name: name, Host: "shop.example", Prefix: "/" + name + "/", Kind: "unsafe", TimeoutMS: 3000, TargetMS: 250, Service: _service,
		MaxAttempts: 4, SlackFactor: 1.5,
	}
}

// configBody returns the next version of the configuration with the given routes.
func (d *deployment) configBody(routes []route) []byte {
	d.configVersion += 3
	data, _ := json.Marshal(map[string]any{
		"version": d.configVersion, "routes": routes,
		"services": []map[string]any{{
			"name": _service, "health-path": "/healthz", "max-connections": 64, "protocol": "h1", "tls-enabled": false, "resource-guard": false, "standby": false,
		}},
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return data
}

// sendConfig sends a configuration to one controller, once.
func (d *deployment) sendConfig(m *machine, body []byte) (status int, err error) {
	resp, err := d.operatorHTTP.Post("http://"+m.address(portControlPlane)+_wire.ReplaceConfig, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// replaceConfig sends a configuration to one controller after the other until it is
// acknowledged.
func (d *deployment) replaceConfig(body []byte) error {
	return waitFor(10*time.Second, "the ack of a configuration", func() bool {
		status, err := d.sendConfig(d.core[rand.IntN(len(d.core))], body)
		return err == nil && status == http.StatusOK
	})
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// caller sends requests to the entries.
type caller struct {
	client *http.Client
	wait   time.Duration // for a response
}

func newCaller(wait time.Duration) *caller {
	return &caller{client: &http.Client{Timeout: wait, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}, wait: wait}
}

// call sends one request. status is 0 if there was no complete response.
func (c *caller) call(m *machine, method string, q route, id string, body any) (status int, answer string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+m.address(portFrontend)+q.Prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = q.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(c.wait.Milliseconds()))
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(out)
}
