// Package workerapi defines the interface to a worker's tasks.
//
// A worker runs each task under a lease and stops the task when the lease
// expires. A lease ends at an instant of the worker's own monotonic clock,
// which the worker reports in its answers. The agent computes the instant from
// an earlier answer, so a renewal that is delayed in transit never extends a
// lease beyond what the controllers granted.
//
// An agent begins a session when it stops all tasks. A worker rejects starts and
// renewals of any other session: they may come late, or from an agent that has
// been succeeded, or name a time of the clock of an earlier worker process.
package workerapi

import (
	"context"
	"time"
)

// TaskID identifies one attempt of a job.
type TaskID struct {
	Job     string
	Attempt uint32
}

// Task is an attempt to run on a worker.
type Task struct {
	ID         TaskID
	Target     string
	Body       []byte
	Checkpoint []byte        // where to resume; empty to start from the beginning
	LeaseEnd   time.Duration // lease end on the worker's clock
	Session    uint64        // in which the worker's clock was read
}

// State is a task's place in its life cycle.
type State uint8

const (
	// Running means that the task has not ended.
	Running State = iota + 1
	// Finished means that the task has a result.
	Finished
	// Failed means that the task ended with an error.
	Failed
	// Stopped means that the worker stopped the task, on order or at the end
	// of its lease.
	Stopped
	// Unknown means that the worker does not know the attempt.
	Unknown
)

// Status is the state of one task, with the result if it has ended.
type Status struct {
	State  State
	Code   int // HTTP status of the result
	Result []byte
	Reason string
}

// Usage is a task's recent resource usage.
type Usage struct {
	ID          TaskID
	CPUMillis   int64
	MemoryBytes int64
	At          time.Duration // sample time on the worker's clock; earlier than the time of the call
}

// Worker is the task interface that the agent needs of its worker. A returned
// time.Duration is the worker's clock at an instant during the call.
type Worker interface {
	// Clock reads the worker's clock.
	Clock(ctx context.Context) (time.Duration, error)
	// Start starts a task. Starting an attempt again has no effect; an attempt
	// older than the latest attempt of its job is rejected.
	Start(ctx context.Context, t Task) (time.Duration, error)
	// Renew sets the lease end of the tasks. The error is StaleWorker if the worker
	// is in another session.
	Renew(ctx context.Context, session uint64, ids []TaskID, leaseEnd time.Duration) (time.Duration, error)
	// Wait returns a task's status when the task has ended, or after the given
	// time.
	Wait(ctx context.Context, id TaskID, wait time.Duration) (Status, error)
	// Checkpoint returns a checkpoint from which the task can resume.
	Checkpoint(ctx context.Context, id TaskID) ([]byte, error)
	// Throttle limits a task to a percentage of its CPUs.
	Throttle(ctx context.Context, id TaskID, percent int) error
	// Stop ends a task and returns its checkpoint. Once Stop has returned
	// without an error, the task does not run.
	Stop(ctx context.Context, id TaskID) ([]byte, error)
	// StopAll ends all tasks of the worker, including those of earlier agents, and
	// begins a session. It has no effect if the worker is in a later session, which
	// it then returns as present. A worker without sessions returns 0.
	StopAll(ctx context.Context, session uint64) (clock time.Duration, present uint64, err error)
	// Usage returns the recent resource usage of all tasks.
	Usage(ctx context.Context) ([]Usage, error)
}
