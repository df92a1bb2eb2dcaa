package telemetry

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

func TestHandlerWritesPrometheusText(t *testing.T) {
	r := metrics.NewRegistry()
	count := EventCounter(r)
	count("run_placed")
	count("run_placed")
	metrics.NewRegisteredTimer("entry.calls", r).Update(250 * time.Millisecond)
	metrics.NewRegisteredGauge("pool.free", r).Update(7)
	w := httptest.NewRecorder()
	Handler(r).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	const want = `gentianrail_entry_calls_seconds_count 1
gentianrail_entry_calls_seconds{quantile="0.5"} 0.25
gentianrail_entry_calls_seconds{quantile="0.95"} 0.25
gentianrail_entry_calls_seconds{quantile="0.99"} 0.25
gentianrail_events_total{event="run_placed"} 2
gentianrail_pool_free 7
`
	if got := w.Body.String(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
