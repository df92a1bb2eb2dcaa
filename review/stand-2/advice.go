package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// Plan of the case, and the advice service's times, which its queue names in the
// configuration.
const (
	_adviceWorkers    = 16
	_adviceTasks      = 4
	_decisionLatency  = 20 * time.Millisecond
	_perWorkerLatency = 5 * time.Millisecond
	_ticketValidity   = 3 * time.Second
	_calmBefore       = 5 * time.Second  // with all tasks at work
	_observed         = 40 * time.Second // after the crash
	_excused          = 10 * time.Second // after the crash: 6 s after the last run, and 4 s of calm
	_maxAbsence       = 3 * time.Second
)

// adviceService stands in for the service that knows which workers may run a step.
type adviceService struct {
	r        *record
	approves func(workerID string) bool
	turn     sync.Mutex // one call at a time

	mu      sync.Mutex
	tickets map[string]time.Time // validity's end, by step and ticket
}

func startAdvice(r *record, address string, approves func(string) bool) (*adviceService, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a := &adviceService{r: r, approves: approves, tickets: make(map[string]time.Time)}
	go func() { _ = http.Serve(l, http.HandlerFunc(a.serve)) }()
	return a, nil
}

func (a *adviceService) serve(rw http.ResponseWriter, req *http.Request) {
	var in struct {
		Step    string   `json:"step-id"`
		Workers []string `json:"workers"`
	}
	data, err := io.ReadAll(req.Body)
	if err != nil || json.Unmarshal(data, &in) != nil || len(in.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	time.Sleep(_decisionLatency + time.Duration(len(in.Workers))*_perWorkerLatency)
	approved, names := make([][]string, 0, len(in.Workers)), make([]string, 0, len(in.Workers))
	a.mu.Lock()
	for _, id := range in.Workers {
		if a.approves(id) {
			ticket := newID()
			a.tickets[in.Step+"/"+id+"/"+ticket] = clock.Now().Add(_ticketValidity)
			approved, names = append(approved, []string{id, ticket}), append(names, id)
		}
	}
	a.mu.Unlock()
	a.r.logf("advice on %s: asked about %d workers %v, approved %v", in.Step, len(in.Workers), in.Workers, names)
	writeJSON(rw, http.StatusOK, map[string]any{"approved": approved, "validity-ms": _ticketValidity.Milliseconds()})
}

// checkTicket returns the reason for which a worker rejects a start without a valid ticket.
func (f *fleet) checkTicket(w *worker, in orderBody) string {
	if f.advice == nil {
		return ""
	}
	step := in.Task[:strings.LastIndex(in.Task, ".")]
	f.advice.mu.Lock()
	defer f.advice.mu.Unlock()
	if until, ok := f.advice.tickets[step+"/"+w.id+"/"+in.Ticket]; !ok || clock.Now().After(until) {
		return "ticket"
	}
	return ""
}

// adviceStarvation lets the worker of a standing watch be lost for good. The rule LOST: while
// there is capacity for a task that lasts twice over, it isn't away for 3 s, from 6 s after its
// last run, if these and the 4 s before are calm.
func adviceStarvation(r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(r, 3, 1, _adviceWorkers)
	if err != nil {
		return nil, err
	}
	defer d.remove()
	f := newFleet(r, _service)
	// The policy allows four workers among the first ones, and the last two.
	byName := slices.Clone(d.sides)
	slices.SortFunc(byName, func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	allowed := []*machine{byName[0], byName[1], byName[6], byName[7], byName[14], byName[15]}
	f.advice, err = startAdvice(r, net.JoinHostPort(d.adviceIP(), strconv.Itoa(d.port+portAdvice)), func(id string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return slices.ContainsFunc(f.workers, func(w *worker) bool { return w.id == id && slices.Contains(allowed, w.m) })
	})
	if err != nil {
		return nil, err
	}
	if err := d.startAll(); err != nil {
		return nil, err
	}
	for i, m := range d.sides {
		if _, err := f.startWorker(m, fmt.Sprintf("r1-%d", i/3), 64000); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	q := newRoute("watches")
	q.TargetMS, q.Recommendation = 2500, &recommendation{
		DecisionLatencyMS: int(_decisionLatency.Milliseconds()), PerWorkerMS: int(_perWorkerLatency.Milliseconds()), ValidityMS: int(_ticketValidity.Milliseconds()),
	}
	if err := d.replaceConfig(d.configBody([]route{q})); err != nil {
		return nil, err
	}
	id := newID()
	name := id + ".0.0"
	f.mu.Lock()
	f.behaviours[name] = behaviour{cpu: 20}
	f.mu.Unlock()
	status, answer := newCaller(3*time.Second).call(d.edges[0], http.MethodPost, q, id, spec{Spec: id, Steps: []step{{
		Count: _adviceTasks, CPU: 1000, MemMB: 100, EstimatedMS: 320, AntiAffinity: 1, LongRunning: true, Image: "watch", TargetMS: 100,
	}}})
	r.logf("POST %s%s: %d %s", q.Prefix, id, status, answer)
	if status != http.StatusOK {
		return nil, fmt.Errorf("the submission was answered with %d", status)
	}
	if err := waitFor(15*time.Second, "all tasks at work", func() bool { return f.running(name) == _adviceTasks }); err != nil {
		return nil, err
	}
	time.Sleep(_calmBefore)
	if trouble {
		w := f.holder(name)
		w.crash()
	}
	return f.observeAbsence(name, _adviceTasks, _observed), nil
}

// holder returns a worker that runs a task of the step.
func (f *fleet) holder(step string) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for _, t := range w.tasks {
			if t.step() == step {
				return w
			}
		}
	}
	return nil
}

// observeAbsence watches for tasks of a step that are away for too long.
func (f *fleet) observeAbsence(step string, want int, observed time.Duration) (violations []string) {
	began := clock.Now()
	var since time.Time // of the present absence that counts
	longest := time.Duration(0)
	for now := began; now.Sub(began) < observed; now = clock.Now() {
		time.Sleep(50 * time.Millisecond)
		if now.Sub(began) < _excused || f.running(step) >= want {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = now
		}
		longest = max(longest, now.Sub(since))
	}
	f.r.logf("%d of %d tasks at work at the end; longest absence that counts: %s", f.running(step), want, longest.Round(time.Millisecond))
	if longest >= _maxAbsence {
		violations = append(violations, fmt.Sprintf("a task of %s was away for %s on end, while there was capacity for it twice over", step, longest.Round(time.Millisecond)))
	}
	return violations
}
