package runner

import (
	"context"
	"errors"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// Times of the stream to the leader.
const (
	_reportEvery  = 400 * time.Millisecond // between two reports that renew the lease
	_orderSilence = 900 * time.Millisecond // without an order until the stream counts as dead; each report is answered
	_attachLimit  = 400 * time.Millisecond // to open a stream; a frozen machine does not answer
	_attachPause  = 60 * time.Millisecond  // between two tries to find the leader
)

var errSilentLeader = errors.New("the leader has not answered a report")

// reportLoop keeps a stream to the leader.
func (r *Runner) reportLoop(ctx context.Context) {
	address := r.leaders.Any()
	for ctx.Err() == nil {
		if !r.ready() {
			r.awaitReport(ctx, _reportEvery)
			continue
		}
		next, err := r.serveLeader(ctx, address)
		if err != nil && ctx.Err() == nil {
			r.log.Emit(event.ControllerLost, event.Fields{"address": address, "error": err.Error()}, "the stream to a controller ended")
		}
		if next == "" || next == address {
			next = r.leaders.Any()
		}
		address = next
		clock.Sleep(ctx, _attachPause)
	}
}

// ready reports whether there is a worker to tell of. Its runs may not be known
// yet: a worker refuses to list them to an agent that does not know the term.
func (r *Runner) ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life != (Life{})
}

func (r *Runner) awaitReport(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-r.wakeReport:
	case <-t.C:
	}
}

// serveLeader reports to one controller for as long as it answers and the
// worker's life lasts. It returns the address of the leader, if the controller
// names another one.
func (r *Runner) serveLeader(ctx context.Context, address string) (leader string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dial, done := context.WithTimeout(ctx, _attachLimit)
	stream, err := r.leaders.Attach(ctx, dial, address)
	done()
	if err != nil {
		return "", err
	}
	orders := make(chan *pb.AgentOrder, 1)
	r.tasks.Go(func() { receive(ctx, stream, orders) })
	defer stream.Close()
	life := r.currentLife()
	s := session{life: life}
	return r.converse(ctx, stream, &s, orders)
}

func (r *Runner) currentLife() Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life
}

// session is what a stream's leader has been told.
type session struct {
	life      Life
	complete  bool         // the whole lists were sent
	announced Announcement // as sent last
	departed  bool         // as sent last
	silent    bool         // as sent last
	sentEnd   uint64       // highest number of an end that was sent
	refused   map[submission.RunID]bool
}

func receive(ctx context.Context, stream *control.AgentStream, out chan<- *pb.AgentOrder) {
	defer close(out)
	for {
		o, err := stream.Recv()
		if err != nil {
			return
		}
		select {
		case out <- o:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) converse(ctx context.Context, stream *control.AgentStream, s *session, orders <-chan *pb.AgentOrder) (string, error) {
	heard := clock.Now()
	limit := _attachLimit // of the first answer; a frozen controller takes the connection and says nothing
	due := time.NewTimer(0)
	defer due.Stop()
	silence := time.NewTimer(limit)
	defer silence.Stop()
	for {
		select {
		case <-ctx.Done():
			return "", nil
		case o, ok := <-orders:
			if !ok {
				return "", errSilentLeader
			}
			if o.GetNotLeader() {
				return o.GetLeaderAddress(), nil
			}
			heard, limit = clock.Now(), _orderSilence
			silence.Reset(limit)
			r.mu.Lock()
			if r.life == s.life {
				r.obey(context.WithoutCancel(ctx), o)
			}
			r.mu.Unlock()
			continue
		case <-silence.C:
			return "", errSilentLeader
		case <-r.wakeReport:
		case <-due.C:
		}
		if clock.Now().Sub(heard) > limit {
			return "", errSilentLeader
		}
		report, over := r.nextReport(s)
		if err := stream.Send(report); err != nil {
			return "", err
		}
		if over {
			wake(r.wakeReport)
			return "", nil
		}
		due.Reset(_reportEvery)
	}
}

// nextReport returns what the leader has not been told. over tells that the
// life has ended, which the report says.
func (r *Runner) nextReport(s *session) (report *pb.AgentReport, over bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report = &pb.AgentReport{Sent: clock.Now().UnixNano(), Term: r.term, Strains: r.strains, Loads: r.loads}
	if r.life != s.life {
		report.Gone = true
		return report, true
	}
	if !sameAnnouncement(s.announced, r.announce) || s.departed != r.departed || s.silent != r.silent {
		report.Worker = r.describe()
		s.announced, s.departed, s.silent = r.announce, r.departed, r.silent
	}
	if !r.listed {
		return report, false
	}
	if !s.complete {
		s.complete = true
		s.refused = make(map[submission.RunID]bool)
		report.Complete = true
		for run, o := range r.orders {
			if !o.started {
				report.Ordered = append(report.Ordered, wire.EncodeRun(run))
				continue
			}
			report.Active = append(report.Active, r.tellOf(o))
		}
	} else {
		for run := range r.unsent {
			if o := r.orders[run]; o != nil {
				report.Active = append(report.Active, r.tellOf(o))
			}
		}
	}
	clear(r.unsent)
	r.addEnds(s, report)
	return report, false
}

// tellOf returns what the leader should know of an active run. The lock is held.
func (r *Runner) tellOf(o *order) *pb.ListedRun {
	return &pb.ListedRun{
		Run: wire.EncodeRun(o.run), Saved: r.saved[o.run], Share: int64(o.share), Progress: int64(o.percent), Stalled: o.stalled,
	}
}

func (r *Runner) addEnds(s *session, report *pb.AgentReport) {
	for _, e := range r.ends {
		if e.Number <= s.sentEnd {
			continue
		}
		s.sentEnd = e.Number
		report.Ends = append(report.Ends, &pb.ListedEnd{
			Number: e.Number, Run: wire.EncodeRun(e.Run), How: uint32(e.How), Saved: e.Saved,
		})
	}
	for run, e := range r.refused {
		if !s.refused[run] {
			s.refused[run] = true
			report.Refused = append(report.Refused, wire.EncodeRunEnd(e))
		}
	}
	for run := range s.refused {
		if _, ok := r.refused[run]; !ok {
			delete(s.refused, run)
		}
	}
}

// describe returns the worker as the leader should see it. The lock is held.
func (r *Runner) describe() *pb.WorkerLife {
	a := r.announce
	return &pb.WorkerLife{
		Life: r.key(r.life), Service: a.Service, Zone: a.Zone, Rack: a.Rack, Labels: a.Labels, Machine: a.Machine,
		Capacity: wire.EncodeResources(a.Capacity), Leaving: a.Draining || r.departed, Remaining: int64(a.Remaining), Silent: r.silent,
	}
}

func sameAnnouncement(a, b Announcement) bool {
	return a.ID == b.ID && a.Born == b.Born && a.Service == b.Service && a.Draining == b.Draining && a.Capacity == b.Capacity
}
