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

// _vanishAfter is how long a confirmed run must be missing from the listings
// until it counts as lost. The other members of a gang that has ended as done
// are not listed, and the leader hears of the end within that time.
const _vanishAfter = time.Second

// Times that a run's progress stands still until the leader is told. Progress is
// listed in percent: a sound task moves by one in a hundredth of its run time,
// which estimates miss by a few times and slow workers stretch by up to ten.
const (
	_stallLeast = 800 * time.Millisecond // a restart from a checkpoint takes up to 600 ms
	_stallMost  = 3 * time.Second        // the slowest sound tasks move by one percent in about a second
	_stallShare = 10                     // of the estimate: one part in so many
)

// stallAfter returns how long the run's progress may stand still.
func (o *order) stallAfter() time.Duration {
	if o.estimate <= 0 || o.share <= 0 {
		return _stallMost
	}
	return min((_stallLeast+o.estimate/_stallShare)*_fullShare/time.Duration(o.share), _stallMost)
}

// holdLoop renews the worker's lease and takes in its lists.
func (r *Runner) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		life, h, ok := r.nextHold()
		if !ok {
			r.awaitHold(ctx, _holdWait)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, h.Wait+_callLimit)
		sent := clock.Now()
		list, err := r.worker.Hold(callCtx, life.ID, h)
		cancel()
		r.held(ctx, life, sent, list, err)
		if err != nil {
			r.awaitHold(ctx, _retryPause)
		}
	}
}

func (r *Runner) awaitHold(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-r.wakeHold:
	case <-t.C:
	}
}

// nextHold returns the next hold. ok is false if there is no worker.
func (r *Runner) nextHold() (Life, Hold, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == (Life{}) || r.departed && r.lease.over(clock.Now()) {
		return Life{}, Hold{}, false
	}
	h := Hold{Term: r.term, LastSeen: r.taken, Wait: r.holdWait()}
	// A worker that does not answer must not keep its runs for longer.
	if !r.silent && !r.departed {
		h.Until, _ = r.lease.next(clock.Now())
	}
	return r.life, h, true
}

// holdWait returns how long a listing may wait for an end. The lock is held.
func (r *Runner) holdWait() time.Duration {
	if !r.listed || r.silent || !r.lease.known || r.unconfirmed() {
		return 0
	}
	return _holdWait
}

// unconfirmed reports whether a run has to be looked for. The lock is held.
func (r *Runner) unconfirmed() bool {
	for _, o := range r.orders {
		if o.started && !o.gone.IsZero() {
			return true
		}
	}
	return false
}

// held takes in the answer to a hold that was sent at the given time.
func (r *Runner) held(ctx context.Context, life Life, sent time.Time, list Listing, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life != life {
		return
	}
	now := clock.Now()
	if err != nil {
		r.unanswered(now, err)
		return
	}
	if list.Born != 0 && list.Born != life.Born {
		return // the next life, which has not announced itself yet
	}
	if r.silent {
		r.log.Emit(event.TargetBack, event.Fields{"worker": r.key(life)}, "the worker answers again")
		wake(r.wakeReport)
	}
	r.tries, r.silent = 0, false
	r.lease.read(list.Clock, now)
	first := !r.listed
	r.listed = true
	r.takeLists(now, sent, list)
	r.pace(ctx, life, now, list)
	if first {
		wake(r.wakeReport)
	}
}

// unanswered notes a listing without an answer. Once the worker's lease is
// over for certain, its runs are. The lock is held.
func (r *Runner) unanswered(now time.Time, err error) {
	if errors.Is(err, ErrFenced) {
		return // it has answered; the term comes with the leader's next order
	}
	r.tries++
	if r.tries >= _silentTries && !r.silent {
		r.silent = true
		r.log.Emit(event.TargetSilent, event.Fields{"worker": r.key(r.life), "error": err.Error()},
			"the worker does not answer; its lease is not renewed")
		wake(r.wakeReport)
	}
	if !r.silent || !r.lease.over(now) {
		return
	}
	for _, o := range r.orders {
		r.refuse(o, submission.Lapsed)
	}
}

// takeLists compares the worker's lists with the orders. The lock is held.
func (r *Runner) takeLists(now, sent time.Time, list Listing) {
	active := make(map[submission.RunID]bool, len(list.Active))
	for _, a := range list.Active {
		active[a.Run] = true
		o := r.orders[a.Run]
		if o == nil {
			if _, refused := r.refused[a.Run]; refused {
				continue
			}
			o = &order{run: a.Run, since: now, share: _unknownShare}
			r.orders[a.Run] = o
		}
		o.started, o.gone = true, time.Time{}
		r.noteProgress(now, o, a)
		if a.Saved != "" && a.Saved != r.saved[a.Run] {
			r.saved[a.Run] = a.Saved
			r.unsent[a.Run] = true
		}
	}
	for _, e := range list.Ends {
		delete(active, e.Run)
		if e.Number <= r.highest {
			continue
		}
		r.highest = e.Number
		r.forget(e.Run)
		r.ends = append(r.ends, e)
		wake(r.wakeReport)
	}
	r.findVanished(now, sent, active)
}

// noteProgress notes how far a run is, and whether it stands still although it
// may work. The lock is held.
func (r *Runner) noteProgress(now time.Time, o *order, a ListedRun) {
	if a.Percent != o.percent || o.share <= 0 || o.moving.IsZero() || o.pacing.Serves || !o.described {
		o.percent, o.moving = a.Percent, now
	}
	stalled := now.Sub(o.moving) >= o.stallAfter()
	if stalled != o.stalled {
		o.stalled = stalled
		r.unsent[o.run] = true
		wake(r.wakeReport)
	}
}

func (r *Runner) forget(run submission.RunID) {
	delete(r.orders, run)
	delete(r.saved, run)
	delete(r.unsent, run)
}

// findVanished gives up confirmed runs that the worker lists neither as active
// nor as ended. A listing that was asked for before the confirmation does not
// count. The lock is held.
func (r *Runner) findVanished(now, sent time.Time, active map[submission.RunID]bool) {
	for run, o := range r.orders {
		if active[run] || !o.started || !sent.After(o.since) {
			continue
		}
		switch {
		case o.stop:
			r.refuse(o, submission.Stopped)
		case o.gone.IsZero():
			o.gone = now
		case now.Sub(o.gone) >= _vanishAfter:
			r.refuse(o, submission.Lost)
		}
	}
}

// pace carries out what the pacer decides on the latest figures. The lock is
// held.
func (r *Runner) pace(ctx context.Context, life Life, now time.Time, list Listing) {
	tasks := make([]pacing.Task, 0, len(list.Active))
	orders := make([]*order, 0, len(list.Active))
	for _, a := range list.Active {
		o := r.orders[a.Run]
		if o == nil || !o.described {
			continue // adopted, and the leader has not told what it is yet
		}
		t := o.pacing
		t.Percent, t.Figure = o.share, a.Figure
		tasks = append(tasks, t)
		orders = append(orders, o)
	}
	r.noteFigures(tasks, orders)
	for _, d := range r.pacer.Decide(now, tasks, r.presses) {
		o := orders[d.Index]
		if o.asked {
			continue // one call at a time, so that none overtakes another
		}
		o.asked = true
		r.log.Emit(event.RunPaced, event.Fields{"task": o.run.Task.String(), "run": o.run.Number, "percent": d.Percent, "worst": d.Worst},
			"a run was paced")
		term := r.term
		r.tasks.Go(func() { r.paceRun(ctx, life, o, d.Percent, term) })
	}
}

// noteFigures keeps what the leader learns the images' disturbance from. The
// lock is held.
func (r *Runner) noteFigures(tasks []pacing.Task, orders []*order) {
	type step struct {
		submission string
		number     int
	}
	strains, loads, tasksOf := make(map[step]*pb.Strain), make(map[string]*pb.ImageLoad), make(map[step]int64)
	r.strains, r.loads = nil, nil
	for i, t := range tasks {
		switch id := orders[i].run.Task; {
		case t.Serves && t.TailTarget > 0:
			k := step{submission: id.Submission, number: id.Step}
			if strains[k] == nil {
				strains[k] = &pb.Strain{Submission: id.Submission, Step: int64(id.Step), Image: t.Image}
				r.strains = append(r.strains, strains[k])
			}
			strains[k].Percent += t.Figure * 100 / max(t.TailTarget.Milliseconds(), 1)
			tasksOf[k]++
		case t.Fills:
			if loads[t.Image] == nil {
				loads[t.Image] = &pb.ImageLoad{Image: t.Image}
				r.loads = append(r.loads, loads[t.Image])
			}
			loads[t.Image].Cpu += t.Figure
		}
	}
	for k, n := range tasksOf {
		strains[k].Percent /= n
	}
	if len(r.strains) == 0 {
		r.loads = nil // nothing to learn from
	}
}

// paceRun sets the share of one run. A call without an answer is repeated with
// the next figures.
func (r *Runner) paceRun(ctx context.Context, life Life, o *order, percent int, term uint64) {
	callCtx, cancel := context.WithTimeout(ctx, _callLimit)
	defer cancel()
	err := r.worker.Pace(callCtx, life.ID, o.run, percent, term)
	r.mu.Lock()
	defer r.mu.Unlock()
	o.asked = false
	if err == nil && o.share != percent {
		o.share = percent
		r.unsent[o.run] = true
	}
}
