// Package estimate estimates how long tasks run and how much work submissions have
// left.
package estimate

import (
	"math"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Parameters of the estimates of run times. Deviations are standard deviations of
// the logarithm of a run time.
const (
	_priorDeviation  = 0.5 // of run times within a queue, before enough steps have ended
	_priorError      = 0.2 // of declared estimates, before enough steps have ended
	_priorSteps      = 4   // weight of these priors, in steps
	_withinDeviation = 0.2 // of the run times of one step's tasks
	_maxQueueSteps   = 100 // weight of the steps of a queue, so that the statistics follow changes
	_samplesPerStep  = 3   // run times after which a step counts in its queue's statistics
	_minRunTime      = 50 * time.Millisecond
	_estimatesTTL    = 500 * time.Millisecond // of a submission's estimates
)

// Step identifies a step of a submission.
type Step struct {
	Submission string
	Index      int
}

// RunTimes estimates how long tasks run. Declared estimates may be off by a factor
// of several. The estimate of a step combines three sources, each weighted by its
// precision as observed: the declaration, the run times of other steps of the same
// queue, and the run times of tasks of the step that have ended. The zero value is
// ready to use.
type RunTimes struct {
	queues      map[string]*queueTimes
	steps       map[Step]*sampleMean
	submissions map[string]*Submission
}

// sampleMean is the mean of logarithms of run times.
type sampleMean struct {
	n, mean float64
}

func (m *sampleMean) add(x float64) {
	m.n++
	m.mean += (x - m.mean) / m.n
}

// moments are the mean and the variance of a sequence whose older elements lose
// weight.
type moments struct {
	n, mean, variance float64
}

func (m *moments) add(x float64) {
	m.n = min(m.n+1, _maxQueueSteps)
	d := x - m.mean
	m.mean += d / m.n
	m.variance += (d*(x-m.mean) - m.variance) / m.n
}

// deviation returns the squared standard deviation, with a prior value.
func (m *moments) deviationSquared(prior float64) float64 {
	return (_priorSteps*prior*prior + m.n*m.variance) / (_priorSteps + m.n)
}

// queueTimes are the statistics of a queue's steps.
type queueTimes struct {
	runTime moments    // log of the run time
	error   moments    // log of the declared estimate less that of the run time
	work    sampleMean // estimated work of a submission, in core-seconds
}

// Submission holds the estimates of one submission.
type Submission struct {
	at       time.Time
	steps    []time.Duration // run time of a task
	spreads  []float64       // standard deviations of the logarithms of the run times
	paths    []time.Duration // critical path that starts with each step
	critical time.Duration   // longest of the paths
	work     float64         // core-seconds of one occurrence
}

// Work returns the core-seconds of one occurrence.
func (e *Submission) Work() float64 { return e.work }

// Step returns the run time of a step's tasks and the standard deviation of its logarithm.
func (e *Submission) Step(step int) (runTime time.Duration, deviation float64) {
	return e.steps[step], e.spreads[step]
}

// Path returns the critical path that starts with a step.
func (e *Submission) Path(step int) time.Duration { return e.paths[step] }

func logSeconds(d time.Duration) float64 { return math.Log(max(d, _minRunTime).Seconds()) }

// RecordRunTime records the run time of a completed task.
func (t *RunTimes) RecordRunTime(queue string, id Step, step *submission.Step, took time.Duration) {
	if step.LongRunning || step.Estimate <= 0 {
		return
	}
	if t.steps == nil {
		t.queues, t.steps = make(map[string]*queueTimes), make(map[Step]*sampleMean)
	}
	m := t.steps[id]
	if m == nil {
		m = &sampleMean{}
		t.steps[id] = m
	}
	m.add(logSeconds(took))
	if int(m.n) == min(_samplesPerStep, step.Count) {
		q := t.queue(queue)
		q.runTime.add(m.mean)
		q.error.add(logSeconds(step.Estimate) - m.mean)
	}
	if m.n <= _samplesPerStep {
		delete(t.submissions, id.Submission)
	}
}

func (t *RunTimes) queue(name string) *queueTimes {
	if t.queues == nil {
		t.queues = make(map[string]*queueTimes)
	}
	q := t.queues[name]
	if q == nil {
		q = &queueTimes{}
		t.queues[name] = q
	}
	return q
}

// MeanWork returns the mean work of a queue's submissions, in core-seconds; 0 if there
// were none.
func (t *RunTimes) MeanWork(queue string) float64 { return t.queue(queue).work.mean }

// Step returns the estimated run time of a step's tasks.
func (t *RunTimes) Step(queue string, id Step, step *submission.Step) time.Duration {
	if step.Estimate <= 0 {
		return 0
	}
	mean, _ := t.logRunTime(queue, id, step)
	return time.Duration(math.Exp(mean) * float64(time.Second))
}

// Deviation returns the standard deviation of the logarithm of a task's run time from
// that of the estimate, as far as it is known; infinity if there is no estimate.
func (t *RunTimes) Deviation(queue string, id Step, step *submission.Step) float64 {
	if step.Estimate <= 0 {
		return math.Inf(1)
	}
	_, variance := t.logRunTime(queue, id, step)
	return math.Sqrt(variance + _withinDeviation*_withinDeviation)
}

// logRunTime returns the estimated logarithm of the mean run time of a step's tasks, and
// the variance of that estimate.
func (t *RunTimes) logRunTime(queue string, id Step, step *submission.Step) (mean, variance float64) {
	mean, variance = logSeconds(step.Estimate), _priorError*_priorError
	if q := t.queues[queue]; q != nil && q.runTime.n > 0 {
		spread, mistake := q.runTime.deviationSquared(_priorDeviation), q.error.deviationSquared(_priorError)
		trust := q.runTime.n / (q.runTime.n + _priorSteps) // in the queue's mean run time and mean error
		declared := mean - trust*q.error.mean
		weight := 1 - trust*mistake/(spread+mistake)
		mean = weight*declared + (1-weight)*q.runTime.mean
		variance = spread * mistake / (spread + mistake)
	}
	if m := t.steps[id]; m != nil {
		precision, observed := 1/variance, m.n/(_withinDeviation*_withinDeviation)
		mean = (mean*precision + m.mean*observed) / (precision + observed)
		variance = 1 / (precision + observed)
	}
	return mean, variance
}

// Submission returns the estimates of a submission.
func (t *RunTimes) Submission(now time.Time, s *submission.Submission) *Submission {
	e := t.submissions[s.ID]
	if e != nil && now.Sub(e.at) < _estimatesTTL {
		return e
	}
	first := e == nil
	if first {
		e = &Submission{
			steps: make([]time.Duration, len(s.Steps)), spreads: make([]float64, len(s.Steps)), paths: make([]time.Duration, len(s.Steps)),
		}
	}
	e.at, e.critical, e.work = now, 0, 0
	for i := range s.Steps {
		step := &s.Steps[i]
		id := Step{Submission: s.ID, Index: i}
		e.steps[i], e.spreads[i] = t.Step(s.Queue, id, step), t.Deviation(s.Queue, id, step)
		e.paths[i] = 0
		e.work += float64(step.Count) * float64(step.Needs.CPU) / 1000 * e.steps[i].Seconds()
	}
	for i := len(s.Steps) - 1; i >= 0; i-- {
		e.paths[i] += e.steps[i]
		e.critical = max(e.critical, e.paths[i])
		for _, d := range s.Steps[i].DependsOn {
			e.paths[d] = max(e.paths[d], e.paths[i])
		}
	}
	if t.submissions == nil {
		t.submissions = make(map[string]*Submission)
	}
	if t.submissions[s.ID] == nil && first {
		t.queue(s.Queue).work.add(e.work)
	}
	t.submissions[s.ID] = e
	return e
}

// Objective returns the time from acceptance within which a submission should be
// completed, as estimated.
func (e *Submission) Objective(s *submission.Submission) time.Duration {
	return s.ObjectiveOf(e.critical)
}

// RemainingWork returns the estimated core-seconds of the tasks that are not done.
func (e *Submission) RemainingWork(s *submission.Submission) float64 {
	sum := 0.0
	for k := range s.StepRecords {
		for i := range s.Steps {
			left := s.Steps[i].Count - s.StepRecords[k][i].DoneTasks
			sum += float64(left) * float64(s.Steps[i].Needs.CPU) / 1000 * e.steps[i].Seconds()
		}
	}
	return sum
}

// Prune drops what is known of submissions that have ended.
func (t *RunTimes) Prune(store *submission.Store) {
	ended := func(id string) bool {
		s, ok := store.Submission(id)
		return !ok || s.State.Ended()
	}
	for id := range t.steps {
		if ended(id.Submission) {
			delete(t.steps, id)
		}
	}
	for id := range t.submissions {
		if ended(id) {
			delete(t.submissions, id)
		}
	}
}

// Clone returns an independent copy.
func (t *RunTimes) Clone() RunTimes {
	c := RunTimes{
		queues: make(map[string]*queueTimes, len(t.queues)), steps: make(map[Step]*sampleMean, len(t.steps)), submissions: make(map[string]*Submission, len(t.submissions)),
	}
	for name, q := range t.queues {
		copied := *q
		c.queues[name] = &copied
	}
	for id, m := range t.steps {
		copied := *m
		c.steps[id] = &copied
	}
	for id, e := range t.submissions {
		copied := *e
		copied.steps, copied.spreads, copied.paths = slices.Clone(e.steps), slices.Clone(e.spreads), slices.Clone(e.paths)
		c.submissions[id] = &copied
	}
	return c
}
