package dispatch

import (
	"maps"
	"reflect"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// TestForecastIsWhatHappens plays random work twice, once with a forecast of each submission
// right before it is submitted. It guards against a forecast that another round than the
// real one decides, and against one that changes what is decided afterwards.
func TestForecastIsWhatHappens(t *testing.T) {
	forecasts, started, waited := 0, 0, 0
	for seed := range uint64(25) {
		plays := [2]boundCheck{}
		for i := range plays {
			m := randomRackSim(seed)
			plays[i] = boundCheck{rackSim: m, beside: make(map[submission.TaskID]time.Duration), idle: make(map[string]time.Duration)}
		}
		a, b := &plays[0], &plays[1]
		a.rackSim.onSubmit = func(sub submission.Submission) {
			a.endRuns(func(incarnation string) bool { return a.down[a.rackOf(incarnation)] })
			forecasts++
			a.forecast = a.s.Forecast(clocksAt(a.now), &a.store, sub)
			a.forecastOf = sub.ID
		}
		b.rackSim.onSubmit = func(submission.Submission) {
			b.endRuns(func(incarnation string) bool { return b.down[b.rackOf(incarnation)] })
		}
		for range 200 {
			a.forecastOf = ""
			a.step()
			b.step()
			if !reflect.DeepEqual(a.latest, b.latest) {
				t.Fatalf("seed %d, after %s: starts %v after a forecast, %v without", seed, a.now.Sub(testNow), a.latest, b.latest)
			}
			if a.forecastOf == "" {
				continue
			}
			for i, f := range a.forecast.Steps {
				want, got := make(map[string]int), make(map[string]int)
				for _, w := range f.Starts {
					want[w.Worker] = w.Tasks
					started += w.Tasks
				}
				for _, st := range a.latest {
					if st.Run.Task.Submission == a.forecastOf && st.Run.Task.Step == i {
						got[st.Worker]++
					}
				}
				if !maps.Equal(want, got) {
					t.Fatalf("seed %d, after %s: step %d of %s starts on %v, forecast %+v", seed, a.now.Sub(testNow), i, a.forecastOf, got, f)
				}
				if f.Preferred != nil {
					waited++
				}
			}
		}
	}
	t.Logf("%d forecasts, %d tasks started, %d steps waited for a rack", forecasts, started, waited)
	if started < 1000 || waited < 50 {
		t.Errorf("%d forecasts of %d starts and %d waits", forecasts, started, waited)
	}
}

// TestForecastExplainsWhatDoesNotStart forecasts work that fits nowhere, and work behind
// more urgent work.
func TestForecastExplainsWhatDoesNotStart(t *testing.T) {
	m := newRackSim(1, rackWorkers(2, 2, 4), 2)
	m.submit("urgent", 0, 2, time.Minute, 0, oneCore(14))
	large := oneCore(1)
	large.Needs.CPU = 5000
	later := oneCore(2)
	later.DependsOn = []int{1}
	f := m.s.Forecast(clocksAt(m.now), &m.store, submission.Submission{
		Spec: submission.Spec{ID: "a", Queue: "q2", Steps: []submission.Step{large, oneCore(2), later}}, Service: "s", Priority: 2, Slack: 2, BaseObjective: time.Minute,
	})
	if s := f.Steps[0]; !s.Ready || len(s.Starts) > 0 || s.Ahead != 1 || s.Obstacles[NoCPU] != 4 {
		t.Errorf("a task larger than any worker: %+v", s)
	}
	if s := f.Steps[1]; !s.Ready || len(s.Starts) != 1 || s.Starts[0].Tasks != 1 || s.Starts[0].Rack == "" {
		t.Errorf("two tasks where one fits beside the headroom and more urgent work: %+v", s)
	}
	if s := f.Steps[2]; s.Ready || s.Tasks != 2 || len(s.Starts) > 0 {
		t.Errorf("a step that depends on another: %+v", s)
	}
	if m.store.Len() != 1 {
		t.Errorf("the store has %d submissions", m.store.Len())
	}
}
