package replica

import (
	"math/rand/v2"
	"testing"
	"time"
)

func newFollower(now time.Time) *Replica {
	return New(Config{
		ID: "r2", InitialVoters: []ID{"r1", "r2", "r3"}, ElectionTimeout: testElection, Heartbeat: testHeartbeat,
		Rand: rand.New(rand.NewPCG(1, 1)),
	}, RestoredState{}, func() Snapshot { return Snapshot{} }, now)
}

func appendFrom(r *Replica, now time.Time, from ID, term uint64, a Append) {
	r.Step(now, Message{From: from, To: "r2", Term: term, Body: a})
}

// acknowledgedIndexes returns the indexes that the messages acknowledge.
func acknowledgedIndexes(ms []Message) []uint64 {
	var out []uint64
	for _, m := range ms {
		if a, ok := m.Body.(AppendReply); ok && !a.Rejected {
			out = append(out, a.Match)
		}
	}
	return out
}

// TestEntriesReplacedDuringWriteAreNotSynced guards against acknowledging
// entries that are not on disk. A new leader replaces entries while the old
// ones are being written; the end of that write must not count for the new
// ones.
func TestEntriesReplacedDuringWriteAreNotSynced(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := newFollower(now)
	appendFrom(r, now, "r1", 1, Append{Entries: []Entry{{Index: 1, Term: 1, Kind: KindCommand}, {Index: 2, Term: 1, Kind: KindCommand}}})
	first := r.Ready()
	appendFrom(r, now, "r3", 2, Append{Entries: []Entry{{Index: 1, Term: 2, Kind: KindCommand}, {Index: 2, Term: 2, Kind: KindCommand}}})
	r.RecordSynced(first.DurableWrite())
	if r.synced != 0 {
		t.Errorf("entry %d of term 2 counts as synced, but only entries of term 1 were written", r.synced)
	}
	second := r.Ready()
	r.RecordSynced(second.DurableWrite())
	if r.synced != 2 {
		t.Errorf("%d entries count as synced, want 2", r.synced)
	}
}

// TestAppendReplyWaitsForSync checks that a reply is sent before a write ends
// only if its entries and term are already on disk. An earlier reply would let
// the leader commit entries that a crash loses.
func TestAppendReplyWaitsForSync(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := newFollower(now)
	appendFrom(r, now, "r1", 1, Append{Entries: []Entry{{Index: 1, Term: 1, Kind: KindCommand}}})
	if got := acknowledgedIndexes(r.ReadyDuringWrite().Immediate); len(got) != 0 {
		t.Errorf("%v were acknowledged before the sync", got)
	}
	write := r.Ready()
	if got := acknowledgedIndexes(write.AfterSync); len(got) != 1 {
		t.Errorf("%v are acknowledged after the sync, want entry 1", got)
	}
	r.RecordSynced(write.DurableWrite())
	appendFrom(r, now, "r1", 1, Append{PrevIndex: 1, PrevTerm: 1})
	if got := acknowledgedIndexes(r.ReadyDuringWrite().Immediate); len(got) != 1 || got[0] != 1 {
		t.Errorf("a heartbeat was answered with %v, want entry 1 immediately", got)
	}
	appendFrom(r, now, "r3", 2, Append{PrevIndex: 1, PrevTerm: 1})
	if got := acknowledgedIndexes(r.ReadyDuringWrite().Immediate); len(got) != 0 {
		t.Errorf("%v was acknowledged in a term that is not on disk", got)
	}
}

// A replica applies what it knows to be committed as soon as it has restarted, before
// it hears from a leader.
func TestRestartedReplicaDeliversKnownCommits(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := newFollower(now)
	appendFrom(r, now, "r1", 1, Append{Commit: 2, Entries: []Entry{
		{Index: 1, Term: 1, Kind: KindBarrier}, {Index: 2, Term: 1, Kind: KindCommand}, {Index: 3, Term: 1, Kind: KindCommand},
	}})
	ready := r.Ready()
	record := ready.LogRecord()
	for _, commit := range []uint64{record.Commit, 99} { // the log may have lost its end
		restored := RestoredState{State: *record.State, Entries: record.Entries[:2], Commit: commit}
		restarted := New(r.cfg, restored, func() Snapshot { return Snapshot{} }, now)
		if got := restarted.Ready().Committed; len(got) != 2 || got[1].Index != 2 {
			t.Errorf("delivered %v with commit index %d, want entries 1 and 2", got, commit)
		}
	}
}

// TestCommittedEntriesWaitForSnapshot checks that entries after a received
// snapshot are not delivered before the snapshot. The state machine would apply
// them to an outdated state.
func TestCommittedEntriesWaitForSnapshot(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := newFollower(now)
	r.Step(now, Message{From: "r1", To: "r2", Term: 1, Body: InstallSnapshot{Index: 5, Term: 1, Last: true}})
	appendFrom(r, now, "r1", 1, Append{PrevIndex: 5, PrevTerm: 1, Commit: 6, Entries: []Entry{{Index: 6, Term: 1, Kind: KindCommand}}})
	if got := r.ReadyDuringWrite().Committed; len(got) != 0 {
		t.Errorf("%d entries were delivered before the snapshot", len(got))
	}
	if got := r.Ready(); got.Snapshot == nil || got.Snapshot.Index != 5 {
		t.Error("the snapshot was not delivered")
	}
	if got := r.ReadyDuringWrite().Committed; len(got) != 1 || got[0].Index != 6 {
		t.Errorf("delivered %v after the snapshot, want entry 6", got)
	}
}

// A snapshot that a follower has not written yet must not be acknowledged by the answer to a heartbeat.
func TestSnapshotIsAcknowledgedAfterSync(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := newFollower(now)
	appendFrom(r, now, "r1", 1, Append{Entries: []Entry{{Index: 1, Term: 1, Kind: KindBarrier}}})
	first := r.Ready()
	r.RecordSynced(first.DurableWrite())
	r.Step(now, Message{From: "r1", To: "r2", Term: 1, Body: InstallSnapshot{Index: 5, Term: 1, Last: true}})
	appendFrom(r, now, "r1", 1, Append{PrevIndex: 5, PrevTerm: 1})
	if got := acknowledgedIndexes(r.ReadyDuringWrite().Immediate); len(got) != 0 {
		t.Errorf("%v were acknowledged before the snapshot was written", got)
	}
	write := r.Ready()
	if got := acknowledgedIndexes(write.AfterSync); len(got) != 2 || got[1] != 5 {
		t.Errorf("%v are acknowledged after the sync, want the snapshot twice", got)
	}
	r.RecordSynced(write.DurableWrite())
	appendFrom(r, now, "r1", 1, Append{PrevIndex: 5, PrevTerm: 1})
	if got := acknowledgedIndexes(r.ReadyDuringWrite().Immediate); len(got) != 1 || got[0] != 5 {
		t.Errorf("a heartbeat was answered with %v, want the snapshot immediately", got)
	}
}

// Snapshots of two leaders may be encoded differently; their parts must not be joined.
func TestSnapshotPartsOfTwoLeadersAreNotJoined(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := newFollower(now)
	install := func(from ID, term uint64, offset uint64, data string, last bool) {
		t.Helper()
		part := InstallSnapshot{Index: 5, Term: 1, Offset: offset, Data: []byte(data), Last: last}
		if err := r.Step(now, Message{From: from, To: "r2", Term: term, Body: part}); err != nil {
			t.Fatal(err)
		}
	}
	install("r1", 1, 0, "ab", false)
	install("r3", 2, 2, "CD", true)
	if got := r.Ready().Snapshot; got != nil {
		t.Fatalf("installed %q from parts of two leaders", got.Data)
	}
	install("r3", 2, 0, "AB", false)
	install("r3", 2, 2, "CD", true)
	if got := r.Ready().Snapshot; got == nil || string(got.Data) != "ABCD" {
		t.Errorf("installed %v, want the second leader's snapshot", got)
	}
}
