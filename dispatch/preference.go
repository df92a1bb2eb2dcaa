package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/estimate"
	"github.com/gentianrail/gentianrail/locality"
	"github.com/gentianrail/gentianrail/submission"
)

// preference is the state of the decisions about the tasks of one placement.
type preference struct {
	rack     string // for the first task of a rack-local step; empty for none
	rejected bool   // the step's other tasks do not wait either
	slots    []locality.Slot
	workers  []*node // of the slots
	searched bool    // slots is set
	used     int     // slots for which tasks wait
	waiting  int     // tasks that wait
	// The round had a start of the submission before the placement.
	startedBefore bool
}

// mayPrefer reports whether the tasks of the step may wait for a rack. Steps that need
// tickets do not: whether a worker of the rack will be approved is not known.
func (p *placement) mayPrefer() bool {
	return p.preferences.isEnabled() && !p.step.LongRunning && !p.ws.sub.NeedsAdvice && (p.step.RackLocal || p.step.DataRack != "")
}

// preferRack chooses the rack for the first task of a rack-local step: the one that can
// hold all tasks, now or the soonest.
func (p *placement) preferRack(rec *submission.StepRecord) {
	if !p.preferences.isEnabled() || !p.step.RackLocal || p.step.DataRack != "" || len(p.onRack) > 0 {
		return
	}
	tasks := min(rec.WaitingTasks(), _maxSlots)
	var options []rackOption
	room := 0
	for _, rack := range p.searchRacks() {
		slots, _ := p.rackSlots(rack, min(2*tasks, _maxSlots), false)
		o := rackOption{rack: rack, holds: locality.Never, now: min(len(slots), tasks), surplus: max(len(slots)-tasks, 0)}
		if o.now == tasks {
			o.holds = 0
		}
		options, room = append(options, o), room+o.now
	}
	if room == 0 || p.step.Gang && room < tasks {
		return // nothing starts now
	}
	if !slices.ContainsFunc(options, func(o rackOption) bool { return o.holds == 0 }) {
		for i := range options {
			if slots, _ := p.rackSlots(options[i].rack, tasks, true); len(slots) == tasks {
				options[i].holds = slots[tasks-1].In
			}
		}
	}
	p.preference.rack = slices.MinFunc(options, func(a, b rackOption) int {
		return cmp.Or(cmp.Compare(a.holds, b.holds), cmp.Compare(b.now, a.now), cmp.Compare(a.surplus, b.surplus), cmp.Compare(a.rack, b.rack))
	}).rack
}

// rackOption is a rack that may be chosen for a rack-local step.
type rackOption struct {
	rack    string
	holds   time.Duration // until the rack holds all tasks; locality.Never if that is unknown
	now     int           // tasks that it holds now
	surplus int           // further tasks that it holds now, up to as many as the step has
}

// searchedRack returns the rack with which the search for workers begins.
func (p *placement) searchedRack() string {
	if p.preferences.isEnabled() && p.step.RackLocal {
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
	rack, count := p.preference.rack, 0
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
	if !p.mayPrefer() || p.step.Gang || p.preference.rejected || p.mover.destination(id) != "" {
		return false
	}
	t := p.ws.sub.Task(id)
	rack := p.preferredRack()
	if rack == "" || rack == n.Rack || t.FailedRuns > 0 || t.Checkpoint != "" || p.step.Isolation(t) > 0 {
		// A task that has failed avoids workers. Of one that has saved progress the
		// remaining run time is not known.
		return false
	}
	f := &p.preference
	if !f.searched {
		slots, workers := p.rackSlots(rack, min(p.ws.record().WaitingTasks(), _maxSlots), true)
		// The tasks have not started in the slots that seem to be free: something else prevents it.
		f.slots = slices.DeleteFunc(slots, func(s locality.Slot) bool { return s.In <= 0 })
		f.workers, f.searched = workers, true
	}
	var slots []locality.Slot
	if f.used < len(f.slots) {
		slots = f.slots[f.used : f.used+1]
	}
	if !p.decideWait(id, rack, slots, 1, p.unhealthy[n.Incarnation]) {
		return false
	}
	f.used++
	p.unplaced = 1
	return true
}

// gangWaitsForRack reports whether a gang waits for a rack that can hold all of its tasks
// instead of the starts from index firstStart on.
func (p *placement) gangWaitsForRack(firstStart int) bool {
	starts := p.starts[firstStart:]
	if !p.mayPrefer() || len(starts) == 0 {
		return false
	}
	rack, onRack, unhealthy := p.preferredGangRack(starts), 0, false
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
	p.started[p.ws.sub.ID] = p.preference.startedBefore
	slots, workers := p.rackSlots(rack, len(all), true)
	p.preference.slots, p.preference.workers = slots, workers
	if p.decideWait(all[0].Run.Task, rack, slots, len(all), unhealthy) {
		p.unplaced = len(all)
		return true
	}
	p.redoStarts(all)
	return false
}

// preferredGangRack returns the rack for which a gang may wait. It was chosen before the
// starts.
func (p *placement) preferredGangRack(starts []submission.Start) string {
	if p.step.DataRack != "" {
		return p.step.DataRack
	}
	for _, st := range starts[1:] {
		if p.pool.nodes[st.Worker].Rack != p.pool.nodes[starts[0].Worker].Rack {
			return p.preference.rack
		}
	}
	return "" // all on one rack, whichever it is
}

// redoStarts adds starts that were undone.
func (p *placement) redoStarts(starts []submission.Start) {
	p.started[p.ws.sub.ID] = true
	for _, st := range starts {
		n := p.pool.nodes[st.Worker]
		p.starts = append(p.starts, st)
		n.addRuns(p.step, 1)
		p.onWorker[st.Worker]++
		if p.step.RackLocal {
			p.onRack[n.Rack]++
		}
	}
}

// decideWait decides whether a task waits for the last of count slots of a rack, and
// records the wait. A gang waits under its first task.
func (p *placement) decideWait(id submission.TaskID, rack string, slots []locality.Slot, count int, restartLikely bool) bool {
	f, sub := &p.preferences, p.ws.sub
	w := f.wait(p.at, sub, id)
	e := p.times.Submission(p.at.Now, sub)
	in := locality.Input{
		Penalty: f.penalty, RestartLikely: restartLikely, Expected: locality.Never,
		Used: w.usedAt(p.at.Now), Bound: w.bound, StartWithin: p.startWithin(),
	}
	median, deviation := e.Step(p.ws.step)
	in.RunTime, in.Deviation = locality.Mean(median, deviation), deviation
	in.TimeLeft = p.timeLeft(median, e)
	if len(slots) >= count {
		in.Expected = slots[count-1].In
	}
	decide := f.decide
	if decide == nil {
		decide = locality.Decide
	}
	d := decide(in)
	if d.Wait <= 0 {
		// The other tasks of the step have later slots. Those that have waited less may still wait.
		p.preference.rejected = d.Reason != locality.Exhausted && in.Used == 0
		return false
	}
	if w.since.IsZero() {
		w.used, w.since = in.Used, p.at.Now
		f.counts.Waits++
	}
	w.rack, w.bound, w.reason, w.expected, w.until = rack, d.Bound, d.Reason, in.Expected, p.at.Now.Add(d.Wait)
	f.record(id, w)
	if p.rackWaiters == nil {
		p.rackWaiters = make(map[*node][]rackWaiter)
	}
	for _, s := range slots[:min(count, len(slots))] {
		n := p.preference.workers[s.Worker]
		p.rackWaiters[n] = append(p.rackWaiters[n], rackWaiter{step: p.step, in: s.In, runs: in.RunTime})
	}
	p.preference.waiting += count
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

// startWithin returns the time within which a task of the submission must start anywhere:
// one without an active run in a lightly loaded pool may wait for at most _maxStarvation,
// also for other reasons.
func (p *placement) startWithin() time.Duration {
	sub := p.ws.sub
	if !p.lightlyLoaded[sub.Service] || sub.ActiveRuns() > 0 || p.started[sub.ID] {
		return locality.Never
	}
	idle := p.at.Log.Sub(sub.Accepted)
	if since, ok := p.preferences.idleSince[sub.ID]; ok {
		idle = p.at.Now.Sub(since)
	}
	if due := sub.DueAt(p.ws.occurrence); !due.IsZero() {
		idle = min(idle, p.at.Wall.Sub(due))
	}
	return max(_maxStarvation-idle, 0)
}
