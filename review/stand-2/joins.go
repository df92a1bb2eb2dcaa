package main

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// Plan of the case.
const (
	_successorDelay = time.Second             // from the loss to the successors' start
	_seedStaleness  = 3 * time.Second         // until new settings name other seeds
	_syncTime       = 12 * time.Second        // for the successors; sync-timeout-s is 4
	_recovery       = 12 * time.Second        // recovery-time-s
	_answerWait     = 14 * time.Second        // finish_s
	_watchWork      = 1500 * time.Millisecond // of the submission's task
)

// joins loses two of the five controllers for good, which is what the deployment has to bear,
// starts their successors, and later loses one more. The rule LOST: a submission that was
// accepted is known and its state is answered.
func joins(r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(r, _smallCore, _smallEdge, 3)
	if err != nil {
		return nil, err
	}
	defer d.remove()
	f := newFleet(r, _service)
	if err := d.startAll(); err != nil {
		return nil, err
	}
	for i, m := range d.sides {
		if _, err := f.startWorker(m, rackOf(i), _workerCPU); err != nil {
			return nil, err
		}
	}
	if err := waitFor(20*time.Second, "five voters", func() bool { return d.voters() == len(d.core) }); err != nil {
		return nil, err
	}
	q := newRoute("quotes")
	if err := d.replaceConfig(d.configBody([]route{q})); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	id := newID()
	f.submission[id] = behaviour{duration: _watchWork}
	c := newCaller(3 * time.Second)
	status, answer := c.call(d.edges[0], http.MethodPost, q, id, spec{Spec: id, Steps: []step{{Count: 1, CPU: 100, MemMB: 10, EstimatedMS: 1500}}})
	r.logf("POST %s%s: %d %s", q.Prefix, id, status, answer)
	if status != http.StatusOK {
		return nil, fmt.Errorf("the submission was answered with %d", status)
	}
	if trouble {
		if err := d.replaceSeeds(); err != nil {
			return nil, err
		}
	}
	time.Sleep(_syncTime)
	r.logf("voters that the leader names: %d, members that answer as such: %v", d.voters(), d.memberNames())
	if trouble {
		d.loseFollower()
	}
	time.Sleep(_recovery)
	for end := clock.Now().Add(_answerWait); clock.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, m := range d.edges {
			status, answer := c.call(m, http.MethodGet, q, id, nil)
			r.logf("%s: GET %s%s: %d %s", m.name, q.Prefix, id, status, answer)
			if status == http.StatusOK {
				return nil, nil
			}
		}
	}
	return []string{fmt.Sprintf("the state of the accepted submission %s got no answer %s after one of five controllers was lost", id, _recovery+_answerWait)}, nil
}

// loseFollower loses one more controller. The first two losses don't count any more: their
// successors had three times sync-timeout-s.
func (d *deployment) loseFollower() {
	lost := d.core[4]
	if d.leader() == lost {
		lost = d.core[3]
	}
	lost.signal(syscall.SIGSTOP)
	d.r.logf("%s is lost", lost.name)
}

// replaceSeeds loses the second and the third seed for good: they fall silent, as machines
// without power do. Their successors start with settings that name the seeds of before, since
// the list of controllers lags, and get settings with other seeds later.
func (d *deployment) replaceSeeds() error {
	lost := slices.Clone(d.seeds[1:])
	for _, m := range lost {
		m.signal(syscall.SIGSTOP)
		d.r.logf("%s is lost for good", m.name)
	}
	time.Sleep(_successorDelay)
	for _, m := range d.successors {
		if err := d.start(m, false); err != nil {
			return err
		}
		d.r.logf("its successor %s starts; its settings name the seeds %s, %s and %s", m.name, d.seeds[0].name, d.seeds[1].name, d.seeds[2].name)
	}
	time.Sleep(_seedStaleness)
	d.seeds = []*machine{d.core[0], d.core[3], d.core[4]}
	for _, m := range d.successors {
		if err := d.writeSettings(m, false); err != nil {
			return err
		}
		m.signal(syscall.SIGHUP)
		d.r.logf("the settings of %s name the seeds %s, %s and %s", m.name, d.seeds[0].name, d.seeds[1].name, d.seeds[2].name)
	}
	return nil
}

// memberNames returns the machines whose controllers say that they follow or lead.
func (d *deployment) memberNames() (names []string) {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	for _, m := range append(slices.Clone(d.core), d.successors...) {
		resp, err := client.Get("http://" + m.address(portInternal+1) + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			names = append(names, m.name)
		}
	}
	return names
}
