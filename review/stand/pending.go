package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// playPending cuts off the only worker that may run some submissions, and asks how many
// submissions of the queue have not started a task.
func playPending(rec *record, trouble bool) (outcome, error) {
	const (
		submissions = 8
		cut         = 5500 * time.Millisecond
		visible     = 5000 * time.Millisecond // visible_ms, and 2 s that the count may be old
		runMS       = 2700
	)
	d, workers, err := startDeployment(rec, 5, 10, "b")
	if err != nil {
		return outcome{}, err
	}
	defer d.stopAll()
	w := workers[0]
	if trouble {
		w.cutOff(cut)
	}
	cutUntil := clock.Now().Add(cut)
	body := fmt.Sprintf(`{"spec":"run-ms=%d","steps":[{"count":1,"cpu":7000,"mem-mb":13000,"estimated-ms":%d,"requirements":"b"}]}`, runMS, runMS)
	for i := range submissions {
		if !d.submit(fmt.Sprintf("%016x", 0x5c0e7a23d9400000+i), body) {
			return outcome{}, errors.New("a submission was not accepted")
		}
	}
	accepted := clock.Now()
	time.Sleep(visible + 50*time.Millisecond)
	var out outcome
	asked := 0
	for ; clock.Now().Before(cutUntil); time.Sleep(100 * time.Millisecond) {
		m := d.edge[asked%len(d.edge)]
		asked++
		status, text := call(http.MethodGet, m.at(_frontendPort), _host, _prefix, "", _requestTimeout)
		begun := w.started()
		rec.add("requester: GET %s at %s, answer %d %s; %d of %d submissions have begun", _prefix, m.name, status, strings.TrimSpace(text), begun, submissions)
		var pending int
		if _, err := fmt.Sscanf(text, `{"pending":%d}`, &pending); status != http.StatusOK || err != nil {
			continue
		}
		if waiting := submissions - begun; 2*pending < waiting {
			out.broken = append(out.broken, fmt.Sprintf("%d submissions are said to wait; %d were accepted over %d ms before and haven't begun",
				pending, waiting, clock.Now().Sub(accepted).Milliseconds()))
		}
	}
	if asked == 0 {
		return outcome{}, errors.New("the submissions were accepted too late")
	}
	return out, nil
}
