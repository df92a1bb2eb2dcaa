package runner

import (
	"context"
	"errors"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Announcement is what a worker tells of itself.
type Announcement struct {
	ID        string
	Born      int64 // start of this life, in ms since the Unix epoch
	Sequence  uint64
	Address   string
	Service   string
	Zone      string
	Rack      string
	Labels    []string
	Machine   string
	Capacity  submission.Resources
	Draining  bool
	Remaining time.Duration // least time until the end, while it drains
}

// Life names one life of a worker: a worker that starts again under its old
// identifier has another one.
type Life struct {
	ID   string
	Born int64
}

// StartOrder is a run to start on a worker.
type StartOrder struct {
	Run    submission.RunID
	Text   string
	Saved  string        // checkpoint to resume from; empty for none
	Ticket string        // of the queue's advice service; empty for none
	Until  time.Duration // lease end on the worker's clock
	Term   uint64        // fencing token
}

// StartAnswer is a worker's answer to a start.
type StartAnswer uint8

const (
	// Started runs are there, perhaps since an earlier call.
	Started StartAnswer = iota + 1
	// NoRoom tells that the worker lacks the capacity.
	NoRoom
	// TooLate tells that the lease end has passed on the worker's clock.
	TooLate
	// Superseded tells that the run, or a later one of its task, has been there.
	Superseded
	// Fenced tells that the worker has seen a higher term.
	Fenced
	// Unfit tells that the worker will not take this start at all.
	Unfit
	// Sick tells that the worker is unhealthy and has done nothing.
	Sick
	// OtherLife tells that another life of the worker has answered.
	OtherLife
)

// ListedRun is an active run as the worker lists it.
type ListedRun struct {
	Run     submission.RunID
	Saved   string
	Percent int
	Figure  int64 // tail latency in ms of a task that serves, else the CPU in use in thousandths of a core
}

// ListedEnd is an ended run as the worker lists it.
type ListedEnd struct {
	Number uint64 // counts the life's ends from 1
	Run    submission.RunID
	How    submission.How
	Saved  string
}

// Listing is a worker's answer to a hold.
type Listing struct {
	Born   int64         // of the life that answered; 0 if it does not tell
	Clock  time.Duration // worker's clock when it answered
	Active []ListedRun
	Ends   []ListedEnd
}

// Hold renews the lease of all runs on a worker and lists them.
type Hold struct {
	Term     uint64
	LastSeen uint64        // ends up to this number are recorded
	Until    time.Duration // lease end on the worker's clock; 0 for no renewal
	Wait     time.Duration // how long the answer may wait for an end
}

// ErrFenced is a worker's answer to a term that is lower than one that it has
// seen.
var ErrFenced = errors.New("the worker has seen a higher term")

// Worker is the interface to the worker on this machine. A call that returns
// an error may have been carried out, or may still be, seconds later.
type Worker interface {
	// Start starts a run. It returns the worker's clock.
	Start(ctx context.Context, id string, o StartOrder) (StartAnswer, time.Duration, error)
	// Stop stops a run, and has a start of it that arrives later refused.
	Stop(ctx context.Context, id string, run submission.RunID, term uint64) error
	// Hold renews the lease and lists the runs.
	Hold(ctx context.Context, id string, h Hold) (Listing, error)
	// Pace lets a run work at a share of its speed, in percent.
	Pace(ctx context.Context, id string, run submission.RunID, percent int, term uint64) error
}
