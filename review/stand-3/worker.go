package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// _heartbeat is the time between a worker's status reports.
const _heartbeat = 1500 * time.Millisecond

// _failAfter is how long after its start a run fails that the worker or its own fault lets fail.
const _failAfter = 60 * time.Millisecond

// run is a task that a worker works on.
type run struct {
	task       string
	number     int
	began      time.Time
	work       time.Duration // in all
	progressAt time.Time     // up to which work is counted
	done       time.Duration // work that is done
	percent    int           // pace
	saved      time.Duration // work that the latest checkpoint holds
	lasts      bool
	saves      bool
	fails      bool      // through the worker's fault or its own, _failAfter after its start
	stopping   time.Time // when it stops; zero if it was not told to
	gang       string    // key of the gang; "" for none
}

// ended is an end that was not taken note of yet.
type ended struct {
	n      int
	task   string
	number int
	how    string
	saved  string
	at     time.Duration
}

// worker is one life of a worker on a side machine. It follows the platform's protocol.
type worker struct {
	world   *world
	side    *machine
	id      string
	machine string
	service string
	labels  []string
	cpu     int
	memMB   int
	born    time.Time
	clock   time.Time // at which its steady clock was 0

	mu       sync.Mutex
	fence    uint64
	expires  time.Time
	lapsedAt time.Duration   // when the lease had lapsed last
	runs     map[string]*run // by task
	ended    []ended
	last     int
	highest  map[string]int // highest run that was stopped or has ended, by task
	changed  chan struct{}
	draining bool
	sequence int
	listener net.Listener
	server   *http.Server
	cancel   context.CancelFunc
	alive    bool
	cut      atomic.Bool            // calls get no answer and aren't carried out, reports don't arrive
	next     atomic.Pointer[worker] // the next life on the machine
}

// startWorker starts a life of a worker.
func startWorker(w *world, side *machine, id, service string, labels []string, cpu, memMB int) (*worker, error) {
	l, err := net.Listen("tcp", side.address(_appPort))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	wk := &worker{
		world: w, side: side, id: id, machine: "m-" + side.name, service: service, labels: labels, cpu: cpu, memMB: memMB,
		born: clock.Now(), clock: clock.Now(), runs: make(map[string]*run), highest: make(map[string]int), changed: make(chan struct{}),
		listener: l, cancel: cancel, alive: true,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+_wire.Start, wk.handle(wk.start))
	mux.HandleFunc("POST "+_wire.Stop, wk.handle(wk.stop))
	mux.HandleFunc("POST "+_wire.List, wk.handle(wk.hold))
	mux.HandleFunc("POST "+_wire.Pace, wk.handle(wk.pace))
	wk.server = &http.Server{Handler: mux}
	go func() { _ = wk.server.Serve(l) }()
	go wk.heartbeats(ctx)
	go wk.work(ctx)
	w.rec.printf("worker %s starts on %s", id, side.name)
	return wk, nil
}

// crash ends the life: its address refuses connections, and what it ran is gone.
func (wk *worker) crash() {
	wk.mu.Lock()
	wk.alive = false
	wk.cancel()
	runs := make([]*run, 0, len(wk.runs))
	for _, r := range wk.runs {
		runs = append(runs, r)
	}
	wk.runs = make(map[string]*run)
	wk.mu.Unlock()
	_ = wk.server.Close()
	for _, r := range runs {
		wk.world.end(wk, r.task, r.number, "crashed")
	}
	wk.world.rec.printf("worker %s crashes with %d runs", wk.id, len(runs))
}

func (wk *worker) hasLabel(label string) bool { return slices.Contains(wk.labels, label) }

func (wk *worker) now() int64 { return since(wk.clock).Milliseconds() }

// answer is the body of a worker's response.
type answer struct {
	Timestamp int64   `json:"timestamp-ms"`
	Born      int64   `json:"born"`
	Reason    string  `json:"reason,omitempty"`
	Active    [][]any `json:"active,omitempty"`
	Finished  [][]any `json:"finished,omitempty"`
}

func (wk *worker) handle(f func(context.Context, call) (int, answer)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Expected-Instance"); id != "" && id != wk.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		data, err := io.ReadAll(r.Body)
		var c call
		if err != nil || json.Unmarshal(data, &c) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if d := wk.world.lateness(wk, r.URL.Path, c); d > 0 {
			go wk.carryOutLate(r.URL.Path, c, d)
			<-r.Context().Done()
			return
		}
		if wk.cut.Load() {
			<-r.Context().Done()
			return
		}
		status, a := f(r.Context(), c)
		if wk.cut.Load() {
			<-r.Context().Done()
			return
		}
		a.Timestamp, a.Born = wk.now(), wk.born.UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(mustJSON(a))
	}
}

// carryOutLate carries out a start order that is left without an answer. If the worker has
// started again under its identifier, the next life carries it out.
func (wk *worker) carryOutLate(path string, c call, after time.Duration) {
	wk.world.rec.printf("%s %s run %d on %s stays without an answer, and is carried out %s later", path, c.Task, c.Run, wk.id, after)
	time.Sleep(after)
	to := wk
	if next := wk.next.Load(); next != nil && next.id == wk.id {
		to = next
	}
	status, a := to.start(context.Background(), c)
	wk.world.rec.printf("late %s %s run %d on %s: %d %s", path, c.Task, c.Run, to.id, status, a.Reason)
}

// isFenced notes the token of a call. wk.mu must be held.
func (wk *worker) isFenced(c call) bool {
	if c.Fence < wk.fence {
		return true
	}
	wk.fence = c.Fence
	return false
}

// extend extends the lease of all that runs. wk.mu must be held.
func (wk *worker) extend(expiresMS int64) {
	if expiresMS == 0 {
		return
	}
	end := wk.clock.Add(time.Duration(expiresMS) * time.Millisecond)
	if limit := clock.Now().Add(_maxHold); end.After(limit) {
		end = limit
	}
	if end.After(wk.expires) {
		wk.expires = end
	}
}

func (wk *worker) start(_ context.Context, c call) (int, answer) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if !wk.alive {
		return http.StatusServiceUnavailable, answer{}
	}
	if wk.isFenced(c) {
		return http.StatusConflict, answer{Reason: "fence"}
	}
	if r := wk.runs[c.Task]; r != nil && r.number == c.Run {
		wk.extend(c.Expires)
		return http.StatusOK, answer{}
	}
	if c.Run <= wk.highest[c.Task] {
		wk.extend(c.Expires)
		return http.StatusConflict, answer{Reason: "old"}
	}
	if c.Expires <= wk.now() {
		return http.StatusConflict, answer{Reason: "late"}
	}
	wk.extend(c.Expires)
	j, work := wk.world.begin(wk, c.Task, c.Run, c.Spec)
	t, _ := parseTask(c.Task)
	r := &run{task: c.Task, number: c.Run, began: clock.Now(), progressAt: clock.Now(), work: work, percent: 100}
	if t.step < len(j.Steps) {
		s := j.Steps[t.step]
		r.lasts, r.saves = s.LongRunning, s.Checkpointing
		if s.Gang {
			r.gang = fmt.Sprintf("%s.%d.%d/%d", t.submission, t.occurrence, t.step, c.Run)
		}
	}
	if c.Checkpoint != "" {
		var ms int64
		if _, err := fmt.Sscanf(c.Checkpoint, "%016x", &ms); err == nil {
			r.done = time.Duration(ms) * time.Millisecond
			r.saved = r.done
		}
	}
	wk.world.mu.Lock()
	r.fails = wk.world.failTask != nil && wk.world.failTask(wk, c.Task, c.Run)
	if r.gang != "" {
		if wk.world.gangs[r.gang] == nil {
			wk.world.gangs[r.gang] = make(map[string]*run)
		}
		wk.world.gangs[r.gang][r.task] = r
	}
	wk.world.mu.Unlock()
	wk.runs[c.Task] = r
	wk.world.rec.printf("start %s run %d on %s (%s)", c.Task, c.Run, wk.id, wk.side.name)
	wk.checkCapacity(j, c.Task)
	return http.StatusOK, answer{}
}

// checkCapacity checks that the worker holds what it runs. wk.mu must be held.
func (wk *worker) checkCapacity(_ job, task string) {
	cpu, mem := 0, 0
	wk.world.mu.Lock()
	defer wk.world.mu.Unlock()
	for name := range wk.runs {
		t, _ := parseTask(name)
		j, ok := wk.world.jobs[t.submission]
		if !ok || t.step >= len(j.Steps) {
			continue
		}
		s := j.Steps[t.step]
		if !s.Utilization {
			cpu += s.CPU
		}
		mem += s.MemMB
	}
	if cpu > wk.cpu || mem > wk.memMB {
		wk.world.breaks("LIMIT", "%s on %s: cpu %d of %d, memory %d of %d", task, wk.id, cpu, wk.cpu, mem, wk.memMB)
	}
	if t, ok := parseTask(task); ok {
		s := wk.world.jobs[t.submission].Steps[t.step]
		count := 0
		for name := range wk.runs {
			if o, _ := parseTask(name); o.submission == t.submission && o.occurrence == t.occurrence && o.step == t.step {
				count++
			}
		}
		if s.AntiAffinity > 0 && count > s.AntiAffinity {
			wk.world.breaks("ROUTE", "%s on %s beyond anti-affinity %d", task, wk.id, s.AntiAffinity)
		}
	}
}

func (wk *worker) stop(_ context.Context, c call) (int, answer) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if !wk.alive {
		return http.StatusServiceUnavailable, answer{}
	}
	if wk.isFenced(c) {
		return http.StatusConflict, answer{Reason: "fence"}
	}
	wk.highest[c.Task] = max(wk.highest[c.Task], c.Run)
	if r := wk.runs[c.Task]; r != nil && r.number <= c.Run && r.stopping.IsZero() {
		r.stopping = clock.Now().Add(_stopTime)
		wk.world.rec.printf("stop %s run %d on %s", c.Task, c.Run, wk.id)
	}
	return http.StatusOK, answer{}
}

func (wk *worker) pace(_ context.Context, c call) (int, answer) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.isFenced(c) {
		return http.StatusConflict, answer{Reason: "fence"}
	}
	if r := wk.runs[c.Task]; r != nil && r.number == c.Run {
		r.percent = c.Percent
	}
	return http.StatusOK, answer{}
}

func (wk *worker) hold(ctx context.Context, c call) (int, answer) {
	wk.mu.Lock()
	if wk.isFenced(c) {
		wk.mu.Unlock()
		return http.StatusConflict, answer{Reason: "fence"}
	}
	wk.extend(c.Expires)
	for len(wk.ended) > 0 && wk.ended[0].n <= c.LastSeen {
		e := wk.ended[0]
		wk.ended = wk.ended[1:]
		if wk.lapsedAt < e.at {
			wk.world.noted(e.task, e.how, e.at)
		}
	}
	if wait := time.Duration(min(c.WaitMS, 2000)) * time.Millisecond; len(wk.ended) == 0 && wait > 0 {
		changed := wk.changed
		wk.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
		wk.mu.Lock()
	}
	defer wk.mu.Unlock()
	var a answer
	for _, r := range wk.runs {
		a.Active = append(a.Active, []any{r.task, r.number, r.checkpoint(), r.progress(), r.figure()})
	}
	for _, e := range wk.ended[:min(len(wk.ended), 500)] {
		a.Finished = append(a.Finished, []any{e.n, e.task, e.number, e.how, e.saved})
	}
	return http.StatusOK, a
}

func (r *run) checkpoint() string {
	if !r.saves || r.saved == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", r.saved.Milliseconds())
}

func (r *run) progress() int {
	if r.lasts {
		if since(r.began) < 400*time.Millisecond {
			return 0
		}
		return 100
	}
	return int(min(99, 100*r.done/max(r.work, 1)))
}

func (r *run) figure() int {
	if r.lasts {
		return 20 // tail latency, below each target
	}
	return 100
}

// finish ends a run. wk.mu must be held.
func (wk *worker) finish(r *run, how string) {
	delete(wk.runs, r.task)
	wk.highest[r.task] = max(wk.highest[r.task], r.number)
	wk.last++
	saved := ""
	if how != "done" {
		if how == "stopped" && r.saves {
			r.saved = r.done
		}
		saved = r.checkpoint()
	}
	wk.ended = append(wk.ended, ended{n: wk.last, task: r.task, number: r.number, how: how, saved: saved, at: wk.world.rec.since()})
	close(wk.changed)
	wk.changed = make(chan struct{})
	wk.world.end(wk, r.task, r.number, how)
	wk.world.rec.printf("end %s run %d on %s: %s", r.task, r.number, wk.id, how)
}

// gangState returns whether all members of a run's gang are there, and whether one has ended.
func (wk *worker) gangState(r *run) (complete, done, broken bool) {
	wk.world.mu.Lock()
	defer wk.world.mu.Unlock()
	t, _ := parseTask(r.task)
	members := wk.world.gangs[r.gang]
	done = members["done"] != nil
	broken = members["broken"] != nil
	count := 0
	for name := range members {
		if name != "done" && name != "broken" {
			count++
		}
	}
	return count >= wk.world.jobs[t.submission].Steps[t.step].Count, done, broken
}

func (wk *worker) markGang(r *run, how string) {
	wk.world.mu.Lock()
	defer wk.world.mu.Unlock()
	wk.world.gangs[r.gang][how] = r
}

// work lets the runs work until the worker ends.
func (wk *worker) work(ctx context.Context) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		wk.mu.Lock()
		if wk.alive {
			now := clock.Now()
			lapsed := !now.Before(wk.expires)
			if lapsed {
				wk.lapsedAt = wk.world.rec.since()
			}
			for _, r := range wk.runs {
				wk.advance(now, r, lapsed)
			}
		}
		wk.mu.Unlock()
	}
}

// advance lets one run work. wk.mu must be held.
func (wk *worker) advance(now time.Time, r *run, lapsed bool) {
	complete, gangDone, gangBroken := true, false, false
	if r.gang != "" {
		complete, gangDone, gangBroken = wk.gangState(r)
	}
	if complete {
		r.done += now.Sub(r.progressAt) * time.Duration(r.percent) / 100
	}
	r.progressAt = now
	if r.done-r.saved >= _saveEvery {
		r.saved = r.done
	}
	how := ""
	switch {
	case lapsed:
		how = "lapsed"
	case !r.stopping.IsZero() && !now.Before(r.stopping):
		how = "stopped"
	case r.fails && now.Sub(r.began) >= _failAfter:
		how = "failed"
	case gangDone:
		how = "done"
	case gangBroken:
		how = "broken"
	case r.gang != "" && !complete && now.Sub(r.began) >= _gangTimeout:
		how = "alone"
	case !r.lasts && r.done >= r.work:
		how = "done"
	default:
		return
	}
	if r.gang != "" && how == "done" {
		wk.markGang(r, "done")
	} else if r.gang != "" {
		wk.markGang(r, "broken")
	}
	wk.finish(r, how)
}

// heartbeats reports the worker's state to the agent on its machine.
func (wk *worker) heartbeats(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for {
		wait := _heartbeat
		if wk.cut.Load() || !wk.report(ctx, client) {
			wait = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (wk *worker) report(ctx context.Context, client *http.Client) bool {
	wk.mu.Lock()
	wk.sequence++
	state := "ready"
	if wk.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": wk.service, "address": wk.side.address(_appPort), "zone": wk.side.zone, "version": "v1", "slots": 8, "state": state,
		"warmup-left-ms": 0, "capacity": map[string]int{"cpu": wk.cpu, "mem-mb": wk.memMB, "gpu": 0}, "labels": wk.labels,
		"machine": wk.machine, "timestamp-ms": wk.now(), "sequence": wk.sequence, "born": wk.born.UnixMilli(),
	}
	if wk.draining {
		body["remaining-ms"] = 2000
	}
	wk.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+wk.side.address(_controlPort)+_wire.Heartbeat+wk.id, bytes.NewReader(mustJSON(body)))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}
