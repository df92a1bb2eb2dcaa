package submission

import "time"

// StartWindow is the time after its start in which a task that crashes the workers
// that start it is expected to do so. A run that is older when another one starts
// beside it does not hide which of the two caused a crash.
const StartWindow = 500 * time.Millisecond

// Crashes from which a task counts as their cause. A task whose worker crashed for
// another reason is started on a worker of its own, and reaches none of them unless
// its workers crash again and again.
const (
	_minPromptCrashes = 3 // in the start window
	_minCausedCrashes = 2 // of these, of a task that was alone
	_maxPromptCrashes = 4 // in the start window, however many tasks had just started
	_maxLateCrashes   = 5 // at the same time after the start, up to StartWindow
	_minAloneCrashes  = 2 // of these, of a task that was alone
	_lateSuspicion    = 3 // of all kinds, from which a task may crash workers late in its run
	_maxCrashRecords  = _maxLateCrashes
)

// _survivalTime is how long a run must be at work to show that starting its task
// crashes no worker.
const _survivalTime = 4 * StartWindow

// Nobody reports a crash if the agent ends, too, or if its polls had no answer before.
// The run is then lost without a reason. A loss soon after the start of a task that
// has crashed workers counts like a crash beside other fresh runs.
const (
	_minCrashesOfLoss = 2               // reported ones in the start window, from which a loss counts
	_maxLossDelay     = 4 * time.Second // from a start until a crash in the start window shows as a loss: the lease has to expire
)

// Crash is the crash of a worker under a run, or a loss that may be one.
type Crash struct {
	Ran time.Duration // from the run's start; 0 if unknown; StartWindow for a loss
	// No run of another submission had started within StartWindow before the run, or
	// after it.
	Alone bool
}

// isPrompt reports whether the run had just started.
func (c Crash) isPrompt() bool { return c.Ran > 0 && c.Ran <= StartWindow }

// CausesCrashes reports whether a step's task with these crashes counts as their
// cause.
func (s *Step) CausesCrashes(crashes []Crash) bool {
	prompt, alone, caused := 0, 0, 0
	for _, c := range crashes {
		if c.isPrompt() {
			prompt++
		}
		if c.Alone {
			alone++
		}
		if c.isPrompt() && c.Alone {
			caused++
		}
	}
	switch {
	case prompt >= _minPromptCrashes && caused >= _minCausedCrashes, prompt >= _maxPromptCrashes:
		return true
	default:
		_, late := s.lateCrashes(crashes)
		return late && len(crashes) >= _maxLateCrashes && alone >= _minAloneCrashes
	}
}

// lateCrashes reports whether the crashes suggest that a task crashes workers at the
// same point late in its run, and after which time at most. Long-running tasks are
// not suspected of that: over their lives their workers crash for other reasons,
// too.
func (s *Step) lateCrashes(crashes []Crash) (after time.Duration, ok bool) {
	if s.LongRunning || len(crashes) < _lateSuspicion {
		return 0, false
	}
	shortest := crashes[0].Ran
	for _, c := range crashes {
		shortest, after = min(shortest, c.Ran), max(after, c.Ran)
	}
	return after, shortest > 0 && after-shortest <= StartWindow
}

// Isolation returns for how long after its start a run of the step's task must share its
// worker with no other submission's run that has just started; zero for a task
// that is not suspected of crashing workers. A crash then shows whether the task
// is the cause, and no other work is lost.
func (s *Step) Isolation(t *Task) time.Duration {
	if after, late := s.lateCrashes(t.Crashes); late {
		return after + StartWindow
	}
	for _, c := range t.Crashes {
		if c.isPrompt() {
			return StartWindow
		}
	}
	return 0
}

// isolation is the isolation of an active run.
type isolation struct {
	submission string
	until      time.Time // log time
}

// IsolatedFor returns the submission for which a worker is isolated and until when,
// in log time, or "" if it is not isolated.
func (u *Usage) IsolatedFor() (submission string, until time.Time) {
	for _, i := range u.isolations {
		if until.IsZero() || i.until.After(until) || i.until.Equal(until) && i.submission < submission {
			submission, until = i.submission, i.until
		}
	}
	return submission, until
}

// LatestStarts returns the latest starts of the active runs on the worker.
func (u *Usage) LatestStarts() LatestStarts {
	var out LatestStarts
	for id, s := range u.Runs {
		if r := s.run(id); r != nil {
			out.add(s.ID, r.Started)
		}
	}
	return out
}

// run returns an active run, or nil.
func (s *Submission) run(id RunID) *Run {
	t := s.Task(id.Task)
	if t == nil {
		return nil
	}
	for i := range t.Runs {
		if t.Runs[i].Number == id.Number {
			return &t.Runs[i]
		}
	}
	return nil
}

// addIsolation notes the isolation that a new run of a suspected task needs.
func (u *Usage) addIsolation(d time.Duration, id RunID, started time.Time) {
	if d == 0 {
		return
	}
	if u.isolations == nil {
		u.isolations = make(map[RunID]isolation)
	}
	u.isolations[id] = isolation{submission: id.Task.Submission, until: started.Add(d)}
}

// LatestStarts are the latest starts of runs on a worker, in log time. The zero value
// has none.
type LatestStarts struct {
	submission string
	at         time.Time // of that submission's latest run
	others     time.Time // of all other submissions' latest run
}

// ExceptOf returns the latest start of a run of another submission; zero if there is
// none.
func (l *LatestStarts) ExceptOf(submission string) time.Time {
	if submission == l.submission {
		return l.others
	}
	return l.at
}

func (l *LatestStarts) add(submission string, at time.Time) {
	switch {
	case submission == l.submission:
		l.at = maxTime(l.at, at)
	case at.After(l.at):
		l.submission, l.at, l.others = submission, at, l.at
	default:
		l.others = maxTime(l.others, at)
	}
}

// isAlone reports whether a run had started alone: all runs of other submissions
// were at work for StartWindow by then.
func (l *LatestStarts) isAlone(submission string, started time.Time) bool {
	others := l.ExceptOf(submission)
	return others.IsZero() || !others.Add(StartWindow).After(started)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// latestStartsOfCrashes returns the latest starts by crashed worker. Only runs that
// the worker had when it crashed count.
func (store *Store) latestStartsOfCrashes(ends []End) map[string]*LatestStarts {
	var out map[string]*LatestStarts
	for _, e := range ends {
		if e.Reason != Crashed {
			continue
		}
		s, ok := store.all[e.Run.Task.Submission]
		if !ok {
			continue
		}
		r := s.run(e.Run)
		if r == nil || r.Worker != e.Worker {
			continue
		}
		if out == nil {
			out = make(map[string]*LatestStarts)
		}
		if out[e.Worker] == nil {
			out[e.Worker] = &LatestStarts{}
		}
		out[e.Worker].add(s.ID, r.Started)
	}
	return out
}

// recordCrash records the crash of a worker under a run, and ends the submission if
// its task counts as the cause.
func (store *Store) recordCrash(s *Submission, e End, alone bool, now time.Time) {
	t, step := s.task(e.Run.Task), &s.Steps[e.Run.Task.Step]
	if t.Done {
		return
	}
	if e.Ran >= _survivalTime {
		t.forgetPromptCrashes()
	}
	if len(t.Crashes) == _maxCrashRecords {
		t.Crashes = t.Crashes[1:]
	}
	t.Crashes = append(t.Crashes[:len(t.Crashes):len(t.Crashes)], Crash{Ran: max(e.Ran, 0), Alone: alone})
	if !s.State.Ended() && step.CausesCrashes(t.Crashes) {
		store.endSubmission(s, OutOfAttempts, now)
	}
}

// recordLoss records the loss of a run that may have crashed its worker.
func (store *Store) recordLoss(s *Submission, e End, started, now time.Time) {
	t := s.task(e.Run.Task)
	prompt := 0
	for _, c := range t.Crashes {
		if c.isPrompt() {
			prompt++
		}
	}
	if prompt >= _minCrashesOfLoss && now.Sub(started) <= _maxLossDelay {
		e.Ran = StartWindow
		store.recordCrash(s, e, false, now)
	}
}

// forgetPromptCrashes drops the crashes that a run's survival has explained
// otherwise.
func (t *Task) forgetPromptCrashes() {
	var kept []Crash
	for _, c := range t.Crashes {
		if !c.isPrompt() {
			kept = append(kept, c)
		}
	}
	t.Crashes = kept
}
