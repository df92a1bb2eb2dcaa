package runner

import (
	"context"
	"errors"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Announcement is the state that a worker announces.
type Announcement struct {
	ID          string
	StartTimeMS int64 // start of this incarnation, in ms since the Unix epoch
	Sequence    uint64
	Address     string
	Service     string
	Zone        string
	Rack        string
	Labels      []string
	Machine     string
	Capacity    submission.Resources
	Draining    bool
	Remaining   time.Duration // minimum time until the worker ends, while it drains
	WarmUpLeft  time.Duration // for which the worker stays slow after its start or a pause; 0 if it is not

	warmAt time.Time // when the warm-up ends, on this machine's clock; zero if there is none
}

// Incarnation identifies one incarnation of a worker. A worker that restarts
// under its old identifier is another incarnation.
type Incarnation struct {
	ID          string
	StartTimeMS int64
}

// StartOrder is a run to start on a worker.
type StartOrder struct {
	Run        submission.RunID
	Text       string        // of the submission; opaque
	Checkpoint string        // checkpoint to resume from; empty for none
	Ticket     string        // of the queue's advice service; empty for none
	LeaseEnd   time.Duration // lease end on the worker's clock
	Token      uint64        // fencing token
}

// StartAnswer is a worker's answer to a start.
type StartAnswer uint8

const (
	// Started means that the worker has the run, perhaps from an earlier call.
	Started StartAnswer = iota + 1
	// NoCapacity means that the worker lacks free capacity.
	NoCapacity
	// TooLate means that the lease end has passed on the worker's clock.
	TooLate
	// Superseded means that the worker has already had the run, or a later run
	// of its task.
	Superseded
	// Fenced means that the worker has seen a higher fencing token.
	Fenced
	// Rejected means that the worker never accepts this start.
	Rejected
	// Unhealthy means that the worker is unhealthy and has not read the order. It may
	// still carry out an earlier one.
	Unhealthy
	// OtherIncarnation means that another incarnation of the worker has answered.
	OtherIncarnation
)

// ListedRun is an active run as the worker lists it.
type ListedRun struct {
	Run         submission.RunID
	Checkpoint  string
	Progress    int   // percent
	Measurement int64 // tail latency in ms of a service task, else the CPU in use in thousandths of a core
}

// ListedEnd is an ended run as the worker lists it.
type ListedEnd struct {
	Number     uint64 // of the incarnation's ends, from 1
	Run        submission.RunID
	Reason     submission.EndReason
	Checkpoint string

	callsUntil time.Time // until when a call that starts the run and has no answer may be carried out; zero for none
}

// Listing is a worker's answer to a PollRequest.
type Listing struct {
	StartTimeMS int64         // of the incarnation that answered; 0 if the answer lacks it
	Clock       time.Duration // worker's clock when it answered
	Active      []ListedRun   // all active runs
	Ends        []ListedEnd   // ends after the latest recorded one, the earliest first
	MoreEnds    bool          // there may be further ends, which are listed when these are recorded
}

// PollRequest is a long poll that renews the lease of all runs on a worker and
// lists them.
type PollRequest struct {
	Token           uint64        // fencing token
	LastRecordedEnd uint64        // number of the latest end that the leader has recorded
	LeaseEnd        time.Duration // lease end on the worker's clock; 0 for no renewal
	Wait            time.Duration // how long the answer may wait for an end
}

// ErrFenced means that the worker has seen a higher fencing token than the call's.
var ErrFenced = errors.New("the worker has seen a higher fencing token")

// ErrOtherIncarnation means that another incarnation of the worker has answered.
var ErrOtherIncarnation = errors.New("another incarnation of the worker has answered")

// ErrRefused means that the worker's address refused the connection: no process
// listens there. The call has had no effect.
var ErrRefused = errors.New("the worker's address refuses connections")

// Worker is the interface to the worker on this machine. A call that returns an
// error may have been carried out, or may be carried out seconds later.
type Worker interface {
	// Start starts a run and returns the worker's clock.
	Start(ctx context.Context, id string, o StartOrder) (StartAnswer, time.Duration, error)
	// Stop stops a run. The worker rejects a start of the run that arrives later.
	Stop(ctx context.Context, id string, run submission.RunID, token uint64) error
	// Poll renews the lease and lists the runs.
	Poll(ctx context.Context, id string, req PollRequest) (Listing, error)
	// Pace limits a run to a share of its full speed, in percent.
	Pace(ctx context.Context, id string, run submission.RunID, percent int, token uint64) error
}
