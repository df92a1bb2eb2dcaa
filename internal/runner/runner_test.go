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

// fakeWorker answers starts as it is told, one answer a call, the last one
// again and again.
type fakeWorker struct {
	mu     sync.Mutex
	starts []startResult
	calls  []string
}

type startResult struct {
	answer StartAnswer
	err    error
}

func (w *fakeWorker) note(call string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, call)
}

func (w *fakeWorker) called() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.calls)
}

func (w *fakeWorker) Start(context.Context, string, StartOrder) (StartAnswer, time.Duration, error) {
	w.note("start")
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.starts[0]
	if len(w.starts) > 1 {
		w.starts = w.starts[1:]
	}
	return r.answer, 0, r.err
}

func (w *fakeWorker) Stop(context.Context, string, submission.RunID, uint64) error {
	w.note("stop")
	return nil
}

func (w *fakeWorker) Hold(context.Context, string, Hold) (Listing, error) {
	return Listing{}, errNoAnswer
}

func (w *fakeWorker) Pace(context.Context, string, submission.RunID, int, uint64) error { return nil }

// newRunner returns a runner whose loops do not run, with a worker that has
// announced itself and a lease of the leader's.
func newRunner(t *testing.T, w *fakeWorker) *Runner {
	t.Helper()
	r := &Runner{
		machine: "m", address: "10.0.0.1:1", worker: w, leaders: control.NewClient([]string{"127.0.0.1:1"}),
		wakeReport: make(chan struct{}, 1), wakeHold: make(chan struct{}, 1), log: event.Log{},
	}
	r.reset()
	r.Heard(Announcement{ID: "w", Born: 1000, Sequence: 1, Address: "10.0.0.1:1"})
	r.lease.read(time.Hour, clock.Now())
	r.lease.granted(clock.Now(), time.Minute)
	t.Cleanup(func() {
		r.mu.Lock()
		r.reset()
		r.life = Life{}
		r.mu.Unlock()
		r.tasks.Wait()
	})
	return r
}

func testRun(number uint32) submission.RunID {
	return submission.RunID{Task: submission.TaskID{Submission: "s"}, Number: number}
}

func (r *Runner) give(o *pb.AgentOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.obey(context.Background(), o)
}

func startOrder(number uint32) *pb.AgentOrder {
	return &pb.AgentOrder{Term: 1, Starts: []*pb.StartOrder{{Run: wire.EncodeRun(testRun(number)), Text: "x"}}}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: not within 10 s", what)
}

func (r *Runner) refusedAs(run submission.RunID) submission.How {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused[run].How
}

// TestSilentWorkerGetsNoLease hands starts to a worker that does not answer.
// They must not go on to extend its lease, or its runs never count as over.
func TestSilentWorkerGetsNoLease(t *testing.T) {
	w := &fakeWorker{starts: []startResult{{err: errNoAnswer}}}
	r := newRunner(t, w)
	r.give(startOrder(1))
	eventually(t, "a start is tried", func() bool { return len(w.called()) > 0 })
	for range _silentTries {
		r.held(context.Background(), r.currentLife(), clock.Now(), Listing{}, errNoAnswer)
	}
	r.mu.Lock()
	sent := r.lease.lastSent
	r.mu.Unlock()
	tried := len(w.called())
	time.Sleep(5 * _retryPause)
	r.mu.Lock()
	now := r.lease.lastSent
	r.mu.Unlock()
	if got := len(w.called()); got > tried+1 || now.After(sent) {
		t.Errorf("%d more starts were sent to a silent worker; its lease grew by %s", got-tried, now.Sub(sent))
	}
	r.mu.Lock()
	r.unanswered(sent, errNoAnswer)
	r.mu.Unlock()
	if got := r.refusedAs(testRun(1)); got != submission.Lapsed {
		t.Errorf("after the lease the run is %s, want lapsed", got)
	}
}

// TestUnansweredStartIsStopped loses the answer of a start that is refused
// when it is sent again: the first may still be carried out, so it is forbidden
// before the leader may start the task elsewhere.
func TestUnansweredStartIsStopped(t *testing.T) {
	w := &fakeWorker{starts: []startResult{{err: errNoAnswer}, {answer: NoRoom}}}
	r := newRunner(t, w)
	r.give(startOrder(1))
	eventually(t, "a stop is sent", func() bool { return slices.Contains(w.called(), "stop") })
	if got := r.refusedAs(testRun(1)); got != 0 {
		t.Errorf("the run is %s before a listing has shown that it is not there", got)
	}
	eventually(t, "the stop is answered", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		o := r.orders[testRun(1)]
		return o != nil && o.started
	})
	r.held(context.Background(), r.currentLife(), clock.Now(), Listing{Clock: time.Hour}, nil)
	if got := r.refusedAs(testRun(1)); got != submission.Stopped {
		t.Errorf("after the listing the run is %s, want stopped", got)
	}
}

func TestRefusedStartNeedsNoStop(t *testing.T) {
	w := &fakeWorker{starts: []startResult{{answer: NoRoom}}}
	r := newRunner(t, w)
	r.give(startOrder(1))
	eventually(t, "the run is refused", func() bool { return r.refusedAs(testRun(1)) == submission.Refused })
	if slices.Contains(w.called(), "stop") {
		t.Error("a stop was sent")
	}
	r.give(startOrder(1))
	if len(w.called()) != 1 {
		t.Error("the refused run was started again")
	}
}

// TestListingBeforeStart takes in a listing that was asked for before a start
// was answered: it says nothing of the run.
func TestListingBeforeStart(t *testing.T) {
	w := &fakeWorker{starts: []startResult{{answer: Started}}}
	r := newRunner(t, w)
	asked := clock.Now()
	r.give(startOrder(1))
	started := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.orders[testRun(1)] != nil && r.orders[testRun(1)].started
	}
	eventually(t, "the run is started", started)
	r.held(context.Background(), r.currentLife(), asked, Listing{Clock: time.Hour}, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.orders[testRun(1)]; o == nil || !o.gone.IsZero() {
		t.Error("the run counts as missing")
	}
}

// TestRestartedAgent plays an agent that has lost all: it tells the leader of
// its worker before it may list the runs, and adopts them when it has.
func TestRestartedAgent(t *testing.T) {
	r := newRunner(t, &fakeWorker{starts: []startResult{{answer: Started}}})
	s := session{life: r.currentLife()}
	first, _ := r.nextReport(&s)
	if first.GetWorker() == nil || first.GetComplete() {
		t.Errorf("first report: worker %v, complete %t", first.GetWorker(), first.GetComplete())
	}
	r.held(context.Background(), r.currentLife(), clock.Now(), Listing{
		Clock:  time.Hour,
		Active: []ListedRun{{Run: testRun(3), Saved: "c"}},
		Ends:   []ListedEnd{{Number: 7, Run: testRun(2), How: submission.Done}},
	}, nil)
	second, _ := r.nextReport(&s)
	if !second.GetComplete() || len(second.GetActive()) != 1 || len(second.GetEnds()) != 1 {
		t.Fatalf("second report: %v", second)
	}
	r.give(startOrder(2))
	r.give(startOrder(3))
	if got := r.worker.(*fakeWorker).called(); len(got) != 0 {
		t.Errorf("runs that are there were started again: %v", got)
	}
	r.give(&pb.AgentOrder{Term: 1, Taken: 7})
	if h, _ := func() (Hold, bool) { _, h, ok := r.nextHold(); return h, ok }(); h.LastSeen != 7 {
		t.Errorf("the next hold takes note up to %d, want 7", h.LastSeen)
	}
}

func TestAnnouncements(t *testing.T) {
	tests := []struct {
		name string
		a    Announcement
		want Life
	}{
		{"a late one of an earlier life", Announcement{ID: "v", Born: 900, Sequence: 9, Address: "10.0.0.1:1"}, Life{"w", 1000}},
		{"one for another address", Announcement{ID: "v", Born: 2000, Address: "10.0.0.2:1"}, Life{"w", 1000}},
		{"a new life", Announcement{ID: "v", Born: 2000, Address: "10.0.0.1:1"}, Life{"v", 2000}},
		{"a new life under the old name", Announcement{ID: "w", Born: 2000, Address: "10.0.0.1:1"}, Life{"w", 2000}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRunner(t, &fakeWorker{starts: []startResult{{answer: Started}}})
			r.Heard(tc.a)
			if got := r.currentLife(); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

func TestOldLeaderIsNotObeyed(t *testing.T) {
	w := &fakeWorker{starts: []startResult{{answer: Started}}}
	r := newRunner(t, w)
	r.give(&pb.AgentOrder{Term: 5})
	r.give(startOrder(1))
	time.Sleep(2 * _retryPause)
	if got := w.called(); len(got) != 0 {
		t.Errorf("an order of term 1 was carried out in term 5: %v", got)
	}
}

// TestLeaseEndsInTime draws clocks that are up to 2% slow, answers that are
// late and grants of any length: what the worker takes for the lease's end is
// never after the leader's.
func TestLeaseEndsInTime(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		start := time.Unix(1000, 0)
		rate := 1 - 0.02*rnd.Float64()
		workerClock := func(at time.Time) time.Duration {
			return time.Hour + time.Duration(float64(at.Sub(start))*rate)
		}
		var l lease
		granted := time.Duration(rnd.IntN(6000)) * time.Millisecond
		l.granted(start, granted)
		answered := start.Add(time.Duration(rnd.IntN(1000)) * time.Millisecond)
		arrived := answered.Add(time.Duration(rnd.IntN(500)) * time.Millisecond)
		l.read(workerClock(answered), arrived)
		now := arrived.Add(time.Duration(rnd.IntN(2000)) * time.Millisecond)
		until, ok := l.next(now)
		if !ok {
			continue
		}
		// The real time at which the worker's clock shows the end.
		end := start.Add(time.Duration(float64(until-time.Hour) / rate))
		if slack := 2 * time.Microsecond; end.After(start.Add(granted).Add(slack)) {
			t.Fatalf("the worker's lease ends %s after the leader's", end.Sub(start.Add(granted)))
		}
		if l.over(end.Add(-2 * time.Microsecond)) {
			t.Fatalf("the lease counts as over %s too early", end.Sub(l.lastSent))
		}
	}
}

// TestOrderDoesNotOutliveItsLease hands in a start whose lease runs out before
// the worker is called. The leader has given the run up then, so that the order
// must not be carried out under a later lease.
func TestOrderDoesNotOutliveItsLease(t *testing.T) {
	w := &fakeWorker{starts: []startResult{{answer: Started}}}
	r := newRunner(t, w)
	r.mu.Lock()
	r.lease.until = clock.Now().Add(-time.Millisecond)
	r.mu.Unlock()
	r.give(startOrder(1))
	time.Sleep(2 * _retryPause)
	renewed := startOrder(2)
	renewed.Sent, renewed.Lease = clock.Now().UnixNano(), int64(time.Minute)
	r.give(renewed)
	eventually(t, "the later start is carried out", func() bool { return len(w.called()) > 0 })
	eventually(t, "the earlier start is refused", func() bool { return r.refusedAs(testRun(1)) == submission.Refused })
	time.Sleep(2 * _retryPause)
	if got := w.called(); len(got) != 1 {
		t.Errorf("calls %v, want one start", got)
	}
}

// TestUnansweredStartEndsWithItsLease loses the answer to a start, and then the
// lease: the run is forbidden before its task can start anew.
func TestUnansweredStartEndsWithItsLease(t *testing.T) {
	w := &fakeWorker{starts: []startResult{{err: errNoAnswer}}}
	r := newRunner(t, w)
	r.give(startOrder(1))
	eventually(t, "the start is tried", func() bool { return len(w.called()) > 0 })
	r.mu.Lock()
	r.lease.until = clock.Now().Add(-time.Millisecond)
	r.mu.Unlock()
	r.give(&pb.AgentOrder{Term: 1, Sent: clock.Now().UnixNano(), Lease: int64(time.Minute)})
	eventually(t, "the run is stopped", func() bool { return slices.Contains(w.called(), "stop") })
	tried := len(w.called())
	time.Sleep(2 * _retryPause)
	if got := w.called(); slices.Contains(got[tried:], "start") {
		t.Errorf("calls %v: a start after the stop", got)
	}
}

// deafWorker leaves the first listing unanswered, until the caller gives up, and
// then lists the end of a run.
type deafWorker struct {
	fakeWorker
	holds int
}

func (w *deafWorker) Hold(ctx context.Context, _ string, _ Hold) (Listing, error) {
	w.mu.Lock()
	w.holds++
	n := w.holds
	w.mu.Unlock()
	if n == 1 {
		<-ctx.Done()
		return Listing{}, ctx.Err()
	}
	return Listing{Clock: time.Hour, Ends: []ListedEnd{{Number: 1, Run: testRun(1), How: submission.Done}}}, nil
}

// TestUnansweredListing loses the answer to a listing that waits for an end: the
// end is known soon all the same.
func TestUnansweredListing(t *testing.T) {
	const most = 700 * time.Millisecond // the users aim at 250 ms for a quote, and lose one answer in twenty on some days
	w := &deafWorker{}
	r := newRunner(t, &w.fakeWorker)
	r.worker = w
	r.listed = true
	ctx, cancel := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() { r.holdLoop(ctx) })
	defer loop.Wait()
	defer cancel()
	began := time.Now()
	eventually(t, "the end is known", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.highest == 1
	})
	if took := time.Since(began); took > most {
		t.Errorf("the end was known after %s, want at most %s", took, most)
	}
}

// TestStandstillIsToldByTheEstimate lists a run whose progress stands still: the
// shorter its task, the sooner the leader is told, and a paced one later.
func TestStandstillIsToldByTheEstimate(t *testing.T) {
	tests := []struct {
		name     string
		estimate time.Duration
		share    int
		least    time.Duration
		most     time.Duration
	}{
		{"a short task", 600 * time.Millisecond, 100, 700 * time.Millisecond, time.Second},
		{"a long one", time.Minute, 100, _stallMost, _stallMost},
		{"a short one that is paced", 600 * time.Millisecond, 50, 1400 * time.Millisecond, 2 * time.Second},
		{"one without an estimate", 0, 100, _stallMost, _stallMost},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRunner(t, &fakeWorker{starts: []startResult{{answer: Started}}})
			o := &order{run: testRun(1), described: true, share: tc.share, estimate: tc.estimate}
			now := time.Unix(1000, 0)
			list := ListedRun{Run: testRun(1), Percent: 10}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.noteProgress(now, o, list)
			for after := time.Duration(0); ; after += 50 * time.Millisecond {
				r.noteProgress(now.Add(after), o, list)
				if o.stalled || after > 2*_stallMost {
					if after < tc.least || after > tc.most {
						t.Errorf("told after %s, want %s to %s", after, tc.least, tc.most)
					}
					return
				}
			}
		})
	}
}

// TestFencedStartIsRepeated has a new leader attach while a start of the former
// leader's term is on its way: the worker refuses it, and the run, which the new
// leader counts as ordered, is started in the new term.
func TestFencedStartIsRepeated(t *testing.T) {
	w := &fakeWorker{starts: []startResult{{answer: Fenced}, {answer: Started}}}
	r := newRunner(t, w)
	r.give(startOrder(1))
	eventually(t, "the start is repeated", func() bool { return len(w.called()) >= 2 })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orders[testRun(1)] == nil {
		t.Error("the order is forgotten")
	}
}

// TestFencedListingIsNoSilence has a worker refuse to list its runs to an agent
// that does not know the term yet: it has answered, and is not given up.
func TestFencedListingIsNoSilence(t *testing.T) {
	r := newRunner(t, &fakeWorker{starts: []startResult{{answer: Started}}})
	for range 2 * _silentTries {
		r.held(context.Background(), r.currentLife(), clock.Now(), Listing{}, fmt.Errorf("list: %w", ErrFenced))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		t.Error("the worker counts as silent")
	}
}
