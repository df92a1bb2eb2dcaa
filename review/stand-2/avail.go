package main

import (
	"fmt"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// Plan of the case.
const (
	_watchTasks     = 2
	_watchTolerance = 1                       // max-unavailable of the step
	_notice         = 4500 * time.Millisecond // notice-ms of the deployment
	_secondWorker   = 3 * time.Second         // from the first task's start to the second worker's
	_watched        = 27 * time.Second
	_crashAfter     = 4 * time.Second // from the start of the second task
	_sampleInterval = 20 * time.Millisecond
)

// availability follows the tasks of a step that lasts.
type availability struct {
	step       string
	lastAtWork map[string]time.Time // by task
	stopped    map[string]bool      // tasks whose latest run a stop order has ended, until they are at work again
	violations []string
}

// sample records which tasks are at work. f.mu must be held.
func (a *availability) sample(f *fleet, now time.Time) {
	for _, w := range f.workers {
		for _, t := range w.tasks {
			if !w.down && t.step() == a.step && t.percent(now) == 100 {
				a.lastAtWork[t.name] = now
				if t.stopping.IsZero() {
					delete(a.stopped, t.name)
				}
			}
		}
	}
}

// handleStop checks a stop of a run. f.mu must be held.
func (a *availability) handleStop(f *fleet, w *worker, t *task) {
	now := clock.Now()
	if t.step() != a.step {
		return
	}
	a.sample(f, now)
	away := 0
	for i := range _watchTasks {
		name := fmt.Sprintf("%s.%d", a.step, i)
		if name != t.name && (a.stopped[name] || now.Sub(a.lastAtWork[name]) >= _notice) {
			away++
		}
	}
	atWork := t.percent(now) == 100
	f.r.logf("stop of %s on %s: at work %t, others away %d", t.name, w.m.name, atWork, away)
	if atWork && away >= _watchTolerance {
		a.violations = append(a.violations, fmt.Sprintf("%s was stopped at work on %s, a sound worker, while %d of the %d tasks of its step was away", t.name, w.m.name, away, _watchTasks))
	}
	if atWork {
		a.stopped[t.name] = true
	}
}

// availabilityOfWatch lets one of the two workers of a standing watch be lost for good. The rule
// AVAIL: no stop ends a task that is at work while max-unavailable others are away.
func availabilityOfWatch(r *record, trouble bool) ([]string, error) {
	d, f, err := startSmall(r, 1)
	if d != nil {
		defer d.remove()
	}
	if err != nil {
		return nil, err
	}
	q := newRoute("watches")
	q.TargetMS = 2500
	if err := d.replaceConfig(d.configBody([]route{q})); err != nil {
		return nil, err
	}
	a := &availability{lastAtWork: make(map[string]time.Time), stopped: make(map[string]bool)}
	f.mu.Lock()
	f.onStop = func(w *worker, t *task) { a.handleStop(f, w, t) }
	f.mu.Unlock()
	// Only the two workers of the last rack may run the step, and one of them isn't up yet.
	last := len(d.sides) - 1
	name, err := d.submit(f, q, step{
		Count: _watchTasks, CPU: 1000, MemMB: 100, EstimatedMS: 320, AntiAffinity: 1, LongRunning: true, MaxUnavailable: _watchTolerance, Requirements: rackOf(last),
	}, behaviour{cpu: 500})
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	a.step = name
	for i := range _watchTasks {
		a.lastAtWork[fmt.Sprintf("%s.%d", a.step, i)] = clock.Now() // none is away for long yet
	}
	f.mu.Unlock()
	second, err := f.startSecond(a.step, d.sides[last], last)
	if err != nil {
		return nil, err
	}
	for end := clock.Now().Add(_watched); clock.Now().Before(end); time.Sleep(_sampleInterval) {
		f.mu.Lock()
		a.sample(f, clock.Now())
		f.mu.Unlock()
		if trouble && until(end) < _watched-_crashAfter {
			trouble = false
			second.crash()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.violations, nil
}

// startSecond starts the worker for the second task of a step after the first one, and waits
// until both run.
func (f *fleet) startSecond(step string, m *machine, number int) (*worker, error) {
	if err := waitFor(15*time.Second, "the first task", func() bool { return f.running(step) == 1 }); err != nil {
		return nil, err
	}
	time.Sleep(_secondWorker)
	w, err := f.startWorker(m, rackOf(number), _workerCPU)
	if err != nil {
		return nil, err
	}
	return w, waitFor(15*time.Second, "the second task", func() bool { return f.running(step) == _watchTasks })
}
