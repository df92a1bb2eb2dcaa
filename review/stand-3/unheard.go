package main

import (
	"errors"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// _resumedWork is the work of the task of playUnheard.
const _resumedWork = 8000

// playUnheard leaves one order to start a task without an answer. Its repetition is answered, and
// the task fails once, so that it starts again elsewhere. Its first worker crashes with its agent,
// and is back under its identifier, when the first order is carried out.
func playUnheard(s *stage) error {
	id := newID()
	ordered := make(chan *worker, 1)
	again := make(chan *worker, 8)
	seen := false
	s.w.late = func(wk *worker, path string, _ call) time.Duration {
		if seen || path != _wire.Start {
			return 0
		}
		seen = true
		ordered <- wk
		if !s.trouble {
			return 0
		}
		return _lateBy
	}
	failed := false
	s.w.failTask = func(_ *worker, _ string, run int) bool {
		first := run == 1 && !failed
		failed = failed || first
		return first
	}
	s.w.startHook = func(wk *worker, _ string, run int) {
		if run > 1 {
			again <- wk
		}
	}
	if s.c.submit(s.ctx, _plan, id, otherKindJob("first", 1000, _resumedWork), 8) != 200 {
		return errors.New("a submission was not accepted")
	}
	var lost *worker
	select {
	case lost = <-ordered:
	case <-time.After(5 * time.Second):
		return errors.New("no task was started")
	}
	began := clock.Now()
	select {
	case wk := <-again:
		if wk == lost {
			return errors.New("the task has started again on the same worker")
		}
	case <-time.After(5 * time.Second):
		return errors.New("the task has not started again")
	}
	time.Sleep(until(began.Add(_lossAfter)))
	if s.trouble {
		if err := s.restartMachine(lost, began); err != nil {
			return err
		}
	}
	time.Sleep(10 * time.Second)
	return nil
}

// restartMachine lets a worker crash and kills its agent, and starts both again, the worker under
// its identifier.
func (s *stage) restartMachine(wk *worker, began time.Time) error {
	s.d.kill(wk.side)
	wk.crash()
	time.Sleep(until(began.Add(_lossAfter + _workerOut)))
	for i, side := range s.d.of("side") {
		if side != wk.side {
			continue
		}
		if err := s.newLifeAs(side, i, wk.id); err != nil {
			return err
		}
	}
	time.Sleep(until(began.Add(_lossAfter + _agentOut)))
	return s.d.start(wk.side, false)
}
