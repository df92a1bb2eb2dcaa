// Package placement decides which worker runs which queued job.
//
// Place is a pure function of the queue, the workers and the present time. It
// never gives a worker more processors, memory or accelerators than the
// worker holds by the sizes that the catalogue declares.
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

// Candidate is a queued job with its declaration.
type Candidate struct {
	Job   job.Job
	Entry catalogue.Entry
}

// Node is a worker with what its running tasks have taken.
type Node struct {
	Worker worker.Worker
	Used   worker.Capacity
}

// Placement gives a job's next attempt to a worker.
type Placement struct {
	JobID       string
	Attempt     uint32
	WorkerID    string
	Incarnation uint64
}

// Refusal tells why a job can never run on the workers that are registered.
type Refusal struct {
	JobID  string
	Reason string
}

// Decision is the outcome of one round.
type Decision struct {
	Placements []Placement
	Refusals   []Refusal
}

// Place decides for as many candidates as fit. running is the number of
// running tasks by entry.
func Place(now time.Time, candidates []Candidate, nodes []Node, running map[string]int) Decision {
	order(candidates)
	var d Decision
	s := search{nodes: nodes}
	never := make(map[string]string) // what NeverFits says of an entry
	full := make(map[string]bool)    // entries that fit nowhere in what is left of this round
	placed := make(map[string]int)
	for _, c := range candidates {
		reason, known := never[c.Entry.Name()]
		if !known {
			reason = NeverFits(c.Entry, nodes)
			never[c.Entry.Name()] = reason
		}
		if reason != "" {
			d.Refusals = append(d.Refusals, Refusal{JobID: c.Job.ID, Reason: reason})
			continue
		}
		name := c.Entry.Name()
		if full[name] || now.Before(c.Job.RetryAt) || running[name]+placed[name] >= c.Entry.Limits().MostRunningTasks {
			continue
		}
		n := s.choose(c)
		if n == nil {
			full[name] = true
			continue
		}
		take(n, c.Entry.Limits())
		placed[name]++
		d.Placements = append(d.Placements, Placement{
			JobID:       c.Job.ID,
			Attempt:     c.Job.Attempt + 1,
			WorkerID:    n.Worker.ID,
			Incarnation: n.Worker.Incarnation,
		})
	}
	return d
}

// order puts the most urgent candidates first: higher priority, then the
// earlier deadline, then the earlier submission.
func order(c []Candidate) {
	sort.SliceStable(c, func(i, k int) bool {
		a, b := c[i], c[k]
		if pa, pb := a.Entry.Limits().Priority, b.Entry.Limits().Priority; pa != pb {
			return pa > pb
		}
		da := a.Job.Submitted.Add(a.Entry.Limits().Deadline)
		db := b.Job.Submitted.Add(b.Entry.Limits().Deadline)
		if !da.Equal(db) {
			return da.Before(db)
		}
		return a.Job.Sequence < b.Job.Sequence
	})
}

// NeverFits returns why no registered worker could run the entry's tasks even
// when empty, or "" if one could or if no worker serves the target at all.
func NeverFits(e catalogue.Entry, nodes []Node) string {
	serving := 0
	for i := range nodes {
		if !nodes[i].Worker.Serves(e.Target()) {
			continue
		}
		serving++
		if fits(e.Limits(), nodes[i].Worker.Capacity, worker.Capacity{}) {
			return ""
		}
	}
	if serving == 0 {
		return ""
	}
	l := e.Limits()
	return fmt.Sprintf("none of the %d workers with target %s holds %d thousandths of a core, %d bytes of memory and %d accelerators",
		serving, e.Target(), l.CPUMillis, l.MemoryBytes, l.Accelerators)
}

func fits(l catalogue.Limits, holds, used worker.Capacity) bool {
	return used.CPUMillis+l.CPUMillis <= holds.CPUMillis &&
		used.MemoryBytes+l.MemoryBytes <= holds.MemoryBytes &&
		used.Accelerators+l.Accelerators <= holds.Accelerators
}

// mostWeighed is how many fitting nodes are weighed for one job. Where there
// are more, the best of this many is close to the best of all.
const mostWeighed = 64

// search looks for nodes, each time from where it stopped the last time, so
// that all nodes get their turn.
type search struct {
	nodes []Node
	next  int
}

// choose returns the open node with the largest share of free processors
// among those weighed, leaving out nodes on which the job has failed while
// another one fits.
func (s *search) choose(c Candidate) *Node {
	var best, bestFailed *Node
	weighed := 0
	for range s.nodes {
		n := &s.nodes[s.next%len(s.nodes)]
		s.next++
		if !n.Worker.Open() || !n.Worker.Serves(c.Entry.Target()) || !fits(c.Entry.Limits(), n.Worker.Capacity, n.Used) {
			continue
		}
		slot := &best
		if slices.Contains(c.Job.FailedOn, n.Worker.ID) {
			slot = &bestFailed
		}
		if *slot == nil || freeShare(n) > freeShare(*slot) {
			*slot = n
		}
		if weighed++; weighed >= mostWeighed && best != nil {
			break
		}
	}
	if best != nil {
		return best
	}
	return bestFailed
}

func freeShare(n *Node) float64 {
	if n.Worker.Capacity.CPUMillis == 0 {
		return 0
	}
	return 1 - float64(n.Used.CPUMillis)/float64(n.Worker.Capacity.CPUMillis)
}

func take(n *Node, l catalogue.Limits) {
	n.Used.CPUMillis += l.CPUMillis
	n.Used.MemoryBytes += l.MemoryBytes
	n.Used.Accelerators += l.Accelerators
}

// Take adds a running task's declared size to a node.
func Take(n *Node, l catalogue.Limits) { take(n, l) }
