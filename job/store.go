package job

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

// idempotencyKey is a caller's key in the scope of its entry.
type idempotencyKey struct{ entry, key string }

// Store holds all jobs. The zero value is empty and ready. It is not safe for
// concurrent use.
type Store struct {
	jobs            map[string]*Job
	jobByKey        map[idempotencyKey]string // job identifier, by idempotency key
	queued          map[string]*Job
	running         map[string]*Job
	runningByEntry  map[string]int             // number of running jobs, by entry
	runningByWorker map[string]map[string]*Job // running jobs, by worker and job identifier
	ended           []string                   // identifiers of ended jobs, oldest end first
	nextSequence    uint64                     // sequence number of the next submission
}

// Job returns a copy of the job with the given identifier.
func (b *Store) Job(id string) (Job, bool) {
	j, ok := b.jobs[id]
	if !ok {
		return Job{}, false
	}
	return *j, true
}

// Len returns the number of stored jobs.
func (b *Store) Len() int { return len(b.jobs) }

// NextSequence returns the sequence number of the next submission.
func (b *Store) NextSequence() uint64 { return b.nextSequence }

// SetNextSequence restores the sequence number of the next submission from a
// snapshot.
func (b *Store) SetNextSequence(n uint64) { b.nextSequence = max(b.nextSequence, n) }

// QueuedCount returns the number of queued jobs.
func (b *Store) QueuedCount() int { return len(b.queued) }

// RunningCount returns the number of running jobs of an entry.
func (b *Store) RunningCount(entry string) int { return b.runningByEntry[entry] }

// Queued returns the queued jobs in order of submission.
func (b *Store) Queued() []Job { return sortedBySubmission(b.queued) }

// Running returns the running jobs in order of submission.
func (b *Store) Running() []Job { return sortedBySubmission(b.running) }

// RunningOnWorker returns the running jobs of a worker in order of submission.
func (b *Store) RunningOnWorker(workerID string) []Job {
	return sortedBySubmission(b.runningByWorker[workerID])
}

// RunningByEntry returns the number of running jobs of each entry that has
// any.
func (b *Store) RunningByEntry() map[string]int { return maps.Clone(b.runningByEntry) }

// Jobs returns all jobs in order of submission.
func (b *Store) Jobs() []Job { return sortedBySubmission(b.jobs) }

// SnapshotJobs returns all jobs in the order in which a snapshot must restore
// them: ended jobs in the order of their ends, then the other jobs in order of
// submission.
func (b *Store) SnapshotJobs() []Job {
	out := make([]Job, 0, len(b.jobs))
	for _, id := range b.ended {
		if j, ok := b.jobs[id]; ok {
			out = append(out, *j)
		}
	}
	for _, j := range sortedBySubmission(b.jobs) {
		if !j.State.Ended() {
			out = append(out, j)
		}
	}
	return out
}

func sortedBySubmission(m map[string]*Job) []Job {
	out := make([]Job, 0, len(m))
	for _, j := range m {
		out = append(out, *j)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Sequence < out[k].Sequence })
	return out
}

// Submit queues a new job and returns it. A submission with an idempotency key
// that was used before returns the first job.
func (b *Store) Submit(j Job, now time.Time) (Job, error) {
	b.removeExpired(now)
	if len(j.Body) > MaxBodyBytes {
		return Job{}, fault.New(fault.BodyTooLarge, "the job body limit is %d bytes, got %d", MaxBodyBytes, len(j.Body))
	}
	if old, ok := b.jobs[b.jobByKey[idempotencyKey{j.Entry, j.Key}]]; ok && j.Key != "" {
		if old.Fingerprint != j.Fingerprint {
			return *old, fault.New(fault.KeyMismatch, "the idempotency key was used for another job")
		}
		return *old, nil
	}
	if old, ok := b.jobs[j.ID]; ok {
		return *old, nil
	}
	j.State = Queued
	j.SubmittedAt = now
	j.Sequence = b.nextSequence
	b.nextSequence++
	b.Put(j)
	return j, nil
}

// Put stores a job as it is. Restoring a snapshot uses it.
func (b *Store) Put(j Job) {
	if b.jobs == nil {
		b.jobs = make(map[string]*Job)
		b.jobByKey = make(map[idempotencyKey]string)
		b.queued = make(map[string]*Job)
		b.running = make(map[string]*Job)
		b.runningByEntry = make(map[string]int)
		b.runningByWorker = make(map[string]map[string]*Job)
	}
	b.jobs[j.ID] = &j
	if j.Key != "" {
		b.jobByKey[idempotencyKey{j.Entry, j.Key}] = j.ID
	}
	b.addToIndexes(&j)
}

func (b *Store) addToIndexes(j *Job) {
	switch j.State {
	case Queued:
		b.queued[j.ID] = j
	case Running:
		b.running[j.ID] = j
		b.runningByEntry[j.Entry]++
		if b.runningByWorker[j.Worker] == nil {
			b.runningByWorker[j.Worker] = make(map[string]*Job)
		}
		b.runningByWorker[j.Worker][j.ID] = j
	case Done, Failed, Cancelled:
		b.ended = append(b.ended, j.ID)
	}
}

// setState changes a job's state and updates the indexes.
func (b *Store) setState(j *Job, to State, now time.Time) {
	delete(b.queued, j.ID)
	if j.State == Running {
		delete(b.running, j.ID)
		delete(b.runningByWorker[j.Worker], j.ID)
		if len(b.runningByWorker[j.Worker]) == 0 {
			delete(b.runningByWorker, j.Worker)
		}
		b.runningByEntry[j.Entry]--
		if b.runningByEntry[j.Entry] == 0 {
			delete(b.runningByEntry, j.Entry)
		}
	}
	j.State = to
	if to != Running {
		j.Worker = ""
		j.Incarnation = 0
	}
	if to.Ended() {
		j.EndedAt = now
		j.Body = nil
		j.Checkpoint = nil
	}
	b.addToIndexes(j)
}

// Place assigns the given attempt of a queued job to a worker.
func (b *Store) Place(id string, attempt uint32, workerID string, incarnation uint64, now time.Time) (Job, error) {
	j, ok := b.jobs[id]
	if !ok {
		return Job{}, fault.New(fault.JobNotFound, "no job %q", id)
	}
	if j.State != Queued || attempt != j.Attempt+1 {
		return *j, fault.New(fault.StaleAttempt, "job %q is %s at attempt %d", id, j.State, j.Attempt)
	}
	j.Attempt = attempt
	j.Worker = workerID
	j.Incarnation = incarnation
	j.Reason = ""
	b.setState(j, Running, now)
	return *j, nil
}

// Cancel ends a queued job, and marks a running job to be stopped.
func (b *Store) Cancel(id string, now time.Time) (Job, error) {
	j, ok := b.jobs[id]
	if !ok {
		return Job{}, fault.New(fault.JobNotFound, "no job %q", id)
	}
	switch j.State {
	case Queued:
		b.setState(j, Cancelled, now)
	case Running:
		j.Cancelling = true
	case Cancelled:
	case Done, Failed:
		return *j, fault.New(fault.JobEnded, "job %q is already %s", id, j.State)
	}
	return *j, nil
}

// Fail ends a queued job as failed.
func (b *Store) Fail(id, reason string, now time.Time) (Job, error) {
	j, ok := b.jobs[id]
	if !ok {
		return Job{}, fault.New(fault.JobNotFound, "no job %q", id)
	}
	if j.State != Queued {
		return *j, fault.New(fault.StaleAttempt, "job %q is %s", id, j.State)
	}
	j.Reason = reason
	b.setState(j, Failed, now)
	return *j, nil
}

// End ends the current attempt of a running job. A job fails after maxAttempts
// failed or lost attempts.
func (b *Store) End(id string, attempt uint32, o Outcome, maxAttempts int, now time.Time) (Job, error) {
	j, ok := b.jobs[id]
	if !ok {
		return Job{}, fault.New(fault.JobNotFound, "no job %q", id)
	}
	if j.State != Running || j.Attempt != attempt {
		return *j, fault.New(fault.StaleAttempt, "job %q is %s at attempt %d", id, j.State, j.Attempt)
	}
	switch o := o.(type) {
	case Finished:
		b.finishAttempt(j, o, now)
	case AttemptFailed:
		b.failAttempt(j, o.Reason, maxAttempts, now)
	case Lost:
		b.failAttempt(j, o.Reason, maxAttempts, now)
	case Evicted:
		j.Checkpoint = o.Checkpoint
		b.requeue(j, o.Reason, now)
	case Stopped:
		b.requeue(j, "stopped", now)
	default:
		panic(fmt.Sprintf("job: unexpected outcome %T", o))
	}
	return *j, nil
}

func (b *Store) finishAttempt(j *Job, o Finished, now time.Time) {
	if len(o.Result) > MaxResultBytes {
		j.Reason = fmt.Sprintf("the result has %d bytes, allowed are %d", len(o.Result), MaxResultBytes)
		b.setState(j, Failed, now)
		return
	}
	j.Status = o.Status
	j.Result = o.Result
	b.setState(j, Done, now)
}

// failAttempt counts a failed or lost attempt, and queues the job again or
// ends the job as failed.
func (b *Store) failAttempt(j *Job, reason string, maxAttempts int, now time.Time) {
	j.Failures++
	if !slices.Contains(j.FailedOn, j.Worker) {
		j.FailedOn = append(slices.Clone(j.FailedOn), j.Worker)
	}
	if j.Failures >= maxAttempts && !j.Cancelling {
		j.Reason = fmt.Sprintf("given up after %d failed attempts: %s", j.Failures, reason)
		b.setState(j, Failed, now)
		return
	}
	j.RetryAt = now.Add(retryDelay(j.Failures))
	b.requeue(j, reason, now)
}

// requeue queues a job again, or ends it if it was being cancelled.
func (b *Store) requeue(j *Job, reason string, now time.Time) {
	j.Reason = reason
	if j.Cancelling {
		b.setState(j, Cancelled, now)
		return
	}
	b.setState(j, Queued, now)
}

func (b *Store) removeExpired(now time.Time) {
	for len(b.ended) > 0 {
		j := b.jobs[b.ended[0]]
		if j != nil && now.Sub(j.EndedAt) < Retention {
			return
		}
		b.ended = b.ended[1:]
		if j == nil {
			continue
		}
		delete(b.jobs, j.ID)
		if b.jobByKey[idempotencyKey{j.Entry, j.Key}] == j.ID {
			delete(b.jobByKey, idempotencyKey{j.Entry, j.Key})
		}
	}
}
