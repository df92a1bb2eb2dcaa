package controller

import (
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/submission"
)

// A crash is evidence against the tasks that had just started on the worker, unless something
// else explains it: workers that go down at the same moment have a cause in common. Tasks that
// crash workers do so at different moments, each some milliseconds after its start; but the more
// workers there are, the more of them go down at any moment.

const (
	// _simultaneity is the greatest difference between the times at which agents notice that their
	// workers have gone down at the same moment.
	_simultaneity = 50 * time.Millisecond
	// _commonCauseWindow is the time within which the loss of half of the workers has a cause in
	// common, although agents notice it at different times.
	_commonCauseWindow = time.Second

	_minCommonOutages   = 3  // workers that must go down together; 2 if nothing had just started on one of them
	_commonOutagesShare = 15 // and at least 1/15 of the service's workers

	_maxNoticeDelay = time.Second      // from a crash until its agent has reported that the worker doesn't answer
	_outageTTL      = 30 * time.Second // after which all crashes of an outage have been reported
)

// workerOutage is the latest time at which a worker stopped answering, as its agent has noticed.
type workerOutage struct {
	service    string
	at         time.Time
	hadStarted bool // a run had just started there
}

// workerOutages are the latest outages of the workers, by machine. They are the leader's, and not
// in the log: a crash that is reported to a new leader counts as evidence. The zero value is empty.
type workerOutages map[string]workerOutage

// recordOutage records that a worker has stopped answering.
func (c *Core) recordOutage(now time.Time, w dispatch.Worker) {
	c.sessions.outages.prune(now)
	hadStarted := false
	if u := c.machine.Submissions().Usage(w.Incarnation); u != nil {
		latest := u.LatestStarts()
		hadStarted = c.logClock.time(now).Sub(latest.ExceptOf("")) < submission.StartWindow+_maxNoticeDelay
	}
	c.sessions.outages[machineOf(w.Incarnation)] = workerOutage{service: w.Service, at: now, hadStarted: hadStarted}
}

// prune forgets outages after which all crashes have been reported.
func (o workerOutages) prune(now time.Time) {
	for machine, out := range o {
		if now.Sub(out.at) >= _outageTTL {
			delete(o, machine)
		}
	}
}

// hasCommonCause reports whether a worker went down together with others for a cause that no task
// explains. workers is the number of workers of its service.
func (o workerOutages) hasCommonCause(incarnation string, workers int) bool {
	own, ok := o[machineOf(incarnation)]
	if !ok {
		return false
	}
	together, simultaneous, needed := 0, 0, _minCommonOutages
	for _, other := range o {
		apart := other.at.Sub(own.at).Abs()
		if other.service != own.service || apart > _commonCauseWindow {
			continue
		}
		together++
		if apart > _simultaneity {
			continue
		}
		simultaneous++
		if !other.hadStarted {
			needed = _minCommonOutages - 1
		}
	}
	return simultaneous >= max(needed, workers/_commonOutagesShare) || together >= max(_minCommonOutages, (workers+1)/2)
}

// acquitTasks changes the ends that are to be proposed, so that crashes that a task has not caused,
// as far as can be told, don't count against it. A long-running task is restarted however it ends,
// so its submission does not fail for crashes.
func (c *Core) acquitTasks(ends []submission.End) {
	store, common := c.machine.Submissions(), make(map[string]bool)
	for i := range ends {
		e := &ends[i]
		s, ok := store.Submission(e.Run.Task.Submission)
		if e.Reason != submission.Crashed || !ok || s.Task(e.Run.Task) == nil {
			continue
		}
		if _, known := common[e.Worker]; !known {
			common[e.Worker] = c.sessions.outages.hasCommonCause(e.Worker, c.sessions.workersOf(s.Service))
		}
		step, t := &s.Steps[e.Run.Task.Step], s.Task(e.Run.Task)
		cause := ""
		switch {
		case common[e.Worker]:
			cause = "common"
		case step.LongRunning && step.CausesCrashes(append(t.Crashes[:len(t.Crashes):len(t.Crashes)], submission.Crash{Ran: e.Ran, Alone: true})):
			cause = "unknown"
		default:
			continue
		}
		e.Reason, e.Told = submission.Rejected, submission.Crashed
		c.log.Emit(event.TaskAcquitted, event.Fields{
			"submission": s.ID, "task": e.Run.Task.String(), "run": e.Run.Number, "worker": e.Worker, "cause": cause, "crashes": len(t.Crashes),
		}, "crash of a worker does not count against a task that had started there")
	}
}

// workersOf returns the number of a service's workers whose agents are attached.
func (s *sessions) workersOf(service string) int {
	n := 0
	for _, sess := range s.byIncarnation {
		if sess.worker.Service == service {
			n++
		}
	}
	return n
}
