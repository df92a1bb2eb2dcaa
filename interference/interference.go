// Package interference estimates how much the batch tasks on a worker slow down
// the service tasks beside them.
//
// The tail latency of a service task follows its utilization: its demand, which
// all tasks of its step share and which varies within seconds, times a factor
// that grows with the CPU that batch tasks use beside it. The growth is the
// interference coefficient of the pair of images, from nearly 0 to several times
// the demand. The package estimates demands and coefficients from workers'
// listings. It performs no I/O and reads no clock.
package interference

import (
	"math"
	"time"
)

// Constants of the model.
const (
	// Tail latency of an idle service task, in percent of its target. Targets are
	// five times the idle tail latency.
	_idleTailPercent    = 20
	_defaultDemand      = 0.45 // demand of an unknown step: the mean over steps
	_demandStdDev       = 0.15 // of the default demand and of one not observed for long; demands vary by half
	_demandDrift        = 0.07 // per second; fastest change of a demand that varies by half in 20 s
	_defaultCoefficient = 2.0  // coefficient of an unknown pair: between those of light and heavy pairs
	_coefficientStdDev  = 2.5  // standard deviation of the default coefficient
	// Per second. With 0.1, pairs that were known became uncertain again within seconds, and
	// their batch tasks waited.
	_coefficientDrift = 0.03
	// Standard deviations that a cautious estimate adds to a coefficient, so that
	// an unknown pair is tried with little load.
	_cautionStdDevs = 0.5
	_minTrendPeriod = 1500 * time.Millisecond // between two trend points; covers three samples or more
	_maxCoefficient = 15.0                    // a larger one makes no difference
	// Standard deviation of the utilization that one sample shows. A deviation of 5% of the
	// tail latency is one of 0.02 to 0.03; with 0.06, small loads showed their coefficients too late.
	_sampleStdDev = 0.03
	// Tail latency in percent of the target from which it shows a backlog rather
	// than the utilization.
	_backlogPercent    = 150
	_minSampleInterval = 200 * time.Millisecond // between two samples of one worker, each of which covers half a second
	_demandTTL         = 10 * time.Second       // of a demand or a sample after its latest update
	_coefficientTTL    = 10 * time.Minute       // of a coefficient after its latest update; frees memory of unused images
)

// Pair is an image of batch tasks and an image of service tasks.
type Pair struct {
	Batch   string
	Service string
}

// TailLatency is the tail latency of one step's service tasks on a worker.
type TailLatency struct {
	Step    string // name of the step
	Image   string // image of the service tasks
	Percent int    // mean tail latency of the step's tasks, in percent of the target
}

// Load is the CPU that the batch tasks of one image use on a worker.
type Load struct {
	Image string
	Share float64 // of the worker's CPU
}

// Utilization returns the utilization of service tasks whose tail latency is
// given in percent of their target: 0 if idle, near 1 with a backlog.
func Utilization(percent int) float64 {
	if percent <= _idleTailPercent {
		return 0
	}
	return 1 - float64(_idleTailPercent)/float64(percent)
}

// Coefficients holds interference coefficients by pair: the increase of the
// service tasks' utilization, relative to their demand, if batch tasks use a
// whole worker.
type Coefficients map[Pair]float64

// Of returns the coefficient of a pair, or the default if the pair is unknown.
func (c Coefficients) Of(pair Pair) float64 {
	if v, ok := c[pair]; ok {
		return v
	}
	return _defaultCoefficient
}

// Estimator holds the estimated demands and coefficients. The zero value is ready
// to use.
//
// It is a Kalman filter whose states are the demands of steps and the coefficients
// of pairs, without the covariances between them. Demands change quickly and
// coefficients slowly, so that a sudden increase beside a new load is attributed
// to the load, and a slow one to the demand.
type Estimator struct {
	coefficients map[Pair]*estimate
	demands      map[string]*demand
	samples      map[string]sample // latest sample, by worker
}

type sample struct {
	at       time.Time
	percents map[string]int // tail latencies in percent of the target, by step
}

// estimate is one state of the filter.
type estimate struct {
	at       time.Time
	value    float64
	variance float64
}

// demand is the estimate of a step's demand, with earlier values for its trend.
type demand struct {
	estimate
	trendPoints [2]trendPoint // the older one first
}

type trendPoint struct {
	at    time.Time
	value float64
}

// addTrendPoint records the current value, at most once per _minTrendPeriod. The
// older of the two points is then at least _minTrendPeriod old.
func (d *demand) addTrendPoint(now time.Time) {
	if d.trendPoints[1].at.IsZero() || now.Sub(d.trendPoints[1].at) >= _minTrendPeriod {
		d.trendPoints[0], d.trendPoints[1] = d.trendPoints[1], trendPoint{at: now, value: d.value}
	}
}

// trend returns the change per second, at most _demandDrift.
func (d *demand) trend() float64 {
	span := d.at.Sub(d.trendPoints[0].at)
	if d.trendPoints[0].at.IsZero() || span <= 0 {
		return 0
	}
	return min((d.value-d.trendPoints[0].value)/span.Seconds(), _demandDrift)
}

// growVariance adds the drift since the latest update to the variance, up to the
// square of maxStdDev.
func (e *estimate) growVariance(now time.Time, drift, maxStdDev float64) {
	if d := now.Sub(e.at).Seconds(); d > 0 {
		e.variance = min(e.variance+drift*drift*d, maxStdDev*maxStdDev)
		e.at = now
	}
}

// correct moves the estimate by its share of the residual, the measured value less
// the expected one. slope is the derivative of the measured value with respect to
// the estimate, totalVariance the variance of the measured value.
func (e *estimate) correct(slope, residual, totalVariance, minValue, maxValue float64) {
	gain := e.variance * slope / totalVariance
	e.value = min(max(e.value+gain*residual, minValue), maxValue)
	e.variance *= 1 - gain*slope
}

// Coefficient returns the estimated coefficient of a pair.
func (e *Estimator) Coefficient(pair Pair) float64 {
	if c := e.coefficients[pair]; c != nil {
		return c.value
	}
	return _defaultCoefficient
}

// EachCoefficient calls f with the estimated coefficient of each known pair.
func (e *Estimator) EachCoefficient(f func(Pair, float64)) {
	for p, c := range e.coefficients {
		f(p, c.value)
	}
}

// cautiousCoefficient returns an upper estimate of a pair's coefficient.
func (e *Estimator) cautiousCoefficient(pair Pair) float64 {
	if c := e.coefficients[pair]; c != nil {
		return c.value + _cautionStdDevs*math.Sqrt(c.variance)
	}
	return _defaultCoefficient + _cautionStdDevs*_coefficientStdDev
}

// CautiousInterference returns the interference of the loads with an image's
// service tasks, computed from upper estimates of the coefficients.
func (e *Estimator) CautiousInterference(image string, loads []Load) float64 {
	interference := 0.0
	for _, l := range loads {
		interference += l.Share * e.cautiousCoefficient(Pair{Batch: l.Image, Service: image})
	}
	return interference
}

// Demand returns the current demand of a step, or the demand expected after the
// time ahead if that is higher.
func (e *Estimator) Demand(step string, ahead time.Duration) float64 {
	d := e.demands[step]
	if d == nil {
		return _defaultDemand
	}
	return min(d.value+max(0, d.trend())*ahead.Seconds(), 1)
}

// Interference returns the interference of the loads with an image's service
// tasks: the increase of their utilization relative to their demand.
func (e *Estimator) Interference(image string, loads []Load) float64 {
	interference := 0.0
	for _, l := range loads {
		interference += l.Share * e.Coefficient(Pair{Batch: l.Image, Service: image})
	}
	return interference
}

// AddSample updates the estimates with a sample of a worker. It ignores a sample
// less than _minSampleInterval after the worker's previous one.
func (e *Estimator) AddSample(now time.Time, worker string, latencies []TailLatency, loads []Load) {
	last := e.samples[worker]
	if now.Sub(last.at) < _minSampleInterval {
		return
	}
	if e.coefficients == nil {
		e.coefficients, e.demands, e.samples = make(map[Pair]*estimate), make(map[string]*demand), make(map[string]sample)
	}
	percents := make(map[string]int, len(latencies))
	for _, latency := range latencies {
		percents[latency.Step] = latency.Percent
		if latency.Percent < _backlogPercent {
			e.updateEstimates(now, latency, loads, true)
			continue
		}
		// A backlog drains for seconds after its cause has ended, so that only a
		// growing backlog is attributed to the current loads.
		if before, ok := last.percents[latency.Step]; ok && latency.Percent > before {
			e.updateEstimates(now, latency, loads, false)
		}
	}
	e.samples[worker] = sample{at: now, percents: percents}
}

// updateEstimates corrects the demand and the coefficients that explain a tail
// latency. exact is false for a tail latency that shows a backlog. It then gives
// only a lower bound of the utilization and does not correct the demand.
func (e *Estimator) updateEstimates(now time.Time, latency TailLatency, loads []Load, exact bool) {
	d := e.demands[latency.Step]
	if d == nil {
		d = &demand{estimate: estimate{at: now, value: _defaultDemand, variance: _demandStdDev * _demandStdDev}}
		e.demands[latency.Step] = d
	}
	d.growVariance(now, _demandDrift, _demandStdDev)
	interference := e.Interference(latency.Image, loads)
	residual := Utilization(latency.Percent) - d.value*(1+interference)
	if !exact && residual <= 0 {
		return
	}
	slope := 1 + interference
	totalVariance := _sampleStdDev * _sampleStdDev
	if exact {
		totalVariance += d.variance * slope * slope
	}
	coefficients := make([]*estimate, len(loads))
	for i, l := range loads {
		c := e.coefficientEstimate(now, Pair{Batch: l.Image, Service: latency.Image})
		coefficients[i] = c
		totalVariance += c.variance * (d.value * l.Share) * (d.value * l.Share)
	}
	priorDemand := d.value
	if exact {
		d.correct(slope, residual, totalVariance, 0, 1)
		d.addTrendPoint(now)
	}
	for i, l := range loads {
		coefficients[i].correct(priorDemand*l.Share, residual, totalVariance, 0, _maxCoefficient)
	}
}

// coefficientEstimate returns the estimate of a pair's coefficient as of now. It
// creates the estimate if the pair is unknown.
func (e *Estimator) coefficientEstimate(now time.Time, pair Pair) *estimate {
	c := e.coefficients[pair]
	if c == nil {
		c = &estimate{at: now, value: _defaultCoefficient, variance: _coefficientStdDev * _coefficientStdDev}
		e.coefficients[pair] = c
	}
	c.growVariance(now, _coefficientDrift, _coefficientStdDev)
	return c
}

// Prune drops the demands, coefficients and samples whose TTL has expired.
func (e *Estimator) Prune(now time.Time) {
	for step, d := range e.demands {
		if now.Sub(d.at) >= _demandTTL {
			delete(e.demands, step)
		}
	}
	for pair, c := range e.coefficients {
		if now.Sub(c.at) >= _coefficientTTL {
			delete(e.coefficients, pair)
		}
	}
	for w, s := range e.samples {
		if now.Sub(s.at) >= _demandTTL {
			delete(e.samples, w)
		}
	}
}
