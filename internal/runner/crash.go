package runner

import (
	"errors"
	"time"

	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/submission"
)

// _maxUnclearFailures is the number of failed polls that say nothing about the
// worker's process although it has crashed: the connection in use breaks once.
const _maxUnclearFailures = 1

// outage is a series of polls that failed. The zero value is no outage.
type outage struct {
	since   time.Time // first failure; zero for no outage
	refused int       // polls that showed that the incarnation's process is gone
	unclear int       // polls without an answer; after a partition all are
}

// record adds a failed poll.
func (o *outage) record(now time.Time, err error) {
	if o.since.IsZero() {
		o.since = now
	}
	if errors.Is(err, ErrRefused) || errors.Is(err, ErrOtherIncarnation) {
		o.refused++
		return
	}
	o.unclear++
}

// isCrash reports whether the polls show that the worker's process has ended at
// the beginning of the outage. A worker behind a partition does not answer, but
// refuses no connection.
func (o *outage) isCrash() bool { return o.refused > 0 && o.unclear <= _maxUnclearFailures }

// endRuns infers the ends of the runs for which hasEnded is true. r.mu must be held.
func (r *Runner) endRuns(reason submission.EndReason, hasEnded func(*trackedRun) bool) {
	crashed := r.outage.isCrash() && !r.isLeaving()
	runs := 0
	for _, tr := range r.runs {
		if !hasEnded(tr) {
			continue
		}
		if !crashed || !tr.mayHaveStarted(r.outage.since) {
			r.inferEnd(tr, reason)
			continue
		}
		runs++
		r.inferEnd(tr, submission.Crashed)
		if !tr.startedAt.IsZero() {
			end := r.inferredEnds[tr.run]
			end.Ran = r.outage.since.Sub(tr.startedAt)
			r.inferredEnds[tr.run] = end
		}
	}
	if runs > 0 {
		r.log.Emit(event.WorkerCrashed, event.Fields{
			"worker": r.incarnationName(r.incarnation), "runs": runs, "refused": r.outage.refused, "unclear": r.outage.unclear,
		}, "worker has crashed; its runs are lost")
	}
}

// mayHaveStarted reports whether a start order may have reached the worker before
// the given time. A run without a start time was confirmed by a listing.
func (tr *trackedRun) mayHaveStarted(at time.Time) bool {
	if tr.startedAt.IsZero() {
		return tr.confirmed
	}
	return tr.startedAt.Before(at)
}
