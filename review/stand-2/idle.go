package main

import (
	"fmt"
	"net/http"
	"time"
)

// Plan of the case.
const (
	_smallCore, _smallEdge, _smallSide = 5, 3, 11 // machines of the users' small deployments
	_workerCPU                         = 16000
	_idleTasks                         = 4
	_batchTasksEach                    = 6 // tasks of one batch submission, which take most of a worker's CPU
	_batchCPU                          = 2500
	_batchDuration                     = 25 * time.Second
	_idleObserved                      = 18 * time.Second // after the crash; the batch tasks are still at work
)

// startSmall starts a deployment of the users' small size, with a worker beside each agent but
// the last without ones.
func startSmall(r *record, without int) (*deployment, *fleet, error) {
	d, err := newDeployment(r, _smallCore, _smallEdge, _smallSide)
	if err != nil {
		return nil, nil, err
	}
	f := newFleet(r, _service)
	if err := d.startAll(); err != nil {
		return d, f, err
	}
	for i, m := range d.sides[:len(d.sides)-without] {
		if _, err := f.startWorker(m, rackOf(i), _workerCPU); err != nil {
			return d, f, err
		}
	}
	time.Sleep(3 * time.Second)
	return d, f, nil
}

// rackOf returns the rack of a worker; there are three a rack.
func rackOf(i int) string { return fmt.Sprintf("r1-%d", i/3) }

// submit hands a submission of one step in, whose tasks behave as given, and returns the name
// of the step.
func (d *deployment) submit(f *fleet, q route, s step, b behaviour) (string, error) {
	id := newID()
	name := id + ".0.0"
	f.mu.Lock()
	f.behaviours[name] = b
	f.mu.Unlock()
	status, answer := newCaller(3*time.Second).call(d.edges[0], http.MethodPost, q, id, spec{Spec: id, Steps: []step{s}})
	d.r.logf("POST %s%s: %d %s", q.Prefix, id, status, answer)
	if status != http.StatusOK {
		return "", fmt.Errorf("the submission was answered with %d", status)
	}
	return name, nil
}

// idleStarvation lets a worker of a standing watch that uses unreserved CPU be lost for good
// while batch work has reserved the CPU. The rule LOST holds for each task that lasts, however
// full the service is.
func idleStarvation(r *record, trouble bool) ([]string, error) {
	d, f, err := startSmall(r, 0)
	if d != nil {
		defer d.remove()
	}
	if err != nil {
		return nil, err
	}
	watches, plans := newRoute("watches"), newRoute("plans")
	watches.TargetMS = 2500
	plans.TargetMS, plans.Priority = 1000, 2
	if err := d.replaceConfig(d.configBody([]route{watches, plans})); err != nil {
		return nil, err
	}
	name, err := d.submit(f, watches, step{
		Count: _idleTasks, CPU: 3000, MemMB: 500, EstimatedMS: 320, AntiAffinity: 1, LongRunning: true, Utilization: true, Image: "watch", TargetMS: 100,
	}, behaviour{cpu: 20})
	if err != nil {
		return nil, err
	}
	if err := waitFor(15*time.Second, "all tasks of the watch", func() bool { return f.running(name) == _idleTasks }); err != nil {
		return nil, err
	}
	for range _smallSide {
		if _, err := d.submit(f, plans, step{Count: _batchTasksEach, CPU: _batchCPU, MemMB: 500, EstimatedMS: int64(_batchDuration.Milliseconds())}, behaviour{duration: _batchDuration, cpu: _batchCPU}); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		f.holder(name).crash()
	}
	return f.observeAbsence(name, _idleTasks, _idleObserved), nil
}
