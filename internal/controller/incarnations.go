package controller

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// machineHistory is the leader's state of a machine, on which one incarnation of a worker
// follows another. An order names the worker and not its incarnation, so an order for an
// earlier one may start a run on a later one.
type machineHistory struct {
	attachments uint64    // number of streams in this term
	incarnation string    // of the latest stream
	since       time.Time // first stream of that incarnation
	former      []string  // other incarnations of earlier streams that may have runs
	listedBy    reporter  // agent that has reported the lists of any incarnation last
}

// machineOf returns the machine of a worker incarnation.
func machineOf(incarnation string) string {
	name, _, _ := strings.Cut(incarnation, "/")
	return name
}

// addAttachment numbers a new stream of a machine. It also returns when the incarnation's
// first stream in this term began.
func (s *sessions) addAttachment(now time.Time, incarnation string) (number uint64, since time.Time) {
	m := s.machines[machineOf(incarnation)]
	if m == nil {
		m = &machineHistory{}
		s.machines[machineOf(incarnation)] = m
	}
	m.attachments++
	if m.incarnation != "" && m.incarnation != incarnation && !slices.Contains(m.former, m.incarnation) {
		m.former = append(m.former, m.incarnation)
	}
	if m.incarnation != incarnation {
		m.incarnation, m.since = incarnation, now
	}
	m.former = slices.DeleteFunc(m.former, func(f string) bool { return f == incarnation })
	return m.attachments, m.since
}

// ofMachine returns the sessions of an incarnation and of the latest one on its machine.
func (s *sessions) ofMachine(incarnation string) []*session {
	var out []*session
	if sess := s.byIncarnation[incarnation]; sess != nil {
		out = append(out, sess)
	}
	if m := s.machines[machineOf(incarnation)]; m != nil && m.incarnation != incarnation {
		if sess := s.byIncarnation[m.incarnation]; sess != nil {
			out = append(out, sess)
		}
	}
	return out
}

// recordedOn returns the incarnation on which a run is recorded as active: the given
// one, or another one of its machine. It returns "" if there is none.
func recordedOn(store *submission.Store, incarnation string, run submission.RunID) string {
	if isActive(store, incarnation, run) {
		return incarnation
	}
	s, ok := store.Submission(run.Task.Submission)
	if !ok {
		return ""
	}
	if on := s.ActiveOn(run); machineOf(on) == machineOf(incarnation) {
		return on
	}
	return ""
}

// completesLate reports whether a run completes its task although its end was recorded
// without that knowledge.
func completesLate(store *submission.Store, run submission.RunID) bool {
	s, ok := store.Submission(run.Task.Submission)
	return ok && s.CompletesLate(run)
}

// endedOn returns the worker incarnation for which the reported end of a run is recorded,
// or "" if it need not be.
func (s *session) endedOn(store *submission.Store, incarnation string, run submission.RunID, reason submission.EndReason) string {
	if on := recordedOn(store, incarnation, run); on != "" {
		return on
	}
	if reason != submission.Done || !completesLate(store, run) {
		return ""
	}
	s.lateDone[run] = true
	return incarnation
}

// isUnrecorded reports whether a reported end is not recorded yet.
func (s *session) isUnrecorded(store *submission.Store, incarnation string, run submission.RunID) bool {
	return isActive(store, incarnation, run) || s.lateDone[run] && completesLate(store, run)
}

// stopStrayRuns orders the stop of runs that a worker has and that are not recorded on
// its incarnation, or whose end is proposed. A run that is recorded on an earlier one
// counts as active until its end is reported.
func (c *Core) stopStrayRuns(now time.Time, sess *session, in *pb.AgentReport, order *pb.AgentOrder) {
	store := c.machine.Submissions()
	var late []submission.End
	for _, r := range in.GetActive() {
		run := wire.DecodeRun(r.GetRun())
		if isActive(store, sess.worker.Incarnation, run) && !c.sessions.endsProposed[run] {
			continue
		}
		sess.strays[run] = true
		recorded := recordedOn(store, sess.worker.Incarnation, run)
		if recorded == "" && !c.isRecordedLate(run, sess.worker.Incarnation) {
			late = append(late, submission.End{Run: run, Worker: sess.worker.Incarnation, Reason: submission.Lost, LateFor: c.sessions.lateStarts.window + _lateRunMargin})
		}
		c.sessions.strayHolders[run] = sess.worker.Incarnation
		if sess.orderedStops[run] {
			continue
		}
		c.strayRuns.Inc(1)
		c.log.Emit(event.StrayRun, event.Fields{
			"task": run.Task.String(), "run": run.Number, "worker": sess.worker.Incarnation, "recorded": recorded,
		}, "worker has a run that is not recorded on it; stopping the run")
		sess.orderedStops[run] = true
		order.Stops = append(order.Stops, wire.EncodeRun(run))
	}
	c.recordLateRuns(now, late)
	if in.GetComplete() {
		maps.DeleteFunc(c.sessions.strayHolders, func(run submission.RunID, on string) bool {
			return on == sess.worker.Incarnation && !sess.strays[run]
		})
	}
}

// reportsStray reports whether the agent of a worker incarnation is there and has a stray
// run on its worker.
func (s *sessions) reportsStray(incarnation string, run submission.RunID) bool {
	sess := s.byIncarnation[incarnation]
	return sess != nil && sess.strays[run]
}

// recordStrayEnd records that a run has ended on a worker incarnation.
func (s *sessions) recordStrayEnd(run submission.RunID, incarnation string) {
	if s.strayHolders[run] == incarnation {
		delete(s.strayHolders, run)
	}
}

// mayHaveStray reports whether a worker incarnation may have a stray run that it has had.
// If its agent is away, late calls may prolong the run's lease.
func (s *sessions) mayHaveStray(now time.Time, incarnation string, run submission.RunID) bool {
	return s.reportsStray(incarnation, run) || !s.lateStarts.hasEnded(now, s.leaseExpiry(incarnation), run)
}

// withoutStrays returns the starts of tasks of which no worker may have a stray run, or a late
// one. A stray run is being stopped, or ends with the lease of its worker, and is forgotten
// then. The members of a gang start together or not at all.
func (c *Core) withoutStrays(now time.Time, starts []submission.Start) []submission.Start {
	if len(c.sessions.strayHolders)+len(c.machine.Submissions().LateRuns()) == 0 {
		return starts
	}
	store := c.machine.Submissions()
	tasks, gangs := make(map[submission.TaskID]bool), make(map[dispatch.StepID]bool)
	for run, on := range c.sessions.strayHolders {
		if !c.sessions.mayHaveStray(now, on, run) {
			if recordedOn(store, on, run) == "" {
				delete(c.sessions.strayHolders, run)
			}
			continue
		}
		s, ok := store.Submission(run.Task.Submission)
		if !ok || s.Task(run.Task) == nil || s.Steps[run.Task.Step].Speculative {
			continue
		}
		tasks[run.Task] = true
		if s.Steps[run.Task.Step].Gang {
			gangs[stepOf(run.Task)] = true
		}
	}
	c.addLateRuns(now, tasks, gangs)
	return slices.DeleteFunc(starts, func(st submission.Start) bool {
		t := st.Run.Task
		return tasks[t] || gangs[stepOf(t)]
	})
}

// rejectBesideStrays returns the recorded starts that may be ordered. It proposes the ends of
// the others: an agent has reported a stray run of the task since they were proposed.
func (c *Core) rejectBesideStrays(now time.Time, starts []submission.Start) []submission.Start {
	if len(c.sessions.strayHolders)+len(c.machine.Submissions().LateRuns()) == 0 {
		return starts
	}
	allowed := c.withoutStrays(now, slices.Clone(starts))
	var ends []submission.End
	kept := 0 // of starts, in the same order
	for _, st := range starts {
		if kept < len(allowed) && allowed[kept] == st {
			kept++
		} else {
			ends = append(ends, submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Rejected})
		}
	}
	c.proposeEnds(now, ends)
	return allowed
}

// endOtherIncarnations ends the runs of other incarnations on a session's machine, but
// for those that the session's incarnation has. A worker is the only one on its machine,
// so the others have ended. Which of their runs it has is known when it has listed its
// runs under the fencing token of this stream, if no later stream has begun: no order
// for another incarnation can start a run on it any more.
func (c *Core) endOtherIncarnations(now time.Time, sess *session, in *pb.AgentReport) {
	incarnation := sess.worker.Incarnation
	m := c.sessions.machines[machineOf(incarnation)]
	if in.GetGone() || m == nil || m.attachments != sess.attachment ||
		in.GetListedTerm() != c.replica.Term() || in.GetListedAttachment() != sess.attachment {
		return
	}
	others := m.former
	if !sess.settled { // an earlier leader may have recorded runs on others
		sess.settled = true
		others = nil
		for _, other := range c.machine.Submissions().Incarnations() {
			if other != incarnation && machineOf(other) == machineOf(incarnation) {
				others = append(others, other)
			}
		}
	}
	for _, other := range others {
		ends := c.endsOfActiveRuns(other, submission.Lost, func(run submission.RunID) bool { return sess.strays[run] })
		for i := range ends {
			ends[i].LateFor = c.lateFor(now, ends[i].Run, c.sessions.lateStarts.window, sess.agent) // a further incarnation has seen no token
		}
		c.proposeEnds(now, ends)
	}
	maps.DeleteFunc(c.sessions.strayHolders, func(run submission.RunID, on string) bool {
		return on != incarnation && machineOf(on) == machineOf(incarnation) && !sess.strays[run]
	})
	m.former = slices.DeleteFunc(m.former, func(f string) bool {
		return c.sessions.byIncarnation[f] == nil && c.machine.Submissions().Usage(f) == nil
	})
}
