package agent

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianrail/gentianrail/admission"
	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/internal/workerapi"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/state"
)

// Timing of tasks.
const (
	_taskPollTimeout     = 5 * time.Second        // of one long poll for a task's end
	_workerRetryInterval = 200 * time.Millisecond // between calls to a failing worker
	_startTimeout        = 20 * time.Second       // to start a task, and of one attempt to report its outcome
	_slotTimeout         = time.Hour              // for a task to get its slots
)

// runningTask is an attempt assigned to this agent.
type runningTask struct {
	id       workerapi.TaskID
	cancel   context.CancelFunc // ends the goroutine without reporting an outcome
	stop     chan struct{}      // closed to stop the attempt
	stopOnce sync.Once
	started  atomic.Bool // the worker has answered its start
}

func (t *runningTask) requestStop() { t.stopOnce.Do(func() { close(t.stop) }) }

func (t *runningTask) isStopRequested() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

// taskSet holds the attempts of this agent.
type taskSet struct {
	mu    sync.Mutex
	tasks map[string]*runningTask // by job
}

func (s *taskSet) list() []workerapi.TaskID {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]workerapi.TaskID, 0, len(s.tasks))
	for _, t := range s.tasks {
		out = append(out, t.id)
	}
	return out
}

// add adds an attempt. It returns false if the set already has an attempt of the
// same job.
func (s *taskSet) add(t *runningTask) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks == nil {
		s.tasks = make(map[string]*runningTask)
	}
	if _, ok := s.tasks[t.id.Job]; ok {
		return false
	}
	s.tasks[t.id.Job] = t
	return true
}

func (s *taskSet) remove(t *runningTask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[t.id.Job] == t {
		delete(s.tasks, t.id.Job)
	}
}

func (s *taskSet) find(id workerapi.TaskID) *runningTask {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.tasks[id.Job]; ok && t.id == id {
		return t
	}
	return nil
}

// cancelAll ends the goroutines of all attempts without reporting outcomes.
func (s *taskSet) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tasks {
		t.cancel()
	}
}

// stopAll requests that all attempts stop and are returned with their
// checkpoints.
func (s *taskSet) stopAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tasks {
		t.requestStop()
	}
}

// withdrawUnstarted requests that the attempts stop that the worker has not started. They
// are returned, so that the controllers place them on another worker.
func (s *taskSet) withdrawUnstarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tasks {
		if !t.started.Load() {
			t.requestStop()
		}
	}
}

// startAttempt starts an attempt that the controllers assigned to this worker.
func (a *Agent) startAttempt(as *pb.Assignment) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &runningTask{
		id:     workerapi.TaskID{Job: as.GetJob(), Attempt: as.GetAttempt()},
		cancel: cancel,
		stop:   make(chan struct{}),
	}
	if !a.tasks.add(t) {
		cancel()
		return
	}
	a.runs.Go(func() {
		defer cancel()
		outcome := a.runTask(ctx, t, as)
		if outcome != nil && ctx.Err() == nil {
			a.reportOutcome(ctx, t, outcome)
		}
		a.tasks.remove(t)
	})
}

// runTask runs one attempt from the wait for its slots to its end. It returns
// nil if this agent no longer owns the attempt.
func (a *Agent) runTask(ctx context.Context, t *runningTask, as *pb.Assignment) job.Outcome {
	now := time.Now()
	slotCtx, cancelWait := context.WithCancel(ctx)
	unhook := onClosed(t.stop, cancelWait)
	ticket, err := a.gate.admit(slotCtx, admission.Ticket{
		Entry: as.GetEntry(), Owner: as.GetOwner(), Class: catalogue.Batch, Priority: int(as.GetPriority()),
		Slots: int(as.GetSlots()), Arrived: now, Deadline: now.Add(_slotTimeout),
		MaxSlots: a.cfg.Slots, MaxConnections: a.cfg.Connections, MaxQueued: a.cfg.Slots + a.cfg.Connections,
	}, nil)
	unhook()
	cancelWait()
	if err != nil {
		return job.Evicted{Checkpoint: as.GetCheckpoint(), Reason: fault.From(err).Message()}
	}
	defer a.gate.release(ticket)
	if err := a.startTask(ctx, t, as); errors.Is(err, errWithdrawn) {
		return a.withdrawStart(ctx, t, as)
	} else if err != nil {
		return a.abandonStart(ctx, t, err)
	}
	t.started.Store(true)
	a.log.Emit(event.TaskStarted, event.Fields{"job": t.id.Job, "attempt": t.id.Attempt}, "task started")
	return a.awaitTask(ctx, t)
}

// onClosed calls fn when ch is closed. The returned function ends the wait for ch
// and waits for a call of fn in progress.
func onClosed(ch <-chan struct{}, fn func()) (unhook func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		select {
		case <-ch:
			fn()
		case <-done:
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// errWithdrawn means that a stop was ordered before the worker answered a start.
var errWithdrawn = errors.New("the attempt was withdrawn before its start")

// withdrawStart stops an attempt whose start the worker has perhaps accepted although its
// answer was lost. An attempt that has not finished is returned with the checkpoint that it
// came with: the worker may know none.
func (a *Agent) withdrawStart(ctx context.Context, t *runningTask, as *pb.Assignment) job.Outcome {
	outcome := a.stopTask(ctx, t)
	if e, ok := outcome.(job.Evicted); ok {
		e.Checkpoint = as.GetCheckpoint()
		return e
	}
	return outcome
}

// abandonStart abandons an attempt that failed to start. The worker may have
// accepted the attempt although its answer was lost, so the attempt is stopped
// first.
func (a *Agent) abandonStart(ctx context.Context, t *runningTask, cause error) job.Outcome {
	for ctx.Err() == nil {
		if _, err := a.worker.Stop(ctx, t.id); err == nil {
			return job.AttemptFailed{Reason: fault.From(cause).Message()}
		}
		clock.Sleep(ctx, _workerRetryInterval)
	}
	return nil
}

// startTask repeats a start until the worker answers. Before each call it checks whether
// the attempt is still to start here.
func (a *Agent) startTask(ctx context.Context, t *runningTask, as *pb.Assignment) error {
	deadline := time.Now().Add(_startTimeout)
	for {
		if t.isStopRequested() {
			return errWithdrawn
		}
		leaseEnd, session, ok := a.lease.endOnWorkerClock(clock.Now())
		if !ok {
			return fault.New(fault.StaleAttempt, "the lease expired before the task was started")
		}
		_, err := a.worker.Start(ctx, workerapi.Task{
			ID: t.id, Target: as.GetTarget(), Body: as.GetBody(), Checkpoint: as.GetCheckpoint(), LeaseEnd: leaseEnd, Session: session,
		})
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		if !clock.Sleep(ctx, _workerRetryInterval) {
			return ctx.Err()
		}
	}
}

// awaitTask waits until a task ends, or stops the task on request.
func (a *Agent) awaitTask(ctx context.Context, t *runningTask) job.Outcome {
	for ctx.Err() == nil {
		waitCtx, cancel := context.WithCancel(ctx)
		unhook := onClosed(t.stop, cancel)
		status, err := a.worker.Wait(waitCtx, t.id, _taskPollTimeout)
		unhook()
		cancel()
		if t.isStopRequested() {
			return a.stopTask(ctx, t)
		}
		if err != nil {
			clock.Sleep(ctx, _workerRetryInterval)
			continue
		}
		switch status.State {
		case workerapi.Running:
		case workerapi.Finished:
			return job.Finished{Status: status.Code, Result: status.Result}
		case workerapi.Failed:
			return job.AttemptFailed{Reason: status.Reason}
		case workerapi.Stopped:
			return job.Lost{Reason: status.Reason}
		case workerapi.Unknown:
			return job.Lost{Reason: "the worker no longer knows the task"}
		}
	}
	return nil
}

// stopTask stops a task and returns its checkpoint. A task that has already
// finished keeps its result.
func (a *Agent) stopTask(ctx context.Context, t *runningTask) job.Outcome {
	for ctx.Err() == nil {
		status, err := a.worker.Wait(ctx, t.id, 0)
		if err == nil && status.State == workerapi.Finished {
			return job.Finished{Status: status.Code, Result: status.Result}
		}
		checkpoint, err := a.worker.Stop(ctx, t.id)
		if err == nil {
			return job.Evicted{Checkpoint: checkpoint, Reason: "stopped on order"}
		}
		clock.Sleep(ctx, _workerRetryInterval)
	}
	return nil
}

// reportOutcome reports an attempt's outcome to the controllers. It retries
// until the controllers accept or reject the report or this agent no longer
// owns the attempt.
func (a *Agent) reportOutcome(ctx context.Context, t *runningTask, o job.Outcome) {
	cmd := state.EndAttempt{ID: t.id.Job, Attempt: t.id.Attempt, Outcome: o}
	for ctx.Err() == nil {
		tryCtx, cancel := context.WithTimeout(ctx, _startTimeout)
		_, err := a.controllers.Propose(tryCtx, cmd)
		cancel()
		if err == nil || !isUnresolved(err) {
			a.log.Emit(event.TaskEnded, event.Fields{"job": t.id.Job, "attempt": t.id.Attempt}, "task ended")
			return
		}
	}
}
