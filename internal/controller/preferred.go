package controller

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/internal/event"
)

// preferredWaits are the metrics of waits for the racks where tasks run fastest.
type preferredWaits struct {
	begun, onRack, elsewhere metrics.Gauge
}

func newPreferredWaits(registry metrics.Registry) preferredWaits {
	return preferredWaits{
		begun:     metrics.NewRegisteredGauge("controller.preferred_waits", registry),
		onRack:    metrics.NewRegisteredGauge("controller.preferred_waits_met", registry),
		elsewhere: metrics.NewRegisteredGauge("controller.preferred_waits_given_up", registry),
	}
}

func (p *preferredWaits) update(c dispatch.PreferenceCounts) {
	p.begun.Update(c.Waits)
	p.onRack.Update(c.Preferred)
	p.elsewhere.Update(c.Elsewhere)
}

// addPreferredWait adds to the fields of a waiting step that tasks wait for their rack.
func addPreferredWait(fields event.Fields, now time.Time, w *dispatch.PreferredWait) {
	if w == nil {
		return
	}
	fields["preferred_rack"], fields["preferred_tasks"], fields["preferred_reason"] = w.Rack, w.Tasks, w.Reason.String()
	fields["preferred_expected_ms"], fields["preferred_until_ms"] = w.Expected.Milliseconds(), w.Until.Sub(now).Milliseconds()
}
