package runner

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// checkUsage compares the usage with a look at all runs. r.mu must be held.
func (r *Runner) checkUsage(t *testing.T) {
	t.Helper()
	var want usage
	for _, tr := range r.runs {
		if tr.confirmed || tr.startCalled {
			want.needs = want.needs.Add(tr.needs)
		}
		if tr.confirmed && tr.stopOrdered && !tr.described {
			want.strays++
		}
	}
	if r.usage != want {
		t.Errorf("the usage is %+v, and all runs together have %+v", r.usage, want)
	}
}

// trackRuns tracks runs whose starts have not been called.
func (r *Runner) trackRuns(n int) []*trackedRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*trackedRun, n)
	for i := range out {
		out[i] = &trackedRun{
			run:   submission.RunID{Task: submission.TaskID{Submission: "s", Index: i}, Number: 1},
			needs: submission.Resources{CPU: 1}, described: true,
		}
		r.track(out[i])
	}
	return out
}

// startTime returns the shortest of some times that a number of starts take on a worker
// with the given number of runs.
func startTime(t *testing.T, runs int) time.Duration {
	const series, starts = 8, 20
	r := newRunner(t, &fakeWorker{startResults: []startResult{{answer: Started}}})
	r.announceCapacity(2, int64(runs))
	tracked := r.trackRuns(runs)
	shortest := time.Hour
	for i := range series {
		began := time.Now()
		for _, tr := range tracked[i*starts : (i+1)*starts] {
			if !r.tryStart(context.Background(), r.incarnation, tr) || !tr.confirmed {
				t.Fatalf("run %v does not start", tr.run)
			}
		}
		shortest = min(shortest, time.Since(began))
	}
	return shortest
}

// TestStartLooksAtNoOtherRuns guards against starts that take longer the more runs there are.
func TestStartLooksAtNoOtherRuns(t *testing.T) {
	const few, factor, bound = 400, 32, 8
	short, long := startTime(t, few), startTime(t, few*factor)
	t.Logf("20 starts take %s among %d runs, and %s among %d", short, few, long, few*factor)
	if long > bound*short {
		t.Errorf("with %d times as many runs a start takes %d times as long, want at most %d times", factor, long/short, bound)
	}
}

// TestUsageFollowsRuns guards against a sum that a change of a run's state has missed.
func TestUsageFollowsRuns(t *testing.T) {
	for seed := range uint64(10) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		w := &fakeWorker{startResults: []startResult{
			{answer: Started}, {err: errNoAnswer}, {answer: Rejected}, {answer: Unhealthy}, {answer: Superseded}, {err: ErrRefused}, {answer: Started},
		}}
		r := newRunner(t, w)
		r.announceCapacity(2, 20)
		ends, startTime := uint64(0), int64(1000)
		for range 200 {
			run := submission.RunID{Task: submission.TaskID{Submission: "s", Index: rnd.IntN(20)}, Number: 1 + rnd.Uint32N(3)}
			start := &pb.StartOrder{Run: wire.EncodeRun(run), Repeated: rnd.IntN(2) == 0, Needs: wire.EncodeResources(submission.Resources{CPU: rnd.Int64N(4)})}
			now := clock.Now()
			switch rnd.IntN(8) {
			case 0, 1:
				r.deliverOrder(&pb.AgentOrder{Term: 1, Starts: []*pb.StartOrder{start}})
			case 2:
				r.deliverOrder(&pb.AgentOrder{Term: 1, Stops: []*pb.Run{wire.EncodeRun(run)}})
			case 3, 4:
				r.handlePollResult(context.Background(), r.incarnation, now, Listing{Active: []ListedRun{{Run: run}}, MoreEnds: rnd.IntN(4) > 0}, nil)
			case 5:
				ends++
				r.handlePollResult(context.Background(), r.incarnation, now, Listing{Ends: []ListedEnd{{Number: ends, Run: run, Reason: submission.Done}}, MoreEnds: true}, nil)
			case 6:
				r.failPolls(now.Add(time.Hour), errNoAnswer, errNoAnswer, errNoAnswer)
			default:
				if rnd.IntN(10) == 0 {
					ends, startTime = 0, startTime+1
					w.running.StartTimeMS = startTime
					r.announce(Announcement{ID: "w", StartTimeMS: startTime, Sequence: 1, Address: "10.0.0.1:1", Capacity: submission.Resources{CPU: 20}})
				}
			}
			r.mu.Lock()
			r.checkUsage(t)
			r.mu.Unlock()
			time.Sleep(time.Duration(rnd.IntN(200)) * time.Microsecond)
		}
	}
}
