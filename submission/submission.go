// Package submission holds the work that callers submit: submissions of several
// steps with many tasks each, and the runs of those tasks.
//
// A submission runs its steps once, or once per occurrence if it repeats. A
// step's tasks may start when all tasks of the steps that it depends on are done.
// Each start of a task is a run with an increasing number; the members of a gang
// share the number. A run is active from the record of its start to the record of
// its end, even if messages to or from the worker are lost, and occupies capacity
// on its worker for all that time.
package submission

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Limits of a submission.
const (
	MaxTextBytes = 4000  // bytes of a specification's text
	MaxSteps     = 256   // steps
	MaxTasks     = 20000 // tasks of all steps and occurrences
)

// Bounds that keep sums over steps, tasks and occurrences in the range of their types.
const (
	_maxResource    = 1 << 40              // of one kind, of one task
	_maxDuration    = 365 * 24 * time.Hour // of an estimate, a target or an interval
	_maxOccurrences = 100 * _maxDuration   // from the first occurrence to the last
	_maxObjective   = 100 * _maxDuration   // without the queue's base objective
	_maxLimit       = math.MaxInt32        // of tasks; a record of the log has no larger number
	_minStartYear   = 1970
	_maxStartYear   = 2199
)

// Resources are the needs of a task or the capacity of a worker.
type Resources struct {
	CPU    int64 // thousandths of a core
	Memory int64 // MiB
	GPU    int64
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Fits reports whether the capacity holds r.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPU <= capacity.CPU && r.Memory <= capacity.Memory && r.GPU <= capacity.GPU
}

// Step is a set of tasks with the same needs and constraints.
type Step struct {
	Count          int           // tasks
	Needs          Resources     // of one task
	Estimate       time.Duration // rough run time of a task
	DependsOn      []int         // earlier steps, all of whose tasks must be done first
	Checkpointing  bool          // its tasks save their progress
	Gang           bool          // its tasks can only run together
	RackLocal      bool          // its tasks run slower on more than one rack
	Speculative    bool          // a task may have several active runs
	LongRunning    bool          // its tasks run until the submission is cancelled
	UnreservedCPU  bool          // its tasks use CPU that other tasks leave idle, and reserve none
	Requirement    string        // label that the worker must have; empty for none
	DataRack       string        // rack that stores its data; empty for none
	MaxPerWorker   int           // tasks of one occurrence on one worker; 0 for no limit
	Image          string        // that the tasks run; tasks of one image behave alike
	TailTarget     time.Duration // of service tasks; 0 for others
	MaxUnavailable int           // tasks that the system may make unavailable at a time; 0 for no limit
}

// Reserved returns the resources that one task reserves on its worker.
func (s *Step) Reserved() Resources {
	r := s.Needs
	if s.UnreservedCPU {
		r.CPU = 0
	}
	return r
}

// IsService reports whether the step's tasks are service tasks.
func (s *Step) IsService() bool { return s.LongRunning && s.TailTarget > 0 }

// IsBatch reports whether the step's tasks are batch tasks that may interfere with
// service tasks. Tasks without an image do not interfere.
func (s *Step) IsBatch() bool { return s.Image != "" && !s.IsService() }

// Spec is a submission as the caller submits it.
type Spec struct {
	ID       string
	Queue    string // name of the queue
	Text     string // opaque; passed on with each start
	Steps    []Step
	Repeat   int           // occurrences; 0 to run once, immediately
	StartAt  time.Time     // of occurrence 0
	Interval time.Duration // between occurrences
}

// Sizes of what a submission holds in memory beside its texts.
const (
	_submissionBytes = 1024
	_stepBytes       = 256
	_taskBytes       = 96
)

// TextBytes returns the bytes of the texts of the specification, and a few for each
// step: about what its record in the log takes.
func (s *Spec) TextBytes() int64 {
	n := len(s.ID) + len(s.Queue) + len(s.Text)
	for i := range s.Steps {
		step := &s.Steps[i]
		n += 64 + 8*len(step.DependsOn) + len(step.Requirement) + len(step.DataRack) + len(step.Image)
	}
	return int64(n)
}

// Bytes returns about how much memory a submission takes with the records of its
// tasks.
func (s *Spec) Bytes() int64 {
	n := s.TextBytes() + _submissionBytes + int64(len(s.Steps))*_stepBytes
	for i := range s.Steps {
		n += int64(s.Steps[i].Count) * int64(s.Occurrences()) * _taskBytes
	}
	return n
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(s.Repeat, 1) }

// DueAt returns when an occurrence may start; the zero time means immediately.
func (s *Spec) DueAt(occurrence int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	return s.StartAt.Add(time.Duration(occurrence) * s.Interval)
}

// Validate returns an error for the first fault of the specification.
func (s *Spec) Validate() error {
	switch {
	case len(s.Text) > MaxTextBytes:
		return fmt.Errorf("found a text of %d bytes, allowed are %d", len(s.Text), MaxTextBytes)
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return fmt.Errorf("found %d steps, allowed are 1 to %d", len(s.Steps), MaxSteps)
	case s.Repeat < 0 || s.Repeat > MaxTasks:
		return fmt.Errorf("found %d occurrences, allowed are 0 to %d", s.Repeat, MaxTasks)
	case s.Repeat > 1 && s.Interval < 0:
		return fmt.Errorf("the interval is negative")
	case s.Interval > _maxDuration:
		return fmt.Errorf("found an interval of %s, allowed are %s", s.Interval, _maxDuration)
	case s.Repeat > 1 && s.Interval > _maxOccurrences/time.Duration(s.Repeat-1):
		return fmt.Errorf("found %d occurrences every %s, allowed are %s from the first to the last", s.Repeat, s.Interval, _maxOccurrences)
	case !s.StartAt.IsZero() && (s.StartAt.Year() < _minStartYear || s.StartAt.Year() > _maxStartYear):
		return fmt.Errorf("found a start in %d, allowed are the years %d to %d", s.StartAt.Year(), _minStartYear, _maxStartYear)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += s.Steps[i].Count
	}
	if n := tasks * s.Occurrences(); n > MaxTasks {
		return fmt.Errorf("found %d tasks, allowed are %d", n, MaxTasks)
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("found %d tasks, allowed are 1 to %d", s.Count, MaxTasks)
	}
	n := s.Needs
	if n.CPU < 0 || n.Memory < 0 || n.GPU < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("a resource need, the estimate, the limit per worker or the limit of unavailable tasks is negative")
	}
	switch {
	case n.CPU > _maxResource || n.Memory > _maxResource || n.GPU > _maxResource:
		return fmt.Errorf("found the resource needs %+v, allowed are %d of each kind", n, int64(_maxResource))
	case s.Estimate > _maxDuration || s.TailTarget > _maxDuration || s.TailTarget < 0:
		return fmt.Errorf("found an estimate of %s and a target of %s, allowed are 0 to %s", s.Estimate, s.TailTarget, _maxDuration)
	case s.MaxPerWorker > _maxLimit || s.MaxUnavailable > _maxLimit:
		return fmt.Errorf("found a limit per worker of %d and one of unavailable tasks of %d, allowed are %d", s.MaxPerWorker, s.MaxUnavailable, _maxLimit)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= index {
			return fmt.Errorf("found a dependency on step %d, allowed are earlier steps", d)
		}
	}
	return nil
}

// CriticalPath returns the estimated duration of the critical path that starts
// with the given step, or of the complete critical path if from is negative.
func (s *Spec) CriticalPath(from int) time.Duration {
	longest := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		longest[i] += s.Steps[i].Estimate
		for _, d := range s.Steps[i].DependsOn {
			longest[d] = max(longest[d], longest[i])
		}
	}
	if from >= 0 {
		return longest[from]
	}
	var critical time.Duration
	for _, l := range longest {
		critical = max(critical, l)
	}
	return critical
}

// ObjectiveOf returns the objective of a submission whose critical path has the given
// duration: the time from acceptance within which it should be completed.
func (s *Submission) ObjectiveOf(path time.Duration) time.Duration {
	return time.Duration(min(s.Slack*float64(path), float64(_maxObjective))) + s.BaseObjective
}

// TaskID identifies a task.
type TaskID struct {
	Submission string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name, as ID.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Submission)+12)
	b = append(b, t.Submission...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID parses a name that String returned. It returns false for a name that no
// task of a valid submission has.
func ParseTaskID(name string) (TaskID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, false
	}
	var n [3]int
	for i, limit := range [...]int{MaxTasks, MaxSteps, MaxTasks} {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 || v >= limit {
			return TaskID{}, false
		}
		n[i] = v
	}
	id := TaskID{Submission: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}
	return id, id.String() == name
}

// IsValidID reports whether a submission may have the identifier: the names of its tasks can
// be parsed. A worker lists its runs by these names.
func IsValidID(id string) bool {
	_, ok := ParseTaskID(TaskID{Submission: id}.String())
	return ok
}

// RunID identifies a run of a task.
type RunID struct {
	Task   TaskID
	Number uint32 // from 1; increases with each start of the task
}

// Start is the start of a run on a worker.
type Start struct {
	Run    RunID
	Worker string // incarnation of the worker
}

// EndReason is the reason why a run ended.
type EndReason uint8

const (
	// Done runs completed their task.
	Done EndReason = iota + 1
	// Failed runs ended because of a fault of the task or the worker. Only failed
	// runs count as attempts.
	Failed
	// Stopped runs were stopped by an order.
	Stopped
	// LeaseExpired runs ended because their lease expired.
	LeaseExpired
	// GangBroken runs ended because the run of another member of their gang ended.
	GangBroken
	// GangIncomplete runs ended because other members of their gang did not start.
	GangIncomplete
	// Lost runs were on a worker that was lost.
	Lost
	// Rejected runs were never started by their worker.
	Rejected
	// Crashed runs were on a worker whose process ended unexpectedly, as its agent
	// has seen.
	Crashed
)

// String returns the reason's name in lower case.
func (r EndReason) String() string {
	names := [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone", "lost", "refused", "crashed"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// End is the end of a run.
type End struct {
	Run        RunID
	Worker     string // incarnation of the worker
	Reason     EndReason
	Checkpoint string // latest checkpoint; empty for none
	// Ran is the time from the start order of a crashed run to the crash; zero if
	// unknown.
	Ran time.Duration
	// Told is the reason that the worker or its agent has told, if it must not count; 0 if it is
	// Reason.
	Told EndReason
	// LateFor is the time for which a call to start the run may still be carried out, by the next
	// incarnation of the worker; 0 if every call has an answer.
	LateFor time.Duration
}

// ToldReason returns the reason that the worker or its agent has told.
func (e *End) ToldReason() EndReason { return cmp.Or(e.Told, e.Reason) }

// State is the state of a submission.
type State uint8

const (
	// Queued submissions have not started a task.
	Queued State = iota + 1
	// Running submissions have started a task.
	Running
	// Completed submissions have all their tasks done.
	Completed
	// OutOfAttempts submissions have a task or a gang that used up its attempts.
	OutOfAttempts
	// Cancelled submissions were cancelled by their caller.
	Cancelled
)

// String returns the state's name in lower case.
func (s State) String() string {
	switch s {
	case Queued:
		return "queued"
	case Running:
		return "running"
	case Completed:
		return "completed"
	case OutOfAttempts:
		return "failed"
	case Cancelled:
		return "cancelled"
	}
	return "unknown"
}

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= Completed }
