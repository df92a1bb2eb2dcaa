package job

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

type keyID struct{ entry, key string }

// Book is the aggregate of all jobs. The zero value is empty and ready. It is
// not safe for concurrent use.
type Book struct {
	jobs    map[string]*Job
	keys    map[keyID]string // job of a submission's key
	queued  map[string]*Job
	running map[string]*Job
	byEntry map[string]int             // running jobs of an entry
	workers map[string]map[string]*Job // running jobs of a worker
	ended   []string                   // ended jobs, oldest first
	next    uint64                     // sequence of the next submission
}

// Job returns a copy of the job with the given identifier.
func (b *Book) Job(id string) (Job, bool) {
	j, ok := b.jobs[id]
	if !ok {
		return Job{}, false
	}
	return *j, true
}

// Len returns the number of jobs kept.
func (b *Book) Len() int { return len(b.jobs) }

// Next returns the sequence that the next submission gets.
func (b *Book) Next() uint64 { return b.next }

// SetNext restores the sequence, as when a snapshot is read.
func (b *Book) SetNext(n uint64) { b.next = max(b.next, n) }

// QueuedLen returns the number of queued jobs.
func (b *Book) QueuedLen() int { return len(b.queued) }

// RunningOf returns the number of running jobs of an entry.
func (b *Book) RunningOf(entry string) int { return b.byEntry[entry] }

// Queued returns the queued jobs in order of submission.
func (b *Book) Queued() []Job { return sorted(b.queued) }

// Running returns the running jobs in order of submission.
func (b *Book) Running() []Job { return sorted(b.running) }

// RunningOn returns the running jobs of a worker in order of submission.
func (b *Book) RunningOn(workerID string) []Job { return sorted(b.workers[workerID]) }

// RunningByEntry returns the number of running jobs of each entry that has
// any.
func (b *Book) RunningByEntry() map[string]int { return maps.Clone(b.byEntry) }

// Jobs returns all jobs in order of submission.
func (b *Book) Jobs() []Job { return sorted(b.jobs) }

// Stored returns all jobs in the order in which a snapshot must put them
// back: ended ones in the order of their ends, then the others by submission.
func (b *Book) Stored() []Job {
	out := make([]Job, 0, len(b.jobs))
	for _, id := range b.ended {
		if j, ok := b.jobs[id]; ok {
			out = append(out, *j)
		}
	}
	for _, j := range sorted(b.jobs) {
		if !j.State.Ended() {
			out = append(out, j)
		}
	}
	return out
}

func sorted(m map[string]*Job) []Job {
	out := make([]Job, 0, len(m))
	for _, j := range m {
		out = append(out, *j)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Sequence < out[k].Sequence })
	return out
}

// Submit takes in a new job and returns it. A submission with a key that was
// used before returns the first job.
func (b *Book) Submit(j Job, now time.Time) (Job, error) {
	b.forget(now)
	if len(j.Body) > MostBody {
		return Job{}, fault.New(fault.BodyTooLarge, "a job's body may have %d bytes, found %d", MostBody, len(j.Body))
	}
	if old, ok := b.jobs[b.keys[keyID{j.Entry, j.Key}]]; ok && j.Key != "" {
		if old.Fingerprint != j.Fingerprint {
			return *old, fault.New(fault.KeyMismatch, "the idempotency key was used for another job")
		}
		return *old, nil
	}
	if old, ok := b.jobs[j.ID]; ok {
		return *old, nil
	}
	j.State = Queued
	j.Submitted = now
	j.Sequence = b.next
	b.next++
	b.Put(j)
	return j, nil
}

// Put stores a job, as when a snapshot is read.
func (b *Book) Put(j Job) {
	if b.jobs == nil {
		b.jobs = make(map[string]*Job)
		b.keys = make(map[keyID]string)
		b.queued = make(map[string]*Job)
		b.running = make(map[string]*Job)
		b.byEntry = make(map[string]int)
		b.workers = make(map[string]map[string]*Job)
	}
	b.jobs[j.ID] = &j
	if j.Key != "" {
		b.keys[keyID{j.Entry, j.Key}] = j.ID
	}
	b.index(&j)
}

func (b *Book) index(j *Job) {
	switch j.State {
	case Queued:
		b.queued[j.ID] = j
	case Running:
		b.running[j.ID] = j
		b.byEntry[j.Entry]++
		if b.workers[j.Worker] == nil {
			b.workers[j.Worker] = make(map[string]*Job)
		}
		b.workers[j.Worker][j.ID] = j
	case Done, Failed, Cancelled:
		b.ended = append(b.ended, j.ID)
	}
}

// move changes a job's state and keeps the indexes in step.
func (b *Book) move(j *Job, to State, now time.Time) {
	delete(b.queued, j.ID)
	if j.State == Running {
		delete(b.running, j.ID)
		delete(b.workers[j.Worker], j.ID)
		if len(b.workers[j.Worker]) == 0 {
			delete(b.workers, j.Worker)
		}
		b.byEntry[j.Entry]--
		if b.byEntry[j.Entry] == 0 {
			delete(b.byEntry, j.Entry)
		}
	}
	j.State = to
	if to != Running {
		j.Worker = ""
		j.Incarnation = 0
	}
	if to.Ended() {
		j.Ended = now
		j.Body = nil
		j.Checkpoint = nil
	}
	b.index(j)
}

// Place starts the given attempt on a worker.
func (b *Book) Place(id string, attempt uint32, workerID string, incarnation uint64, now time.Time) (Job, error) {
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
	b.move(j, Running, now)
	return *j, nil
}

// Cancel ends a queued job and asks for a running one to be stopped.
func (b *Book) Cancel(id string, now time.Time) (Job, error) {
	j, ok := b.jobs[id]
	if !ok {
		return Job{}, fault.New(fault.JobNotFound, "no job %q", id)
	}
	switch j.State {
	case Queued:
		b.move(j, Cancelled, now)
	case Running:
		j.Cancelling = true
	case Cancelled:
	case Done, Failed:
		return *j, fault.New(fault.JobEnded, "job %q is %s already", id, j.State)
	}
	return *j, nil
}

// Fail gives a queued job up.
func (b *Book) Fail(id, reason string, now time.Time) (Job, error) {
	j, ok := b.jobs[id]
	if !ok {
		return Job{}, fault.New(fault.JobNotFound, "no job %q", id)
	}
	if j.State != Queued {
		return *j, fault.New(fault.StaleAttempt, "job %q is %s", id, j.State)
	}
	j.Reason = reason
	b.move(j, Failed, now)
	return *j, nil
}

// End ends an attempt. mostAttempts bounds the failures of a job.
func (b *Book) End(id string, attempt uint32, o Outcome, mostAttempts int, now time.Time) (Job, error) {
	j, ok := b.jobs[id]
	if !ok {
		return Job{}, fault.New(fault.JobNotFound, "no job %q", id)
	}
	if j.State != Running || j.Attempt != attempt {
		return *j, fault.New(fault.StaleAttempt, "job %q is %s at attempt %d", id, j.State, j.Attempt)
	}
	switch o := o.(type) {
	case Finished:
		b.finish(j, o, now)
	case AttemptFailed:
		b.fail(j, o.Reason, mostAttempts, now)
	case Lost:
		b.fail(j, o.Reason, mostAttempts, now)
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

func (b *Book) finish(j *Job, o Finished, now time.Time) {
	if len(o.Result) > MostResult {
		j.Reason = fmt.Sprintf("the result has %d bytes, allowed are %d", len(o.Result), MostResult)
		b.move(j, Failed, now)
		return
	}
	j.Status = o.Status
	j.Result = o.Result
	b.move(j, Done, now)
}

func (b *Book) fail(j *Job, reason string, mostAttempts int, now time.Time) {
	j.Failures++
	if !slices.Contains(j.FailedOn, j.Worker) {
		j.FailedOn = append(slices.Clone(j.FailedOn), j.Worker)
	}
	if j.Failures >= mostAttempts && !j.Cancelling {
		j.Reason = fmt.Sprintf("given up after %d failed attempts: %s", j.Failures, reason)
		b.move(j, Failed, now)
		return
	}
	j.RetryAt = now.Add(retryDelay(j.Failures))
	b.requeue(j, reason, now)
}

// requeue queues a job again, or ends it if it was being cancelled.
func (b *Book) requeue(j *Job, reason string, now time.Time) {
	j.Reason = reason
	if j.Cancelling {
		b.move(j, Cancelled, now)
		return
	}
	b.move(j, Queued, now)
}

func (b *Book) forget(now time.Time) {
	for len(b.ended) > 0 {
		j := b.jobs[b.ended[0]]
		if j != nil && now.Sub(j.Ended) < KeepFor {
			return
		}
		b.ended = b.ended[1:]
		if j == nil {
			continue
		}
		delete(b.jobs, j.ID)
		if b.keys[keyID{j.Entry, j.Key}] == j.ID {
			delete(b.keys, keyID{j.Entry, j.Key})
		}
	}
}
