package main

import (
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

func watchJob() job {
	return job{Spec: "watch", Steps: []step{{Count: 6, CPU: 3200, MemMB: 6400, LongRunning: true, EstimatedMS: 400, Image: "w1", TargetMS: 100, AntiAffinity: 2}}}
}

// Times of playCrashes, in seconds from the first crash of all workers: the first crash, one
// that follows the return soon, and then one 2.4 s after each return.
var _crashes = []float64{0, 1.3, 4.7, 8.1, 11.5, 14.9, 18.3, 21.7}

const _crashFor = time.Second

// crashAll lets all workers crash and starts another life of each after the time.
func (s *stage) crashAll(down time.Duration) error {
	for _, wk := range s.workers {
		wk.crash()
	}
	time.Sleep(down)
	for i, side := range s.d.of("side") {
		if err := s.newLife(side, i); err != nil {
			return err
		}
	}
	return nil
}

// playCrashes lets all workers crash several times, and then asks for what was accepted. No
// run ends as failed on any worker, so no submission may be shown as failed.
func playCrashes(s *stage) error {
	type sent struct {
		r  route
		id string
	}
	var all []sent
	hand := func(r route, j job) error {
		id := newID()
		if s.c.submit(s.ctx, r, id, j, 8) != 200 {
			return errors.New("a submission was not accepted")
		}
		all = append(all, sent{r, id})
		return nil
	}
	for range 3 {
		if err := hand(_watch, watchJob()); err != nil {
			return err
		}
	}
	for range 3 {
		if err := hand(_plan, planJob()); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	began := clock.Now()
	for _, at := range _crashes {
		time.Sleep(until(began.Add(time.Duration(at * float64(time.Second)))))
		if !s.trouble {
			continue
		}
		if err := s.crashAll(_crashFor); err != nil {
			return err
		}
	}
	time.Sleep(15 * time.Second)
	for _, x := range all {
		state, status := s.c.state(s.ctx, x.r, x.id)
		s.w.mu.Lock()
		failed := s.w.failed[x.id]
		running := 0
		for name, h := range s.w.tasks {
			if strings.HasPrefix(name, x.id) && len(h.active) > 0 {
				running++
			}
		}
		s.rec.printf("submission %s of %s: shown as %q, %d runs have ended as failed, %d tasks at work", x.id, x.r.Name, state, failed, running)
		switch {
		case state == "failed" && failed == 0:
			s.w.breaks("LOST", "submission %s of %s is shown as failed, and no run of it has ended as failed; %d tasks at work", x.id, x.r.Name, running)
		case state == "":
			s.w.breaks("LOST", "submission %s of %s has no state (%d)", x.id, x.r.Name, status)
		}
		s.w.mu.Unlock()
	}
	return nil
}

func planJob() job {
	return job{Spec: "plan", Steps: []step{
		{Count: 8, CPU: 1800, MemMB: 3200, EstimatedMS: 1700, workMS: 1700, Checkpointing: true},
		{Count: 8, CPU: 1800, MemMB: 3200, EstimatedMS: 1700, workMS: 1700, Checkpointing: true, DependsOn: []int{0}},
	}}
}

func gangJob() job {
	return job{Spec: "gang", Steps: []step{{Count: 6, CPU: 500, MemMB: 800, EstimatedMS: 1200, workMS: 1200, Gang: true}}}
}

// completes asks for a submission's state until it is completed. It returns false if it isn't in time.
func (s *stage) completes(r route, id string, within time.Duration) bool {
	for end := clock.Now().Add(within); clock.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if state, _ := s.c.state(s.ctx, r, id); state == "completed" {
			return true
		}
	}
	return false
}

// playGang lets one worker fail all that it starts for some seconds, and hands gangs in. A
// gang has failed as often as runs of it have failed, whichever of its members the worker had.
func playGang(s *stage) error {
	var grey atomic.Pointer[worker]
	runs := make(map[string]map[int]bool) // runs that have a failed member, by submission
	s.w.failTask = func(wk *worker, task string, n int) bool {
		if wk != grey.Load() {
			return false
		}
		t, _ := parseTask(task)
		if runs[t.submission] == nil {
			runs[t.submission] = make(map[int]bool)
		}
		runs[t.submission][n] = true
		return true
	}
	most, err := s.runCalmGangs()
	if err != nil {
		return err
	}
	if s.trouble {
		grey.Store(most)
		s.rec.printf("worker %s fails all that it starts", most.id)
	}
	var ids []string
	for range 4 {
		id := newID()
		if s.c.submit(s.ctx, _plan, id, gangJob(), 8) != 200 {
			return errors.New("a gang was not accepted")
		}
		ids = append(ids, id)
		time.Sleep(1500 * time.Millisecond)
	}
	grey.Store(nil)
	s.rec.printf("no worker fails what it starts any more")
	time.Sleep(6 * time.Second)
	for _, id := range ids {
		s.judgeGang(id, runs)
	}
	return nil
}

// judgeGang checks how a gang is shown. runs are its runs that have a failed member.
func (s *stage) judgeGang(id string, runs map[string]map[int]bool) {
	state, status := s.c.state(s.ctx, _plan, id)
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.rec.printf("gang %s: shown as %q; %d of its runs have failed, with %d ends as failed", id, state, len(runs[id]), s.w.failed[id])
	switch {
	case state == "failed" && len(runs[id]) < _plan.MaxAttempts:
		s.w.breaks("LOST", "gang %s is shown as failed after %d failed runs, %d are its attempts", id, len(runs[id]), _plan.MaxAttempts)
	case state == "":
		s.w.breaks("LOST", "gang %s has no state (%d)", id, status)
	}
}

// runCalmGangs lets gangs run in calm times, and returns the worker that has run most of them.
func (s *stage) runCalmGangs() (*worker, error) {
	for range 3 {
		id := newID()
		if s.c.submit(s.ctx, _plan, id, gangJob(), 8) != 200 {
			return nil, errors.New("a gang was not accepted")
		}
		if !s.completes(_plan, id, 8*time.Second) {
			return nil, errors.New("a gang was not completed in calm times")
		}
	}
	count := make(map[string]int)
	s.w.mu.Lock()
	for _, id := range s.w.startedOn {
		count[id]++
	}
	s.w.mu.Unlock()
	var most *worker
	for _, wk := range s.workers {
		if most == nil || count[wk.id] > count[most.id] {
			most = wk
		}
	}
	return most, nil
}
