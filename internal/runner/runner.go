// Package runner is the agent of a worker that runs the tasks of submissions.
//
// A Runner is the only one that talks to its worker. It passes the leader's
// orders on, keeps the lease of what runs there and reports every end. Orders
// and ends are repeated until they are answered: a start or a stop whose
// answer was lost counts as possibly carried out until the worker's lists or
// the end of its lease settle it.
//
// All state is behind one lock; each task of the Runner owns one kind of I/O:
// the stream to the leader, the listing of the worker's runs, and one task for
// each start or stop that is not answered yet.
package runner

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/pacing"
	"github.com/gentianrail/gentianrail/submission"
)

// Times of calls and pauses.
const (
	_callLimit    = 200 * time.Millisecond // of a call to the worker beside its wait; it is on the same machine, and calls may be repeated
	_holdWait     = 250 * time.Millisecond // a listing waits this long for an end: half of what its figures cover, and the end in a lost answer is late by so much
	_retryPause   = 50 * time.Millisecond  // between two tries of one order
	_fullShare    = 100                    // percent that a run works at when it starts
	_unknownShare = -1                     // of a run that an earlier agent may have paced
	_silentTries  = 3                      // listings without an answer until the worker counts as silent
)

// order is one run that the leader has ordered, or that the worker lists.
type order struct {
	run       submission.RunID
	start     StartOrder
	pacing    pacing.Task   // what the pacer has to know of it
	described bool          // pacing is known; an adopted run is described by the leader
	share     int           // percent that the worker has confirmed
	asked     bool          // a call that sets the share is under way
	unsure    bool          // a start went unanswered
	estimate  time.Duration // of its task's run time; 0 if unknown
	lapses    int           // of the lease when it was ordered
	started   bool          // the worker has confirmed it
	since     time.Time     // when it was confirmed
	stop      bool          // it is to be stopped
	percent   int           // progress, as listed last
	moving    time.Time     // when the progress changed last
	stalled   bool          // it has not for a while, although the run may work
	gone      time.Time     // when a listing first lacked it; zero if none does
}

// Runner is the agent of one worker.
type Runner struct {
	log     event.Log
	machine string // name of this machine
	address string // of the worker; an announcement of another one is not for this agent
	worker  Worker
	leaders *control.Client
	starts  metrics.Timer // calls that start a run; nil in tests

	mu       sync.Mutex
	announce Announcement // latest
	life     Life         // zero until the worker has announced itself
	departed bool         // the worker has taken its leave
	term     uint64       // highest that a leader has named
	lease    lease
	lapses   int // times that a grant found the leader's lease run out
	orders   map[submission.RunID]*order
	ends     []ListedEnd // not recorded yet, rising
	highest  uint64      // number of the latest end that was listed
	taken    uint64      // ends up to this number are recorded
	refused  map[submission.RunID]submission.End
	saved    map[submission.RunID]string // latest checkpoints
	unsent   map[submission.RunID]bool   // runs with news that the leader was not told of
	listed   bool                        // the worker has listed its runs in this life
	tries    int                         // listings without an answer, in a row
	silent   bool
	pacer    pacing.Pacer
	presses  interference.Presses // of images on the worker, as the leader has told
	strains  []*pb.Strain         // as the latest listing shows them; never changed in place
	loads    []*pb.ImageLoad      // the same

	wakeReport chan struct{} // size one
	wakeHold   chan struct{} // size one
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
}

// Start starts the tasks of a runner.
func Start(log event.Log, machine, address string, worker Worker, leaders *control.Client, registry metrics.Registry) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		log:        log,
		machine:    machine,
		address:    address,
		worker:     worker,
		leaders:    leaders,
		starts:     metrics.NewRegisteredTimer("agent.starts", registry),
		wakeReport: make(chan struct{}, 1),
		wakeHold:   make(chan struct{}, 1),
		cancel:     cancel,
	}
	r.reset()
	r.tasks.Go(func() { r.reportLoop(ctx) })
	r.tasks.Go(func() { r.holdLoop(ctx) })
	return r
}

// Stop ends the tasks. What runs on the worker goes on under its lease, and
// the agent that starts next adopts it.
func (r *Runner) Stop(context.Context) error {
	r.cancel()
	r.tasks.Wait()
	r.leaders.Close()
	return nil
}

// reset forgets everything of a life. The lock is held.
func (r *Runner) reset() {
	r.orders = make(map[submission.RunID]*order)
	r.refused = make(map[submission.RunID]submission.End)
	r.saved = make(map[submission.RunID]string)
	r.unsent = make(map[submission.RunID]bool)
	r.ends, r.highest, r.taken = nil, 0, 0
	r.lease = lease{until: r.lease.until}
	r.listed, r.silent, r.tries, r.departed = false, false, 0, false
	r.pacer, r.presses = pacing.Pacer{}, make(interference.Presses)
	r.strains, r.loads = nil, nil
}

// Heard takes in what the worker tells of itself. Late news of an earlier life,
// or news that a later one has overtaken, change nothing.
func (r *Runner) Heard(a Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	life := Life{ID: a.ID, Born: a.Born}
	switch {
	case a.Address != r.address:
		r.log.Emit(event.WorkerIgnored, event.Fields{"worker": a.ID, "address": a.Address}, "an announcement names another address than this agent's worker has")
		return
	case life == r.life && a.Sequence <= r.announce.Sequence:
		return
	case a.Born < r.life.Born:
		return
	case life != r.life:
		r.log.Emit(event.WorkerAdded, event.Fields{"worker": r.key(life), "before": r.key(r.life)}, "the worker has begun a life")
		r.reset()
		r.life = life
	case a.Draining && !r.announce.Draining:
		r.log.Emit(event.WorkerDraining, event.Fields{"worker": r.key(life), "remaining_ms": a.Remaining.Milliseconds()},
			"the worker is about to leave; it gets no more tasks")
	}
	r.announce = a
	wake(r.wakeReport)
	wake(r.wakeHold)
}

// Left notes that the worker has taken its leave. Its runs end with it, or at
// the latest with their lease, which is not renewed any more.
func (r *Runner) Left(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == r.life.ID {
		r.departed = true
		wake(r.wakeReport)
	}
}

// key returns the name of a life in the whole system. It begins with the
// machine, since a later life on a machine tells that the earlier ones are over.
func (r *Runner) key(l Life) string {
	if l == (Life{}) {
		return ""
	}
	return r.machine + "/" + l.ID + "/" + strconv.FormatInt(l.Born, 10)
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// obey takes in the leader's orders. The lock is held.
func (r *Runner) obey(ctx context.Context, o *pb.AgentOrder) {
	if o.GetTerm() < r.term {
		return
	}
	if r.term != o.GetTerm() {
		r.term = o.GetTerm()
		wake(r.wakeHold)
	}
	if o.GetSent() != 0 {
		if !clock.Now().Before(r.lease.until) {
			r.lapses++ // the leader has given up what it ordered before
		}
		r.lease.granted(time.Unix(0, o.GetSent()), time.Duration(o.GetLease()))
	}
	r.leaders.Learn(o.GetControllers())
	for _, p := range o.GetPresses() {
		r.presses[interference.Pair{Fills: p.GetFills(), Serves: p.GetServes()}] = float64(p.GetPercent()) / 100
	}
	for _, run := range o.GetSettled() {
		delete(r.refused, wire.DecodeRun(run))
	}
	r.take(o.GetTaken())
	for _, s := range o.GetStarts() {
		r.orderStart(ctx, s)
	}
	for _, run := range o.GetStops() {
		r.orderStop(ctx, wire.DecodeRun(run))
	}
}

func (r *Runner) take(taken uint64) {
	if taken <= r.taken {
		return
	}
	r.taken = taken
	for len(r.ends) > 0 && r.ends[0].Number <= taken {
		r.ends = r.ends[1:]
	}
	wake(r.wakeHold)
}

// known reports whether an order for the run needs no action. The lock is held.
func (r *Runner) known(run submission.RunID) bool {
	if r.orders[run] != nil {
		return true
	}
	if _, ok := r.refused[run]; ok {
		return true
	}
	for _, e := range r.ends {
		if e.Run == run {
			return true
		}
	}
	return false
}

func (r *Runner) orderStart(ctx context.Context, s *pb.StartOrder) {
	run := wire.DecodeRun(s.GetRun())
	served := pacing.Task{Serves: s.GetServes(), Fills: s.GetFills(), Image: s.GetImage(), TailTarget: time.Duration(s.GetTailTarget())}
	if o := r.orders[run]; o != nil && !o.described {
		o.pacing, o.estimate, o.described = served, time.Duration(s.GetEstimate()), true
	}
	if r.known(run) {
		return
	}
	o := &order{
		run:       run,
		estimate:  time.Duration(s.GetEstimate()),
		lapses:    r.lapses,
		share:     _fullShare,
		described: true,
		start:     StartOrder{Run: run, Text: s.GetText(), Saved: s.GetSaved(), Ticket: s.GetTicket()},
		pacing:    served,
	}
	if r.announce.Draining || r.departed {
		r.refuse(o, submission.Refused)
		return
	}
	r.orders[run] = o
	life := r.life
	r.tasks.Go(func() { r.startRun(ctx, life, o) })
}

func (r *Runner) orderStop(ctx context.Context, run submission.RunID) {
	o := r.orders[run]
	if o == nil {
		if r.known(run) {
			return // it has ended
		}
		o = &order{run: run}
		r.orders[run] = o
	}
	if o.stop {
		return
	}
	o.stop = true
	life := r.life
	r.tasks.Go(func() { r.stopRun(ctx, life, o) })
}

// refuse records that the worker does not have the run. The lock is held.
func (r *Runner) refuse(o *order, how submission.How) {
	delete(r.orders, o.run)
	r.refused[o.run] = submission.End{Run: o.run, Worker: r.key(r.life), How: how, Saved: r.saved[o.run]}
	wake(r.wakeReport)
}

// startRun tries a start until the worker has answered or it is not wanted.
func (r *Runner) startRun(ctx context.Context, life Life, o *order) {
	for ctx.Err() == nil {
		r.mu.Lock()
		if r.life != life || r.orders[o.run] != o || o.started || o.stop {
			r.mu.Unlock()
			return
		}
		if o.lapses != r.lapses {
			r.forbid(ctx, life, o)
			r.mu.Unlock()
			return
		}
		var until time.Duration
		ok := false
		if !r.silent { // a worker that does not answer must not get a longer lease
			until, ok = r.lease.next(clock.Now())
		}
		o.start.Until, o.start.Term = until, r.term
		start := o.start
		r.mu.Unlock()
		if !ok {
			clock.Sleep(ctx, _retryPause)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, _callLimit)
		began := clock.Now()
		answer, at, err := r.worker.Start(callCtx, life.ID, start)
		cancel()
		if r.starts != nil {
			r.starts.Update(clock.Now().Sub(began))
		}
		if r.startAnswered(ctx, life, o, answer, at, err) {
			return
		}
		clock.Sleep(ctx, _retryPause)
	}
}

// startAnswered takes in a start's answer and reports whether it is settled.
func (r *Runner) startAnswered(ctx context.Context, life Life, o *order, answer StartAnswer, at time.Duration, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life != life || r.orders[o.run] != o {
		return true
	}
	if err != nil {
		o.unsure = true
		return false
	}
	now := clock.Now()
	if at > 0 {
		r.lease.read(at, now)
	}
	r.log.Emit(event.StartAnswered, event.Fields{"task": o.run.Task.String(), "run": o.run.Number, "answer": int(answer), "unsure": o.unsure},
		"the worker answered a start")
	switch answer {
	case Started, Superseded:
		// A run that has been there before shows in the next listing, or
		// counts as lost if it does not.
		o.started, o.since = true, now
		wake(r.wakeHold)
		return true
	case TooLate:
		return false
	case Fenced, OtherLife:
		// A newer leader counts the run as ordered, or has it stopped.
		return false
	default:
		r.forbid(ctx, life, o)
		return true
	}
}

// forbid settles a start that is not to be carried out. One that went unanswered
// may still be; a stop prevents that. The lock is held.
func (r *Runner) forbid(ctx context.Context, life Life, o *order) {
	if !o.unsure {
		r.refuse(o, submission.Refused)
		return
	}
	o.stop = true
	r.tasks.Go(func() { r.stopRun(ctx, life, o) })
}

// stopRun tries a stop until the worker has answered. The end shows in the
// worker's list; a run that was never there is reported as refused.
func (r *Runner) stopRun(ctx context.Context, life Life, o *order) {
	for ctx.Err() == nil {
		r.mu.Lock()
		wanted := r.life == life && r.orders[o.run] == o
		term := r.term
		r.mu.Unlock()
		if !wanted {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, _callLimit)
		err := r.worker.Stop(callCtx, life.ID, o.run, term)
		cancel()
		if err == nil {
			r.mu.Lock()
			o.started, o.since = true, clock.Now()
			r.mu.Unlock()
			wake(r.wakeHold)
			return
		}
		clock.Sleep(ctx, _retryPause)
	}
}
