package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gentianrail/gentianrail/admission"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// _expireInterval is the period between checks for waiting work past its
// deadline.
const _expireInterval = 10 * time.Millisecond

type offer struct {
	ticket admission.Ticket
	reply  chan error // buffer of one; nil means admitted
	halt   func()     // ends the work when it gives way to others; nil if it doesn't arrive
}

// arrival is news of the input of arriving work.
type arrival struct {
	ticket   uint64
	complete bool
}

// gate admits work to the worker. Only its goroutine, run, uses the admission
// state.
type gate struct {
	state       *admission.Gate
	offers      chan offer
	releases    chan uint64
	withdrawals chan uint64
	arrivals    chan arrival
	closing     chan bool             // true to close, false to open again
	waiting     map[uint64]chan error // reply channels of the queued tickets, by ticket ID
	halts       map[uint64]func()     // of arriving work, by ticket ID
	nextID      atomic.Uint64
	stopped     chan struct{}

	slots, connections, queued, admitted atomic.Int32 // counts after the latest change
}

func newGate(slots, connections int) *gate {
	return &gate{
		state:       admission.NewGate(slots, connections),
		offers:      make(chan offer),
		releases:    make(chan uint64),
		withdrawals: make(chan uint64),
		arrivals:    make(chan arrival),
		halts:       make(map[uint64]func()),
		closing:     make(chan bool),
		waiting:     make(map[uint64]chan error),
		stopped:     make(chan struct{}),
	}
}

func (g *gate) run(ctx context.Context) {
	defer close(g.stopped)
	tick := time.NewTimer(_expireInterval)
	defer tick.Stop()
	for {
		var expire <-chan time.Time // nil, and so never ready, while nothing waits
		if len(g.waiting) > 0 {
			tick.Reset(_expireInterval)
			expire = tick.C
		}
		select {
		case <-ctx.Done():
			return
		case o := <-g.offers:
			g.offer(o)
		case id := <-g.releases:
			delete(g.halts, id)
			g.admitAll(g.state.Release(time.Now(), id))
		case a := <-g.arrivals:
			g.recordArrival(time.Now(), a)
		case id := <-g.withdrawals:
			g.withdraw(id)
		case closing := <-g.closing:
			g.applyClosing(closing)
		case now := <-expire:
			g.expireTickets(now)
		}
		g.publishCounts()
	}
}

func (g *gate) publishCounts() {
	slots, connections, queued := g.state.Used()
	g.slots.Store(int32(slots))
	g.connections.Store(int32(connections))
	g.queued.Store(int32(queued))
	g.admitted.Store(int32(g.state.AdmittedCount()))
}

func (g *gate) load() *pb.Load {
	return &pb.Load{SlotsUsed: g.slots.Load(), ConnectionsUsed: g.connections.Load(), Queued: g.queued.Load()}
}

func (g *gate) recordArrival(now time.Time, a arrival) {
	if !a.complete {
		g.state.Progress(now, a.ticket)
		return
	}
	delete(g.halts, a.ticket)
	g.admitAll(g.state.Arrived(now, a.ticket))
}

func (g *gate) offer(o offer) {
	verdict, err := g.state.Offer(time.Now(), o.ticket)
	if o.halt != nil && verdict != admission.Rejected {
		g.halts[o.ticket.ID] = o.halt
	}
	switch verdict {
	case admission.Admitted:
		o.reply <- nil
	case admission.Rejected:
		o.reply <- err
	case admission.Queued:
		g.waiting[o.ticket.ID] = o.reply
	}
}

func (g *gate) admitAll(ids []uint64) {
	for _, id := range ids {
		g.waiting[id] <- nil
		delete(g.waiting, id)
	}
}

func (g *gate) rejectAll(ids []uint64, err error) {
	for _, id := range ids {
		delete(g.halts, id)
		g.waiting[id] <- err
		delete(g.waiting, id)
	}
}

// withdraw removes a ticket from the queue, or releases the ticket if it has
// been admitted.
func (g *gate) withdraw(id uint64) {
	delete(g.halts, id)
	if g.state.Withdraw(id) {
		delete(g.waiting, id)
		return
	}
	g.admitAll(g.state.Release(time.Now(), id))
}

func (g *gate) applyClosing(closing bool) {
	if !closing {
		g.state.Reopen()
		return
	}
	g.state.Close()
}

func (g *gate) expireTickets(now time.Time) {
	g.rejectAll(g.state.Expire(now), fault.New(fault.QueueTimeout, "no slot became free before the deadline"))
	g.admitAll(g.state.AdmitWaiting(now))
	if id, ok := g.state.Halted(now); ok {
		if halt := g.halts[id]; halt != nil {
			delete(g.halts, id)
			halt()
		}
	}
}

// admit waits until the ticket is admitted or rejected. After admission the
// caller must call release. halt is called at most once, from another goroutine, when
// admitted work whose input has come to a halt must end; it is nil for other work.
func (g *gate) admit(ctx context.Context, t admission.Ticket, halt func()) (uint64, error) {
	t.ID = g.nextID.Add(1)
	o := offer{ticket: t, reply: make(chan error, 1), halt: halt}
	select {
	case g.offers <- o:
	case <-g.stopped:
		return 0, fault.New(fault.Draining, "the agent has stopped")
	}
	select {
	case err := <-o.reply:
		return t.ID, err
	case <-ctx.Done():
		g.sendUnlessStopped(g.withdrawals, t.ID)
		return 0, fault.New(fault.CallerGone, "caller disconnected").WithRan(fault.RanNo)
	}
}

// release returns the capacity that a ticket reserved.
func (g *gate) release(id uint64) { g.sendUnlessStopped(g.releases, id) }

// recordProgress records that a part of the input of arriving work was received.
func (g *gate) recordProgress(id uint64) { g.sendArrival(arrival{ticket: id}) }

// recordArrived records that the input of arriving work was received completely.
func (g *gate) recordArrived(id uint64) { g.sendArrival(arrival{ticket: id, complete: true}) }

func (g *gate) sendArrival(a arrival) {
	select {
	case g.arrivals <- a:
	case <-g.stopped:
	}
}

func (g *gate) sendUnlessStopped(ch chan<- uint64, id uint64) {
	select {
	case ch <- id:
	case <-g.stopped:
	}
}

// setClosing makes the gate reject new work, or accept it again.
func (g *gate) setClosing(closing bool) {
	select {
	case g.closing <- closing:
	case <-g.stopped:
	}
}
