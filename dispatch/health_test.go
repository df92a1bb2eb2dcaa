package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

func TestHealth(t *testing.T) {
	step := &submission.Step{Count: 1, Estimate: time.Second}
	type end struct {
		how   submission.How
		took  time.Duration
		count int
	}
	tests := []struct {
		name  string
		ends  []end // on worker "w"
		after time.Duration
		want  bool
	}{
		{name: "nothing known"},
		{name: "good work", ends: []end{{submission.Done, time.Second, 10}}},
		{name: "a failure now and then", ends: []end{{submission.Done, time.Second, 10}, {submission.Failed, 0, 2}}},
		{name: "all fail", ends: []end{{submission.Failed, 0, 4}}, want: true},
		{name: "all are refused", ends: []end{{submission.Refused, 0, 4}}, want: true},
		{name: "stops and losses tell nothing", ends: []end{{submission.Stopped, 0, 9}, {submission.Lost, 0, 9}}},
		{name: "failures fade", ends: []end{{submission.Failed, 0, 4}}, after: 10 * time.Second},
		{name: "a little slower", ends: []end{{submission.Done, 1500 * time.Millisecond, 5}}},
		{name: "several times slower", ends: []end{{submission.Done, 6 * time.Second, 3}}, want: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var h Health
			now := testNow
			for range 30 { // the rest of the pool keeps to the estimates
				h.Ended(now, "other", submission.RunID{}, step, submission.Done, time.Second)
			}
			for _, e := range tc.ends {
				for range e.count {
					h.Ended(now, "w", submission.RunID{}, step, e.how, e.took)
				}
			}
			if got := h.Suspect(now.Add(tc.after), "w"); got != tc.want {
				t.Errorf("got %t, want %t", got, tc.want)
			}
			if h.Suspect(now, "other") {
				t.Error("the rest of the pool is suspect")
			}
		})
	}
}

// TestSuspectWorkerIsAvoided plays a pool in which one worker fails all that
// it starts at once: it must not draw the tasks that the others have no part
// in refusing.
func TestSuspectWorkerIsAvoided(t *testing.T) {
	var b submission.Book
	workers := pool(3, 64000, 256000)
	workers[0].Suspect = true
	submit(&b, "a", 0, plain)
	commit(t, &b, testNow, workers)
	if u := b.Usage(workers[0].Life); u != nil {
		t.Errorf("the suspect worker got %d tasks", len(u.Runs))
	}
}

// TestSuspicionEnds plays a worker that failed all it was given for seconds and
// is sound again: it must not be left out for much longer than one that failed
// a few tasks.
func TestSuspicionEnds(t *testing.T) {
	step := &submission.Step{Count: 1, Estimate: time.Second}
	var h Health
	for range 60 {
		h.Ended(testNow, "w", submission.RunID{}, step, submission.Failed, 0)
	}
	if !h.Suspect(testNow, "w") {
		t.Fatal("the worker is not suspect")
	}
	if after := 8 * time.Second; h.Suspect(testNow.Add(after), "w") {
		t.Errorf("the worker is still suspect after %s", after)
	}
}

// TestLastingTaskOnSuspectWorker has room on suspect workers alone: a task that
// lasts starts there rather than not at all.
func TestLastingTaskOnSuspectWorker(t *testing.T) {
	var b submission.Book
	workers := pool(4, 64000, 256000)
	workers[0].Suspect = true
	other := serving
	other.Count = 16 // fills the sound workers and the suspect one in part
	submit(&b, "a", 0, other)
	if got := commit(t, &b, testNow, workers); got != 16 {
		t.Errorf("%d tasks started, want 16", got)
	}
}

// TestFailingWorkerEndsNoSubmission plays a full pool in which one worker fails
// all that it starts at once, so that it is the one with room: no submission is
// given up for it, and it is tried again often enough to be found sound.
func TestFailingWorkerEndsNoSubmission(t *testing.T) {
	var b submission.Book
	var h Health
	workers := pool(3, 64000, 256000)
	bad := workers[0].Life
	now := testNow
	const tick, troubled, length = 50 * time.Millisecond, 6 * time.Second, 14 * time.Second
	type begin struct {
		worker string
		at     time.Time
	}
	begun := make(map[submission.RunID]begin)
	tried, onBad, next := 0, 0, 0
	for ; now.Before(testNow.Add(length)); now = now.Add(tick) {
		if since := now.Sub(testNow); since >= time.Duration(next)*500*time.Millisecond {
			step := filling
			step.Image = ""
			b.Submit(submission.Submission{
				Spec: submission.Spec{ID: fmt.Sprint("s", next), Queue: "q", Steps: []submission.Step{step}}, Service: "s", Priority: 2,
				Attempts: 4, Slack: 2, Target: time.Second,
			}, now)
			next++
		}
		var ends []submission.End
		for run, r := range begun {
			switch {
			case r.worker == bad && now.Sub(testNow) < troubled:
				ends = append(ends, submission.End{Run: run, Worker: r.worker, How: submission.Failed})
			case now.Sub(r.at) >= filling.Estimate:
				ends = append(ends, submission.End{Run: run, Worker: r.worker, How: submission.Done})
			}
		}
		for _, e := range ends {
			h.Ended(now, e.Worker, e.Run, &filling, e.How, now.Sub(begun[e.Run].at))
			delete(begun, e.Run)
			b.End(e, now)
		}
		for i := range workers {
			h.Judge(now, &workers[i])
		}
		for _, st := range b.Start(Starts(now, now, &b, workers, &interference.Table{}, &Approvals{}), now) {
			begun[st.Run] = begin{worker: st.Worker, at: now}
			if st.Worker != bad {
				continue
			}
			if now.Sub(testNow) < troubled {
				tried++
			} else {
				onBad++
			}
		}
	}
	for _, s := range b.All() {
		if s.State == submission.GaveUp {
			t.Errorf("%s was given up", s.ID)
		}
	}
	if most := 24; tried > most {
		t.Errorf("%d starts on the failing worker, want at most %d", tried, most)
	}
	if onBad < 10 {
		t.Errorf("%d starts on the worker when it was sound again, want 10 or more", onBad)
	}
}

// TestFailedTaskGoesElsewhere has a task that failed on the worker with most
// room: it starts on another, and on the same only if there is no other.
func TestFailedTaskGoesElsewhere(t *testing.T) {
	for _, size := range []int{1, 2} {
		var b submission.Book
		var h Health
		workers := pool(size, 64000, 256000)
		step := plain
		step.Count = 1
		submit(&b, "a", 0, step)
		started := b.Start(Starts(testNow, testNow, &b, workers, &interference.Table{}, &Approvals{}), testNow)
		first := started[0]
		h.Ended(testNow, first.Worker, first.Run, &step, submission.Failed, 0)
		b.End(submission.End{Run: first.Run, Worker: first.Worker, How: submission.Failed}, testNow)
		for i := range workers {
			h.Judge(testNow, &workers[i])
		}
		again := Starts(testNow, testNow, &b, workers, &interference.Table{}, &Approvals{})
		if len(again) != 1 {
			t.Fatalf("%d workers: %d starts, want 1", size, len(again))
		}
		if same := again[0].Worker == first.Worker; same != (size == 1) {
			t.Errorf("%d workers: the task starts on %s after it failed on %s", size, again[0].Worker, first.Worker)
		}
	}
}

// TestLastingTaskReturnsWhereItFailed has a task that lasts fail on the only
// worker with room: it starts there again, as it has no limit of attempts and
// must not be away for long.
func TestLastingTaskReturnsWhereItFailed(t *testing.T) {
	var b submission.Book
	var h Health
	workers := pool(2, 64000, 256000)
	full := serving
	full.Count, full.Requirement = 4, "only"
	workers[1].Labels = append(workers[1].Labels, "only")
	submit(&b, "full", 0, full)
	commit(t, &b, testNow, workers)
	step := serving
	step.Count = 1
	submit(&b, "a", 0, step)
	first := b.Start(Starts(testNow, testNow, &b, workers, &interference.Table{}, &Approvals{}), testNow)[0]
	h.Ended(testNow, first.Worker, first.Run, &step, submission.Failed, time.Second)
	b.End(submission.End{Run: first.Run, Worker: first.Worker, How: submission.Failed}, testNow)
	for i := range workers {
		h.Judge(testNow, &workers[i])
	}
	if got := commit(t, &b, testNow, workers); got != 1 {
		t.Errorf("%d starts, want 1", got)
	}
}
