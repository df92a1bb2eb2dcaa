package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// playLargeOrder hands in scheduled submissions that are due one after the other.
// All processes of the core are killed shortly before and come back within a second, so
// that the submissions are due at the same time for the controllers that come back. One
// more submission follows 14 s later.
func playLargeOrder(rec *record, trouble bool) (outcome, error) {
	const (
		submissions = 8
		tasks       = 1300
		runMS       = 1500
		cpu         = 17 // thousandths of a core
		textBytes   = 4000
		between     = 300 * time.Millisecond
		beforeDue   = 100 * time.Millisecond // from the end of the core's processes to the first one that is due
		lateAfter   = 14 * time.Second       // from the last one that is due to one more submission
		finish      = 35 * time.Second       // from the last one that is due to the end
		calm        = 7 * time.Second        // for which nothing must run until a submission counts as lost
	)
	d, workers, err := startDeployment(rec, 5, 3, "")
	if err != nil {
		return outcome{}, err
	}
	defer d.stopAll()
	text := fmt.Sprintf("run-ms=%d ", runMS)
	text += strings.Repeat("x", textBytes-len(text))
	dueAt := clock.Now().Add(5 * time.Second)
	var ids []string
	for i := range submissions {
		id := fmt.Sprintf("%016x", 0x7e21d94b36f80000+i)
		ids = append(ids, id)
		body := fmt.Sprintf(`{"spec":%q,"repeat-count":1,"interval-ms":1000,"start-at-ms":%d,"steps":[{"count":%d,"cpu":%d,"mem-mb":16,"estimated-ms":%d}]}`,
			text, dueAt.Add(time.Duration(i)*between).UnixMilli(), tasks, cpu, runMS)
		if !d.submit(id, body) {
			return outcome{}, errors.New("a submission was not accepted")
		}
	}
	last := dueAt.Add((submissions - 1) * between)
	if trouble {
		time.Sleep(dueAt.Add(-beforeDue).Sub(clock.Now()))
		if err := d.restartCore(); err != nil {
			return outcome{}, err
		}
	}
	var out outcome
	idle := newIdleWatch(workers)
	const lateID = "5c0e7a21d94b36f8"
	open, isLateSent := ids, false
	for end := last.Add(finish); (len(open) > 0 || !isLateSent) && clock.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		idle.observe()
		if !isLateSent && clock.Now().Sub(last) > lateAfter {
			isLateSent = true
			if !d.submit(lateID, fmt.Sprintf(`{"spec":"run-ms=%d","steps":[{"count":1,"cpu":1000,"mem-mb":100,"estimated-ms":%d}]}`, runMS, runMS)) {
				return outcome{}, errors.New("the late submission was not accepted")
			}
			open = append(open, lateID)
		}
		if len(open) > 0 && d.state(open[0]) == "completed" {
			rec.add("requester: GET %s, state completed", open[0])
			open = open[1:]
		}
	}
	rec.add("no task was at work on any worker for the last %.1f s", idle.since().Seconds())
	// A submission must not have nothing running for 3 s while a task's turn has come, the
	// capacity for it is free twice over and under half of all capacity is in use.
	if idle.since() > calm {
		for _, id := range open {
			if state := d.state(id); state != "completed" {
				out.broken = append(out.broken, fmt.Sprintf("%s: state %s, nothing runs for %.0f s while all workers are idle", id, state, idle.since().Seconds()))
			}
		}
	}
	return out, nil
}

// idleWatch measures for how long no worker has had a run.
type idleWatch struct {
	workers []*worker
	busyAt  time.Time
}

func newIdleWatch(workers []*worker) *idleWatch {
	return &idleWatch{workers: workers, busyAt: clock.Now()}
}

func (i *idleWatch) observe() {
	for _, w := range i.workers {
		if w.activeRuns() > 0 {
			i.busyAt = clock.Now()
		}
	}
}

func (i *idleWatch) since() time.Duration { return clock.Now().Sub(i.busyAt) }
