package controller

import (
	"strconv"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

const (
	// _minCoefficientChange is in percent of the demand. Smaller changes of a
	// coefficient are not sent to agents.
	_minCoefficientChange = 20
	_targetPercent        = 100             // tail latencies are in percent of the target
	_pruneInterval        = 5 * time.Second // between removals of expired interference estimates and samples
)

// recordTailLatencies updates the interference coefficients from the tail
// latencies of the worker's service tasks and the loads of its batch tasks.
func (c *Core) recordTailLatencies(now time.Time, sess *session, in *pb.AgentReport) {
	if !sess.hasLists {
		return
	}
	latencies := make([]interference.TailLatency, 0, len(in.GetStrains()))
	for _, s := range in.GetStrains() {
		latencies = append(latencies, interference.TailLatency{
			Step: s.GetSubmission() + "." + strconv.FormatInt(s.GetStep(), 10), Image: s.GetImage(), Percent: int(s.GetPercent()),
		})
	}
	for _, l := range latencies {
		if l.Percent > _targetPercent {
			c.sessions.missedTargets++
		}
	}
	sess.worker.TailLatencies, sess.worker.Loads = latencies, nil
	if sess.worker.Capacity.CPU <= 0 || len(latencies) == 0 {
		return
	}
	loads := make([]interference.Load, 0, len(in.GetLoads()))
	for _, l := range in.GetLoads() {
		loads = append(loads, interference.Load{Image: l.GetImage(), Share: float64(l.GetCpu()) / float64(sess.worker.Capacity.CPU)})
	}
	sess.worker.Loads = loads
	c.sessions.scheduler.AddSample(now, sess.worker.Incarnation, latencies, loads)
	if now.Sub(c.sessions.lastPrune) >= _pruneInterval {
		c.sessions.lastPrune = now
		c.sessions.scheduler.Prune(now, c.machine.Submissions())
	}
}

// changedCoefficients returns the interference coefficients of the worker's
// image pairs that were not sent to the agent or have changed by at least
// _minCoefficientChange since.
func (c *Core) changedCoefficients(sess *session) []*pb.Press {
	u := c.machine.Submissions().Usage(sess.worker.Incarnation)
	if u == nil || u.ServiceRuns == 0 || u.BatchRuns == 0 {
		return nil
	}
	var out []*pb.Press
	checked := make(map[interference.Pair]bool)
	for run, s := range u.Runs {
		step := &s.Steps[run.Task.Step]
		if !step.IsBatch() {
			continue
		}
		for image := range u.ServiceImages {
			pair := interference.Pair{Batch: step.Image, Service: image}
			if checked[pair] {
				continue
			}
			checked[pair] = true
			percent := int(100 * c.sessions.scheduler.Coefficient(pair))
			old, sent := sess.sentCoefficients[pair]
			switch {
			case !sent:
				old = -1
			case max(old-percent, percent-old) < _minCoefficientChange:
				continue
			}
			sess.sentCoefficients[pair] = percent
			c.log.Emit(event.PressLearnt, event.Fields{
				"worker": sess.worker.Incarnation, "fills": pair.Batch, "serves": pair.Service, "percent": percent, "before": old,
			}, "sending an interference coefficient to an agent")
			out = append(out, &pb.Press{Fills: pair.Batch, Serves: pair.Service, Percent: int64(percent)})
		}
	}
	return out
}
