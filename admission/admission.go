// Package admission decides which requests and tasks a worker admits, and when.
//
// A Gate tracks the use of a worker's slots and connections. Two invariants
// hold: the slots and connections of the admitted work, over all entries and
// classes together, never exceed the worker's capacity; rejected work was never
// admitted. Work that does not fit waits in a short queue until its deadline.
//
// Waiting services are admitted before watches, and watches before batch work.
// Within a class, the higher priority is admitted first, then the owner with
// the fewest slots and connections in use, then the oldest ticket. In a
// standing queue the newest ticket precedes the oldest, since the oldest is
// likely to miss its deadline anyway. Work that has waited for AgeLimit is
// admitted before all other work, so that no class starves.
//
// Arriving work, whose input is still being received, can't run yet. It uses at most
// half of the slots, connections and places in the queue, is admitted after work that
// can run, and gives way to waiting work if its input has come to a halt.
package admission

import (
	"time"

	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/fault"
)

// AgeLimit is how long work waits until it is admitted before all other work,
// whatever its class.
const AgeLimit = 2 * time.Second

// standingQueueWait is how long the oldest ticket has waited when the queue
// counts as a standing queue, in which the newest ticket is admitted first.
const standingQueueWait = 100 * time.Millisecond

// StallLimit is how long the input of arriving work may come to a halt before the work
// gives way to work that can run. It is longer than the time between segments of a
// client that sends.
const StallLimit = 300 * time.Millisecond

// Ticket is a request for the admission of a piece of work.
type Ticket struct {
	ID          uint64 // chosen by the caller, not 0, unique among the tickets of the gate
	Entry       string
	Owner       string
	Class       catalogue.Class
	Priority    int
	Slots       int // slots that the work uses
	Connections int // connections that the work uses
	Arrived     time.Time
	Deadline    time.Time // at which waiting work is rejected
	Arriving    bool      // the work's input is still being received

	MaxSlots       int // limit of the entry's slots at this worker
	MaxConnections int // limit of the entry's connections at this worker
	MaxQueued      int // limit of the entry's waiting tickets at this worker
}

// Verdict is the result of Offer.
type Verdict uint8

const (
	// Admitted work holds its slots and connections until Release.
	Admitted Verdict = iota + 1
	// Queued work is admitted by a later call, or rejected at its deadline.
	Queued
	// Rejected work was not admitted and never will be.
	Rejected
)

// usage counts the slots and connections in use and the waiting tickets.
type usage struct{ slots, connections, queued int }

// adjust adds the ticket's slots and connections if sign is 1, and subtracts them if
// sign is -1.
func (u *usage) adjust(t Ticket, sign int) {
	u.slots += sign * t.Slots
	u.connections += sign * t.Connections
}

// arrivingShare returns how much of n arriving work may use.
func arrivingShare(n int) int { return max(n/2, 1) }

// Gate holds the admitted and the waiting work of one worker. It is not safe
// for concurrent use.
type Gate struct {
	slots       int
	connections int
	closed      bool // rejects all offers; waiting work is still admitted

	admitted   map[uint64]Ticket
	waiting    []Ticket // in order of arrival
	used       usage
	entryUsage map[string]usage
	ownerUsage map[string]int // slots plus connections in use, by owner

	arriving      usage                // part of used
	entryArriving map[string]usage     // part of entryUsage
	progress      map[uint64]time.Time // of the input of admitted arriving work
	halted        uint64               // ID that Halted returned last; 0 for none
}

// NewGate returns the gate of a worker with the given number of slots and
// connections.
func NewGate(slots, connections int) *Gate {
	return &Gate{
		slots:       slots,
		connections: connections,
		admitted:    make(map[uint64]Ticket),
		entryUsage:  make(map[string]usage),
		ownerUsage:  make(map[string]int),

		entryArriving: make(map[string]usage),
		progress:      make(map[uint64]time.Time),
	}
}

// Used returns the slots and connections in use and the length of the queue.
func (g *Gate) Used() (slots, connections, queued int) {
	return g.used.slots, g.used.connections, len(g.waiting)
}

// AdmittedCount returns the number of admitted tickets.
func (g *Gate) AdmittedCount() int { return len(g.admitted) }

// Close rejects all later offers. Work that is already waiting counts as in
// flight and is still admitted.
func (g *Gate) Close() { g.closed = true }

// Reopen reverts Close.
func (g *Gate) Reopen() { g.closed = false }

// Offer admits, queues or rejects a piece of work. The error is the reason of a
// rejection.
func (g *Gate) Offer(now time.Time, t Ticket) (Verdict, error) {
	if g.closed {
		return Rejected, fault.New(fault.Draining, "the worker takes no new work")
	}
	if t.Slots > min(g.slots, t.MaxSlots) || t.Connections > min(g.connections, t.MaxConnections) {
		return Rejected, fault.New(fault.Overloaded, "the work needs more slots or connections than the worker or its entry may use")
	}
	if !now.Before(t.Deadline) {
		return Rejected, fault.New(fault.QueueTimeout, "the deadline passed before the worker admitted the work")
	}
	// No waiting ticket fits: a ticket that fits has been admitted already.
	// So t overtakes no work that could be admitted now.
	if g.fits(t) {
		g.admit(now, t)
		return Admitted, nil
	}
	if e := g.entryUsage[t.Entry]; e.queued >= t.MaxQueued {
		return Rejected, fault.New(fault.Overloaded, "%d requests of the entry are already waiting at the worker", e.queued)
	}
	if e := g.entryArriving[t.Entry]; t.Arriving && e.queued >= t.MaxQueued/2 {
		return Rejected, fault.New(fault.Overloaded, "%d requests of the entry with large bodies are already waiting at the worker", e.queued)
	}
	g.enqueue(t)
	return Queued, nil
}

func (g *Gate) fits(t Ticket) bool {
	e := g.entryUsage[t.Entry]
	return g.used.slots+t.Slots <= g.slots &&
		g.used.connections+t.Connections <= g.connections &&
		e.slots+t.Slots <= t.MaxSlots &&
		e.connections+t.Connections <= t.MaxConnections &&
		(!t.Arriving || g.fitsArriving(t))
}

// fitsArriving reports whether arriving work is within its share.
func (g *Gate) fitsArriving(t Ticket) bool {
	e := g.entryArriving[t.Entry]
	return g.arriving.slots+t.Slots <= arrivingShare(g.slots) &&
		g.arriving.connections+t.Connections <= arrivingShare(g.connections) &&
		e.slots+t.Slots <= arrivingShare(t.MaxSlots) &&
		e.connections+t.Connections <= arrivingShare(t.MaxConnections)
}

func (g *Gate) admit(now time.Time, t Ticket) {
	g.admitted[t.ID] = t
	g.adjustUsage(t, 1)
	if t.Arriving {
		g.progress[t.ID] = now
	}
}

// adjustUsage adds the ticket to the usage counts if sign is 1, and subtracts
// the ticket if sign is -1.
func (g *Gate) adjustUsage(t Ticket, sign int) {
	g.used.adjust(t, sign)
	e := g.entryUsage[t.Entry]
	e.adjust(t, sign)
	setUsage(g.entryUsage, t.Entry, e)
	if t.Arriving {
		g.adjustArriving(t, sign)
	}
	g.ownerUsage[t.Owner] += sign * (t.Slots + t.Connections)
	if g.ownerUsage[t.Owner] == 0 {
		delete(g.ownerUsage, t.Owner)
	}
}

func (g *Gate) adjustArriving(t Ticket, sign int) {
	g.arriving.adjust(t, sign)
	e := g.entryArriving[t.Entry]
	e.adjust(t, sign)
	setUsage(g.entryArriving, t.Entry, e)
}

// setUsage sets the usage of an entry. Entries without usage are removed.
func setUsage(m map[string]usage, name string, e usage) {
	if e == (usage{}) {
		delete(m, name)
		return
	}
	m[name] = e
}

func (g *Gate) enqueue(t Ticket) {
	g.waiting = append(g.waiting, t)
	g.adjustQueued(t, 1)
}

// dequeue removes the waiting ticket at position i.
func (g *Gate) dequeue(i int) Ticket {
	t := g.waiting[i]
	g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
	g.adjustQueued(t, -1)
	return t
}

func (g *Gate) adjustQueued(t Ticket, n int) {
	e := g.entryUsage[t.Entry]
	e.queued += n
	setUsage(g.entryUsage, t.Entry, e)
	if t.Arriving {
		a := g.entryArriving[t.Entry]
		a.queued += n
		setUsage(g.entryArriving, t.Entry, a)
	}
}

// Progress records that bytes of the input of arriving work were received.
func (g *Gate) Progress(now time.Time, id uint64) {
	if _, ok := g.progress[id]; ok {
		g.progress[id] = now
	}
}

// Arrived records that the input of admitted work was received completely. It returns
// the IDs of the tickets that are admitted since.
func (g *Gate) Arrived(now time.Time, id uint64) []uint64 {
	t, ok := g.admitted[id]
	if !ok || !t.Arriving {
		return nil
	}
	g.adjustArriving(t, -1)
	delete(g.progress, id)
	t.Arriving = false
	g.admitted[id] = t
	return g.AdmitWaiting(now)
}

// Halted returns the ID of admitted work whose input has come to a halt while work waits
// that would be admitted in its place: the one without progress for longest. It returns
// no further one until that work is released.
func (g *Gate) Halted(now time.Time) (id uint64, ok bool) {
	if _, pending := g.admitted[g.halted]; pending {
		return 0, false
	}
	var since time.Time
	for candidate, progress := range g.progress {
		if now.Sub(progress) < StallLimit || ok && (progress.After(since) || progress.Equal(since) && candidate > id) {
			continue
		}
		if g.makesRoom(now, g.admitted[candidate]) {
			id, since, ok = candidate, progress, true
		}
	}
	g.halted = id
	return id, ok
}

// makesRoom reports whether waiting work fits without the given admitted work.
func (g *Gate) makesRoom(now time.Time, t Ticket) bool {
	g.adjustUsage(t, -1)
	defer g.adjustUsage(t, 1)
	return g.nextIndex(now) >= 0
}

// Release frees the slots and connections of admitted work and returns the IDs
// of the tickets that are admitted in its place.
func (g *Gate) Release(now time.Time, id uint64) []uint64 {
	t, ok := g.admitted[id]
	if !ok {
		return nil
	}
	delete(g.admitted, id)
	delete(g.progress, id)
	g.adjustUsage(t, -1)
	return g.AdmitWaiting(now)
}

// Withdraw removes a ticket from the queue when its caller has disconnected. It
// reports whether the ticket was waiting.
func (g *Gate) Withdraw(id uint64) bool {
	for i, t := range g.waiting {
		if t.ID == id {
			g.dequeue(i)
			return true
		}
	}
	return false
}

// AdmitWaiting admits the waiting work that fits and returns the IDs of its
// tickets.
func (g *Gate) AdmitWaiting(now time.Time) []uint64 {
	var out []uint64
	for {
		i := g.nextIndex(now)
		if i < 0 {
			return out
		}
		t := g.dequeue(i)
		g.admit(now, t)
		out = append(out, t.ID)
	}
}

// Expire rejects waiting work whose deadline has passed and returns the IDs of
// its tickets.
func (g *Gate) Expire(now time.Time) []uint64 {
	return g.removeWaiting(func(t Ticket) bool { return !now.Before(t.Deadline) })
}

// removeWaiting removes the waiting tickets that match and returns their IDs.
func (g *Gate) removeWaiting(matches func(Ticket) bool) []uint64 {
	var out []uint64
	for i := 0; i < len(g.waiting); {
		if !matches(g.waiting[i]) {
			i++
			continue
		}
		out = append(out, g.dequeue(i).ID)
	}
	return out
}

// nextIndex returns the position of the waiting ticket to admit next, or -1 if
// none can be admitted.
func (g *Gate) nextIndex(now time.Time) int {
	best := -1
	newestFirst := len(g.waiting) > 0 && now.Sub(g.waiting[0].Arrived) >= standingQueueWait
	for i, t := range g.waiting {
		if !now.Before(t.Deadline) || !g.fits(t) {
			continue
		}
		if best < 0 || g.precedes(now, t, g.waiting[best], newestFirst) {
			best = i
		}
	}
	return best
}

// precedes reports whether a is admitted before b, which arrived earlier.
func (g *Gate) precedes(now time.Time, a, b Ticket, newestFirst bool) bool {
	agedA, agedB := now.Sub(a.Arrived) >= AgeLimit, now.Sub(b.Arrived) >= AgeLimit
	if agedA != agedB {
		return agedA
	}
	if agedA {
		return false
	}
	if a.Arriving != b.Arriving {
		return b.Arriving
	}
	if ra, rb := classRank(a.Class), classRank(b.Class); ra != rb {
		return ra < rb
	}
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if oa, ob := g.ownerUsage[a.Owner], g.ownerUsage[b.Owner]; oa != ob {
		return oa < ob
	}
	return newestFirst
}

// classRank returns the position of a class in the order of admission; the
// lowest is admitted first.
func classRank(c catalogue.Class) int {
	switch c {
	case catalogue.Service:
		return 1
	case catalogue.Watch:
		return 2
	case catalogue.Batch:
		return 3
	}
	return 4
}
