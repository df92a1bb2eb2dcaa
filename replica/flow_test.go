package replica

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"
)

// slowLink carries messages in order with a delay and a limited rate. It counts the
// data that enters it.
type slowLink struct {
	delay     time.Duration
	rate      float64 // bytes per second; 0 for no limit
	messages  []Message
	arrivals  []time.Time
	busyUntil time.Time
	bytes     int
	count     int
}

func messageSize(m Message) int {
	n := 100
	switch b := m.Body.(type) {
	case Append:
		for _, e := range b.Entries {
			n += len(e.Data) + 30
		}
	case InstallSnapshot:
		n += len(b.Data)
	}
	return n
}

func (l *slowLink) put(now time.Time, m Message) {
	size := messageSize(m)
	l.bytes += size
	l.count++
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	if l.rate > 0 {
		l.busyUntil = l.busyUntil.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	}
	l.messages = append(l.messages, m)
	l.arrivals = append(l.arrivals, l.busyUntil.Add(l.delay))
}

// arrived removes and returns the messages that have arrived.
func (l *slowLink) arrived(now time.Time) []Message {
	n := 0
	for n < len(l.messages) && !l.arrivals[n].After(now) {
		n++
	}
	out := l.messages[:n]
	l.messages, l.arrivals = l.messages[n:], l.arrivals[n:]
	return out
}

// flowGroup has a leader "a", a voter "b" without delay and a voter "c" behind a slow
// link, whose log is empty.
type flowGroup struct {
	now      time.Time
	replicas map[ID]*Replica
	toC      slowLink
	fromC    slowLink
	restored Snapshot
	applied  uint64 // by c
}

func newFlowGroup(t *testing.T, from RestoredState, toC slowLink) *flowGroup {
	t.Helper()
	g := &flowGroup{now: time.Unix(1000, 0), replicas: make(map[ID]*Replica), toC: toC, fromC: slowLink{delay: toC.delay}, restored: from.Snapshot}
	for _, id := range []ID{"a", "b", "c"} {
		cfg := Config{
			ID: id, InitialVoters: []ID{"a", "b", "c"}, ElectionTimeout: 500 * time.Millisecond, Heartbeat: 100 * time.Millisecond,
			Rand: rand.New(rand.NewPCG(1, uint64(id[0]))),
		}
		state := from
		if id == "c" {
			state = RestoredState{}
		}
		g.replicas[id] = New(cfg, state, func() Snapshot { return from.Snapshot }, g.now)
	}
	g.replicas["a"].electionDeadline = g.now
	g.run(600 * time.Millisecond)
	g.replicas["a"].startElection(g.now, false, false)
	g.run(100 * time.Millisecond)
	if g.replicas["a"].Role() != Leader {
		t.Fatal("the first replica does not lead")
	}
	return g
}

// run advances the time in steps of a millisecond. b and c never start elections.
func (g *flowGroup) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(time.Millisecond) {
		if g.replicas["a"].Role() == Leader {
			g.replicas["a"].Tick(g.now)
		}
		for _, m := range g.toC.arrived(g.now) {
			g.replicas["c"].Step(g.now, m)
		}
		for _, m := range g.fromC.arrived(g.now) {
			g.replicas["a"].Step(g.now, m)
		}
		for range 4 {
			for _, id := range []ID{"a", "b", "c"} {
				g.processReady(id)
			}
		}
	}
}

func (g *flowGroup) processReady(id ID) {
	r := g.replicas[id]
	ready := r.Ready()
	for _, m := range append(ready.Immediate, ready.AfterSync...) {
		switch {
		case m.To == "c":
			g.toC.put(g.now, m)
		case id == "c":
			g.fromC.put(g.now, m)
		default:
			g.replicas[m.To].Step(g.now, m)
		}
	}
	r.RecordSynced(ready.DurableWrite())
	if id == "c" && len(ready.Committed) > 0 {
		g.applied = ready.Committed[len(ready.Committed)-1].Index
	}
	if id == "c" && ready.Snapshot != nil {
		g.applied = ready.Snapshot.Index
	}
}

// propose proposes commands at a rate for a while.
func (g *flowGroup) propose(d time.Duration, perSecond, size int) (proposed int) {
	for end := g.now.Add(d); g.now.Before(end); {
		if _, err := g.replicas["a"].Propose(g.now, g.now, [][]byte{bytes.Repeat([]byte{1}, size)}); err == nil {
			proposed += size + 30
		}
		g.run(time.Second / time.Duration(perSecond))
	}
	return proposed
}

func logOf(entries, size int) []Entry {
	out := make([]Entry, entries)
	for i := range out {
		out[i] = Entry{Index: uint64(i + 1), Term: 1, Kind: KindCommand, Data: make([]byte, size)}
	}
	return out
}

// TestLaggingFollowerGetsEachEntryOnce has a voter whose log is empty, behind a link
// that needs a second for a third of the leader's log, while the leader proposes
// 200 changes a second. Sending unacknowledged entries again with each heartbeat
// took the leader's processor time and link, until it lost its quorum. The voter
// must catch up, the leader must send little more than the log, and it must keep its
// lease all the time.
func TestLaggingFollowerGetsEachEntryOnce(t *testing.T) {
	const entries, size = 12000, 1000
	g := newFlowGroup(t, RestoredState{State: HardState{Term: 1}, Entries: logOf(entries, size)}, slowLink{delay: 40 * time.Millisecond, rate: 4 << 20})
	before := g.toC.bytes
	proposed := 0
	for range 10 {
		proposed += g.propose(500*time.Millisecond, 200, 500)
		if !g.replicas["a"].HoldsLease(g.now) {
			t.Fatal("the leader has lost its lease")
		}
	}
	g.run(time.Second)
	if want := g.replicas["a"].Commit(); g.applied != want {
		t.Errorf("the voter has applied %d entries, want %d", g.applied, want)
	}
	if sent, limit := g.toC.bytes-before, (entries*(size+30)+proposed)*13/10; sent > limit {
		t.Errorf("%d bytes were sent, want at most %d", sent, limit)
	}
}

// TestSnapshotChunksAreSentOnce has a voter that needs a snapshot, behind a slow link,
// while the leader proposes 200 changes a second. Sending the chunk again with each
// proposal would multiply the traffic.
func TestSnapshotChunksAreSentOnce(t *testing.T) {
	const size = 6 << 20
	snap := Snapshot{Index: 5000, Term: 1, Data: make([]byte, size), Members: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	g := newFlowGroup(t, RestoredState{State: HardState{Term: 1}, Snapshot: snap}, slowLink{delay: 20 * time.Millisecond, rate: 4 << 20})
	before := g.toC.bytes
	proposed := g.propose(4*time.Second, 200, 500)
	g.run(time.Second)
	if want := g.replicas["a"].Commit(); g.applied != want {
		t.Errorf("the voter has applied up to %d, want %d", g.applied, want)
	}
	if sent, limit := g.toC.bytes-before, (size+proposed)*13/10; sent > limit {
		t.Errorf("%d bytes were sent, want at most %d", sent, limit)
	}
}

// TestLostMessagesAreSentAgain loses everything that is on its way to a voter, as a
// broken connection does, again and again. The voter must have all entries soon
// after the last loss.
func TestLostMessagesAreSentAgain(t *testing.T) {
	g := newFlowGroup(t, RestoredState{State: HardState{Term: 1}, Entries: logOf(3000, 1000)}, slowLink{delay: 30 * time.Millisecond, rate: 8 << 20})
	rnd := rand.New(rand.NewPCG(3, 3))
	for range 30 {
		g.propose(time.Duration(20+rnd.IntN(150))*time.Millisecond, 200, 500)
		g.toC.messages, g.toC.arrivals = nil, nil
		if rnd.IntN(3) == 0 {
			g.fromC.messages, g.fromC.arrivals = nil, nil
		}
	}
	g.run(2 * time.Second)
	if want := g.replicas["a"].Commit(); g.applied != want {
		t.Errorf("the voter has applied %d entries, want %d", g.applied, want)
	}
}

// TestLogBytesMatchEntries guards against a sum of the log's bytes that drifts from
// its entries when some are replaced or dropped.
func TestLogBytesMatchEntries(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var log logTail
	for range 5000 {
		switch from, last := log.base+1, log.lastIndex(); r.IntN(4) {
		case 0:
			log.compact(log.base + r.Uint64N(last-log.base+1))
		case 1:
			if r.IntN(20) == 0 {
				log.reset(last, 1)
			}
		default:
			index := from + r.Uint64N(last-from+2)
			var entries []Entry
			for range 1 + r.IntN(4) {
				entries = append(entries, Entry{Index: index, Data: make([]byte, r.IntN(100))})
				index++
			}
			log.append(entries)
		}
		if want := dataBytes(log.entries); log.bytes != want {
			t.Fatalf("the log counts %d bytes, its entries have %d", log.bytes, want)
		}
	}
}
