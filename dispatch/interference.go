package dispatch

import (
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// Limits of the utilization of service tasks. In both deployments that
// gentianrail is built for, the tail latency of service tasks reaches the target
// at a utilization of 0.8.
const (
	_maxUtilization           = 0.7  // up to which a worker accepts a batch task; demand varies while the task runs
	_negligibleIncrease       = 0.02 // utilization increase up to which the interference of a batch task is negligible
	_maxUtilizationNegligible = 0.77 // up to which a worker accepts a batch task with negligible interference
	_maxTailLatency           = 100  // percent of the target above which a worker accepts no batch task
	// Cost of a batch task per unit of utilization increase. An increase of 0.15,
	// typical of one task of an interfering image, costs as much as a worker
	// without service tasks.
	_utilizationIncreaseCost = 4.0
)

// _demandHorizon is how far ahead demand is predicted: half of the duration of
// most batch tasks in both deployments. A trend predicts little beyond it.
const _demandHorizon = time.Second

// _statsDelay is the time until usage statistics include a new run: the
// statistics cover 500 ms and arrive every 400 ms.
const _statsDelay = 900 * time.Millisecond

// _serviceUsedShare is the mean share of their requested CPU that service tasks
// use. It holds for their sum because their demands vary independently.
const _serviceUsedShare = 0.5

func expectedServiceCPU(requested int64) int64 { return int64(_serviceUsedShare * float64(requested)) }

// batchLoad returns the load that count tasks of a batch step put on the worker.
func (n *node) batchLoad(step *submission.Step, count int) interference.Load {
	l := interference.Load{Image: step.Image}
	if n.Capacity.CPU > 0 {
		l.Share = float64(int64(count)*step.Needs.CPU) / float64(n.Capacity.CPU)
	}
	return l
}

// utilizationIncrease returns the largest increase of utilization that one more
// task of a batch step causes among the worker's service tasks. tolerated reports
// whether all of them are known to tolerate the increase for _demandHorizon.
func (r *round) utilizationIncrease(step *submission.Step, n *node) (highest float64, tolerated bool) {
	load := []interference.Load{n.batchLoad(step, 1)}
	tolerated = len(n.TailLatencies) > 0 // tasks that have just started have no tail latencies yet
	for _, latency := range n.TailLatencies {
		demand := r.estimator.Demand(latency.Step, _demandHorizon)
		increase := demand * r.estimator.CautiousInterference(latency.Image, load)
		after := demand*(1+r.estimator.CautiousInterference(latency.Image, n.Loads)+n.unreportedInterference(r.at.Now, &r.estimator, latency.Image)) + increase
		highest = max(highest, increase)
		tolerated = tolerated && latency.Percent <= _maxTailLatency && (after <= _maxUtilization || increase <= _negligibleIncrease && after <= _maxUtilizationNegligible)
	}
	return highest, tolerated
}

// toleratesBatchTask reports whether the worker's service tasks tolerate one more
// task of a batch step.
func (r *round) toleratesBatchTask(step *submission.Step, n *node) bool {
	_, tolerated := r.utilizationIncrease(step, n)
	return tolerated
}

// interferenceCost returns the cost of the utilization increase that one more task
// of the step causes.
func (r *round) interferenceCost(step *submission.Step, n *node) float64 {
	if !step.IsBatch() || n.serviceRuns == 0 {
		return 0
	}
	increase, _ := r.utilizationIncrease(step, n)
	return _utilizationIncreaseCost * increase
}
