package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// Times of the stand-in worker, in the platform's settings or below its bounds.
const (
	_heartbeatInterval = 1500 * time.Millisecond
	_maxHold           = 6000 * time.Millisecond
	_maxWait           = 2000 * time.Millisecond
	_stopTime          = 100 * time.Millisecond
	_startupTime       = 300 * time.Millisecond // until a long-running task is at work
)

// behaviour is what a task does on a worker.
type behaviour struct {
	duration time.Duration // of the work; 0 for a task that lasts
	gang     int           // members of its gang; 0 for none
	cpu      int64
}

// started is one start that a worker has carried out.
type started struct {
	at     time.Time
	task   string
	run    uint32
	worker *worker
	others []string // other runs of the task on workers that are up
}

// ended is one end of a run.
type ended struct {
	at   time.Time
	task string
	run  uint32
	how  string
}

// fleet is the stand-in for all workers of a service. It sees what the workers see.
type fleet struct {
	r       *record
	service string

	mu         sync.Mutex
	behaviours map[string]behaviour // by step: ID.K.STEP
	submission map[string]behaviour // by submission, if the step has none
	starts     []started
	ends       []ended
	workers    []*worker
	lives      int
	onStop     func(w *worker, t *task) // called with mu held when a stop order arrives for an active run
	// delays returns after how long an order to start a run is carried out, without an answer; 0
	// for an order that is carried out and answered at once. It is called with mu held.
	delays func(w *worker, in orderBody) time.Duration
	advice *adviceService // nil if no queue has one
	gangs  map[string]int // members present, by step and run
}

func newFleet(r *record, service string) *fleet {
	return &fleet{
		r: r, service: service, behaviours: make(map[string]behaviour), submission: make(map[string]behaviour), gangs: make(map[string]int),
	}
}

// task is a run on a worker.
type task struct {
	name     string
	run      uint32
	began    time.Time
	work     time.Time // when the work began; zero for a gang that waits
	b        behaviour
	stopping time.Time // when the stop completes; zero if it is not being stopped
}

func (t *task) step() string { return t.name[:strings.LastIndex(t.name, ".")] }

// percent returns the progress at the time now.
func (t *task) percent(now time.Time) int {
	switch {
	case t.work.IsZero():
		return 0
	case t.b.duration == 0:
		if now.Sub(t.work) >= _startupTime {
			return 100
		}
		return int(100 * now.Sub(t.work) / _startupTime)
	}
	return min(99, int(100*now.Sub(t.work)/t.b.duration))
}

type listedEnd struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// worker is one life of a worker beside an agent.
type worker struct {
	f        *fleet
	m        *machine
	id       string
	born     time.Time
	labels   []string
	capacity int64

	server   *http.Server
	quit     chan struct{}
	sequence int
	down     bool
	dark     bool // its machine has no power: nothing answers
	holds    int  // calls to hold that were answered
	grey     bool // fails all that it starts
	fence    uint64
	lease    time.Time
	tasks    map[string]*task // by task and run
	over     map[string]uint32
	ends     []listedEnd
	lastEnd  uint64
	woken    chan struct{} // closed at the next end
}

// startWorker starts a worker beside a machine's agent.
func (f *fleet) startWorker(m *machine, rack string, capacity int64) (*worker, error) {
	f.mu.Lock()
	f.lives++
	id := fmt.Sprintf("i-%08x", 0x1000+f.lives)
	f.mu.Unlock()
	return f.startLife(m, id, rack, capacity)
}

// startLife starts a life of a worker under an identifier that it may have had before.
func (f *fleet) startLife(m *machine, id, rack string, capacity int64) (*worker, error) {
	f.mu.Lock()
	w := &worker{
		f: f, m: m, id: id, born: clock.Now(), labels: []string{"a", rack}, capacity: capacity,
		quit: make(chan struct{}), tasks: make(map[string]*task), over: make(map[string]uint32), woken: make(chan struct{}),
	}
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	l, err := net.Listen("tcp", m.address(portWorker))
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(l) }()
	go w.announceLoop()
	go w.runLoop()
	f.r.logf("worker %s of %s is up", w.id, m.name)
	return w, nil
}

// crash ends a worker's life at once, as a crash of its process does.
func (w *worker) crash() {
	w.f.mu.Lock()
	w.down = true
	w.tasks = make(map[string]*task)
	w.f.mu.Unlock()
	close(w.quit)
	w.server.Close()
	w.f.r.logf("worker %s of %s has crashed", w.id, w.m.name)
}

// lose ends a worker's life for good, as a loss of power of its machine does: calls to it hang.
func (w *worker) lose() {
	w.f.mu.Lock()
	w.dark = true
	w.tasks = make(map[string]*task)
	w.f.mu.Unlock()
	close(w.quit)
	w.f.r.logf("worker %s of %s is lost for good", w.id, w.m.name)
}

// clock returns the worker's steady clock in ms.
func (w *worker) clock(now time.Time) int64 { return 100_000 + now.Sub(w.born).Milliseconds() }

func (w *worker) announceLoop() {
	client := &http.Client{Timeout: time.Second}
	for {
		w.sequence++
		now := clock.Now()
		body, _ := json.Marshal(map[string]any{
			"service": w.f.service, "address": w.m.address(portWorker), "zone": w.m.zone, "version": "v1", "slots": 8, "state": "ready",
			"warmup-left-ms": 0, "capacity": map[string]int64{"cpu": w.capacity, "mem-mb": 64000, "gpu": 0}, "labels": w.labels,
			"machine": "m-" + w.m.name, "timestamp-ms": w.clock(now), "sequence": w.sequence, "born": w.born.UnixMilli(),
		})
		wait := _heartbeatInterval
		resp, err := client.Post("http://"+w.m.address(portControlPlane)+_wire.Heartbeat+w.id, "application/json", strings.NewReader(string(body)))
		if err == nil {
			resp.Body.Close()
		}
		if err != nil || resp.StatusCode/100 != 2 {
			wait = 200 * time.Millisecond
		}
		select {
		case <-w.quit:
			return
		case <-time.After(wait):
		}
	}
}

// runLoop advances the worker's runs.
func (w *worker) runLoop() {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-w.quit:
			return
		case <-t.C:
		}
		w.f.mu.Lock()
		now := clock.Now()
		for _, run := range w.tasks {
			switch {
			case !w.lease.After(now):
				w.end(now, run, "lapsed")
			case !run.stopping.IsZero() && !now.Before(run.stopping):
				w.end(now, run, "stopped")
			case w.grey && run.b.gang == 0:
				w.end(now, run, "failed")
			case run.b.duration > 0 && !run.work.IsZero() && now.Sub(run.work) >= run.b.duration:
				w.end(now, run, "done")
			}
		}
		w.f.mu.Unlock()
	}
}

// end ends a run. f.mu must be held.
func (w *worker) end(now time.Time, t *task, how string) {
	delete(w.tasks, runKey(t.name, t.run))
	w.over[t.name] = max(w.over[t.name], t.run)
	w.lastEnd++
	w.ends = append(w.ends, listedEnd{number: w.lastEnd, task: t.name, run: t.run, how: how})
	w.f.ends = append(w.f.ends, ended{at: now, task: t.name, run: t.run, how: how})
	w.f.r.logf("%s %s: run %d of %s ended: %s", w.m.name, w.id, t.run, t.name, how)
	close(w.woken)
	w.woken = make(chan struct{})
}

func runKey(name string, run uint32) string { return fmt.Sprintf("%s/%d", name, run) }

func (w *worker) serve(rw http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(req.Body)
	var in orderBody
	if err != nil || len(data) > 0 && json.Unmarshal(data, &in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := req.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if w.dark {
		w.f.mu.Unlock()
		<-req.Context().Done()
		w.f.mu.Lock()
	}
	if w.down || w.dark {
		panic(http.ErrAbortHandler)
	}
	switch req.URL.Path {
	case _wire.Start:
		if w.f.delays != nil {
			if delay := w.f.delays(w, in); delay > 0 {
				w.startLate(req, in, delay)
			}
		}
		w.respond(rw, w.startRun(in))
	case _wire.Stop:
		w.respond(rw, w.stopRun(in))
	case _wire.List:
		w.hold(rw, req, in)
	case _wire.Pace:
		w.respond(rw, w.checkFence(in))
	case "/healthz":
		rw.WriteHeader(http.StatusOK)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// startLate leaves an order without an answer and carries it out late, on the life that the
// worker then has under its identifier. f.mu must be held; it is released meanwhile.
func (w *worker) startLate(req *http.Request, in orderBody, delay time.Duration) {
	w.f.r.logf("%s %s: the order to start run %d of %s gets no answer", w.m.name, w.id, in.Run, in.Task)
	time.AfterFunc(delay, func() {
		w.f.mu.Lock()
		defer w.f.mu.Unlock()
		for _, o := range w.f.workers {
			if o.m == w.m && o.id == w.id && !o.down {
				reason := o.startRun(in)
				w.f.r.logf("%s %s: the order to start run %d of %s is carried out late: %q", o.m.name, o.id, in.Run, in.Task, reason)
			}
		}
	})
	w.f.mu.Unlock()
	<-req.Context().Done()
	w.f.mu.Lock()
	panic(http.ErrAbortHandler)
}

// respond sends the response to an order. reason is empty if it was accepted.
func (w *worker) respond(rw http.ResponseWriter, reason string) {
	out := map[string]any{"timestamp-ms": w.clock(clock.Now()), "born": w.born.UnixMilli()}
	status := http.StatusOK
	if reason != "" {
		status, out["reason"] = http.StatusConflict, reason
	}
	writeJSON(rw, status, out)
}

func writeJSON(rw http.ResponseWriter, status int, document any) {
	data, _ := json.Marshal(document)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

func (w *worker) checkFence(in orderBody) string {
	if in.Fence < w.fence {
		return "fence"
	}
	w.fence = in.Fence
	return ""
}

func (w *worker) extend(now time.Time, expiresMS int64) {
	end := now.Add(time.Duration(expiresMS-w.clock(now)) * time.Millisecond)
	if latest := now.Add(_maxHold); end.After(latest) {
		end = latest
	}
	if end.After(w.lease) {
		w.lease = end
	}
}

func (w *worker) startRun(in orderBody) string {
	now := clock.Now()
	if reason := w.checkFence(in); reason != "" {
		return reason
	}
	if in.ExpiresMS <= w.clock(now) {
		return "late"
	}
	w.extend(now, in.ExpiresMS)
	if w.tasks[runKey(in.Task, in.Run)] != nil {
		return ""
	}
	if in.Run <= w.over[in.Task] {
		return "old"
	}
	if reason := w.f.checkTicket(w, in); reason != "" {
		return reason
	}
	t := &task{name: in.Task, run: in.Run, began: now, work: now}
	id, _, _ := strings.Cut(in.Task, ".")
	b, ok := w.f.behaviours[t.step()]
	if !ok {
		b = w.f.submission[id]
	}
	t.b = b
	w.tasks[runKey(in.Task, in.Run)] = t
	w.f.starts = append(w.f.starts, started{at: now, task: in.Task, run: in.Run, worker: w, others: w.f.runsOf(in.Task, t)})
	w.f.r.logf("%s %s: run %d of %s started", w.m.name, w.id, in.Run, in.Task)
	if b.gang > 0 {
		t.work = time.Time{}
		w.f.joinGang(now, t)
	}
	return ""
}

// runsOf returns the runs of a task, but for one, on workers that are up. f.mu must be held.
func (f *fleet) runsOf(name string, except *task) (out []string) {
	for _, w := range f.workers {
		for _, t := range w.tasks {
			if t.name == name && t != except && !w.down {
				out = append(out, fmt.Sprintf("run %d was on %s", t.run, w.m.name))
			}
		}
	}
	return out
}

// joinGang lets a gang's work begin when all its members are present. f.mu must be held.
func (f *fleet) joinGang(now time.Time, t *task) {
	key := runKey(t.step(), t.run)
	f.gangs[key]++
	if f.gangs[key] < t.b.gang {
		return
	}
	for _, w := range f.workers {
		for _, o := range w.tasks {
			if o.step() == t.step() && o.run == t.run {
				o.work = now
			}
		}
	}
}

func (w *worker) stopRun(in orderBody) string {
	if reason := w.checkFence(in); reason != "" {
		return reason
	}
	t := w.tasks[runKey(in.Task, in.Run)]
	if t == nil {
		w.over[in.Task] = max(w.over[in.Task], in.Run)
		return ""
	}
	if t.stopping.IsZero() {
		w.f.r.logf("%s %s: stop of run %d of %s", w.m.name, w.id, in.Run, in.Task)
		if w.f.onStop != nil {
			w.f.onStop(w, t)
		}
		t.stopping = clock.Now().Add(_stopTime)
	}
	return ""
}

// hold renews the lease and lists the runs. f.mu must be held; it is released while the
// response waits for an end.
func (w *worker) hold(rw http.ResponseWriter, req *http.Request, in orderBody) {
	now := clock.Now()
	if reason := w.checkFence(in); reason != "" {
		w.holds++
		w.respond(rw, reason)
		return
	}
	if in.ExpiresMS > 0 {
		w.extend(now, in.ExpiresMS)
	}
	w.holds++
	w.ends = slices.DeleteFunc(w.ends, func(e listedEnd) bool { return e.number <= in.LastSeen })
	if wait := min(time.Duration(in.WaitMS)*time.Millisecond, _maxWait); wait > 0 && len(w.ends) == 0 {
		woken := w.woken
		w.f.mu.Unlock()
		select {
		case <-woken:
		case <-time.After(wait):
		case <-req.Context().Done():
		}
		w.f.mu.Lock()
	}
	if w.down {
		panic(http.ErrAbortHandler)
	}
	now = clock.Now()
	active, finished := make([][]any, 0, len(w.tasks)), make([][]any, 0, len(w.ends))
	for _, t := range w.tasks {
		active = append(active, []any{t.name, t.run, "", t.percent(now), t.b.cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	writeJSON(rw, http.StatusOK, map[string]any{
		"timestamp-ms": w.clock(now), "born": w.born.UnixMilli(), "active": active, "finished": finished,
	})
}

// running returns how many runs of a step are at work on workers that are up.
func (f *fleet) running(step string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		for _, t := range w.tasks {
			if !w.down && t.step() == step {
				n++
			}
		}
	}
	return n
}
