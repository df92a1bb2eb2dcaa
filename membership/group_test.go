package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/replica"
)

// Sizes and times of the played groups.
const (
	testReplicas  = 5
	testElection  = 100 * time.Millisecond
	testHeartbeat = 20 * time.Millisecond
	testStep      = 5 * time.Millisecond
	testSettle    = 60 * time.Second // after which a group without faults has replaced all that it lost
	testRuns      = 500
	testOps       = 60
)

// node is a controller of a played group. It keeps its address over lost
// disks, and its identifier over crashes alone.
type node struct {
	address string
	id      replica.ID
	replica *replica.Replica // nil while it is down
	disk    replica.Restored
	found   []replica.Member // founders that its disk names
	applied map[uint64]string
	members []replica.Member // as of the last entry that was applied
}

// played is a group in virtual time. Messages are delayed and lost, disks are
// lost with their node, and everything acknowledged is kept by an oracle.
type played struct {
	now     time.Time
	rnd     *rand.Rand
	nodes   []*node
	flights []flight
	cut     map[string]bool // addresses that are cut off

	committed map[uint64]string
	leaders   map[uint64]replica.ID
	acked     map[string]bool
	pending   map[string]pendingEntry
	lives     int
	commands  int
	fault     string
	noSwap    bool // a hand-made bug: a replica that lost its disk keeps its identifier
}

type flight struct {
	at time.Time
	m  replica.Message
}

type pendingEntry struct {
	index, term uint64
}

func newPlayed(seed uint64) *played {
	g := &played{
		now:       time.Unix(1_000_000, 0),
		rnd:       rand.New(rand.NewPCG(seed, 7)),
		cut:       make(map[string]bool),
		committed: make(map[uint64]string),
		leaders:   make(map[uint64]replica.ID),
		acked:     make(map[string]bool),
		pending:   make(map[string]pendingEntry),
	}
	var founders []replica.Member
	for i := range 3 {
		address := fmt.Sprintf("a%d", i)
		founders = append(founders, replica.Member{ID: replica.ID(address), Address: address})
	}
	for i := range testReplicas {
		n := &node{address: fmt.Sprintf("a%d", i)}
		n.id = replica.ID(n.address)
		if i < len(founders) {
			n.found = founders
		} else {
			n.id += "#0"
		}
		g.nodes = append(g.nodes, n)
		g.start(n)
	}
	return g
}

func (g *played) start(n *node) {
	if n.replica != nil {
		return
	}
	n.applied = make(map[uint64]string)
	n.members = nil
	n.replica = replica.New(replica.Config{
		ID: n.id, Founders: n.found, ElectionTimeout: testElection, Heartbeat: testHeartbeat,
		Rand: rand.New(rand.NewPCG(g.rnd.Uint64(), 2)),
	}, n.disk, func() replica.Snapshot { return replica.Snapshot{} }, g.now)
}

// wipe has a node lose its disk and start with a new identifier.
func (g *played) wipe(n *node) {
	g.lives++
	n.replica = nil
	n.disk, n.found = replica.Restored{}, nil
	if !g.noSwap {
		n.id = replica.ID(fmt.Sprintf("%s#%d", n.address, g.lives))
	}
	g.start(n)
}

func (g *played) failf(format string, args ...any) {
	if g.fault == "" {
		g.fault = fmt.Sprintf(format, args...)
	}
}

func (g *played) advance(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end) && g.fault == ""; {
		g.now = g.now.Add(testStep)
		g.deliver()
		for _, n := range g.nodes {
			if n.replica == nil {
				continue
			}
			n.replica.Tick(g.now)
			g.change(n)
			g.carryOut(n)
		}
	}
}

// change does what the controllers' core does: applicants ask the leader, and
// the leader proposes the next step.
func (g *played) change(n *node) {
	if !n.replica.HoldsLease(g.now) {
		return
	}
	var applicants []Applicant
	for _, a := range g.nodes {
		if a.replica != nil && !g.cut[a.address] && !g.cut[n.address] {
			applicants = append(applicants, Applicant{ID: a.id, Address: a.address, Heard: g.now})
		}
	}
	group := Group{
		Self: n.id, Replicas: testReplicas, Members: n.replica.Members(), Standings: n.replica.Standings(),
		LastIndex: n.replica.LastIndex(), Applicants: applicants,
	}
	if next := group.Next(g.now); next != nil {
		_ = n.replica.ProposeMembers(g.now, next) // refused while a change is under way
	}
}

func (g *played) deliver() {
	slices.SortStableFunc(g.flights, func(a, b flight) int { return a.at.Compare(b.at) })
	for len(g.flights) > 0 && !g.flights[0].at.After(g.now) {
		m := g.flights[0].m
		g.flights = g.flights[1:]
		for _, n := range g.nodes {
			// A message reaches the address, whoever is there now.
			if n.replica != nil && addressOf(m.To) == n.address && !g.cut[n.address] && !g.cut[addressOf(m.From)] {
				n.replica.Step(g.now, m)
				g.carryOut(n)
			}
		}
	}
}

func addressOf(id replica.ID) string { return string(id)[:2] }

func (g *played) post(ms []replica.Message) {
	for _, m := range ms {
		if g.rnd.IntN(100) < 3 {
			continue
		}
		d := time.Duration(g.rnd.IntN(15)) * time.Millisecond
		if g.rnd.IntN(100) == 0 {
			d += 3 * testElection
		}
		g.flights = append(g.flights, flight{at: g.now.Add(d), m: m})
	}
}

func (g *played) carryOut(n *node) {
	for n.replica != nil {
		ready := n.replica.Ready()
		if ready.Empty() {
			break
		}
		g.post(ready.Early)
		if ready.State != nil {
			n.disk.State = *ready.State
		}
		if ready.Snapshot != nil {
			n.disk.Snapshot, n.disk.Entries = *ready.Snapshot, nil
		}
		for _, e := range ready.Entries {
			keep := slices.IndexFunc(n.disk.Entries, func(o replica.Entry) bool { return o.Index >= e.Index })
			if keep < 0 {
				keep = len(n.disk.Entries)
			}
			n.disk.Entries = append(slices.Clone(n.disk.Entries[:keep]), e)
		}
		n.replica.Persisted(g.now, ready.Durable())
		g.post(ready.Late)
		for _, e := range ready.Committed {
			g.apply(n, e)
		}
	}
	if n.replica != nil && n.replica.Role() == replica.Leader {
		if other, ok := g.leaders[n.replica.Term()]; ok && other != n.id {
			g.failf("%s and %s lead term %d", other, n.id, n.replica.Term())
		}
		g.leaders[n.replica.Term()] = n.id
	}
}

func (g *played) apply(n *node, e replica.Entry) {
	what := fmt.Sprintf("%d/%d/%s", e.Term, e.Kind, e.Data)
	if old, ok := g.committed[e.Index]; ok && old != what {
		g.failf("%s applied %q at index %d, another applied %q", n.id, what, e.Index, old)
	}
	g.committed[e.Index] = what
	n.applied[e.Index] = string(e.Data)
	if e.Kind == replica.KindMembers {
		n.members = e.Members
	}
	for name, p := range g.pending {
		if p.index == e.Index {
			delete(g.pending, name)
			if p.term == e.Term {
				g.acked[name] = true
			}
		}
	}
}

func (g *played) propose() {
	for _, n := range g.nodes {
		if n.replica == nil || n.replica.Role() != replica.Leader {
			continue
		}
		g.commands++
		name := fmt.Sprintf("c%d", g.commands)
		if index, err := n.replica.Propose(g.now, [][]byte{[]byte(name)}); err == nil {
			g.pending[name] = pendingEntry{index: index, term: n.replica.Term()}
		}
		g.carryOut(n)
	}
}

// full reports whether the group has committed that it has all its voters, each
// at an own address. A leader may be lost with a change that it has only
// appended, and then the old voters count.
func (g *played) full() bool {
	for _, n := range g.nodes {
		if n.replica == nil || !n.replica.HoldsLease(g.now) {
			continue
		}
		voters := 0
		for _, m := range n.members {
			alive := slices.ContainsFunc(g.nodes, func(o *node) bool { return o.id == m.ID })
			if !m.Learner && alive {
				voters++
			}
		}
		return voters == testReplicas
	}
	return false
}

func (g *played) awaitFull() bool {
	for end := g.now.Add(testSettle); g.now.Before(end) && g.fault == ""; {
		if g.full() {
			return true
		}
		g.advance(testElection)
	}
	return false
}

// disturb carries out one random fault. No more than two disks are lost until
// the group has replaced them.
func (g *played) disturb(lost *int) {
	n := g.nodes[g.rnd.IntN(len(g.nodes))]
	switch g.rnd.IntN(12) {
	case 0, 1:
		if *lost < 2 {
			*lost++
			g.wipe(n)
		}
	case 2:
		n.replica = nil
	case 3, 4, 5:
		g.start(n)
	case 6:
		g.cut[n.address] = true
	case 7, 8:
		clear(g.cut)
	case 9:
		for _, o := range g.nodes { // all lose power at once
			o.replica = nil
		}
		for _, o := range g.nodes {
			g.start(o)
		}
	default:
		g.propose()
	}
	g.advance(time.Duration(g.rnd.IntN(12)) * testElection / 4)
	if *lost > 0 && g.full() {
		*lost = 0
	}
}

// play runs one group through faults and returns the first broken rule.
func play(seed uint64, noSwap bool) (fault string) {
	defer func() {
		if r := recover(); r != nil {
			fault = fmt.Sprintf("panic: %v", r)
		}
	}()
	g := newPlayed(seed)
	g.noSwap = noSwap
	if !g.awaitFull() {
		return "the group was not founded: " + g.fault
	}
	lost := 0
	for range testOps {
		g.disturb(&lost)
		if g.fault != "" {
			return g.fault
		}
	}
	clear(g.cut)
	for _, n := range g.nodes {
		g.start(n)
	}
	if !g.awaitFull() {
		return "the group has not recovered: " + g.fault
	}
	g.propose()
	g.advance(10 * testElection)
	return g.missing()
}

// missing returns an acknowledged command that a member lacks.
func (g *played) missing() string {
	if g.fault != "" {
		return g.fault
	}
	for _, n := range g.nodes {
		have := make(map[string]bool)
		for _, data := range n.applied {
			have[data] = true
		}
		for name := range g.acked {
			if !have[name] {
				return fmt.Sprintf("%s lacks the acknowledged %s", n.id, name)
			}
		}
	}
	if len(g.acked) == 0 {
		return "nothing was acknowledged"
	}
	return ""
}

func TestGroupReplacesLostDisks(t *testing.T) {
	for seed := range uint64(testRuns) {
		if fault := play(seed, false); fault != "" {
			t.Errorf("seed %d: %s", seed, fault)
		}
	}
}

// TestLostDiskNeedsNewIdentity shows that the checks notice a replica that
// votes again on what it has forgotten.
func TestLostDiskNeedsNewIdentity(t *testing.T) {
	const tries = 400
	for seed := range uint64(tries) {
		if fault := play(seed, true); fault != "" {
			t.Logf("noticed at seed %d: %s", seed, fault)
			return
		}
	}
	t.Error("the bug was not noticed")
}
