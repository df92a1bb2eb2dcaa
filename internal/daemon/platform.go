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
	"github.com/gentianrail/gentianrail/internal/front"
	"github.com/gentianrail/gentianrail/internal/runner"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/platform"
	"github.com/gentianrail/gentianrail/queue"
)

// servers is a part that serves the platform's interfaces.
type servers struct {
	before func(ctx context.Context) // called before the servers are stopped; nil for nothing
	list   []*web.Server
}

func (s *servers) listen(address string, h http.Handler) error {
	server, err := web.Listen(address, h)
	if err != nil {
		return err
	}
	s.list = append(s.list, server)
	return nil
}

// Stop implements part. Requests in flight are answered before it returns.
func (s *servers) Stop(ctx context.Context) error {
	if s.before != nil {
		s.before(ctx)
	}
	var errs []error
	for _, server := range s.list {
		errs = append(errs, server.Shutdown(ctx))
	}
	return errors.Join(errs...)
}

// clientPart closes a client of the controllers last.
type clientPart struct{ client *control.Client }

// Stop implements part.
func (p clientPart) Stop(context.Context) error {
	p.client.Close()
	return nil
}

// loggedQueues logs how an operator's orders are answered.
type loggedQueues struct {
	client *control.Client
	log    event.Log
}

var _ platform.Queues = loggedQueues{}

// ReplaceQueues implements platform.Queues.
func (q loggedQueues) ReplaceQueues(ctx context.Context, t queue.Table) error {
	began := time.Now()
	err := q.client.ReplaceQueues(ctx, t)
	q.note("replace", t.Version, began, err)
	return err
}

// Queues implements platform.Queues.
func (q loggedQueues) Queues(ctx context.Context) (queue.Table, error) {
	began := time.Now()
	t, err := q.client.Queues(ctx)
	q.note("describe", t.Version, began, err)
	return t, err
}

func (q loggedQueues) note(order string, version uint64, began time.Time, err error) {
	fields := event.Fields{
		"order": order, "version": version, "code": fault.CodeOf(err).Name(), "ms": time.Since(began).Milliseconds(),
	}
	if err != nil {
		fields["reason"] = fault.From(err).Message()
	}
	q.log.Emit(event.OrderAnswered, fields, "an operator's order was answered")
}

// startPlatform starts what serves the users' platform.
func (d *Daemon) startPlatform(s *settings.Settings) error {
	if s.Holds(settings.RoleController) {
		client := d.newClient(s)
		client.SetHint(d.core.Leader)
		d.parts = append(d.parts, clientPart{client})
		queues := loggedQueues{client: client, log: d.log.With("role", settings.RoleController)}
		if err := d.serve(nil, map[string]http.Handler{s.Platform.ControlPlane: platform.OperatorHandler(queues)}); err != nil {
			return err
		}
	}
	if s.Holds(settings.RoleAgent) {
		r := runner.Start(d.log.With("role", settings.RoleAgent), s.Name, s.Platform.Worker,
			platform.NewWorker(s.Platform.Worker), d.newClient(s), d.metrics)
		d.parts = append(d.parts, r)
		if err := d.serve(nil, map[string]http.Handler{s.Platform.ControlPlane: platform.RegistryHandler(r)}); err != nil {
			return err
		}
	}
	if s.Holds(settings.RoleEntry) {
		f := front.Start(d.log.With("role", settings.RoleEntry), d.newClient(s), d.metrics)
		d.parts = append(d.parts, f)
		return d.serve(f.Drain, map[string]http.Handler{
			s.Platform.Frontend:  platform.CallerHandler(f),
			s.Platform.Readiness: platform.ReadyHandler(f),
		})
	}
	return nil
}

// newClient returns a client of the controllers that follows the settings.
func (d *Daemon) newClient(s *settings.Settings) *control.Client {
	c := control.NewClient(s.Controllers)
	d.clients = append(d.clients, c)
	return c
}

func (d *Daemon) serve(before func(context.Context), handlers map[string]http.Handler) error {
	part := &servers{before: before}
	d.parts = append(d.parts, part)
	for address, h := range handlers {
		if err := part.listen(address, h); err != nil {
			return err
		}
	}
	return nil
}

// adviserOf returns the advice service of the settings, or nil.
func adviserOf(s *settings.Settings) controller.Adviser {
	if s.Platform == nil || s.Platform.Advice == "" {
		return nil
	}
	return platform.NewAdviser(s.Platform.Advice)
}
