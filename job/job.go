// Package job holds batch work: jobs, their attempts and their results.
//
// A job is queued, runs as one attempt at a time on one worker, and ends
// once. What always holds: an attempt number is given out once; only the
// present attempt of a running job can end it or leave a checkpoint; a result
// is accepted once; a job that ended never runs again.
package job

import (
	"time"
)

// State tells where a job stands.
type State uint8

const (
	// Queued jobs wait for a worker.
	Queued State = iota + 1
	// Running jobs have an attempt on a worker.
	Running
	// Done jobs have a result.
	Done
	// Failed jobs were given up.
	Failed
	// Cancelled jobs were ended by their caller.
	Cancelled
)

var _stateNames = map[State]string{
	Queued: "queued", Running: "running", Done: "done", Failed: "failed", Cancelled: "cancelled",
}

// String returns the state's name in answers.
func (s State) String() string { return _stateNames[s] }

// ParseState returns the state named s, or 0.
func ParseState(s string) State {
	for st, name := range _stateNames {
		if name == s {
			return st
		}
	}
	return 0
}

// Ended reports whether a job in this state is over.
func (s State) Ended() bool { return s == Done || s == Failed || s == Cancelled }

// Limits of what is kept.
const (
	KeepFor    = 24 * time.Hour // how long an ended job and its key are kept
	MostResult = 256 << 10      // bytes of a result
	MostBody   = 256 << 10      // bytes of a job's input
)

// Delays before a failed job is tried again; doubled with each failure.
const (
	_retryFirst = 500 * time.Millisecond
	_retryMost  = 5 * time.Minute
)

// Job is one piece of batch work.
type Job struct {
	ID          string
	Entry       string
	Owner       string
	Key         string // idempotency key of the submission; empty if none
	Fingerprint uint64 // hash of the submission's body
	State       State
	Body        []byte
	Attempt     uint32 // number of the latest attempt; 0 before the first
	Worker      string // worker of the present attempt; empty unless Running
	Incarnation uint64 // agent incarnation of the present attempt
	Checkpoint  []byte // where the next attempt resumes
	Cancelling  bool   // the present attempt is being stopped for a cancellation
	Failures    int    // attempts that failed or were lost
	FailedOn    []string
	RetryAt     time.Time // no attempt starts before it
	Status      int       // HTTP status of the result
	Result      []byte
	Reason      string // why it failed, waits or was evicted
	Submitted   time.Time
	Ended       time.Time
	Sequence    uint64 // order of submission
}

// Outcome is the sealed set of ways in which an attempt ends: Finished,
// AttemptFailed, Evicted, Lost and Stopped.
type Outcome interface{ outcome() }

// Finished means that the attempt ran to its end.
type Finished struct {
	Status int
	Result []byte
}

// AttemptFailed means that the worker or the target gave up.
type AttemptFailed struct{ Reason string }

// Evicted means that the attempt was stopped to run again elsewhere.
type Evicted struct {
	Checkpoint []byte
	Reason     string
}

// Lost means that the worker's lease ran out.
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

// retryDelay returns the exponential delay after the given count of failures.
func retryDelay(failures int) time.Duration {
	d := _retryFirst
	for i := 1; i < failures && d < _retryMost; i++ {
		d *= 2
	}
	return min(d, _retryMost)
}
