// Package admission decides which work a target takes on, and when.
//
// A Gate holds a target's slots and connections. What always holds: the slots
// and connections of the work that is let in never exceed what the target
// holds, over all entries and classes together; work that was refused was
// never let in. Work that does not fit waits in a short queue until its
// deadline.
//
// Among those that wait, services go before watches before batch; within a
// class the higher priority goes first, then the owner that has least work
// in. Under a lasting queue the newest goes first, since the oldest is likely
// to miss its deadline anyway. Work that has waited for AgeLimit goes before
// all others, so that no class waits for ever.
package admission

import (
	"time"

	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/fault"
)

// AgeLimit is how long work waits until it goes before more urgent classes.
const AgeLimit = 2 * time.Second

// lastingQueue is the wait of the oldest work from which on the newest goes
// first.
const lastingQueue = 100 * time.Millisecond

// Ticket is a piece of work that asks to be let in.
type Ticket struct {
	ID          uint64 // chosen by the caller, unique among those in the gate
	Entry       string
	Owner       string
	Class       catalogue.Class
	Priority    int
	Slots       int // that the work takes
	Connections int // that the work takes
	Arrived     time.Time
	Deadline    time.Time // after which the work is refused

	MostSlots       int // of the entry at this target
	MostConnections int // of the entry at this target
	MostQueue       int // of the entry at this target
}

// Verdict is the answer to an offer.
type Verdict uint8

const (
	// Admitted work holds its slots until it is released.
	Admitted Verdict = iota + 1
	// Queued work is let in by a later call, or refused at its deadline.
	Queued
	// Refused work was not let in and never will be.
	Refused
)

type usage struct{ slots, connections, queued int }

// Gate is the state of one target's admission. It is not safe for concurrent
// use.
type Gate struct {
	slots       int
	connections int
	closed      bool // leaving; nothing more is let in

	in      map[uint64]Ticket
	waiting []Ticket // in order of arrival
	used    usage
	entries map[string]usage
	owners  map[string]int // slots and connections in use by an owner
}

// NewGate returns the gate of a target that holds the given slots and
// connections.
func NewGate(slots, connections int) *Gate {
	return &Gate{
		slots:       slots,
		connections: connections,
		in:          make(map[uint64]Ticket),
		entries:     make(map[string]usage),
		owners:      make(map[string]int),
	}
}

// Used returns the slots and connections in use and the length of the queue.
func (g *Gate) Used() (slots, connections, queued int) {
	return g.used.slots, g.used.connections, len(g.waiting)
}

// In returns how much work is in.
func (g *Gate) In() int { return len(g.in) }

// Close refuses all offers from now on. Work that waits already is in flight
// and still gets its turn.
func (g *Gate) Close() { g.closed = true }

// Open takes offers again.
func (g *Gate) Open() { g.closed = false }

// Offer asks for work to be let in. The error of a refusal says why.
func (g *Gate) Offer(now time.Time, t Ticket) (Verdict, error) {
	if g.closed {
		return Refused, fault.New(fault.Draining, "the worker takes no new work")
	}
	if t.Slots > min(g.slots, t.MostSlots) || t.Connections > min(g.connections, t.MostConnections) {
		return Refused, fault.New(fault.Overloaded, "the work is larger than the worker")
	}
	if !now.Before(t.Deadline) {
		return Refused, fault.New(fault.QueueTimeout, "the deadline had passed before the worker took the work")
	}
	// Nothing that waits fits, or it would have been let in by now.
	if g.fits(t) {
		g.admit(t)
		return Admitted, nil
	}
	if e := g.entries[t.Entry]; e.queued >= t.MostQueue {
		return Refused, fault.New(fault.Overloaded, "%d requests of the entry wait at the worker already", e.queued)
	}
	g.enqueue(t)
	return Queued, nil
}

func (g *Gate) fits(t Ticket) bool {
	e := g.entries[t.Entry]
	return g.used.slots+t.Slots <= g.slots &&
		g.used.connections+t.Connections <= g.connections &&
		e.slots+t.Slots <= t.MostSlots &&
		e.connections+t.Connections <= t.MostConnections
}

func (g *Gate) admit(t Ticket) {
	g.in[t.ID] = t
	g.count(t, 1)
}

func (g *Gate) count(t Ticket, sign int) {
	g.used.slots += sign * t.Slots
	g.used.connections += sign * t.Connections
	e := g.entries[t.Entry]
	e.slots += sign * t.Slots
	e.connections += sign * t.Connections
	g.setEntry(t.Entry, e)
	g.owners[t.Owner] += sign * (t.Slots + t.Connections)
	if g.owners[t.Owner] == 0 {
		delete(g.owners, t.Owner)
	}
}

func (g *Gate) setEntry(name string, e usage) {
	if e == (usage{}) {
		delete(g.entries, name)
		return
	}
	g.entries[name] = e
}

func (g *Gate) enqueue(t Ticket) {
	g.waiting = append(g.waiting, t)
	e := g.entries[t.Entry]
	e.queued++
	g.setEntry(t.Entry, e)
}

func (g *Gate) dequeue(i int) Ticket {
	t := g.waiting[i]
	g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
	e := g.entries[t.Entry]
	e.queued--
	g.setEntry(t.Entry, e)
	return t
}

// Release gives back what a piece of work held and returns the tickets that
// are let in for it.
func (g *Gate) Release(now time.Time, id uint64) []uint64 {
	t, ok := g.in[id]
	if !ok {
		return nil
	}
	delete(g.in, id)
	g.count(t, -1)
	return g.Next(now)
}

// Withdraw takes a ticket out of the queue, when its caller has gone. It
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

// Next lets in waiting work that fits and returns its tickets.
func (g *Gate) Next(now time.Time) []uint64 {
	var out []uint64
	for {
		i := g.best(now)
		if i < 0 {
			return out
		}
		t := g.dequeue(i)
		g.admit(t)
		out = append(out, t.ID)
	}
}

// Expire refuses work whose deadline has passed and returns its tickets.
func (g *Gate) Expire(now time.Time) []uint64 {
	return g.refuseWaiting(func(t Ticket) bool { return !now.Before(t.Deadline) })
}

func (g *Gate) refuseWaiting(refuse func(Ticket) bool) []uint64 {
	var out []uint64
	for i := 0; i < len(g.waiting); {
		if !refuse(g.waiting[i]) {
			i++
			continue
		}
		out = append(out, g.dequeue(i).ID)
	}
	return out
}

// best returns the position of the waiting ticket that goes next, or -1.
func (g *Gate) best(now time.Time) int {
	best := -1
	newestFirst := len(g.waiting) > 0 && now.Sub(g.waiting[0].Arrived) >= lastingQueue
	for i, t := range g.waiting {
		if !now.Before(t.Deadline) || !g.fits(t) {
			continue
		}
		if best < 0 || g.before(now, t, g.waiting[best], newestFirst) {
			best = i
		}
	}
	return best
}

// before reports whether a goes before b, which arrived earlier.
func (g *Gate) before(now time.Time, a, b Ticket, newestFirst bool) bool {
	agedA, agedB := now.Sub(a.Arrived) >= AgeLimit, now.Sub(b.Arrived) >= AgeLimit
	if agedA != agedB {
		return agedA
	}
	if agedA {
		return false
	}
	if ra, rb := rank(a.Class), rank(b.Class); ra != rb {
		return ra < rb
	}
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if oa, ob := g.owners[a.Owner], g.owners[b.Owner]; oa != ob {
		return oa < ob
	}
	return newestFirst
}

func rank(c catalogue.Class) int {
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
