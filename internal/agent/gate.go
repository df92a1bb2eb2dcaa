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
}

// gate admits work to the worker. Only its goroutine, run, uses the admission
// state.
type gate struct {
	state       *admission.Gate
	offers      chan offer
	releases    chan uint64
	withdrawals chan uint64
	closing     chan bool             // true to close, false to open again
	waiting     map[uint64]chan error // reply channels of the queued tickets, by ticket ID
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
			g.admitAll(g.state.Release(time.Now(), id))
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

func (g *gate) offer(o offer) {
	verdict, err := g.state.Offer(time.Now(), o.ticket)
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
		g.waiting[id] <- err
		delete(g.waiting, id)
	}
}

// withdraw removes a ticket from the queue, or releases the ticket if it has
// been admitted.
func (g *gate) withdraw(id uint64) {
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
}

// admit waits until the ticket is admitted or rejected. After admission the
// caller must call release.
func (g *gate) admit(ctx context.Context, t admission.Ticket) (uint64, error) {
	t.ID = g.nextID.Add(1)
	o := offer{ticket: t, reply: make(chan error, 1)}
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
