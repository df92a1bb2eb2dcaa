// Package entry is the thin role that callers talk to. It holds a read-only
// view of the catalogue and the workers, picks a worker for each request and
// passes request and answer through. It keeps nothing that must survive it.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/rest"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/jobsapi"
	"github.com/gentianrail/gentianrail/internal/link"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/routing"
	"github.com/gentianrail/gentianrail/worker"
)

// Timing of an entry instance's own tasks.
const (
	_expireInterval = 5 * time.Second
	_reportInterval = time.Second
	_reportTimeout  = time.Second
	_leaveNotice    = 500 * time.Millisecond // between saying not ready and refusing connections
)

// Entry is one running entry instance.
type Entry struct {
	name        string
	zone        string
	cfg         settings.Entry
	log         event.Log
	view        control.View
	controllers *control.Client
	pool        link.Pool
	web         *web.Server
	router      *router
	burns       *burnRecorder
	budget      retryBudget
	leaving     atomic.Bool
	watches     context.Context // ends when watches are to be closed
	endWatches  context.CancelFunc
	tasks       sync.WaitGroup
	cancel      context.CancelFunc
	changed     chan struct{} // size one; the view has changed
	requests    metrics.Timer
	retries     metrics.Counter
}

// Start starts an entry instance.
func Start(s *settings.Settings, log event.Log, registry metrics.Registry) (*Entry, error) {
	e := &Entry{
		name:        s.Name,
		zone:        s.Zone,
		cfg:         *s.Entry,
		log:         log,
		controllers: control.NewClient(s.Controllers),
		changed:     make(chan struct{}, 1),
		router:      newRouter(uint64(time.Now().UnixNano()), uint64(os.Getpid())),
		requests:    metrics.NewRegisteredTimer("entry.requests", registry),
		retries:     metrics.NewRegisteredCounter("entry.retries", registry),
	}
	e.budget.ratio = s.Entry.RetryRatio
	e.burns = newBurnRecorder(s.Name, uint64(time.Now().UnixNano()))
	e.watches, e.endWatches = context.WithCancel(context.Background())
	handler, err := web.Handler("caller", e.routes())
	if err != nil {
		return nil, err
	}
	if e.web, err = web.Listen(s.Entry.Address, handler); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.tasks.Go(func() { e.follow(ctx) })
	e.tasks.Go(func() { e.keepHouse(ctx) })
	e.tasks.Go(func() { e.burns.run(ctx, e.controllers, time.Duration(e.cfg.BurnInterval), log) })
	return e, nil
}

func (e *Entry) routes() []rest.Route {
	routes := []rest.Route{
		{Method: web.AnyMethod, Path: "/v1/services/{entry}/{path...}", Handler: e.service},
		{Method: http.MethodGet, Path: "/v1/watches/{entry}/{path...}", Handler: e.watch},
		{Method: http.MethodGet, Path: "/healthz", Handler: e.healthz},
		{Method: http.MethodGet, Path: "/readyz", Handler: e.readyz},
	}
	return append(routes, jobsapi.New(e.controllers).Routes()...)
}

// Address returns the address of the caller API.
func (e *Entry) Address() string { return e.web.Address() }

func (e *Entry) follow(ctx context.Context) {
	lost := func(err error) {
		e.log.Emit(event.ViewLost, event.Fields{"error": err.Error(), "revision": e.view.Revision()},
			"the view's stream broke; the last view stays in force until another controller is reached")
	}
	e.controllers.Follow(ctx, e.name, &e.view, func() {
		e.router.forget(&e.view)
		select {
		case e.changed <- struct{}{}:
		default:
		}
	}, lost)
}

// keepHouse closes idle connections and reports the revision in force.
func (e *Entry) keepHouse(ctx context.Context) {
	expire := time.NewTicker(_expireInterval)
	defer expire.Stop()
	report := time.NewTicker(_reportInterval)
	defer report.Stop()
	var reported uint64
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-expire.C:
			e.pool.Expire(now)
			e.controllers.Expire(now)
		case <-report.C:
			reported = e.report(ctx)
		case <-e.changed:
			if e.view.Revision() > reported {
				reported = e.report(ctx)
			}
		}
	}
}

// report tells the leader which revision is in force here.
func (e *Entry) report(ctx context.Context) uint64 {
	ctx, cancel := context.WithTimeout(ctx, _reportTimeout)
	defer cancel()
	revision := e.view.Revision()
	// A lost report shows as a growing silence in the status.
	_ = e.controllers.Report(ctx, e.name, settings.RoleEntry, revision)
	return revision
}

// HealthDocument is the JSON form of a health answer.
type HealthDocument struct {
	Status   string `json:"status"`
	Revision uint64 `json:"revision"`
}

func (e *Entry) healthz(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, HealthDocument{Status: "ok", Revision: e.view.Revision()})
}

func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() {
		web.WriteFault(w, fault.New(fault.Draining, "this entry instance is leaving"))
		return
	}
	if !e.view.Loaded() {
		web.WriteFault(w, fault.New(fault.NotReady, "the catalogue has not been loaded yet"))
		return
	}
	web.WriteJSON(w, http.StatusOK, HealthDocument{Status: "ready", Revision: e.view.Revision()})
}

// Stop drains: the balancer is told, watches are closed between two events,
// and the requests in flight finish.
func (e *Entry) Stop(ctx context.Context) error {
	e.leaving.Store(true)
	select {
	case <-time.After(_leaveNotice):
	case <-ctx.Done():
	}
	e.endWatches()
	err := e.web.Shutdown(ctx)
	e.burns.flush(ctx, e.controllers)
	e.cancel()
	e.tasks.Wait()
	e.pool.Close()
	e.controllers.Close()
	return err
}

// router guards the routing table.
type router struct {
	mu    sync.Mutex
	table routing.Table
	rnd   *rand.Rand
}

func newRouter(seed1, seed2 uint64) *router {
	return &router{rnd: rand.New(rand.NewPCG(seed1, seed2))}
}

func (r *router) pick(now time.Time, zone string, candidates *routing.Candidates, tried []string) (worker.Worker, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.table.Pick(now, r.rnd, zone, candidates, tried)
	if ok {
		r.table.Sent(w)
	}
	return w, ok
}

// with runs a function on the table.
func (r *router) with(fn func(t *routing.Table)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(&r.table)
}

func (r *router) forget(v *control.View) {
	r.with(func(t *routing.Table) { t.Forget(v.Knows) })
}

// retryBudget allows retries as a share of the requests, with a few in
// reserve, so that a failing target is not loaded with retries.
type retryBudget struct {
	mu     sync.Mutex
	ratio  float64
	tokens float64
	begun  bool
}

const _retryReserve = 10

// request notes a request.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.tokens = min(b.tokens+b.ratio, _retryReserve)
}

// take reports whether a retry is allowed.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *retryBudget) start() {
	if !b.begun {
		b.begun = true
		b.tokens = _retryReserve
	}
}
