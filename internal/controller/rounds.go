package controller

import (
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// dispatch gives up the runs whose leases are over and starts waiting tasks.
func (c *Core) dispatch(now time.Time) {
	if now.Sub(c.sessions.lastLook) >= _lapseEvery {
		c.sessions.lastLook = now
		c.giveUpLapsed(now)
	}
	if !c.sessions.starting.IsZero() && now.Sub(c.sessions.starting) < _proposedMost || !c.replica.HoldsLease(now) {
		return
	}
	if !c.sessions.changed && now.Before(c.sessions.wakeAt) {
		return
	}
	c.sessions.changed = false
	c.sessions.wakeAt = now.Add(_retryEvery)
	workers := c.openWorkers(now)
	c.summarize(now, workers)
	c.stopRuns(now, workers)
	c.seekAdvice(now, workers)
	starts := dispatch.Starts(now, time.Now(), c.machine.Submissions(), workers, &c.sessions.known, &c.sessions.approvals)
	if len(starts) == 0 {
		return
	}
	c.sessions.starting = now
	c.proposeOwn(now, state.StartRuns{Starts: starts})
}

// stopRuns stops runs that had better go on elsewhere.
func (c *Core) stopRuns(now time.Time, workers []dispatch.Worker) {
	if now.Sub(c.sessions.lastStops) < _stopsEvery {
		return
	}
	c.sessions.lastStops = now
	leaves := make(map[string]dispatch.Leave)
	for life, p := range c.sessions.byLife {
		if p.leaving {
			leaves[life] = dispatch.Leave{Until: p.stays}
		}
	}
	for _, s := range c.sessions.stopper.Stops(now, c.machine.Submissions(), workers, c.sessions.facts, leaves, &c.sessions.known) {
		p := c.sessions.byLife[s.Worker]
		if p == nil || p.stops[s.Run] {
			continue
		}
		c.sessions.stopper.Moved(now, s.Run)
		c.log.Emit(event.RunStopped, event.Fields{
			"submission": s.Run.Task.Submission, "task": s.Run.Task.String(), "run": s.Run.Number, "worker": s.Worker, "reason": s.Reason.String(),
		}, "a run is stopped to go on elsewhere")
		c.orderStop(s.Worker, s.Run)
	}
}

// summarize logs how full the pool is, now and then.
func (c *Core) summarize(now time.Time, workers []dispatch.Worker) {
	if now.Sub(c.sessions.summed) < _summaryEvery {
		return
	}
	c.sessions.summed = now
	s := dispatch.Summarize(now, time.Now(), c.machine.Submissions(), workers)
	strains := make([]int, 0, len(workers))
	for _, w := range workers {
		strains = append(strains, worstOf(w.Strains))
	}
	c.log.Emit(event.PoolState, event.Fields{
		"strains": strains,
		"workers": s.Workers, "shared": s.Shared, "cpu": s.Capacity, "cpu_free": s.Free, "cpu_idle": s.Idle, "serving": s.Serving, "filling": s.Filling,
		"waiting_in_time": s.Waiting[0], "waiting_late": s.Waiting[1], "waiting_too_late": s.Waiting[2],
		"submissions": len(c.machine.Submissions().Unended()),
	}, "the pool's state")
	for _, w := range dispatch.Waits(now, time.Now(), c.machine.Submissions(), workers, &c.sessions.known, _mostWaits) {
		if now.Sub(w.Since) < _waitWorthy {
			continue
		}
		c.log.Emit(event.StepWaits, event.Fields{
			"submission": w.Submission, "occurrence": w.Occurrence, "step": w.Step, "class": w.Class,
			"age_ms": now.Sub(w.Since).Milliseconds(), "obstacles": obstacles(w),
		}, "a step waits; the figures are workers by obstacle")
	}
}

// worstOf returns the highest strain in percent of the target, or -1 if no task
// serves.
func worstOf(strains []interference.Strain) int {
	worst := -1
	for _, s := range strains {
		worst = max(worst, s.Percent)
	}
	return worst
}

func obstacles(w dispatch.Wait) map[string]int {
	out := make(map[string]int, len(w.Obstacles))
	for o, n := range w.Obstacles {
		out[o.String()] = n
	}
	return out
}

// openWorkers returns the workers that can be given tasks now. Without a lease
// a run would be given up while its start is on its way.
func (c *Core) openWorkers(now time.Time) []dispatch.Worker {
	workers := make([]dispatch.Worker, 0, len(c.sessions.byLife))
	for life, p := range c.sessions.byLife {
		_, lapsing := c.sessions.lapsing[life]
		leased := now.Before(c.sessions.granted[life])
		if leased && !lapsing && p.listed && now.Sub(p.heard) < _recentReport {
			w := p.worker
			c.sessions.health.Judge(now, &w)
			w.Fresh = c.freshLoads(now, p)
			workers = append(workers, w)
		}
	}
	return workers
}

func (c *Core) giveUpLapsed(now time.Time) {
	for _, life := range c.machine.Submissions().Lives() {
		if now.Before(c.sessions.leaseOver(life)) {
			continue
		}
		if since, ok := c.sessions.lapsing[life]; ok && now.Sub(since) < _proposedMost {
			continue
		}
		c.sessions.lapsing[life] = now
		c.log.Emit(event.WorkerLost, event.Fields{"worker": life}, "the leases of the worker's runs are over; its tasks are placed anew")
		c.proposeEnds(now, c.lostRuns(life, submission.Lapsed))
	}
}
