package pacing

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/interference"
)

// simulatedWorker simulates a worker with a service task whose tail latency
// follows the batch load beside it with a lag of half a second.
type simulatedWorker struct {
	now      time.Time
	target   time.Duration
	baseline float64 // tail latency of the service task without batch load, in ms
	increase float64 // tail latency added by batch tasks at full speed, in ms
	share    int
	history  []int // share after each sample, newest last
}

const testSamplePeriod = 250 * time.Millisecond

func (w *simulatedWorker) tasks() []Task {
	const lag = 2 // samples
	pastShare := w.share
	if n := len(w.history); n >= lag {
		pastShare = w.history[n-lag]
	}
	latency := w.baseline + w.increase*float64(pastShare)/100
	return []Task{
		{IsService: true, TailTarget: w.target, Share: 100, Measurement: int64(latency)},
		{IsBatch: true, Share: w.share},
		{Share: 100}, // neither a service task nor a batch task
	}
}

// run lets the pacer set shares for the duration d. It returns the longest
// continuous miss of the target and the mean share of the batch task.
func (w *simulatedWorker) run(t *testing.T, p *Pacer, d time.Duration) (longest time.Duration, mean float64) {
	t.Helper()
	var missed time.Duration
	samples := 0
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(testSamplePeriod) {
		tasks := w.tasks()
		if time.Duration(tasks[0].Measurement)*time.Millisecond > w.target {
			missed += testSamplePeriod
		} else {
			missed = 0
		}
		longest = max(longest, missed)
		for _, decision := range p.Decide(w.now, tasks, nil) {
			if decision.Index != 1 {
				t.Fatalf("the share of task %d was set", decision.Index)
			}
			w.share = decision.Share
		}
		w.history = append(w.history, w.share)
		mean += float64(w.share)
		samples++
	}
	return longest, mean / float64(samples)
}

func TestPacerLimitsMissedTargets(t *testing.T) {
	const maxMiss = 3 * time.Second // the requirement is 4 s
	tests := []struct {
		name               string
		baseline, increase float64
		minShare, maxShare float64 // bounds of the mean share
	}{
		{"no interference", 5, 1, 99, 100},
		{"light interference", 5, 20, 5, 60},
		{"heavy interference", 5, 400, 0, 10},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := &simulatedWorker{now: time.Unix(1, 0), target: 10 * time.Millisecond, baseline: tc.baseline, increase: tc.increase, share: 100}
			var p Pacer
			longest, mean := w.run(t, &p, time.Minute)
			if longest > maxMiss {
				t.Errorf("the target was missed for %s without a break", longest)
			}
			if mean < tc.minShare || mean > tc.maxShare {
				t.Errorf("mean share %.0f, want %.0f to %.0f", mean, tc.minShare, tc.maxShare)
			}
		})
	}
}

func TestPacerRestoresShare(t *testing.T) {
	w := &simulatedWorker{now: time.Unix(1, 0), target: 10 * time.Millisecond, baseline: 5, increase: 300, share: 100}
	var p Pacer
	w.run(t, &p, 5*time.Second)
	if w.share > 20 {
		t.Fatalf("share %d under heavy interference", w.share)
	}
	w.increase = 0
	w.run(t, &p, 15*time.Second)
	if w.share != 100 {
		t.Errorf("share %d after the interference ended, want 100", w.share)
	}
}

func TestPacerSetsFullShareWithoutServiceTasks(t *testing.T) {
	var p Pacer
	got := p.Decide(time.Unix(1, 0), []Task{{IsBatch: true, Share: 30}, {IsBatch: true, Share: 100}, {IsBatch: true, Share: -1}}, nil)
	want := []Decision{{Index: 0, Share: 100}, {Index: 2, Share: 100}}
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestPacerThrottlesInterferingImageFirst runs two batch images beside a service
// task; one of them interferes. Only this image must be throttled after a missed
// target, and both if that does not help. The light image must be restored first.
func TestPacerThrottlesInterferingImageFirst(t *testing.T) {
	coefficients := interference.Coefficients{{Batch: "heavy", Service: "web"}: 4, {Batch: "light", Service: "web"}: 0.1}
	target := 10 * time.Millisecond
	shares := map[string]int{"heavy": 100, "light": 100}
	var p Pacer
	now := time.Unix(1, 0)
	run := func(d time.Duration, latency int64) {
		for end := now.Add(d); now.Before(end); now = now.Add(testSamplePeriod) {
			tasks := []Task{
				{IsService: true, Image: "web", TailTarget: target, Share: 100, Measurement: latency},
				{IsBatch: true, Image: "heavy", Share: shares["heavy"]},
				{IsBatch: true, Image: "light", Share: shares["light"]},
			}
			for _, d := range p.Decide(now, tasks, coefficients) {
				shares[tasks[d.Index].Image] = d.Share
			}
		}
	}
	steps := []struct {
		name         string
		d            time.Duration
		latency      int64 // ms
		heavy, light int
	}{
		{"the target is met", time.Second, 5, 100, 100},
		{"the target is missed slightly", testSamplePeriod, 11, 50, 100},
		{"the target is missed by a factor of two", testSamplePeriod, 20, 0, 100},
		{"the target is still missed", _pauseAllAfter, 12, 0, 0},
		// A light image needs no margin and is restored in steps of 50.
		{"the target is met with a margin", 2 * _feedbackDelay, 5, 10, 100},
	}
	for _, s := range steps {
		run(s.d, s.latency)
		if shares["heavy"] != s.heavy || shares["light"] != s.light {
			t.Errorf("%s: shares %v, want %d and %d", s.name, shares, s.heavy, s.light)
		}
	}
}
