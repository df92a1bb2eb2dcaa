package runner

import (
	"context"
	"errors"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/pacing"
	"github.com/gentianrail/gentianrail/submission"
)

// _missingRunTimeout is how long a confirmed run must be missing from the
// complete listings before it counts as lost. After a gang has ended as done, its other
// members are not listed; the leader learns of the gang's end within this time.
const _missingRunTimeout = time.Second

// Timeouts after which a run without progress is reported as stalled. Progress
// is listed in percent: a healthy task advances by one percent in a hundredth of
// its run time. Estimates are wrong by a factor of a few, and slow workers
// increase the run time by a factor of up to ten.
const (
	_minStallTimeout      = 800 * time.Millisecond // a restart from a checkpoint takes up to 600 ms
	_maxStallTimeout      = 3 * time.Second        // the slowest healthy tasks advance by one percent in about a second
	_stallEstimateDivisor = 10                     // the timeout grows by 1/10 of the run's estimate
)

// _minStandstill is the time without a call or result of a poll after which the agent has
// stood still. A poll takes up to 450 ms.
const _minStandstill = 1500 * time.Millisecond

// _maxOutdatedCalls is the time from the start of an incarnation for which an agent may make
// calls that were meant for the former one. An agent that polls learns of the change within
// 1.5 s; one that was frozen makes its next call late.
const _maxOutdatedCalls = 10 * time.Second

// stallTimeout returns how long the run's progress may stay unchanged.
func (tr *trackedRun) stallTimeout() time.Duration {
	if tr.estimate <= 0 || tr.share <= 0 {
		return _maxStallTimeout
	}
	return min((_minStallTimeout+tr.estimate/_stallEstimateDivisor)*_fullShare/time.Duration(tr.share), _maxStallTimeout)
}

// pollLoop renews the worker's lease and processes its listings.
func (r *Runner) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.confirmCandidate(ctx)
		incarnation, req, ok := r.nextPoll()
		if !ok {
			r.waitForPoll(ctx, _pollWait)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, req.Wait+_callTimeout)
		sent := clock.Now()
		list, err := r.worker.Poll(callCtx, incarnation.ID, req)
		cancel()
		if ctx.Err() != nil {
			return // the agent stops, which says nothing about the worker
		}
		if !r.handlePollResult(ctx, incarnation, sent, list, err) {
			r.waitForPoll(ctx, _retryInterval)
		}
	}
}

func (r *Runner) waitForPoll(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-r.wakePoll:
	case <-t.C:
	}
}

// nextPoll returns the next poll. It returns false if there is no worker, or if
// the worker has departed and its lease has expired.
func (r *Runner) nextPoll() (Incarnation, PollRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	r.detectStandstill(now)
	if r.incarnation == (Incarnation{}) {
		return Incarnation{}, PollRequest{}, false
	}
	if r.departed && r.lease.hasExpired(now) {
		r.endExpiredRuns(now)
		return Incarnation{}, PollRequest{}, false
	}
	r.polledToken = r.token
	req := PollRequest{Token: r.fence(), Wait: r.pollWait()}
	if r.failedPolls == 0 && !r.superseded { // the next incarnation numbers its ends anew and must not discard them
		req.LastRecordedEnd = r.lastRecordedEnd
	}
	// An unresponsive worker must not keep its runs beyond its current lease, and for
	// the next incarnation the lease end means another time.
	if !r.isInDoubt() && !r.departed {
		req.LeaseEnd, _ = r.lease.nextEnd(now)
	}
	return r.incarnation, req, true
}

// pollWait returns how long a poll may wait for an end. r.mu must be held.
func (r *Runner) pollWait() time.Duration {
	if !r.listed || r.isInDoubt() || !r.lease.hasClock || r.hasMissingRun() {
		return 0
	}
	if !r.isSettled() {
		return _retryInterval
	}
	return _pollWait
}

// hasMissingRun reports whether the latest listing lacks a confirmed run. r.mu
// must be held.
func (r *Runner) hasMissingRun() bool {
	for _, tr := range r.runs {
		if tr.confirmed && !tr.missingSince.IsZero() {
			return true
		}
	}
	return false
}

// handlePollResult handles the result of a poll that was sent at the given time. It
// reports whether the incarnation has listed its runs.
func (r *Runner) handlePollResult(ctx context.Context, incarnation Incarnation, sent time.Time, list Listing, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.incarnation != incarnation {
		return false
	}
	now := clock.Now()
	r.detectStandstill(now)
	if err != nil {
		r.recordPollFailure(now, err)
		return false
	}
	if list.StartTimeMS != 0 && list.StartTimeMS != incarnation.StartTimeMS {
		r.handleSuperseded(now, list)
		return false
	}
	if r.unresponsive {
		r.log.Emit(event.TargetBack, event.Fields{"worker": r.incarnationName(incarnation)}, "worker answers again")
		wake(r.wakeReport)
	}
	r.failedPolls, r.unresponsive, r.superseded, r.disconnected, r.outage = 0, false, false, false, outage{}
	r.lease.recordWorkerClock(list.Clock, now)
	r.recordListing(now, sent, list)
	r.reconcileRuns(ctx, now, sent, list)
	r.applyPacing(ctx, incarnation, now, list)
	return true
}

// recordListing records that the incarnation has listed its runs, as requested at the time
// sent, and under which token it has listed all of them. r.mu must be held.
func (r *Runner) recordListing(now, sent time.Time, list Listing) {
	if !r.listed {
		r.listed = true
		wake(r.wakeReport)
	}
	if !list.MoreEnds {
		r.listingSentAt = sent
	}
	if list.MoreEnds || r.listedAll && r.listedToken == r.polledToken {
		return
	}
	wasSettled := r.isSettled()
	r.listedAll, r.listedToken = true, r.polledToken
	if !wasSettled && r.formerToken != (token{}) {
		r.lease.assumeHeld(now, r.longestLease()) // by an order for an earlier incarnation
	}
	if !wasSettled && r.isSettled() {
		r.assumeFormerCalls(now, list)
	}
	wake(r.wakeReport)
}

// assumeFormerCalls assumes the lease that a late call of an earlier agent may have given the
// incarnation, which has listed its runs under the token of this agent's stream and so refuses
// such calls from now on. A call for a former incarnation counts on another clock, so the worker
// may have cut its lease to the longest one. That the incarnation has run for longer than such a
// call is late excludes it. r.mu must be held.
func (r *Runner) assumeFormerCalls(now time.Time, list Listing) {
	// The wall clock may have stepped, and only a restart is known to start the worker's clock
	// anew, so the later start of the two counts.
	bornAt := now.Add(-min(list.Clock, now.Sub(time.UnixMilli(r.incarnation.StartTimeMS))))
	latest := r.began // call of an earlier agent for a former incarnation
	if end := bornAt.Add(_maxOutdatedCalls); end.Before(latest) {
		latest = end
	}
	reached := latest.Add(r.callDelay)
	if now.Before(reached) {
		reached = now
	}
	r.lease.assumeHeld(reached, r.longestLease())
}

// handleSuperseded handles a listing by the next incarnation, which has not announced
// itself yet. It may have carried out starts that were meant for the current one. r.mu
// must be held.
func (r *Runner) handleSuperseded(now time.Time, list Listing) {
	if r.supersededBy != list.StartTimeMS {
		r.supersededBy = list.StartTimeMS
		r.raiseToken() // it has seen the token of the starts that were meant for the current one
		wake(r.wakePoll)
		r.lease.assumeHeld(now, r.longestLease())
		r.reportAll()
		r.log.Emit(event.WorkerSuperseded, event.Fields{
			"worker": r.incarnationName(r.incarnation), "started_ms": list.StartTimeMS, "runs": len(list.Active),
		}, "another incarnation of the worker answers")
	}
	for _, a := range list.Active {
		if tr := r.runs[a.Run]; tr != nil {
			tr.heldUntil = now.Add(r.longestLease())
		}
	}
	r.superseded = true
	r.outage.record(now, ErrOtherIncarnation)
	if !r.unresponsive {
		r.unresponsive = true
		wake(r.wakeReport)
	}
	if r.lease.hasExpired(now) { // it is not renewed
		r.endExpiredRuns(now)
	}
}

// recordPollFailure counts a poll without an answer. The runs end once the
// worker's lease has certainly expired. r.mu must be held.
func (r *Runner) recordPollFailure(now time.Time, err error) {
	if errors.Is(err, ErrFenced) {
		return // the worker has answered; the leader's next order carries the term
	}
	r.failedPolls++
	r.outage.record(now, err)
	if !r.disconnected && !errors.Is(err, context.DeadlineExceeded) {
		r.disconnected = true
		r.raiseToken()
	}
	if r.failedPolls >= _maxFailedPolls && !r.unresponsive {
		r.unresponsive = true
		r.raiseToken()
		r.log.Emit(event.TargetSilent, event.Fields{"worker": r.incarnationName(r.incarnation), "error": err.Error()},
			"worker does not answer; lease not renewed")
		wake(r.wakeReport)
	}
	if r.unresponsive && r.lease.hasExpired(now) {
		r.endExpiredRuns(now)
	}
}

// endExpiredRuns infers the ends of the runs whose lease has expired. The lease that
// this agent has sent must have expired. r.mu must be held.
func (r *Runner) endExpiredRuns(now time.Time) {
	r.endRuns(submission.LeaseExpired, func(tr *trackedRun) bool { return !now.Before(tr.heldUntil) })
}

// detectStandstill detects that the agent has stood still, for instance while its machine
// was frozen. The worker may have started again meanwhile and have carried out a start call
// that has no answer, so the lease that this agent has sent proves nothing of such a run.
// r.mu must be held.
func (r *Runner) detectStandstill(now time.Time) {
	if !r.polledAt.IsZero() && now.Sub(r.polledAt) >= _minStandstill {
		for _, tr := range r.runs {
			r.holdUntilSettled(tr)
		}
	}
	r.polledAt = now
}

// holdUntilSettled lets the run's lease end only when no start call without an answer can be
// carried out any more. r.mu must be held.
func (r *Runner) holdUntilSettled(tr *trackedRun) {
	if tr.unansweredAt.IsZero() {
		return
	}
	if end := tr.unansweredAt.Add(r.callDelay + r.longestLease()); end.After(tr.heldUntil) {
		tr.heldUntil = end
	}
}

// settlesIn returns the time after which no call to start the run that has no answer can be
// carried out, and no lease that others have sent or that counts on another clock holds it;
// 0 if that is so already. On the worker's next incarnation such a call would be accepted:
// it has seen no fencing token, and its clock has another origin. r.mu must be held.
func (r *Runner) settlesIn(now time.Time, tr *trackedRun) time.Duration {
	end := r.lease.heldUntil
	if tr.heldUntil.After(end) {
		end = tr.heldUntil
	}
	if !tr.unansweredAt.IsZero() {
		if e := tr.unansweredAt.Add(r.callDelay + r.maxLease); e.After(end) {
			end = e
		}
	}
	return max(end.Sub(now), 0)
}

// reconcileRuns updates the tracked runs from the worker's listing. r.mu must be
// held.
func (r *Runner) reconcileRuns(ctx context.Context, now, sent time.Time, list Listing) {
	r.listedEnds = len(list.Ends)
	active := make(map[submission.RunID]bool, len(list.Active))
	for _, a := range list.Active {
		active[a.Run] = true
		tr := r.runs[a.Run]
		if tr == nil {
			tr = r.trackFoundRun(ctx, now, a.Run)
		}
		if !tr.confirmed {
			r.unreported[a.Run] = true
			tr.confirmed = true
			r.recount(tr)
		}
		tr.missingSince = time.Time{}
		r.updateProgress(now, tr, a)
		if a.Checkpoint != "" && a.Checkpoint != r.checkpoints[a.Run] {
			r.checkpoints[a.Run] = a.Checkpoint
			r.unreported[a.Run] = true
		}
	}
	for _, e := range list.Ends {
		delete(active, e.Run)
		if e.Number <= r.lastListedEnd {
			continue
		}
		r.lastListedEnd = e.Number
		e.callsUntil = r.callsUntil(r.runs[e.Run])
		r.removeRun(e.Run)
		if end, ok := r.inferredEnds[e.Run]; ok {
			e.callsUntil = end.callsUntil
			if r.isOfEarlierIncarnation(end.End) {
				delete(r.inferredEnds, e.Run) // the run has ended here
			}
		}
		r.ends = append(r.ends, e)
		wake(r.wakeReport)
	}
	if !list.MoreEnds { // a run that is not listed may have ended
		r.detectMissingRuns(now, sent, active)
	}
}

// trackFoundRun tracks a run that the worker lists and that the agent does not know. If
// the agent has inferred its end, the run must not go on: the order to start it was
// carried out by a later incarnation, or after its end was inferred. r.mu must be held.
func (r *Runner) trackFoundRun(ctx context.Context, now time.Time, run submission.RunID) *trackedRun {
	tr := &trackedRun{run: run, confirmedAt: now, share: _unknownShare, heldUntil: now.Add(r.longestLease()), unansweredAt: r.began}
	r.track(tr)
	r.unreported[run] = true
	wake(r.wakeReport)
	end, hasInferredEnd := r.inferredEnds[run]
	if !hasInferredEnd {
		return tr
	}
	delete(r.inferredEnds, run)
	tr.unansweredAt = now
	r.log.Emit(event.EndedRunListed, event.Fields{
		"worker": r.incarnationName(r.incarnation), "task": run.Task.String(), "run": run.Number, "how": end.Reason.String(), "ended_on": end.Worker,
	}, "worker lists a run whose end was inferred; stopping the run")
	tr.stopOrdered = true
	r.recount(tr)
	incarnation := r.incarnation
	r.goroutines.Go(func() { r.stopRun(ctx, incarnation, tr) })
	return tr
}

// updateProgress updates a run's progress and whether the run is stalled. Paused
// runs, service tasks and runs that are not described yet do not stall. r.mu
// must be held.
func (r *Runner) updateProgress(now time.Time, tr *trackedRun, a ListedRun) {
	if a.Progress != tr.progress || tr.share <= 0 || tr.progressAt.IsZero() || tr.pacing.IsService || !tr.described {
		tr.progress, tr.progressAt = a.Progress, now
	}
	stalled := now.Sub(tr.progressAt) >= tr.stallTimeout()
	if stalled != tr.stalled {
		tr.stalled = stalled
		r.unreported[tr.run] = true
		wake(r.wakeReport)
	}
}

func (r *Runner) removeRun(run submission.RunID) {
	r.untrack(run)
	delete(r.checkpoints, run)
	delete(r.unreported, run)
}

// detectMissingRuns ends confirmed runs that the worker lists neither as active
// nor as ended. The listing must be complete; one requested before the confirmation
// does not count. r.mu must be held.
func (r *Runner) detectMissingRuns(now, sent time.Time, active map[submission.RunID]bool) {
	for run, tr := range r.runs {
		if active[run] || !tr.confirmed || !sent.After(tr.confirmedAt) {
			continue
		}
		switch {
		case tr.stopOrdered:
			r.inferEnd(tr, submission.Stopped)
		case tr.missingSince.IsZero():
			tr.missingSince = now
		case now.Sub(tr.missingSince) >= _missingRunTimeout:
			r.inferEnd(tr, submission.Lost)
		}
	}
}

// applyPacing carries out the pacer's decisions on the latest listing. r.mu must
// be held.
func (r *Runner) applyPacing(ctx context.Context, incarnation Incarnation, now time.Time, list Listing) {
	tasks := make([]pacing.Task, 0, len(list.Active))
	runs := make([]*trackedRun, 0, len(list.Active))
	for _, a := range list.Active {
		tr := r.runs[a.Run]
		if tr == nil || !tr.described {
			continue // started by an earlier agent; the leader has not described the run yet
		}
		t := tr.pacing
		t.Share, t.Measurement = tr.share, a.Measurement
		tasks = append(tasks, t)
		runs = append(runs, tr)
	}
	r.updateInterferenceStats(tasks, runs)
	r.pacer.SetCapacity(r.announcement.Capacity.CPU)
	for _, d := range r.pacer.Decide(now, tasks, r.coefficients) {
		tr := runs[d.Index]
		if tr.settingShare {
			continue // one call at a time, so that calls cannot overtake each other
		}
		tr.settingShare = true
		r.log.Emit(event.RunPaced, event.Fields{"task": tr.run.Task.String(), "run": tr.run.Number, "percent": d.Share, "worst": d.MaxTailLatency},
			"setting the CPU share of a run")
		fence := r.fence()
		r.goroutines.Go(func() { r.setShare(ctx, incarnation, tr, d.Share, fence) })
	}
}

// updateInterferenceStats replaces the statistics from which the leader estimates
// interference coefficients. r.mu must be held.
func (r *Runner) updateInterferenceStats(tasks []pacing.Task, runs []*trackedRun) {
	type step struct {
		submission string
		number     int
	}
	tailLatencies, loads, taskCounts := make(map[step]*pb.Strain), make(map[string]*pb.ImageLoad), make(map[step]int64)
	r.tailLatencies, r.loads = nil, nil
	for i, t := range tasks {
		switch id := runs[i].run.Task; {
		case t.IsService && t.TailTarget > 0:
			k := step{submission: id.Submission, number: id.Step}
			if tailLatencies[k] == nil {
				tailLatencies[k] = &pb.Strain{Submission: id.Submission, Step: int64(id.Step), Image: t.Image}
				r.tailLatencies = append(r.tailLatencies, tailLatencies[k])
			}
			tailLatencies[k].Percent += t.Measurement * 100 / max(t.TailTarget.Milliseconds(), 1)
			taskCounts[k]++
		case t.IsBatch:
			if loads[t.Image] == nil {
				loads[t.Image] = &pb.ImageLoad{Image: t.Image}
				r.loads = append(r.loads, loads[t.Image])
			}
			loads[t.Image].Cpu += t.Measurement
		}
	}
	for k, n := range taskCounts {
		tailLatencies[k].Percent /= n
	}
	if len(r.tailLatencies) == 0 {
		r.loads = nil // without service tasks no interference shows
	}
}

// setShare sets the share of one run. A call without an answer is repeated after
// the next listing.
func (r *Runner) setShare(ctx context.Context, incarnation Incarnation, tr *trackedRun, percent int, fence uint64) {
	callCtx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	err := r.worker.Pace(callCtx, incarnation.ID, tr.run, percent, fence)
	r.mu.Lock()
	defer r.mu.Unlock()
	tr.settingShare = false
	if err == nil && tr.share != percent {
		tr.share = percent
		r.unreported[tr.run] = true
	}
}
