package main

import (
	"fmt"
	"syscall"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// Plan of the case.
const (
	_keptWork     = 40 * time.Second       // of the task
	_beforeLoss   = 2 * time.Second        // from the start of the task to the loss of its machine
	_leaderKill   = time.Second            // from the loss to the kill of the leader
	_processDown  = 500 * time.Millisecond // for which the killed controller is down
	_finish       = 14 * time.Second       // finish_s, after the end of the traffic
	_nothingRuns  = 3 * time.Second
	_keptObserved = 32 * time.Second // from the end of the traffic
)

// keptRuns loses the machine that runs a task for good, and kills the leader after that. The
// rule LOST: from finish_s after the end of the traffic on, no submission has nothing running
// for 3 s while there is capacity.
func keptRuns(r *record, trouble bool) ([]string, error) {
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
	name, err := d.submit(f, q, step{Count: 1, CPU: 1800, MemMB: 3200, EstimatedMS: _keptWork.Milliseconds()}, behaviour{duration: _keptWork, cpu: 1800})
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
		w.m.signal(syscall.SIGKILL)
		w.crash()
		r.logf("%s is gone, with its agent and its worker", w.m.name)
		time.Sleep(_leaderKill)
		leader := d.leader()
		if leader == nil {
			return nil, fmt.Errorf("no controller leads")
		}
		leader.kill()
		r.logf("the leader %s is killed", leader.name)
		time.Sleep(_processDown)
		if err := d.start(leader, false); err != nil {
			return nil, err
		}
	}
	longest := f.nothingRuns(name, traffic, _keptObserved)
	if longest >= _nothingRuns {
		return []string{fmt.Sprintf("%s has had nothing running for %s, with ten idle workers", name, longest.Round(time.Millisecond))}, nil
	}
	return nil, nil
}
