package state

import (
	"time"

	"github.com/gentianrail/gentianrail/burn"
	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/claim"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/queue"
	"github.com/gentianrail/gentianrail/submission"
	"github.com/gentianrail/gentianrail/worker"
)

// Command is the sealed set of changes of the shared state: PutEntry,
// DeleteEntry, RegisterWorker, RetireWorker, DrainWorker, SubmitJob,
// CancelJob, PlaceJob, EndAttempt, FailJob, BeginClaim, FinishClaim,
// ReleaseClaim, RecordBurn, ReplaceQueues, Submit, CancelSubmission, StartRuns
// and EndRuns.
type Command interface{ command() }

// PutEntry puts a declaration in force.
type PutEntry struct {
	Spec     catalogue.Spec
	Base     uint64
	ChangeID string
}

// DeleteEntry takes a declaration out of force.
type DeleteEntry struct {
	Name     string
	Base     uint64
	ChangeID string
}

// RegisterWorker takes in an agent's announcement.
type RegisterWorker struct{ Worker worker.Worker }

// RetireWorker forgets one incarnation of a worker and ends its attempts.
type RetireWorker struct {
	ID          string
	Incarnation uint64
}

// DrainWorker sets whether a worker takes new work.
type DrainWorker struct {
	ID      string
	Drained bool
}

// SubmitJob takes in batch work.
type SubmitJob struct{ Job job.Job }

// CancelJob ends a job for its caller.
type CancelJob struct{ ID string }

// PlaceJob gives a job's next attempt to a worker.
type PlaceJob struct {
	ID          string
	Attempt     uint32
	Worker      string
	Incarnation uint64
}

// EndAttempt ends a job's attempt.
type EndAttempt struct {
	ID      string
	Attempt uint32
	Outcome job.Outcome
}

// FailJob gives up a queued job that can never run.
type FailJob struct {
	ID     string
	Reason string
}

// BeginClaim claims an idempotency key for one attempt. The claim's deadline
// is counted on the log's clock, since the agents' clocks may differ.
type BeginClaim struct {
	Claim     claim.Claim
	Remaining time.Duration // until no attempt runs any more
}

// FinishClaim records the answer of a claimed request.
type FinishClaim struct {
	Entry  string
	Key    string
	Token  string
	Answer claim.Answer
}

// ReleaseClaim gives back the claim of a request that did not run.
type ReleaseClaim struct {
	Entry string
	Key   string
	Token string
}

// RecordBurn adds one source's counts. A sequence that is not above the
// source's last one is a resend and changes nothing.
type RecordBurn struct {
	Source   string
	Sequence uint64
	Counts   []burn.Count
}

// ReplaceQueues puts a table of queues in force if its version is above the
// one in force.
type ReplaceQueues struct{ Table queue.Table }

// Submit takes in a submission. The queue's figures are those that the
// proposer saw; they follow the table in force from then on.
type Submit struct{ Submission submission.Submission }

// CancelSubmission ends a submission for its caller.
type CancelSubmission struct{ ID string }

// StartRuns records that tasks are given to workers.
type StartRuns struct{ Starts []submission.Start }

// EndRuns records that runs are over.
type EndRuns struct{ Ends []submission.End }

func (ReplaceQueues) command()    {}
func (Submit) command()           {}
func (CancelSubmission) command() {}
func (StartRuns) command()        {}
func (EndRuns) command()          {}

func (PutEntry) command()       {}
func (DeleteEntry) command()    {}
func (RegisterWorker) command() {}
func (RetireWorker) command()   {}
func (DrainWorker) command()    {}
func (SubmitJob) command()      {}
func (CancelJob) command()      {}
func (PlaceJob) command()       {}
func (EndAttempt) command()     {}
func (FailJob) command()        {}
func (BeginClaim) command()     {}
func (FinishClaim) command()    {}
func (ReleaseClaim) command()   {}
func (RecordBurn) command()     {}

var (
	_ Command = PutEntry{}
	_ Command = DeleteEntry{}
	_ Command = RegisterWorker{}
	_ Command = RetireWorker{}
	_ Command = DrainWorker{}
	_ Command = SubmitJob{}
	_ Command = CancelJob{}
	_ Command = PlaceJob{}
	_ Command = EndAttempt{}
	_ Command = FailJob{}
	_ Command = BeginClaim{}
	_ Command = FinishClaim{}
	_ Command = ReleaseClaim{}
	_ Command = RecordBurn{}
	_ Command = ReplaceQueues{}
	_ Command = Submit{}
	_ Command = CancelSubmission{}
	_ Command = StartRuns{}
	_ Command = EndRuns{}
)

// Outcome is what applying a command gave.
type Outcome struct {
	Revision uint64
	Entry    *catalogue.Entry   // set by PutEntry
	Repeated bool               // the change had been accepted before
	Job      *job.Job           // set by the commands of jobs
	Claim    *claim.Claim       // set by BeginClaim
	Starts   []submission.Start // set by StartRuns: those that were taken in
	Err      error              // *fault.Error; nil if accepted
}
