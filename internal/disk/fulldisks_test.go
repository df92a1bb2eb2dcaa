package disk_test

import (
	"flag"
	"slices"
	"testing"
	"time"
)

var fullDisksSeeds = flag.Int("full-disks-seeds", 12, "number of seeds of TestAcknowledgedSurvivesFullDisks")

const (
	fullRetryInterval = 500 * time.Millisecond // between attempts to open the store of a full disk
	fillings          = 6                      // of disks in one run
)

// machinesToFill returns some machines, with the leader more often than by chance.
func (g *lostDisksGroup) machinesToFill() []*machine {
	order := g.rnd.Perm(groupSize)
	leader := slices.IndexFunc(g.machines, func(m *machine) bool { return m.p != nil && m.p.replica.HoldsLease(g.now) })
	if at := slices.Index(order, leader); at >= 0 {
		to := 0
		if g.rnd.IntN(2) == 0 {
			to = groupSize - 1
		}
		order[at], order[to] = order[to], order[at]
	}
	var out []*machine
	for _, i := range order[:1+g.rnd.IntN(groupSize)] {
		out = append(out, g.machines[i])
	}
	return out
}

// checkFull checks the group while disks are full.
func (g *lostDisksGroup) checkFull(full []*machine) {
	g.advance(g.duration(3 * time.Second))
	before := g.acks
	noticed := 0
	for _, m := range full {
		if m.p == nil {
			noticed++
		}
	}
	g.advance(recoveryTime)
	switch {
	case len(full) <= toleratedDisks && g.acks == before:
		g.failf("nothing was acknowledged for %s with %d full disks:%s", recoveryTime, len(full), g.describe())
	case noticed > toleratedDisks && g.acks > before:
		g.failf("%d changes were acknowledged with %d full disks", g.acks-before, noticed)
	}
}

// runFullDisks plays one run and returns the first violation, or "".
func runFullDisks(seed uint64) (violation string, acks int) {
	g := newLostDisksGroup(seed, noGroupBug)
	g.advance(300 * time.Millisecond)
	g.awaitComplete(syncTimeout)
	for range fillings {
		full := g.machinesToFill()
		for _, m := range full {
			g.fill(m)
			g.advance(g.duration(200 * time.Millisecond))
		}
		g.checkFull(full)
		for _, m := range full {
			switch g.rnd.IntN(4) {
			case 0:
				g.kill(m, false, g.duration(time.Second))
			case 1:
				g.kill(m, true, g.duration(time.Second))
			}
		}
		if g.rnd.IntN(3) == 0 {
			for _, m := range g.machines {
				g.kill(m, true, g.duration(time.Second))
			}
			g.network = nil
		}
		g.advance(g.duration(2 * time.Second))
		for _, m := range full {
			g.free(m)
			g.advance(g.duration(300 * time.Millisecond))
		}
		g.awaitComplete(recoveryTime)
		before := g.acks
		g.advance(time.Second)
		if g.acks == before {
			g.failf("nothing was acknowledged after the disks had space:%s", g.describe())
		}
		if g.violation != "" {
			break
		}
	}
	return g.violation, g.acks
}

// TestAcknowledgedSurvivesFullDisks fills the disks of one to five machines of five, also in
// the middle of a write, kills some of them and lets others or all lose power. The group must
// go on with two full disks, acknowledge nothing with three, lose nothing, and be complete
// when the disks have space.
func TestAcknowledgedSurvivesFullDisks(t *testing.T) {
	total := 0
	for seed := range uint64(*fullDisksSeeds) {
		violation, acks := runFullDisks(seed)
		if violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
		total += acks
	}
	t.Logf("%d fillings, %d acknowledgements", *fullDisksSeeds*fillings, total)
}
