package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/silence"
	"github.com/gentianrail/gentianrail/state"
)

// Intervals of the records of machines without a lease.
const (
	_minSilence            = 1500 * time.Millisecond // without a lease until it is recorded; agents report sooner
	_silenceRecordInterval = time.Second             // between records; as much is lost if all controllers restart together
)

// silentMachines is the leader's part in the records of machines without a lease: its
// proposals, and what it has granted. The reckoning is that of the replica, and stays when
// the leader changes.
type silentMachines struct {
	reckoning  silence.Reckoning
	lastGrants map[string]time.Time // latest grants of this leader, by machine
	tookOver   bool                 // this leader has proposed which records of its predecessor it takes over
	proposed   map[string]time.Time // machines whose record this leader has proposed, and since when they have been without a lease
	removing   map[string]bool      // machines for which a removal is proposed; no record is proposed until it is applied
	heardAt    map[string]time.Time // when a machine with a record was to get a lease
	lastRecord time.Time
}

// reset discards all but the reckoning.
func (s *silentMachines) reset() {
	s.lastGrants = make(map[string]time.Time)
	s.tookOver = false
	s.proposed, s.removing = make(map[string]time.Time), make(map[string]bool)
	s.heardAt = make(map[string]time.Time)
	s.lastRecord = time.Time{}
}

// withoutLeaseSince returns from when on a machine to which this leader has granted no lease
// has certainly been without one.
func (s *sessions) withoutLeaseSince(machine string) time.Time {
	if since, ok := s.silent.reckoning.Since(s.term, machine); ok && since.Before(s.leaderSince) {
		return since
	}
	return s.leaderSince
}

// isLogApplied reports whether this leader has applied all entries of earlier terms.
func (c *Core) isLogApplied() bool { return c.lastApplied.Term == c.replica.Term() }

// recordSilence proposes to record for how long the machines whose runs may go on have been
// without a lease, so that a change of the leader does not begin the wait for the end of the
// runs anew.
func (c *Core) recordSilence(now time.Time) {
	if !c.holdsLease(now) || !c.isLogApplied() {
		return
	}
	c.takeOverSilence(now)
	s := &c.sessions.silent
	if now.Sub(s.lastRecord) < _silenceRecordInterval {
		return
	}
	s.lastRecord = now
	since, withRuns := make(map[string]time.Time), make(map[string]bool)
	longest := c.sessions.maxLease() + c.sessions.lateStarts.window + 2*_leaseSweepInterval // after which all runs have ended
	incarnations := c.machine.Submissions().Incarnations()
	for _, late := range c.machine.Submissions().LateRuns() {
		incarnations = append(incarnations, late.Worker)
	}
	for _, incarnation := range incarnations {
		machine := machineOf(incarnation)
		withRuns[machine] = true
		at, ok := s.lastGrants[machine]
		if !ok {
			at = c.sessions.withoutLeaseSince(machine)
		}
		isHeard := s.removing[machine] || now.Sub(s.heardAt[machine]) < _minSilence
		if silent := now.Sub(at); !isHeard && silent >= _minSilence && silent <= longest {
			since[machine] = at
		}
	}
	var removed []string
	for _, m := range c.machine.Silence().Machines() {
		if !withRuns[m.Name] && !s.removing[m.Name] {
			removed = append(removed, m.Name)
		}
	}
	c.proposeSilence(now, since, removed)
}

// takeOverSilence proposes to write the valid records of the preceding term anew, once in
// each term.
func (c *Core) takeOverSilence(now time.Time) {
	s := &c.sessions.silent
	if s.tookOver {
		return
	}
	s.tookOver = true
	table := c.machine.Silence()
	if table.Len() == 0 || table.Term() == c.replica.Term() {
		return
	}
	taken := s.reckoning.Valid(c.replica.Term())
	maps.DeleteFunc(taken, func(machine string, _ time.Time) bool {
		_, granted := s.lastGrants[machine]
		return granted
	})
	var longest time.Duration
	for _, since := range taken {
		longest = max(longest, now.Sub(since))
	}
	c.log.Emit(event.SilenceTakenOver, event.Fields{
		"machines": len(taken), "dropped": table.Len() - len(taken), "longest_ms": longest.Milliseconds(), "term": c.replica.Term(),
	}, "took over for how long machines have been without a lease")
	c.proposeSilenceChange(now, taken, nil)
}

// proposeSilence proposes changes of the records, if there are any.
func (c *Core) proposeSilence(now time.Time, since map[string]time.Time, removed []string) {
	if len(since)+len(removed) > 0 {
		c.proposeSilenceChange(now, since, removed)
	}
}

func (c *Core) proposeSilenceChange(now time.Time, since map[string]time.Time, removed []string) {
	change := silence.Change{Term: c.replica.Term(), Removed: removed}
	for _, machine := range slices.Sorted(maps.Keys(since)) {
		change.Silent = append(change.Silent, silence.Machine{Name: machine, For: now.Sub(since[machine])})
	}
	if !c.proposeOwn(now, state.RecordSilence{Change: change}) {
		return
	}
	s := &c.sessions.silent
	maps.Copy(s.proposed, since)
	for _, machine := range removed {
		s.removing[machine] = true
	}
}

// mayGrant reports whether a lease may be granted to a machine: the log has no record that
// says that it has none. It proposes to remove such a record.
func (c *Core) mayGrant(now time.Time, machine string) bool {
	if !c.isLogApplied() {
		return false
	}
	c.takeOverSilence(now)
	s := &c.sessions.silent
	_, proposed := s.proposed[machine]
	if !proposed && !c.machine.Silence().Has(machine) {
		return !s.removing[machine]
	}
	s.heardAt[machine] = now
	if !s.removing[machine] {
		c.proposeSilenceChange(now, nil, []string{machine})
	}
	return false
}

// recordGrant records that a lease has been granted.
func (s *silentMachines) recordGrant(now time.Time, machine string) { s.lastGrants[machine] = now }

// handleSilence updates the replica's reckoning, and the leader's proposals, after a change of
// the records.
func (c *Core) handleSilence(now time.Time, term uint64, change silence.Change) {
	s := &c.sessions.silent
	if !c.leads() || term != c.replica.Term() {
		s.reckoning.Apply(now, change, nil)
		return
	}
	s.reckoning.Apply(now, change, s.proposed)
	for _, machine := range change.Removed {
		delete(s.proposed, machine)
		delete(s.removing, machine)
	}
	c.answerDeferredLists(now)
}
