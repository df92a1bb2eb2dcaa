package main

import (
	"errors"
	"fmt"
	"time"
)

// playFlap crashes one worker again and again. It is the only one whose label a
// submission requires. No run of the submission's task ends as failed, and the task would
// be done as soon as the worker stays up.
func playFlap(rec *record, trouble bool) (outcome, error) {
	const (
		gap         = 1100 * time.Millisecond
		turns       = 6
		runMS       = 2700
		beforeFirst = 250 * time.Millisecond // from the submission to the first crash
		// From the worker's start to its first status report, less than half of its
		// heartbeat interval.
		startup = 700 * time.Millisecond
	)
	d, workers, err := startDeployment(rec, 5, 10, "b")
	if err != nil {
		return outcome{}, err
	}
	defer d.stopAll()
	const id = "3d94b36f85c0e7a2"
	body := fmt.Sprintf(`{"spec":"run-ms=%d","steps":[{"count":1,"cpu":7000,"mem-mb":13000,"estimated-ms":%d,"requirements":"b"}]}`, runMS, runMS)
	w := workers[0]
	w.startup = startup
	if !d.submit(id, body) {
		return outcome{}, errors.New("the submission was not accepted")
	}
	if trouble {
		time.Sleep(beforeFirst)
		for range turns {
			w.crash()
			time.Sleep(gap)
			if err := w.start(); err != nil {
				return outcome{}, err
			}
			time.Sleep(gap)
		}
	}
	state := d.waitForState(id, 20*time.Second, "completed", "failed")
	rec.add("state of the submission: %s", state)
	failed := 0
	for _, w := range workers {
		for _, r := range w.history() {
			rec.add("%s incarnation %d: %s run %d %s after %d ms", w.id, r.restart, r.task, r.number, r.how, r.ended.Sub(r.begun).Milliseconds())
			if r.how == "failed" {
				failed++
			}
		}
	}
	var out outcome
	if state == "failed" && failed == 0 {
		out.broken = append(out.broken, id+": shown as failed, and no run of its task has ended as failed")
	}
	return out, nil
}
