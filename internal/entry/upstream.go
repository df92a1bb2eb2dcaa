package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/agent"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/link"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/routing"
	"github.com/gentianrail/gentianrail/worker"
)

// UnresponsiveTimeout is how long an agent that has a request may send no frame
// before the connection is closed. The agent sends a heartbeat each
// agent.HeartbeatInterval.
const UnresponsiveTimeout = 3 * agent.HeartbeatInterval

// upstream is one attempt of a request at one agent.
type upstream struct {
	entry             *Entry
	worker            worker.Worker
	conn              *link.Conn
	stream            pb.DRPCAgent_ServeClient
	id                string
	attempt           uint32
	open              *pb.Open
	unresponsiveTimer *time.Timer
	began             time.Time
	checksum          *xxhash.Digest
	length            uint64        // bytes of the answer received
	endRecorded       bool          // the routing table has recorded the end
	maybeSent         bool          // the agent may have sent the request to its target
	ahead             chan received // of size one; the frame that receiveAhead receives, nil without
}

// received is a frame, or the error in its place.
type received struct {
	frame *pb.AnswerFrame
	err   error
}

// openUpstream sends the open frame to an agent. The error says whether the
// request may have run.
func (e *Entry) openUpstream(ctx context.Context, w worker.Worker, id string, attempt uint32, open *pb.Open) (*upstream, error) {
	now := time.Now()
	u := &upstream{
		entry: e, worker: w, id: id, attempt: attempt, open: open, began: now, checksum: xxhash.New(),
		maybeSent: open.GetBodyEnded(), // with the complete body, the agent may run the request at once
	}
	conn, err := e.pool.Get(ctx, clock.Now(), w.Address)
	if err != nil {
		u.recordFailure()
		return nil, fault.Wrap(fault.AgentLost, err, "connect to the agent of worker %s", w.ID).WithRan(fault.RanNo)
	}
	u.conn = conn
	u.unresponsiveTimer = time.AfterFunc(UnresponsiveTimeout, u.closeUnresponsive)
	if u.stream, err = pb.NewDRPCAgentClient(conn).Serve(ctx); err != nil {
		u.closeConn()
		u.recordFailure()
		return nil, fault.Wrap(fault.AgentLost, err, "open a request stream to worker %s", w.ID).WithRan(fault.RanNo)
	}
	if err := u.send(&pb.RequestFrame{Kind: &pb.RequestFrame_Open{Open: open}}); err != nil {
		u.closeConn()
		u.recordFailure()
		return nil, u.connectionError(err)
	}
	return u, nil
}

// closeUnresponsive closes the connection to an unresponsive agent and the idle
// connections to the same agent, which may be unresponsive as well.
func (u *upstream) closeUnresponsive() {
	u.entry.log.Emit(event.ConnectionDead, event.Fields{"worker": u.worker.ID, "request": u.id}, "agent unresponsive; closing its connections")
	_ = u.conn.Close()
	u.entry.pool.CloseIdle(u.worker.Address)
}

func (u *upstream) send(f *pb.RequestFrame) error {
	f.RequestId = u.id
	f.Attempt = u.attempt
	return u.stream.Send(f)
}

var errFrameMismatch = errors.New("answer frame belongs to another request or attempt")

// recv returns the next frame that is not a heartbeat. A frame of another
// request or attempt is an error, after which the connection is unusable.
func (u *upstream) recv() (*pb.AnswerFrame, error) {
	for {
		f, err := u.stream.Recv()
		if err != nil {
			return nil, err
		}
		u.unresponsiveTimer.Reset(UnresponsiveTimeout)
		if f.GetRequestId() != u.id || f.GetAttempt() != u.attempt {
			return nil, errFrameMismatch
		}
		if l := f.GetLoad(); l != nil {
			u.recordLoad(l)
		}
		if _, beat := f.GetKind().(*pb.AnswerFrame_Beat); !beat {
			return f, nil
		}
	}
}

// receiveAhead receives the next frame while the caller's body is sent, and calls stop if
// it is a refusal or an error. The frame must be taken by next or refusedAhead.
func (u *upstream) receiveAhead(stop func()) {
	ahead := make(chan received, 1)
	u.ahead = ahead
	go func() {
		f, err := u.recv()
		if err != nil || f.GetRefusal() != nil {
			stop() // before the request can end
		}
		ahead <- received{frame: f, err: err}
	}()
}

// next returns the frame that was received ahead, or the next one.
func (u *upstream) next() (*pb.AnswerFrame, error) {
	if u.ahead == nil {
		return u.recv()
	}
	r := <-u.ahead
	u.ahead = nil
	return r.frame, r.err
}

// refusedAhead returns the refusal that was received ahead, or nil. The connection must
// be closed.
func (u *upstream) refusedAhead() *pb.Refusal {
	if u.ahead == nil {
		return nil
	}
	f, err := u.next()
	if err != nil {
		return nil
	}
	return f.GetRefusal()
}

func (u *upstream) recordLoad(l *pb.Load) {
	now := time.Now()
	u.entry.router.withTable(func(t *routing.Table) {
		t.RecordLoad(now, u.worker, int(l.GetSlotsUsed()), int(l.GetQueued()))
	})
}

// addChunk adds a chunk to the checksum and the length of the answer.
func (u *upstream) addChunk(chunk []byte) {
	u.length += uint64(len(chunk))
	_, _ = u.checksum.Write(chunk)
}

// isComplete reports whether the end frame has the length and checksum of the
// received bytes.
func (u *upstream) isComplete(end *pb.AnswerEnd) bool {
	return end.GetLength() == u.length && end.GetChecksum() == u.checksum.Sum64()
}

// releaseConn returns the connection to the pool after a complete exchange.
func (u *upstream) releaseConn() {
	u.unresponsiveTimer.Stop()
	if err := u.stream.Close(); err != nil {
		_ = u.conn.Close()
		return
	}
	u.entry.pool.Put(clock.Now(), u.worker.Address, u.conn)
}

// releaseAfterRejection returns the connection to the pool. After a request
// timeout it closes the connection, since the agent still runs the request.
func (u *upstream) releaseAfterRejection(r *pb.Refusal) {
	if fault.Code(r.GetCode()) == fault.RequestTimeout {
		u.closeConn()
		return
	}
	u.releaseConn()
}

// closeConn closes the connection, so that no late frame can arrive on it.
func (u *upstream) closeConn() {
	u.unresponsiveTimer.Stop()
	_ = u.conn.Close()
}

// recordEnd records in the routing table that the request is no longer in
// flight, and calls record, unless nil, for the outcome. Only the first call
// has an effect.
func (u *upstream) recordEnd(record func(t *routing.Table, now time.Time, latency time.Duration)) {
	if u.endRecorded {
		return
	}
	u.endRecorded = true
	now := time.Now()
	u.entry.router.withTable(func(t *routing.Table) {
		t.RecordEnded(u.worker)
		if record != nil {
			record(t, now, now.Sub(u.began))
		}
	})
}

func (u *upstream) recordSuccess() {
	u.recordEnd(func(t *routing.Table, now time.Time, latency time.Duration) { t.RecordSuccess(now, u.worker, latency) })
}

func (u *upstream) recordFailure() {
	ejected := false
	peers := u.entry.view.Candidates(u.open.GetTarget()).Len()
	u.recordEnd(func(t *routing.Table, now time.Time, latency time.Duration) {
		ejected = t.RecordFailure(now, u.worker, latency, peers)
	})
	if ejected {
		u.entry.log.Emit(event.WorkerEjected, event.Fields{"worker": u.worker.ID}, "worker ejected after consecutive failures")
	}
}

// connectionError returns the error for a connection that broke before the end
// of the answer.
func (u *upstream) connectionError(cause error) *fault.Error {
	f := fault.Wrap(fault.AgentLost, cause, "connection to worker %s broke", u.worker.ID)
	if !u.maybeSent {
		return f.WithRan(fault.RanNo)
	}
	return f
}

func rejectionError(r *pb.Refusal) *fault.Error {
	return fault.New(fault.Code(r.GetCode()), "%s", r.GetMessage()).
		WithRan(fault.Ran(r.GetRan())).
		WithRetryAfter(time.Duration(r.GetRetryAfter()))
}
