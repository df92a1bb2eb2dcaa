package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

var errNoAnswer = errors.New("no answer")

// fakeWorker answers each start with the next of startResults and repeats the
// last one.
type fakeWorker struct {
	mu           sync.Mutex
	startResults []startResult
	running      Incarnation // answers polls
	calls        []string
}

type startResult struct {
	answer StartAnswer
	err    error
}

func (w *fakeWorker) recordCall(call string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, call)
}

func (w *fakeWorker) recordedCalls() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.calls)
}

func (w *fakeWorker) Start(context.Context, string, StartOrder) (StartAnswer, time.Duration, error) {
	w.recordCall("start")
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.startResults[0]
	if len(w.startResults) > 1 {
		w.startResults = w.startResults[1:]
	}
	return r.answer, 0, r.err
}

func (w *fakeWorker) Stop(context.Context, string, submission.RunID, uint64) error {
	w.recordCall("stop")
	return nil
}

func (w *fakeWorker) Poll(_ context.Context, id string, _ PollRequest) (Listing, error) {
	if id != w.running.ID {
		return Listing{}, ErrOtherIncarnation
	}
	return Listing{StartTimeMS: w.running.StartTimeMS}, nil
}

func (w *fakeWorker) Pace(context.Context, string, submission.RunID, int, uint64) error { return nil }

// newRunner returns a Runner whose loops do not run. Its worker has announced
// itself and has listed its runs, and the leader has granted a lease.
func newRunner(t *testing.T, w *fakeWorker) *Runner {
	t.Helper()
	r := &Runner{
		machine: "m", address: "10.0.0.1:1", worker: w, controllers: control.NewClient([]string{"127.0.0.1:1"}),
		wakeReport: make(chan struct{}, 1), wakePoll: make(chan struct{}, 1), log: event.Log{}, maxLease: 6 * time.Second,
	}
	r.reset()
	w.running = Incarnation{"w", 1000}
	r.announce(Announcement{ID: "w", StartTimeMS: 1000, Sequence: 1, Address: "10.0.0.1:1"})
	r.token, r.listedToken = token{term: 1}, token{term: 1}
	r.lease.recordWorkerClock(time.Hour, clock.Now())
	r.lease.applyGrant(clock.Now(), time.Minute)
	t.Cleanup(func() {
		r.mu.Lock()
		r.checkUsage(t)
		r.reset()
		r.incarnation = Incarnation{}
		r.mu.Unlock()
		r.goroutines.Wait()
	})
	return r
}

// announce handles an announcement and asks the worker to confirm it if needed.
func (r *Runner) announce(a Announcement) {
	r.HandleAnnouncement(a)
	r.confirmCandidate(context.Background())
}

func testRun(number uint32) submission.RunID {
	return submission.RunID{Task: submission.TaskID{Submission: "s"}, Number: number}
}

func (r *Runner) deliverOrder(o *pb.AgentOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyOrder(context.Background(), o)
}

func startOrder(number uint32) *pb.AgentOrder {
	return &pb.AgentOrder{Term: 1, Starts: []*pb.StartOrder{{Run: wire.EncodeRun(testRun(number)), Text: "x"}}}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timeout after 10 s: %s", what)
}

func (r *Runner) inferredReason(run submission.RunID) submission.EndReason {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inferredEnds[run].Reason
}

// TestUnresponsiveWorkerLeaseIsNotExtended guards against repeated starts that
// extend the lease of an unresponsive worker: its runs would never count as
// ended.
func TestUnresponsiveWorkerLeaseIsNotExtended(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{err: errNoAnswer}}}
	r := newRunner(t, w)
	r.deliverOrder(startOrder(1))
	eventually(t, "a start is tried", func() bool { return len(w.recordedCalls()) > 0 })
	for range _maxFailedPolls {
		r.handlePollResult(context.Background(), r.currentIncarnation(), clock.Now(), Listing{}, errNoAnswer)
	}
	r.mu.Lock()
	endBefore := r.lease.maxSentEnd
	r.mu.Unlock()
	tried := len(w.recordedCalls())
	time.Sleep(5 * _retryInterval)
	r.mu.Lock()
	endAfter := r.lease.maxSentEnd
	r.mu.Unlock()
	if got := len(w.recordedCalls()); got > tried+1 || endAfter.After(endBefore) {
		t.Errorf("%d more starts were sent to an unresponsive worker; its lease grew by %s", got-tried, endAfter.Sub(endBefore))
	}
	r.mu.Lock()
	r.recordPollFailure(endBefore, errNoAnswer)
	r.mu.Unlock()
	if got := r.inferredReason(testRun(1)); got != submission.LeaseExpired {
		t.Errorf("after the end of the lease the run is %s, want lapsed", got)
	}
}

// TestUnansweredStartIsStopped loses the answer to a start whose repetition the
// worker rejects. The first start may still be carried out, so a stop must
// prevent it before the leader starts the task elsewhere.
func TestUnansweredStartIsStopped(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{err: errNoAnswer}, {answer: NoCapacity}}}
	r := newRunner(t, w)
	r.deliverOrder(startOrder(1))
	eventually(t, "a stop is sent", func() bool { return slices.Contains(w.recordedCalls(), "stop") })
	if got := r.inferredReason(testRun(1)); got != 0 {
		t.Errorf("the run is %s before a listing has shown that the worker lacks it", got)
	}
	eventually(t, "the stop is answered", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		tr := r.runs[testRun(1)]
		return tr != nil && tr.confirmed
	})
	r.handlePollResult(context.Background(), r.currentIncarnation(), clock.Now(), Listing{Clock: time.Hour}, nil)
	if got := r.inferredReason(testRun(1)); got != submission.Stopped {
		t.Errorf("after the listing the run is %s, want stopped", got)
	}
}

// TestRejectedStartSendsNoStop guards against a stop or a second start of a run
// that the worker has rejected.
func TestRejectedStartSendsNoStop(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{answer: NoCapacity}}}
	r := newRunner(t, w)
	r.deliverOrder(startOrder(1))
	eventually(t, "the run is rejected", func() bool { return r.inferredReason(testRun(1)) == submission.Rejected })
	if slices.Contains(w.recordedCalls(), "stop") {
		t.Error("a stop was sent")
	}
	r.deliverOrder(startOrder(1))
	if len(w.recordedCalls()) != 1 {
		t.Error("the rejected run was started again")
	}
}

// TestEarlierListingDoesNotMarkRunMissing handles a listing that was requested
// before a start was answered. Such a listing may lack the run.
func TestEarlierListingDoesNotMarkRunMissing(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{answer: Started}}}
	r := newRunner(t, w)
	requestedAt := clock.Now()
	r.deliverOrder(startOrder(1))
	confirmed := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.runs[testRun(1)] != nil && r.runs[testRun(1)].confirmed
	}
	eventually(t, "the run is started", confirmed)
	r.handlePollResult(context.Background(), r.currentIncarnation(), requestedAt, Listing{Clock: time.Hour}, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	if tr := r.runs[testRun(1)]; tr == nil || !tr.missingSince.IsZero() {
		t.Error("the run counts as missing")
	}
}

// TestRestartedAgentRecoversRuns simulates an agent that restarts without state.
// The agent reports its worker before it may list the runs, and takes over the
// listed runs instead of starting them again.
func TestRestartedAgentRecoversRuns(t *testing.T) {
	r := newRunner(t, &fakeWorker{startResults: []startResult{{answer: Started}}})
	s := session{incarnation: r.currentIncarnation()}
	first, _ := r.nextReport(&s)
	if first.GetWorker() == nil || first.GetComplete() {
		t.Errorf("first report: worker %v, complete %t", first.GetWorker(), first.GetComplete())
	}
	incarnation, _, _ := r.nextPoll()
	r.handlePollResult(context.Background(), incarnation, clock.Now(), Listing{
		Clock:  time.Hour,
		Active: []ListedRun{{Run: testRun(3), Checkpoint: "c"}},
		Ends:   []ListedEnd{{Number: 7, Run: testRun(2), Reason: submission.Done}},
	}, nil)
	second, _ := r.nextReport(&s)
	if !second.GetComplete() || len(second.GetActive()) != 1 || len(second.GetEnds()) != 1 {
		t.Fatalf("second report: %v", second)
	}
	r.deliverOrder(startOrder(2))
	r.deliverOrder(startOrder(3))
	if got := r.worker.(*fakeWorker).recordedCalls(); len(got) != 0 {
		t.Errorf("runs that the worker has were started again: %v", got)
	}
	r.deliverOrder(&pb.AgentOrder{Term: 1, Taken: 7})
	if req, _ := func() (PollRequest, bool) { _, req, ok := r.nextPoll(); return req, ok }(); req.LastRecordedEnd != 7 {
		t.Errorf("the next poll names %d as the latest recorded end, want 7", req.LastRecordedEnd)
	}
}

// TestAnnouncementSelectsIncarnation guards against a late or misaddressed
// announcement that replaces the current incarnation, and against ignoring an
// incarnation whose start time is earlier because a wall clock has stepped.
func TestAnnouncementSelectsIncarnation(t *testing.T) {
	tests := []struct {
		name    string
		a       Announcement
		running Incarnation // on the machine
		want    Incarnation
	}{
		{"late announcement of an earlier incarnation", Announcement{ID: "v", StartTimeMS: 900, Sequence: 9, Address: "10.0.0.1:1"}, Incarnation{"w", 1000}, Incarnation{"w", 1000}},
		{"late announcement of an incarnation that started with a clock ahead", Announcement{ID: "v", StartTimeMS: 2000, Sequence: 9, Address: "10.0.0.1:1"}, Incarnation{"w", 1000}, Incarnation{"w", 1000}},
		{"late announcement under the same identifier, clock ahead", Announcement{ID: "w", StartTimeMS: 2000, Sequence: 9, Address: "10.0.0.1:1"}, Incarnation{"w", 1000}, Incarnation{"w", 1000}},
		{"announcement of another address", Announcement{ID: "v", StartTimeMS: 2000, Address: "10.0.0.2:1"}, Incarnation{"v", 2000}, Incarnation{"w", 1000}},
		{"new incarnation", Announcement{ID: "v", StartTimeMS: 2000, Address: "10.0.0.1:1"}, Incarnation{"v", 2000}, Incarnation{"v", 2000}},
		{"new incarnation with the old identifier", Announcement{ID: "w", StartTimeMS: 2000, Address: "10.0.0.1:1"}, Incarnation{"w", 2000}, Incarnation{"w", 2000}},
		{"new incarnation whose clock is back", Announcement{ID: "v", StartTimeMS: 900, Address: "10.0.0.1:1"}, Incarnation{"v", 900}, Incarnation{"v", 900}},
		{"new incarnation with the old identifier whose clock is back", Announcement{ID: "w", StartTimeMS: 900, Address: "10.0.0.1:1"}, Incarnation{"w", 900}, Incarnation{"w", 900}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := &fakeWorker{startResults: []startResult{{answer: Started}}}
			r := newRunner(t, w)
			w.running = tc.running
			r.announce(tc.a)
			if got := r.currentIncarnation(); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestLateDepartureIsIgnored delivers the departure of an earlier incarnation that
// had the same identifier. The current incarnation must stay in use.
func TestLateDepartureIsIgnored(t *testing.T) {
	tests := []struct {
		name        string
		departed    Incarnation
		then        *Announcement // arrives after the departure
		wantRemoved bool
	}{
		{name: "current incarnation", departed: Incarnation{"w", 1000}, wantRemoved: true},
		{name: "unknown start time", departed: Incarnation{"w", 0}, wantRemoved: true},
		{name: "earlier incarnation", departed: Incarnation{"w", 900}},
		{name: "unknown start time, but the worker goes on", departed: Incarnation{"w", 0}, then: &Announcement{ID: "w", StartTimeMS: 1000, Sequence: 2, Address: "10.0.0.1:1"}},
		{
			name: "a late announcement that it is leaving", departed: Incarnation{"w", 1000}, wantRemoved: true,
			then: &Announcement{ID: "w", StartTimeMS: 1000, Sequence: 2, Address: "10.0.0.1:1", Draining: true},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRunner(t, &fakeWorker{})
			r.HandleDeparture(tc.departed)
			if tc.then != nil {
				r.announce(*tc.then)
			}
			if got := r.encodeWorker().GetLeaving(); got != tc.wantRemoved {
				t.Errorf("leaving is %t, want %t", got, tc.wantRemoved)
			}
		})
	}
}

// TestOrderOfLowerTermIsIgnored guards against carrying out an order of a former
// leader.
func TestOrderOfLowerTermIsIgnored(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{answer: Started}}}
	r := newRunner(t, w)
	r.deliverOrder(&pb.AgentOrder{Term: 5})
	r.deliverOrder(startOrder(1))
	time.Sleep(2 * _retryInterval)
	if got := w.recordedCalls(); len(got) != 0 {
		t.Errorf("an order of term 1 was carried out in term 5: %v", got)
	}
}

// TestWorkerLeaseEndsBeforeGrant draws clocks that are up to 2% slow, late
// answers and grants of any length. The lease end on the worker's clock must
// never be after the end of the leader's grant.
func TestWorkerLeaseEndsBeforeGrant(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		start := time.Unix(1000, 0)
		rate := 1 - 0.02*rnd.Float64()
		workerClock := func(at time.Time) time.Duration {
			return time.Hour + time.Duration(float64(at.Sub(start))*rate)
		}
		var l lease
		granted := time.Duration(rnd.IntN(6000)) * time.Millisecond
		l.applyGrant(start, granted)
		answered := start.Add(time.Duration(rnd.IntN(1000)) * time.Millisecond)
		arrived := answered.Add(time.Duration(rnd.IntN(500)) * time.Millisecond)
		l.recordWorkerClock(workerClock(answered), arrived)
		now := arrived.Add(time.Duration(rnd.IntN(2000)) * time.Millisecond)
		leaseEnd, ok := l.nextEnd(now)
		if !ok {
			continue
		}
		// The real time at which the worker's clock shows the end.
		end := start.Add(time.Duration(float64(leaseEnd-time.Hour) / rate))
		if slack := 2 * time.Microsecond; end.After(start.Add(granted).Add(slack)) {
			t.Fatalf("the worker's lease ends %s after the leader's grant", end.Sub(start.Add(granted)))
		}
		if l.hasExpired(end.Add(-2 * time.Microsecond)) {
			t.Fatalf("the lease counts as expired %s too early", end.Sub(l.maxSentEnd))
		}
	}
}

// TestStartIsCancelledAfterGrantExpires orders a start whose grant expires before
// the worker is called. The leader may then have ended the run, so the start must
// not be carried out under a later grant.
func TestStartIsCancelledAfterGrantExpires(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{answer: Started}}}
	r := newRunner(t, w)
	r.mu.Lock()
	r.lease.grantEnd = clock.Now().Add(-time.Millisecond)
	r.mu.Unlock()
	r.deliverOrder(startOrder(1))
	time.Sleep(2 * _retryInterval)
	renewed := startOrder(2)
	renewed.Sent, renewed.Lease = clock.Now().UnixNano(), int64(time.Minute)
	r.deliverOrder(renewed)
	eventually(t, "the later start is carried out", func() bool { return len(w.recordedCalls()) > 0 })
	eventually(t, "the earlier start is rejected", func() bool { return r.inferredReason(testRun(1)) == submission.Rejected })
	time.Sleep(2 * _retryInterval)
	if got := w.recordedCalls(); len(got) != 1 {
		t.Errorf("calls %v, want one start", got)
	}
}

// TestUnansweredStartIsStoppedAfterGrantExpires loses the answer to a start, after
// which the grant expires. The run must be stopped before its task can start
// again.
func TestUnansweredStartIsStoppedAfterGrantExpires(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{err: errNoAnswer}}}
	r := newRunner(t, w)
	r.deliverOrder(startOrder(1))
	eventually(t, "the start is tried", func() bool { return len(w.recordedCalls()) > 0 })
	r.mu.Lock()
	r.lease.grantEnd = clock.Now().Add(-time.Millisecond)
	r.mu.Unlock()
	r.deliverOrder(&pb.AgentOrder{Term: 1, Sent: clock.Now().UnixNano(), Lease: int64(time.Minute)})
	eventually(t, "the run is stopped", func() bool { return slices.Contains(w.recordedCalls(), "stop") })
	tried := len(w.recordedCalls())
	time.Sleep(2 * _retryInterval)
	if got := w.recordedCalls(); slices.Contains(got[tried:], "start") {
		t.Errorf("calls %v: a start after the stop", got)
	}
}

// slowPollWorker does not answer the first poll before its timeout, and then
// lists the end of a run.
type slowPollWorker struct {
	fakeWorker
	polls int
}

func (w *slowPollWorker) Poll(ctx context.Context, _ string, _ PollRequest) (Listing, error) {
	w.mu.Lock()
	w.polls++
	n := w.polls
	w.mu.Unlock()
	if n == 1 {
		<-ctx.Done()
		return Listing{}, ctx.Err()
	}
	return Listing{Clock: time.Hour, Ends: []ListedEnd{{Number: 1, Run: testRun(1), Reason: submission.Done}}}, nil
}

// TestEndDelayAfterLostListingIsBounded loses the answer to a poll that waits for an
// end. The end must nevertheless be known within maxDelay.
func TestEndDelayAfterLostListingIsBounded(t *testing.T) {
	const maxDelay = 700 * time.Millisecond // quotes have a target of 250 ms, and up to 1/20 of answers are lost
	w := &slowPollWorker{}
	r := newRunner(t, &w.fakeWorker)
	r.worker = w
	r.listed = true
	ctx, cancel := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() { r.pollLoop(ctx) })
	defer loop.Wait()
	defer cancel()
	began := time.Now()
	eventually(t, "the end is known", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.lastListedEnd == 1
	})
	if took := time.Since(began); took > maxDelay {
		t.Errorf("the end was known after %s, want at most %s", took, maxDelay)
	}
}

// TestStallTimeoutFollowsEstimate lists a run without progress. A run of a short
// task must be reported as stalled sooner, and a throttled run later.
func TestStallTimeoutFollowsEstimate(t *testing.T) {
	tests := []struct {
		name     string
		estimate time.Duration
		share    int
		minDelay time.Duration
		maxDelay time.Duration
	}{
		{"short task", 600 * time.Millisecond, 100, 700 * time.Millisecond, time.Second},
		{"long task", time.Minute, 100, _maxStallTimeout, _maxStallTimeout},
		{"throttled short task", 600 * time.Millisecond, 50, 1400 * time.Millisecond, 2 * time.Second},
		{"no estimate", 0, 100, _maxStallTimeout, _maxStallTimeout},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRunner(t, &fakeWorker{startResults: []startResult{{answer: Started}}})
			tr := &trackedRun{run: testRun(1), described: true, share: tc.share, estimate: tc.estimate}
			now := time.Unix(1000, 0)
			list := ListedRun{Run: testRun(1), Progress: 10}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.updateProgress(now, tr, list)
			for after := time.Duration(0); ; after += 50 * time.Millisecond {
				r.updateProgress(now.Add(after), tr, list)
				if tr.stalled || after > 2*_maxStallTimeout {
					if after < tc.minDelay || after > tc.maxDelay {
						t.Errorf("stalled after %s, want %s to %s", after, tc.minDelay, tc.maxDelay)
					}
					return
				}
			}
		})
	}
}

// TestFencedStartIsRepeated has the worker reject a start of the former leader's
// term after a new leader has taken over. The new leader counts the run as
// ordered, so the run must be started in the new term.
func TestFencedStartIsRepeated(t *testing.T) {
	w := &fakeWorker{startResults: []startResult{{answer: Fenced}, {answer: Started}}}
	r := newRunner(t, w)
	r.deliverOrder(startOrder(1))
	eventually(t, "the start is repeated", func() bool { return len(w.recordedCalls()) >= 2 })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[testRun(1)] == nil {
		t.Error("the order was discarded")
	}
}

// TestFencedListingCountsAsAnswer has the worker reject polls of an agent that does
// not know the term yet. The worker has answered, so it must not count as
// unresponsive.
func TestFencedListingCountsAsAnswer(t *testing.T) {
	r := newRunner(t, &fakeWorker{startResults: []startResult{{answer: Started}}})
	for range 2 * _maxFailedPolls {
		r.handlePollResult(context.Background(), r.currentIncarnation(), clock.Now(), Listing{}, fmt.Errorf("list: %w", ErrFenced))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unresponsive {
		t.Error("the worker counts as unresponsive")
	}
}

// TestStartIsReported guards against a leader that doesn't learn for the whole of a run that
// its start was carried out.
func TestStartIsReported(t *testing.T) {
	r, w, l := newReturningRunner(t)
	l.exchange(1)
	w.waitForStarts(t, 1)
	eventually(t, "the run is reported", func() bool {
		report, _ := r.nextReport(&l.s)
		return len(report.GetActive()) == 1 && wire.DecodeRun(report.GetActive()[0].GetRun()) == testRun(1)
	})
}
