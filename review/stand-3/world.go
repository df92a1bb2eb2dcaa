package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a submission, as a requester sends it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	MemMB         int    `json:"mem-mb,omitempty"`
	EstimatedMS   int    `json:"estimated-ms,omitempty"`
	DependsOn     []int  `json:"depends-on,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	Affinity      string `json:"affinity,omitempty"`
	AntiAffinity  int    `json:"anti-affinity,omitempty"`
	Speculative   bool   `json:"speculative,omitempty"`
	LongRunning   bool   `json:"long-running,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMS      int    `json:"target-ms,omitempty"`
	Utilization   bool   `json:"utilization,omitempty"`
	MaxUnavail    int    `json:"max-unavailable,omitempty"`

	workMS int // of a task; not sent
}

// job is a submission, as a requester sends it.
type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Repeat     int    `json:"repeat-count,omitempty"`
	StartAtMS  int64  `json:"start-at-ms,omitempty"`
	IntervalMS int64  `json:"interval-ms,omitempty"`
}

// taskHistory is what the workers have seen of one task.
type taskHistory struct {
	active map[string]bool // worker instance and run
	starts []time.Duration
	ended  bool            // a run has ended as done
	done   []time.Duration // ends as done that were taken note of
	failed []time.Duration // ends as failed that were taken note of
}

// world holds what all workers see together. It checks the rules on starts.
type world struct {
	rec *record

	mu        sync.Mutex
	jobs      map[string]job
	tasks     map[string]*taskHistory
	broken    map[string][]string                                 // by rule
	failed    map[string]int                                      // ends as failed, by submission
	attempts  map[string]int                                      // of the submission's queue
	startedOn []string                                            // workers, one for each start
	late      func(wk *worker, path string, c call) time.Duration // how long an order stays unanswered until it is carried out; 0 for none
	startHook func(wk *worker, task string, run int)
	failTask  func(wk *worker, task string, run int) bool
	gangs     map[string]map[string]*run // by submission, occurrence, step and run; then by task
}

func newWorld(rec *record) *world {
	return &world{
		rec: rec, jobs: make(map[string]job), tasks: make(map[string]*taskHistory),
		broken: make(map[string][]string), failed: make(map[string]int), gangs: make(map[string]map[string]*run), attempts: make(map[string]int),
	}
}

// breaks records that a rule is broken. w.mu must be held.
func (w *world) breaks(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken[rule] = append(w.broken[rule], text)
	w.rec.printf("BROKEN %s: %s", rule, text)
}

// taskName is a task's name in parts.
type taskName struct {
	submission            string
	occurrence, step, idx int
}

func parseTask(name string) (taskName, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskName{}, false
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return taskName{}, false
		}
		n[i] = v
	}
	return taskName{submission: parts[0], occurrence: n[0], step: n[1], idx: n[2]}, true
}

func (t taskName) with(step, idx int) string {
	return fmt.Sprintf("%s.%d.%d.%d", t.submission, t.occurrence, step, idx)
}

func (w *world) history(task string) *taskHistory {
	h := w.tasks[task]
	if h == nil {
		h = &taskHistory{active: make(map[string]bool)}
		w.tasks[task] = h
	}
	return h
}

// Bounds of the site owl-rota.
const (
	_maxHold     = 6000 * time.Millisecond
	_stopTime    = 100 * time.Millisecond // at most stop-timeout-ms, 200
	_gangTimeout = 3000 * time.Millisecond
	_saveEvery   = 1000 * time.Millisecond
	_earlyTime   = 250 * time.Millisecond
)

// begin checks the rules for a start and records it. It returns how long the task works.
func (w *world) begin(wk *worker, name string, number int, spec string) (job, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.rec.since()
	t, ok := parseTask(name)
	j, known := w.jobs[t.submission]
	if !ok || !known || t.step >= len(j.Steps) || t.idx >= j.Steps[t.step].Count {
		w.breaks("UNASKED", "task %s was never sent", name)
		return job{}, time.Second
	}
	if j.Spec != spec {
		w.breaks("UNASKED", "task %s has another spec", name)
	}
	s := j.Steps[t.step]
	h := w.history(name)
	h.starts = append(h.starts, now)
	w.startedOn = append(w.startedOn, wk.id)
	if len(h.active) > 0 && !s.Speculative {
		w.breaks("TWICE", "task %s run %d starts on %s beside %v", name, number, wk.id, h.active)
	}
	if len(h.done) > 0 && !s.LongRunning && !s.Speculative {
		w.breaks("TWICE", "task %s run %d starts on %s, done since %.3f", name, number, wk.id, h.done[0].Seconds())
	}
	if limit := w.attempts[t.submission]; limit > 0 && len(h.failed) >= limit && !s.LongRunning && !s.Gang {
		w.breaks("BUDGET", "task %s run %d starts on %s after %d failed runs", name, number, wk.id, len(h.failed))
	}
	h.active[fmt.Sprintf("%s/%d", wk.id, number)] = true
	for _, d := range s.DependsOn {
		for i := range j.Steps[d].Count {
			if !j.Steps[d].Gang && !w.history(t.with(d, i)).ended {
				w.breaks("ORDER", "task %s starts before %s is done", name, t.with(d, i))
			}
		}
	}
	if j.Repeat > 0 {
		due := time.UnixMilli(j.StartAtMS + int64(t.occurrence)*j.IntervalMS)
		if early := until(due); early > _earlyTime {
			w.breaks("ORDER", "task %s starts %s early", name, early)
		}
	}
	if s.Requirements != "" && !wk.hasLabel(s.Requirements) {
		w.breaks("ROUTE", "task %s starts on %s without label %s", name, wk.id, s.Requirements)
	}
	if w.startHook != nil {
		w.startHook(wk, name, number)
	}
	return j, time.Duration(s.workMS) * time.Millisecond
}

// lateness returns how long an order stays unanswered until it is carried out; 0 for none.
func (w *world) lateness(wk *worker, path string, c call) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.late == nil {
		return 0
	}
	return w.late(wk, path, c)
}

// end records that a run has ended on a worker.
func (w *world) end(wk *worker, name string, number int, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.history(name).active, fmt.Sprintf("%s/%d", wk.id, number))
	if how == "done" {
		w.history(name).ended = true
	}
	if t, ok := parseTask(name); ok && how == "failed" {
		w.failed[t.submission]++
	}
}

// noted records that an end was taken note of. The worker's lease has not lapsed since the end.
func (w *world) noted(name, how string, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := parseTask(name)
	if !ok || t.step >= len(w.jobs[t.submission].Steps) {
		return
	}
	s := w.jobs[t.submission].Steps[t.step]
	names := []string{name}
	if s.Gang && how == "done" {
		names = nil
		for i := range s.Count {
			names = append(names, t.with(t.step, i))
		}
	}
	for _, n := range names {
		h := w.history(n)
		switch how {
		case "done":
			h.done = append(h.done, at)
			for _, start := range h.starts {
				if start > at && !s.LongRunning && !s.Speculative && !s.Gang {
					w.breaks("TWICE", "task %s has started at %.3f, done since %.3f, as was noted now", n, start.Seconds(), at.Seconds())
				}
			}
		case "failed":
			h.failed = append(h.failed, at)
		}
	}
}

// add makes a submission known to the workers.
func (w *world) add(id string, attempts int, j job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts[id] = attempts
	w.jobs[id] = j
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
