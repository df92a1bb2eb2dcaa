package dispatch

import (
	"maps"
	"math"
	"slices"

	"github.com/gentianrail/gentianrail/submission"
)

// Forecast is where the tasks of a submission would start if it were accepted now.
type Forecast struct {
	Steps []StepForecast // of occurrence 0
}

// StepForecast is the forecast of one step.
type StepForecast struct {
	Tasks         int
	Ready         bool // its tasks may start now: it depends on no other step and is due
	LatenessClass int  // as in Wait
	Ahead         int  // waiting steps of other submissions that are more urgent
	Starts        []WorkerForecast
	Preferred     *PreferredWait   // nil if no task would wait for its preferred rack
	Obstacles     map[Obstacle]int // as in Wait, after the starts
}

// WorkerForecast is the number of tasks that would start on a worker.
type WorkerForecast struct {
	Worker string // incarnation
	Rack   string
	Tasks  int
}

// Forecast returns where the tasks of a submission would start if it were accepted now,
// after the work that is more urgent. It plays a scheduling round on a copy of the
// scheduler's state; neither the scheduler nor the store changes.
func (s *Scheduler) Forecast(at Clocks, store *submission.Store, sub submission.Submission) Forecast {
	var scratch submission.Store
	scratch.Submit(sub, at.Log)
	trial, _ := scratch.Submission(sub.ID)
	trial.Sequence = math.MaxUint64 // after all others
	c := s.clone()
	r := c.newStartRound(at, store)
	r.trial = trial
	out := Forecast{Steps: make([]StepForecast, len(trial.Steps))}
	for i := range trial.Steps {
		out.Steps[i].Tasks = trial.Steps[i].Count
	}
	steps := c.appendWaitingSteps(slices.Clone(c.waitingSteps(at, store)), at, trial)
	slices.SortFunc(steps, compareUrgency)
	ahead := 0
	for _, ws := range steps {
		switch {
		case ws.sub != trial:
			r.placeStep(ws)
			ahead++
		case ws.occurrence == 0:
			first := len(r.starts)
			r.placeStep(ws)
			out.Steps[ws.step] = r.stepForecast(ws, r.starts[first:])
			out.Steps[ws.step].Ahead = ahead
		}
	}
	return out
}

func (r *round) stepForecast(ws waitingStep, starts []submission.Start) StepForecast {
	w := r.explainWait(ws)
	f := StepForecast{Tasks: ws.sub.Steps[ws.step].Count, Ready: true, LatenessClass: w.LatenessClass, Preferred: w.Preferred, Obstacles: w.Obstacles}
	for _, st := range starts {
		i := slices.IndexFunc(f.Starts, func(o WorkerForecast) bool { return o.Worker == st.Worker })
		if i < 0 {
			i = len(f.Starts)
			f.Starts = append(f.Starts, WorkerForecast{Worker: st.Worker, Rack: r.pool.nodes[st.Worker].Rack})
		}
		f.Starts[i].Tasks++
	}
	return f
}

// clone returns a copy of what a scheduling round reads and changes. What it only reads, the
// copy shares.
func (s *Scheduler) clone() *Scheduler {
	c := *s
	c.pool = s.pool.clone()
	c.times = s.times.Clone()
	c.mover.moves = maps.Clone(s.mover.moves)
	c.cordons = maps.Clone(s.cordons)
	c.steps = nil
	c.cursors = make(map[StepID]*int, len(s.cursors))
	for id, at := range s.cursors {
		c.cursors[id] = new(*at)
	}
	rs := &c.rackState
	rs.waits, rs.idleSince, rs.stepRacks = maps.Clone(rs.waits), maps.Clone(rs.idleSince), maps.Clone(rs.stepRacks)
	return &c
}

// clone returns a copy whose workers are at the same places of the same lists.
func (p *pool) clone() pool {
	c := pool{
		nodes: make(map[string]*node, len(p.nodes)), services: make(map[string]*service, len(p.services)), isolated: make(map[string]*node, len(p.isolated)),
		lostServiceTasks: p.lostServiceTasks,
	}
	for incarnation, n := range p.nodes {
		copied := *n
		copied.serviceImages = maps.Clone(n.serviceImages)
		c.nodes[incarnation] = &copied
	}
	mapped := func(list []*node) []*node {
		out := make([]*node, len(list))
		for i, n := range list {
			out[i] = c.nodes[n.Incarnation]
		}
		return out
	}
	for name, s := range p.services {
		copied := service{totals: s.totals, cursor: s.cursor, byRack: make(map[string][]*node, len(s.byRack)), byLabel: make(map[string][]*node, len(s.byLabel))}
		for i := range s.byFree {
			copied.byFree[i], copied.byIdle[i] = mapped(s.byFree[i]), mapped(s.byIdle[i])
		}
		for rack, list := range s.byRack {
			copied.byRack[rack] = mapped(list)
		}
		for label, list := range s.byLabel {
			copied.byLabel[label] = mapped(list)
		}
		c.services[name] = &copied
	}
	for incarnation := range p.isolated {
		c.isolated[incarnation] = c.nodes[incarnation]
	}
	return c
}
