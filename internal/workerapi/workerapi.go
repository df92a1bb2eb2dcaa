// Package workerapi is the interface to a worker's tasks.
//
// A worker runs each task under a lease and stops it by itself when the lease
// ends. Leases end at an instant of the worker's own monotonic clock, which
// each answer of the worker states. The agent derives the instant from an
// earlier answer, so a renewal that is delayed on the way never extends a
// lease beyond what the controllers granted.
package workerapi

import (
	"context"
	"time"
)

// TaskID names one attempt of a job.
type TaskID struct {
	Job     string
	Attempt uint32
}

// Task is what a worker is asked to run.
type Task struct {
	ID         TaskID
	Target     string
	Body       []byte
	Checkpoint []byte        // where to resume; empty for the start
	Until      time.Duration // lease end on the worker's clock
}

// Progress tells how far a task got.
type Progress uint8

const (
	// Running means that the task goes on.
	Running Progress = iota + 1
	// Finished means that the task has a result.
	Finished
	// Failed means that the task gave up.
	Failed
	// Stopped means that the worker stopped the task, on order or at the end
	// of its lease.
	Stopped
	// Unknown means that the worker does not know the attempt.
	Unknown
)

// Status is the state of one task.
type Status struct {
	Progress Progress
	Code     int // HTTP status of the result
	Result   []byte
	Reason   string
}

// Usage is what a task used lately.
type Usage struct {
	ID          TaskID
	CPUMillis   int64
	MemoryBytes int64
	At          time.Duration // on the worker's clock; lags behind the present
}

// Worker is what the agent needs of its worker. Each method returns the
// worker's clock as of some instant during the call.
type Worker interface {
	// Clock reads the worker's clock.
	Clock(ctx context.Context) (time.Duration, error)
	// Start begins a task. Starting an attempt again is harmless; starting one
	// below the latest attempt of its job is refused.
	Start(ctx context.Context, t Task) (time.Duration, error)
	// Renew sets the lease end of the tasks.
	Renew(ctx context.Context, ids []TaskID, until time.Duration) (time.Duration, error)
	// Wait returns a task's status when it is over, or after the given time.
	Wait(ctx context.Context, id TaskID, wait time.Duration) (Status, error)
	// Checkpoint returns where the task could resume.
	Checkpoint(ctx context.Context, id TaskID) ([]byte, error)
	// Throttle lets a task use the given share of its processors, in percent.
	Throttle(ctx context.Context, id TaskID, percent int) error
	// Stop ends a task and returns where it could resume. Once it has
	// returned without an error the task does not run.
	Stop(ctx context.Context, id TaskID) ([]byte, error)
	// StopAll ends all tasks of the worker, whoever started them.
	StopAll(ctx context.Context) error
	// Usage returns what the tasks used.
	Usage(ctx context.Context) ([]Usage, error)
}
