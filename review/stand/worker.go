package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

const (
	_heartbeatInterval = 1500 * time.Millisecond
	_maxListedEnds     = 500 // in one response
	_maxWait           = 2 * time.Second
	_remaining         = 6 * time.Second // that a draining worker still serves
)

// run is one run of a task on a worker, from its start on.
type run struct {
	task    string
	number  int
	begun   time.Time
	endsAt  time.Time
	ended   time.Time // zero while it is active
	how     string
	end     int       // number of its end in its incarnation
	noted   time.Time // when the agent has named its end as recorded; zero if it has not
	lapsed  bool      // the worker's lease has lapsed between the end and then
	restart int       // incarnation, from 1
}

// worker is a stand-in of a worker as the platform's pages describe it. A task takes as
// many milliseconds as its spec says, as "run-ms=N".
type worker struct {
	rec      *record
	m        *machine
	id       string
	labels   []string
	capacity map[string]int
	startup  time.Duration // from its start to its first status report

	mu          sync.Mutex
	hangsUntil  time.Time // until when it leaves all calls unanswered and carries out none
	cut         bool      // its status reports don't arrive either until then
	draining    bool      // as its status reports say
	server      *http.Server
	incarnation int
	born        int64
	clockStart  time.Time
	leaseEnd    time.Duration // on the worker's clock; 0 if it had none
	expired     bool          // the lease has expired
	token       uint64
	sequence    int
	active      map[string]*run
	highest     map[string]int // run number of the latest run started, stopped or ended, by task
	listed      []*run         // ends that the agent has not named as recorded
	lastEnd     int
	ended       chan struct{} // closed and replaced at each end
	runs        []*run        // of all incarnations
	cancel      context.CancelFunc
}

func newWorker(rec *record, m *machine, labels []string, cpu, memMB int) *worker {
	return &worker{
		rec: rec, m: m, id: "i-" + strings.TrimPrefix(m.name, "agent-"), labels: labels,
		capacity: map[string]int{"cpu": cpu, "mem-mb": memMB, "gpu": 0},
	}
}

// start starts an incarnation, which knows nothing of earlier ones.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.m.at(_workerPort))
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.incarnation++
	w.born, w.clockStart = clock.Now().UnixMilli(), clock.Now()
	w.leaseEnd, w.expired, w.token, w.sequence, w.lastEnd = 0, false, 0, 0, 0
	w.active, w.highest, w.listed = make(map[string]*run), make(map[string]int), nil
	w.ended = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	server := w.server
	w.mu.Unlock()
	w.rec.add("%s: worker started, incarnation %d", w.id, w.incarnation)
	go func() { _ = server.Serve(l) }()
	go w.announce(ctx)
	go w.tick(ctx)
	return nil
}

// crash ends the incarnation's process with everything that runs on it.
func (w *worker) crash() {
	w.mu.Lock()
	w.cancel()
	server := w.server
	now := clock.Now()
	for _, r := range w.active {
		r.ended, r.how = now, "crashed"
	}
	w.rec.add("%s: worker crashes with %d runs", w.id, len(w.active))
	w.active = make(map[string]*run)
	w.mu.Unlock()
	_ = server.Close()
}

func (w *worker) clock() time.Duration { return clock.Now().Sub(w.clockStart) }

// announce sends a status report every heartbeat interval, and sooner after one that
// wasn't acknowledged.
func (w *worker) announce(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(w.startup):
	}
	for ctx.Err() == nil {
		pause := _heartbeatInterval
		if !w.report(ctx) {
			pause = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (w *worker) report(ctx context.Context) bool {
	w.mu.Lock()
	if w.cut && clock.Now().Before(w.hangsUntil) {
		w.mu.Unlock()
		return false
	}
	w.sequence++
	report := map[string]any{
		"service": _service, "address": w.m.at(_workerPort), "zone": "lv-central-a", "version": "v1", "slots": 8, "state": "ready",
		"warmup-left-ms": 0, "capacity": w.capacity, "labels": w.labels, "timestamp-ms": w.clock().Milliseconds(),
		"sequence": w.sequence, "born": w.born, "machine": "m-" + w.id,
	}
	if w.draining {
		report["state"], report["remaining-ms"] = "draining", _remaining.Milliseconds()
	}
	body, _ := json.Marshal(report)
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.m.at(_controlPlanePort)+_wire.Heartbeat+w.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// tick ends runs that are due or whose lease has expired.
func (w *worker) tick(ctx context.Context) {
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.mu.Lock()
			w.endDue()
			w.mu.Unlock()
		}
	}
}

// endDue ends the runs that are due. w.mu must be held.
func (w *worker) endDue() {
	now := clock.Now()
	if w.leaseEnd > 0 && w.clock() >= w.leaseEnd {
		if !w.expired {
			w.expired = true
			w.rec.add("%s: the lease has expired; %d runs end", w.id, len(w.active))
		}
		for _, r := range w.active {
			w.endRun(r, now, "lapsed")
		}
		for _, r := range w.listed {
			r.lapsed = true
		}
	} else {
		w.expired = false
	}
	for _, r := range w.active {
		if !now.Before(r.endsAt) {
			w.endRun(r, now, "done")
		}
	}
}

// endRun ends a run. w.mu must be held.
func (w *worker) endRun(r *run, now time.Time, how string) {
	w.lastEnd++
	r.ended, r.how, r.end = now, how, w.lastEnd
	delete(w.active, r.task)
	w.listed = append(w.listed, r)
	w.rec.add("%s: end %d: %s run %d %s", w.id, r.end, r.task, r.number, how)
	close(w.ended)
	w.ended = make(chan struct{})
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has gone
	}
	o, err := decodeOrder(data)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.leaveUnanswered(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.endDue()
	status, reason := w.apply(r.URL.Path, o)
	if status == http.StatusOK && r.URL.Path == _wire.List {
		w.waitForEnd(r.Context(), time.Duration(o.waitMS)*time.Millisecond)
	}
	response := map[string]any{"timestamp-ms": w.clock().Milliseconds(), "born": w.born}
	if reason != "" {
		response["reason"] = reason
	}
	if status == http.StatusOK && r.URL.Path == _wire.List {
		response["active"], response["finished"] = w.lists()
	}
	body, _ := json.Marshal(response)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(body)
}

// leaveUnanswered holds a call while the worker hangs, and reports whether it did.
func (w *worker) leaveUnanswered(ctx context.Context) bool {
	w.mu.Lock()
	d := w.hangsUntil.Sub(clock.Now())
	w.mu.Unlock()
	if d <= 0 {
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	return true
}

// hang lets the worker hang for some time. It still sends status reports.
func (w *worker) hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hangsUntil = clock.Now().Add(d)
	w.rec.add("%s: worker hangs for %d ms", w.id, d.Milliseconds())
}

// cutOff cuts the worker off from all machines for some time. It runs on.
func (w *worker) cutOff(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hangsUntil, w.cut = clock.Now().Add(d), true
	w.rec.add("%s: worker is cut off for %d ms", w.id, d.Milliseconds())
}

// leave lets the worker say that it is draining, and returns when that is acknowledged.
func (w *worker) leave(ctx context.Context) time.Time {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	for !w.report(ctx) {
		time.Sleep(50 * time.Millisecond)
	}
	w.rec.add("%s: worker says that it is draining; acknowledged", w.id)
	return clock.Now()
}

// waitForEnd waits until there is an end to list. w.mu must be held; it is released
// while waiting.
func (w *worker) waitForEnd(ctx context.Context, d time.Duration) {
	if len(w.listed) > 0 || d <= 0 {
		return
	}
	ended := w.ended
	w.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(min(d, _maxWait)):
	case <-ctx.Done():
	}
	w.mu.Lock()
}

// lists returns the rows of active and of ended runs. w.mu must be held.
func (w *worker) lists() (active, finished [][]any) {
	active, finished = [][]any{}, [][]any{}
	now := clock.Now()
	for _, r := range w.active {
		percent := min(99, int(100*now.Sub(r.begun)/r.endsAt.Sub(r.begun)))
		active = append(active, []any{r.task, r.number, "", percent, 50})
	}
	for _, r := range w.listed[:min(len(w.listed), _maxListedEnds)] {
		finished = append(finished, []any{r.end, r.task, r.number, r.how, ""})
	}
	return active, finished
}

// apply carries out a call. w.mu must be held.
func (w *worker) apply(path string, o order) (status int, reason string) {
	if o.token < w.token {
		return http.StatusConflict, "fence"
	}
	w.token = o.token
	leaseEnd := min(time.Duration(o.leaseEndMS)*time.Millisecond, w.clock()+_maxHoldMS*time.Millisecond)
	switch path {
	case _wire.Start:
		return w.startRun(o, leaseEnd)
	case _wire.Stop:
		if r := w.active[o.task]; r != nil && r.number == o.run {
			w.endRun(r, clock.Now(), "stopped")
		}
		w.highest[o.task] = max(w.highest[o.task], o.run)
	case _wire.List:
		w.leaseEnd = max(w.leaseEnd, leaseEnd)
		for len(w.listed) > 0 && w.listed[0].end <= o.recordedEnd {
			w.listed[0].noted = clock.Now()
			w.listed = w.listed[1:]
		}
	case _wire.Pace:
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

func (w *worker) startRun(o order, leaseEnd time.Duration) (status int, reason string) {
	if r := w.active[o.task]; r != nil && r.number == o.run {
		return http.StatusOK, ""
	}
	if leaseEnd <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.leaseEnd = max(w.leaseEnd, leaseEnd)
	if o.run <= w.highest[o.task] {
		return http.StatusConflict, "old"
	}
	now := clock.Now()
	r := &run{task: o.task, number: o.run, begun: now, endsAt: now.Add(runTime(o.spec)), restart: w.incarnation}
	w.highest[o.task] = o.run
	w.active[o.task] = r
	w.runs = append(w.runs, r)
	w.rec.add("%s: start %s run %d", w.id, o.task, o.run)
	return http.StatusOK, ""
}

// runTime returns the time that a task with the spec takes.
func runTime(spec string) time.Duration {
	_, text, _ := strings.Cut(spec, "run-ms=")
	text, _, _ = strings.Cut(text, " ")
	ms, err := strconv.Atoi(text)
	if err != nil {
		ms = 1000
	}
	return time.Duration(ms) * time.Millisecond
}

// started returns how many runs have started on the worker.
func (w *worker) started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// history returns copies of all runs.
func (w *worker) history() (out []run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		out = append(out, *r)
	}
	return out
}

// activeRuns returns how many runs are active.
func (w *worker) activeRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.active)
}

// brokenTwice returns a line for each task that breaks the rule TWICE: two runs at the
// same time, or a start after a run has ended as done, if that end has been taken note
// of and the lease has not lapsed in between.
func brokenTwice(workers []*worker) (out []string) {
	byTask := make(map[string][]*run)
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.runs {
			c := *r
			byTask[r.task] = append(byTask[r.task], &c)
		}
		w.mu.Unlock()
	}
	for task, runs := range byTask {
		for _, a := range runs {
			for _, b := range runs {
				switch {
				case a == b || b.begun.Before(a.begun):
				case a.ended.IsZero() || b.begun.Before(a.ended):
					out = append(out, fmt.Sprintf("%s: run %d starts while run %d is active", task, b.number, a.number))
				case a.how == "done" && !a.noted.IsZero() && !a.lapsed:
					out = append(out, fmt.Sprintf("%s: run %d starts %d ms after run %d has ended as done (end %d, taken note of)",
						task, b.number, b.begun.Sub(a.ended).Milliseconds(), a.number, a.end))
				}
			}
		}
	}
	return out
}
