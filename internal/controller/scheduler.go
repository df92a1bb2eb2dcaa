package controller

import (
	"time"

	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/placement"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/worker"
)

// _driftDivisor bounds clock drift: a lease is taken for over only after its
// length and another 1/_driftDivisor of it.
const _driftDivisor = 10

// _placeEvery is the least time between two placement rounds.
const _placeEvery = 10 * time.Millisecond

// _retryEvery is the longest time between two rounds while jobs wait.
const _retryEvery = 200 * time.Millisecond

// _lookEvery is the time between two looks at the leases of all workers.
const _lookEvery = 500 * time.Millisecond

type sighting struct {
	incarnation uint64
	at          time.Time // receipt of the latest renewal
	load        *pb.Load
	revision    uint64
}

// scheduler is the leader's own state, which a new leader builds anew: when
// agents renewed their leases, and who waits for what. Renewals are not in the
// log; instead a new leader counts every lease from when it began to lead.
type scheduler struct {
	lease     time.Duration
	leadSince time.Time
	seen      map[string]sighting
	retiring  map[string]uint64 // worker and incarnation whose retirement is proposed
	placing   map[string]bool   // jobs whose placement or refusal is proposed
	syncWaits map[string]chan struct{}
	jobWaits  map[string][]chan struct{}
	lastPlace time.Time
	lastLook  time.Time // at the leases of all workers
	lastRound time.Time // of placement
	changed   bool      // jobs, workers or declarations have changed since the last round
}

func (s *scheduler) lead(now time.Time, _ *state.Machine) {
	s.reset()
	s.leadSince = now
}

// reset forgets all soft state and wakes everybody who waits.
func (s *scheduler) reset() {
	for _, w := range s.syncWaits {
		close(w)
	}
	for _, list := range s.jobWaits {
		for _, w := range list {
			close(w)
		}
	}
	s.seen = make(map[string]sighting)
	s.retiring = make(map[string]uint64)
	s.placing = make(map[string]bool)
	s.syncWaits = make(map[string]chan struct{})
	s.jobWaits = make(map[string][]chan struct{})
}

// lastRenewal returns when a worker's leases were last renewed.
func (s *scheduler) lastRenewal(w worker.Worker) time.Time {
	if v, ok := s.seen[w.ID]; ok && v.incarnation == w.Incarnation && v.at.After(s.leadSince) {
		return v.at
	}
	return s.leadSince
}

// applied keeps the soft state in step with the log.
func (s *scheduler) applied(m *state.Machine, cmd state.Command, r state.Result) {
	s.changed = s.changed || r.Job != "" || len(r.Events) > 0
	switch c := cmd.(type) {
	case state.PlaceJob:
		delete(s.placing, c.ID)
	case state.FailJob:
		delete(s.placing, c.ID)
	case state.DrainWorker:
		s.wakeWorker(c.ID)
	case state.RetireWorker:
		delete(s.retiring, c.ID)
		delete(s.seen, c.ID)
	}
	if r.Job == "" {
		return
	}
	j, ok := m.Jobs().Job(r.Job)
	switch {
	case !ok:
	case j.State.Ended():
		for _, w := range s.jobWaits[j.ID] {
			close(w)
		}
		delete(s.jobWaits, j.ID)
	case j.State == job.Running:
		s.wakeWorker(j.Worker)
	}
}

func (s *scheduler) wakeWorker(id string) {
	if w, ok := s.syncWaits[id]; ok {
		close(w)
		delete(s.syncWaits, id)
	}
}

// schedule retires workers whose leases ran out and places queued jobs.
func (c *Core) schedule(now time.Time) {
	if c.failed != nil || c.replica.Role() != replica.Leader || now.Sub(c.sched.lastPlace) < _placeEvery {
		return
	}
	c.sched.lastPlace = now
	c.dispatch(now)
	var commands []state.Command
	if now.Sub(c.sched.lastLook) >= _lookEvery {
		c.sched.lastLook = now
		commands = c.lostWorkers(now)
	}
	if c.sched.worthARound(now) && c.machine.Jobs().QueuedLen() > 0 {
		c.sched.changed = false
		c.sched.lastRound = now
		commands = append(commands, c.placements(now)...)
	}
	proposals := make([]proposal, 0, len(commands))
	for _, cmd := range commands {
		proposals = append(proposals, proposal{cmd: cmd, reply: make(chan result, 1)})
	}
	_ = c.proposeAll(now, proposals) // the next round proposes anew
}

// worthARound reports whether a placement round could decide otherwise than
// the last one: something has changed, or a delayed retry may be due.
func (s *scheduler) worthARound(now time.Time) bool {
	return len(s.placing) == 0 && (s.changed || now.Sub(s.lastRound) >= _retryEvery)
}

func (c *Core) lostWorkers(now time.Time) []state.Command {
	limit := c.sched.lease + c.sched.lease/_driftDivisor
	var out []state.Command
	for _, w := range c.machine.Workers().Workers() {
		if now.Sub(c.sched.lastRenewal(w)) < limit || c.sched.retiring[w.ID] == w.Incarnation {
			continue
		}
		c.sched.retiring[w.ID] = w.Incarnation
		c.log.Emit(event.WorkerLost, event.Fields{"worker": w.ID, "incarnation": w.Incarnation},
			"the worker's leases ran out without renewal; its tasks are placed anew")
		out = append(out, state.RetireWorker{ID: w.ID, Incarnation: w.Incarnation})
	}
	return out
}

func (c *Core) placements(now time.Time) []state.Command {
	var candidates []placement.Candidate
	for _, j := range c.machine.Jobs().Queued() {
		if e, ok := c.machine.Catalogue().Entry(j.Entry); ok {
			candidates = append(candidates, placement.Candidate{Job: j, Entry: e})
		}
	}
	d := placement.Place(now, candidates, c.nodes(), c.machine.Jobs().RunningByEntry())
	var out []state.Command
	for _, p := range d.Placements {
		c.sched.placing[p.JobID] = true
		out = append(out, state.PlaceJob{ID: p.JobID, Attempt: p.Attempt, Worker: p.WorkerID, Incarnation: p.Incarnation})
	}
	for _, r := range d.Refusals {
		c.sched.placing[r.JobID] = true
		c.log.Emit(event.JobUnplaceable, event.Fields{"job": r.JobID, "reason": r.Reason}, "the job can never run")
		out = append(out, state.FailJob{ID: r.JobID, Reason: r.Reason})
	}
	return out
}

// nodes returns the workers with what their running tasks take.
func (c *Core) nodes() []placement.Node {
	var out []placement.Node
	for _, w := range c.machine.Workers().Workers() {
		n := placement.Node{Worker: w}
		for _, j := range c.machine.Jobs().RunningOn(w.ID) {
			if e, ok := c.machine.Catalogue().Entry(j.Entry); ok {
				placement.Take(&n, e.Limits())
			}
		}
		out = append(out, n)
	}
	return out
}

// renew notes an agent's renewal. It returns false if this controller cannot
// be sure that it leads.
func (c *Core) renew(now time.Time, in *pb.SyncRequest) bool {
	if c.failed != nil || !c.replica.HoldsLease(now) {
		return false
	}
	c.sched.seen[in.GetWorker().GetId()] = sighting{
		incarnation: in.GetWorker().GetIncarnation(),
		at:          now,
		load:        in.GetLoad(),
		revision:    in.GetRevision(),
	}
	return true
}

// orders returns what an agent should do, and whether there is anything.
func (c *Core) orders(in *pb.SyncRequest) (*pb.SyncReply, bool) {
	id, incarnation := in.GetWorker().GetId(), in.GetWorker().GetIncarnation()
	reply := &pb.SyncReply{Lease: int64(c.sched.lease)}
	w, ok := c.machine.Workers().Worker(id)
	reply.Superseded = ok && w.Incarnation > incarnation
	reply.Drained = w.Drained
	reported := make(map[string]uint32, len(in.GetRunning()))
	for _, t := range in.GetRunning() {
		reported[t.GetJob()] = t.GetAttempt()
	}
	wanted := make(map[string]uint32)
	for _, j := range c.machine.Jobs().RunningOn(id) {
		if j.Incarnation != incarnation || j.Cancelling {
			continue
		}
		wanted[j.ID] = j.Attempt
		if reported[j.ID] != j.Attempt {
			reply.Assignments = append(reply.Assignments, c.assignment(j))
		}
	}
	for _, t := range in.GetRunning() {
		if wanted[t.GetJob()] != t.GetAttempt() {
			reply.Stop = append(reply.Stop, t)
		}
	}
	busy := len(reply.Assignments) > 0 || len(reply.Stop) > 0 || reply.Superseded ||
		reply.Drained != in.GetWorker().GetDrained()
	return reply, busy
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

// waitForWorker returns a channel that is closed when there may be orders.
func (c *Core) waitForWorker(id string) <-chan struct{} {
	c.sched.wakeWorker(id)
	w := make(chan struct{})
	c.sched.syncWaits[id] = w
	return w
}

// waitForJob returns a channel that is closed when the job ends.
func (c *Core) waitForJob(id string) <-chan struct{} {
	w := make(chan struct{})
	c.sched.jobWaits[id] = append(c.sched.jobWaits[id], w)
	return w
}
