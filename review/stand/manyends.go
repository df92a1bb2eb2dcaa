package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// playManyEnds lets more runs of a worker end than one response lists, while all
// processes of the core are killed and come back within a second. The ends are done and
// stay listed until they are recorded, so none of their tasks may start again.
func playManyEnds(rec *record, trouble bool) (outcome, error) {
	const (
		tasks      = 1800 // over 500 for a worker, which lists 500 ends in one response
		cpu        = 90   // thousandths of a core
		runMS      = 4000
		beforeEnds = 300 * time.Millisecond // from the end of the core's processes to the first end of a task
	)
	d, workers, err := startDeployment(rec, 5, 3, "")
	if err != nil {
		return outcome{}, err
	}
	defer d.stopAll()
	const id = "5c0e7a21d94b36f8"
	body := fmt.Sprintf(`{"spec":"run-ms=%d","steps":[{"count":%d,"cpu":%d,"mem-mb":32,"estimated-ms":%d}]}`, runMS, tasks, cpu, runMS)
	if !d.submit(id, body) {
		return outcome{}, errors.New("the submission was not accepted")
	}
	started := 0
	for end := clock.Now().Add(5 * time.Second); started < tasks && clock.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		started = 0
		for _, w := range workers {
			started += w.started()
		}
	}
	if started < tasks {
		return outcome{}, fmt.Errorf("%d of %d tasks have started", started, tasks)
	}
	rec.add("all %d tasks have started", tasks)
	if trouble {
		time.Sleep(firstEnd(workers).Add(-beforeEnds).Sub(clock.Now()))
		if err := d.restartCore(); err != nil {
			return outcome{}, err
		}
	}
	state := d.waitForState(id, 30*time.Second, "completed", "failed")
	time.Sleep(2 * time.Second) // the last ends are named as recorded
	rec.add("state of the submission: %s", state)
	return outcome{broken: brokenTwice(workers)}, nil
}

// firstEnd returns when the first of the active runs is due to end.
func firstEnd(workers []*worker) time.Time {
	var first time.Time
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.active {
			if first.IsZero() || r.endsAt.Before(first) {
				first = r.endsAt
			}
		}
		w.mu.Unlock()
	}
	return first
}
