package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/agent"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/unit"
)

// TestAgentRestartsWithEarlierWallClock starts an agent whose wall clock is an
// hour ahead, ends it, and starts it again with the correct time. The second agent
// must serve requests: its incarnation must not count as older.
func TestAgentRestartsWithEarlierWallClock(t *testing.T) {
	const firstPort = 18480
	address := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+n) }
	target := startFaultyTarget(t, address(4))
	t.Cleanup(func() { close(target.release) })
	file := filepath.Join(t.TempDir(), "settings.json")
	text := fmt.Sprintf(`{"name": "control", "zone": "zone_a", "roles": ["controller", "entry"],
		"controller": {"id": "c1", "address": %q, "operator_address": %q, "data_folder": "data"}, "entry": {"address": %q}}`,
		address(0), address(1), address(2))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := settings.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	d, err := Start(&s, event.Log{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Stop(t.Context()) })
	declareContractEntries(t, "http://"+address(1))
	var before uint64
	for _, now := range []time.Time{time.Now().Add(time.Hour), time.Now()} {
		agentSettings := s
		agentSettings.Agent = &settings.Agent{
			ID: "w1", Address: address(3), TargetAddress: address(4), Targets: []string{"sample"}, Slots: 16, Connections: 64,
			SyncInterval: unit.Duration(200 * time.Millisecond),
		}
		agentSettings.Controllers = []string{address(0)}
		a, err := agent.Start(&agentSettings, event.Log{}, control.NewClient(agentSettings.Controllers), nil, now)
		if err != nil {
			t.Fatal(err)
		}
		eventually(t, "the agent is registered", func() error {
			incarnation, err := registeredIncarnation("http://" + address(1))
			if err == nil && incarnation <= before {
				err = fmt.Errorf("incarnation %d, before %d", incarnation, before)
			}
			if err == nil {
				before = incarnation
			}
			return err
		})
		waitUntilOK(t, "http://"+address(2)+"/v1/services/narrow/ready")
		// The agent ends without retiring its worker, as after a kill.
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_ = a.Stop(ctx)
	}
}

// registeredIncarnation returns the agent incarnation of the only worker.
func registeredIncarnation(operator string) (uint64, error) {
	resp, err := http.Get(operator + "/v1/workers")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var doc struct {
		Workers []struct {
			Incarnation uint64 `json:"incarnation"`
		} `json:"workers"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil {
		return 0, err
	}
	if len(doc.Workers) != 1 {
		return 0, fmt.Errorf("%d workers", len(doc.Workers))
	}
	return doc.Workers[0].Incarnation, nil
}
