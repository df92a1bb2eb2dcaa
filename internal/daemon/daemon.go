// Package daemon runs the roles that the settings name in one process.
package daemon

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"

	"github.com/gentianrail/gentianrail/internal/agent"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/controller"
	"github.com/gentianrail/gentianrail/internal/entry"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/operator"
	"github.com/gentianrail/gentianrail/internal/sample"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/telemetry"
)

// _libraryQuitAfter keeps go-zero from ending the process on a signal; the
// drain decides when it ends.
const _libraryQuitAfter = 365 * 24 * time.Hour

// _gcPercent makes garbage collections rare, since each stops all requests
// for a moment; the memory limit bounds what that costs.
const _gcPercent = 400

// part is one role that runs.
type part interface {
	// Stop drains the role. It returns early when the context ends.
	Stop(ctx context.Context) error
}

// Daemon is the set of roles of one process.
type Daemon struct {
	parts   []part // in the order of their start
	log     event.Log
	drain   time.Duration
	metrics metrics.Registry
	core    *controller.Core  // nil if the process is no controller
	clients []*control.Client // whose seeds follow the settings
}

// Start starts the roles of the settings.
func Start(s *settings.Settings, log event.Log) (*Daemon, error) {
	logx.Disable()
	proc.SetTimeToForceQuit(_libraryQuitAfter)
	debug.SetMemoryLimit(int64(s.MemoryLimit))
	debug.SetGCPercent(_gcPercent)
	registry := metrics.NewRegistry()
	log = log.Counting(telemetry.Counting(registry))
	d := &Daemon{log: log, drain: time.Duration(s.DrainTimeout), metrics: registry}
	if err := d.start(s); err != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		return nil, errors.Join(err, d.Stop(ctx))
	}
	log.Emit(event.Started, event.Fields{"name": s.Name, "roles": s.Roles}, "started")
	return d, nil
}

func (d *Daemon) start(s *settings.Settings) error {
	if s.MetricsAddress != "" && (s.Controller == nil || s.Controller.OperatorAddress != s.MetricsAddress) {
		if err := d.serve(nil, map[string]http.Handler{s.MetricsAddress: telemetry.Handler(d.metrics)}); err != nil {
			return err
		}
	}
	if s.Sample != nil {
		t, err := sample.Start(s.Sample.Address)
		if err != nil {
			return err
		}
		d.parts = append(d.parts, samplePart{t})
	}
	if s.Controller != nil {
		c, err := controller.Start(s, d.log.With("role", settings.RoleController), adviserOf(s), d.metrics)
		if err != nil {
			return err
		}
		d.parts = append(d.parts, c)
		d.core = c.Core()
		if s.Controller.OperatorAddress == "" {
			return d.startRest(s)
		}
		o, err := operator.Start(s, c.Core(), d.metrics)
		if err != nil {
			return err
		}
		d.parts = append(d.parts, o)
	}
	return d.startRest(s)
}

// startRest starts the roles that are no controller's.
func (d *Daemon) startRest(s *settings.Settings) error {
	if s.Platform != nil {
		return d.startPlatform(s)
	}
	if s.Agent != nil {
		a, err := agent.Start(s, d.log.With("role", settings.RoleAgent), time.Now())
		if err != nil {
			return err
		}
		d.parts = append(d.parts, a)
	}
	if s.Entry != nil {
		e, err := entry.Start(s, d.log.With("role", settings.RoleEntry), d.metrics)
		if err != nil {
			return err
		}
		d.parts = append(d.parts, e)
	}
	return nil
}

// samplePart ends the stand-in target last.
type samplePart struct{ target *sample.Target }

// Stop implements part.
func (p samplePart) Stop(ctx context.Context) error { return p.target.Server().Shutdown(ctx) }

// Reload takes up changed settings. Only the controllers' addresses change while
// the process runs; all else takes effect at the next start.
func (d *Daemon) Reload(s *settings.Settings) {
	for _, c := range d.clients {
		c.SetSeeds(s.Controllers)
	}
	d.log.Emit(event.Reloaded, event.Fields{"controllers": s.Controllers}, "took up changed settings")
}

// Refuse notes that changed settings were not taken up.
func (d *Daemon) Refuse(err error) {
	d.log.Emit(event.ReloadFailed, event.Fields{"error": err.Error()}, "the changed settings are wrong; those in force stay")
}

// Failed returns a channel that is closed when the process has to be restarted:
// its disk has failed, and may be in order again.
func (d *Daemon) Failed() <-chan struct{} {
	if d.core == nil {
		return nil
	}
	return d.core.Failed()
}

// Stop drains the roles, the last started first, for as long as requests are
// in flight, or until the context or the drain timeout ends.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.drain)
	defer cancel()
	d.log.Emit(event.Draining, nil, "draining")
	var errs []error
	for i := len(d.parts) - 1; i >= 0; i-- {
		errs = append(errs, d.parts[i].Stop(ctx))
	}
	d.log.Emit(event.Stopped, nil, "stopped")
	return errors.Join(errs...)
}
