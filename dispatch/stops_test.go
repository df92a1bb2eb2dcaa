package dispatch

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// TestStopsOnLeavingWorker has a worker that leaves in 4 s: runs that lose
// nothing by a move go at once, others stay if they end in time.
func TestStopsOnLeavingWorker(t *testing.T) {
	tests := []struct {
		name   string
		change func(*submission.Step)
		want   int
	}{
		{"ends in time", func(s *submission.Step) { s.Estimate = time.Second }, 0},
		{"ends too late", func(s *submission.Step) { s.Estimate = 10 * time.Second }, 1},
		{"ends just before", func(s *submission.Step) { s.Estimate = 3800 * time.Millisecond }, 1},
		{"saves its progress", func(s *submission.Step) { s.Estimate, s.Checkpointing = time.Second, true }, 1},
		{"lasts", func(s *submission.Step) { s.LongRunning, s.TailTarget = true, time.Second }, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var b submission.Book
			var s Stopper
			workers := pool(1, 64000, 256000)
			step := plain
			step.Count = 1
			tc.change(&step)
			submit(&b, "a", 0, step)
			commit(t, &b, testNow, workers)
			leaves := map[string]Leave{workers[0].Life: {Until: testNow.Add(4 * time.Second)}}
			got := s.Stops(testNow, &b, workers, nil, leaves, &interference.Table{})
			if len(got) != tc.want || len(got) == 1 && got[0].Reason != Leaving {
				t.Errorf("stops %v, want %d", got, tc.want)
			}
		})
	}
}

// TestStopsOfStalledRuns stops a run that stands still, not twice within a few
// seconds, and leaves gangs alone.
func TestStopsOfStalledRuns(t *testing.T) {
	for _, gang := range []bool{false, true} {
		var b submission.Book
		var s Stopper
		workers := pool(1, 64000, 256000)
		step := plain
		step.Count, step.Gang = 1, gang
		submit(&b, "a", 0, step)
		commit(t, &b, testNow, workers)
		var run submission.RunID
		for run = range b.Usage(workers[0].Life).Runs {
		}
		facts := map[submission.RunID]Fact{run: {Share: 100, Stalled: true}}
		got := s.Stops(testNow, &b, workers, facts, nil, &interference.Table{})
		if want := map[bool]int{false: 1, true: 0}[gang]; len(got) != want {
			t.Fatalf("gang %t: stops %v, want %d", gang, got, want)
		}
		if gang {
			continue
		}
		s.Moved(testNow, run)
		if again := s.Stops(testNow.Add(time.Second), &b, workers, facts, nil, &interference.Table{}); len(again) != 0 {
			t.Errorf("stopped again after a second: %v", again)
		}
		if again := s.Stops(testNow.Add(_moveAgain), &b, workers, facts, nil, &interference.Table{}); len(again) != 1 {
			t.Errorf("%d stops after %s, want 1", len(again), _moveAgain)
		}
	}
}

// TestPacedRunMovesToWorkerThatBearsIt has a run that saves its progress crawl
// beside tasks that it disturbs, while another worker serves an image that bears
// it: it moves, unless little is left of it or there is no such worker.
func TestPacedRunMovesToWorkerThatBearsIt(t *testing.T) {
	tests := []struct {
		name  string
		fact  Fact
		calm  int // strain at the other worker, in percent
		saves bool
		want  int
	}{
		{"another bears it", Fact{Share: 10, Progress: 20}, 36, true, 1},
		{"it is hardly paced", Fact{Share: 60, Progress: 20}, 36, true, 0},
		{"it is nearly done", Fact{Share: 10, Progress: 90}, 36, true, 0},
		{"the other misses its target", Fact{Share: 10, Progress: 20}, 120, true, 0},
		{"it saves nothing", Fact{Share: 10, Progress: 20}, 36, false, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var b submission.Book
			var s Stopper
			workers := pool(2, 64000, 256000)
			for i := range workers {
				workers[i].Labels = []string{workers[i].Life}
			}
			for i := range workers {
				step := serving
				step.Count, step.Requirement = 2, workers[i].Life
				submit(&b, workers[i].Life, 0, step)
			}
			commit(t, &b, testNow, workers)
			batch := filling
			batch.Image, batch.Leftover, batch.Count, batch.Checkpointing = "light", true, 1, tc.saves
			submit(&b, "batch", 2, batch)
			known := learnt(testNow, 36)
			workers[0].Strains = []interference.Strain{{Step: "a", Image: "web", Percent: 36}}
			started := b.Start(Starts(testNow, testNow, &b, workers, known, &Approvals{}), testNow)
			if len(started) != 1 || started[0].Worker != workers[0].Life {
				t.Fatalf("starts %v", started)
			}
			workers[1].Strains = []interference.Strain{{Step: "a", Image: "web", Percent: tc.calm}}
			facts := map[submission.RunID]Fact{started[0].Run: tc.fact}
			got := s.Stops(testNow, &b, workers, facts, nil, known)
			if len(got) != tc.want || len(got) == 1 && got[0].Reason != Crowded {
				t.Errorf("stops %v, want %d", got, tc.want)
			}
		})
	}
}
