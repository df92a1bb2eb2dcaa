// Command stand-3 plays the scripts of a review: it starts the project's programs as
// separate processes on loopback addresses, with stand-ins for requesters, the operator and
// workers that follow the platform's pages, and checks rules of theirs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	_exitHeld   = 0
	_exitBroken = 1
	_exitNotRun = 2
)

// stage is what a scenario works with.
type stage struct {
	ctx     context.Context
	rec     *record
	d       *deployment
	w       *world
	c       *client
	trouble bool
	workers map[string]*worker // by side machine
	lives   int
	others  int        // workers of the other kind, the first ones
	mu      sync.Mutex // guards workers
}

// scenario plays a case. It returns an error if the case could not run. Broken rules are
// recorded in the world.
type scenario struct {
	rules  []string // that count
	sides  int
	length time.Duration
	play   func(s *stage) error
	others int // workers of the other kind
}

const _otherKind = "b"

var _scenarios = map[string]scenario{
	"former":  {rules: []string{"TWICE"}, sides: 11, length: 60 * time.Second, play: playFormer, others: 2},
	"unheard": {rules: []string{"TWICE"}, sides: 11, length: 60 * time.Second, play: playUnheard, others: 2},
	"kept":    {rules: []string{"LOST"}, sides: 11, length: 80 * time.Second, play: playKept},
	"gang":    {rules: []string{"LOST"}, sides: 11, length: 60 * time.Second, play: playGang},
	"crashes": {rules: []string{"LOST"}, sides: 11, length: 100 * time.Second, play: playCrashes},
}

// Processes get a signal when the thread that started them ends, so that thread must last.
func init() { runtime.LockOSThread() }

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-3 SCENARIO FOLDER")
		return _exitNotRun
	}
	sc, ok := _scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such scenario")
		return _exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		return _exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return _exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := newDeployment(rec, root, 3, sc.sides, 5)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return _exitNotRun
	}
	defer d.stopAll()
	w := newWorld(rec)
	s := &stage{ctx: ctx, rec: rec, d: d, w: w, c: newClient(rec, w, d), trouble: os.Getenv("TROUBLE") != "0", workers: make(map[string]*worker), others: sc.others}
	rec.printf("%s, trouble %t", os.Args[1], s.trouble)
	err = s.begin()
	if err == nil {
		err = sc.play(s)
	}
	if err != nil {
		rec.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return _exitNotRun
	}
	return s.judge(sc.rules)
}

// judge returns the exit code of a case that has run.
func (s *stage) judge(rules []string) int {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	code := _exitHeld
	for _, rule := range rules {
		if n := len(s.w.broken[rule]); n > 0 {
			fmt.Printf("%s broken, %d times: %s\n", rule, n, s.w.broken[rule][0])
			s.rec.printf("RESULT %s broken, %d times", rule, n)
			code = _exitBroken
		}
	}
	if code == _exitHeld {
		fmt.Println("held")
		s.rec.printf("RESULT held")
	}
	return code
}

// begin starts the machines and the workers and sends the first config.
func (s *stage) begin() error {
	if err := s.d.startAll(); err != nil {
		return err
	}
	for i, side := range s.d.of("side") {
		if err := s.newLife(side, i); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, 20*time.Second)
	defer cancel()
	if err := s.c.putConfig(ctx, config(3, _lookup, _plan, _watch)); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // the machines start 10 s before the traffic
	return nil
}

// newLife starts a worker on a side machine.
func (s *stage) newLife(side *machine, i int) error {
	s.lives++
	return s.newLifeAs(side, i, fmt.Sprintf("i-%03d-%03d", i, s.lives))
}

// newLifeAs starts a worker with the identifier on a side machine.
func (s *stage) newLifeAs(side *machine, i int, id string) error {
	kind := "a"
	if i < s.others {
		kind = _otherKind
	}
	wk, err := startWorker(s.w, side, id, "huvo11a", []string{kind, fmt.Sprintf("r-%d", i/3+1)}, 16000, 62500)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.workers[side.name]; old != nil {
		old.next.Store(wk)
	}
	s.workers[side.name] = wk
	return nil
}
