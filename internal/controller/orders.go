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

// reconcile compares an agent's whole lists with the record. Runs that the
// agent does not know are ordered again; runs that are not recorded are
// stopped.
func (c *Core) reconcile(now time.Time, p *session, in *pb.AgentReport, order *pb.AgentOrder) {
	book := c.machine.Submissions()
	known := make(map[submission.RunID]bool)
	for _, e := range in.GetEnds() {
		known[wire.DecodeRun(e.GetRun())] = true
	}
	for _, e := range in.GetRefused() {
		known[wire.DecodeRun(e.GetRun())] = true
	}
	var held []submission.RunID
	for _, r := range in.GetActive() {
		held = append(held, wire.DecodeRun(r.GetRun()))
	}
	for _, r := range in.GetOrdered() {
		held = append(held, wire.DecodeRun(r))
	}
	for _, run := range held {
		known[run] = true
		if !isActive(book, p.worker.Life, run) {
			p.stops[run] = true
			order.Stops = append(order.Stops, wire.EncodeRun(run))
		}
	}
	u := book.Usage(p.worker.Life)
	if u == nil {
		return
	}
	for run, s := range u.Runs {
		switch {
		case s.Surplus(run):
			p.stops[run] = true
			order.Stops = append(order.Stops, wire.EncodeRun(run))
		case !known[run]:
			order.Starts = append(order.Starts, c.startOrder(now, s, run, p.worker.Life))
		default:
			// A restarted agent has to be told what it has adopted.
			described := c.startOrder(now, s, run, p.worker.Life)
			described.Text, described.Saved = "", ""
			order.Starts = append(order.Starts, described)
		}
	}
}

func (c *Core) startOrder(now time.Time, s *submission.Submission, run submission.RunID, life string) *pb.StartOrder {
	step := &s.Steps[run.Task.Step]
	id := dispatch.StepID{Submission: s.ID, Occurrence: run.Task.Occurrence, Step: run.Task.Step}
	ticket, _ := c.sessions.approvals.Ticket(now, id, life)
	return &pb.StartOrder{
		Run:        wire.EncodeRun(run),
		Text:       s.Text,
		Saved:      s.Task(run.Task).Saved,
		Serves:     step.Serves(),
		Fills:      step.Fills(),
		TailTarget: int64(step.TailTarget),
		Gang:       step.Gang,
		Image:      step.Image,
		Estimate:   int64(step.Estimate),
		Ticket:     ticket,
	}
}

// taken returns the number up to which all listed ends are recorded.
func (p *session) taken() uint64 {
	taken := p.highest
	for n := range p.ends {
		taken = min(taken, n-1)
	}
	return taken
}

// takeSettled returns the refused starts that are recorded.
func (p *session) takeSettled(book *submission.Book) []*pb.Run {
	var out []*pb.Run
	for run := range p.refused {
		if !isActive(book, p.worker.Life, run) {
			delete(p.refused, run)
			out = append(out, wire.EncodeRun(run))
		}
	}
	return out
}

// applied tells the agents what a command has changed for them. What an earlier
// leader proposed they learn when they attach.
func (c *Core) applied(term uint64, cmd state.Command, r state.Result) {
	c.sessions.changed = true
	if q, ok := cmd.(state.ReplaceQueues); ok && r.Outcome.Err == nil && !r.Outcome.Repeated {
		c.log.Emit(event.QueuesInForce, event.Fields{
			"version": q.Table.Version, "queues": len(q.Table.Queues), "services": len(q.Table.Services),
		}, "a table of queues came in force")
	}
	if c.replica.Role() != replica.Leader || term != c.replica.Term() {
		return
	}
	switch cmd := cmd.(type) {
	case state.StartRuns:
		c.sessions.starting = time.Time{}
		c.orderStarts(r.Outcome.Starts)
	case state.Submit:
		c.noteAccepted(cmd.Submission.ID, r)
	case state.EndRuns:
		c.noteEnds(cmd.Ends)
	case state.CancelSubmission:
		if s, ok := c.machine.Submissions().Submission(cmd.ID); ok {
			c.noteEnded(s)
			c.stopSurplus(s)
		}
	}
}

func (c *Core) noteAccepted(id string, r state.Result) {
	s, ok := c.machine.Submissions().Submission(id)
	if !ok || r.Outcome.Repeated || r.Outcome.Err != nil {
		return
	}
	tasks := 0
	for i := range s.Steps {
		tasks += s.Steps[i].Count * s.Occurrences()
	}
	c.log.Emit(event.Accepted, event.Fields{
		"submission": s.ID, "queue": s.Queue, "tasks": tasks, "chain_ms": s.Chain(-1).Milliseconds(),
	}, "a submission was recorded")
}

// noteEnded logs a submission's end.
func (c *Core) noteEnded(s *submission.Submission) {
	c.log.Emit(event.Ended, event.Fields{
		"submission": s.ID, "state": s.State.String(), "age_ms": s.EndedAt.Sub(s.Accepted).Milliseconds(),
		"objective_ms": dispatch.Objective(s).Milliseconds(),
	}, "a submission has ended")
}

func (c *Core) orderStarts(starts []submission.Start) {
	orders := make(map[*session]*pb.AgentOrder)
	now := clock.Now()
	for _, st := range starts {
		c.sessions.begun[st.Run] = now
		c.noteFirst(now, st)
		p := c.sessions.byLife[st.Worker]
		s, ok := c.machine.Submissions().Submission(st.Run.Task.Submission)
		if p == nil || !ok {
			continue // the agent is told when it attaches
		}
		if orders[p] == nil {
			orders[p] = &pb.AgentOrder{Term: c.replica.Term()}
		}
		orders[p].Starts = append(orders[p].Starts, c.startOrder(now, s, st.Run, st.Worker))
		c.log.Emit(event.RunPlaced, event.Fields{
			"submission": st.Run.Task.Submission, "task": st.Run.Task.String(), "run": st.Run.Number, "worker": st.Worker,
		}, "a task was given to a worker")
	}
	for p, o := range orders {
		p.out.put(o)
	}
}

// noteFirst measures how long a submission waited for its first start.
func (c *Core) noteFirst(now time.Time, st submission.Start) {
	s, ok := c.machine.Submissions().Submission(st.Run.Task.Submission)
	if ok && st.Run.Number == 1 && st.Run.Task.Index == 0 && st.Run.Task.Step == 0 && st.Run.Task.Occurrence == 0 {
		c.firstStarts.Update(now.Sub(s.Accepted))
	}
}

// noteEnds has the agents forget recorded ends and stops what is not wanted
// any more.
func (c *Core) noteEnds(ends []submission.End) {
	book := c.machine.Submissions()
	now := clock.Now()
	ended := make(map[string]bool)
	for _, e := range ends {
		delete(c.sessions.lapsing, e.Worker)
		s, ok := book.Submission(e.Run.Task.Submission)
		if begun, known := c.sessions.begun[e.Run]; ok && known {
			c.sessions.health.Ended(now, e.Worker, e.Run, &s.Steps[e.Run.Task.Step], e.How, now.Sub(begun))
		}
		delete(c.sessions.begun, e.Run)
		delete(c.sessions.facts, e.Run)
		if ok && (s.State.Ended() || e.How == submission.Done) {
			c.stopSurplus(s)
		}
		if ok && s.State.Ended() && s.EndedAt.Equal(c.machine.Now()) && !ended[s.ID] {
			ended[s.ID] = true
			c.noteEnded(s)
		}
		c.log.Emit(event.RunEnded, event.Fields{
			"submission": e.Run.Task.Submission, "task": e.Run.Task.String(), "run": e.Run.Number, "worker": e.Worker, "how": e.How.String(),
		}, "a run ended")
		p := c.sessions.byLife[e.Worker]
		if p == nil {
			continue
		}
		delete(p.stops, e.Run)
		delete(p.saved, e.Run)
	}
	for _, p := range c.sessions.byLife {
		settled := false
		for n, run := range p.ends {
			if !isActive(book, p.worker.Life, run) {
				delete(p.ends, n)
				settled = true
			}
		}
		if settled || len(p.refused) > 0 {
			p.out.put(&pb.AgentOrder{Term: c.replica.Term(), Taken: p.taken(), Settled: p.takeSettled(book)})
		}
	}
}

// stopSurplus orders the stop of a submission's runs that are not wanted.
func (c *Core) stopSurplus(s *submission.Submission) {
	if c.replica.Role() != replica.Leader || s.ActiveRuns() == 0 {
		return
	}
	for _, r := range s.Runs() {
		if s.Surplus(r.Run) {
			c.orderStop(r.Worker, r.Run)
		}
	}
}

func (c *Core) orderStop(life string, run submission.RunID) {
	p := c.sessions.byLife[life]
	if p == nil || p.stops[run] {
		return
	}
	p.stops[run] = true
	p.out.put(&pb.AgentOrder{Term: c.replica.Term(), Stops: []*pb.Run{wire.EncodeRun(run)}})
}
