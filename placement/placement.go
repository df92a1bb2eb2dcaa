// Package placement decides which worker runs which queued job.
//
// Place performs no I/O and reads no clock. The declared limits of a worker's
// tasks never add up to more processors, memory or accelerators than its capacity.
package placement

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/worker"
)

// Candidate is a queued job with its catalogue entry.
type Candidate struct {
	Job   job.Job
	Entry catalogue.Entry
}

// Node is a worker with the capacity that its running tasks use.
type Node struct {
	Worker worker.Worker
	Used   worker.Capacity
}

// Placement assigns a job's next attempt to a worker.
type Placement struct {
	JobID            string
	Attempt          uint32
	WorkerID         string
	AgentIncarnation uint64
}

// Rejection is the reason why a job can never run on the registered workers.
type Rejection struct {
	JobID  string
	Reason string
}

// Decision is the result of one placement round.
type Decision struct {
	Placements []Placement
	Rejections []Rejection
}

// Place assigns as many candidates as fit, the most urgent first. It sorts
// candidates and updates the used capacity of nodes in place. running is the number
// of running tasks by entry.
func Place(now time.Time, candidates []Candidate, nodes []Node, running map[string]int) Decision {
	sortByUrgency(candidates)
	var d Decision
	s := nodeSearch{nodes: nodes}
	reasons := make(map[string]string) // why an entry can never run, or "" if it can
	full := make(map[string]bool)      // entries whose jobs fit on no node in the rest of the round
	placed := make(map[string]int)
	for _, c := range candidates {
		reason, known := reasons[c.Entry.Name()]
		if !known {
			reason = UnplaceableReason(c.Entry, nodes)
			reasons[c.Entry.Name()] = reason
		}
		if reason != "" {
			d.Rejections = append(d.Rejections, Rejection{JobID: c.Job.ID, Reason: reason})
			continue
		}
		name := c.Entry.Name()
		if full[name] || now.Before(c.Job.RetryAt) || running[name]+placed[name] >= c.Entry.Limits().MaxRunningTasks {
			continue
		}
		n := s.chooseNode(c)
		if n == nil {
			full[name] = true
			continue
		}
		addUsed(n, c.Entry.Limits())
		placed[name]++
		d.Placements = append(d.Placements, Placement{
			JobID:            c.Job.ID,
			Attempt:          c.Job.Attempt + 1,
			WorkerID:         n.Worker.ID,
			AgentIncarnation: n.Worker.AgentIncarnation,
		})
	}
	return d
}

// sortByUrgency sorts candidates by descending priority, then by deadline, then in
// order of submission.
func sortByUrgency(c []Candidate) {
	sort.SliceStable(c, func(i, k int) bool {
		a, b := c[i], c[k]
		if pa, pb := a.Entry.Limits().Priority, b.Entry.Limits().Priority; pa != pb {
			return pa > pb
		}
		da := a.Job.SubmittedAt.Add(a.Entry.Limits().Deadline)
		db := b.Job.SubmittedAt.Add(b.Entry.Limits().Deadline)
		if !da.Equal(db) {
			return da.Before(db)
		}
		return a.Job.Sequence < b.Job.Sequence
	})
}

// UnplaceableReason returns why no registered worker could run the entry's
// tasks even without other tasks. It returns "" if one could, or if no worker
// has the target.
func UnplaceableReason(e catalogue.Entry, nodes []Node) string {
	withTarget := 0
	for i := range nodes {
		if !nodes[i].Worker.Serves(e.Target()) {
			continue
		}
		withTarget++
		if fits(e.Limits(), nodes[i].Worker.Capacity, worker.Capacity{}) {
			return ""
		}
	}
	if withTarget == 0 {
		return ""
	}
	l := e.Limits()
	return fmt.Sprintf("none of the %d workers with target %s holds %d thousandths of a core, %d bytes of memory and %d accelerators",
		withTarget, e.Target(), l.CPUMillis, l.MemoryBytes, l.Accelerators)
}

func fits(l catalogue.Limits, capacity, used worker.Capacity) bool {
	return used.CPUMillis+l.CPUMillis <= capacity.CPUMillis &&
		used.MemoryBytes+l.MemoryBytes <= capacity.MemoryBytes &&
		used.Accelerators+l.Accelerators <= capacity.Accelerators
}

// _maxComparedNodes is how many fitting nodes are compared for one job. The best of
// this many is close to the best of all.
const _maxComparedNodes = 64

// nodeSearch iterates over the nodes round robin: each search starts after the
// node at which the previous one ended.
type nodeSearch struct {
	nodes []Node
	next  int
}

// chooseNode returns the node with the largest share of free processors among the
// compared ones. A node on which the job has failed is chosen only if no other fits.
func (s *nodeSearch) chooseNode(c Candidate) *Node {
	var best, bestFailed *Node
	compared := 0
	for range s.nodes {
		n := &s.nodes[s.next%len(s.nodes)]
		s.next++
		if !n.Worker.AcceptsWork() || !n.Worker.Serves(c.Entry.Target()) || !fits(c.Entry.Limits(), n.Worker.Capacity, n.Used) {
			continue
		}
		choice := &best
		if slices.Contains(c.Job.FailedOn, n.Worker.ID) {
			choice = &bestFailed
		}
		if *choice == nil || freeShare(n) > freeShare(*choice) {
			*choice = n
		}
		if compared++; compared >= _maxComparedNodes && best != nil {
			break
		}
	}
	if best != nil {
		return best
	}
	return bestFailed
}

// freeShare returns the share of a node's processors that is free.
func freeShare(n *Node) float64 {
	if n.Worker.Capacity.CPUMillis == 0 {
		return 0
	}
	return 1 - float64(n.Used.CPUMillis)/float64(n.Worker.Capacity.CPUMillis)
}

func addUsed(n *Node, l catalogue.Limits) {
	n.Used.CPUMillis += l.CPUMillis
	n.Used.MemoryBytes += l.MemoryBytes
	n.Used.Accelerators += l.Accelerators
}

// AddUsed adds a running task's declared limits to the used capacity of a node.
func AddUsed(n *Node, l catalogue.Limits) { addUsed(n, l) }
