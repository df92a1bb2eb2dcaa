package controller

import (
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// reconcile compares an agent's complete lists with the store. It orders the
// start of recorded runs that the agent does not know, and the stop of runs that
// are not recorded or are surplus. A run whose end is proposed counts as not recorded.
func (c *Core) reconcile(now time.Time, sess *session, in *pb.AgentReport, order *pb.AgentOrder) {
	store := c.machine.Submissions()
	known, ordered := make(map[submission.RunID]bool), make(map[submission.RunID]bool)
	for _, e := range in.GetEnds() {
		known[wire.DecodeRun(e.GetRun())] = true
	}
	for _, e := range in.GetRefused() {
		known[wire.DecodeRun(e.GetRun())] = true
	}
	for _, r := range in.GetActive() {
		known[wire.DecodeRun(r.GetRun())] = true
	}
	for _, r := range in.GetOrdered() {
		run := wire.DecodeRun(r)
		known[run], ordered[run] = true, true
		c.sessions.lateStarts.remove(run)
		if !isActive(store, sess.worker.Incarnation, run) || c.sessions.endsProposed[run] {
			sess.orderedStops[run] = true
			order.Stops = append(order.Stops, r)
		}
	}
	u := store.Usage(sess.worker.Incarnation)
	if u == nil {
		return
	}
	var unsettled []submission.RunID
	for run, s := range u.Runs {
		switch {
		case c.sessions.endsProposed[run]:
			// The record ends the run whatever the agent does from now on.
		case s.IsSurplus(run):
			sess.orderedStops[run] = true
			order.Stops = append(order.Stops, wire.EncodeRun(run))
		case !known[run]:
			c.sessions.lateStarts.remove(run) // the next call is another one than those that were reported
			if c.isRecordedSettled(s, run) {
				sess.awaitedRepeats[run] = true
				unsettled = append(unsettled, run)
				continue
			}
			order.Starts = append(order.Starts, c.repeatedStart(now, s, run, sess.worker.Incarnation))
		default:
			// A restarted agent needs the description of each run that it found.
			description := c.startOrder(now, s, run, sess.worker.Incarnation)
			description.Text, description.Saved = "", ""
			description.Settled = !ordered[run] && (s.IsSettled(run) || c.sessions.lateStarts.wasSettled(now, run))
			order.Starts = append(order.Starts, description)
			if ordered[run] && c.isRecordedSettled(s, run) {
				unsettled = append(unsettled, run)
			}
		}
	}
	c.proposeSettled(now, unsettled, false)
}

func (c *Core) startOrder(now time.Time, s *submission.Submission, run submission.RunID, incarnation string) *pb.StartOrder {
	step := &s.Steps[run.Task.Step]
	id := stepOf(run.Task)
	ticket, _ := c.sessions.scheduler.Ticket(now, id, incarnation)
	return &pb.StartOrder{
		Run:        wire.EncodeRun(run),
		Text:       s.Text,
		Saved:      s.Task(run.Task).Checkpoint,
		Serves:     step.IsService(),
		Fills:      step.IsBatch(),
		TailTarget: int64(step.TailTarget),
		Gang:       step.Gang,
		Image:      step.Image,
		Estimate:   int64(step.Estimate),
		Needs:      wire.EncodeResources(step.Reserved()),
		Ticket:     ticket,
	}
}

// lastRecordedEnd returns the number up to which all listed ends are recorded.
func (s *session) lastRecordedEnd(store *submission.Store) uint64 {
	last := s.highestEnd
	for n, r := range s.unrecordedEnds {
		if !s.isUnrecorded(store, r.worker, r.run) {
			delete(s.unrecordedEnds, n)
			continue
		}
		last = min(last, n-1)
	}
	return last
}

// hasReportedEnd reports whether the agent has reported the end of a run that is not
// acknowledged yet.
func (s *session) hasReportedEnd(run submission.RunID) bool {
	if _, ok := s.unrecordedInferredEnds[run]; ok {
		return true
	}
	for _, r := range s.unrecordedEnds {
		if r.run == run {
			return true
		}
	}
	return false
}

// popRecordedInferredEnds removes and returns the runs whose inferred ends are
// recorded.
func (s *session) popRecordedInferredEnds(store *submission.Store) []*pb.Run {
	var out []*pb.Run
	for run, incarnation := range s.unrecordedInferredEnds {
		if !s.isUnrecorded(store, incarnation, run) {
			delete(s.unrecordedInferredEnds, run)
			out = append(out, wire.EncodeRun(run))
		}
	}
	return out
}

// handleAppliedCommand sends agents the orders that follow from a command. The
// effects of an earlier leader's proposals reach agents when they attach.
func (c *Core) handleAppliedCommand(term uint64, cmd state.Command, r state.Result) {
	c.sessions.changed = true
	if q, ok := cmd.(state.ReplaceQueues); ok && r.Outcome.Err == nil && !r.Outcome.Repeated {
		c.log.Emit(event.QueuesInForce, event.Fields{
			"version": q.Table.Version, "queues": len(q.Table.Queues), "services": len(q.Table.Services),
		}, "table of queues took effect")
	}
	if change, ok := cmd.(state.RecordSilence); ok {
		c.handleSilence(clock.Now(), term, change.Change)
	}
	zone, isOrder := zoneOfOrder(cmd)
	if isOrder {
		c.updateEvacuationMetric()
	}
	if c.replica.Role() != replica.Leader || term != c.replica.Term() {
		return
	}
	if isOrder {
		c.handleEvacuation(clock.Now(), zone, r)
	}
	switch cmd := cmd.(type) {
	case state.StartRuns:
		c.sessions.startsProposedAt = time.Time{}
		c.orderStarts(r.Outcome.Starts)
	case state.Submit:
		c.logSubmissionAccepted(cmd.Submission.ID, r)
	case state.EndRuns:
		c.handleRecordedEnds(cmd.Ends)
	case state.SettleRuns:
		c.handleSettledRuns(clock.Now(), cmd)
	case state.CancelSubmission:
		if s, ok := c.machine.Submissions().Submission(cmd.ID); ok {
			delete(c.sessions.started, s.ID)
			c.logSubmissionEnded(s)
			c.stopSurplusRuns(s, s.Runs())
		}
	}
}

func (c *Core) logSubmissionAccepted(id string, r state.Result) {
	s, ok := c.machine.Submissions().Submission(id)
	if !ok || r.Outcome.Repeated || r.Outcome.Err != nil {
		return
	}
	tasks := 0
	for i := range s.Steps {
		tasks += s.Steps[i].Count * s.Occurrences()
	}
	c.log.Emit(event.SubmissionAccepted, event.Fields{
		"submission": s.ID, "queue": s.Queue, "tasks": tasks, "chain_ms": s.CriticalPath(-1).Milliseconds(),
	}, "submission accepted")
}

// logSubmissionEnded logs a submission's end.
func (c *Core) logSubmissionEnded(s *submission.Submission) {
	c.log.Emit(event.SubmissionEnded, event.Fields{
		"submission": s.ID, "state": s.State.String(), "age_ms": s.EndedAt.Sub(s.Accepted).Milliseconds(),
		"objective_ms": dispatch.Objective(s).Milliseconds(),
	}, "submission ended")
}

// logTaskGivenUp logs which task's crashes have ended its submission, if they have.
func (c *Core) logTaskGivenUp(s *submission.Submission, e submission.End) {
	t := s.Task(e.Run.Task)
	if e.Reason != submission.Crashed || s.State != submission.OutOfAttempts || !s.Steps[e.Run.Task.Step].CausesCrashes(t.Crashes) {
		return
	}
	c.tasksGivenUp.Inc(1)
	crashes := make([]map[string]any, len(t.Crashes))
	for i, crash := range t.Crashes {
		crashes[i] = map[string]any{"ran_ms": crash.Ran.Milliseconds(), "alone": crash.Alone}
	}
	c.log.Emit(event.TaskGivenUp, event.Fields{"submission": s.ID, "task": e.Run.Task.String(), "crashes": crashes},
		"task crashed worker after worker; its submission has failed")
}

func (c *Core) orderStarts(starts []submission.Start) {
	orders := make(map[*session]*pb.AgentOrder)
	now := clock.Now()
	for _, st := range c.rejectBesideStrays(now, c.rejectInEvacuatedZones(now, starts)) {
		c.sessions.startOrderedAt[st.Run] = now
		c.sessions.scheduler.RecordStart(now, c.machine.Submissions(), st)
		c.recordFirstStart(now, st)
		sess := c.sessions.byIncarnation[st.Worker]
		s, ok := c.machine.Submissions().Submission(st.Run.Task.Submission)
		if sess == nil || !ok {
			continue // the agent gets the order when it attaches
		}
		if orders[sess] == nil {
			orders[sess] = c.newOrder(sess)
		}
		orders[sess].Starts = append(orders[sess].Starts, c.startOrder(now, s, st.Run, st.Worker))
		c.log.Emit(event.RunPlaced, event.Fields{
			"submission": st.Run.Task.Submission, "task": st.Run.Task.String(), "run": st.Run.Number, "worker": st.Worker,
		}, "run placed on a worker")
	}
	for sess, o := range orders {
		sess.outbox.put(o)
	}
}

// recordFirstStart measures the time from a submission to the first start of its
// first task.
func (c *Core) recordFirstStart(now time.Time, st submission.Start) {
	s, ok := c.machine.Submissions().Submission(st.Run.Task.Submission)
	if ok && st.Run.Number == 1 && st.Run.Task.Index == 0 && st.Run.Task.Step == 0 && st.Run.Task.Occurrence == 0 {
		c.firstStarts.Update(c.logClock.time(now).Sub(s.Accepted))
	}
}

// _unknownDuration is the duration of a run that an earlier leader ordered.
const _unknownDuration time.Duration = -1

// handleRecordedEnds lets the agents discard recorded ends and stops runs that
// have become surplus. It also stops a run whose lease has expired if its agent's stream is
// still open: should the run go on, the agent would report it only when it changes.
func (c *Core) handleRecordedEnds(ends []submission.End) {
	store := c.machine.Submissions()
	now := clock.Now()
	ended := make(map[string]bool)
	touched := make(map[*session]bool)
	c.sessions.forgetProposedEnds(ends)
	for _, e := range ends {
		if _, expiring := c.sessions.expiring[e.Worker]; expiring && !c.hasProposedEnds(e.Worker) {
			delete(c.sessions.expiring, e.Worker)
		}
		s, ok := store.Submission(e.Run.Task.Submission)
		c.scheduleAfterEnd(now, e)
		c.sessions.lateStarts.remove(e.Run)
		if ok {
			c.stopSurplusRuns(s, surplusRuns(s, e))
		}
		if ok && s.State.Ended() && s.EndedAt.Equal(c.machine.Now()) && !ended[s.ID] {
			ended[s.ID] = true
			delete(c.sessions.started, s.ID)
			c.logSubmissionEnded(s)
		}
		if ok && ended[s.ID] {
			c.logTaskGivenUp(s, e)
		}
		c.logRunEnded(e)
		if on, isStray := c.sessions.strayHolders[e.Run]; isStray && !c.sessions.mayHaveStray(now, on, e.Run) {
			delete(c.sessions.strayHolders, e.Run)
		}
		if sess := c.sessions.byIncarnation[e.Worker]; sess != nil && e.Reason == submission.LeaseExpired && !sess.hasReportedEnd(e.Run) {
			c.orderStop(e.Worker, e.Run)
		}
		for _, sess := range c.sessions.ofMachine(e.Worker) {
			touched[sess] = true
			delete(sess.orderedStops, e.Run)
			delete(sess.checkpoints, e.Run)
		}
	}
	for sess := range touched {
		unrecorded := len(sess.unrecordedEnds)
		order := c.newOrder(sess)
		order.Taken = sess.lastRecordedEnd(store)
		if len(sess.unrecordedEnds) < unrecorded || len(sess.unrecordedInferredEnds) > 0 {
			order.Settled = sess.popRecordedInferredEnds(store)
			sess.outbox.put(order)
		}
	}
}

// scheduleAfterEnd lets the scheduler learn from the recorded end of a run.
func (c *Core) scheduleAfterEnd(now time.Time, e submission.End) {
	took := _unknownDuration
	if orderedAt, known := c.sessions.startOrderedAt[e.Run]; known {
		took = now.Sub(orderedAt)
	}
	delete(c.sessions.startOrderedAt, e.Run)
	e.Reason = e.ToldReason()
	c.sessions.scheduler.RecordEnd(now, c.machine.Submissions(), e, took)
}

// forgetProposedEnds forgets that ends were proposed, which are recorded now.
func (s *sessions) forgetProposedEnds(ends []submission.End) {
	for _, e := range ends {
		delete(s.endsProposed, e.Run)
		if e.Reason == submission.Failed {
			delete(s.gangFailures, gangRun{step: stepOf(e.Run.Task), number: e.Run.Number})
		}
	}
}

// logRunEnded logs and counts the end of a run.
func (c *Core) logRunEnded(e submission.End) {
	fields := event.Fields{
		"submission": e.Run.Task.Submission, "task": e.Run.Task.String(), "run": e.Run.Number, "worker": e.Worker, "how": e.ToldReason().String(),
	}
	if e.Told != 0 {
		fields["counted"] = false
	}
	if e.ToldReason() == submission.Crashed {
		fields["ran_ms"] = e.Ran.Milliseconds()
		c.crashedRuns.Inc(1)
	}
	if e.LateFor > 0 {
		fields["late_for_ms"] = e.LateFor.Milliseconds()
	}
	c.log.Emit(event.RunEnded, fields, "run ended")
}

// surplusRuns returns the runs that the recorded end of a run may have made surplus.
func surplusRuns(s *submission.Submission, e submission.End) []submission.Start {
	switch {
	case s.State.Ended():
		return s.Runs()
	case e.Reason == submission.Done:
		return s.RunsDoneWith(e.Run.Task)
	}
	return nil
}

// stopSurplusRuns orders the stop of those of a submission's runs that are surplus.
func (c *Core) stopSurplusRuns(s *submission.Submission, runs []submission.Start) {
	if c.replica.Role() != replica.Leader {
		return
	}
	for _, r := range runs {
		if s.IsSurplus(r.Run) {
			c.orderStop(r.Worker, r.Run)
		}
	}
}

func (c *Core) orderStop(incarnation string, run submission.RunID) {
	sess := c.sessions.byIncarnation[incarnation]
	if sess == nil || sess.orderedStops[run] {
		return
	}
	sess.orderedStops[run] = true
	order := c.newOrder(sess)
	order.Stops = []*pb.Run{wire.EncodeRun(run)}
	sess.outbox.put(order)
}
