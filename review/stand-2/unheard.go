package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// Plan of the case.
const (
	_unheardWork = 65 * time.Second       // of the task
	_herdSides   = 5                      // agents that are killed with the controllers: 10 of 19 processes
	_herdDown    = time.Second            // for which they are down
	_workerLoss  = 100 * time.Millisecond // from its first answer after that to the loss of the worker
	_unheardTime = 60 * time.Second       // from the end of the traffic until the run is judged
)

// unheard kills many processes at once, starts them again, and loses the worker of a task for
// good a moment later, before a controller leads. The worker has answered its agent once by then. The rule LOST: from finish_s after the end of
// the traffic on, no submission has nothing running for 3 s while there is capacity.
func unheard(r *record, trouble bool) ([]string, error) {
	d, f, err := startSmall(r, 0)
	if d != nil {
		defer d.remove()
	}
	if err != nil {
		return nil, err
	}
	q := newRoute("plans")
	q.TargetMS, q.Priority = 1000, 2
	if err := d.replaceConfig(d.configBody([]route{q})); err != nil {
		return nil, err
	}
	name, err := d.submit(f, q, step{Count: 1, CPU: 1800, MemMB: 3200, EstimatedMS: _unheardWork.Milliseconds()}, behaviour{duration: _unheardWork, cpu: 1800})
	if err != nil {
		return nil, err
	}
	traffic := clock.Now() // its end
	if err := waitFor(5*time.Second, "the task", func() bool { return f.running(name) == 1 }); err != nil {
		return nil, err
	}
	time.Sleep(_beforeLoss)
	if trouble {
		w := f.holder(name)
		if err := d.restartHerd(w.m); err != nil {
			return nil, err
		}
		before := w.answeredHolds()
		if err := waitFor(5*time.Second, "a call of the agent", func() bool { return w.answeredHolds() > before }); err != nil {
			return nil, err
		}
		time.Sleep(_workerLoss)
		w.lose()
	}
	longest := f.nothingRuns(name, traffic, _unheardTime)
	if longest >= _nothingRuns {
		return []string{fmt.Sprintf("%s has had nothing running for %s on end, with ten idle workers", name, longest.Round(time.Millisecond))}, nil
	}
	return nil, nil
}

func (w *worker) answeredHolds() int {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	return w.holds
}

// restartHerd kills all controllers and some agents, the given one among them, at the same
// moment and starts them again.
func (d *deployment) restartHerd(agent *machine) error {
	herd := append(slices.Clone(d.core), agent)
	for _, m := range d.sides {
		if m != agent && len(herd) < len(d.core)+_herdSides {
			herd = append(herd, m)
		}
	}
	for _, m := range herd {
		m.signal(syscall.SIGKILL)
		d.r.logf("%s is killed", m.name)
	}
	for _, m := range herd {
		<-m.done
	}
	time.Sleep(_herdDown)
	for _, m := range herd {
		if err := d.start(m, false); err != nil {
			return err
		}
	}
	d.r.logf("they start again")
	return nil
}

// nothingRuns returns the longest time for which no run of a step is on a worker that is up,
// from finish_s after the end of the traffic on.
func (f *fleet) nothingRuns(step string, traffic time.Time, observed time.Duration) (longest time.Duration) {
	var since time.Time
	for now := clock.Now(); now.Sub(traffic) < observed; now = clock.Now() {
		time.Sleep(50 * time.Millisecond)
		if now.Sub(traffic) < _finish || f.running(step) > 0 {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = now
		}
		longest = max(longest, now.Sub(since))
	}
	f.r.logf("longest time with nothing running, from finish_s after the end of the traffic on: %s", longest.Round(time.Millisecond))
	return longest
}
