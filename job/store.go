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
	unendedBytes    int64                      // of the bodies of unended jobs, and an overhead
	ended           []string                   // identifiers of ended jobs, oldest end first
	resultBytes     int64                      // of the results of ended jobs
	nextSequence    uint64                     // sequence number of the next submission
}

// Job returns a copy of the job with the given identifier.
func (s *Store) Job(id string) (Job, bool) {
	j, ok := s.jobs[id]
	if !ok {
		return Job{}, false
	}
	return *j, true
}

// _jobBytes is about how much memory a job takes beside its body.
const _jobBytes = 512

// UnendedBytes returns about how much memory the jobs take that have not ended.
func (s *Store) UnendedBytes() int64 { return s.unendedBytes }

// ResultBytes returns the bytes of the stored results.
func (s *Store) ResultBytes() int64 { return s.resultBytes }

// ResultsBeyond returns the time before which jobs ended whose results are to be dropped,
// so that at most limit bytes of results remain. It is zero if there are none.
func (s *Store) ResultsBeyond(limit int64) time.Time {
	left := s.resultBytes
	var before time.Time
	for _, id := range s.ended {
		if left <= limit {
			break
		}
		if j := s.jobs[id]; j != nil {
			left -= int64(len(j.Result))
			before = j.EndedAt.Add(1)
		}
	}
	return before
}

// DropResults drops the results of the jobs that ended before a time.
func (s *Store) DropResults(before time.Time) {
	for _, id := range s.ended {
		j := s.jobs[id]
		if j == nil || len(j.Result) == 0 {
			continue
		}
		if !j.EndedAt.Before(before) {
			return
		}
		s.resultBytes -= int64(len(j.Result))
		j.Result, j.ResultDropped = nil, true
	}
}

// Len returns the number of stored jobs.
func (s *Store) Len() int { return len(s.jobs) }

// NextSequence returns the sequence number of the next submission.
func (s *Store) NextSequence() uint64 { return s.nextSequence }

// SetNextSequence restores the sequence number of the next submission from a
// snapshot.
func (s *Store) SetNextSequence(n uint64) { s.nextSequence = max(s.nextSequence, n) }

// QueuedCount returns the number of queued jobs.
func (s *Store) QueuedCount() int { return len(s.queued) }

// RunningCount returns the number of running jobs of an entry.
func (s *Store) RunningCount(entry string) int { return s.runningByEntry[entry] }

// Queued returns the queued jobs in order of submission.
func (s *Store) Queued() []Job { return sortedBySubmission(s.queued) }

// Running returns the running jobs in order of submission.
func (s *Store) Running() []Job { return sortedBySubmission(s.running) }

// RunningOnWorker returns the running jobs of a worker in order of submission.
func (s *Store) RunningOnWorker(workerID string) []Job {
	return sortedBySubmission(s.runningByWorker[workerID])
}

// RunningByEntry returns the number of running jobs of each entry that has
// any.
func (s *Store) RunningByEntry() map[string]int { return maps.Clone(s.runningByEntry) }

// Jobs returns all jobs in order of submission.
func (s *Store) Jobs() []Job { return sortedBySubmission(s.jobs) }

// SnapshotJobs returns all jobs in the order in which a snapshot must restore
// them: ended jobs in the order of their ends, then the other jobs in order of
// submission.
func (s *Store) SnapshotJobs() []Job {
	out := make([]Job, 0, len(s.jobs))
	for _, id := range s.ended {
		if j, ok := s.jobs[id]; ok {
			out = append(out, *j)
		}
	}
	for _, j := range sortedBySubmission(s.jobs) {
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

// WasSubmitted reports whether a job with the identifier, or with the entry and the
// idempotency key, was submitted before.
func (s *Store) WasSubmitted(j Job) bool {
	if _, ok := s.jobs[j.ID]; ok {
		return true
	}
	_, ok := s.jobs[s.jobByKey[idempotencyKey{j.Entry, j.Key}]]
	return ok && j.Key != ""
}

// Submit queues a new job and returns it. A submission with an idempotency key
// that was used before returns the first job.
func (s *Store) Submit(j Job, now time.Time) (Job, error) {
	s.prune(now)
	if len(j.Body) > MaxBodyBytes {
		return Job{}, fault.New(fault.BodyTooLarge, "the limit of a job body is %d bytes, found %d", MaxBodyBytes, len(j.Body))
	}
	if old, ok := s.jobs[s.jobByKey[idempotencyKey{j.Entry, j.Key}]]; ok && j.Key != "" {
		if old.Fingerprint != j.Fingerprint {
			return *old, fault.New(fault.KeyMismatch, "the idempotency key was used for another job")
		}
		return *old, nil
	}
	if old, ok := s.jobs[j.ID]; ok {
		return *old, nil
	}
	j.State = Queued
	j.SubmittedAt = now
	j.Sequence = s.nextSequence
	s.nextSequence++
	s.Put(j)
	return j, nil
}

// Put stores a job as it is, for example from a snapshot.
func (s *Store) Put(j Job) {
	if s.jobs == nil {
		s.jobs = make(map[string]*Job)
		s.jobByKey = make(map[idempotencyKey]string)
		s.queued = make(map[string]*Job)
		s.running = make(map[string]*Job)
		s.runningByEntry = make(map[string]int)
		s.runningByWorker = make(map[string]map[string]*Job)
	}
	s.jobs[j.ID] = &j
	if j.Key != "" {
		s.jobByKey[idempotencyKey{j.Entry, j.Key}] = j.ID
	}
	s.addToIndexes(&j)
}

func (s *Store) addToIndexes(j *Job) {
	if !j.State.Ended() {
		s.unendedBytes += _jobBytes + int64(len(j.Body))
	}
	switch j.State {
	case Queued:
		s.queued[j.ID] = j
	case Running:
		s.running[j.ID] = j
		s.runningByEntry[j.Entry]++
		if s.runningByWorker[j.Worker] == nil {
			s.runningByWorker[j.Worker] = make(map[string]*Job)
		}
		s.runningByWorker[j.Worker][j.ID] = j
	case Done, Failed, Cancelled:
		s.ended = append(s.ended, j.ID)
		s.resultBytes += int64(len(j.Result))
	}
}

// setState changes a job's state and updates the indexes.
func (s *Store) setState(j *Job, to State, now time.Time) {
	if !j.State.Ended() {
		s.unendedBytes -= _jobBytes + int64(len(j.Body))
	}
	delete(s.queued, j.ID)
	if j.State == Running {
		delete(s.running, j.ID)
		delete(s.runningByWorker[j.Worker], j.ID)
		if len(s.runningByWorker[j.Worker]) == 0 {
			delete(s.runningByWorker, j.Worker)
		}
		s.runningByEntry[j.Entry]--
		if s.runningByEntry[j.Entry] == 0 {
			delete(s.runningByEntry, j.Entry)
		}
	}
	j.State = to
	if to != Running {
		j.Worker = ""
		j.AgentIncarnation = 0
	}
	if to.Ended() {
		j.EndedAt = now
		j.Body = nil
		j.Checkpoint = nil
	}
	s.addToIndexes(j)
}

// Place assigns the given attempt of a queued job to a worker.
func (s *Store) Place(id string, attempt uint32, workerID string, agentIncarnation uint64, now time.Time) (Job, error) {
	j, ok := s.jobs[id]
	if !ok {
		return Job{}, fault.New(fault.JobNotFound, "no job %q", id)
	}
	if j.State != Queued || attempt != j.Attempt+1 {
		return *j, fault.New(fault.StaleAttempt, "job %q is %s at attempt %d", id, j.State, j.Attempt)
	}
	j.Attempt = attempt
	j.Worker = workerID
	j.AgentIncarnation = agentIncarnation
	j.Reason = ""
	s.setState(j, Running, now)
	return *j, nil
}

// Cancel ends a queued job, and marks a running job to be stopped.
func (s *Store) Cancel(id string, now time.Time) (Job, error) {
	j, ok := s.jobs[id]
	if !ok {
		return Job{}, fault.New(fault.JobNotFound, "no job %q", id)
	}
	switch j.State {
	case Queued:
		s.setState(j, Cancelled, now)
	case Running:
		j.Cancelling = true
	case Cancelled:
	case Done, Failed:
		return *j, fault.New(fault.JobEnded, "job %q is already %s", id, j.State)
	}
	return *j, nil
}

// Fail ends a queued job as failed.
func (s *Store) Fail(id, reason string, now time.Time) (Job, error) {
	j, ok := s.jobs[id]
	if !ok {
		return Job{}, fault.New(fault.JobNotFound, "no job %q", id)
	}
	if j.State != Queued {
		return *j, fault.New(fault.StaleAttempt, "job %q is %s", id, j.State)
	}
	j.Reason = reason
	s.setState(j, Failed, now)
	return *j, nil
}

// End ends the current attempt of a running job. A job fails after maxAttempts
// failed or lost attempts.
func (s *Store) End(id string, attempt uint32, o Outcome, maxAttempts int, now time.Time) (Job, error) {
	j, ok := s.jobs[id]
	if !ok {
		return Job{}, fault.New(fault.JobNotFound, "no job %q", id)
	}
	if j.State != Running || j.Attempt != attempt {
		return *j, fault.New(fault.StaleAttempt, "job %q is %s at attempt %d", id, j.State, j.Attempt)
	}
	switch o := o.(type) {
	case Finished:
		s.finishAttempt(j, o, now)
	case AttemptFailed:
		s.failAttempt(j, o.Reason, maxAttempts, now)
	case Lost:
		s.failAttempt(j, o.Reason, maxAttempts, now)
	case Evicted:
		j.Checkpoint = o.Checkpoint
		s.requeue(j, o.Reason, now)
	case Stopped:
		s.requeue(j, "stopped", now)
	default:
		panic(fmt.Sprintf("job: unexpected outcome %T", o))
	}
	return *j, nil
}

func (s *Store) finishAttempt(j *Job, o Finished, now time.Time) {
	if len(o.Result) > MaxResultBytes {
		j.Reason = fmt.Sprintf("the result has %d bytes, allowed are %d", len(o.Result), MaxResultBytes)
		s.setState(j, Failed, now)
		return
	}
	j.Status = o.Status
	j.Result = o.Result
	s.setState(j, Done, now)
}

// failAttempt counts a failed or lost attempt. It ends the job as failed after
// maxAttempts such attempts, and otherwise requeues the job.
func (s *Store) failAttempt(j *Job, reason string, maxAttempts int, now time.Time) {
	j.Failures++
	if !slices.Contains(j.FailedOn, j.Worker) {
		j.FailedOn = append(slices.Clone(j.FailedOn), j.Worker)
	}
	if j.Failures >= maxAttempts && !j.Cancelling {
		j.Reason = fmt.Sprintf("given up after %d failed attempts: %s", j.Failures, reason)
		s.setState(j, Failed, now)
		return
	}
	j.RetryAt = now.Add(retryDelay(j.Failures))
	s.requeue(j, reason, now)
}

// requeue queues a job again, or ends it if it was being cancelled.
func (s *Store) requeue(j *Job, reason string, now time.Time) {
	j.Reason = reason
	if j.Cancelling {
		s.setState(j, Cancelled, now)
		return
	}
	s.setState(j, Queued, now)
}

func (s *Store) prune(now time.Time) {
	for len(s.ended) > 0 {
		j := s.jobs[s.ended[0]]
		if j != nil && now.Sub(j.EndedAt) < Retention {
			return
		}
		s.ended = s.ended[1:]
		if j == nil {
			continue
		}
		s.resultBytes -= int64(len(j.Result))
		delete(s.jobs, j.ID)
		if s.jobByKey[idempotencyKey{j.Entry, j.Key}] == j.ID {
			delete(s.jobByKey, idempotencyKey{j.Entry, j.Key})
		}
	}
}
