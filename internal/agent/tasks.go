package agent

import (
	"context"
	"sync"
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
	_awaitStep  = 5 * time.Second        // of one wait for a task's end
	_retryPause = 200 * time.Millisecond // between calls of a worker that fails
	_startLimit = 20 * time.Second       // for a worker to take a task
	_slotLimit  = time.Hour              // for a task to get its slot
)

// runningTask is one attempt that this agent has.
type runningTask struct {
	id     workerapi.TaskID
	cancel context.CancelFunc // ends its goroutine without settling
	stop   chan struct{}      // closed when the attempt is to be stopped
	once   sync.Once
}

func (t *runningTask) askStop() { t.once.Do(func() { close(t.stop) }) }

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

// cancelAll ends the goroutines of all attempts, after the leases ran out.
func (s *taskSet) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tasks {
		t.cancel()
	}
}

// stopAll asks for all attempts to be stopped and given back.
func (s *taskSet) stopAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tasks {
		t.askStop()
	}
}

// assign starts an attempt that the controllers gave to this worker.
func (a *Agent) assign(as *pb.Assignment) {
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
			a.endTask(ctx, t, outcome)
		}
		a.tasks.remove(t)
	})
}

// runTask carries one attempt from its slot to its end. It returns nil if the
// attempt is no longer this agent's.
func (a *Agent) runTask(ctx context.Context, t *runningTask, as *pb.Assignment) job.Outcome {
	now := time.Now()
	slotCtx, withdraw := context.WithCancel(ctx)
	unhook := onClosed(t.stop, withdraw)
	ticket, err := a.gate.enter(slotCtx, admission.Ticket{
		Entry: as.GetEntry(), Owner: as.GetOwner(), Class: catalogue.Batch, Priority: int(as.GetPriority()),
		Slots: int(as.GetSlots()), Arrived: now, Deadline: now.Add(_slotLimit),
		MostSlots: a.cfg.Slots, MostConnections: a.cfg.Connections, MostQueue: a.cfg.Slots + a.cfg.Connections,
	})
	unhook()
	withdraw()
	if err != nil {
		return job.Evicted{Checkpoint: as.GetCheckpoint(), Reason: fault.From(err).Message()}
	}
	defer a.gate.leave(ticket)
	if err := a.startTask(ctx, t, as); err != nil {
		return a.failStart(ctx, t, err)
	}
	a.log.Emit(event.TaskStarted, event.Fields{"job": t.id.Job, "attempt": t.id.Attempt}, "started a task")
	return a.awaitTask(ctx, t)
}

// onClosed calls fn when ch is closed, until the returned function is called.
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

// failStart gives an attempt up. The worker may have taken it although the
// answer was lost, so it is stopped first.
func (a *Agent) failStart(ctx context.Context, t *runningTask, cause error) job.Outcome {
	for ctx.Err() == nil {
		if _, err := a.worker.Stop(ctx, t.id); err == nil {
			return job.AttemptFailed{Reason: fault.From(cause).Message()}
		}
		clock.Sleep(ctx, _retryPause)
	}
	return nil
}

func (a *Agent) startTask(ctx context.Context, t *runningTask, as *pb.Assignment) error {
	limit := time.Now().Add(_startLimit)
	for {
		until, ok := a.lease.workerEnd(time.Now())
		if !ok {
			return fault.New(fault.StaleAttempt, "the lease ran out before the task was started")
		}
		_, err := a.worker.Start(ctx, workerapi.Task{
			ID: t.id, Target: as.GetTarget(), Body: as.GetBody(), Checkpoint: as.GetCheckpoint(), Until: until,
		})
		if err == nil || time.Now().After(limit) || ctx.Err() != nil {
			return err
		}
		if !clock.Sleep(ctx, _retryPause) {
			return ctx.Err()
		}
	}
}

// awaitTask waits for a task's end, or stops it when asked.
func (a *Agent) awaitTask(ctx context.Context, t *runningTask) job.Outcome {
	for ctx.Err() == nil {
		waitCtx, cancel := context.WithCancel(ctx)
		unhook := onClosed(t.stop, cancel)
		status, err := a.worker.Wait(waitCtx, t.id, _awaitStep)
		unhook()
		cancel()
		select {
		case <-t.stop:
			return a.stopTask(ctx, t)
		default:
		}
		if err != nil {
			clock.Sleep(ctx, _retryPause)
			continue
		}
		switch status.Progress {
		case workerapi.Running:
		case workerapi.Finished:
			return job.Finished{Status: status.Code, Result: status.Result}
		case workerapi.Failed:
			return job.AttemptFailed{Reason: status.Reason}
		case workerapi.Stopped:
			return job.Lost{Reason: status.Reason}
		case workerapi.Unknown:
			return job.Lost{Reason: "the worker does not know the task any more"}
		}
	}
	return nil
}

// stopTask stops a task and gives it back with its checkpoint. A task that
// had finished keeps its result.
func (a *Agent) stopTask(ctx context.Context, t *runningTask) job.Outcome {
	for ctx.Err() == nil {
		status, err := a.worker.Wait(ctx, t.id, 0)
		if err == nil && status.Progress == workerapi.Finished {
			return job.Finished{Status: status.Code, Result: status.Result}
		}
		checkpoint, err := a.worker.Stop(ctx, t.id)
		if err == nil {
			return job.Evicted{Checkpoint: checkpoint, Reason: "stopped on order"}
		}
		clock.Sleep(ctx, _retryPause)
	}
	return nil
}

// endTask tells the controllers how an attempt ended. It goes on until they
// have taken it in or the attempt is no longer this agent's.
func (a *Agent) endTask(ctx context.Context, t *runningTask, o job.Outcome) {
	cmd := state.EndAttempt{ID: t.id.Job, Attempt: t.id.Attempt, Outcome: o}
	for ctx.Err() == nil {
		tryCtx, cancel := context.WithTimeout(ctx, _startLimit)
		_, err := a.controllers.Propose(tryCtx, cmd)
		cancel()
		if err == nil || !unsettled(err) {
			a.log.Emit(event.TaskEnded, event.Fields{"job": t.id.Job, "attempt": t.id.Attempt}, "a task ended")
			return
		}
	}
}
