package controller

import (
	"time"

	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/placement"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/worker"
)

// _workerLeaseDriftDivisor bounds clock drift: a worker's lease counts as expired
// only after its length and another 1/_workerLeaseDriftDivisor of it.
const _workerLeaseDriftDivisor = 10

// _scheduleInterval is the minimum time between scheduling rounds.
const _scheduleInterval = 10 * time.Millisecond

// _retryInterval is the maximum time between placement rounds while jobs wait, and
// between scheduling rounds of tasks.
const _retryInterval = 200 * time.Millisecond

// _workerLeaseCheckInterval is the time between checks of all workers' leases.
const _workerLeaseCheckInterval = 500 * time.Millisecond

// renewal is an agent's latest lease renewal.
type renewal struct {
	agentIncarnation uint64
	at               time.Time // time of receipt
	load             *pb.Load
	revision         uint64
}

// scheduler is the leader's state of job scheduling, which a new leader rebuilds:
// lease renewals and waiting long polls. Renewals are not in the log; a new
// leader counts every lease from when it began to lead.
type scheduler struct {
	lease          time.Duration
	leaderSince    time.Time
	renewals       map[string]renewal
	retiring       map[string]uint64 // agent incarnations whose retirement is proposed, by worker
	placing        map[string]bool   // jobs whose placement or failure is proposed
	workerWaiters  map[string]chan struct{}
	jobWaiters     map[string][]chan struct{}
	lastSchedule   time.Time
	lastLeaseCheck time.Time // of all workers
	lastPlacement  time.Time // latest placement round
	changed        bool      // jobs, workers or catalogue entries have changed since the last placement round
}

func (s *scheduler) startLeading(now time.Time, _ *state.Machine) {
	s.reset()
	s.leaderSince = now
}

// reset discards all soft state and wakes all long polls.
func (s *scheduler) reset() {
	for _, w := range s.workerWaiters {
		close(w)
	}
	for _, list := range s.jobWaiters {
		for _, w := range list {
			close(w)
		}
	}
	s.renewals = make(map[string]renewal)
	s.retiring = make(map[string]uint64)
	s.placing = make(map[string]bool)
	s.workerWaiters = make(map[string]chan struct{})
	s.jobWaiters = make(map[string][]chan struct{})
}

// lastRenewal returns when a worker's lease was last renewed.
func (s *scheduler) lastRenewal(w worker.Worker) time.Time {
	if v, ok := s.renewals[w.ID]; ok && v.agentIncarnation == w.AgentIncarnation && v.at.After(s.leaderSince) {
		return v.at
	}
	return s.leaderSince
}

// handleAppliedCommand updates the soft state after a command.
func (s *scheduler) handleAppliedCommand(m *state.Machine, cmd state.Command, r state.Result) {
	s.changed = s.changed || r.Job != "" || len(r.Events) > 0
	switch c := cmd.(type) {
	case state.PlaceJob:
		delete(s.placing, c.ID)
	case state.FailJob:
		delete(s.placing, c.ID)
	case state.DrainWorker:
		s.wakeWorker(c.ID)
	case state.StartEvacuation, state.FinishEvacuation:
		for _, e := range r.Events {
			if w, ok := e.(state.WorkerChanged); ok {
				s.wakeWorker(w.Worker.ID)
			}
		}
	case state.RetireWorker:
		s.forget(c.ID, c.AgentIncarnation)
	}
	if r.Job == "" {
		return
	}
	j, ok := m.Jobs().Job(r.Job)
	switch {
	case !ok:
	case j.State.Ended():
		for _, w := range s.jobWaiters[j.ID] {
			close(w)
		}
		delete(s.jobWaiters, j.ID)
	case j.State == job.Running:
		s.wakeWorker(j.Worker)
	}
}

// forget discards the soft state of one agent incarnation. The retirement of an
// earlier incarnation may be applied, or repeated, when the next one has already
// renewed its lease.
func (s *scheduler) forget(id string, agentIncarnation uint64) {
	if s.retiring[id] == agentIncarnation {
		delete(s.retiring, id)
	}
	if s.renewals[id].agentIncarnation == agentIncarnation {
		delete(s.renewals, id)
	}
}

func (s *scheduler) wakeWorker(id string) {
	if w, ok := s.workerWaiters[id]; ok {
		close(w)
		delete(s.workerWaiters, id)
	}
}

// schedule dispatches tasks, retires workers whose leases have expired and places
// queued jobs.
func (c *Core) schedule(now time.Time) {
	if !c.leads() || now.Sub(c.sched.lastSchedule) < _scheduleInterval {
		return
	}
	c.sched.lastSchedule = now
	c.dispatchTasks(now)
	var commands []state.Command
	if now.Sub(c.sched.lastLeaseCheck) >= _workerLeaseCheckInterval {
		c.sched.lastLeaseCheck = now
		commands = c.lostWorkerCommands(now)
	}
	if c.sched.isPlacementDue(now) && c.machine.Jobs().QueuedCount() > 0 {
		c.sched.changed = false
		c.sched.lastPlacement = now
		commands = append(commands, c.placementCommands(now)...)
	}
	proposals := make([]proposal, 0, len(commands))
	for _, cmd := range commands {
		proposals = append(proposals, proposal{cmd: cmd, reply: make(chan result, 1)})
	}
	_ = c.proposeAll(now, proposals) // the next round proposes again
}

// isPlacementDue reports whether a placement round could differ from the last
// one: the state has changed, or a delayed retry may be due. It returns false
// while a command of the last round is pending.
func (s *scheduler) isPlacementDue(now time.Time) bool {
	return len(s.placing) == 0 && (s.changed || now.Sub(s.lastPlacement) >= _retryInterval)
}

func (c *Core) lostWorkerCommands(now time.Time) []state.Command {
	limit := c.sched.lease + c.sched.lease/_workerLeaseDriftDivisor
	var out []state.Command
	for _, w := range c.machine.Workers().Workers() {
		if now.Sub(c.sched.lastRenewal(w)) < limit || c.sched.retiring[w.ID] == w.AgentIncarnation {
			continue
		}
		c.sched.retiring[w.ID] = w.AgentIncarnation
		c.log.Emit(event.WorkerLost, event.Fields{"worker": w.ID, "incarnation": w.AgentIncarnation},
			"worker's lease expired; rescheduling its jobs")
		out = append(out, state.RetireWorker{ID: w.ID, AgentIncarnation: w.AgentIncarnation})
	}
	return out
}

func (c *Core) placementCommands(now time.Time) []state.Command {
	var candidates []placement.Candidate
	for _, j := range c.machine.Jobs().Queued() {
		if e, ok := c.machine.Catalogue().Entry(j.Entry); ok {
			candidates = append(candidates, placement.Candidate{Job: j, Entry: e})
		}
	}
	d := placement.Place(c.logClock.time(now), candidates, c.nodes(), c.machine.Jobs().RunningByEntry())
	var out []state.Command
	for _, p := range d.Placements {
		c.sched.placing[p.JobID] = true
		out = append(out, state.PlaceJob{ID: p.JobID, Attempt: p.Attempt, Worker: p.WorkerID, AgentIncarnation: p.AgentIncarnation})
	}
	for _, r := range d.Rejections {
		c.sched.placing[r.JobID] = true
		c.log.Emit(event.JobUnplaceable, event.Fields{"job": r.JobID, "reason": r.Reason}, "job can never be placed")
		out = append(out, state.FailJob{ID: r.JobID, Reason: r.Reason})
	}
	return out
}

// nodes returns the workers with the resources that their running jobs use.
func (c *Core) nodes() []placement.Node {
	var out []placement.Node
	for _, w := range c.machine.Workers().Workers() {
		n := placement.Node{Worker: w}
		for _, j := range c.machine.Jobs().RunningOnWorker(w.ID) {
			if e, ok := c.machine.Catalogue().Entry(j.Entry); ok {
				placement.AddUsed(&n, e.Limits())
			}
		}
		out = append(out, n)
	}
	return out
}

// recordRenewal records an agent's lease renewal. It returns false if this
// controller cannot be sure that it leads, or if the agent is no longer
// registered or about to be retired: the log may then already end attempts that
// the reply would assign. It records nothing for a superseded agent, whose reply
// grants no lease.
func (c *Core) recordRenewal(now time.Time, in *pb.SyncRequest) bool {
	id, agentIncarnation := in.GetWorker().GetId(), in.GetWorker().GetIncarnation()
	w, ok := c.machine.Workers().Worker(id)
	if !c.holdsLease(now) || !ok || w.AgentIncarnation < agentIncarnation {
		return false
	}
	if w.AgentIncarnation > agentIncarnation {
		return true
	}
	if c.sched.retiring[id] == agentIncarnation {
		return false
	}
	c.sched.renewals[id] = renewal{
		agentIncarnation: agentIncarnation,
		at:               now,
		load:             in.GetLoad(),
		revision:         in.GetRevision(),
	}
	return true
}

// syncReply returns an agent's orders, and whether there are any.
func (c *Core) syncReply(in *pb.SyncRequest) (*pb.SyncReply, bool) {
	id, agentIncarnation := in.GetWorker().GetId(), in.GetWorker().GetIncarnation()
	reply := &pb.SyncReply{Lease: int64(c.sched.lease)}
	w, ok := c.machine.Workers().Worker(id)
	if reply.Superseded = ok && w.AgentIncarnation > agentIncarnation; reply.Superseded {
		reply.RegisteredIncarnation = w.AgentIncarnation
	}
	reply.Drained = w.Drained || w.Evacuated // to the agent it is the same
	reported := make(map[string]uint32, len(in.GetRunning()))
	for _, t := range in.GetRunning() {
		reported[t.GetJob()] = t.GetAttempt()
	}
	assigned := make(map[string]uint32)
	for _, j := range c.machine.Jobs().RunningOnWorker(id) {
		if j.AgentIncarnation != agentIncarnation || j.Cancelling {
			continue
		}
		assigned[j.ID] = j.Attempt
		if reported[j.ID] != j.Attempt {
			reply.Assignments = append(reply.Assignments, c.assignment(j))
		}
	}
	for _, t := range in.GetRunning() {
		if assigned[t.GetJob()] != t.GetAttempt() {
			reply.Stop = append(reply.Stop, t)
		}
	}
	hasOrders := len(reply.Assignments) > 0 || len(reply.Stop) > 0 || reply.Superseded ||
		reply.Drained != in.GetWorker().GetDrained()
	return reply, hasOrders
}

func (c *Core) assignment(j job.Job) *pb.Assignment {
	a := &pb.Assignment{Job: j.ID, Attempt: j.Attempt, Entry: j.Entry, Body: j.Body, Checkpoint: j.Checkpoint}
	if e, ok := c.machine.Catalogue().Entry(j.Entry); ok {
		a.Target = e.Target()
		a.Slots = 1
		a.Priority = int32(e.Limits().Priority)
		a.Owner = e.Owner()
	}
	return a
}

// addWorkerWaiter returns a channel that is closed when the worker may have
// orders. It wakes an earlier waiter of the same worker.
func (c *Core) addWorkerWaiter(id string) <-chan struct{} {
	c.sched.wakeWorker(id)
	w := make(chan struct{})
	c.sched.workerWaiters[id] = w
	return w
}

// addJobWaiter returns a channel that is closed when the job ends.
func (c *Core) addJobWaiter(id string) <-chan struct{} {
	w := make(chan struct{})
	c.sched.jobWaiters[id] = append(c.sched.jobWaiters[id], w)
	return w
}
