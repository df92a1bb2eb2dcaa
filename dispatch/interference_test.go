package dispatch

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// learnt returns a table that knows one image that disturbs "web" and one that
// does not, and a step "a" with a steady demand.
func learnt(now time.Time, percent int) *interference.Table {
	var t interference.Table
	for i := range 60 {
		at := now.Add(time.Duration(i-60) * 400 * time.Millisecond)
		strains := []interference.Strain{{Step: "a", Image: "web", Percent: percent}}
		t.Seen(at, "calm", strains, nil)
		t.Seen(at, "light", strains, []interference.Load{{Image: "light", Share: 0.3}})
		strained := []interference.Strain{{Step: "a", Image: "web", Percent: 140}}
		t.Seen(at, "heavy", strained, []interference.Load{{Image: "heavy", Share: 0.1}})
	}
	return &t
}

// TestFillersBesideServingTasks hands in batch work for a pool of one worker
// that serves: images that hardly disturb take the CPU that the serving tasks
// leave, others wait, and nothing starts where targets are missed or nothing is
// known yet.
func TestFillersBesideServingTasks(t *testing.T) {
	tests := []struct {
		name    string
		image   string
		demand  int // strain without load, in percent of the target
		strains []interference.Strain
		want    int
	}{
		{"an image that disturbs", "heavy", 50, []interference.Strain{{Step: "a", Image: "web", Percent: 50}}, 0},
		{"an image that does not", "light", 36, []interference.Strain{{Step: "a", Image: "web", Percent: 36}}, 3},
		{"a target that is missed", "light", 36, []interference.Strain{{Step: "a", Image: "web", Percent: 120}}, 0},
		{"no figures yet", "light", 36, nil, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var b submission.Book
			workers := pool(1, 64000, 256000)
			step := serving
			submit(&b, "web", 0, step)
			known := learnt(testNow, tc.demand)
			commit(t, &b, testNow, workers)
			workers[0].Strains = tc.strains
			batch := filling
			batch.Image, batch.Leftover, batch.Count = tc.image, true, 3
			submit(&b, "batch", 2, batch)
			got := Starts(testNow, testNow, &b, workers, known, &Approvals{})
			if len(got) != tc.want {
				t.Errorf("%d tasks start, want %d", len(got), tc.want)
			}
		})
	}
}

// TestServingTasksOfOneImageTogether hands in a step for a pool in which one
// worker serves its image and a fuller one another: it joins its image, so that
// the workers bear more images of tasks that fill.
func TestServingTasksOfOneImageTogether(t *testing.T) {
	var b submission.Book
	workers := pool(2, 64000, 256000)
	workers[1].Labels = []string{"second"}
	begin := func(id, image, label string, count int) {
		step := serving
		step.Image, step.Requirement, step.Count = image, label, count
		submit(&b, id, 0, step)
		commit(t, &b, testNow, workers)
	}
	begin("a", "a", "a", 2)
	begin("b", "b", "second", 1)
	begin("c", "b", "", 1)
	if got := b.Usage(workers[1].Life).Images["b"]; got != 2 {
		t.Errorf("%d tasks of the image together, want 2", got)
	}
}

// TestLeftoverNeedsNoHeadroom fills a worker's counted CPU with urgent work:
// a step whose CPU is not counted still starts, as there is CPU that is not used.
func TestLeftoverNeedsNoHeadroom(t *testing.T) {
	var b submission.Book
	workers := pool(1, 64000, 256000)
	step := serving
	step.Needs.CPU = 16000
	submit(&b, "web", 0, step)
	commit(t, &b, testNow, workers)
	workers[0].Strains = []interference.Strain{{Step: "a", Image: "web", Percent: 36}}
	batch := filling
	batch.Image, batch.Leftover, batch.Count = "light", true, 1
	submit(&b, "batch", 2, batch)
	if got := Starts(testNow, testNow, &b, workers, learnt(testNow, 36), &Approvals{}); len(got) != 1 {
		t.Errorf("%d tasks start, want 1", len(got))
	}
}
