package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// Bounds of the decisions to stop runs.
const (
	_paceLow     = 40                     // percent; a run that is paced below it had better move
	_worthMoving = 700 * time.Millisecond // estimated work left below which a move costs more than it brings: a stop and a start from a checkpoint take up to so long
	_leaveMargin = 500 * time.Millisecond // a run that would end so close before its worker leaves is not left to it
	_mostMoves   = 4                      // moves in one round, so that a new figure is seen before the next
	_moveAgain   = 6 * time.Second        // between two moves of one task
)

// Fact is what an agent has told of an active run.
type Fact struct {
	Share    int  // percent of its speed at which the agent lets it work
	Progress int  // percent of its work that is done
	Stalled  bool // its progress stands still although it may work
}

// Leave tells how long a worker that leaves will at least stay.
type Leave struct {
	Until time.Time
}

// Reason tells why a run is stopped.
type Reason uint8

const (
	// Leaving runs are on a worker that leaves before they end.
	Leaving Reason = iota + 1
	// Stalled runs stand still.
	Stalled
	// Crowded runs are paced and have room elsewhere.
	Crowded
)

// String returns the reason in lower case.
func (r Reason) String() string {
	return [...]string{"", "leaving", "stalled", "crowded"}[r]
}

// Stop is a run to stop, so that its task starts anew elsewhere.
type Stop struct {
	Worker string
	Run    submission.RunID
	Reason Reason
}

// Stopper decides which runs to stop. It answers loads in which workers leave,
// tasks stand still, and tasks that fill are paced beside tasks that serve
// while other workers have room. The zero value is ready.
type Stopper struct {
	moved map[submission.TaskID]time.Time
}

// Stops returns the runs to stop now. facts has what is known of active runs,
// leaves the workers that leave, by their lives.
func (s *Stopper) Stops(now time.Time, book *submission.Book, workers []Worker, facts map[submission.RunID]Fact, leaves map[string]Leave, known *interference.Table) []Stop {
	if s.moved == nil {
		s.moved = make(map[submission.TaskID]time.Time)
	}
	for id, at := range s.moved {
		if now.Sub(at) >= _moveAgain {
			delete(s.moved, id)
		}
	}
	var out []Stop
	for _, life := range book.Lives() {
		if leave, ok := leaves[life]; ok {
			out = append(out, leavers(now, book, life, leave)...)
		}
	}
	runs := inOrder(facts)
	out = append(out, s.stalled(book, runs, facts)...)
	return append(out, s.crowded(now, book, newRound(now, makeNodes(book, workers), known), runs, facts)...)
}

// inOrder returns the runs in a fixed order, so that equal inputs give equal
// decisions.
func inOrder(facts map[submission.RunID]Fact) []submission.RunID {
	runs := slices.Collect(maps.Keys(facts))
	slices.SortFunc(runs, func(a, b submission.RunID) int {
		return cmp.Or(
			cmp.Compare(a.Task.Submission, b.Task.Submission), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
			cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number),
		)
	})
	return runs
}

// leavers returns the runs that will not end before their worker leaves, and
// those that lose nothing by a stop.
func leavers(now time.Time, book *submission.Book, life string, leave Leave) []Stop {
	var out []Stop
	for run, sub := range book.Usage(life).Runs {
		step := &sub.Steps[run.Task.Step]
		end := startOf(sub, run).Add(step.Estimate)
		if step.LongRunning || step.Checkpointing || end.Add(_leaveMargin).After(leave.Until) && now.Before(leave.Until) {
			out = append(out, Stop{Worker: life, Run: run, Reason: Leaving})
		}
	}
	return out
}

func startOf(s *submission.Submission, run submission.RunID) time.Time {
	for _, r := range s.Task(run.Task).Runs {
		if r.Number == run.Number {
			return r.Started
		}
	}
	return time.Time{}
}

// stalled returns the runs that stand still.
func (s *Stopper) stalled(book *submission.Book, runs []submission.RunID, facts map[submission.RunID]Fact) []Stop {
	var out []Stop
	for _, run := range runs {
		if !facts[run].Stalled {
			continue
		}
		if sub, r := find(book, run); r != nil && s.mayMove(sub, run) {
			out = append(out, Stop{Worker: r.Worker, Run: run, Reason: Stalled})
		}
	}
	return out
}

func find(book *submission.Book, run submission.RunID) (*submission.Submission, *submission.Run) {
	sub, ok := book.Submission(run.Task.Submission)
	if !ok || sub.Surplus(run) {
		return nil, nil
	}
	runs := sub.Task(run.Task).Runs
	if i := slices.IndexFunc(runs, func(r submission.Run) bool { return r.Number == run.Number }); i >= 0 {
		return sub, &runs[i]
	}
	return nil, nil
}

func (s *Stopper) mayMove(sub *submission.Submission, run submission.RunID) bool {
	_, lately := s.moved[run.Task]
	return !lately && !sub.Steps[run.Task.Step].Gang
}

// crowded returns paced runs that save their progress and for which another
// worker has room, which does not serve or bears them.
func (s *Stopper) crowded(now time.Time, book *submission.Book, round *round, runs []submission.RunID, facts map[submission.RunID]Fact) []Stop {
	var out []Stop
	for _, run := range runs {
		f := facts[run]
		if f.Share >= _paceLow || f.Share < 0 || len(out) == _mostMoves {
			continue
		}
		sub, r := find(book, run)
		if r == nil || !s.mayMove(sub, run) {
			continue
		}
		step := &sub.Steps[run.Task.Step]
		left := step.Estimate * time.Duration(100-f.Progress) / 100
		if !step.Checkpointing || !step.Fills() || left < _worthMoving {
			continue
		}
		for _, n := range round.nodes {
			bears := n.serving == 0 || round.bears(step, n)
			if n.Life != r.Worker && bears && !n.Suspect && n.idle >= step.Needs.CPU && round.admits(n, sub, step, 0) {
				n.take(step, 1)
				s.moved[run.Task] = now
				out = append(out, Stop{Worker: r.Worker, Run: run, Reason: Crowded})
				break
			}
		}
	}
	return out
}

// Moved notes that a run was stopped, so that its task is left alone for a
// while.
func (s *Stopper) Moved(now time.Time, run submission.RunID) {
	if s.moved != nil {
		s.moved[run.Task] = now
	}
}
