// Package entry implements the entry role, which callers send requests to. An
// entry instance follows a read-only view of the catalogue and the workers, picks
// a worker for each request and proxies the request and its answer. It has no
// persistent state.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/rest"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/jobsapi"
	"github.com/gentianrail/gentianrail/internal/link"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/routing"
	"github.com/gentianrail/gentianrail/worker"
)

// Timing of an entry instance's background work.
const (
	_expireInterval = 5 * time.Second // between closings of idle connections
	_reportInterval = time.Second     // between reports of the effective revision
	_reportTimeout  = time.Second
	_drainDelay     = 500 * time.Millisecond // between failing the readiness check and closing the listener
)

// Entry is one running entry instance.
type Entry struct {
	name          string
	zone          string
	cfg           settings.Entry
	log           event.Log
	view          control.View
	controllers   *control.Client
	pool          link.Pool
	web           *web.Server
	router        *router
	burns         *burnRecorder
	budget        retryBudget
	wholeBody     int64 // bytes of a body up to which it is received completely before a worker is asked
	draining      atomic.Bool
	watchesCtx    context.Context // cancelled to close the watches
	cancelWatches context.CancelFunc
	background    sync.WaitGroup
	cancel        context.CancelFunc
	viewChanged   chan struct{} // buffer of one; signals a change of the view
	requests      metrics.Timer
	retries       metrics.Counter
}

// Start starts an entry instance.
func Start(s *settings.Settings, log event.Log, controllers *control.Client, registry metrics.Registry, gate *web.Gate) (*Entry, error) {
	e := &Entry{
		name:        s.Name,
		zone:        s.Zone,
		cfg:         *s.Entry,
		log:         log,
		controllers: controllers,
		viewChanged: make(chan struct{}, 1),
		router:      newRouter(uint64(time.Now().UnixNano()), uint64(os.Getpid())),
		requests:    metrics.NewRegisteredTimer("entry.requests", registry),
		retries:     metrics.NewRegisteredCounter("entry.retries", registry),
		wholeBody:   gate.WholeBody(),
	}
	e.budget.ratio = s.Entry.RetryRatio
	e.burns = newBurnRecorder(s.Name + "/" + uuid.NewString())
	e.watchesCtx, e.cancelWatches = context.WithCancel(context.Background())
	handler, err := web.Handler("caller", e.routes())
	if err != nil {
		return nil, err
	}
	if e.web, err = gate.Listen(s.Entry.Address, handler); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.background.Go(func() { e.followView(ctx) })
	e.background.Go(func() { e.runMaintenance(ctx) })
	e.background.Go(func() { e.burns.run(ctx, e.controllers, time.Duration(e.cfg.BurnInterval), log) })
	return e, nil
}

func (e *Entry) routes() []rest.Route {
	routes := []rest.Route{
		{Method: web.AnyMethod, Path: "/v1/services/{entry}/{path...}", Handler: e.serveRequest},
		{Method: http.MethodGet, Path: "/v1/watches/{entry}/{path...}", Handler: e.serveWatch},
		{Method: http.MethodGet, Path: "/healthz", Handler: e.healthz},
		{Method: http.MethodGet, Path: "/readyz", Handler: e.readyz},
	}
	return append(routes, jobsapi.New(e.controllers).Routes()...)
}

// Address returns the address of the caller API.
func (e *Entry) Address() string { return e.web.Address() }

func (e *Entry) followView(ctx context.Context) {
	onLost := func(err error) {
		e.log.Emit(event.ViewLost, event.Fields{"error": err.Error(), "revision": e.view.Revision()},
			"view stream ended; using the last view until another controller is reached")
	}
	e.controllers.FollowView(ctx, e.name, &e.view, func() {
		e.router.pruneWorkers(&e.view)
		select {
		case e.viewChanged <- struct{}{}:
		default:
		}
	}, onLost)
}

// runMaintenance closes idle connections and reports the effective revision.
func (e *Entry) runMaintenance(ctx context.Context) {
	expire := time.NewTicker(_expireInterval)
	defer expire.Stop()
	report := time.NewTicker(_reportInterval)
	defer report.Stop()
	var reported uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-expire.C:
			now := clock.Now()
			e.pool.CloseExpired(now)
			e.controllers.CloseExpired(now)
		case <-report.C:
			reported = e.reportRevision(ctx)
		case <-e.viewChanged:
			if e.view.Revision() > reported {
				reported = e.reportRevision(ctx)
			}
		}
	}
}

// reportRevision reports the effective revision to the leader and returns the
// revision.
func (e *Entry) reportRevision(ctx context.Context) uint64 {
	ctx, cancel := context.WithTimeout(ctx, _reportTimeout)
	defer cancel()
	revision := e.view.Revision()
	// The status shows a lost report as a growing time since the last report.
	_ = e.controllers.ReportRevision(ctx, e.name, settings.RoleEntry, revision)
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
	if e.draining.Load() {
		web.WriteFault(w, fault.New(fault.Draining, "entry instance is draining"))
		return
	}
	if !e.view.Loaded() {
		web.WriteFault(w, fault.New(fault.NotReady, "catalogue is not loaded yet"))
		return
	}
	web.WriteJSON(w, http.StatusOK, HealthDocument{Status: "ready", Revision: e.view.Revision()})
}

// Stop drains the instance: the readiness check fails so that the load balancer
// stops sending connections, watches are closed between two events, and the
// requests in flight finish.
func (e *Entry) Stop(ctx context.Context) error {
	e.draining.Store(true)
	select {
	case <-time.After(_drainDelay):
	case <-ctx.Done():
	}
	e.cancelWatches()
	err := e.web.Shutdown(ctx)
	e.burns.flush(ctx, e.controllers)
	e.cancel()
	e.background.Wait()
	e.pool.Close()
	e.controllers.Close()
	return err
}

// router makes a routing table safe for concurrent use.
type router struct {
	mu    sync.Mutex
	table routing.Table
	rnd   *rand.Rand
}

func newRouter(seed1, seed2 uint64) *router {
	return &router{rnd: rand.New(rand.NewPCG(seed1, seed2))}
}

// pickWorker selects a worker and records that a request was sent to the worker.
func (r *router) pickWorker(now time.Time, zone string, candidates *routing.Candidates, tried []string) (worker.Worker, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.table.Pick(now, r.rnd, zone, candidates, tried)
	if ok {
		r.table.RecordSent(w)
	}
	return w, ok
}

// withTable calls fn with the routing table under the lock.
func (r *router) withTable(fn func(t *routing.Table)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(&r.table)
}

func (r *router) pruneWorkers(v *control.View) {
	r.withTable(func(t *routing.Table) { t.RemoveUnknown(v.HasWorker) })
}

// retryBudget is a token bucket that limits retries to a share of the requests
// plus a small reserve, so that retries do not overload a failing target.
type retryBudget struct {
	mu          sync.Mutex
	ratio       float64 // tokens that one request adds
	tokens      float64
	initialized bool
}

const _retryReserve = 10 // tokens; capacity of the bucket

// addRequest adds the tokens for one request.
func (b *retryBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initTokens()
	b.tokens = min(b.tokens+b.ratio, _retryReserve)
}

// takeToken removes the token for one retry and reports whether there was one.
func (b *retryBudget) takeToken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initTokens()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *retryBudget) initTokens() {
	if !b.initialized {
		b.initialized = true
		b.tokens = _retryReserve
	}
}
