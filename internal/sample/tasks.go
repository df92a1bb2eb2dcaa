package sample

import (
	"strconv"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/gentianrail/gentianrail/internal/workerapi"
)

// work is the part of a job's body that the stand-in understands.
type work struct {
	WorkMS int64 `json:"work_ms"`
}

// resultDocument is the result of a job.
type resultDocument struct {
	Run     int64  `json:"run"`
	JobID   string `json:"job_id"`
	Attempt uint32 `json:"attempt"`
	WorkMS  int64  `json:"work_ms"`
	Resumed int64  `json:"resumed_at_ms"`
}

// task is one attempt. It is over when done is closed.
type task struct {
	id      workerapi.TaskID
	body    work
	resumed time.Duration // work that was done by earlier attempts
	started time.Time
	lease   *time.Timer
	finish  *time.Timer
	done    chan struct{}
	status  workerapi.Status
}

// over reports whether the task has ended; its status may be read then.
func (t *task) over() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// board holds the tasks of the stand-in. Tasks do no work but wait.
type board struct {
	mu     sync.Mutex
	tasks  map[string]*task // latest attempt of each job
	begun  time.Time        // zero of the worker's clock
	number func() int64     // numbers the runs
}

func newBoard(begun time.Time, number func() int64) *board {
	return &board{tasks: make(map[string]*task), begun: begun, number: number}
}

func (b *board) clock(now time.Time) time.Duration { return now.Sub(b.begun) }

// start begins an attempt. It reports whether the attempt is the latest.
func (b *board) start(id workerapi.TaskID, body, checkpoint []byte, until time.Duration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.tasks[id.Job]; ok {
		if old.id.Attempt >= id.Attempt {
			return old.id.Attempt == id.Attempt
		}
		b.end(old, workerapi.Status{Progress: workerapi.Stopped, Reason: "a later attempt was started"})
	}
	t := &task{id: id, started: now, done: make(chan struct{})}
	// A body that is not JSON is a job without work.
	_ = json.Unmarshal(body, &t.body)
	if ms, err := strconv.ParseInt(string(checkpoint), 10, 64); err == nil {
		t.resumed = time.Duration(ms) * time.Millisecond
	}
	left := time.Duration(t.body.WorkMS)*time.Millisecond - t.resumed
	t.lease = time.AfterFunc(until-b.clock(now), func() { b.expire(t) })
	t.finish = time.AfterFunc(max(left, 0), func() { b.complete(t) })
	b.tasks[id.Job] = t
	return true
}

// end makes a task over once.
func (b *board) end(t *task, s workerapi.Status) {
	if t.status.Progress != 0 {
		return
	}
	t.status = s
	t.lease.Stop()
	t.finish.Stop()
	close(t.done)
}

func (b *board) expire(t *task) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(t, workerapi.Status{Progress: workerapi.Stopped, Reason: "the lease ran out"})
}

func (b *board) complete(t *task) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.status.Progress != 0 {
		return
	}
	data, err := json.Marshal(resultDocument{
		Run:     b.number(),
		JobID:   t.id.Job,
		Attempt: t.id.Attempt,
		WorkMS:  t.body.WorkMS,
		Resumed: t.resumed.Milliseconds(),
	})
	if err != nil {
		b.end(t, workerapi.Status{Progress: workerapi.Failed, Reason: err.Error()})
		return
	}
	b.end(t, workerapi.Status{Progress: workerapi.Finished, Code: 200, Result: data})
}

func (b *board) find(id workerapi.TaskID) *task {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.tasks[id.Job]
	if !ok || t.id != id {
		return nil
	}
	return t
}

func (b *board) renew(ids []workerapi.TaskID, until time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		if t, ok := b.tasks[id.Job]; ok && t.id == id && t.status.Progress == 0 {
			t.lease.Reset(until - b.clock(now))
		}
	}
}

// checkpoint returns how much work is done, in milliseconds.
func (b *board) checkpoint(t *task, now time.Time) []byte {
	done := t.resumed + now.Sub(t.started)
	return strconv.AppendInt(nil, done.Milliseconds(), 10)
}

// stop ends an attempt. An attempt that was never started is noted as
// stopped, so that a start order that was delayed on the way is refused.
func (b *board) stop(id workerapi.TaskID, now time.Time) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.tasks[id.Job]
	if ok && t.id.Attempt > id.Attempt {
		return nil
	}
	if !ok || t.id != id {
		t = &task{id: id, started: now, done: make(chan struct{}), lease: time.NewTimer(0), finish: time.NewTimer(0)}
		b.tasks[id.Job] = t
	}
	point := b.checkpoint(t, now)
	b.end(t, workerapi.Status{Progress: workerapi.Stopped, Reason: "stopped on order"})
	return point
}

func (b *board) stopAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.tasks {
		b.end(t, workerapi.Status{Progress: workerapi.Stopped, Reason: "all tasks were stopped"})
	}
}

// live returns the attempts that run.
func (b *board) live() []workerapi.TaskID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []workerapi.TaskID
	for _, t := range b.tasks {
		if t.status.Progress == 0 {
			out = append(out, t.id)
		}
	}
	return out
}
