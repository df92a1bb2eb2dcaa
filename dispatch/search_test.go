package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// newSizedWorkers returns workers of several sizes, which are in different lists of a
// search.
func newSizedWorkers(rnd *rand.Rand, counts ...int) []Worker {
	var out []Worker
	for size, count := range counts {
		for range count {
			w := Worker{
				Incarnation: fmt.Sprintf("w%04d", len(out)), Service: "s", Rack: fmt.Sprint("r", rnd.IntN(4)), Labels: []string{"a"},
				Capacity: submission.Resources{CPU: 4000 << size, Memory: 1000}, Schedulable: true,
			}
			out = append(out, w)
		}
	}
	rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// TestSearchesLookAtEachWorker states the property of the bounded searches: successive
// searches for a step look at each worker that may fit, in pools of any size and beside the
// searches for other steps, and none returns a worker twice.
func TestSearchesLookAtEachWorker(t *testing.T) {
	for _, counts := range [][]int{{60}, {256}, {257}, {192, 256}, {128, 512}, {200, 1024}, {100, 1024}, {60, 900, 5000}, {1, 300, 1}} {
		for seed, kind := range []string{"plain", "rack", "label", "unreserved"} {
			t.Run(fmt.Sprint(counts, kind), func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(uint64(seed), 4))
				var store submission.Store
				workers := newSizedWorkers(rnd, counts...)
				s := newScheduler(&store, workers)
				step := submission.Step{Count: 1, Needs: submission.Resources{CPU: 1000, Memory: 2000}} // more memory than there is
				switch kind {
				case "rack":
					step.DataRack = "r1"
				case "label":
					step.Requirement = "a"
				case "unreserved":
					step.UnreservedCPU = true
				}
				for _, id := range []string{"a", "b", "c"} {
					submitSteps(&store, id, 0, step)
				}
				searches := 2*(len(workers)+len(workers)/2)/(_maxScanned/2) + 2 // those of a rack are in two lists
				seen := make(map[string]map[string]bool)
				for range searches {
					r := s.newRound(clocksAt(testNow), &store)
					for _, ws := range s.waitingSteps(clocksAt(testNow), &store) {
						search := r.newSearch(ws.sub, &ws.sub.Steps[0], s.searchCursor(ws))
						if seen[ws.sub.ID] == nil {
							seen[ws.sub.ID] = make(map[string]bool)
						}
						once, n := make(map[string]bool), 0
						for node := search.next(); node != nil; node = search.next() {
							if once[node.Incarnation] {
								t.Fatalf("%s was returned twice by one search", node.Incarnation)
							}
							once[node.Incarnation], seen[ws.sub.ID][node.Incarnation] = true, true
							n++
						}
						if n > _maxScanned {
							t.Fatalf("a search has looked at %d workers, want %d at most", n, _maxScanned)
						}
					}
					r.end(&store)
				}
				for id, all := range seen {
					if len(all) != len(workers) {
						t.Errorf("%d searches for %s have looked at %d of %d workers", searches, id, len(all), len(workers))
					}
				}
			})
		}
	}
}

// TestTaskFindsTheOnlyWorkerOfLargePool guards against a task that never starts, since the
// only worker with room for it is one that no search looks at.
func TestTaskFindsTheOnlyWorkerOfLargePool(t *testing.T) {
	const rounds = 40
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		var store submission.Store
		workers := newSizedWorkers(rnd, 200, 1024)
		workers[rnd.IntN(len(workers))].Capacity.Memory = 10000
		s := newScheduler(&store, workers)
		for _, id := range []string{"a", "b"} { // of which b finds no worker at all
			step := submission.Step{Count: 1, Needs: submission.Resources{CPU: 1000, Memory: 2000}, LongRunning: true}
			if id == "b" {
				step.Needs.Memory = 20000
			}
			submitSteps(&store, id, 0, step)
		}
		started := 0
		for i := range rounds {
			started += len(s.startTasks(t, &store, testNow.Add(time.Duration(i)*100*time.Millisecond)))
		}
		if started != 1 {
			t.Errorf("seed %d: %d tasks have started in %d rounds, want 1", seed, started, rounds)
		}
	}
}
