package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// Names of the configuration.
const (
	_service = "workshop-api"
	_host    = "shop.example"
	_prefix  = "/plans/"
)

const _config = `{"version":7,"routes":[{"name":"plans","host":"shop.example","path-prefix":"/plans/","kind":"unsafe","timeout-ms":3000,` +
	`"target-completion-ms":1000,"priority":2,"service":"workshop-api","max-attempts":4,"slack-factor":2.0}],` +
	`"services":[{"name":"workshop-api","health-path":"/healthz","max-connections":64,"protocol":"h1","tls-enabled":false,"resource-guard":false,"standby":false}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

const _requestTimeout = 3 * time.Second // a requester's time budget

// call sends one request and returns the status and the body; status 0 means no answer.
func call(method, address, host, path, body string, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// applyConfig sends the configuration until it is acknowledged.
func (d *deployment) applyConfig(config string) error {
	for end := clock.Now().Add(_startTimeout); clock.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, m := range d.core {
			status, _ := call(http.MethodPost, m.at(_controlPlanePort), "", _wire.ReplaceConfig, config, time.Second)
			d.rec.add("operator: configuration sent to %s, answer %d", m.name, status)
			if status == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New("the configuration was not acknowledged")
}

// submit hands a submission in, as a requester does: it repeats the request without an
// answer, after a refusal and after 502 or 504, at the next entry.
func (d *deployment) submit(id, body string) bool {
	for try := range 12 {
		m := d.edge[try%len(d.edge)]
		status, _ := call(http.MethodPost, m.at(_frontendPort), _host, _prefix+id, body, _requestTimeout)
		d.rec.add("requester: POST %s at %s, answer %d", id, m.name, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a submission at an entry.
func (d *deployment) state(id string) string {
	for try := range 3 {
		m := d.edge[try%len(d.edge)]
		status, text := call(http.MethodGet, m.at(_frontendPort), _host, _prefix+id, "", _requestTimeout)
		if status == http.StatusGone {
			return "410"
		}
		if status == http.StatusOK {
			_, text, _ = strings.Cut(text, `"state":"`)
			text, _, _ = strings.Cut(text, `"`)
			return text
		}
	}
	return "no answer"
}

// waitForState asks for the state until it is one of the wanted ones or the time is up,
// and returns the latest one.
func (d *deployment) waitForState(id string, timeout time.Duration, wanted ...string) string {
	last := ""
	for end := clock.Now().Add(timeout); clock.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		s := d.state(id)
		if s != last {
			d.rec.add("requester: GET %s, state %s", id, s)
			last = s
		}
		for _, want := range wanted {
			if s == want {
				return s
			}
		}
	}
	return last
}
