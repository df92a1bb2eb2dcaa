package dispatch

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/submission"
)

// Worker is one incarnation of a worker that may receive tasks.
type Worker struct {
	Incarnation   string
	Service       string // name of the service (pool of workers) that the worker belongs to
	Zone          string
	Rack          string
	Labels        []string
	Capacity      submission.Resources
	Schedulable   bool                       // accepts new tasks
	Since         time.Time                  // when the leader first heard of the incarnation; zero if that is unknown
	WarmAt        time.Time                  // until when the worker is slow; zero if it is not
	WarmUp        time.Duration              // length of the ramp that ends at WarmAt
	TailLatencies []interference.TailLatency // latest tail latencies of its service tasks
	Loads         []interference.Load        // latest loads of its batch tasks
}

// newLoad is the load of a batch run that the usage statistics do not include yet.
type newLoad struct {
	run   submission.RunID
	load  interference.Load
	until time.Time // when the statistics include the run
}

// node is a worker with its free resources. Between rounds it reflects the record;
// a round adds the runs that it starts and takes them back at its end.
type node struct {
	Worker
	free submission.Resources
	// CPU that no run, with reserved or unreserved CPU, is expected to use; negative
	// if the runs request too much.
	idleCPU       int64
	serviceRuns   int
	serviceCPU    int64 // that service tasks request
	batchRuns     int
	runs          int
	requestedCPU  int64               // of all runs, with reserved or unreserved CPU
	serviceImages map[string]int      // runs of service tasks by image
	newLoads      []newLoad           // of recorded runs
	roundLoads    []interference.Load // of runs that the present round starts
	roundStarts   []string            // submissions whose runs the present round starts
	// The submission for which the worker is isolated until a log time; "" for none.
	isolatedFor   string
	isolatedUntil time.Time
	latestStarts  *submission.LatestStarts // of recorded runs; nil until needed

	freeIndex, idleIndex position
	rackIndex            int    // in the list of the rack's workers
	labelIndexes         []int  // parallel to Labels
	counted              totals // contribution to the totals of the service
	changed              bool   // the present round has changed the node
}

// position is a place in a list of buckets.
type position struct{ bucket, index int }

// totals sums up the workers of a service.
type totals struct {
	workers       int
	shared        int // workers with both service tasks and batch tasks
	capacity      int64
	free          int64
	idle          int64
	besideService int64 // free CPU on workers with service tasks
	serviceRuns   int
	batchRuns     int
	serviceCPU    int64 // that service tasks request
	cleanCPU      int64 // capacity of workers with neither service tasks nor batch tasks
}

func (t *totals) add(o totals, sign int) {
	t.workers += sign * o.workers
	t.shared += sign * o.shared
	t.capacity += int64(sign) * o.capacity
	t.free += int64(sign) * o.free
	t.idle += int64(sign) * o.idle
	t.besideService += int64(sign) * o.besideService
	t.serviceRuns += sign * o.serviceRuns
	t.batchRuns += sign * o.batchRuns
	t.serviceCPU += int64(sign) * o.serviceCPU
	t.cleanCPU += int64(sign) * o.cleanCPU
}

// _buckets is the number of classes of free CPU, which are powers of two of cores.
const _buckets = 9

func bucketOf(cpu int64) int {
	const milli = 1000
	return min(bits.Len64(uint64(max(cpu, 0)/milli)), _buckets-1)
}

// service holds the workers of one service, by free CPU and by rack, so that a
// round finds workers for a task without looking at all of them.
type service struct {
	totals
	byFree  [_buckets][]*node // by CPU that can be reserved
	byIdle  [_buckets][]*node // by CPU that is expected to be idle
	byRack  map[string][]*node
	byLabel map[string][]*node
	cursor  int // where the next search starts within a bucket
}

// pool holds the workers that can receive tasks. The zero value is empty.
type pool struct {
	nodes    map[string]*node // by incarnation
	services map[string]*service
	isolated map[string]*node // with isolatedFor, also if that has expired; by incarnation
	evacuation
	// A worker with service tasks has been removed. The owner resets it.
	lostServiceTasks bool
}

// set adds or updates a worker.
func (p *pool) set(store *submission.Store, w Worker) {
	if !w.Schedulable {
		p.remove(w.Incarnation)
		return
	}
	if p.setEvacuated(store, w) {
		return
	}
	if p.nodes == nil {
		p.nodes, p.services = make(map[string]*node), make(map[string]*service)
	}
	w.Labels = slices.Compact(slices.Sorted(slices.Values(w.Labels)))
	n := p.nodes[w.Incarnation]
	if n != nil && (n.Service != w.Service || n.Rack != w.Rack || !slices.Equal(n.Labels, w.Labels)) {
		p.remove(w.Incarnation)
		n = &node{newLoads: n.newLoads}
	}
	if p.nodes[w.Incarnation] == nil {
		if n == nil {
			n = &node{}
		}
		n.Worker = w
		p.insert(n)
	}
	n.Worker = w
	p.refresh(store, w.Incarnation)
}

func (p *pool) insert(n *node) {
	p.nodes[n.Incarnation] = n
	s := p.services[n.Service]
	if s == nil {
		s = &service{byRack: make(map[string][]*node), byLabel: make(map[string][]*node)}
		p.services[n.Service] = s
	}
	n.rackIndex = len(s.byRack[n.Rack])
	s.byRack[n.Rack] = append(s.byRack[n.Rack], n)
	n.labelIndexes = make([]int, len(n.Labels))
	for i, label := range n.Labels {
		n.labelIndexes[i] = len(s.byLabel[label])
		s.byLabel[label] = append(s.byLabel[label], n)
	}
	n.freeIndex = position{index: len(s.byFree[0])}
	s.byFree[0] = append(s.byFree[0], n)
	n.idleIndex = position{index: len(s.byIdle[0])}
	s.byIdle[0] = append(s.byIdle[0], n)
}

func (p *pool) remove(incarnation string) {
	n := p.nodes[incarnation]
	if n == nil {
		n = p.evacuatedNodes[incarnation]
	}
	if n == nil {
		return
	}
	p.lostServiceTasks = p.lostServiceTasks || n.serviceRuns > 0
	delete(p.evacuatedNodes, incarnation)
	p.withdraw(incarnation)
}

// withdraw removes a worker from those that can receive tasks.
func (p *pool) withdraw(incarnation string) {
	n := p.nodes[incarnation]
	if n == nil {
		return
	}
	delete(p.nodes, incarnation)
	delete(p.isolated, incarnation)
	s := p.services[n.Service]
	s.add(n.counted, -1)
	removeAt(&s.byFree[n.freeIndex.bucket], n.freeIndex.index, func(o *node, i int) { o.freeIndex.index = i })
	removeAt(&s.byIdle[n.idleIndex.bucket], n.idleIndex.index, func(o *node, i int) { o.idleIndex.index = i })
	removeFrom(s.byRack, n.Rack, n.rackIndex, func(o *node, i int) { o.rackIndex = i })
	for k, label := range n.Labels {
		removeFrom(s.byLabel, label, n.labelIndexes[k], func(o *node, i int) { o.labelIndexes[slices.Index(o.Labels, label)] = i })
	}
	if s.workers == 0 {
		delete(p.services, n.Service)
	}
}

// removeAt removes an element by moving the last one to its place. moved records
// the new place of that one.
func removeAt(list *[]*node, i int, moved func(*node, int)) {
	l := *list
	last := len(l) - 1
	l[i] = l[last]
	moved(l[i], i)
	l[last] = nil
	*list = l[:last]
}

// removeFrom removes an element of one of the lists.
func removeFrom(lists map[string][]*node, key string, i int, moved func(*node, int)) {
	list := lists[key]
	removeAt(&list, i, moved)
	lists[key] = list
	if len(list) == 0 {
		delete(lists, key)
	}
}

// refresh takes over a worker's recorded runs. It must be called when a run of the
// worker has started or ended.
func (p *pool) refresh(store *submission.Store, incarnation string) {
	if n := p.evacuatedNodes[incarnation]; n != nil {
		n.takeOver(store)
		return
	}
	n := p.nodes[incarnation]
	if n == nil {
		return
	}
	n.takeOver(store)
	p.index(n)
}

// takeOver takes over the worker's recorded runs.
func (n *node) takeOver(store *submission.Store) {
	n.free, n.idleCPU = n.Capacity, n.Capacity.CPU
	n.serviceRuns, n.serviceCPU, n.batchRuns, n.runs, n.requestedCPU = 0, 0, 0, 0, 0
	n.roundLoads, n.roundStarts, n.changed = nil, nil, false
	n.isolatedFor, n.isolatedUntil, n.latestStarts = "", time.Time{}, nil
	if u := store.Usage(n.Incarnation); u != nil {
		n.free = n.Capacity.Sub(u.Reserved)
		n.idleCPU -= u.RequestedCPU - u.ServiceCPU + expectedServiceCPU(u.ServiceCPU)
		n.serviceRuns, n.serviceCPU, n.batchRuns, n.runs = u.ServiceRuns, u.ServiceCPU, u.BatchRuns, len(u.Runs)
		n.requestedCPU = u.RequestedCPU
		n.serviceImages = maps.Clone(u.ServiceImages)
		n.isolatedFor, n.isolatedUntil = u.IsolatedFor()
	} else {
		n.serviceImages = nil
	}
}

// index updates a worker's place in the lists of its service.
func (p *pool) index(n *node) {
	p.indexIsolated(n)
	s := p.services[n.Service]
	s.add(n.counted, -1)
	n.counted = n.totals()
	s.add(n.counted, 1)
	if b := bucketOf(n.free.CPU); b != n.freeIndex.bucket {
		removeAt(&s.byFree[n.freeIndex.bucket], n.freeIndex.index, func(o *node, i int) { o.freeIndex.index = i })
		n.freeIndex = position{bucket: b, index: len(s.byFree[b])}
		s.byFree[b] = append(s.byFree[b], n)
	}
	if b := bucketOf(n.idleCPU); b != n.idleIndex.bucket {
		removeAt(&s.byIdle[n.idleIndex.bucket], n.idleIndex.index, func(o *node, i int) { o.idleIndex.index = i })
		n.idleIndex = position{bucket: b, index: len(s.byIdle[b])}
		s.byIdle[b] = append(s.byIdle[b], n)
	}
}

func (n *node) totals() totals {
	t := totals{workers: 1, capacity: n.Capacity.CPU, free: n.free.CPU, idle: n.idleCPU, serviceRuns: n.serviceRuns, batchRuns: n.batchRuns, serviceCPU: n.serviceCPU}
	if n.serviceRuns > 0 {
		t.besideService = n.free.CPU
		if n.batchRuns > 0 {
			t.shared = 1
		}
	}
	if n.isClean() {
		t.cleanCPU = n.Capacity.CPU
	}
	return t
}

// serviceNames returns the names of the services in a fixed order.
func (p *pool) serviceNames() []string { return slices.Sorted(maps.Keys(p.services)) }

// addNewLoad records the load of a batch run that has just started.
func (n *node) addNewLoad(now time.Time, run submission.RunID, step *submission.Step) {
	n.newLoads = slices.DeleteFunc(n.newLoads, func(l newLoad) bool { return !now.Before(l.until) })
	n.newLoads = append(n.newLoads, newLoad{run: run, load: n.batchLoad(step, 1), until: now.Add(_statsDelay)})
}

func (n *node) removeNewLoad(run submission.RunID) {
	n.newLoads = slices.DeleteFunc(n.newLoads, func(l newLoad) bool { return l.run == run })
}

// unreportedInterference returns the interference with an image's service tasks by
// loads that the usage statistics do not include yet.
func (n *node) unreportedInterference(now time.Time, e *interference.Estimator, image string) float64 {
	sum := e.CautiousInterference(image, n.roundLoads)
	for i := range n.newLoads {
		if now.Before(n.newLoads[i].until) {
			sum += e.CautiousInterference(image, []interference.Load{n.newLoads[i].load})
		}
	}
	return sum
}

// addRuns adds count runs of a step to the worker, or removes them if count is
// negative.
func (n *node) addRuns(step *submission.Step, count int) {
	reserved := step.Reserved()
	for range max(count, -count) {
		if count > 0 {
			n.free = n.free.Sub(reserved)
		} else {
			n.free = n.free.Add(reserved)
		}
	}
	n.runs += count
	n.requestedCPU += int64(count) * step.Needs.CPU
	switch {
	case step.IsService():
		n.idleCPU -= int64(count) * expectedServiceCPU(step.Needs.CPU)
		n.serviceRuns += count
		n.serviceCPU += int64(count) * step.Needs.CPU
		if n.serviceImages == nil {
			n.serviceImages = make(map[string]int)
		}
		n.serviceImages[step.Image] += count
	case step.IsBatch():
		n.idleCPU -= int64(count) * step.Needs.CPU
		n.batchRuns += count
		n.roundLoads = append(n.roundLoads, n.batchLoad(step, count))
	default:
		n.idleCPU -= int64(count) * step.Needs.CPU
	}
}

// holds reports whether a worker that can receive tasks has the free resources that a
// task of a step reserves. It reports true for other workers.
func (p *pool) holds(incarnation string, step *submission.Step) bool {
	n := p.nodes[incarnation]
	return n == nil || step.Reserved().Fits(n.free)
}

func (n *node) isEmpty() bool { return n.runs == 0 }

// reservedShare returns the larger of the reserved shares of CPU and memory.
func (n *node) reservedShare() float64 {
	share := func(free, all int64) float64 {
		if all == 0 {
			return 0
		}
		return 1 - float64(free)/float64(all)
	}
	return max(share(n.free.CPU, n.Capacity.CPU), share(n.free.Memory, n.Capacity.Memory))
}
