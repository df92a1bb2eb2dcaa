package controller

import (
	"strconv"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

const (
	_freshFor    = 900 * time.Millisecond // until a run shows in the figures, which cover half a second and come every 400 ms
	_pressMoved  = 20                     // percent of the demand by which a press has to change until agents are told
	_forgetEvery = 5 * time.Second        // between two looks for what is no longer seen
)

// takeFigures learns from how the worker's serving tasks fare beside what
// fills.
func (c *Core) takeFigures(now time.Time, p *session, in *pb.AgentReport) {
	if !p.listed {
		return
	}
	strains := make([]interference.Strain, 0, len(in.GetStrains()))
	for _, s := range in.GetStrains() {
		strains = append(strains, interference.Strain{
			Step: s.GetSubmission() + "." + strconv.FormatInt(s.GetStep(), 10), Image: s.GetImage(), Percent: int(s.GetPercent()),
		})
	}
	p.worker.Strains, p.worker.Loads = strains, nil
	if p.worker.Capacity.CPU <= 0 || len(strains) == 0 {
		return
	}
	loads := make([]interference.Load, 0, len(in.GetLoads()))
	for _, l := range in.GetLoads() {
		loads = append(loads, interference.Load{Image: l.GetImage(), Share: float64(l.GetCpu()) / float64(p.worker.Capacity.CPU)})
	}
	p.worker.Loads = loads
	c.sessions.known.Seen(now, p.worker.Life, strains, loads)
	if now.Sub(c.sessions.forgot) >= _forgetEvery {
		c.sessions.forgot = now
		c.sessions.known.Forget(now)
	}
}

// newPresses returns what the agent has not been told of the pairs of images on
// its worker.
func (c *Core) newPresses(p *session) []*pb.Press {
	u := c.machine.Submissions().Usage(p.worker.Life)
	if u == nil || u.Serving == 0 || u.Filling == 0 {
		return nil
	}
	var out []*pb.Press
	looked := make(map[interference.Pair]bool)
	for run, s := range u.Runs {
		step := &s.Steps[run.Task.Step]
		if !step.Fills() {
			continue
		}
		for image := range u.Images {
			pair := interference.Pair{Fills: step.Image, Serves: image}
			if looked[pair] {
				continue
			}
			looked[pair] = true
			percent := int(100 * c.sessions.known.Press(pair))
			old, told := p.presses[pair]
			switch {
			case !told:
				old = -1
			case max(old-percent, percent-old) < _pressMoved:
				continue
			}
			p.presses[pair] = percent
			c.log.Emit(event.PressLearnt, event.Fields{
				"worker": p.worker.Life, "fills": pair.Fills, "serves": pair.Serves, "percent": percent, "before": old,
			}, "an agent is told how much an image disturbs another")
			out = append(out, &pb.Press{Fills: pair.Fills, Serves: pair.Serves, Percent: int64(percent)})
		}
	}
	return out
}

// freshLoads returns the loads of runs that began so lately that the worker's
// figures do not show them.
func (c *Core) freshLoads(now time.Time, p *session) []interference.Load {
	u := c.machine.Submissions().Usage(p.worker.Life)
	if u == nil || u.Serving == 0 || u.Filling == 0 || p.worker.Capacity.CPU <= 0 {
		return nil
	}
	var out []interference.Load
	for run, s := range u.Runs {
		if step := &s.Steps[run.Task.Step]; step.Fills() && c.isFresh(now, run) {
			out = append(out, interference.Load{Image: step.Image, Share: float64(step.Needs.CPU) / float64(p.worker.Capacity.CPU)})
		}
	}
	return out
}

func (c *Core) isFresh(now time.Time, run submission.RunID) bool {
	began, ok := c.sessions.begun[run]
	return ok && now.Sub(began) < _freshFor
}
