package daemon

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/settings"
)

// startSingleDaemon starts all roles in this process on five ports from firstPort
// on.
func startSingleDaemon(tb testing.TB, firstPort int) (caller, operator, target string) {
	tb.Helper()
	address := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+n) }
	file := filepath.Join(tb.TempDir(), "settings.json")
	text := fmt.Sprintf(`{
		"name": "single", "zone": "zone_a", "roles": ["controller", "agent", "entry"],
		"controller": {"id": "c1", "address": %q, "operator_address": %q, "data_folder": "data"},
		"entry": {"address": %q},
		"agent": {"id": "w1", "address": %q, "slots": 64, "connections": 256, "cpu": "4", "memory": "4GiB"},
		"sample": {"address": %q, "targets": ["sample"]}
	}`, address(0), address(1), address(2), address(3), address(4))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	s, err := settings.Load(file)
	if err != nil {
		tb.Fatal(err)
	}
	d, err := Start(&s, event.Log{})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		if err := d.Stop(tb.Context()); err != nil && tb.Context().Err() == nil {
			tb.Error(err)
		}
	})
	caller, operator, target = "http://"+address(2), "http://"+address(1), address(4)
	declareEntry(tb, operator, "quotes", "service")
	waitUntilOK(tb, caller+"/v1/services/quotes/ready")
	return caller, operator, target
}

func declareEntry(tb testing.TB, operator, name, class string) {
	tb.Helper()
	text := fmt.Sprintf(`{"name": %q, "owner": "workshop", "class": %q, "target": "sample", "limits": {"slots": 64, "connections": 256},
		"objective": {"ratio": 0.99, "latency": "1s"}}`, name, class)
	eventually(tb, "declare "+name, func() error {
		req, err := http.NewRequest(http.MethodPut, operator+"/v1/catalogue/entries/"+name, strings.NewReader(text))
		if err != nil {
			return err
		}
		return expectOK(http.DefaultClient.Do(req))
	})
}

func waitUntilOK(tb testing.TB, url string) {
	tb.Helper()
	eventually(tb, url, func() error { return expectOK(http.Get(url)) })
}

func expectOK(resp *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return err
}

// eventually retries for up to 20 s, far longer than a healthy run needs.
func eventually(tb testing.TB, what string, try func() error) {
	tb.Helper()
	var err error
	for range 400 {
		if err = try(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	tb.Fatalf("%s: %v", what, err)
}

func benchmarkGet(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.ResetTimer()
	for b.Loop() {
		if err := expectOK(client.Get(url)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPath compares requests sent directly to the target with requests
// through the entry and agent roles.
func BenchmarkPath(b *testing.B) {
	caller, _, target := startSingleDaemon(b, 18700)
	b.Run("direct", func(b *testing.B) { benchmarkGet(b, "http://"+target+"/price") })
	b.Run("through", func(b *testing.B) { benchmarkGet(b, caller+"/v1/services/quotes/price") })
}
