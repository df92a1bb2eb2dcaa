// Package submission holds the work that callers hand in: submissions of
// several steps with many tasks each, and the runs of those tasks.
//
// A submission runs its steps once, or once per occurrence if it repeats. A
// step's tasks may start when all tasks of the steps that it depends on have
// ended as done. Each start of a task is a run with a number that rises; the
// members of a gang share the number. A run is active from the moment that its
// start is recorded until its end is, whatever becomes of the messages between
// them, so an active run always counts as taking room on its worker.
package submission

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Bounds of a submission.
const (
	MostText  = 4000  // bytes of a specification's text
	MostSteps = 256   // steps
	MostTasks = 20000 // tasks of all steps and occurrences
)

// Resources are what a task takes or a worker has.
type Resources struct {
	CPU    int64 // thousandths of a core
	Memory int64 // MiB
	GPU    int64
}

// Add returns r and o together.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Sub returns what is left of r without o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Fits reports whether r is no more than room.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.Memory <= room.Memory && r.GPU <= room.GPU
}

// Step is a set of like tasks.
type Step struct {
	Count          int           // tasks
	Needs          Resources     // of one task
	Estimate       time.Duration // rough run time of a task
	DependsOn      []int         // earlier steps, all of whose tasks must be done first
	Checkpointing  bool          // its tasks save their progress
	Gang           bool          // its tasks work only together
	RackLocal      bool          // its tasks are slower on more than one rack
	Speculative    bool          // copies of a task may run side by side
	LongRunning    bool          // its tasks run until the submission is cancelled
	Leftover       bool          // its CPU is taken from what other tasks leave, and not counted
	Requirement    string        // label that the worker must have; empty for none
	DataRack       string        // rack where its data is; empty for none
	MostPerWorker  int           // tasks of one occurrence on one worker; 0 for any number
	Image          string        // what the tasks run; tasks of one image behave alike
	TailTarget     time.Duration // for tasks that serve; 0 for those that do not
	MaxUnavailable int           // tasks that may be away at a time through the system's doing; 0 for no limit
}

// Room returns what one task takes of a worker's capacity.
func (s *Step) Room() Resources {
	r := s.Needs
	if s.Leftover {
		r.CPU = 0
	}
	return r
}

// Serves reports whether its tasks answer users of their own.
func (s *Step) Serves() bool { return s.LongRunning && s.TailTarget > 0 }

// Fills reports whether its tasks may disturb tasks that serve: those that run
// an image do.
func (s *Step) Fills() bool { return s.Image != "" && !s.Serves() }

// Spec is a submission as a caller hands it in.
type Spec struct {
	ID       string
	Queue    string // name of the queue
	Text     string // opaque; each start passes it on
	Steps    []Step
	Repeat   int           // occurrences; 0 for work that runs once, at once
	StartAt  time.Time     // of occurrence 0
	Interval time.Duration // between occurrences
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(s.Repeat, 1) }

// DueAt returns when an occurrence may start; the zero time means at once.
func (s *Spec) DueAt(occurrence int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	return s.StartAt.Add(time.Duration(occurrence) * s.Interval)
}

// Validate reports the first fault of a specification.
func (s *Spec) Validate() error {
	switch {
	case len(s.Text) > MostText:
		return fmt.Errorf("the text has %d bytes, allowed are %d", len(s.Text), MostText)
	case len(s.Steps) == 0 || len(s.Steps) > MostSteps:
		return fmt.Errorf("found %d steps, allowed are 1 to %d", len(s.Steps), MostSteps)
	case s.Repeat < 0 || s.Repeat > MostTasks:
		return fmt.Errorf("found %d occurrences, allowed are 0 to %d", s.Repeat, MostTasks)
	case s.Repeat > 1 && s.Interval < 0:
		return fmt.Errorf("the interval is below 0")
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += s.Steps[i].Count
	}
	if n := tasks * s.Occurrences(); n > MostTasks {
		return fmt.Errorf("found %d tasks, allowed are %d", n, MostTasks)
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MostTasks {
		return fmt.Errorf("found %d tasks, allowed are 1 to %d", s.Count, MostTasks)
	}
	n := s.Needs
	if n.CPU < 0 || n.Memory < 0 || n.GPU < 0 || s.Estimate < 0 || s.MostPerWorker < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("a number is below 0")
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= index {
			return fmt.Errorf("it depends on step %d, allowed are earlier ones", d)
		}
	}
	return nil
}

// Chain returns the estimate of the longest chain of steps from the step on,
// with the step itself.
func (s *Spec) Chain(from int) time.Duration {
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
	var most time.Duration
	for _, l := range longest {
		most = max(most, l)
	}
	return most
}

// TaskID names a task.
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

// ParseTaskID returns the task that String names.
func ParseTaskID(name string) (TaskID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, false
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, false
		}
		n[i] = v
	}
	return TaskID{Submission: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, true
}

// RunID names one start of a task.
type RunID struct {
	Task   TaskID
	Number uint32 // from 1; rises with each start of the task
}

// Start records that a task is given to a worker.
type Start struct {
	Run    RunID
	Worker string // life of the worker
}

// How tells how a run ended.
type How uint8

const (
	// Done runs have finished their task.
	Done How = iota + 1
	// Failed runs ended through the task's fault or the worker's; they count
	// as attempts.
	Failed
	// Stopped runs were stopped on order.
	Stopped
	// Lapsed runs lost their lease.
	Lapsed
	// Broken runs belonged to a gang of which another member ended.
	Broken
	// Alone runs waited in vain for the other members of their gang.
	Alone
	// Lost runs went down with their worker.
	Lost
	// Refused runs were never started by their worker.
	Refused
)

// String returns the outcome's name in lower case.
func (h How) String() string {
	names := [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone", "lost", "refused"}
	if int(h) < len(names) {
		return names[h]
	}
	return "unknown"
}

// End records that a run is over.
type End struct {
	Run    RunID
	Worker string
	How    How
	Saved  string // latest checkpoint; empty if there is none
}

// State is what a submission is at present.
type State uint8

const (
	// Queued submissions have not started a task.
	Queued State = iota + 1
	// Running submissions have started a task.
	Running
	// Completed submissions have ended all tasks as done.
	Completed
	// GaveUp submissions have a task or a gang that failed too often.
	GaveUp
	// Cancelled submissions were ended by their caller.
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
	case GaveUp:
		return "failed"
	case Cancelled:
		return "cancelled"
	}
	return "unknown"
}

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= Completed }
