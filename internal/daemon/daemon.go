// Package daemon runs the roles that the settings enable in one process.
package daemon

import (
	"context"
	"errors"
	"math"
	"runtime/debug"
	"syscall"
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
	"github.com/gentianrail/gentianrail/internal/web"
)

// _forceQuitDelay is the time after a signal at which go-zero ends the process.
// The delay is longer than any drain, since the drain decides when the process
// ends.
const _forceQuitDelay = 365 * 24 * time.Hour

// _gcPercent makes garbage collections rare, since each one pauses all requests
// briefly. The memory limit bounds the extra memory.
const _gcPercent = 400

// component is a running role, server or client of the process.
type component interface {
	// Stop drains the component. It returns early when the context ends.
	Stop(ctx context.Context) error
}

// Daemon is the set of roles of one process.
type Daemon struct {
	components   []component // in start order
	log          event.Log
	drainTimeout time.Duration
	metrics      metrics.Registry
	gate         *web.Gate
	core         *controller.Core  // nil without the controller role
	clients      []*control.Client // get new seeds when the settings change
}

// Start starts the roles of the settings.
func Start(s *settings.Settings, log event.Log) (*Daemon, error) {
	logx.Disable()
	proc.SetTimeToForceQuit(_forceQuitDelay)
	debug.SetMemoryLimit(int64(s.MemoryLimit))
	debug.SetGCPercent(_gcPercent)
	registry := metrics.NewRegistry()
	log = log.WithCounter(telemetry.EventCounter(registry))
	d := &Daemon{log: log, drainTimeout: time.Duration(s.DrainTimeout), metrics: registry}
	s.Intake = s.IntakeLimits(descriptorLimit())
	d.gate = newGate(s, log, registry)
	if err := d.startRoles(s); err != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		return nil, errors.Join(err, d.Stop(ctx))
	}
	log.Emit(event.Started, event.Fields{"name": s.Name, "roles": s.Roles}, "started")
	return d, nil
}

// Bounds of the receive buffers of all connections together, and of their send buffers.
const (
	_memoryPerSocketBuffers = 4 // memory_limit by their sum; the kernel takes up to twice as much
	_minSocketBuffer        = 16 << 10
	_maxSocketBuffer        = 256 << 10
	_assumedDescriptors     = 1024 // if the limit is unknown
)

// descriptorLimit returns how many files the process may open.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		return int(limit.Cur)
	}
	return _assumedDescriptors
}

// newGate returns the gate of the process's listeners for callers, operators and workers.
func newGate(s *settings.Settings, log event.Log, registry metrics.Registry) *web.Gate {
	l := s.Intake
	buffer := int64(s.MemoryLimit) / _memoryPerSocketBuffers / int64(l.Connections)
	return web.NewGate(web.GateConfig{
		BodyBudget:    int64(l.BodyBudget),
		Connections:   l.Connections,
		Buffer:        int(min(max(buffer, _minSocketBuffer), _maxSocketBuffer)),
		BodyTimeout:   time.Duration(l.BodyTimeout),
		HeaderTimeout: time.Duration(l.HeaderTimeout),
		IdleTimeout:   time.Duration(l.IdleTimeout),
		Log:           log,
		Metrics:       registry,
	})
}

func (d *Daemon) startRoles(s *settings.Settings) error {
	if s.MetricsAddress != "" && (s.Controller == nil || s.Controller.OperatorAddress != s.MetricsAddress) {
		server, err := d.gate.ListenSmall(s.MetricsAddress, telemetry.Handler(d.metrics))
		if err != nil {
			return err
		}
		d.components = append(d.components, &serverGroup{servers: []*web.Server{server}})
	}
	if s.Sample != nil {
		t, err := sample.Start(s.Sample.Address)
		if err != nil {
			return err
		}
		d.components = append(d.components, sampleComponent{t})
	}
	if s.Controller != nil {
		c, err := controller.Start(s, d.log.With("role", settings.RoleController), newAdviceClient(s), d.newClient(s), d.metrics)
		if err != nil {
			return err
		}
		d.components = append(d.components, c)
		d.core = c.Core()
		if s.Controller.OperatorAddress == "" {
			return d.startOtherRoles(s)
		}
		o, err := operator.Start(s, c.Core(), d.newClient(s), d.metrics, d.gate)
		if err != nil {
			return err
		}
		d.components = append(d.components, o)
	}
	return d.startOtherRoles(s)
}

// startOtherRoles starts the roles other than the controller.
func (d *Daemon) startOtherRoles(s *settings.Settings) error {
	if s.Platform != nil {
		return d.startPlatform(s)
	}
	if s.Agent != nil {
		a, err := agent.Start(s, d.log.With("role", settings.RoleAgent), d.newClient(s), d.metrics, time.Now())
		if err != nil {
			return err
		}
		d.components = append(d.components, a)
	}
	if s.Entry != nil {
		e, err := entry.Start(s, d.log.With("role", settings.RoleEntry), d.newClient(s), d.metrics, d.gate)
		if err != nil {
			return err
		}
		d.components = append(d.components, e)
	}
	return nil
}

// sampleComponent stops the sample target. The target starts before the roles,
// so it stops after them.
type sampleComponent struct{ target *sample.Target }

// Stop implements component.
func (c sampleComponent) Stop(ctx context.Context) error { return c.target.Server().Shutdown(ctx) }

// Reload applies changed settings. Only the controllers' addresses change while
// the process runs; all other settings take effect at the next start.
func (d *Daemon) Reload(s *settings.Settings) {
	for _, c := range d.clients {
		c.SetSeeds(s.Controllers)
	}
	d.log.Emit(event.Reloaded, event.Fields{"controllers": s.Controllers}, "changed settings applied")
}

// LogReloadFailure logs that changed settings are rejected.
func (d *Daemon) LogReloadFailure(err error) {
	d.log.Emit(event.ReloadFailed, event.Fields{"error": err.Error()}, "changed settings rejected; the current settings stay effective")
}

// DiskFailed returns a channel that is closed when the disk fails. The process
// then has to restart, since the disk may work again.
func (d *Daemon) DiskFailed() <-chan struct{} {
	if d.core == nil {
		return nil
	}
	return d.core.DiskFailed()
}

// Stop drains the components in reverse start order. It waits for requests in
// flight until the context or the drain timeout ends.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.drainTimeout)
	defer cancel()
	d.log.Emit(event.Draining, nil, "draining")
	var errs []error
	for i := len(d.components) - 1; i >= 0; i-- {
		errs = append(errs, d.components[i].Stop(ctx))
	}
	d.log.Emit(event.Stopped, nil, "stopped")
	return errors.Join(errs...)
}
