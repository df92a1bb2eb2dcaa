package state

import (
	"time"

	"github.com/gentianrail/gentianrail/burn"
	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/claim"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/queue"
	"github.com/gentianrail/gentianrail/silence"
	"github.com/gentianrail/gentianrail/submission"
	"github.com/gentianrail/gentianrail/worker"
)

// Command is the sealed set of changes to the replicated state: PutEntry,
// DeleteEntry, RegisterWorker, RetireWorker, DrainWorker, SubmitJob,
// CancelJob, PlaceJob, EndAttempt, FailJob, BeginClaim, FinishClaim,
// ReleaseClaim, RecordBurn, ReplaceQueues, Submit, CancelSubmission, StartRuns,
// EndRuns, SettleRuns, RecordSilence, RecordLateRuns, StartEvacuation, FinishEvacuation and DropAnswers.
type Command interface{ command() }

// PutEntry creates or replaces the declaration of a catalogue entry.
type PutEntry struct {
	Spec     catalogue.Spec
	Base     uint64 // entry version that the change is based on
	ChangeID string
}

// DeleteEntry removes a declaration from the catalogue.
type DeleteEntry struct {
	Name     string
	Base     uint64 // entry version that the change is based on
	ChangeID string
}

// RegisterWorker registers or updates a worker from its agent's announcement.
type RegisterWorker struct{ Worker worker.Worker }

// RetireWorker removes a worker of one agent incarnation and ends the attempts
// that ran on it.
type RetireWorker struct {
	ID               string
	AgentIncarnation uint64
}

// DrainWorker sets whether a worker is drained, that is, accepts no new work.
type DrainWorker struct {
	ID      string
	Drained bool
}

// SubmitJob queues a new job.
type SubmitJob struct{ Job job.Job }

// CancelJob cancels a job on behalf of its caller.
type CancelJob struct{ ID string }

// PlaceJob assigns a job's next attempt to a worker.
type PlaceJob struct {
	ID               string
	Attempt          uint32
	Worker           string
	AgentIncarnation uint64
}

// EndAttempt records the outcome of a job's attempt.
type EndAttempt struct {
	ID      string
	Attempt uint32
	Outcome job.Outcome
}

// FailJob marks a queued job that can never run as failed.
type FailJob struct {
	ID     string
	Reason string
}

// BeginClaim claims an idempotency key for one attempt. The claim's deadline
// is computed from the log time, since the agents' clocks may differ.
type BeginClaim struct {
	Claim     claim.Claim
	Remaining time.Duration // time until no attempt can still be running
}

// FinishClaim records the answer to a claimed request.
type FinishClaim struct {
	Entry  string
	Key    string
	Token  string
	Answer claim.Answer
}

// ReleaseClaim removes the claim of a request that did not run.
type ReleaseClaim struct {
	Entry string
	Key   string
	Token string
}

// RecordBurn adds the error budget counts that one source reports. A sequence
// that is not above the source's last one is a resend and changes nothing.
type RecordBurn struct {
	Source   string
	Sequence uint64
	Counts   []burn.Count
}

// ReplaceQueues replaces the table of queues if the version of the new table
// is above that of the current one.
type ReplaceQueues struct{ Table queue.Table }

// Submit stores a submission. Its queue settings are set from the current
// table of queues and follow the table from then on.
type Submit struct{ Submission submission.Submission }

// CancelSubmission cancels a submission on behalf of its caller.
type CancelSubmission struct{ ID string }

// StartRuns records that tasks are assigned to workers.
type StartRuns struct{ Starts []submission.Start }

// EndRuns records that runs have ended.
type EndRuns struct{ Ends []submission.End }

// SettleRuns records of active runs whether a call to start them that was made may still be
// carried out; if Settled, none may.
type SettleRuns struct {
	Runs    []submission.RunID
	Settled bool
}

// RecordSilence records for how long machines have been without a lease.
type RecordSilence struct{ Change silence.Change }

// RecordLateRuns records that workers have runs whose end was recorded before.
type RecordLateRuns struct{ Runs []submission.End }

// StartEvacuation evacuates an availability zone: nothing is started on its workers.
type StartEvacuation struct{ Zone string }

// FinishEvacuation ends the evacuation of an availability zone.
type FinishEvacuation struct{ Zone string }

func (StartEvacuation) command() {}

// DropAnswers drops the oldest answers of requests with a key, and results of jobs. The
// keys and jobs stay.
type DropAnswers struct {
	ClaimsBefore time.Time // of claims that expire before it; zero for none
	JobsBefore   time.Time // of jobs that ended before it; zero for none
}

func (DropAnswers) command()      {}
func (FinishEvacuation) command() {}

func (ReplaceQueues) command()    {}
func (Submit) command()           {}
func (CancelSubmission) command() {}
func (StartRuns) command()        {}
func (EndRuns) command()          {}
func (SettleRuns) command()       {}
func (RecordSilence) command()    {}
func (RecordLateRuns) command()   {}

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
	_ Command = SettleRuns{}
	_ Command = RecordSilence{}
	_ Command = RecordLateRuns{}
	_ Command = StartEvacuation{}
	_ Command = FinishEvacuation{}
	_ Command = DropAnswers{}
)

// Outcome is the result of a command for its proposer.
type Outcome struct {
	Revision uint64
	Entry    *catalogue.Entry   // set by PutEntry
	Repeated bool               // the change was a resend or superseded, and changed nothing
	Job      *job.Job           // set by the commands that act on a job
	Claim    *claim.Claim       // set by BeginClaim
	Starts   []submission.Start // set by StartRuns: the starts that were accepted
	Err      error              // *fault.Error; nil if accepted
}
