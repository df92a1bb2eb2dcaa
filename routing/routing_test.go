package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/worker"
)

var _start = time.Unix(1_000_000, 0)

func testWorkers(n int) []worker.Worker {
	var out []worker.Worker
	for i := range n {
		out = append(out, worker.Worker{
			ID: fmt.Sprintf("w%d", i), AgentIncarnation: 1, Zone: fmt.Sprintf("z%d", i%3),
			Targets: []string{"sample"}, Capacity: worker.Capacity{Slots: 8},
		})
	}
	return out
}

// countPicks returns how often each worker is picked.
func countPicks(t *testing.T, table *Table, zoneName string, workers []worker.Worker, tried []string) map[string]int {
	t.Helper()
	rnd := rand.New(rand.NewPCG(1, 1))
	c := NewCandidates(workers)
	out := make(map[string]int)
	for range 1000 {
		if w, ok := table.Pick(_start, rnd, zoneName, c, tried); ok {
			out[w.ID]++
		}
	}
	return out
}

// TestPickSelectsZoneAndSkipsUnusable checks which of nine workers in three
// zones receive requests.
func TestPickSelectsZoneAndSkipsUnusable(t *testing.T) {
	recordFailures := func(table *Table, id int, times int) {
		for range times {
			table.RecordFailure(_start, testWorkers(9)[id], time.Millisecond, 9)
		}
	}
	for _, tc := range []struct {
		name    string
		zone    string
		prepare func(table *Table, workers []worker.Worker)
		tried   []string
		never   []string // workers that are never picked
		some    []string // workers that are picked at least once
	}{
		{"the local zone is preferred", "z0", func(*Table, []worker.Worker) {}, nil, []string{"w1", "w2", "w4"}, []string{"w0", "w3", "w6"}},
		{"an unknown zone uses all workers", "z9", func(*Table, []worker.Worker) {}, nil, nil, []string{"w0", "w1", "w2"}},
		{"other zones are used when the local zone is busy", "z0", func(table *Table, workers []worker.Worker) {
			for _, id := range []int{0, 3, 6} {
				table.RecordLoad(_start, workers[id], 8, 4)
			}
		}, nil, nil, []string{"w1", "w2", "w4"}},
		{"leaving and drained workers are skipped", "z9", func(_ *Table, workers []worker.Worker) {
			workers[1].Leaving = true
			workers[2].Drained = true
		}, nil, []string{"w1", "w2"}, []string{"w0", "w3"}},
		{"workers of evacuated zones are skipped", "z0", func(_ *Table, workers []worker.Worker) {
			for _, id := range []int{0, 3, 6} {
				workers[id].Evacuated = true
			}
		}, nil, []string{"w0", "w3", "w6"}, []string{"w1", "w2"}},
		{"tried workers are skipped", "z9", func(*Table, []worker.Worker) {}, []string{"w0", "w5"}, []string{"w0", "w5"}, []string{"w1"}},
		{
			"a worker that fails repeatedly is ejected, however fast it fails", "z9", func(table *Table, _ []worker.Worker) { recordFailures(table, 4, 5) },
			nil,
			[]string{"w4"},
			[]string{"w0"},
		},
		{"a few failures do not eject a worker", "z1", func(table *Table, _ []worker.Worker) { recordFailures(table, 2, 4) }, nil, nil, []string{"w1"}},
		{"other zones are used when all workers of the local zone are ejected", "z0", func(table *Table, _ []worker.Worker) {
			for _, id := range []int{0, 3, 6} {
				recordFailures(table, id, 5)
			}
		}, nil, []string{"w0", "w3", "w6"}, []string{"w1", "w8"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var table Table
			workers := testWorkers(9)
			tc.prepare(&table, workers)
			got := countPicks(t, &table, tc.zone, workers, tc.tried)
			for _, id := range tc.never {
				if got[id] > 0 {
					t.Errorf("%s was picked %d times of 1000, want 0", id, got[id])
				}
			}
			for _, id := range tc.some {
				if got[id] == 0 {
					t.Errorf("%s was never picked; picks by worker: %v", id, got)
				}
			}
		})
	}
}

// TestEjectionIsLimitedToShare guards against ejecting all workers when all of
// them fail, and against ejections that never end.
func TestEjectionIsLimitedToShare(t *testing.T) {
	var table Table
	workers := testWorkers(8)
	ejected := 0
	for range 20 {
		for _, w := range workers {
			if table.RecordFailure(_start, w, time.Millisecond, len(workers)) {
				ejected++
			}
		}
	}
	if ejected != 4 {
		t.Errorf("%d of 8 workers are ejected, want 4", ejected)
	}
	if n := table.ejectedCount(_start.Add(_minEjection)); n != 0 {
		t.Errorf("%d workers are still ejected after %s", n, _minEjection)
	}
}

// TestPickWithoutUsableWorker checks two edge cases: without candidates no
// worker is picked, and the only candidate is picked even if it keeps failing.
func TestPickWithoutUsableWorker(t *testing.T) {
	var table Table
	rnd := rand.New(rand.NewPCG(1, 1))
	if _, ok := table.Pick(_start, rnd, "z0", NewCandidates(nil), nil); ok {
		t.Error("a worker was picked from an empty set of candidates")
	}
	only := testWorkers(1)
	for range 10 {
		table.RecordFailure(_start, only[0], time.Millisecond, 1)
	}
	if _, ok := table.Pick(_start, rnd, "z0", NewCandidates(only), nil); !ok {
		t.Error("the only worker is no longer picked")
	}
}

// TestPastAgentIncarnationIsIgnored guards against late reports of a past
// agent incarnation that change the record of the current one.
func TestPastAgentIncarnationIsIgnored(t *testing.T) {
	var table Table
	current := testWorkers(1)[0]
	current.AgentIncarnation = 2
	table.RecordSuccess(_start, current, time.Millisecond)
	past := current
	past.AgentIncarnation = 1
	for range 10 {
		table.RecordFailure(_start, past, time.Second, 9)
	}
	if got := table.recordFor(current.ID, 2).latency; got != time.Millisecond {
		t.Errorf("failures of a past agent incarnation changed the latency to %s", got)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{11, 1000, 5900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var table Table
			rnd := rand.New(rand.NewPCG(1, 1))
			c := NewCandidates(testWorkers(n))
			for b.Loop() {
				table.Pick(_start, rnd, "z0", c, nil)
			}
		})
	}
}
