package runner

import (
	"context"
	"errors"
	"math/rand/v2"
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
	_reportInterval = 400 * time.Millisecond // between reports that renew the lease
	_orderTimeout   = 900 * time.Millisecond // without an order until the stream is closed; each report gets one
	_attachTimeout  = 400 * time.Millisecond // to open a stream; a frozen machine does not answer
	_minAttachRetry = 60 * time.Millisecond  // between the first attempts to find the leader
	_maxAttachRetry = 300 * time.Millisecond // between later ones; a controller that knows no leader lets agents wait
)

var errLeaderUnresponsive = errors.New("the leader has not answered a report")

// reportLoop keeps a stream to the leader open.
func (r *Runner) reportLoop(ctx context.Context) {
	var rotation control.Rotation
	address := r.controllers.NextAddress(&rotation)
	retry, redirected := _minAttachRetry, false
	for ctx.Err() == nil {
		if !r.hasWorker() {
			r.waitForReport(ctx, _reportInterval)
			continue
		}
		next, attached, err := r.runStream(ctx, address)
		if err != nil && ctx.Err() == nil {
			r.log.Emit(event.ControllerLost, event.Fields{"address": address, "error": err.Error()}, "controller stream ended")
		}
		if attached {
			retry = _minAttachRetry
		}
		if next != "" && next != address && !redirected {
			address, redirected = next, true // at once, but not from one controller to the other again and again
			continue
		}
		redirected = false
		if next == "" || next == address {
			next = r.controllers.NextAddress(&rotation)
		}
		address = next
		// The jitter keeps agents that lost the leader together from asking together.
		clock.Sleep(ctx, retry/2+rand.N(retry))
		retry = min(2*retry, _maxAttachRetry)
	}
}

// hasWorker reports whether the worker has announced itself. The worker's runs
// may be unknown: a worker lists its runs only to an agent that knows the term.
func (r *Runner) hasWorker() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation != (Incarnation{})
}

func (r *Runner) waitForReport(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-r.wakeReport:
	case <-t.C:
	}
}

// runStream reports to one controller while the controller answers and the
// worker's incarnation lasts. It returns the leader's address if the controller
// names another leader, and whether the controller was the leader.
func (r *Runner) runStream(ctx context.Context, address string) (leader string, attached bool, err error) {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(streamCtx, _attachTimeout)
	stream, err := r.controllers.Attach(streamCtx, dialCtx, address)
	cancelDial()
	if err != nil {
		return "", false, err
	}
	orders := make(chan *pb.AgentOrder, 1)
	r.goroutines.Go(func() { receiveOrders(streamCtx, stream, orders) })
	defer stream.Close()
	incarnation := r.currentIncarnation()
	s := session{incarnation: incarnation, inferredEnds: make(map[submission.RunID]bool)}
	leader, err = r.exchangeReports(ctx, stream, &s, orders)
	return leader, s.attached, err
}

func (r *Runner) currentIncarnation() Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// session is the state that has been sent on one stream.
type session struct {
	incarnation  Incarnation
	attached     bool                      // the leader has granted a lease
	complete     bool                      // all runs and ends were sent once
	announced    Announcement              // as sent last
	departed     bool                      // as sent last
	unresponsive bool                      // as sent last
	lastSentEnd  uint64                    // number of the latest end that was sent
	inferredEnds map[submission.RunID]bool // sent, and not recorded by the leader yet
}

func receiveOrders(ctx context.Context, stream *control.AgentStream, out chan<- *pb.AgentOrder) {
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

func (r *Runner) exchangeReports(ctx context.Context, stream *control.AgentStream, s *session, orders <-chan *pb.AgentOrder) (string, error) {
	lastOrderAt := clock.Now()
	// Until the first answer: a frozen controller accepts the connection and does
	// not answer.
	orderTimeout := _attachTimeout
	reportTimer := time.NewTimer(0)
	defer reportTimer.Stop()
	orderTimer := time.NewTimer(orderTimeout)
	defer orderTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return "", nil
		case o, ok := <-orders:
			if !ok {
				return "", errLeaderUnresponsive
			}
			if o.GetNotLeader() {
				return o.GetLeaderAddress(), nil
			}
			lastOrderAt, orderTimeout = clock.Now(), _orderTimeout
			s.attached = s.attached || o.GetLease() > 0
			orderTimer.Reset(orderTimeout)
			r.mu.Lock()
			if r.incarnation == s.incarnation {
				r.applyOrder(ctx, o)
			}
			r.mu.Unlock()
			continue
		case <-orderTimer.C:
			return "", errLeaderUnresponsive
		case <-r.wakeReport:
		case <-reportTimer.C:
		}
		if clock.Now().Sub(lastOrderAt) > orderTimeout {
			return "", errLeaderUnresponsive
		}
		report, ended := r.nextReport(s)
		if err := stream.Send(report); err != nil {
			return "", err
		}
		if ended {
			wake(r.wakeReport)
			return "", nil
		}
		reportTimer.Reset(_reportInterval)
	}
}

// nextReport returns the changes since the session's last report. ended is true
// if the agent has taken up another incarnation, which the report states.
func (r *Runner) nextReport(s *session) (report *pb.AgentReport, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report = &pb.AgentReport{
		Sent: clock.Now().UnixNano(), WallClock: time.Now().UnixNano(), Term: r.token.term, Agent: r.began.UnixNano(), Strains: r.tailLatencies, Loads: r.loads,
	}
	if r.incarnation != s.incarnation {
		r.addInferredEnds(s, report)
		report.Gone = true
		return report, true
	}
	if !sameAnnouncement(s.announced, r.announcement) || s.departed != r.departed || s.unresponsive != r.unresponsive {
		report.Worker = r.encodeWorker()
		s.announced, s.departed, s.unresponsive = r.announcement, r.departed, r.unresponsive
	}
	if !r.listed {
		r.addInferredEnds(s, report) // of an earlier incarnation
		return report, false
	}
	if !r.isSettled() {
		r.addEnds(s, report) // further ones are listed when these are recorded
		return report, false
	}
	if !r.hasLateStarts() {
		report.ListedTerm, report.ListedAttachment = r.listedToken.term, r.listedToken.attachment
	}
	if !s.complete {
		s.complete = true
		report.Complete = true
		for run, tr := range r.runs {
			if !tr.confirmed {
				report.Ordered = append(report.Ordered, wire.EncodeRun(run))
				continue
			}
			report.Active = append(report.Active, r.encodeActiveRun(tr))
		}
	} else {
		for run := range r.unreported {
			if tr := r.runs[run]; tr != nil && tr.confirmed {
				report.Active = append(report.Active, r.encodeActiveRun(tr))
			}
		}
	}
	clear(r.unreported)
	r.addEnds(s, report)
	return report, false
}

// encodeActiveRun encodes an active run for a report. r.mu must be held.
func (r *Runner) encodeActiveRun(tr *trackedRun) *pb.ListedRun {
	settlesIn := r.settlesIn(clock.Now(), tr)
	return &pb.ListedRun{
		Run: wire.EncodeRun(tr.run), Saved: r.checkpoints[tr.run], Share: int64(tr.share), Progress: int64(tr.progress), Stalled: tr.stalled,
		Settled: settlesIn == 0, SettlesIn: int64(settlesIn),
	}
}

// addEnds adds the ends that the session has not sent yet. r.mu must be held.
func (r *Runner) addEnds(s *session, report *pb.AgentReport) {
	for _, e := range r.ends {
		if e.Number <= s.lastSentEnd {
			continue
		}
		s.lastSentEnd = e.Number
		report.Ends = append(report.Ends, &pb.ListedEnd{
			Number: e.Number, Run: wire.EncodeRun(e.Run), How: uint32(e.Reason), Saved: e.Checkpoint, LateFor: lateFor(clock.Now(), e.callsUntil),
		})
	}
	r.addInferredEnds(s, report)
}

// addInferredEnds adds the certain inferred ends that the session has not sent yet. r.mu
// must be held.
func (r *Runner) addInferredEnds(s *session, report *pb.AgentReport) {
	for run, e := range r.inferredEnds {
		if !(e.reported && s.inferredEnds[run]) && r.isCertain(e) {
			e.reported, s.inferredEnds[run] = true, true
			r.inferredEnds[run] = e
			end := e.End
			end.LateFor = time.Duration(lateFor(clock.Now(), e.callsUntil))
			report.Refused = append(report.Refused, wire.EncodeRunEnd(end))
		}
	}
	for run := range s.inferredEnds {
		if _, ok := r.inferredEnds[run]; !ok {
			delete(s.inferredEnds, run)
		}
	}
}

// encodeWorker encodes the worker's state for a report. r.mu must be held.
func (r *Runner) encodeWorker() *pb.WorkerLife {
	a := r.announcement
	warmUpLeft := time.Duration(0)
	if !a.warmAt.IsZero() {
		warmUpLeft = max(0, a.warmAt.Sub(clock.Now()))
	}
	return &pb.WorkerLife{
		WarmUpLeft: int64(warmUpLeft), WarmUp: int64(r.warmUp),
		Life: r.incarnationName(r.incarnation), Service: a.Service, Zone: a.Zone, Rack: a.Rack, Labels: a.Labels, Machine: a.Machine,
		Capacity: wire.EncodeResources(a.Capacity), Leaving: r.isLeaving(), Remaining: int64(a.Remaining), Silent: r.unresponsive,
	}
}

// _warmUpTolerance is the difference between two announced ends of a warm-up that is not
// reported: announcements take different times to arrive.
const _warmUpTolerance = 500 * time.Millisecond

func sameAnnouncement(a, b Announcement) bool {
	return a.ID == b.ID && a.StartTimeMS == b.StartTimeMS && a.Service == b.Service && a.Draining == b.Draining && a.Capacity == b.Capacity &&
		a.warmAt.Sub(b.warmAt).Abs() <= _warmUpTolerance
}
