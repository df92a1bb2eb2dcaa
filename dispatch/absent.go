package dispatch

import (
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// Parameters of the room that is kept for absent service tasks.
const (
	_absenceTTL    = 5 * time.Second // after a loss; service tasks that have not started by then lack capacity
	_packingFactor = 1.1             // service tasks do not fill workers completely
)

// absence is the CPU that service tasks of a service need which neither run nor
// have a place: those of lost workers whose ends are not recorded, and waiting
// ones. Those on workers of evacuated zones run.
type absence struct {
	cpu      int64 // thousandths of a core
	cleanCPU int64 // capacity of workers with neither service tasks nor batch tasks
}

// absences returns the absent service tasks by service. After a loss of many
// workers, and while agents report to a new leader, batch tasks are ready to start
// before service tasks are. On workers that they occupied, service tasks would miss
// their targets for seconds.
func (s *Scheduler) absences(at Clocks, store *submission.Store) map[string]absence {
	if s.pool.lostServiceTasks || s.lossAt.IsZero() {
		s.pool.lostServiceTasks, s.lossAt = false, at.Now
	}
	if at.Now.Sub(s.lossAt) >= _absenceTTL {
		return nil
	}
	out := make(map[string]absence, len(s.pool.services))
	for name, service := range s.pool.services {
		if cpu := store.ServiceCPU(name) - service.serviceCPU - s.pool.evacuatedServiceCPU(name); cpu > 0 {
			out[name] = absence{cpu: int64(_packingFactor * float64(cpu)), cleanCPU: service.cleanCPU}
		}
	}
	return out
}

// isClean reports whether a worker has neither service tasks nor batch tasks.
func (n *node) isClean() bool { return n.serviceRuns == 0 && n.batchRuns == 0 }

// isKeptForService reports whether a worker is kept for absent service tasks.
func (r *round) isKeptForService(n *node) bool {
	a, ok := r.absent[n.Service]
	return ok && n.isClean() && a.cleanCPU-n.Capacity.CPU < a.cpu
}

// updateAbsence takes a start on a worker into account, before the worker does.
func (r *round) updateAbsence(n *node, step *submission.Step) {
	a, ok := r.absent[n.Service]
	if !ok || !step.IsService() && !step.IsBatch() {
		return
	}
	if n.isClean() {
		a.cleanCPU -= n.Capacity.CPU
	}
	if step.IsService() {
		a.cpu -= int64(_packingFactor * float64(step.Needs.CPU))
	}
	r.absent[n.Service] = a
}
