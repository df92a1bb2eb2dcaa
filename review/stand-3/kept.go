package main

import (
	"errors"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// Times of playKept.
const (
	_machineLost  = 20 * time.Millisecond // from the task's start until its machine is lost
	_firstKill    = time.Second           // from the loss until the leader is killed
	_leaderKills  = 3
	_killInterval = 10 * time.Second // between kills of leaders
	_leaderOut    = 500 * time.Millisecond
	_finishTime   = 14 * time.Second
	_nothingRuns  = 3 * time.Second
)

// playKept loses the machine of a task for good, and kills the leader several times after that.
// Long after the last kill, the task must run again.
func playKept(s *stage) error {
	started := make(chan *worker, 64)
	s.w.startHook = func(wk *worker, _ string, _ int) { started <- wk }
	id := newID()
	j := job{Spec: "kept", Steps: []step{{Count: 1, CPU: 1800, MemMB: 3200, EstimatedMS: 20000, workMS: 20000}}}
	if s.c.submit(s.ctx, _plan, id, j, 8) != 200 {
		return errors.New("a submission was not accepted")
	}
	var lost *worker
	select {
	case lost = <-started:
	case <-time.After(5 * time.Second):
		return errors.New("the task was not started")
	}
	lostAt := clock.Now()
	if s.trouble {
		time.Sleep(_machineLost)
		s.d.kill(lost.side)
		lost.crash()
		s.rec.printf("%s is lost for good, with its worker", lost.side.name)
		lostAt = clock.Now()
		if err := s.killLeaders(lostAt); err != nil {
			return err
		}
	}
	runs := false
	select {
	case <-started:
		runs = true
	case <-time.After(_finishTime + _nothingRuns):
	}
	state, _ := s.c.state(s.ctx, _plan, id)
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	waited := since(lostAt).Round(100 * time.Millisecond)
	s.rec.printf("submission %s is shown as %q", id, state)
	if state != "completed" && !runs && s.trouble {
		s.w.breaks("LOST", "submission %s is shown as %q, and nothing of it has run for %s; ten workers are idle", id, state, waited)
	}
	if !s.trouble && state == "" {
		s.w.breaks("LOST", "submission %s has no state", id)
	}
	return nil
}

// killLeaders kills the leader several times, and starts it again each time.
func (s *stage) killLeaders(from time.Time) error {
	for i := range _leaderKills {
		time.Sleep(until(from.Add(_firstKill + time.Duration(i)*_killInterval)))
		leader := s.d.leader()
		if leader == nil {
			return errors.New("no controller leads")
		}
		s.d.kill(leader)
		time.Sleep(_leaderOut)
		if err := s.d.start(leader, false); err != nil {
			return err
		}
		s.rec.printf("%s starts again", leader.name)
	}
	return nil
}
