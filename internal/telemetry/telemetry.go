// Package telemetry serves the metrics of a process in the Prometheus text
// format.
package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// _quantiles are the quantiles written for each timer and histogram.
var _quantiles = []float64{0.5, 0.95, 0.99}

// EventCounter returns a function that counts events by name in the registry.
func EventCounter(registry metrics.Registry) func(name string) {
	return func(name string) {
		metrics.GetOrRegisterCounter("event."+name, registry).Inc(1)
	}
}

// Handler serves the metrics of the registry.
func Handler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		Write(w, registry)
	})
}

// Write writes all metrics, one value per line, in order of their names. Timers
// are in seconds.
func Write(w io.Writer, registry metrics.Registry) {
	var lines []string
	add := func(name string, labels string, v float64) {
		lines = append(lines, fmt.Sprintf("%s%s %g\n", name, labels, v))
	}
	registry.Each(func(name string, m any) {
		label := ""
		if event, ok := strings.CutPrefix(name, "event."); ok {
			name, label = "events", fmt.Sprintf("{event=%q}", event)
		}
		name = "gentianrail_" + strings.ReplaceAll(name, ".", "_")
		switch m := m.(type) {
		case metrics.Counter:
			add(name+"_total", label, float64(m.Count()))
		case metrics.Gauge:
			add(name, label, float64(m.Value()))
		case metrics.Timer:
			t := m.Snapshot()
			for _, q := range _quantiles {
				add(name+"_seconds", fmt.Sprintf("{quantile=\"%g\"}", q), t.Percentile(q)/float64(time.Second))
			}
			add(name+"_seconds_count", "", float64(t.Count()))
		case metrics.Histogram:
			h := m.Snapshot()
			for _, q := range _quantiles {
				add(name, fmt.Sprintf("{quantile=\"%g\"}", q), h.Percentile(q))
			}
			add(name+"_count", "", float64(h.Count()))
		}
	})
	sort.Strings(lines)
	for _, l := range lines {
		// A failed write means that the client has disconnected.
		_, _ = io.WriteString(w, l)
	}
}
