package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/estimate"
	"github.com/gentianrail/gentianrail/locality"
	"github.com/gentianrail/gentianrail/submission"
)

// rackChoice is the state of the choice of a rack, and of the waits for it, in one placement.
type rackChoice struct {
	rack        string          // chosen for the first task of a rack-local step; "" if none was chosen
	noMoreWaits bool            // the step's remaining tasks do not wait: the decision against the wait of one holds for them, too
	searched    bool            // slots and workers are set
	slots       []locality.Slot // expected on the rack
	workers     []*node         // by the index in the slots
	slotsTaken  int             // slots, from the first on, for which tasks wait
	// The submission's mark in round.started before this placement. It is restored when the
	// starts of a gang are withdrawn to decide whether the gang waits.
	startedBefore bool
}

// mayWaitForRack reports whether the tasks of the step may wait for a rack. Steps that need
// tickets do not: whether a worker of the rack will be approved is not known.
func (p *placement) mayWaitForRack() bool {
	return p.rackState.isEnabled() && !p.step.LongRunning && !p.ws.sub.NeedsAdvice && (p.step.RackLocal || p.step.DataRack != "")
}

// chooseRack sets the rack for the first task of a rack-local step: the one that can hold
// all tasks, now or the soonest.
func (p *placement) chooseRack(rec *submission.StepRecord) {
	if !p.rackState.isEnabled() || !p.step.RackLocal || p.step.DataRack != "" || len(p.onRack) > 0 {
		return
	}
	tasks := min(rec.WaitingTasks(), _maxSlots)
	var options []rackOption
	room := 0
	for _, rack := range p.racksToCompare() {
		slots, _ := p.freeSlots(rack, min(2*tasks, _maxSlots))
		o := rackOption{rack: rack, allIn: locality.Never, roomNow: min(len(slots), tasks), surplus: max(len(slots)-tasks, 0)}
		if o.roomNow == tasks {
			o.allIn = 0
		}
		options, room = append(options, o), room+o.roomNow
	}
	if room == 0 || p.step.Gang && room < tasks {
		return // nothing starts now
	}
	if !slices.ContainsFunc(options, func(o rackOption) bool { return o.allIn == 0 }) {
		for i := range options {
			if slots, _ := p.expectedSlots(options[i].rack, tasks); len(slots) == tasks {
				options[i].allIn = slots[tasks-1].In
			}
		}
	}
	p.rackChoice.rack = slices.MinFunc(options, func(a, b rackOption) int {
		return cmp.Or(cmp.Compare(a.allIn, b.allIn), cmp.Compare(b.roomNow, a.roomNow), cmp.Compare(a.surplus, b.surplus), cmp.Compare(a.rack, b.rack))
	}).rack
}

// rackOption is a rack that may be chosen for a rack-local step.
type rackOption struct {
	rack    string
	allIn   time.Duration // until the rack has room for all tasks of the step; locality.Never if that is unknown
	roomNow int           // tasks of the step for which it has room now
	surplus int           // further such tasks for which it has room now, up to as many as the step has
}

// firstSearchedRack returns the rack with which the search for workers begins.
func (p *placement) firstSearchedRack() string {
	if p.rackState.isEnabled() && p.step.RackLocal {
		return cmp.Or(p.preferredRack(), p.step.DataRack)
	}
	return p.step.DataRack
}

// preferredRack returns the rack for which the step's tasks may wait, or "". A rack-local
// step that is split already gains nothing.
func (p *placement) preferredRack() string {
	if p.step.DataRack != "" {
		return p.step.DataRack
	}
	rack, count := p.rackChoice.rack, 0
	for r, n := range p.onRack {
		if n == 0 {
			continue
		}
		if count > 0 {
			return ""
		}
		rack, count = r, n
	}
	return rack
}

// waitsForRack reports whether a task waits for its preferred rack instead of starting on
// a worker of another rack. A gang is decided about as a whole, when all of its tasks are
// placed.
func (p *placement) waitsForRack(id submission.TaskID, n *node) bool {
	if !p.mayWaitForRack() || p.step.Gang || p.rackChoice.noMoreWaits || p.mover.destination(id) != "" {
		return false
	}
	t := p.ws.sub.Task(id)
	rack := p.preferredRack()
	if rack == "" || rack == n.Rack || t.FailedRuns > 0 || t.Checkpoint != "" || p.step.Isolation(t) > 0 {
		// A task that has failed avoids workers. Of one that has saved progress the
		// remaining run time is not known.
		return false
	}
	c := &p.rackChoice
	if !c.searched {
		slots, workers := p.expectedSlots(rack, min(p.ws.record().WaitingTasks(), _maxSlots))
		// The tasks have not started in the slots that seem to be free: something else prevents it.
		c.slots = slices.DeleteFunc(slots, func(s locality.Slot) bool { return s.In <= 0 })
		c.workers, c.searched = workers, true
	}
	var slots []locality.Slot
	if c.slotsTaken < len(c.slots) {
		slots = c.slots[c.slotsTaken : c.slotsTaken+1]
	}
	if !p.decideWait(id, rack, slots, 1, p.unhealthy[n.Incarnation]) {
		return false
	}
	c.slotsTaken++
	p.unplaced = 1
	return true
}

// gangWaitsForRack reports whether a gang waits for a rack that can hold all of its tasks
// instead of the starts from index firstStart on.
func (p *placement) gangWaitsForRack(firstStart int) bool {
	starts := p.starts[firstStart:]
	if !p.mayWaitForRack() || len(starts) == 0 {
		return false
	}
	rack, onRack, unhealthy := p.gangPreferredRack(starts), 0, false
	for _, st := range starts {
		n := p.pool.nodes[st.Worker]
		unhealthy = unhealthy || p.unhealthy[st.Worker]
		if n.Rack == rack {
			onRack++
		}
		if t := p.ws.sub.Task(st.Run.Task); t.Checkpoint != "" || p.step.Isolation(t) > 0 || p.mover.destination(st.Run.Task) != "" {
			return false
		}
	}
	if rack == "" || onRack == len(starts) || p.ws.record().Tasks[0].FailedRuns > 0 {
		return false
	}
	all := slices.Clone(starts)
	p.undoStarts(firstStart)
	p.started[p.ws.sub.ID] = p.rackChoice.startedBefore
	slots, workers := p.expectedSlots(rack, len(all))
	p.rackChoice.slots, p.rackChoice.workers = slots, workers
	if p.decideWait(all[0].Run.Task, rack, slots, len(all), unhealthy) {
		p.unplaced = len(all)
		return true
	}
	p.redoStarts(all)
	return false
}

// gangPreferredRack returns the rack for which a gang may wait instead of the given starts,
// or "". It is the rack of the data or the one that chooseRack set before the starts.
func (p *placement) gangPreferredRack(starts []submission.Start) string {
	if p.step.DataRack != "" {
		return p.step.DataRack
	}
	for _, st := range starts[1:] {
		if p.pool.nodes[st.Worker].Rack != p.pool.nodes[starts[0].Worker].Rack {
			return p.rackChoice.rack
		}
	}
	return "" // all on one rack, whichever it is
}

// decideWait decides whether a task waits for the last of count slots of a rack, and
// records the wait. A gang waits under its first task.
func (p *placement) decideWait(id submission.TaskID, rack string, slots []locality.Slot, count int, restartLikely bool) bool {
	rs, sub := &p.rackState, p.ws.sub
	w := rs.wait(p.at, sub, id)
	e := p.times.Submission(p.at.Now, sub)
	in := locality.Input{
		Penalty: rs.penalty, RestartLikely: restartLikely, Expected: locality.Never,
		Waited: w.waitedAt(p.at.Now), WaitLimit: w.limit, StartWithin: p.startWithin(),
	}
	median, deviation := e.Step(p.ws.step)
	in.RunTime, in.Deviation = locality.Mean(median, deviation), deviation
	in.TimeLeft = p.timeLeft(median, e)
	if len(slots) >= count {
		in.Expected = slots[count-1].In
	}
	decide := rs.decide
	if decide == nil {
		decide = locality.Decide
	}
	d := decide(in)
	if d.Wait <= 0 {
		// The other tasks of the step have later slots. Those that have waited less may still wait.
		p.rackChoice.noMoreWaits = d.Reason != locality.Exhausted && in.Waited == 0
		return false
	}
	if w.waitingSince.IsZero() {
		w.waited, w.waitingSince = in.Waited, p.at.Now
		rs.counts.Waits++
	}
	w.rack, w.limit, w.reason, w.expected, w.until = rack, d.WaitLimit, d.Reason, in.Expected, p.at.Now.Add(d.Wait)
	rs.setWait(id, w)
	if p.expectedStarts == nil {
		p.expectedStarts = make(map[*node][]expectedStart)
	}
	for _, s := range slots[:min(count, len(slots))] {
		n := p.rackChoice.workers[s.Worker]
		p.expectedStarts[n] = append(p.expectedStarts[n], expectedStart{step: p.step, startsIn: s.In, runTime: in.RunTime})
	}
	return true
}

// timeLeft returns the time within which a task that starts now must be done for the
// submission to meet its objective; negative if that is impossible.
func (p *placement) timeLeft(runTime time.Duration, e *estimate.Submission) time.Duration {
	sub, accepted := p.ws.sub, p.ws.sub.Accepted
	if due := sub.DueAt(p.ws.occurrence); !due.IsZero() {
		accepted = p.at.Log.Add(due.Sub(p.at.Wall))
	}
	return accepted.Add(e.Objective(sub)).Sub(p.at.Log) - (e.Path(p.ws.step) - runTime)
}

// startWithin returns the time from now within which a task of the submission must start
// anywhere: one without active runs in a lightly loaded pool may wait for at most
// _maxStarvation, also for other reasons. It has been idle since its latest run ended
// (steady clock) or, without one, since it was accepted (log time), but not since before the
// occurrence was due (wall-clock time). Each is compared with the present time of its clock.
func (p *placement) startWithin() time.Duration {
	sub := p.ws.sub
	if !p.lightlyLoaded[sub.Service] || sub.ActiveRuns() > 0 || p.started[sub.ID] {
		return locality.Never
	}
	idle := p.at.Log.Sub(sub.Accepted)
	if since, ok := p.rackState.idleSince[sub.ID]; ok {
		idle = p.at.Now.Sub(since)
	}
	if due := sub.DueAt(p.ws.occurrence); !due.IsZero() {
		idle = min(idle, p.at.Wall.Sub(due))
	}
	return max(_maxStarvation-idle, 0)
}
