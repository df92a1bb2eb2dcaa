package controller

import (
	"context"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// AcceptedLimits bound what accepted work makes a controller hold in memory. A limit
// of 0 is none.
type AcceptedLimits struct {
	LogBytes      int64 // of log entries in memory, beyond which no new work is accepted
	SnapshotBytes int64 // of applied log entries between snapshots
	RetainedBytes int64 // of log entries before a snapshot, retained for lagging followers
	StoredBytes   int64 // of submissions and jobs that have not ended
	AnswerBytes   int64 // of stored answers of requests with a key, and of results of jobs, each
	LargeBytes    int64 // of jobs, and of stored submissions with more than _largeWork each
}

// _largeWork is the size from which a submission counts as large. A submission of
// hundreds of tasks is smaller.
const _largeWork = 64 << 10

// _jobOverhead is the memory of a job without its body.
const _jobOverhead = 512

// newAcceptedLimits derives the limits from the limit of the process's memory. The
// state exists up to four times while a snapshot is written: in the machine, in the
// last snapshot, in the next one and in the frame for the disk.
func newAcceptedLimits(memory int64) AcceptedLimits {
	return AcceptedLimits{
		LogBytes: memory / 4, SnapshotBytes: memory / 8, RetainedBytes: memory / 16, StoredBytes: memory / 4, LargeBytes: memory / 8,
		AnswerBytes: memory / 16,
	}
}

// work is what a proposal that is not applied yet will make the controller hold.
type work struct {
	logBytes int64
	stored   int64
}

func (w work) large() int64 {
	if w.stored > _largeWork {
		return w.stored
	}
	return 0
}

// accepted bounds the work that the leader accepts.
type accepted struct {
	limits        AcceptedLimits
	proposed      map[string]work // proposals that are not applied yet, by name of the work
	sum           work
	sumLarge      int64
	dropping      bool  // a proposal to drop answers is not applied yet
	sinceSnapshot int64 // bytes of the log entries applied since the latest snapshot was begun
}

// add records a proposal.
func (a *accepted) add(name string, w work) {
	if a.proposed == nil {
		a.proposed = make(map[string]work)
	}
	a.proposed[name] = w
	a.sum.logBytes += w.logBytes
	a.sum.stored += w.stored
	a.sumLarge += w.large()
}

// remove removes a proposal that was applied, or that was certainly not proposed.
func (a *accepted) remove(name string) {
	w, ok := a.proposed[name]
	if !ok {
		return
	}
	delete(a.proposed, name)
	a.sum.logBytes -= w.logBytes
	a.sum.stored -= w.stored
	a.sumLarge -= w.large()
}

func (a *accepted) reset() {
	a.proposed, a.sum, a.sumLarge, a.dropping = nil, work{}, 0, false
}

// admitWork records new work that is to be proposed, or returns an error if the
// controller would hold too much. Work that was proposed before is admitted: its
// proposal may take effect.
func (c *Core) admitWork(name string, w work) error {
	if _, ok := c.accepted.proposed[name]; ok {
		return nil
	}
	if err := c.checkWork(name, w); err != nil {
		return err
	}
	c.accepted.add(name, w)
	return nil
}

// checkWork returns an error if admitWork would not admit the work. It records nothing.
func (c *Core) checkWork(name string, w work) error {
	a := &c.accepted
	if _, ok := a.proposed[name]; ok {
		return nil
	}
	if err := c.checkLog(w.logBytes); err != nil {
		return err
	}
	store, jobs := c.machine.Submissions(), c.machine.Jobs()
	l := a.limits
	if l.StoredBytes > 0 && store.UnendedBytes()+jobs.UnendedBytes()+a.sum.stored+w.stored > l.StoredBytes {
		return fault.New(fault.Overloaded, "the controllers hold too much work that has not ended")
	}
	if l.LargeBytes > 0 && w.large() > 0 && store.LargeBytes(_largeWork)+jobs.UnendedBytes()+a.sumLarge+w.stored > l.LargeBytes {
		return fault.New(fault.Overloaded, "the controllers hold too much large work")
	}
	return nil
}

// checkLog returns an error if the log would hold too many bytes with n more.
func (c *Core) checkLog(n int64) error {
	if limit := c.accepted.limits.LogBytes; limit > 0 && c.replica.LogBytes()+c.accepted.sum.logBytes+n > limit {
		return fault.New(fault.Overloaded, "the controllers' log holds too many bytes in memory")
	}
	return nil
}

func submissionName(id string) string { return "submission/" + id }

// jobName returns a name under which a resend of a job is recognized.
func jobName(j *job.Job) string {
	if j.Key != "" {
		return "job/" + j.Entry + "/" + j.Key
	}
	return "job/" + j.ID
}

func submissionWork(spec *submission.Spec) work {
	return work{logBytes: spec.TextBytes(), stored: spec.Bytes()}
}

func jobWork(j *job.Job) work {
	return work{logBytes: int64(len(j.Body)), stored: int64(len(j.Body)) + _jobOverhead}
}

// admitCommand admits a command of another process.
func (c *Core) admitCommand(cmd state.Command) error {
	switch cmd := cmd.(type) {
	case state.SubmitJob:
		if c.machine.Jobs().WasSubmitted(cmd.Job) {
			return nil
		}
		return c.admitWork(jobName(&cmd.Job), jobWork(&cmd.Job))
	case state.ReplaceQueues:
		if err := c.checkLog(int64(len(cmd.Table.Document))); err != nil {
			// An operator resends what fails for a while.
			return fault.New(fault.NotReady, "%s", fault.From(err).Message())
		}
	}
	return nil
}

// releaseWork removes the record of work that was not proposed.
func (s *rpcService) releaseWork(ctx context.Context, name string) {
	_ = s.core.Do(context.WithoutCancel(ctx), func(c *Core, _ time.Time) { c.accepted.remove(name) })
}

// dropAnswers proposes that the oldest answers of requests and results of jobs are
// dropped if there are too many. Some more are dropped than necessary, so that the next
// proposal is not due soon.
func (c *Core) dropAnswers(now time.Time) {
	limit := c.accepted.limits.AnswerBytes
	claims, jobs := c.machine.Claims(), c.machine.Jobs()
	if limit == 0 || claims.AnswerBytes() <= limit && jobs.ResultBytes() <= limit || c.accepted.dropping || !c.holdsLease(now) {
		return
	}
	var cmd state.DropAnswers
	if claims.AnswerBytes() > limit {
		cmd.ClaimsBefore = claims.AnswersBeyond(limit / 8 * 7)
	}
	if jobs.ResultBytes() > limit {
		cmd.JobsBefore = jobs.ResultsBeyond(limit / 8 * 7)
	}
	// A proposal that is lost is made again by the next leader.
	if c.proposeAll(now, []proposal{{cmd: cmd, reply: make(chan result, 1)}}) == nil {
		c.accepted.dropping = true
	}
}

// recordApplied removes the record of work whose command was applied.
func (a *accepted) recordApplied(cmd state.Command) {
	switch cmd := cmd.(type) {
	case state.DropAnswers:
		a.dropping = false
	case state.Submit:
		a.remove(submissionName(cmd.Submission.ID))
	case state.SubmitJob:
		a.remove(jobName(&cmd.Job))
	}
}
