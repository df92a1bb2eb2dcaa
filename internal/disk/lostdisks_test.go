package disk_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/disk"
)

var lostDisksSeeds = flag.Int("lost-disks-seeds", 16, "number of seeds of TestAcknowledgedSurvivesLostDisks")

// Sizes and times of the simulated group.
const (
	groupSize       = 5
	toleratedDisks  = 2
	groupElection   = 500 * time.Millisecond
	groupHeartbeat  = 100 * time.Millisecond
	groupStep       = 5 * time.Millisecond
	joinInterval    = 200 * time.Millisecond
	joinDelay       = time.Second
	snapshotEntries = 60
	retainedEntries = 20
	syncTimeout     = 4 * time.Second  // after its return until a machine no longer counts as lost
	recoveryTime    = 12 * time.Second // after the return of all machines until the group works again
	strikes         = 4                // losses of disks in one run

	replacementDelay = time.Second // from the removal of a machine to the start of its successor
)

// groupBug is a deliberately injected fault that the test must detect.
type groupBug int

const (
	noGroupBug groupBug = iota
	bugAckBeforeCommit
	bugKeepIdentity
	bugFoundAgain
)

// disturb does what may come before the loss: machines are killed, lose power, are cut
// off or have slow disks.
func (g *lostDisksGroup) disturb() {
	m := g.machines[g.rnd.IntN(groupSize)]
	for range g.rnd.IntN(40) { // the most can go wrong while it writes
		if m.p != nil && m.p.write != nil {
			break
		}
		g.advance(groupStep)
	}
	switch g.rnd.IntN(6) {
	case 0:
		g.kill(m, false, g.duration(300*time.Millisecond))
	case 1:
		g.kill(m, true, g.duration(300*time.Millisecond))
	case 2:
		m.isolated = true
	case 3, 4:
		m.slowUntil = g.now.Add(g.duration(2 * time.Second))
	case 5:
		for _, m := range g.machines {
			g.kill(m, g.rnd.IntN(2) == 0, g.duration(time.Second))
		}
	}
}

// replace removes a machine for good. An empty one starts at another address.
func (g *lostDisksGroup) replace() {
	g.replaced++
	i := g.rnd.IntN(groupSize)
	if g.rnd.IntN(2) == 0 {
		i = max(slices.IndexFunc(g.machines, func(m *machine) bool { return m.p != nil && m.p.replica.HoldsLease(g.now) }), 0)
	}
	g.machines[i] = &machine{
		address: fmt.Sprintf("b%02d", g.replaced), files: disk.NewMemoryFiles(), wipedAt: g.now,
		startAt: g.now.Add(replacementDelay),
	}
	g.advance(replacementDelay + syncTimeout)
}

// strike takes the disks of up to limit machines, and the power of all others.
func (g *lostDisksGroup) strike(limit int) {
	acknowledged := g.struck
	g.struck, g.armed = nil, false
	order := g.rnd.Perm(groupSize)
	switch g.rnd.IntN(3) {
	case 0: // the machine that has acknowledged loses its disk
		i := slices.Index(g.machines, acknowledged.on)
		order = append([]int{i}, slices.DeleteFunc(order, func(o int) bool { return o == i })...)
	case 1: // the disks that have lasted longest
		slices.SortStableFunc(order, func(a, b int) int { return g.machines[a].wipedAt.Compare(g.machines[b].wipedAt) })
	}
	down := g.duration(2 * time.Second)
	disks := limit
	if g.rnd.IntN(4) == 0 {
		disks = g.rnd.IntN(limit + 1)
	}
	for n, i := range order {
		m := g.machines[i]
		back := down + g.duration(300*time.Millisecond)
		m.isolated, m.slowUntil = false, time.Time{}
		if n < disks {
			g.wipe(m, back)
		} else {
			g.kill(m, true, back)
		}
	}
	g.network = nil
	g.advance(down + 300*time.Millisecond)
}

// endDisturbances ends what disturb began, but leaves up to n machines cut off.
func (g *lostDisksGroup) endDisturbances(n int) {
	for _, i := range g.rnd.Perm(groupSize) {
		m := g.machines[i]
		m.isolated = m.isolated && n > 0
		if m.isolated {
			n--
		}
	}
}

// runLostDisks plays one run and returns the first violation, or "".
func runLostDisks(seed uint64, bug groupBug) (violation string, acks int) {
	g := newLostDisksGroup(seed, bug)
	g.advance(300 * time.Millisecond)
	g.awaitComplete(syncTimeout)
	for range strikes {
		for range g.rnd.IntN(4) {
			g.disturb()
			g.advance(g.duration(time.Second))
		}
		limit := toleratedDisks
		switch g.rnd.IntN(4) {
		case 0:
			g.endDisturbances(0)
			g.advance(g.duration(3 * time.Second))
			g.replace()
		case 1: // one disk is lost before the others
			g.endDisturbances(0)
			g.awaitComplete(syncTimeout)
			limit--
			g.wipe(g.machines[g.rnd.IntN(groupSize)], g.duration(2*time.Second))
			g.advance(g.duration(3 * time.Second))
		default:
			g.endDisturbances(toleratedDisks)
			g.advance(g.duration(3 * time.Second))
		}
		g.armed = true
		g.advance(recoveryTime)
		if g.violation == "" && g.struck == nil {
			g.failf("nothing was acknowledged for %s with at most two machines lost", recoveryTime)
		}
		if g.violation != "" {
			break
		}
		g.strike(limit)
		g.awaitComplete(syncTimeout)
	}
	before := g.acks
	g.advance(time.Second)
	if g.violation == "" && g.acks == before {
		g.failf("nothing was acknowledged after the recovery")
	}
	return g.violation, g.acks
}

// TestAcknowledgedSurvivesLostDisks loses two disks, and the power of all others, right after acknowledgements.
func TestAcknowledgedSurvivesLostDisks(t *testing.T) {
	total := 0
	for seed := range uint64(*lostDisksSeeds) {
		violation, acks := runLostDisks(seed, noGroupBug)
		if violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
		total += acks
	}
	t.Logf("%d losses, %d acknowledgements", *lostDisksSeeds*strikes, total)
}

// TestLostDisksBugsAreDetected checks that TestAcknowledgedSurvivesLostDisks detects injected bugs.
func TestLostDisksBugsAreDetected(t *testing.T) {
	for bug, name := range map[groupBug]string{
		bugAckBeforeCommit: "acknowledge before the commit", bugKeepIdentity: "keep the identity of a lost disk",
		bugFoundAgain: "found the group again",
	} {
		detected := false
		for seed := uint64(0); seed < 40 && !detected; seed++ {
			violation, _ := runLostDisks(seed, bug)
			detected = violation != ""
			if detected {
				t.Logf("%s: detected at seed %d: %s", name, seed, violation)
			}
		}
		if !detected {
			t.Errorf("the bug was not detected: %s", name)
		}
	}
}
