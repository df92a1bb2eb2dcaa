package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// playDrain lets a worker hang while an order to start a task is on its way to it, and
// lets it say then that it is draining. When it answers again, it must not get the start.
func playDrain(rec *record, trouble bool) (outcome, error) {
	const (
		hang         = 3300 * time.Millisecond
		beforeDrain  = 300 * time.Millisecond // from the submission to the draining report
		drainTimeout = 2000 * time.Millisecond
		runMS        = 800
	)
	d, workers, err := startDeployment(rec, 5, 10, "b")
	if err != nil {
		return outcome{}, err
	}
	defer d.stopAll()
	w := workers[0]
	if trouble {
		w.hang(hang)
	}
	body := fmt.Sprintf(`{"spec":"run-ms=%d","steps":[{"count":1,"cpu":960,"mem-mb":1900,"estimated-ms":%d,"requirements":"b"}]}`, runMS, runMS)
	if !d.submit("b36f85c0e7a23d94", body) {
		return outcome{}, errors.New("the submission was not accepted")
	}
	time.Sleep(beforeDrain)
	var acked time.Time
	if trouble {
		acked = w.leave(context.Background())
	}
	time.Sleep(hang + time.Second)
	var out outcome
	for _, r := range w.history() {
		if since := r.begun.Sub(acked); trouble && since > drainTimeout {
			out.broken = append(out.broken, fmt.Sprintf("%s run %d starts %d ms after the acknowledgement that the worker is draining",
				r.task, r.number, since.Milliseconds()))
		}
	}
	return out, nil
}
