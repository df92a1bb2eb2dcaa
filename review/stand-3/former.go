package main

import (
	"errors"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// Times of playFormer.
const (
	_lateBy    = 2200 * time.Millisecond // from the order without an answer until it is carried out
	_lossAfter = 700 * time.Millisecond  // from the order until its worker crashes and its agent is killed
	_workerOut = 1000 * time.Millisecond // until the worker is back
	_agentOut  = 1700 * time.Millisecond // until the agent is back
	_cutAfter  = 300 * time.Millisecond  // from the start of the other task until the worker is cut off
	_cutFor    = 5500 * time.Millisecond
)

func otherKindJob(spec string, cpu, workMS int) job {
	return job{Spec: spec, Steps: []step{{Count: 1, CPU: cpu, MemMB: 800, EstimatedMS: workMS, workMS: workMS, Requirements: _otherKind}}}
}

// playFormer leaves one order to start a task without an answer. Its worker crashes with its
// agent, and is back under its identifier, when the order is carried out. A task that starts there
// afterwards runs on when the worker is cut off.
func playFormer(s *stage) error {
	first, blocker, second := newID(), newID(), newID()
	ordered, started := make(chan *worker, 1), make(chan *worker, 1)
	seen := false
	s.w.late = func(wk *worker, path string, c call) time.Duration {
		t, _ := parseTask(c.Task)
		if seen || t.submission != first || path != _wire.Start {
			return 0
		}
		seen = true
		ordered <- wk
		if !s.trouble {
			return 0
		}
		return _lateBy
	}
	s.w.startHook = notify(started, second)
	if s.c.submit(s.ctx, _plan, first, otherKindJob("first", 1000, 1000), 8) != 200 {
		return errors.New("a submission was not accepted")
	}
	var lost *worker
	select {
	case lost = <-ordered:
	case <-time.After(5 * time.Second):
		return errors.New("no task was started")
	}
	began := clock.Now()
	if s.c.submit(s.ctx, _plan, blocker, otherKindJob("blocker", 16000, 4000), 8) != 200 {
		return errors.New("a submission was not accepted")
	}
	time.Sleep(until(began.Add(_lossAfter)))
	// The second task is handed in while its machine is down.
	down := make(chan error, 1)
	if s.trouble {
		go func() { down <- s.restartMachine(lost, began) }()
		time.Sleep(100 * time.Millisecond)
	}
	if s.c.submit(s.ctx, _plan, second, otherKindJob("second", 8000, 8000), 8) != 200 {
		return errors.New("a submission was not accepted")
	}
	if s.trouble {
		if err := <-down; err != nil {
			return err
		}
	}
	select {
	case wk := <-started:
		if s.trouble && wk.side == lost.side {
			s.cutOff(wk)
		}
	case <-time.After(15 * time.Second):
		return errors.New("the second task was not started")
	}
	time.Sleep(10 * time.Second)
	return nil
}

// cutOff cuts a worker off for a while. It runs on.
func (s *stage) cutOff(wk *worker) {
	time.Sleep(_cutAfter)
	s.rec.printf("worker %s is cut off and runs on", wk.id)
	wk.cut.Store(true)
	time.Sleep(_cutFor)
	s.rec.printf("worker %s is no longer cut off", wk.id)
	wk.cut.Store(false)
}

// notify returns a hook that sends the worker on which a task of the submission starts.
func notify(to chan<- *worker, submission string) func(*worker, string, int) {
	return func(wk *worker, task string, _ int) {
		if t, _ := parseTask(task); t.submission != submission {
			return
		}
		select {
		case to <- wk:
		default:
		}
	}
}
