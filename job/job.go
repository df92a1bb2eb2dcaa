// Package job holds batch jobs with their attempts and results.
//
// A job is queued, runs as one attempt at a time on one worker, and ends
// once. Four invariants hold: an attempt number is used once; only the current
// attempt of a running job can end the job or store a checkpoint; a result is
// accepted once; a job that ended never runs again.
package job

import (
	"time"
)

// State is a job's place in its life cycle.
type State uint8

const (
	// Queued jobs wait for a worker.
	Queued State = iota + 1
	// Running jobs have an attempt on a worker.
	Running
	// Done jobs have a result.
	Done
	// Failed jobs ended without a result and are not retried.
	Failed
	// Cancelled jobs were cancelled by their caller.
	Cancelled
)

var _stateNames = map[State]string{
	Queued: "queued", Running: "running", Done: "done", Failed: "failed", Cancelled: "cancelled",
}

// String returns the state's name in the API.
func (s State) String() string { return _stateNames[s] }

// ParseState returns the state with the given name, or 0 if there is none.
func ParseState(s string) State {
	for st, name := range _stateNames {
		if name == s {
			return st
		}
	}
	return 0
}

// Ended reports whether a job in this state has ended.
func (s State) Ended() bool { return s == Done || s == Failed || s == Cancelled }

// Limits of stored jobs.
const (
	Retention      = 24 * time.Hour // retention of an ended job and its key
	MaxResultBytes = 256 << 10      // maximum size of a result, in bytes
	MaxBodyBytes   = 256 << 10      // maximum size of a job's input, in bytes
)

// Bounds of the delay before the next attempt after a failed or lost one. The delay
// doubles with each failure.
const (
	_minRetryDelay = 500 * time.Millisecond
	_maxRetryDelay = 5 * time.Minute
)

// Job is a unit of batch work that runs on one worker at a time.
type Job struct {
	ID               string
	Entry            string
	Owner            string
	Key              string // idempotency key of the submission; empty if none
	Fingerprint      uint64 // hash of the submission's body
	State            State
	Body             []byte
	Attempt          uint32    // number of the latest attempt; 0 before the first
	Worker           string    // worker of the current attempt; empty unless Running
	AgentIncarnation uint64    // of the current attempt's worker; 0 unless Running
	Checkpoint       []byte    // state from which the next attempt resumes
	Cancelling       bool      // the current attempt is to be stopped for a cancellation
	Failures         int       // attempts that failed or were lost
	FailedOn         []string  // workers of the failed and lost attempts
	RetryAt          time.Time // no attempt starts before it
	Status           int       // HTTP status of the result
	Result           []byte
	ResultDropped    bool   // the result was dropped for newer ones
	Reason           string // why the job failed, waits or was evicted
	SubmittedAt      time.Time
	EndedAt          time.Time
	Sequence         uint64 // position in the order of submission
}

// Outcome is the sealed set of ways in which an attempt ends: Finished,
// AttemptFailed, Evicted, Lost and Stopped.
type Outcome interface{ outcome() }

// Finished means that the attempt ran to its end.
type Finished struct {
	Status int
	Result []byte
}

// AttemptFailed means that the worker or the target failed the attempt.
type AttemptFailed struct{ Reason string }

// Evicted means that the attempt was stopped so that the job runs again elsewhere.
type Evicted struct {
	Checkpoint []byte
	Reason     string
}

// Lost means that the worker's lease expired or its agent restarted.
type Lost struct{ Reason string }

// Stopped means that the attempt was stopped for a cancellation.
type Stopped struct{}

func (Finished) outcome()      {}
func (AttemptFailed) outcome() {}
func (Evicted) outcome()       {}
func (Lost) outcome()          {}
func (Stopped) outcome()       {}

var (
	_ Outcome = Finished{}
	_ Outcome = AttemptFailed{}
	_ Outcome = Evicted{}
	_ Outcome = Lost{}
	_ Outcome = Stopped{}
)

// retryDelay returns the delay before the next attempt after the given number
// of failures.
func retryDelay(failures int) time.Duration {
	d := _minRetryDelay
	for i := 1; i < failures && d < _maxRetryDelay; i++ {
		d *= 2
	}
	return min(d, _maxRetryDelay)
}
