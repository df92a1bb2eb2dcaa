package silence

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// entry is an entry of the log of group.
type entry struct {
	term   uint64
	change *Change // nil for another entry
}

// member is a replica of group.
type member struct {
	table   Table
	view    Reckoning
	applied int
}

// group plays leaders that grant leases to one machine and record for how long it has been
// without one, and replicas that apply their log late and restart.
type group struct {
	rnd       *rand.Rand
	now       time.Time
	log       []entry
	members   [3]member
	leader    int
	term      uint64
	isOld     bool // the leader is of an earlier version, which knows no records
	since     time.Time
	lastGrant time.Time
	granted   bool // by this leader
}

func (g *group) apply(i int) {
	m := &g.members[i]
	for _, e := range g.log[m.applied:] {
		m.view.RecordTerm(e.term)
		if e.change != nil {
			m.table.Apply(*e.change)
			m.view.Apply(g.now, *e.change, nil)
		}
	}
	m.applied = len(g.log)
}

// restart starts a replica from a snapshot of what it has applied.
func (g *group) restart(i int) {
	m := &g.members[i]
	term := uint64(0)
	if m.applied > 0 {
		term = g.log[m.applied-1].term
	}
	m.view.Restore(g.now, &m.table, term)
}

func (g *group) elect(i int, isOld bool) {
	g.leader, g.isOld, g.term, g.since, g.granted = i, isOld, g.term+1, g.now, false
	g.log = append(g.log, entry{term: g.term})
	g.apply(i)
}

// silentSince returns what the leader believes.
func (g *group) silentSince() time.Time {
	if g.granted {
		return g.lastGrant
	}
	if since, ok := g.members[g.leader].view.Since(g.term, "m"); ok && since.Before(g.since) {
		return since
	}
	return g.since
}

func (g *group) record() {
	if g.isOld {
		return
	}
	g.log = append(g.log, entry{g.term, &Change{Term: g.term, Silent: []Machine{{Name: "m", For: g.now.Sub(g.silentSince())}}}})
	g.apply(g.leader)
}

func (g *group) grant() {
	m := &g.members[g.leader]
	if !g.isOld && m.table.Has("m") {
		g.log = append(g.log, entry{g.term, &Change{Term: g.term, Removed: []string{"m"}}})
		g.apply(g.leader)
	}
	g.lastGrant, g.granted = g.now, true
}

// TestSilenceIsNeverOverstated guards against a second run of a task: a leader that takes a
// machine to be without a lease for longer than it is ends its runs too early.
func TestSilenceIsNeverOverstated(t *testing.T) {
	for seed := range uint64(300) {
		g := &group{rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
		g.lastGrant = g.now
		g.elect(0, false)
		for step := range 400 {
			g.now = g.now.Add(time.Duration(g.rnd.IntN(500)) * time.Millisecond)
			switch k := g.rnd.IntN(20); {
			case k < 8:
				g.record()
			case k < 9:
				g.grant()
			case k < 13:
				g.apply(g.rnd.IntN(3))
			case k < 16:
				g.restart(g.rnd.IntN(3))
			case k < 19:
				g.elect(g.rnd.IntN(3), g.rnd.IntN(6) == 0)
			}
			if since := g.silentSince(); !g.isOld && since.Before(g.lastGrant) {
				t.Fatalf("seed %d, step %d: the leader takes the machine to be without a lease since %s before its latest grant", seed, step, g.lastGrant.Sub(since))
			}
		}
	}
}

// TestSilenceIsCountedAcrossLeaders guards against a wait that begins anew with each leader: of
// the time of a leader that has recorded something no more is lost than since its latest record.
func TestSilenceIsCountedAcrossLeaders(t *testing.T) {
	const lead, interval = 3 * time.Second, time.Second
	for _, tc := range []struct {
		name       string
		restartAll bool
		leastFrom  time.Duration // of the time of one leader
	}{
		{name: "the others stay", leastFrom: lead},
		{name: "all replicas restart with each change", restartAll: true, leastFrom: lead - interval},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := &group{now: time.Unix(1000, 0)}
			const leaders = 10
			for n := range leaders {
				g.elect(n%3, false)
				for range lead / interval {
					g.record()
					for i := range g.members {
						g.apply(i)
					}
					g.now = g.now.Add(interval)
				}
				if tc.restartAll {
					for i := range g.members {
						g.restart(i)
					}
				}
			}
			g.elect(leaders%3, false)
			if got, least := g.now.Sub(g.silentSince()), leaders*tc.leastFrom; got < least {
				t.Errorf("the leader has counted %s of %s, want %s at least", got, leaders*lead, least)
			}
		})
	}
}

// TestTableOfEarlierTermIsReplaced guards against copies that part: each change is applied by
// its own term, whatever a replica had before.
func TestTableOfEarlierTermIsReplaced(t *testing.T) {
	var table Table
	table.Apply(Change{Term: 2, Silent: []Machine{{"a", time.Second}, {"b", time.Second}}})
	table.Apply(Change{Term: 3, Silent: []Machine{{"c", time.Second}}})
	table.Apply(Change{Term: 2, Silent: []Machine{{"a", time.Second}}, Removed: []string{"c"}})
	if got, want := table.Machines(), []Machine{{"c", time.Second}}; !slices.Equal(got, want) {
		t.Errorf("the table has %v, want %v", got, want)
	}
}
