package job

import (
	"fmt"
	"testing"
	"time"
)

// TestDroppedResultsKeepJobs guards against results beyond the limit, and a result that
// is dropped although newer ones suffice.
func TestDroppedResultsKeepJobs(t *testing.T) {
	var s Store
	now := time.Unix(1_000_000, 0)
	const jobs, size, limit = 10, 100, 450
	for i := range jobs {
		now = now.Add(time.Second)
		id := fmt.Sprint(i)
		if _, err := s.Submit(Job{ID: id, Entry: "e"}, now); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Place(id, 1, "w", 1, now); err != nil {
			t.Fatal(err)
		}
		if _, err := s.End(id, 1, Finished{Status: 200, Result: make([]byte, size)}, 3, now); err != nil {
			t.Fatal(err)
		}
	}
	if before := s.ResultsBeyond(jobs * size); !before.IsZero() {
		t.Errorf("results up to %s are to be dropped although the limit is kept", before)
	}
	s.DropResults(s.ResultsBeyond(limit))
	if got := s.ResultBytes(); got != 4*size {
		t.Errorf("results take %d bytes, want the newest %d", got, 4*size)
	}
	for i := range jobs {
		j, ok := s.Job(fmt.Sprint(i))
		if dropped := i < jobs-4; !ok || j.State != Done || j.ResultDropped != dropped || len(j.Result) == 0 != dropped {
			t.Errorf("job %d is %s, dropped %v, with %d bytes", i, j.State, j.ResultDropped, len(j.Result))
		}
	}
	var restored Store
	for _, j := range s.SnapshotJobs() {
		restored.Put(j)
	}
	if restored.ResultBytes() != s.ResultBytes() {
		t.Errorf("after a restart results take %d bytes, before %d", restored.ResultBytes(), s.ResultBytes())
	}
	s.DropResults(s.ResultsBeyond(0))
	if got := s.ResultBytes(); got != 0 {
		t.Errorf("results take %d bytes, want none", got)
	}
}
