package dispatch

import (
	"testing"
	"time"

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
				h.Ended(now, "other", step, submission.Done, time.Second)
			}
			for _, e := range tc.ends {
				for range e.count {
					h.Ended(now, "w", step, e.how, e.took)
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
		h.Ended(testNow, "w", step, submission.Failed, 0)
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
