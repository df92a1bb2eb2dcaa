package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/controller"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/frontend"
	"github.com/gentianrail/gentianrail/internal/runner"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/platform"
	"github.com/gentianrail/gentianrail/queue"
)

// serverGroup is a component that runs HTTP servers.
type serverGroup struct {
	beforeStop func(ctx context.Context) // called before the servers stop; may be nil
	servers    []*web.Server
}

// listen serves a handler. Small listeners serve probes.
func (s *serverGroup) listen(gate *web.Gate, address string, h http.Handler, small bool) error {
	listen := gate.Listen
	if small {
		listen = gate.ListenSmall
	}
	server, err := listen(address, h)
	if err != nil {
		return err
	}
	s.servers = append(s.servers, server)
	return nil
}

// Stop implements component. It waits for requests in flight until the context
// ends.
func (s *serverGroup) Stop(ctx context.Context) error {
	if s.beforeStop != nil {
		s.beforeStop(ctx)
	}
	var errs []error
	for _, server := range s.servers {
		errs = append(errs, server.Shutdown(ctx))
	}
	return errors.Join(errs...)
}

// clientComponent closes a client of the controllers. The client starts before
// the servers that use it, so it closes after them.
type clientComponent struct{ client *control.Client }

// Stop implements component.
func (c clientComponent) Stop(context.Context) error {
	c.client.Close()
	return nil
}

// loggedOrders passes an operator's requests to the controllers and logs the
// answers.
type loggedOrders struct {
	client *control.Client
	log    event.Log
}

var (
	_ platform.Queues      = loggedOrders{}
	_ platform.Evacuations = loggedOrders{}
)

// ReplaceQueues implements platform.Queues.
func (q loggedOrders) ReplaceQueues(ctx context.Context, t queue.Table) error {
	began := time.Now()
	err := q.client.ReplaceQueues(ctx, t)
	q.logAnswer("replace", event.Fields{"version": t.Version}, began, err)
	return err
}

// Queues implements platform.Queues.
func (q loggedOrders) Queues(ctx context.Context) (queue.Table, error) {
	began := time.Now()
	t, err := q.client.Queues(ctx)
	q.logAnswer("describe", event.Fields{"version": t.Version}, began, err)
	return t, err
}

// StartEvacuation implements platform.Evacuations.
func (q loggedOrders) StartEvacuation(ctx context.Context, zone string) error {
	began := time.Now()
	err := q.client.StartEvacuation(ctx, zone)
	q.logAnswer("start_evacuation", event.Fields{"zone": zone}, began, err)
	return err
}

// FinishEvacuation implements platform.Evacuations.
func (q loggedOrders) FinishEvacuation(ctx context.Context, zone string) error {
	began := time.Now()
	err := q.client.FinishEvacuation(ctx, zone)
	q.logAnswer("finish_evacuation", event.Fields{"zone": zone}, began, err)
	return err
}

func (q loggedOrders) logAnswer(request string, fields event.Fields, began time.Time, err error) {
	fields["order"], fields["code"], fields["ms"] = request, fault.CodeOf(err).Name(), time.Since(began).Milliseconds()
	if err != nil {
		fields["reason"] = fault.From(err).Message()
	}
	q.log.Emit(event.OrderAnswered, fields, "operator request answered")
}

// startPlatform starts the roles that serve the platform's interfaces.
func (d *Daemon) startPlatform(s *settings.Settings) error {
	if s.HasRole(settings.RoleController) {
		client := d.newClient(s)
		client.SetLeaderHint(d.core.LeaderAddress)
		d.components = append(d.components, clientComponent{client})
		orders := loggedOrders{client: client, log: d.log.With("role", settings.RoleController)}
		if err := d.startServers(nil, "", map[string]http.Handler{s.Platform.ControlPlane: platform.OperatorHandler(orders, orders)}); err != nil {
			return err
		}
	}
	if s.HasRole(settings.RoleAgent) {
		r := runner.Start(d.log.With("role", settings.RoleAgent), s.Name, s.Platform.Worker,
			platform.NewWorkerClient(s.Platform.Worker, d.metrics), time.Duration(s.Platform.MaxLease), time.Duration(s.Platform.MaxCallDelay),
			d.newClient(s), d.metrics)
		d.components = append(d.components, r)
		if err := d.startServers(nil, "", map[string]http.Handler{s.Platform.ControlPlane: platform.RegistryHandler(r)}); err != nil {
			return err
		}
	}
	if s.HasRole(settings.RoleEntry) {
		f := frontend.Start(d.log.With("role", settings.RoleEntry), d.newClient(s), d.metrics)
		d.components = append(d.components, f)
		return d.startServers(f.Drain, s.Platform.Readiness, map[string]http.Handler{
			s.Platform.Frontend:  platform.CallerHandler(f),
			s.Platform.Readiness: platform.ReadyHandler(f),
		})
	}
	return nil
}

// newClient returns a client of the controllers whose seeds follow the settings.
func (d *Daemon) newClient(s *settings.Settings) *control.Client {
	c := control.NewClient(s.Controllers)
	d.clients = append(d.clients, c)
	return c
}

func (d *Daemon) startServers(beforeStop func(context.Context), probes string, handlers map[string]http.Handler) error {
	group := &serverGroup{beforeStop: beforeStop}
	d.components = append(d.components, group)
	for address, h := range handlers {
		if err := group.listen(d.gate, address, h, address == probes); err != nil {
			return err
		}
	}
	return nil
}

// newAdviceClient returns a client of the advice service in the settings, or nil
// if the settings name none.
func newAdviceClient(s *settings.Settings) controller.AdviceClient {
	if s.Platform == nil || s.Platform.Advice == "" {
		return nil
	}
	return platform.NewAdviceClient(s.Platform.Advice)
}
