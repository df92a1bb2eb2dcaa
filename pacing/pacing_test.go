package pacing

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/interference"
)

// fleet plays one worker: a task that serves, whose tail latency follows what
// fills beside it half a second later.
type fleet struct {
	now    time.Time
	target time.Duration
	alone  float64 // tail latency of the serving task by itself, in ms
	press  float64 // ms that fillers at full speed add
	share  int
	trail  []int // shares of the last looks, newest last
}

const testLook = 250 * time.Millisecond

func (f *fleet) tasks() []Task {
	const lag = 2 // looks
	past := f.share
	if n := len(f.trail); n >= lag {
		past = f.trail[n-lag]
	}
	figure := f.alone + f.press*float64(past)/100
	return []Task{
		{Serves: true, TailTarget: f.target, Percent: 100, Figure: int64(figure)},
		{Fills: true, Percent: f.share},
		{Percent: 100}, // a plain task
	}
}

// play lets the pacer work for d and returns how long the target was missed
// at a stretch at most, and the mean share of the filler.
func (f *fleet) play(t *testing.T, p *Pacer, d time.Duration) (longest time.Duration, mean float64) {
	t.Helper()
	var missed time.Duration
	looks := 0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(testLook) {
		tasks := f.tasks()
		if time.Duration(tasks[0].Figure)*time.Millisecond > f.target {
			missed += testLook
		} else {
			missed = 0
		}
		longest = max(longest, missed)
		for _, decision := range p.Decide(f.now, tasks, nil) {
			if decision.Index != 1 {
				t.Fatalf("the task at %d was paced", decision.Index)
			}
			f.share = decision.Percent
		}
		f.trail = append(f.trail, f.share)
		mean += float64(f.share)
		looks++
	}
	return longest, mean / float64(looks)
}

func TestPacer(t *testing.T) {
	const missMost = 3 * time.Second // the users allow a miss of 4 s at most
	tests := []struct {
		name         string
		alone, press float64
		least, most  float64 // mean share
	}{
		{"no disturbance", 5, 1, 99, 100},
		{"a light disturbance", 5, 20, 5, 60},
		{"a heavy disturbance", 5, 400, 0, 10},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := &fleet{now: time.Unix(1, 0), target: 10 * time.Millisecond, alone: tc.alone, press: tc.press, share: 100}
			var p Pacer
			longest, mean := f.play(t, &p, time.Minute)
			if longest > missMost {
				t.Errorf("the target was missed for %s on end", longest)
			}
			if mean < tc.least || mean > tc.most {
				t.Errorf("mean share %.0f, want %.0f to %.0f", mean, tc.least, tc.most)
			}
		})
	}
}

func TestPacerGivesBack(t *testing.T) {
	f := &fleet{now: time.Unix(1, 0), target: 10 * time.Millisecond, alone: 5, press: 300, share: 100}
	var p Pacer
	f.play(t, &p, 5*time.Second)
	if f.share > 20 {
		t.Fatalf("share %d under heavy disturbance", f.share)
	}
	f.press = 0
	f.play(t, &p, 15*time.Second)
	if f.share != 100 {
		t.Errorf("share %d after the disturbance ended, want 100", f.share)
	}
}

func TestPacerWithoutServingTasks(t *testing.T) {
	var p Pacer
	got := p.Decide(time.Unix(1, 0), []Task{{Fills: true, Percent: 30}, {Fills: true, Percent: 100}, {Fills: true, Percent: -1}}, nil)
	want := []Decision{{Index: 0, Percent: 100}, {Index: 2, Percent: 100}}
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestPacerCutsWhatDisturbs has two images fill a worker, of which one disturbs
// what serves: it alone is cut when the target is missed, both are if that does
// not help, and the light one is back first.
func TestPacerCutsWhatDisturbs(t *testing.T) {
	presses := interference.Presses{{Fills: "heavy", Serves: "web"}: 4, {Fills: "light", Serves: "web"}: 0.1}
	target := 10 * time.Millisecond
	shares := map[string]int{"heavy": 100, "light": 100}
	var p Pacer
	now := time.Unix(1, 0)
	play := func(d time.Duration, figure int64) {
		for end := now.Add(d); now.Before(end); now = now.Add(testLook) {
			tasks := []Task{
				{Serves: true, Image: "web", TailTarget: target, Percent: 100, Figure: figure},
				{Fills: true, Image: "heavy", Percent: shares["heavy"]},
				{Fills: true, Image: "light", Percent: shares["light"]},
			}
			for _, d := range p.Decide(now, tasks, presses) {
				shares[tasks[d.Index].Image] = d.Percent
			}
		}
	}
	steps := []struct {
		what         string
		d            time.Duration
		figure       int64
		heavy, light int
	}{
		{"the target is met", time.Second, 5, 100, 100},
		{"it is missed a little", testLook, 11, 50, 100},
		{"it is missed by far", testLook, 20, 0, 100},
		{"it is still missed", _allAfter, 12, 0, 0},
		{"it is met with a margin", 2 * _settle, 5, 10, 100}, // a light image waits for no margin, and gets half at a time
	}
	for _, s := range steps {
		play(s.d, s.figure)
		if shares["heavy"] != s.heavy || shares["light"] != s.light {
			t.Errorf("%s: shares %v, want %d and %d", s.what, shares, s.heavy, s.light)
		}
	}
}
