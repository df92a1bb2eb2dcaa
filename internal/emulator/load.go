package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/gentianrail/gentianrail/submission"
)

// kind is what a submission is for.
type kind uint8

const (
	service kind = iota + 1
	batch
	short
)

func (k kind) String() string { return [...]string{"", "service", "batch", "short"}[k] }

// draw returns a value of the distribution with its mean.
func (s Spread) draw(rnd *rand.Rand) float64 {
	if s.StdDev <= 0 {
		return s.Mean
	}
	d := distuv.LogNormal{Mu: math.Log(s.Mean) - s.StdDev*s.StdDev/2, Sigma: s.StdDev, Src: rnd}
	v := d.Rand()
	if s.Max > 0 {
		v = min(v, s.Max)
	}
	return v
}

func (s Spread) drawCount(rnd *rand.Rand) int { return max(int(math.Round(s.draw(rnd))), 1) }

// request is a submission that a caller makes, with what only the emulation knows.
type request struct {
	kind      kind
	at        time.Duration // after the start of the emulation
	spec      submission.Spec
	queue     *Jobs           // settings of the queue; nil for services
	work      []time.Duration // true work of a task, by step
	failures  [][]int         // runs of each task that fail before one completes, by step
	poisoned  bool            // task 0 of step 0 always fails
	cancelAt  time.Duration   // 0 for never
	phase     float64         // of a service's demand, in radians
	objective time.Duration   // from the request to its completion
	value     float64
}

const _maxFailures = 1 << 20 // of a task that always fails

// drawRequests returns the requests of an emulation in order of time.
func drawRequests(s *Scenario, rnd *rand.Rand) []*request {
	var out []*request
	for range s.Services.AtStart {
		out = append(out, drawService(s, rnd, time.Duration(rnd.Float64()*float64(s.Lead)/2)))
	}
	out = append(out, drawArrivals(s, rnd, s.Services.Rate, service, func(at time.Duration) *request { return drawService(s, rnd, at) })...)
	out = append(out, drawArrivals(s, rnd, s.Batch.Rate, batch, func(at time.Duration) *request { return drawJob(s, &s.Batch, batch, rnd, at) })...)
	out = append(out, drawArrivals(s, rnd, s.Short.Rate, short, func(at time.Duration) *request { return drawJob(s, &s.Short, short, rnd, at) })...)
	slices.SortStableFunc(out, func(a, b *request) int { return int(a.at - b.at) })
	for i, r := range out {
		r.spec.ID = fmt.Sprintf("%s-%04d", r.kind, i)
	}
	return out
}

// drawArrivals draws requests at a rate that the bursts multiply.
func drawArrivals(s *Scenario, rnd *rand.Rand, rate float64, k kind, draw func(time.Duration) *request) []*request {
	if rate <= 0 {
		return nil
	}
	var out []*request
	for at := time.Duration(0); ; {
		factor := 1.0
		for _, b := range s.Bursts {
			if at >= b.At && at < b.At+b.For {
				factor *= b.factor(k)
			}
		}
		at += time.Duration(distuv.Exponential{Rate: rate * factor, Src: rnd}.Rand() * float64(time.Second))
		if at >= s.Length {
			return out
		}
		r := draw(s.Lead + at)
		for _, b := range s.Bursts {
			if k != service && at >= b.At && at < b.At+b.For && rnd.Float64() < b.Cancel {
				r.cancelAt = r.at + time.Duration(rnd.Float64()*float64(time.Second))
			}
		}
		out = append(out, r)
	}
}

func (b Burst) factor(k kind) float64 {
	switch {
	case k == batch && b.Batch > 0:
		return b.Batch
	case k == short && b.Short > 0:
		return b.Short
	}
	return 1
}

func drawService(s *Scenario, rnd *rand.Rand, at time.Duration) *request {
	v := &s.Services
	r := &request{kind: service, at: at, phase: 2 * math.Pi * rnd.Float64(), value: v.Value}
	r.cancelAt = at + time.Duration(v.Stay.draw(rnd)*float64(time.Second))
	step := submission.Step{
		Count: v.Width.drawCount(rnd), Needs: submission.Resources{CPU: int64(v.CPU.draw(rnd)), Memory: int64(v.Memory.draw(rnd))},
		LongRunning: true, Image: fmt.Sprintf("service%02d", rnd.IntN(s.Images.Service)), TailTarget: v.TailTarget,
	}
	if rnd.Float64() < v.SpreadShare {
		step.MaxPerWorker = 1 + rnd.IntN(2)
	}
	r.spec.Steps = []submission.Step{step}
	r.work = []time.Duration{0}
	failures := make([]int, step.Count)
	for i := range failures {
		if rnd.Float64() < v.FailureShare {
			failures[i] = 1
		}
	}
	r.failures = [][]int{failures}
	return r
}

func drawJob(s *Scenario, j *Jobs, k kind, rnd *rand.Rand, at time.Duration) *request {
	r := &request{kind: k, at: at, queue: j, poisoned: rnd.Float64() < j.PoisonShare}
	if rnd.Float64() < j.CancelShare {
		r.cancelAt = at + time.Duration((0.5+3*rnd.Float64())*float64(time.Second))
	}
	checkpointing := rnd.Float64() < j.Checkpointing
	var critical time.Duration
	total := 0.0
	for i := range j.Steps.drawCount(rnd) {
		work := time.Duration(j.Work.draw(rnd) * float64(time.Second))
		step := submission.Step{
			Count: j.Width.drawCount(rnd), Needs: submission.Resources{CPU: int64(j.CPU.draw(rnd)), Memory: int64(j.Memory.draw(rnd))},
			Estimate:      time.Duration(float64(work) * math.Exp(rnd.NormFloat64()*j.EstimateError)),
			Checkpointing: checkpointing, UnreservedCPU: j.Batch,
		}
		if j.Batch {
			step.Image = fmt.Sprintf("batch%02d", rnd.IntN(s.Images.Batch))
		}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		failures, worst := make([]int, step.Count), 0
		for x := range failures {
			for failures[x] < j.MaxAttempts-1 && rnd.Float64() < j.FailureShare {
				failures[x]++
			}
			worst = max(worst, failures[x])
		}
		if r.poisoned && i == 0 {
			failures[0] = _maxFailures
		}
		critical += work * time.Duration(1+worst)
		total += float64(step.Count) * float64(step.Needs.CPU) * work.Seconds()
		r.spec.Steps, r.work, r.failures = append(r.spec.Steps, step), append(r.work, work), append(r.failures, failures)
	}
	r.objective = time.Duration(j.Slack*float64(critical)) + j.Target
	r.value = j.Value * (fixedValueShare + (1-fixedValueShare)*min(total/j.meanWork(), maxValueFactor))
	return r
}

// Parts of a submission's value that do not depend on its work.
const (
	fixedValueShare = 0.3
	maxValueFactor  = 4
)

// meanWork returns the mean work of a submission, in thousandths of a core and
// seconds.
func (j *Jobs) meanWork() float64 { return j.Steps.Mean * j.Width.Mean * j.CPU.Mean * j.Work.Mean }
