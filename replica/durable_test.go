package replica

import (
	"math/rand/v2"
	"testing"
	"time"
)

func follower(now time.Time) *Replica {
	return New(Config{
		ID: "r2", Voters: []ID{"r1", "r2", "r3"}, ElectionTimeout: testElection, Heartbeat: testHeartbeat,
		Rand: rand.New(rand.NewPCG(1, 1)),
	}, Restored{}, func() Snapshot { return Snapshot{} }, now)
}

func appendFrom(r *Replica, now time.Time, from ID, term uint64, a Append) {
	r.Step(now, Message{From: from, To: "r2", Term: term, Body: a})
}

// replies returns the indexes that the messages confirm.
func replies(ms []Message) []uint64 {
	var out []uint64
	for _, m := range ms {
		if a, ok := m.Body.(AppendReply); ok && !a.Rejected {
			out = append(out, a.Match)
		}
	}
	return out
}

// TestReplacedWhileWritten checks that entries which a new leader replaced
// while they were written do not count as written.
func TestReplacedWhileWritten(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := follower(now)
	appendFrom(r, now, "r1", 1, Append{Entries: []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}})
	first := r.Ready()
	appendFrom(r, now, "r3", 2, Append{Entries: []Entry{{Index: 1, Term: 2}, {Index: 2, Term: 2}}})
	r.Persisted(now, first.Durable())
	if r.synced != 0 {
		t.Errorf("entry %d of term 2 counts as written, but only those of term 1 were", r.synced)
	}
	second := r.Ready()
	r.Persisted(now, second.Durable())
	if r.synced != 2 {
		t.Errorf("%d entries count as written, want 2", r.synced)
	}
}

// TestConfirmations tells which confirmations may leave before a write is
// done: those of entries and terms that are on the disk already.
func TestConfirmations(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := follower(now)
	appendFrom(r, now, "r1", 1, Append{Entries: []Entry{{Index: 1, Term: 1}}})
	if got := replies(r.Urgent().Early); len(got) != 0 {
		t.Errorf("%v were confirmed before they were written", got)
	}
	write := r.Ready()
	if got := replies(write.Late); len(got) != 1 {
		t.Errorf("%v are confirmed after the write, want entry 1", got)
	}
	r.Persisted(now, write.Durable())
	appendFrom(r, now, "r1", 1, Append{PrevIndex: 1, PrevTerm: 1})
	if got := replies(r.Urgent().Early); len(got) != 1 || got[0] != 1 {
		t.Errorf("a heartbeat was answered with %v, want entry 1 at once", got)
	}
	appendFrom(r, now, "r3", 2, Append{PrevIndex: 1, PrevTerm: 1})
	if got := replies(r.Urgent().Early); len(got) != 0 {
		t.Errorf("%v was confirmed in a term that is not on the disk", got)
	}
}

// TestNothingBeforeASnapshot checks that entries after a snapshot are not
// handed out before the snapshot is.
func TestNothingBeforeASnapshot(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := follower(now)
	r.Step(now, Message{From: "r1", To: "r2", Term: 1, Body: InstallSnapshot{Index: 5, Term: 1, Last: true}})
	appendFrom(r, now, "r1", 1, Append{PrevIndex: 5, PrevTerm: 1, Commit: 6, Entries: []Entry{{Index: 6, Term: 1}}})
	if got := r.Urgent().Committed; len(got) != 0 {
		t.Errorf("%d entries were handed out before the snapshot", len(got))
	}
	if got := r.Ready(); got.Snapshot == nil || got.Snapshot.Index != 5 {
		t.Error("the snapshot was not handed out")
	}
	if got := r.Urgent().Committed; len(got) != 1 || got[0].Index != 6 {
		t.Errorf("handed out %v after the snapshot, want entry 6", got)
	}
}
