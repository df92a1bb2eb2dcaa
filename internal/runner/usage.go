package runner

import "github.com/gentianrail/gentianrail/submission"

// usage is what tracked runs take of the worker.
type usage struct {
	needs  submission.Resources // of the runs that the worker has or that are being started or stopped
	strays int                  // runs that are being stopped and whose resources are unknown
}

func (u usage) add(o usage) usage {
	return usage{needs: u.needs.Add(o.needs), strays: u.strays + o.strays}
}

func (u usage) sub(o usage) usage {
	return usage{needs: u.needs.Sub(o.needs), strays: u.strays - o.strays}
}

// usage returns what the run takes of the worker.
func (tr *trackedRun) usage() usage {
	var u usage
	if tr.confirmed || tr.startCalled {
		u.needs = tr.needs
	}
	if tr.confirmed && tr.stopOrdered && !tr.described {
		u.strays = 1
	}
	return u
}

// track adds a run that is not tracked. r.mu must be held.
func (r *Runner) track(tr *trackedRun) {
	r.runs[tr.run] = tr
	r.recount(tr)
}

// untrack removes a run, if it is tracked. r.mu must be held.
func (r *Runner) untrack(run submission.RunID) {
	tr := r.runs[run]
	if tr == nil {
		return
	}
	delete(r.runs, run)
	r.usage = r.usage.sub(tr.counted)
	tr.counted = usage{}
}

// recount updates the usage after a change of a run's state. A run that is no longer
// tracked takes nothing. r.mu must be held.
func (r *Runner) recount(tr *trackedRun) {
	if r.runs[tr.run] != tr {
		return
	}
	u := tr.usage()
	r.usage = r.usage.sub(tr.counted).add(u)
	tr.counted = u
}
