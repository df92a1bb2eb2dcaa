// Package experiment compares scheduling policies over emulations of one scenario.
//
// All policies play the same seeds, so that differences between them are paired.
package experiment

import (
	"context"
	"math"
	"sync"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/emulator"
)

// Experiment is a comparison of policies.
type Experiment struct {
	Scenario emulator.Scenario
	Policies []emulator.Policy // the others are compared with the first one
	Seeds    int               // emulations of each policy
	Parallel int               // emulations at a time
}

const (
	_minSeeds   = 2
	_confidence = 0.95
)

// Validate returns an error for the first fault.
func (e *Experiment) Validate() error {
	switch {
	case len(e.Policies) == 0:
		return fault.New(fault.BadRequest, "no policies are given")
	case e.Seeds < _minSeeds:
		return fault.New(fault.BadRequest, "found %d seeds, at least %d are needed for an interval", e.Seeds, _minSeeds)
	}
	return e.Scenario.Validate()
}

// Sample holds one figure of each seed.
type Sample []float64

// Mean returns the mean.
func (s Sample) Mean() float64 { return stat.Mean(s, nil) }

// HalfWidth returns half of the width of the mean's confidence interval (Student's
// t), or 0 for less than two values.
func (s Sample) HalfWidth() float64 {
	if len(s) < _minSeeds {
		return 0
	}
	n := float64(len(s))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile((1 + _confidence) / 2)
	return t * stat.StdDev(s, nil) / math.Sqrt(n)
}

// Minus returns the differences by seed.
func (s Sample) Minus(o Sample) Sample {
	out := make(Sample, len(s))
	for i := range s {
		out[i] = s[i] - o[i]
	}
	return out
}

// KindFigures are the figures of one kind of submission.
type KindFigures struct {
	Credit   Sample // share of the value
	InTime   Sample // shares of what is owed
	Late     Sample
	Failed   Sample
	Rejected Sample
}

// PolicyFigures are the figures of one policy.
type PolicyFigures struct {
	Policy     emulator.Policy
	Score      Sample
	Whole      Sample // credit over all kinds
	Worst      Sample // credit of the worst windows
	Missed     Sample // seconds of service tasks over their target because of batch tasks
	BatchCores Sample // mean CPU of batch tasks
	IdleCores  Sample // mean CPU that nothing used
	LostCores  Sample // mean CPU of batch tasks whose submissions have lost their value
	LongMisses Sample // service tasks that missed their target so long that a promise is broken
	Kinds      map[string]*KindFigures
}

// Difference is the outcome of a comparison.
type Difference string

// The outcomes: the interval of the paired difference is above zero, below it, or
// includes it.
const (
	Better   Difference = "better"
	Worse    Difference = "worse"
	Unproved Difference = "no difference shown"
)

// KindOf returns the figures of a kind; those of a kind that the policy lacks are zero.
func (p *PolicyFigures) KindOf(kind string) *KindFigures {
	if k := p.Kinds[kind]; k != nil {
		return k
	}
	none := make(Sample, len(p.Score))
	return &KindFigures{Credit: none, InTime: none, Late: none, Failed: none, Rejected: none}
}

// Compare compares the score with that of another policy.
func (p *PolicyFigures) Compare(o *PolicyFigures) (Sample, Difference) {
	d := p.Score.Minus(o.Score)
	switch mean, half := d.Mean(), d.HalfWidth(); {
	case mean > half:
		return d, Better
	case mean < -half:
		return d, Worse
	default:
		return d, Unproved
	}
}

// Run plays all emulations. It returns the figures in the order of the policies.
func Run(ctx context.Context, e Experiment) ([]*PolicyFigures, error) {
	if err := e.Validate(); err != nil {
		return nil, err
	}
	results := make([]emulator.Result, len(e.Policies)*e.Seeds)
	errs := make([]error, len(results))
	var running sync.WaitGroup
	slots := make(chan struct{}, max(e.Parallel, 1))
	for i := range results {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			if errs[i] = ctx.Err(); errs[i] == nil {
				results[i], errs[i] = emulator.Run(&e.Scenario, e.Policies[i/e.Seeds], uint64(i%e.Seeds))
			}
		})
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	out := make([]*PolicyFigures, len(e.Policies))
	for i, p := range e.Policies {
		out[i] = newPolicyFigures(p, results[i*e.Seeds:(i+1)*e.Seeds])
	}
	return out, nil
}

func newPolicyFigures(p emulator.Policy, results []emulator.Result) *PolicyFigures {
	f := &PolicyFigures{Policy: p, Kinds: make(map[string]*KindFigures)}
	for i := range results {
		r := &results[i]
		f.Score, f.Whole, f.Worst = append(f.Score, r.Score), append(f.Whole, r.Whole), append(f.Worst, r.Worst)
		f.IdleCores, f.LostCores = append(f.IdleCores, r.Usage.IdleCores), append(f.LostCores, r.Usage.LostCores)
		f.LongMisses = append(f.LongMisses, float64(r.Usage.LongMisses))
		f.Missed, f.BatchCores = append(f.Missed, r.Usage.MissedSeconds), append(f.BatchCores, r.Usage.BatchCores)
		for name, k := range r.Kinds {
			if f.Kinds[name] == nil {
				f.Kinds[name] = &KindFigures{}
			}
			f.Kinds[name].add(k)
		}
	}
	return f
}

func (f *KindFigures) add(k emulator.KindResult) {
	owed := float64(max(k.Owed, 1))
	f.Credit = append(f.Credit, k.Credit)
	f.InTime, f.Late = append(f.InTime, float64(k.InTime)/owed), append(f.Late, float64(k.Late)/owed)
	f.Failed, f.Rejected = append(f.Failed, float64(k.Failed)/owed), append(f.Rejected, float64(k.Rejected)/owed)
}
