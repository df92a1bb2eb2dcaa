package controller

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/internal/runner"
	"github.com/gentianrail/gentianrail/submission"
)

const (
	_modelMaxLease     = 6 * time.Second        // longest lease, on the worker's clock
	_modelMaxCallDelay = 12 * time.Second       // after which a late call is carried out at the latest
	_modelStopTimeout  = 900 * time.Millisecond // in which a stopped run ends
	_modelMaxEnds      = 500                    // ends in one listing
	_modelTaskCPU      = 1000
	_modelLongText     = "long" // text of submissions whose tasks run until they are stopped
)

var errReset = errors.New("connection reset")

// modelWorker is a worker of the platform over its incarnations. It follows the protocol
// as to runs, and leaves everything open that the protocol leaves open.
type modelWorker struct {
	*model
	machine    string
	rnd        *rand.Rand
	ids        []string // of all incarnations, the present one last
	up         bool
	silent     bool // while it is down, calls are not refused
	startedMS  int64
	clockStart time.Time
	clockRate  float64 // of the worker's clock; 0.98 to 1
	checksRoom bool
	token      uint64
	reached    bool          // by a call with a token that was sent to this incarnation
	leaseEnd   time.Duration // on the worker's clock
	runs       map[submission.RunID]*modelRun
	barred     map[submission.TaskID]uint32 // highest run that was stopped or has ended
	ends       []modelEnd                   // not acknowledged, in order of their numbers
	lastEnd    uint64
	changed    chan struct{} // closed at the next end or crash
	sequence   uint64
	draining   bool
	hungUntil  time.Time
	odds       int       // percent of the calls
	oddUntil   time.Time // until then so many calls are late, and as many get no answer
	sickUntil  time.Time // until then starts are answered as by an unhealthy worker
}

type modelRun struct {
	began  time.Time
	endsAt time.Time // zero for a run that lasts
	stopAt time.Time // zero if it is not being stopped
	failed bool
	stray  bool // the call that started it was sent to an earlier incarnation
}

type modelEnd struct {
	runner.ListedEnd
	at     time.Time
	stray  bool // a call to an earlier incarnation has started the run or acknowledges the end
	lapsed bool // the lease has expired since
}

func (w *modelWorker) id() string { return w.ids[len(w.ids)-1] }

func (w *modelWorker) name() string { return fmt.Sprintf("%s/%s/%d", w.machine, w.id(), w.startedMS) }

func (w *modelWorker) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(w.clockStart)) * w.clockRate)
}

// boot starts an incarnation, which knows nothing of earlier ones. The caller holds mu.
func (w *modelWorker) boot(id string) {
	now := time.Now()
	w.ids = append(w.ids, id)
	w.up, w.draining, w.startedMS, w.sequence = true, false, max(now.UnixMilli(), w.startedMS+1), 0
	w.clockStart, w.clockRate = now, 1-float64(w.rnd.IntN(3))/100
	w.token, w.reached, w.leaseEnd, w.ends, w.lastEnd = 0, false, 0, nil, 0
	w.runs, w.barred = make(map[submission.RunID]*modelRun), make(map[submission.TaskID]uint32)
	w.changed = make(chan struct{})
	w.logf("%s boots", w.name())
}

// halt ends the incarnation and all its runs. The caller holds mu.
func (w *modelWorker) halt(why string) {
	w.advance(time.Now())
	w.logf("%s %s with %d runs %v", w.name(), why, len(w.runs), w.runs)
	w.up, w.runs = false, nil
	close(w.changed)
}

// advance ends the runs whose time has come, in order. The caller holds mu.
func (w *modelWorker) advance(now time.Time) {
	if !w.up {
		return
	}
	leaseEnd := w.clockStart.Add(time.Duration(float64(w.leaseEnd) / w.clockRate))
	for {
		var run submission.RunID
		var at time.Time
		how := submission.EndReason(0)
		consider := func(r submission.RunID, t time.Time, reason submission.EndReason) {
			if !t.IsZero() && !t.After(now) && (how == 0 || t.Before(at)) {
				run, at, how = r, t, reason
			}
		}
		for r, mr := range w.runs {
			consider(r, leaseEnd, submission.LeaseExpired)
			consider(r, mr.stopAt, submission.Stopped)
			reason := submission.Done
			if mr.failed {
				reason = submission.Failed
			}
			consider(r, mr.endsAt, reason)
		}
		if how == 0 {
			break
		}
		stray := w.runs[run].stray
		delete(w.runs, run)
		w.barred[run.Task] = max(w.barred[run.Task], run.Number)
		w.lastEnd++
		w.ends = append(w.ends, modelEnd{ListedEnd: runner.ListedEnd{Number: w.lastEnd, Run: run, Reason: how}, at: at, stray: stray})
		w.logf("%s: end %d: %v %s", w.name(), w.lastEnd, run, how)
		close(w.changed)
		w.changed = make(chan struct{})
	}
	if !now.Before(leaseEnd) {
		for i := range w.ends {
			w.ends[i].lapsed = true
		}
	}
}

// extend applies a lease end. The caller holds mu.
func (w *modelWorker) extend(now time.Time, leaseEnd time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(leaseEnd, w.clock(now)+_modelMaxLease))
}

// passes reports whether a token is not lower than the highest one seen. The caller holds
// mu.
func (w *modelWorker) passes(token uint64, sentToMS int64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	w.reached = w.reached || token > 0 && sentToMS == w.startedMS
	return true
}

// reply is what a call returns.
type reply struct {
	answer  runner.StartAnswer
	clock   time.Duration
	listing runner.Listing
	err     error
}

// start carries out a start that was sent to the incarnation that began at sentToMS.
func (w *modelWorker) start(o runner.StartOrder, sentToMS int64) (out reply) {
	now, unheard := time.Now(), !w.reached && sentToMS != w.startedMS
	out.clock = w.clock(now)
	defer func() {
		w.logf("%s: start %v token %x lease %s: answer %d, lease ends in %s", w.name(), o.Run, o.Token, o.LeaseEnd, out.answer, w.leaseEnd-out.clock)
	}()
	if now.Before(w.sickUntil) {
		out.answer, out.clock = runner.Unhealthy, 0
		return out
	}
	if !w.passes(o.Token, sentToMS) {
		out.answer = runner.Fenced
		return out
	}
	if w.runs[o.Run] == nil && o.LeaseEnd <= out.clock {
		out.answer = runner.TooLate
		return out
	}
	w.extend(now, o.LeaseEnd)
	switch {
	case w.runs[o.Run] != nil:
	case o.Run.Number <= w.barred[o.Run.Task]:
		out.answer = runner.Superseded
		return out
	case w.checksRoom && int64(len(w.runs)+1)*_modelTaskCPU > w.capacity().CPU:
		out.answer = runner.NoCapacity
		return out
	default:
		w.runs[o.Run] = newModelRun(now, o)
		w.runs[o.Run].stray = sentToMS != w.startedMS
		w.checkStart(now, w, o.Run, unheard)
	}
	out.answer = runner.Started
	return out
}

// newModelRun draws how a run goes from its name.
func newModelRun(now time.Time, o runner.StartOrder) *modelRun {
	h := fnv.New64a()
	fmt.Fprint(h, o.Run)
	rnd := rand.New(rand.NewPCG(h.Sum64(), 0))
	lasts := 300*time.Millisecond + rand.N(1700*time.Millisecond)
	if rnd.IntN(6) == 0 {
		lasts *= 3
	}
	r := &modelRun{began: now, endsAt: now.Add(lasts), failed: rnd.IntN(40) == 0}
	if o.Text == _modelLongText && !r.failed {
		r.endsAt = time.Time{}
	}
	return r
}

func (w *modelWorker) stop(run submission.RunID, token uint64, sentToMS int64) (out reply) {
	now := time.Now()
	w.logf("%s: stop %v token %x, seen %x", w.name(), run, token, w.token)
	if !w.passes(token, sentToMS) {
		return reply{err: runner.ErrFenced}
	}
	if r := w.runs[run]; r == nil {
		w.barred[run.Task] = max(w.barred[run.Task], run.Number)
	} else if r.stopAt.IsZero() {
		r.stopAt = now.Add(rand.N(_modelStopTimeout))
	}
	return out
}

// hold renews the lease and forgets acknowledged ends. The call was sent to the incarnation
// that began at sentToMS.
func (w *modelWorker) hold(p runner.PollRequest, sentToMS int64) (out reply) {
	now := time.Now()
	if !w.passes(p.Token, sentToMS) {
		w.logf("%s: hold token %x is fenced, seen %x", w.name(), p.Token, w.token)
		return reply{err: runner.ErrFenced}
	}
	w.extend(now, p.LeaseEnd)
	for len(w.ends) > 0 && w.ends[0].Number <= p.LastRecordedEnd {
		w.logf("%s: end %d of %v is acknowledged by token %x, sent to %d", w.name(), w.ends[0].Number, w.ends[0].Run, p.Token, sentToMS)
		w.ends[0].stray = w.ends[0].stray || sentToMS != w.startedMS
		w.checkAcknowledged(w, w.ends[0])
		w.ends = w.ends[1:]
	}
	return out
}

func (w *modelWorker) list() (l runner.Listing) {
	now := time.Now()
	l = runner.Listing{StartTimeMS: w.startedMS, Clock: w.clock(now)}
	for run, r := range w.runs {
		a := runner.ListedRun{Run: run, Progress: 100}
		if !r.endsAt.IsZero() {
			a.Progress = int(100 * now.Sub(r.began) / r.endsAt.Sub(r.began))
		}
		l.Active = append(l.Active, a)
	}
	for _, e := range w.ends[:min(len(w.ends), _modelMaxEnds)] {
		l.Ends = append(l.Ends, e.ListedEnd)
	}
	l.MoreEnds = len(l.Ends) == _modelMaxEnds
	return l
}

// apply carries out a call on the incarnation that is up now.
func (w *modelWorker) apply(id string, sentToMS int64, f func() reply) reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.up:
		return reply{err: runner.ErrRefused}
	case id != w.id():
		return reply{err: runner.ErrOtherIncarnation, answer: runner.OtherIncarnation}
	}
	if !w.reached && sentToMS != w.startedMS && !*_unheard {
		return reply{err: errReset}
	}
	w.advanceAll(time.Now())
	return f()
}

// callFate is what becomes of a call.
type callFate struct {
	refused, hangs bool          // it doesn't arrive; hangs: without an error
	late           time.Duration // after which it is carried out without an answer; 0 for at once
	there, back    time.Duration // delays of the call and its answer
	lost           bool          // the answer is lost
}

func (w *modelWorker) fate() (f callFate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := func(d time.Duration) time.Duration { return time.Duration(w.rnd.Int64N(int64(d))) }
	now := time.Now()
	f.there, f.back = n(3*time.Millisecond), n(3*time.Millisecond)
	f.hangs = w.rnd.IntN(2) == 0
	if !w.up {
		f.refused, f.hangs = true, w.silent
		return f
	}
	if now.Before(w.hungUntil) {
		f.hangs = true
		if f.refused = w.rnd.IntN(2) == 0; !f.refused {
			f.late = w.hungUntil.Sub(now) + n(300*time.Millisecond)
		}
		return f
	}
	odds := 1
	if now.Before(w.oddUntil) {
		odds = w.odds
	}
	switch k := w.rnd.IntN(100); {
	case k < odds:
		f.late = 300*time.Millisecond + n(11700*time.Millisecond)
	case k < 2*odds:
		f.lost = true
	case k < 2*odds+odds/5:
		f.refused = true
	case k < 3*odds:
		f.there, f.back = n(150*time.Millisecond), n(300*time.Millisecond)
	}
	return f
}

// do makes a call of an agent. The call was made when the incarnation was up that began at
// sentToMS.
func (w *modelWorker) do(ctx context.Context, id string, sentToMS int64, what string, f func() reply) reply {
	fate := w.fate()
	noAnswer := func() reply {
		if !fate.hangs {
			return reply{err: errReset}
		}
		<-ctx.Done()
		return reply{err: ctx.Err()}
	}
	switch {
	case fate.refused && !fate.hangs:
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.up {
			return reply{err: runner.ErrRefused}
		}
		return reply{err: errReset}
	case fate.refused:
		return noAnswer()
	case fate.late > 0:
		w.mu.Lock()
		w.logf("%s: %s for %s will be carried out in %s", w.name(), what, id, fate.late)
		w.mu.Unlock()
		w.later(fate.late, func() { w.apply(id, sentToMS, f) })
		return noAnswer()
	}
	time.Sleep(fate.there)
	out := w.apply(id, sentToMS, f)
	if fate.lost {
		return noAnswer()
	}
	select {
	case <-ctx.Done():
		return reply{err: ctx.Err()}
	case <-time.After(fate.back):
		return out
	}
}

// poll makes a long poll of an agent.
func (w *modelWorker) poll(ctx context.Context, id string, sentToMS int64, p runner.PollRequest) reply {
	var startedMS int64
	out := w.do(ctx, id, sentToMS, fmt.Sprintf("hold token %x lease %s seen %d", p.Token, p.LeaseEnd, p.LastRecordedEnd), func() reply {
		startedMS = w.startedMS
		return w.hold(p, sentToMS)
	})
	if out.err != nil {
		return out
	}
	timeout := time.After(p.Wait)
	for waits := p.Wait > 0; ; {
		w.mu.Lock()
		w.advanceAll(time.Now())
		if !w.up || w.startedMS != startedMS {
			w.mu.Unlock()
			return reply{err: errReset}
		}
		if !waits || len(w.ends) > 0 {
			out.listing = w.list()
			w.mu.Unlock()
			break
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waits = false
		case <-ctx.Done():
			return reply{err: ctx.Err()}
		}
	}
	if delay := w.fate().back; delay > 3*time.Millisecond { // overtaken by later answers
		select {
		case <-ctx.Done():
			return reply{err: ctx.Err()}
		case <-time.After(delay):
		}
	}
	return out
}

// capacity returns the worker's room.
func (w *modelWorker) capacity() submission.Resources {
	return submission.Resources{CPU: 6 * _modelTaskCPU, Memory: 1000}
}

// announcement returns the next announcement. The caller holds mu.
func (w *modelWorker) announcement() runner.Announcement {
	w.sequence++
	return runner.Announcement{
		ID: w.id(), StartTimeMS: w.startedMS, Sequence: w.sequence, Address: w.machine, Service: "s", Zone: modelZone(w.machine), Rack: "r",
		Machine: w.machine, Capacity: w.capacity(), Draining: w.draining, Remaining: time.Second,
	}
}

// modelZone returns the zone of a machine: "z0" or "z1".
func modelZone(machine string) string { return fmt.Sprint("z", (machine[len(machine)-1]-'0')%2) }

// model is what the workers of a group see together, and the check of it.
type model struct {
	mu         sync.Mutex
	began      time.Time
	workers    []*modelWorker
	starts     map[submission.TaskID][]modelStart
	doneEnds   map[submission.TaskID]modelEnd // acknowledged
	violations []violation
	trace      []string
	pending    sync.WaitGroup // late calls
	closing    chan struct{}
}

type violation struct {
	cause cause
	text  string
}

// cause says what has started the runs of a violation.
type cause uint8

const (
	// ordered: both calls were carried out by the incarnations that they were sent to.
	ordered cause = iota + 1
	// strayOrder: a later incarnation has carried out one of the calls.
	strayOrder
	// strayCopy: the same, and the call was a second one for a run that was done, on an
	// incarnation that knew of nothing and that no call could reach before.
	strayCopy
	// limitedWork: an answer on work beyond the limits was wrong; no run was started.
	limitedWork
)

func (c cause) String() string {
	return [...]string{"ordered", "stray order", "stray copy", "limited work"}[c-ordered]
}

func causeOf(isCopy, isStray bool) cause {
	switch {
	case isCopy:
		return strayCopy
	case isStray:
		return strayOrder
	default:
		return ordered
	}
}

type modelStart struct {
	at      time.Time
	run     submission.RunID
	worker  string
	stray   bool // as of the run
	unheard bool // no call has reached the incarnation before that was sent to it
}

// later calls f after d, unless the play ends before.
func (m *model) later(d time.Duration, f func()) {
	m.pending.Go(func() {
		select {
		case <-time.After(d):
			f()
		case <-m.closing:
		}
	})
}

func (m *model) advanceAll(now time.Time) {
	for _, w := range m.workers {
		w.advance(now)
	}
}

// logf adds a line to the trace. The caller holds mu.
func (m *model) logf(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%7.3f ", time.Since(m.began).Seconds())+fmt.Sprintf(format, args...))
}

// checkStart checks a start that a worker carries out now. unheard is true if no
// call has reached the incarnation that was sent to it. The caller holds
// mu, and all workers have advanced.
func (m *model) checkStart(now time.Time, on *modelWorker, run submission.RunID, unheard bool) {
	for _, w := range m.workers {
		for other, r := range w.runs {
			if w.up && other.Task == run.Task && !(w == on && other == run) {
				m.report(run.Task, causeOf(false, r.stray || on.runs[run].stray), "two runs at the same time: %v on %s and %v on %s", other, w.name(), run, on.name())
			}
		}
	}
	if e, ok := m.doneEnds[run.Task]; ok {
		m.report(run.Task, causeOf(unheard && e.Run == run, e.stray || on.runs[run].stray), "%v starts on %s after %v has ended as done, which was acknowledged", run, on.name(), e.Run)
	}
	m.starts[run.Task] = append(m.starts[run.Task], modelStart{at: now, run: run, worker: on.name(), stray: on.runs[run].stray, unheard: unheard})
}

// checkAcknowledged checks an end that is acknowledged now. The caller holds mu.
func (m *model) checkAcknowledged(w *modelWorker, e modelEnd) {
	if e.Reason != submission.Done || e.lapsed {
		return
	}
	m.doneEnds[e.Run.Task] = e
	for _, s := range m.starts[e.Run.Task] {
		if s.at.After(e.at) {
			m.report(e.Run.Task, causeOf(s.unheard && s.run == e.Run, s.stray || e.stray), "%v has started on %s after %v has ended as done on %s, which is acknowledged", s.run, s.worker, e.Run, w.name())
		}
	}
}

// report records a violation with the lines of the trace about the task, and about what
// happened to machines, controllers and incarnations. The caller holds mu.
func (m *model) report(task submission.TaskID, c cause, format string, args ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%.3f s: task %s: "+format+"\n", append([]any{time.Since(m.began).Seconds(), task}, args...)...)
	for _, line := range m.trace {
		if strings.Contains(line, task.String()+" ") || strings.Contains(line, task.String()+"\"") || strings.Contains(line, fmt.Sprintf("{%s", task)) ||
			!strings.Contains(line, ": ") || strings.Contains(line, "agent_") || strings.Contains(line, "worker_") || strings.Contains(line, "role_changed") || strings.Contains(line, "target_") {
			b.WriteString("    " + line + "\n")
		}
	}
	m.violations = append(m.violations, violation{cause: c, text: b.String()})
}
