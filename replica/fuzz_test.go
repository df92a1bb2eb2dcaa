package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Seed and size of the property tests. Each step is one call of applyOp.
const (
	fuzzSeed  = 20260701
	fuzzRuns  = 300
	fuzzSteps = 120
)

// applyOp selects an operation by n and performs it on the group.
func applyOp(g *simGroup, n uint16) {
	id := g.ids[int(n>>8)%len(g.ids)]
	other := g.ids[int(n>>12)%len(g.ids)]
	switch n % 16 {
	case 0:
		g.crash(id)
	case 1, 2:
		g.start(id)
	case 3:
		g.cutLinks[[2]ID{id, other}] = true
	case 4:
		for _, to := range g.ids {
			g.cutLinks[[2]ID{id, to}] = true
			g.cutLinks[[2]ID{to, id}] = true
		}
	case 5, 6:
		g.cutLinks = make(map[[2]ID]bool)
	case 7:
		g.compactLog(id)
	case 8:
		if r := g.members[id].replica; r != nil {
			_ = r.TransferLeadership(g.now) // fails unless the replica is the leader
			g.processReady(g.members[id])
		}
	case 9:
		g.crash(id)
		g.crash(other)
		g.advance(testStep)
		g.start(id)
		g.start(other)
	default:
		g.proposeCommand()
	}
	g.advance(time.Duration(n%7) * testStep * 4)
}

// runOps applies the operations, ends all faults and returns the first violated
// invariant, or "".
func runOps(seed uint64, replicas int, b bug, ops []uint16) (violation string) {
	defer func() {
		if r := recover(); r != nil {
			violation = fmt.Sprintf("panic: %v", r)
		}
	}()
	g := newSimGroup(seed, replicas, b)
	g.advance(5 * testElection)
	for _, n := range ops {
		if g.violation != "" {
			return g.violation
		}
		applyOp(g, n)
	}
	g.endFaults()
	if g.violation != "" {
		return g.violation
	}
	return g.findLostCommand()
}

// TestGroupStaysConsistentUnderFaults runs groups through random crashes,
// network cuts, slow writes, compactions and transfers. It guards against two
// leaders in a term, diverging logs, two leases at once and lost acknowledged
// commands.
func TestGroupStaysConsistentUnderFaults(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(fuzzSeed)
	params.MinSuccessfulTests = fuzzRuns
	params.MaxShrinkCount = 10
	props := gopter.NewProperties(params)
	for _, replicas := range []int{1, 3, 5} {
		props.Property("agreement", prop.ForAll(
			func(seed uint64, ops []uint16) string { return runOps(seed, replicas, noBug, ops) },
			gen.UInt64(), gen.SliceOfN(fuzzSteps, gen.UInt16()),
		))
	}
	props.TestingRun(t)
}

// TestInjectedBugsAreDetected checks that the simulation's invariants detect
// deliberately injected bugs.
func TestInjectedBugsAreDetected(t *testing.T) {
	for _, tc := range []struct {
		name string
		bug  bug
	}{
		{"skip an fsync", bugSkipSync},
		{"forget a vote", bugForgetVote},
		{"commit without a quorum", bugNoQuorum},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(fuzzSeed, 3))
			for range 3000 {
				ops := make([]uint16, fuzzSteps)
				for i := range ops {
					ops[i] = uint16(rnd.Uint32())
				}
				if violation := runOps(rnd.Uint64(), 3, tc.bug, ops); violation != "" {
					t.Logf("detected: %s", violation)
					return
				}
			}
			t.Error("the bug was not detected")
		})
	}
}

// TestStaleSnapshotKeepsLog guards against a follower that drops entries which
// its leader has counted as replicated, because a snapshot delayed in the
// network arrives after these entries.
func TestStaleSnapshotKeepsLog(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cfg := Config{
		ID: "r2", InitialVoters: []ID{"r1", "r2", "r3"}, ElectionTimeout: testElection, Heartbeat: testHeartbeat,
		Rand: rand.New(rand.NewPCG(1, 1)),
	}
	r := New(cfg, RestoredState{}, func() Snapshot { return Snapshot{} }, now)
	entries := []Entry{{Index: 1, Term: 1, Kind: KindBarrier}, {Index: 2, Term: 1, Kind: KindCommand}}
	r.Step(now, Message{From: "r1", To: "r2", Term: 1, Body: Append{Entries: entries}})
	r.Ready()
	r.Step(now, Message{From: "r1", To: "r2", Term: 1, Body: InstallSnapshot{Index: 1, Term: 1, Last: true}})
	if r.LastIndex() != 2 {
		t.Errorf("last index is %d after a snapshot at index 1, want 2", r.LastIndex())
	}
	if r.Commit() != 1 {
		t.Errorf("commit index is %d after a snapshot at index 1, want 1", r.Commit())
	}
}

// TestRestartedReplicaDoesNotBreakLease checks that a replica grants no vote
// within an election timeout of its start. The leader may hold a lease that the
// replica granted before its restart.
func TestRestartedReplicaDoesNotBreakLease(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	cfg := Config{
		ID: "r2", InitialVoters: []ID{"r1", "r2", "r3"}, ElectionTimeout: testElection, Heartbeat: testHeartbeat,
		Rand: rand.New(rand.NewPCG(1, 1)),
	}
	for _, tc := range []struct {
		after   time.Duration
		pre     bool
		granted bool
	}{
		{0, true, false},
		{testElection - testStep, true, false},
		{testElection - testStep, false, false},
		{testElection, true, true},
		{testElection, false, true},
	} {
		r := New(cfg, RestoredState{}, func() Snapshot { return Snapshot{} }, start)
		r.Step(start.Add(tc.after), Message{From: "r3", To: "r2", Term: 1, Body: VoteRequest{PreVote: tc.pre}})
		granted := false
		for _, m := range r.Ready().AfterSync {
			reply, ok := m.Body.(VoteReply)
			granted = granted || ok && reply.Granted
		}
		if granted != tc.granted {
			t.Errorf("%s after the start, pre %v: granted %v, want %v", tc.after, tc.pre, granted, tc.granted)
		}
	}
}
