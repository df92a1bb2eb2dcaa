package controller

import (
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// dispatchTasks ends the runs whose leases have expired and starts waiting tasks.
func (c *Core) dispatchTasks(now time.Time) {
	c.sessions.dropSilentWorkers(now)
	if now.Sub(c.sessions.lastLeaseCheck) >= _runLeaseCheckInterval {
		c.sessions.lastLeaseCheck = now
		c.endExpiredRuns(now)
		c.updateLateRuns(now)
		c.recordSettledRuns(now)
	}
	if !c.sessions.startsProposedAt.IsZero() && now.Sub(c.sessions.startsProposedAt) < _proposalRetryDelay || !c.holdsLease(now) {
		return
	}
	if !c.sessions.changed && now.Before(c.sessions.nextRound) {
		return
	}
	c.sessions.changed = false
	c.sessions.nextRound = now.Add(_retryInterval)
	at := c.clocks(now, time.Now())
	c.syncEvacuations(now)
	c.logPoolState(at)
	c.stopRuns(at)
	c.requestAdvice(at)
	starts := c.withoutStrays(now, c.sessions.scheduler.Starts(at, c.machine.Submissions()))
	if len(starts) == 0 {
		return
	}
	c.sessions.startsProposedAt = now
	c.proposeOwn(now, state.StartRuns{Starts: starts})
}

// stopRuns stops runs that should continue on another worker.
func (c *Core) stopRuns(at dispatch.Clocks) {
	now := at.Now
	if now.Sub(c.sessions.lastStopCheck) < _stopCheckInterval {
		return
	}
	c.sessions.lastStopCheck = now
	for _, s := range c.sessions.scheduler.Stops(at, c.machine.Submissions()) {
		sess := c.sessions.byIncarnation[s.Worker]
		if sess == nil || sess.orderedStops[s.Run] {
			continue
		}
		c.sessions.scheduler.RecordMove(now, s.Run)
		c.log.Emit(event.RunStopped, event.Fields{
			"submission": s.Run.Task.Submission, "task": s.Run.Task.String(), "run": s.Run.Number, "worker": s.Worker, "reason": s.Reason.String(),
		}, "stopping a run to continue it on another worker")
		c.orderStop(s.Worker, s.Run)
	}
}

// logPoolState logs the usage of the pool and some waiting steps, at most once per
// _poolStateInterval.
func (c *Core) logPoolState(at dispatch.Clocks) {
	if at.Now.Sub(c.sessions.lastPoolState) < _poolStateInterval {
		return
	}
	c.sessions.lastPoolState = at.Now
	s := c.sessions.scheduler.Summary(at, c.machine.Submissions())
	c.log.Emit(event.PoolState, event.Fields{
		"missed_targets": c.sessions.missedTargets,
		"workers":        s.Workers, "shared": s.Shared, "cpu": s.Capacity, "cpu_free": s.Free, "cpu_idle": s.Idle, "serving": s.ServiceRuns, "filling": s.BatchRuns,
		"waiting_in_time": s.Waiting[0], "waiting_late": s.Waiting[1], "waiting_too_late": s.Waiting[2],
		"submissions": c.machine.Submissions().UnendedCount(), "evacuated": s.Evacuated,
	}, "pool state")
	c.sessions.missedTargets = 0
	c.preferredWaits.update(c.sessions.scheduler.PreferenceCounts())
	for _, w := range c.sessions.scheduler.ExplainWaits(at, c.machine.Submissions(), _maxLoggedWaits) {
		age := at.Log.Sub(w.Since)
		if age < _minLoggedWait {
			continue
		}
		fields := event.Fields{
			"submission": w.Submission, "occurrence": w.Occurrence, "step": w.Step, "class": w.LatenessClass,
			"age_ms": age.Milliseconds(), "obstacles": obstacleCounts(w),
		}
		addPreferredWait(fields, at.Now, w.Preferred)
		c.log.Emit(event.StepWaits, fields, "step is waiting")
	}
}

func obstacleCounts(w dispatch.Wait) map[string]int {
	out := make(map[string]int, len(w.Obstacles))
	for o, n := range w.Obstacles {
		out[o.String()] = n
	}
	return out
}

// endExpiredRuns proposes the end of runs whose leases have expired. It looks at
// the leases that were renewed first, and at all workers with runs once a second:
// some may have no lease from this leader.
func (c *Core) endExpiredRuns(now time.Time) {
	c.recordSilence(now)
	for _, incarnation := range c.sessions.expiredLeases(now) {
		c.endRunsWithoutLease(now, incarnation, true)
	}
	if now.Sub(c.sessions.lastLeaseSweep) < _leaseSweepInterval {
		return
	}
	c.sessions.lastLeaseSweep = now
	for _, incarnation := range c.machine.Submissions().Incarnations() {
		c.endRunsWithoutLease(now, incarnation, false)
	}
}

// endRunsWithoutLease proposes the end of the incarnation's runs that have ended for
// certain. If the lease has just expired, it logs the loss of the worker also if there are
// none.
func (c *Core) endRunsWithoutLease(now time.Time, incarnation string, justExpired bool) {
	if now.Before(c.sessions.leaseExpiry(incarnation)) || c.machine.Submissions().Usage(incarnation) == nil {
		return
	}
	if since, ok := c.sessions.expiring[incarnation]; ok && now.Sub(since) < _proposalRetryDelay {
		return
	}
	c.sessions.scheduler.RemoveWorker(incarnation)
	kept := 0
	ends := c.endsOfActiveRuns(incarnation, submission.LeaseExpired, func(run submission.RunID) bool {
		holder, isStray := c.sessions.strayHolders[run]
		if !isStray {
			holder = incarnation
		}
		if !isStray && c.isSettled(run) || c.sessions.lateStarts.hasEnded(now, c.sessions.leaseExpiry(holder), run) {
			return false
		}
		kept++
		return true
	})
	if len(ends) > 0 || justExpired {
		c.log.Emit(event.WorkerLost, event.Fields{
			"worker": incarnation, "runs": len(ends), "kept": kept, "lease_expired_ms": now.Sub(c.sessions.leaseExpiry(incarnation)).Milliseconds(),
		},
			"leases of the worker's runs expired; rescheduling the tasks, except of the kept runs, which a late call may still start")
	}
	if len(ends) > 0 {
		c.sessions.expiring[incarnation] = now
		c.proposeEnds(now, ends)
	}
}
