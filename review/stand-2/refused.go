package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// Plan of the case.
const (
	_rounds        = 12
	_callers       = 30                      // that hand a submission in at the same moment
	_freeze        = 2500 * time.Millisecond // of the leader
	_firstDelay    = 1500 * time.Microsecond // from the submissions to the freeze, in the first round
	_delayStep     = 500 * time.Microsecond  // by which it grows with each round
	_settleTime    = 3 * time.Second         // after a round, until all that was accepted has started
	_callerTimeout = 3 * time.Second
	_pollers       = 8                      // callers at each entry that ask for states
	_pollInterval  = 100 * time.Millisecond // between two requests of one of them
)

// attempt is what a caller got for its only attempt to hand a submission in.
type attempt struct {
	id     string
	status int
}

// refused freezes the leader while it takes submissions of a queue, and the operator removes
// the queue at that moment. The rule REFUSED: no task starts of a submission whose attempts
// were all rejected.
func refused(r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(r, 5, 3, 3)
	if err != nil {
		return nil, err
	}
	defer d.remove()
	f := newFleet(r, _service)
	if err := d.startAll(); err != nil {
		return nil, err
	}
	for i, m := range d.sides {
		if _, err := f.startWorker(m, fmt.Sprintf("r1-%d", i), 64000); err != nil {
			return nil, err
		}
	}
	if err := waitFor(20*time.Second, "five members", func() bool { return d.voters() == len(d.core) }); err != nil {
		return nil, err
	}
	base := newRoute("quotes")
	stopPolls := d.pollStates(base)
	defer stopPolls()
	var all []attempt
	for round := range _rounds {
		q := newRoute(fmt.Sprintf("order%d", round))
		if err := d.replaceConfig(d.configBody([]route{base, q})); err != nil {
			return nil, err
		}
		time.Sleep(500 * time.Millisecond)
		attempts, err := d.refusedRound(f, base, q, _firstDelay+time.Duration(round)*_delayStep, trouble)
		if err != nil {
			return nil, err
		}
		all = append(all, attempts...)
	}
	return f.refusedStarts(all), nil
}

// pollStates lets callers ask each entry for states, as callers do from time to time.
func (d *deployment) pollStates(q route) (stop func()) {
	quit := make(chan struct{})
	var polls sync.WaitGroup
	for _, entry := range d.edges {
		for range _pollers {
			polls.Go(func() {
				c := newCaller(_callerTimeout)
				for {
					select {
					case <-quit:
						return
					case <-time.After(_pollInterval):
						c.call(entry, http.MethodGet, q, newID(), nil)
					}
				}
			})
		}
	}
	return func() {
		close(quit)
		polls.Wait()
	}
}

// refusedRound hands submissions in to a queue, freezes the leader a moment later, and removes
// the queue.
func (d *deployment) refusedRound(f *fleet, base, q route, delay time.Duration, trouble bool) ([]attempt, error) {
	leader := d.leader()
	if leader == nil {
		return nil, fmt.Errorf("no controller leads")
	}
	others := slices.DeleteFunc(slices.Clone(d.core), func(m *machine) bool { return m == leader })
	body := d.configBody([]route{base})
	all := make([]attempt, _callers)
	var sending sync.WaitGroup
	for i := range all {
		all[i].id = newID()
		f.mu.Lock()
		f.submission[all[i].id] = behaviour{duration: 100 * time.Millisecond}
		f.mu.Unlock()
		entry := d.edges[i%len(d.edges)]
		sending.Go(func() { d.handIn(entry, q, &all[i]) })
	}
	time.Sleep(delay)
	if trouble {
		leader.signal(syscall.SIGSTOP)
		d.r.logf("the leader %s is frozen, %s after the submissions", leader.name, delay)
	}
	// Two operators send the change, each to another controller.
	var operators sync.WaitGroup
	d.r.logf("config %d without the queue %s is sent", d.configVersion, q.Name)
	for _, m := range others[:2] {
		operators.Go(func() { d.sendUntilAcked(m, body) })
	}
	time.Sleep(_freeze)
	if trouble {
		leader.signal(syscall.SIGCONT)
		d.r.logf("%s runs again", leader.name)
	}
	operators.Wait()
	sending.Wait()
	time.Sleep(_settleTime)
	return all, nil
}

// sendUntilAcked sends a configuration to a controller until that acknowledges it.
func (d *deployment) sendUntilAcked(m *machine, body []byte) {
	for range 10 {
		if status, err := d.sendConfig(m, body); err == nil && status == http.StatusOK {
			d.r.logf("%s has acknowledged the config", m.name)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// handIn hands a submission in, with one attempt.
func (d *deployment) handIn(entry *machine, q route, a *attempt) {
	sent := clock.Now()
	status, answer := newCaller(_callerTimeout).call(entry, http.MethodPost, q, a.id,
		spec{Spec: a.id, Steps: []step{{Count: 1, CPU: 100, MemMB: 10, EstimatedMS: 100}}})
	a.status = status
	d.r.logf("%s: POST %s%s: %d %s after %d ms", entry.name, q.Prefix, a.id, a.status, answer, since(sent).Milliseconds())
}

// refusedStarts returns the starts of submissions whose only attempt was rejected.
func (f *fleet) refusedStarts(all []attempt) (violations []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := make(map[string]started)
	for _, s := range f.starts {
		id, _, _ := strings.Cut(s.task, ".")
		if _, ok := first[id]; !ok {
			first[id] = s
		}
	}
	counts := make(map[int]int)
	for _, a := range all {
		counts[a.status]++
		switch a.status {
		case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if s, ok := first[a.id]; ok {
				violations = append(violations, fmt.Sprintf("submission %s was answered with %d, its only attempt, and its task %s has started on %s", a.id, a.status, s.task, s.worker.m.name))
			}
		}
	}
	f.r.logf("answers by status: %v; submissions with a start: %d", counts, len(first))
	return violations
}
