package runner

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/submission"
)

// candidate is an announced incarnation that the worker has not confirmed yet.
//
// An announcement alone does not show which incarnation runs: it may arrive
// seconds late, and the start times of two incarnations do not show their order if
// the machine's wall clock has stepped between them. Taking up an incarnation
// that has ended would end the runs of the one that is running.
type candidate struct {
	announcement Announcement
	polled       bool      // the worker has been asked
	retryAt      time.Time // before which the worker is not asked again
}

// setCandidate stores an announcement of another incarnation than the current
// one. r.mu must be held.
func (r *Runner) setCandidate(a Announcement) {
	if c := r.candidate; c != nil && c.announcement.ID == a.ID && c.announcement.StartTimeMS == a.StartTimeMS && c.announcement.Sequence >= a.Sequence {
		return
	}
	r.candidate = &candidate{announcement: a}
	wake(r.wakePoll)
}

// confirmCandidate asks the worker whether the announced incarnation is the one
// that runs, and takes it up if so.
func (r *Runner) confirmCandidate(ctx context.Context) {
	r.mu.Lock()
	c := r.candidate
	if c == nil || clock.Now().Before(c.retryAt) {
		r.mu.Unlock()
		return
	}
	if !c.polled && (c.announcement.ID == r.incarnation.ID || r.identifiers.token(c.announcement.ID) != (token{})) {
		r.raiseToken()
	}
	c.polled = true
	fence := r.fence()
	r.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, _callTimeout)
	list, err := r.worker.Poll(callCtx, c.announcement.ID, PollRequest{Token: fence})
	cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.candidate != c {
		return // a newer announcement has arrived
	}
	fenced := errors.Is(err, ErrFenced)
	switch {
	case err != nil && !fenced && !errors.Is(err, ErrOtherIncarnation),
		// The answer does not name the incarnation. An agent that knows none has to take
		// one up, since it learns the token from its leader.
		fenced && list.StartTimeMS == 0 && r.incarnation != (Incarnation{}):
		c.retryAt = clock.Now().Add(_retryInterval)
	case errors.Is(err, ErrOtherIncarnation), list.StartTimeMS != 0 && list.StartTimeMS != c.announcement.StartTimeMS:
		r.candidate = nil
		r.log.Emit(event.WorkerIgnored, event.Fields{"worker": c.announcement.ID, "address": c.announcement.Address},
			"announcement ignored: another incarnation of the worker runs")
	default:
		r.adopt(c.announcement)
		r.keepListedRuns(list)
	}
}

// keepListedRuns takes back the ends of runs that the worker lists as it confirms its
// incarnation: it has only changed its identifier. Ends that are not certain wait for further
// listings anyway. r.mu must be held.
func (r *Runner) keepListedRuns(list Listing) {
	keep := func(run submission.RunID) {
		if end, ok := r.inferredEnds[run]; ok && r.isCertain(end) {
			delete(r.inferredEnds, run)
		}
	}
	for _, a := range list.Active {
		keep(a.Run)
	}
	for _, e := range list.Ends {
		keep(e.Run)
	}
}

// adopt makes the announced incarnation the current one. The runs of the former one
// are lost, unless the announced one has carried out their starts: see isCertain. r.mu
// must be held.
func (r *Runner) adopt(a Announcement) {
	incarnation := Incarnation{ID: a.ID, StartTimeMS: a.StartTimeMS}
	former := r.incarnation
	r.log.Emit(event.WorkerAdded, event.Fields{"worker": r.incarnationName(incarnation), "before": r.incarnationName(former)},
		"worker started a new incarnation")
	r.endRuns(submission.Lost, func(*trackedRun) bool { return true })
	inferredEnds := r.inferredEnds // repeated until the leader has recorded them
	for _, e := range r.ends {
		inferredEnds[e.Run] = inferredEnd{
			End:        submission.End{Run: e.Run, Worker: r.incarnationName(former), Reason: e.Reason, Checkpoint: e.Checkpoint},
			callsUntil: e.callsUntil,
			isListed:   true,
		}
	}
	r.reset()
	r.identifiers.record(former.ID, r.token)
	r.formerToken = r.identifiers.token(incarnation.ID)
	if former.ID == incarnation.ID || r.formerToken != (token{}) {
		r.lease.assumeHeld(clock.Now(), r.longestLease())
	}
	r.inferredEnds = inferredEnds
	r.candidate = nil
	r.incarnation = incarnation
	r.setAnnouncement(a)
	wake(r.wakeReport)
	wake(r.wakePoll)
}

// isSettled reports whether it is known which runs of earlier incarnations the current
// one has. An order for an earlier one under the same identifier may start its run on
// the current one, until that has listed its runs under a later token than those of all
// such orders. A leader that does not number its streams does not wait for that. r.mu
// must be held.
func (r *Runner) isSettled() bool {
	return r.formerToken.before(r.listedToken) || r.token.term > 0 && r.token.attachment == 0
}

// isCertain reports whether an inferred end is certain. An incarnation under another
// identifier rejects orders for the former one. Under the same one it refuses the starts of
// earlier streams once it has listed its runs, but a further incarnation does not: a start
// without an answer may be carried out there until it is too late for that. r.mu must be held.
func (r *Runner) isCertain(e inferredEnd) bool {
	if !r.isOfEarlierIncarnation(e.End) || !strings.HasPrefix(e.Worker, r.machine+"/"+r.incarnation.ID+"/") {
		return true
	}
	return r.isSettled() && (e.isListed || !r.listingSentAt.Before(e.callsUntil))
}

// hasLateStarts reports whether a start without an answer may still be carried out whose run
// has an inferred end. The leader would otherwise take the incarnation's lists as proof that
// it does not have the run. r.mu must be held.
func (r *Runner) hasLateStarts() bool {
	for _, e := range r.inferredEnds {
		if !r.isCertain(e) {
			return true
		}
	}
	return false
}

// isOfEarlierIncarnation reports whether an inferred end names an earlier incarnation
// than the current one. r.mu must be held.
func (r *Runner) isOfEarlierIncarnation(e submission.End) bool {
	return e.Worker != r.incarnationName(r.incarnation)
}
