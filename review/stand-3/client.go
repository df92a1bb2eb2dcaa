package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// route is a queue of the config.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"path-prefix"`
	Kind        string  `json:"kind"`
	TimeoutMS   int     `json:"timeout-ms"`
	TargetMS    int     `json:"target-completion-ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max-attempts"`
	Slack       float64 `json:"slack-factor"`
}

// Queues of the site owl-rota.
var (
	_lookup = route{Name: "r-lookup", Host: "nony24.example", Prefix: "/lohu930/", Kind: "unsafe", TimeoutMS: 3000, TargetMS: 250, Service: "huvo11a", MaxAttempts: 4, Slack: 1.5}
	_plan   = route{Name: "r-plan", Host: "ficu95.example", Prefix: "/pufi791/", Kind: "unsafe", TimeoutMS: 3000, TargetMS: 1000, Priority: 2, Service: "huvo11a", MaxAttempts: 4, Slack: 2}
	_watch  = route{Name: "r-watch", Host: "nony24.example", Prefix: "/pule252/", Kind: "unsafe", TimeoutMS: 3000, TargetMS: 2500, Service: "huvo11a", MaxAttempts: 2, Slack: 2.2}
)

func config(version int, routes ...route) []byte {
	return mustJSON(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": "huvo11a", "health-path": "/healthz", "max-connections": 64, "protocol": "h1", "tls-enabled": false,
			"resource-guard": false, "standby": false,
		}},
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

// client sends the calls of requesters and of the operator.
type client struct {
	rec   *record
	world *world
	d     *deployment
	http  *http.Client
}

func newClient(rec *record, w *world, d *deployment) *client {
	return &client{rec: rec, world: w, d: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}}
}

// do sends a call and returns the status, or 0 if there is no answer in time.
func (c *client) do(ctx context.Context, method, address, host, path string, body []byte, wait time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.GetBody = nil
	if host != "" {
		req.Host = host
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// putConfig sends a config until it is acknowledged.
func (c *client) putConfig(ctx context.Context, body []byte) error {
	cores := c.d.of("core")
	for i := 0; ctx.Err() == nil; i++ {
		status, data := c.do(ctx, http.MethodPost, cores[i%len(cores)].address(_controlPort), "", _wire.ReplaceConfig, body, time.Second)
		if status == http.StatusOK {
			c.rec.printf("config acknowledged")
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("the config was refused: %d %s", status, data)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ctx.Err()
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a submission in until it is accepted, as a requester with retries does.
func (c *client) submit(ctx context.Context, r route, id string, j job, tries int) int {
	c.world.add(id, r.MaxAttempts, j)
	edges := c.d.of("edge")
	first := rand.IntN(len(edges))
	status := 0
	for i := range tries {
		e := edges[(first+i)%len(edges)]
		var data []byte
		status, data = c.do(ctx, http.MethodPost, e.address(_callerPort), r.Host, r.Prefix+id, mustJSON(j), 3*time.Second)
		c.rec.printf("POST %s at %s: %d %s", id, e.name, status, short(data))
		if status == http.StatusOK || status == http.StatusNotFound || status == http.StatusBadRequest {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status
}

func short(data []byte) string { return string(data[:min(len(data), 120)]) }

// state asks for a submission's state until there is an answer; "" if there is none.
func (c *client) state(ctx context.Context, r route, id string) (string, int) {
	edges := c.d.of("edge")
	first := rand.IntN(len(edges))
	status := 0
	for i := range 4 {
		e := edges[(first+i)%len(edges)]
		var data []byte
		status, data = c.do(ctx, http.MethodGet, e.address(_callerPort), r.Host, r.Prefix+id, nil, 3*time.Second)
		c.rec.printf("GET %s at %s: %d %s", id, e.name, status, short(data))
		if status == http.StatusOK {
			var out struct {
				State string `json:"state"`
			}
			if json.Unmarshal(data, &out) == nil {
				return out.State, status
			}
		}
		if status == http.StatusGone || status == http.StatusNotFound {
			return "", status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "", status
}
