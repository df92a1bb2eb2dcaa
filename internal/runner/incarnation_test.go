package runner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// returningWorker is a worker that may start again under its identifier. It keeps
// nothing of an earlier incarnation.
type returningWorker struct {
	mu          sync.Mutex
	incarnation Incarnation
	began       time.Time // of the incarnation, whose clock starts at 0
	token       uint64    // highest of an order
	active      map[submission.RunID]bool
	highest     map[submission.TaskID]uint32 // run that was stopped or has ended
	ends        []ListedEnd
	lastEnd     uint64
	down        bool // answers nothing
	refuseStops bool
	fenced      int          // starts that were refused
	hold        bool         // keeps orders to start unanswered
	held        []StartOrder // orders that are carried out later
	maxEnds     int          // ends in one listing; 0 for all
}

func newReturningWorker() *returningWorker {
	w := &returningWorker{incarnation: Incarnation{ID: "w", StartTimeMS: 1000}}
	w.reset()
	return w
}

func (w *returningWorker) reset() {
	w.began, w.token, w.lastEnd, w.ends = clock.Now(), 0, 0, nil
	w.active, w.highest = make(map[submission.RunID]bool), make(map[submission.TaskID]uint32)
}

// restart starts the next incarnation under the same identifier.
func (w *returningWorker) restart() Incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation.StartTimeMS += 1000
	w.reset()
	return w.incarnation
}

func (w *returningWorker) runs(run submission.RunID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active[run]
}

func (w *returningWorker) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *returningWorker) fence(token uint64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

func (w *returningWorker) Start(_ context.Context, id string, o StartOrder) (StartAnswer, time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.down:
		return 0, 0, errNoAnswer
	case id != w.incarnation.ID:
		return OtherIncarnation, 0, nil
	case w.hold:
		w.held = append(w.held, o)
		return 0, 0, errNoAnswer
	}
	return w.start(o), clock.Now().Sub(w.began), nil
}

func (w *returningWorker) start(o StartOrder) StartAnswer {
	switch {
	case !w.fence(o.Token):
		w.fenced++
		return Fenced
	case o.LeaseEnd <= clock.Now().Sub(w.began):
		return TooLate
	case o.Run.Number <= w.highest[o.Run.Task]:
		return Superseded
	}
	w.active[o.Run] = true
	return Started
}

// carryOutHeld carries out the orders that were held.
func (w *returningWorker) carryOutHeld() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.held {
		w.start(o)
	}
	w.held = nil
}

// end ends a run. w.mu must be held.
func (w *returningWorker) end(run submission.RunID, reason submission.EndReason) {
	delete(w.active, run)
	w.lastEnd++
	w.ends = append(w.ends, ListedEnd{Number: w.lastEnd, Run: run, Reason: reason})
	w.highest[run.Task] = max(w.highest[run.Task], run.Number)
}

func (w *returningWorker) Stop(_ context.Context, id string, run submission.RunID, token uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.refuseStops || id != w.incarnation.ID || !w.fence(token) {
		return errNoAnswer
	}
	if w.active[run] {
		w.end(run, submission.Stopped)
	}
	w.highest[run.Task] = max(w.highest[run.Task], run.Number)
	return nil
}

func (w *returningWorker) Poll(_ context.Context, id string, req PollRequest) (Listing, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.down:
		return Listing{}, errNoAnswer
	case id != w.incarnation.ID:
		return Listing{}, ErrOtherIncarnation
	case !w.fence(req.Token):
		return Listing{}, fmt.Errorf("poll: %w", ErrFenced)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e ListedEnd) bool { return e.Number <= req.LastRecordedEnd })
	list := Listing{StartTimeMS: w.incarnation.StartTimeMS, Clock: clock.Now().Sub(w.began), Ends: slices.Clone(w.ends)}
	if w.maxEnds > 0 && len(list.Ends) >= w.maxEnds {
		list.Ends, list.MoreEnds = list.Ends[:w.maxEnds], true
	}
	for run := range w.active {
		list.Active = append(list.Active, ListedRun{Run: run})
	}
	return list, nil
}

func (w *returningWorker) Pace(context.Context, string, submission.RunID, int, uint64) error {
	return nil
}

// stubLeader is the leader's end of an agent's stream. It records what it is told.
type stubLeader struct {
	t     *testing.T
	r     *Runner
	w     *returningWorker
	s     session
	last  uint64                                    // attachment
	ended map[submission.RunID]submission.EndReason // as reported first
}

func (l *stubLeader) attach() {
	l.last++
	l.s = session{incarnation: l.r.currentIncarnation(), inferredEnds: make(map[submission.RunID]bool)}
}

// exchange lets the agent report once, and answers.
func (l *stubLeader) exchange(starts ...uint32) {
	l.t.Helper()
	if l.s.incarnation != l.r.currentIncarnation() {
		l.attach()
	}
	report, _ := l.r.nextReport(&l.s)
	o := &pb.AgentOrder{Term: 1, Attachment: l.last, Sent: clock.Now().UnixNano(), Lease: int64(time.Minute)}
	for _, e := range report.GetEnds() {
		run := wire.DecodeRun(e.GetRun())
		l.recordEnd(run, submission.EndReason(e.GetHow()))
		o.Taken = max(o.Taken, e.GetNumber())
	}
	for _, e := range report.GetRefused() {
		end := wire.DecodeRunEnd(e)
		l.recordEnd(end.Run, end.Reason)
		o.Settled = append(o.Settled, e.GetRun())
	}
	for _, n := range starts {
		o.Starts = append(o.Starts, &pb.StartOrder{Run: wire.EncodeRun(testRun(n)), Text: "x"})
	}
	l.check()
	l.r.deliverOrder(o)
}

// recordEnd records an end, unless the run has ended before.
func (l *stubLeader) recordEnd(run submission.RunID, reason submission.EndReason) {
	if l.ended[run] == 0 {
		l.ended[run] = reason
	}
}

// check fails the test if a run that the leader counts as ended runs.
func (l *stubLeader) check() {
	l.t.Helper()
	for run := range l.ended {
		if l.w.runs(run) {
			l.t.Fatalf("%v was reported as %s while it runs", run, l.ended[run])
		}
	}
}

// poll lets the agent poll the worker once.
func (l *stubLeader) poll() {
	l.r.confirmCandidate(context.Background())
	incarnation, req, ok := l.r.nextPoll()
	if !ok {
		return
	}
	sent := clock.Now()
	list, err := l.r.worker.Poll(context.Background(), incarnation.ID, req)
	l.r.handlePollResult(context.Background(), incarnation, sent, list, err)
}

// holdStart orders run 1 and waits until its start is under way on the worker.
func holdStart(t *testing.T, w *returningWorker, l *stubLeader) {
	t.Helper()
	w.set(func() { w.hold = true })
	l.exchange(1)
	eventually(t, "the start is sent", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.held) > 0
	})
}

// settle polls and reports until the agent and the leader have no news.
func (l *stubLeader) settle() {
	l.t.Helper()
	for range 10 {
		l.poll()
		l.exchange()
		time.Sleep(2 * time.Millisecond)
	}
}

func newReturningRunner(t *testing.T) (*Runner, *returningWorker, *stubLeader) {
	t.Helper()
	w := newReturningWorker()
	r := newRunnerBeside(t, w)
	l := &stubLeader{t: t, r: r, w: w, ended: make(map[submission.RunID]submission.EndReason)}
	r.announce(Announcement{ID: "w", StartTimeMS: 1000, Sequence: 1, Address: "10.0.0.1:1"})
	l.settle()
	return r, w, l
}

// newRunnerBeside returns a Runner that has just started and knows nothing of its worker.
func newRunnerBeside(t *testing.T, w *returningWorker) *Runner {
	t.Helper()
	r := newRunner(t, &fakeWorker{})
	r.worker = w
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
	r.incarnation, r.token = Incarnation{}, token{}
	return r
}

func (r *Runner) announceIncarnation(i Incarnation) {
	r.announce(Announcement{ID: i.ID, StartTimeMS: i.StartTimeMS, Sequence: 1, Address: "10.0.0.1:1"})
}

// TestRunStartedOnNextIncarnationIsNotReportedLost guards against a second run of a
// task whose start was carried out by an incarnation that the agent did not know yet.
func TestRunStartedOnNextIncarnationIsNotReportedLost(t *testing.T) {
	for _, tc := range []struct {
		name  string
		polls bool // a poll meets the next incarnation before the announcement does
	}{
		{name: "announced before a poll"},
		{name: "polled before the announcement", polls: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, w, l := newReturningRunner(t)
			next := w.restart()
			l.exchange(1)
			eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
			if tc.polls {
				l.poll()
				l.exchange()
			}
			r.announceIncarnation(next)
			l.settle()
			eventually(t, "the run is stopped and its end reported", func() bool {
				l.settle()
				return l.ended[testRun(1)] != 0
			})
		})
	}
}

// TestLateStartOnNextIncarnationIsFenced guards against a start whose answer was lost
// and that the next incarnation carries out after its run was reported as lost.
func TestLateStartOnNextIncarnationIsFenced(t *testing.T) {
	r, w, l := newReturningRunner(t)
	holdStart(t, w, l)
	next := w.restart()
	w.set(func() { w.hold = false })
	r.announceIncarnation(next)
	eventually(t, "the run is reported as ended", func() bool {
		l.settle()
		return l.ended[testRun(1)] != 0
	})
	w.carryOutHeld()
	l.check()
}

// TestNoStartWhileIncarnationIsInDoubt guards against starts on a worker that has
// perhaps started again: its polls fail, or another incarnation answers them.
func TestNoStartWhileIncarnationIsInDoubt(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(w *returningWorker)
	}{
		{"the connection breaks", func(w *returningWorker) { w.set(func() { w.down = true }) }},
		{"another incarnation answers", func(w *returningWorker) { w.restart() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, w, l := newReturningRunner(t)
			tc.change(w)
			l.poll()
			w.set(func() { w.down = false })
			l.exchange(1)
			time.Sleep(3 * _retryInterval)
			if w.runs(testRun(1)) {
				t.Error("a run was started")
			}
		})
	}
}

// TestFencedAnswerConfirmsNoOtherIncarnation guards against taking up an incarnation
// that has ended because the worker has seen a higher term.
func TestFencedAnswerConfirmsNoOtherIncarnation(t *testing.T) {
	r, w, l := newReturningRunner(t)
	l.exchange(1)
	eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
	l.settle()
	w.set(func() { w.token = 1 << 50 })
	r.announceIncarnation(Incarnation{ID: "w", StartTimeMS: 500})
	if got := r.currentIncarnation().StartTimeMS; got != 1000 {
		t.Errorf("the agent took up the incarnation of %d", got)
	}
	l.exchange()
}

// TestRestartedAgentRespectsLeaseOfEarlierAgent guards against ending runs whose lease
// an earlier agent has renewed: a run that the agent has found, and one that no listing
// has shown before the worker stopped answering.
func TestRestartedAgentRespectsLeaseOfEarlierAgent(t *testing.T) {
	for _, tc := range []struct {
		name   string
		listed bool
	}{
		{"listed", true},
		{"known from an order only", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, w, l := newReturningRunner(t)
			w.set(func() { w.active[testRun(1)] = true })
			now := clock.Now()
			r.mu.Lock()
			r.reset()
			r.lease = lease{}
			r.lease.assumeHeld(now, _maxWorkerLease)
			r.mu.Unlock()
			if tc.listed {
				l.poll()
			}
			w.set(func() { w.down = true })
			r.deliverOrder(&pb.AgentOrder{Term: 1, Attachment: l.last, Stops: []*pb.Run{wire.EncodeRun(testRun(1))}})
			r.failPolls(now.Add(_maxWorkerLease-time.Millisecond), errNoAnswer, errNoAnswer, errNoAnswer)
			l.exchange()
			if end := r.inferredEnd(testRun(1)); end.Reason != 0 {
				t.Errorf("the run is %s before its lease has expired", end.Reason)
			}
			r.failPolls(now.Add(r.maxLease+time.Second), errNoAnswer)
			if end := r.inferredEnd(testRun(1)); end.Reason != submission.LeaseExpired {
				t.Errorf("the run is %s after its lease has expired", end.Reason)
			}
		})
	}
}

// TestCancelledStartOfEarlierAgentIsStopped guards against a start of an earlier agent
// that is carried out late, after the next agent has rejected the order without a call.
func TestCancelledStartOfEarlierAgentIsStopped(t *testing.T) {
	r, w, l := newReturningRunner(t)
	w.set(func() {
		w.held = []StartOrder{{Run: testRun(1), LeaseEnd: time.Hour, Token: token{term: 1, attachment: l.last}.fence(0)}}
	})
	r.announce(Announcement{ID: "w", StartTimeMS: 1000, Sequence: 2, Address: "10.0.0.1:1", Draining: true})
	l.attach()
	l.exchange(1)
	eventually(t, "the run is reported as ended", func() bool {
		l.settle()
		return l.ended[testRun(1)] != 0
	})
	w.carryOutHeld()
	l.check()
}

// TestNextIncarnationMayHoldTheLongestLease guards against ends that are inferred while a
// lease runs that the next incarnation took from a poll for the former one.
func TestNextIncarnationMayHoldTheLongestLease(t *testing.T) {
	r, w, l := newReturningRunner(t)
	next := w.restart()
	l.poll() // carries a lease end on the former clock, which the worker cuts to the longest
	answered := clock.Now()
	r.announceIncarnation(next)
	l.settle()
	l.exchange(1)
	eventually(t, "the run starts", func() bool { return w.runs(testRun(1)) })
	l.settle()
	w.set(func() { w.down = true })
	r.failPolls(answered.Add(r.maxLease-500*time.Millisecond), errNoAnswer, errNoAnswer, errNoAnswer)
	if end := r.inferredEnd(testRun(1)); end.Reason != 0 {
		t.Errorf("the run is %s before the longest lease has expired", end.Reason)
	}
}

// TestPollInDoubtCarriesNoLease guards against a poll that gives the next incarnation the
// longest lease, since its lease end counts on the former clock.
func TestPollInDoubtCarriesNoLease(t *testing.T) {
	r, _, _ := newReturningRunner(t)
	r.failPolls(clock.Now(), errNoAnswer)
	_, req, ok := r.nextPoll()
	if !ok || req.LeaseEnd != 0 {
		t.Errorf("got a poll with the lease end %s, want none", req.LeaseEnd)
	}
}

// TestSecondInferredEndIsReported guards against a run that the leader takes for a stray
// for as long as the stream lasts.
func TestSecondInferredEndIsReported(t *testing.T) {
	r, _, l := newReturningRunner(t)
	run := testRun(1)
	infer := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inferEnd(&trackedRun{run: run}, submission.LeaseExpired)
	}
	infer()
	if report, _ := r.nextReport(&l.s); len(report.GetRefused()) != 1 {
		t.Fatal("the first end was not reported")
	}
	r.deliverOrder(&pb.AgentOrder{Term: 1, Attachment: l.last, Settled: []*pb.Run{wire.EncodeRun(run)}})
	infer() // the run was listed after its end, and ended without a listing
	for range 2 {
		if report, _ := r.nextReport(&l.s); len(report.GetRefused()) == 1 {
			return
		}
	}
	t.Error("the second end was not reported")
}

// TestAgentStartsNothingBesideStray guards against a start on the room of a run that the
// worker has beside the record.
func TestAgentStartsNothingBesideStray(t *testing.T) {
	r, w, l := newReturningRunner(t)
	r.mu.Lock()
	r.announcement.Capacity = submission.Resources{CPU: 1000, Memory: 1}
	r.inferEnd(&trackedRun{run: testRun(1)}, submission.LeaseExpired)
	r.mu.Unlock()
	w.set(func() { w.active[testRun(1)], w.refuseStops = true, true })
	l.poll()
	r.deliverOrder(&pb.AgentOrder{Term: 1, Attachment: l.last, Starts: []*pb.StartOrder{{
		Run: wire.EncodeRun(submission.RunID{Task: submission.TaskID{Submission: "t"}, Number: 1}), Text: "x",
		Needs: wire.EncodeResources(submission.Resources{CPU: 1000, Memory: 1}),
	}}})
	time.Sleep(3 * _retryInterval)
	if w.runs(submission.RunID{Task: submission.TaskID{Submission: "t"}, Number: 1}) {
		t.Error("a run was started on the room of the stray one")
	}
}

// TestLateStartIsFencedWithoutLeader guards against a late start on an incarnation that
// the agent has taken up while no leader can be reached.
func TestLateStartIsFencedWithoutLeader(t *testing.T) {
	r, w, l := newReturningRunner(t)
	w.set(func() {
		w.held = []StartOrder{{Run: testRun(1), LeaseEnd: time.Hour, Token: token{term: 1, attachment: l.last}.fence(0)}}
	})
	r.announceIncarnation(w.restart())
	w.carryOutHeld()
	if w.runs(testRun(1)) {
		t.Error("a start for the former incarnation was carried out")
	}
}

// TestLeaderWithoutStreamNumbersGetsLists guards against a worker that gets no tasks, since
// its agent waits for a token that a leader of an earlier version does not send.
func TestLeaderWithoutStreamNumbersGetsLists(t *testing.T) {
	r, w, l := newReturningRunner(t)
	r.deliverOrder(&pb.AgentOrder{Term: 2, Sent: clock.Now().UnixNano(), Lease: int64(time.Minute)})
	r.announceIncarnation(w.restart())
	l.poll()
	l.attach()
	if report, _ := r.nextReport(&l.s); !report.GetComplete() {
		t.Error("the agent sends no complete list")
	}
}

// TestRenamedWorkerKeepsItsRuns guards against runs that count as lost with the former
// incarnation while the worker, which has changed its identifier, goes on with them.
func TestRenamedWorkerKeepsItsRuns(t *testing.T) {
	for _, tc := range []struct {
		name string
		done bool // the run ends before the agent takes up the identifier
		want submission.EndReason
	}{
		{name: "active", want: submission.Stopped},
		{name: "done", done: true, want: submission.Done},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, w, l := newReturningRunner(t)
			l.exchange(1)
			w.waitForStarts(t, 1)
			l.settle()
			w.set(func() { w.incarnation.ID = "v" })
			if tc.done {
				w.endOf(1)
			}
			r.announceIncarnation(w.incarnation)
			l.exchange()
			l.settle()
			r.deliverOrder(&pb.AgentOrder{Term: 1, Attachment: l.last, Stops: []*pb.Run{wire.EncodeRun(testRun(1))}}) // the record names another incarnation
			eventually(t, "the run ends", func() bool {
				l.settle()
				return l.ended[testRun(1)] != 0
			})
			if got := l.ended[testRun(1)]; got != tc.want {
				t.Errorf("the run is reported as %s, want %s", got, tc.want)
			}
		})
	}
}

// TestStopOnNextIncarnationEndsNothing guards against a run that counts as stopped since
// another incarnation has answered the stop and lacks the run.
func TestStopOnNextIncarnationEndsNothing(t *testing.T) {
	r, w, l := newReturningRunner(t)
	l.exchange(1)
	w.waitForStarts(t, 1)
	l.settle()
	w.restart()
	r.deliverOrder(&pb.AgentOrder{Term: 1, Attachment: l.last, Stops: []*pb.Run{wire.EncodeRun(testRun(1))}})
	eventually(t, "the stop is answered", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.highest[testRun(1).Task] == 1
	})
	for range 3 {
		l.poll()
		l.exchange()
	}
	if how := l.ended[testRun(1)]; how != 0 {
		t.Errorf("the run is reported as %s on the word of another incarnation", how)
	}
}
