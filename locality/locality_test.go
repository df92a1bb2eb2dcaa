package locality

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// worthwhile returns an input for which a task waits.
func worthwhile() Input {
	return Input{
		Penalty: 2, RunTime: time.Second, Deviation: 0.2, Expected: 300 * time.Millisecond, TimeLeft: -1, StartWithin: Never,
	}
}

func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name   string
		change func(*Input)
		want   Decision
	}{
		{"short expected wait", func(*Input) {}, Decision{time.Second, time.Second, Worthwhile}},
		{"long run time", func(in *Input) { in.RunTime = time.Minute }, Decision{MaxWait, MaxWait, Worthwhile}},
		{"small penalty", func(in *Input) { in.Penalty = 1.25 }, Decision{0, 250 * ms, TooLong}},
		{"no penalty", func(in *Input) { in.Penalty = 1 }, Decision{0, 0, NoPenalty}},
		{"penalty not set", func(in *Input) { in.Penalty = 0 }, Decision{0, 0, NoPenalty}},
		{"long-running", func(in *Input) { in.LongRunning = true }, Decision{0, 0, LongRunning}},
		{"no estimate", func(in *Input) { in.RunTime = 0 }, Decision{0, 0, NoEstimate}},
		{"unusable estimate", func(in *Input) { in.Deviation = 1.1 }, Decision{0, 0, NoEstimate}},
		{"estimate without a deviation", func(in *Input) { in.Deviation = math.NaN() }, Decision{0, 0, NoEstimate}},
		{"nothing expected to end", func(in *Input) { in.Expected = Never }, Decision{0, time.Second, NoCapacity}},
		{"expected wait as long as the extra cost", func(in *Input) { in.Expected = time.Second }, Decision{0, time.Second, TooLong}},
		{"expected wait longer than any", func(in *Input) { in.RunTime, in.Expected = time.Minute, MaxWait }, Decision{0, MaxWait, TooLong}},
		{"restart likely", func(in *Input) { in.Expected, in.RestartLikely = 1200*ms, true }, Decision{MaxWait, MaxWait, Worthwhile}},
		{"part of the bound used", func(in *Input) { in.Waited = 600 * ms }, Decision{400 * ms, time.Second, Worthwhile}},
		{"too little of the bound left", func(in *Input) { in.Waited = 800 * ms }, Decision{0, time.Second, TooLong}},
		{"bound used", func(in *Input) { in.Waited = time.Second }, Decision{0, time.Second, Exhausted}},
		{"estimate grown during the wait", func(in *Input) { in.RunTime, in.WaitLimit, in.Waited = time.Minute, time.Second, 900*ms }, Decision{0, time.Second, TooLong}},
		{"objective met elsewhere and missed at the bound", func(in *Input) { in.TimeLeft = 2500 * ms }, Decision{500 * ms, time.Second, Worthwhile}},
		{"objective missed by waiting", func(in *Input) { in.TimeLeft = 2200 * ms }, Decision{0, time.Second, MissesObjective}},
		{"objective met only by waiting", func(in *Input) { in.TimeLeft = 1500 * ms }, Decision{time.Second, time.Second, Worthwhile}},
		{"objective missed anyway", func(in *Input) { in.TimeLeft = -time.Hour }, Decision{time.Second, time.Second, Worthwhile}},
		{"must start soon", func(in *Input) { in.StartWithin = 400 * ms }, Decision{400 * ms, time.Second, Worthwhile}},
		{"must start now", func(in *Input) { in.StartWithin = 0 }, Decision{0, time.Second, Overdue}},
	} {
		in := worthwhile()
		c.change(&in)
		if got := Decide(in); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestWaitsAreBounded draws inputs of any size. It guards against a wait beyond any of its
// limits, for instance by an overflow, and against a wait that is not worth its time.
func TestWaitsAreBounded(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	duration := func() time.Duration {
		if rnd.IntN(10) == 0 {
			return []time.Duration{0, Never, MaxRunTime, -1, math.MinInt64}[rnd.IntN(5)]
		}
		return time.Duration(math.Exp(rnd.Float64()*44) - 1)
	}
	waits := 0
	for range 200_000 {
		in := Input{
			LongRunning: rnd.IntN(10) == 0, Penalty: 0.5 + 4*rnd.Float64(), RunTime: duration(), Deviation: 1.5 * rnd.Float64(),
			RestartLikely: rnd.IntN(4) == 0, Expected: max(duration(), 0), Waited: max(duration(), 0), WaitLimit: max(duration(), 0), TimeLeft: duration(),
			StartWithin: max(duration(), 0),
		}
		if rnd.IntN(100) == 0 {
			in.Penalty = math.Inf(1)
		}
		d := Decide(in)
		if d.Wait != 0 != (d.Reason == Worthwhile) || d.Wait < 0 {
			t.Fatalf("%+v: %+v", in, d)
		}
		if d.Wait == 0 {
			continue
		}
		waits++
		extra := (in.Penalty - 1) * float64(in.RunTime)
		if in.RestartLikely {
			extra += float64(in.RunTime)
		}
		if d.Wait+in.Waited > MaxWait || float64(d.Wait+in.Waited) > extra+1 || in.WaitLimit > 0 && d.Wait+in.Waited > in.WaitLimit || d.Wait > in.StartWithin {
			t.Fatalf("%+v: waits for %s", in, d.Wait)
		}
		if in.Expected >= d.Wait || in.LongRunning || in.Penalty <= 1 {
			t.Fatalf("%+v: waits for %s", in, d.Wait)
		}
		if elsewhere := in.Penalty * float64(in.RunTime); float64(in.TimeLeft) >= elsewhere && float64(in.TimeLeft) < elsewhere+float64(d.Wait)-1 {
			t.Fatalf("%+v: a wait of %s and a start elsewhere miss the objective", in, d.Wait)
		}
	}
	if waits < 1000 {
		t.Errorf("%d inputs gave a wait", waits)
	}
}

// TestRemainingMatchesDrawnRuns compares the mean of the remaining times of a run with that
// over drawn run times.
func TestRemainingMatchesDrawnRuns(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, deviation := range []float64{0.1, 0.3, 0.8} {
		for _, share := range []float64{0, 0.5, 0.9} {
			elapsed := time.Duration(share * float64(time.Second))
			sum, n := 0.0, 0
			for n < 20_000 {
				if runTime := math.Exp(deviation * rnd.NormFloat64()); runTime > elapsed.Seconds() {
					sum, n = sum+runTime-elapsed.Seconds(), n+1
				}
			}
			want := sum / float64(n)
			for index := range 2 * Samples {
				times, _ := Remaining(time.Second, deviation, elapsed, index)
				// Five quantiles lack the tail of the distribution.
				if got := mean(times); got < 0.8*want-0.01 || got > 1.05*want+0.01 {
					t.Errorf("deviation %v, elapsed %s, index %d: %.3f s, want %.3f s", deviation, elapsed, index, got, want)
				}
			}
		}
	}
}

func mean(t Times) float64 {
	sum := time.Duration(0)
	for _, d := range t {
		sum += d / Samples
	}
	return sum.Seconds()
}

// TestOverrunRunsAreNotExpectedSoon guards against waits for runs whose estimate was far
// too low, or that never end: the longer they run, the later they are expected to end.
func TestOverrunRunsAreNotExpectedSoon(t *testing.T) {
	for _, deviation := range []float64{0, 0.05, 0.2, 1} {
		for _, elapsed := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 10 * time.Second, time.Hour, 100 * 24 * time.Hour} {
			times, ok := Remaining(time.Second, deviation, elapsed, 0)
			if got, want := mean(times), 0.9*(elapsed-time.Second).Seconds(); !ok || got < want {
				t.Errorf("deviation %v, elapsed %s: %v left, want a mean of at least %.1f s", deviation, elapsed, times, want)
			}
		}
	}
	if times, _ := Remaining(time.Second, 1, 10*MaxRunTime, 0); slices.Max(times[:]) > MaxRunTime {
		t.Errorf("a run that does not end: %v left", times)
	}
	if _, ok := Remaining(time.Second, 2, 0, 0); ok {
		t.Error("an unusable estimate gives an end")
	}
}

// TestFirstOfManyUncertainEndsComesEarly compares the expected slots of a worker with the
// mean over drawn run times. It guards against waits that are rejected because each single
// run is expected to last, although one of many will end soon.
func TestFirstOfManyUncertainEndsComesEarly(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 3))
	const deviation, runs, draws = 0.7, 12, 2000
	needs := submission.Resources{CPU: 10}
	var want [runs]float64
	for range draws {
		var times []float64
		for range runs {
			times = append(times, math.Exp(deviation*rnd.NormFloat64()))
		}
		slices.Sort(times)
		for i := range times {
			want[i] += times[i] / draws
		}
	}
	w := Worker{MaxTasks: -1}
	for i := range runs {
		times, _ := Remaining(time.Second, deviation, 0, i)
		w.Ends = append(w.Ends, End{In: times, Frees: needs})
	}
	slots := Slots([]Worker{w}, needs, runs)
	if len(slots) != runs {
		t.Fatalf("%d slots", len(slots))
	}
	for i, s := range slots[:runs-2] { // the samples lack the tail of the distribution
		if got := s.In.Seconds(); math.Abs(got-want[i]) > 0.25*want[i]+0.05 {
			t.Errorf("slot %d: in %.2f s, want %.2f s", i, got, want[i])
		}
	}
}

func TestSlots(t *testing.T) {
	cpu := func(n int64) submission.Resources { return submission.Resources{CPU: n, Memory: n} }
	end := func(in, n int64) End { return End{In: Constant(Samples * time.Duration(in)), Frees: cpu(n)} }
	for _, c := range []struct {
		name    string
		workers []Worker
		count   int
		want    []Slot
	}{
		{"no workers", nil, 3, nil},
		{"free", []Worker{{Free: cpu(25), MaxTasks: -1}}, 3, []Slot{{0, 0}, {0, 0}}},
		{"the earliest first", []Worker{
			{Free: cpu(5), Ends: []End{end(9, 10), end(4, 5)}, MaxTasks: -1}, {Free: cpu(0), Ends: []End{end(6, 20)}, MaxTasks: -1},
		}, 3, []Slot{{4 * Samples, 0}, {6 * Samples, 1}, {6 * Samples, 1}}},
		{"two small ends make room for one", []Worker{{Ends: []End{end(1, 5), end(2, 5)}, MaxTasks: -1}}, 3, []Slot{{2 * Samples, 0}}},
		{"what waits ahead comes first", []Worker{{Free: cpu(-10), Ends: []End{end(1, 10), end(2, 10)}, MaxTasks: -1}}, 3, []Slot{{2 * Samples, 0}}},
		{"limit per worker", []Worker{{Free: cpu(30), MaxTasks: 1}, {Free: cpu(30)}}, 3, []Slot{{0, 0}}},
		{"runs that never end", []Worker{{Free: cpu(5), MaxTasks: -1}}, 3, nil},
		{"memory short", []Worker{{Free: submission.Resources{CPU: 100, Memory: 5}, Ends: []End{end(3, 5)}, MaxTasks: -1}}, 3, []Slot{{3 * Samples, 0}}},
	} {
		if got := Slots(c.workers, cpu(10), c.count); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestSlotsWithoutNeeds guards against an endless list for tasks that need nothing.
func TestSlotsWithoutNeeds(t *testing.T) {
	if got := Slots([]Worker{{MaxTasks: -1}}, submission.Resources{}, 4); len(got) != 4 {
		t.Errorf("%d slots, want 4", len(got))
	}
}
