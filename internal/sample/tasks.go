package sample

import (
	"strconv"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/workerapi"
)

// jobBody is the part of a job's body that the sample target reads.
type jobBody struct {
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

// task is one attempt of a job.
type task struct {
	id         workerapi.TaskID
	body       jobBody
	priorWork  time.Duration // of earlier attempts
	started    time.Time
	leaseTimer *time.Timer
	workTimer  *time.Timer
	done       chan struct{}    // closed when the task has ended
	status     workerapi.Status // zero until the task has ended
}

// hasEnded reports whether the task has ended. Only then may status be read
// without the lock of the store.
func (t *task) hasEnded() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// store holds the tasks of the sample target. A task only waits for the duration
// of its work.
type store struct {
	mu         sync.Mutex
	session    uint64           // in which starts and renewals are accepted; 0 for none yet
	tasks      map[string]*task // latest attempt of each job
	clockStart time.Time        // zero of the worker's clock
	nextRun    func() int64     // returns the number of the next run
}

func newStore(clockStart time.Time, nextRun func() int64) *store {
	return &store{tasks: make(map[string]*task), clockStart: clockStart, nextRun: nextRun}
}

func (s *store) clock(now time.Time) time.Duration { return now.Sub(s.clockStart) }

// errSessionEnded rejects orders of a session that has ended.
var errSessionEnded = fault.New(fault.StaleWorker, "the session has ended")

// startTask starts a task, unless the same attempt of the job exists. The error is
// StaleAttempt if a later attempt exists, and StaleWorker if the session is not the
// present one.
func (s *store) startTask(session uint64, id workerapi.TaskID, body, checkpoint []byte, leaseEnd time.Duration, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session != s.session {
		return errSessionEnded
	}
	if old, ok := s.tasks[id.Job]; ok {
		if old.id.Attempt > id.Attempt {
			return fault.New(fault.StaleAttempt, "a later attempt of the job was started")
		}
		if old.id.Attempt == id.Attempt {
			return nil
		}
		s.endTask(old, workerapi.Status{State: workerapi.Stopped, Reason: "a later attempt was started"})
	}
	t := &task{id: id, started: now, done: make(chan struct{})}
	// A job whose body is not JSON has no work.
	_ = json.Unmarshal(body, &t.body)
	if ms, err := strconv.ParseInt(string(checkpoint), 10, 64); err == nil {
		t.priorWork = time.Duration(ms) * time.Millisecond
	}
	remaining := time.Duration(t.body.WorkMS)*time.Millisecond - t.priorWork
	t.leaseTimer = time.AfterFunc(leaseEnd-s.clock(now), func() { s.expireTask(t) })
	t.workTimer = time.AfterFunc(max(remaining, 0), func() { s.completeTask(t) })
	s.tasks[id.Job] = t
	if leaseEnd <= s.clock(now) {
		s.endTask(t, workerapi.Status{State: workerapi.Stopped, Reason: "the lease had expired"})
	}
	return nil
}

// endTask ends a task with the outcome, unless it has ended before. The caller
// holds mu.
func (s *store) endTask(t *task, outcome workerapi.Status) {
	if t.status.State != 0 {
		return
	}
	t.status = outcome
	t.leaseTimer.Stop()
	t.workTimer.Stop()
	close(t.done)
}

func (s *store) expireTask(t *task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endTask(t, workerapi.Status{State: workerapi.Stopped, Reason: "the lease expired"})
}

func (s *store) completeTask(t *task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.status.State != 0 {
		return
	}
	data, err := json.Marshal(resultDocument{
		Run:     s.nextRun(),
		JobID:   t.id.Job,
		Attempt: t.id.Attempt,
		WorkMS:  t.body.WorkMS,
		Resumed: t.priorWork.Milliseconds(),
	})
	if err != nil {
		s.endTask(t, workerapi.Status{State: workerapi.Failed, Reason: err.Error()})
		return
	}
	s.endTask(t, workerapi.Status{State: workerapi.Finished, Code: 200, Result: data})
}

func (s *store) findTask(id workerapi.TaskID) *task {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tasks[id.Job]
	if !ok || t.id != id {
		return nil
	}
	return t
}

func (s *store) renewLeases(session uint64, ids []workerapi.TaskID, leaseEnd time.Duration, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session != s.session {
		return errSessionEnded
	}
	for _, id := range ids {
		if t, ok := s.tasks[id.Job]; ok && t.id == id && t.status.State == 0 {
			t.leaseTimer.Reset(leaseEnd - s.clock(now))
		}
	}
	return nil
}

// checkpointTask returns the work done so far in milliseconds.
func (s *store) checkpointTask(t *task, now time.Time) []byte {
	done := t.priorWork + now.Sub(t.started)
	return strconv.AppendInt(nil, done.Milliseconds(), 10)
}

// stopTask ends a task and returns its checkpoint. A task that was never started
// is recorded as stopped, so that a delayed start order has no effect.
func (s *store) stopTask(id workerapi.TaskID, now time.Time) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tasks[id.Job]
	if ok && t.id.Attempt > id.Attempt {
		return nil
	}
	if ok && t.id != id {
		s.endTask(t, workerapi.Status{State: workerapi.Stopped, Reason: "a later attempt was stopped"})
	}
	if !ok || t.id != id {
		t = &task{id: id, started: now, done: make(chan struct{}), leaseTimer: time.NewTimer(0), workTimer: time.NewTimer(0)}
		s.tasks[id.Job] = t
	}
	checkpoint := s.checkpointTask(t, now)
	s.endTask(t, workerapi.Status{State: workerapi.Stopped, Reason: "stopped on order"})
	return checkpoint
}

// stopAllTasks ends all tasks and begins a session, unless a later one has begun. It
// returns the present session.
func (s *store) stopAllTasks(session uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session < s.session {
		return s.session
	}
	s.session = session
	for _, t := range s.tasks {
		s.endTask(t, workerapi.Status{State: workerapi.Stopped, Reason: "all tasks were stopped"})
	}
	return s.session
}

// runningTasks returns the identifiers of the running tasks.
func (s *store) runningTasks() []workerapi.TaskID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []workerapi.TaskID
	for _, t := range s.tasks {
		if t.status.State == 0 {
			out = append(out, t.id)
		}
	}
	return out
}
