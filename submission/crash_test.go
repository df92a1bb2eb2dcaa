package submission

import (
	"fmt"
	"testing"
	"time"
)

func TestCrashesFromWhichTaskCountsAsCause(t *testing.T) {
	const prompt, late = 20 * time.Millisecond, 5 * time.Second
	repeat := func(n int, c Crash) []Crash {
		var out []Crash
		for range n {
			out = append(out, c)
		}
		return out
	}
	tests := []struct {
		name    string
		crashes []Crash
		lasting bool
		want    bool
	}{
		{name: "none"},
		{name: "twice alone, promptly", crashes: repeat(2, Crash{Ran: prompt, Alone: true})},
		{name: "beside others, then twice alone", crashes: append(repeat(2, Crash{Ran: prompt, Alone: true}), Crash{Ran: prompt}), want: true},
		{name: "a lasting task, twice alone", crashes: append(repeat(2, Crash{Ran: prompt, Alone: true}), Crash{Ran: prompt}), lasting: true, want: true},
		{name: "promptly, always beside others", crashes: repeat(4, Crash{Ran: prompt}), want: true},
		{name: "three times beside others", crashes: repeat(3, Crash{Ran: prompt})},
		{name: "always late at the same time", crashes: repeat(5, Crash{Ran: late, Alone: true}), want: true},
		{name: "late, at different times", crashes: append(repeat(4, Crash{Ran: late, Alone: true}), Crash{Ran: 2 * late})},
		{name: "late, always beside others", crashes: repeat(5, Crash{Ran: late})},
		{name: "after unknown times", crashes: repeat(5, Crash{Alone: true})},
		{name: "one prompt crash among late ones", crashes: append(repeat(3, Crash{Ran: late, Alone: true}), Crash{Ran: prompt, Alone: true})},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			step := Step{Count: 1, LongRunning: tc.lasting}
			if got := step.CausesCrashes(tc.crashes); got != tc.want {
				t.Errorf("got %t, want %t", got, tc.want)
			}
		})
	}
}

// startAt starts a run of a task of a submission with one step.
func startAt(t *testing.T, store *Store, r RunID, worker string, at time.Time) {
	t.Helper()
	if got := store.Start([]Start{{Run: r, Worker: worker}}, at); len(got) != 1 {
		t.Fatalf("the start of %v was not recorded", r)
	}
}

// TestCrashIsSharedByTasksThatHadJustStarted crashes a worker with runs of different
// ages. Only the last to start may be blamed alone.
func TestCrashIsSharedByTasksThatHadJustStarted(t *testing.T) {
	tests := []struct {
		name string
		gap  time.Duration // between the start of the other submission's run and this one
		same bool          // the other run belongs to the same submission
		want bool
	}{
		{name: "started together"},
		{name: "the other one had been at work", gap: StartWindow, want: true},
		{name: "the other one had nearly been at work", gap: StartWindow - time.Millisecond},
		{name: "the other one started later", gap: -time.Second},
		{name: "a run of the same submission", same: true, want: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var store Store
			store.Submit(oneStep("s", Step{Count: 2}), testNow)
			store.Submit(oneStep("other", Step{Count: 1}), testNow)
			other := run("other", 0, 0, 1)
			if tc.same {
				other = run("s", 0, 1, 1)
			}
			startAt(t, &store, run("s", 0, 0, 1), "w", testNow)
			startAt(t, &store, other, "w", testNow.Add(-tc.gap))
			const ran = 10 * time.Millisecond
			store.EndAll([]End{
				{Run: other, Worker: "w", Reason: Crashed, Ran: ran}, {Run: run("s", 0, 0, 1), Worker: "w", Reason: Crashed, Ran: ran},
			}, testNow.Add(time.Second))
			s, _ := store.Submission("s")
			crashes := s.Task(run("s", 0, 0, 1).Task).Crashes
			if want := []Crash{{Ran: ran, Alone: tc.want}}; fmt.Sprint(crashes) != fmt.Sprint(want) {
				t.Errorf("got %v, want %v", crashes, want)
			}
		})
	}
}

// TestRunThatSurvivesItsStartClearsItsTask guards against adding up the crashes of
// a task's whole life.
func TestRunThatSurvivesItsStartClearsItsTask(t *testing.T) {
	for _, end := range []End{
		{Reason: Crashed, Ran: _survivalTime}, {Reason: Stopped}, {Reason: Failed},
	} {
		t.Run(end.Reason.String(), func(t *testing.T) {
			var store Store
			s := oneStep("s", Step{Count: 1, LongRunning: true})
			s.MaxAttempts = 4
			store.Submit(s, testNow)
			now := testNow
			for i := range uint32(20) {
				now = now.Add(time.Minute)
				e := End{Reason: Crashed, Ran: 10 * time.Millisecond}
				if i%3 == 2 { // two prompt crashes, then a run that survives
					e = end
				}
				e.Run, e.Worker = run("s", 0, 0, i+1), "w"
				startAt(t, &store, e.Run, "w", now)
				now = now.Add(_survivalTime)
				store.End(e, now)
			}
			if got := stateOf(t, &store, "s"); got != Running {
				t.Errorf("the submission is %s, want running", got)
			}
		})
	}
}

// TestSuspectedTaskIsIsolatedWhileItStarts checks for how long a worker is isolated.
func TestSuspectedTaskIsIsolatedWhileItStarts(t *testing.T) {
	var store Store
	store.Submit(oneStep("s", Step{Count: 1}), testNow)
	startAt(t, &store, run("s", 0, 0, 1), "w", testNow)
	if id, _ := store.Usage("w").IsolatedFor(); id != "" {
		t.Errorf("the worker of a task that is not suspected is isolated for %q", id)
	}
	store.End(End{Run: run("s", 0, 0, 1), Worker: "w", Reason: Crashed, Ran: time.Millisecond}, testNow)
	startAt(t, &store, run("s", 0, 0, 2), "v", testNow)
	if id, until := store.Usage("v").IsolatedFor(); id != "s" || !until.Equal(testNow.Add(StartWindow)) {
		t.Errorf("the worker is isolated for %q until %s, want s for %s", id, until, StartWindow)
	}
	store.End(End{Run: run("s", 0, 0, 2), Worker: "v", Reason: Stopped}, testNow)
	if store.Usage("v") != nil {
		t.Error("the worker has a run after its end")
	}
}

// TestIsolationIsBounded guards against workers that stay isolated for a long-running
// task whose workers have crashed several times.
func TestIsolationIsBounded(t *testing.T) {
	late := []Crash{{Ran: 5 * time.Second}, {Ran: 5100 * time.Millisecond}, {Ran: 5200 * time.Millisecond}}
	tests := []struct {
		name    string
		crashes []Crash
		lasting bool
		want    time.Duration
	}{
		{name: "no crash"},
		{name: "late crash", crashes: late[:1]},
		{name: "prompt crash", crashes: []Crash{{Ran: time.Millisecond}, late[0]}, want: StartWindow},
		{name: "late crashes at the same time", crashes: late, want: late[2].Ran + StartWindow},
		{name: "late crashes at different times", crashes: append([]Crash{{Ran: time.Second}}, late...)},
		{name: "a long-running task", crashes: late, lasting: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			step := Step{Count: 1, LongRunning: tc.lasting}
			if got := step.Isolation(&Task{Crashes: tc.crashes}); got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
}

// TestUnreportedCrashCountsForSuspectedTask guards against a sixth start after five
// crashes of which the agents reported only three.
func TestUnreportedCrashCountsForSuspectedTask(t *testing.T) {
	const (
		detection = 2600 * time.Millisecond // from a start to the end of a run whose worker crashes promptly
		ran       = 11 * time.Millisecond
	)
	type loss struct {
		reason EndReason
		after  time.Duration // from the start to the record of the end
	}
	crash, lapsed, lost := loss{Crashed, detection}, loss{LeaseExpired, detection}, loss{Lost, detection}
	tests := []struct {
		name string
		ends []loss
		want State
	}{
		{name: "the first and the last of five are unreported", ends: []loss{lost, crash, crash, crash, lapsed}, want: OutOfAttempts},
		{name: "two reported, then two unreported", ends: []loss{crash, crash, lapsed, lost}, want: OutOfAttempts},
		{name: "three reported", ends: []loss{crash, crash, crash}, want: Running},
		{name: "one reported", ends: []loss{crash, lapsed, lapsed, lost, lost}, want: Running},
		{name: "none reported", ends: []loss{lapsed, lapsed, lapsed, lost, lost, lost}, want: Running},
		{name: "the last run had long been at work", ends: []loss{crash, crash, crash, {LeaseExpired, time.Minute}}, want: Running},
		{name: "a run is stopped after it has survived its start", ends: []loss{crash, crash, crash, {Stopped, time.Minute}, lapsed}, want: Running},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var store Store
			store.Submit(oneStep("s", Step{Count: 1}), testNow)
			store.Submit(oneStep("other", Step{Count: len(tc.ends)}), testNow)
			now := testNow
			for i, end := range tc.ends {
				// A run of another submission has just started, so that the task is never alone.
				r, other := run("s", 0, 0, uint32(i+1)), run("other", 0, i, 1)
				startAt(t, &store, other, "w", now)
				startAt(t, &store, r, "w", now)
				now = now.Add(end.after)
				store.EndAll([]End{{Run: other, Worker: "w", Reason: end.reason, Ran: ran}, {Run: r, Worker: "w", Reason: end.reason, Ran: ran}}, now)
			}
			if got := stateOf(t, &store, "s"); got != tc.want {
				t.Errorf("the submission is %s, want %s", got, tc.want)
			}
		})
	}
}
