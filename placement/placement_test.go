package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/worker"
)

var _now = time.Unix(1_000_000, 0)

func entryOf(name string, cpu, memory int64, accelerators, maxRunning, priority int) catalogue.Entry {
	return catalogue.RestoreEntry(catalogue.Spec{
		Name: name, Target: "sample", Class: catalogue.Batch,
		Limits: catalogue.Limits{
			CPUMillis: cpu, MemoryBytes: memory, Accelerators: accelerators, MaxRunningTasks: maxRunning, Priority: priority, Deadline: time.Hour,
		},
	}, 1, 1)
}

func node(id string, cpu, memory int64, accelerators int) Node {
	return Node{Worker: worker.Worker{
		ID: id, AgentIncarnation: 7, Targets: []string{"sample"},
		Capacity: worker.Capacity{CPUMillis: cpu, MemoryBytes: memory, Accelerators: accelerators},
	}}
}

func candidate(id string, e catalogue.Entry) Candidate {
	return Candidate{Job: job.Job{ID: id, SubmittedAt: _now}, Entry: e}
}

// formatDecision writes a placement as "job@worker" and a job that can never run
// as "job!".
func formatDecision(d Decision) string {
	var out []string
	for _, p := range d.Placements {
		out = append(out, p.JobID+"@"+p.WorkerID)
	}
	for _, r := range d.Rejections {
		out = append(out, r.JobID+"!")
	}
	return strings.Join(out, " ")
}

func TestPlace(t *testing.T) {
	small := entryOf("small", 1000, 1, 0, 100, 50)
	urgent := entryOf("urgent", 1000, 1, 0, 100, 90)
	drained := node("w1", 4000, 10, 0)
	drained.Worker.Drained = true
	later := candidate("j1", small)
	later.Job.RetryAt = _now.Add(time.Second)
	failedOn := candidate("j1", small)
	failedOn.Job.FailedOn = []string{"w1"}
	older := candidate("j2", small)
	older.Job.SubmittedAt = _now.Add(-time.Minute)
	for _, tc := range []struct {
		name    string
		queue   []Candidate
		nodes   []Node
		running map[string]int
		want    string
	}{
		{"one fits", []Candidate{candidate("j1", small)}, []Node{node("w1", 1000, 1, 0)}, nil, "j1@w1"},
		{"no worker has the target", []Candidate{candidate("j1", small)}, nil, nil, ""},
		{"no worker has the capacity", []Candidate{candidate("j1", entryOf("big", 9000, 1, 0, 1, 0))}, []Node{node("w1", 4000, 1, 0)}, nil, "j1!"},
		{"no accelerator", []Candidate{candidate("j1", entryOf("acc", 1, 1, 1, 1, 0))}, []Node{node("w1", 4000, 1, 0)}, nil, "j1!"},
		{
			"a job that can never run does not block others",
			[]Candidate{candidate("j1", entryOf("big", 9000, 1, 0, 1, 99)), candidate("j2", small)},
			[]Node{node("w1", 1000, 1, 0)},
			nil, "j2@w1 j1!",
		},
		{"all workers full", []Candidate{candidate("j1", small), candidate("j2", small)}, []Node{node("w1", 1000, 10, 0)}, nil, "j1@w1"},
		{"the worker with more free processors", []Candidate{candidate("j1", small), candidate("j2", small)}, []Node{node("w1", 4000, 10, 0), node("w2", 4000, 10, 0)}, nil, "j1@w1 j2@w2"},
		{"no drained worker", []Candidate{candidate("j1", small)}, []Node{drained, node("w2", 1000, 1, 0)}, nil, "j1@w2"},
		{"the higher priority first", []Candidate{candidate("j1", small), candidate("j2", urgent)}, []Node{node("w1", 1000, 10, 0)}, nil, "j2@w1"},
		{"the earlier deadline first", []Candidate{candidate("j1", small), older}, []Node{node("w1", 1000, 10, 0)}, nil, "j2@w1"},
		{
			"limit of running tasks",
			[]Candidate{candidate("j1", entryOf("few", 1, 1, 0, 2, 0)), candidate("j2", entryOf("few", 1, 1, 0, 2, 0))},
			[]Node{node("w1", 4000, 10, 0)},
			map[string]int{"few": 1},
			"j1@w1",
		},
		{"not before the retry is due", []Candidate{later}, []Node{node("w1", 1000, 1, 0)}, nil, ""},
		{"not on the worker where it failed", []Candidate{failedOn}, []Node{node("w1", 4000, 10, 0), node("w2", 1000, 1, 0)}, nil, "j1@w2"},
		{"on the worker where it failed if no other fits", []Candidate{failedOn}, []Node{node("w1", 4000, 10, 0)}, nil, "j1@w1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := formatDecision(Place(_now, tc.queue, tc.nodes, tc.running)); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// TestPlacementsStayWithinCapacity sums up the limits of the jobs that one round
// places on each worker. Random jobs must not exceed any worker's capacity.
func TestPlacementsStayWithinCapacity(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20260704)
	params.MinSuccessfulTests = 300
	params.MaxShrinkCount = 10
	props := gopter.NewProperties(params)
	props.Property("fits", prop.ForAll(func(sizes, capacities []uint8) string {
		var queue []Candidate
		need := make(map[string]catalogue.Limits)
		for i, s := range sizes {
			c := candidate(fmt.Sprint("j", i), entryOf(fmt.Sprint("e", i), int64(s)*10, int64(s%16), int(s%3), 1, int(s%5)))
			need[c.Job.ID] = c.Entry.Limits()
			queue = append(queue, c)
		}
		var nodes []Node
		left := make(map[string]worker.Capacity)
		for i, c := range capacities {
			n := node(fmt.Sprint("w", i), int64(c)*20, int64(c%32), int(c%4))
			left[n.Worker.ID] = n.Worker.Capacity
			nodes = append(nodes, n)
		}
		for _, p := range Place(_now, queue, nodes, nil).Placements {
			l, w := need[p.JobID], left[p.WorkerID]
			w.CPUMillis -= l.CPUMillis
			w.MemoryBytes -= l.MemoryBytes
			w.Accelerators -= l.Accelerators
			left[p.WorkerID] = w
			if w.CPUMillis < 0 || w.MemoryBytes < 0 || w.Accelerators < 0 {
				return fmt.Sprintf("%s has %+v left", p.WorkerID, w)
			}
		}
		return ""
	}, gen.SliceOfN(40, gen.UInt8()), gen.SliceOfN(6, gen.UInt8())))
	props.TestingRun(t)
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{11, 1000, 5900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var queue []Candidate
			for i := range 1000 {
				queue = append(queue, candidate(fmt.Sprint("j", i), entryOf("e", 10, 1, 0, 1_000_000, 0)))
			}
			for b.Loop() {
				b.StopTimer()
				var nodes []Node
				for i := range n {
					nodes = append(nodes, node(fmt.Sprint("w", i), 64_000, 1<<40, 0))
					nodes[i].Used.CPUMillis = int64(i * 7919 % 16_000)
				}
				b.StartTimer()
				Place(_now, queue, nodes, nil)
			}
			b.ReportMetric(float64(len(queue)*b.N)/b.Elapsed().Seconds(), "placements/s")
		})
	}
}
