package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/agent"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/link"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/routing"
	"github.com/gentianrail/gentianrail/worker"
)

// SilentAfter is how long an agent may send nothing while a request is with
// it. It sends a sign of life each agent.BeatInterval.
const SilentAfter = 3 * agent.BeatInterval

// upstream is one attempt of a request at one agent.
type upstream struct {
	entry   *Entry
	worker  worker.Worker
	conn    *link.Conn
	stream  pb.DRPCAgent_ServeClient
	id      string
	attempt uint32
	open    *pb.Open
	silence *time.Timer
	began   time.Time
	sum     *xxhash.Digest
	length  uint64
	settled bool // the routing table knows how it ended
	sent    bool // the agent may have sent the request to its target
}

// openUpstream sends the open frame to an agent. The error tells whether the
// request may have run.
func (e *Entry) openUpstream(ctx context.Context, w worker.Worker, id string, attempt uint32, open *pb.Open) (*upstream, error) {
	now := time.Now()
	u := &upstream{
		entry: e, worker: w, id: id, attempt: attempt, open: open, began: now, sum: xxhash.New(),
		sent: open.GetBodyEnded(), // from here on the agent may run the request
	}
	conn, err := e.pool.Take(ctx, now, w.Address)
	if err != nil {
		u.fail()
		return nil, fault.Wrap(fault.AgentLost, err, "connect to the agent of worker %s", w.ID).WithRan(fault.RanNo)
	}
	u.conn = conn
	u.silence = time.AfterFunc(SilentAfter, u.retire)
	if u.stream, err = pb.NewDRPCAgentClient(conn).Serve(ctx); err != nil {
		u.abandon()
		u.fail()
		return nil, fault.Wrap(fault.AgentLost, err, "open a request at worker %s", w.ID).WithRan(fault.RanNo)
	}
	if err := u.send(&pb.RequestFrame{Kind: &pb.RequestFrame_Open{Open: open}}); err != nil {
		u.abandon()
		u.fail()
		return nil, u.lost(err)
	}
	return u, nil
}

// retire closes a connection that has gone silent, with the idle ones to the
// same agent, which may be dead in the same way.
func (u *upstream) retire() {
	u.entry.log.Emit(event.ConnectionDead, event.Fields{"worker": u.worker.ID, "request": u.id}, "a connection went silent and is closed")
	_ = u.conn.Close()
	u.entry.pool.Drop(u.worker.Address)
}

func (u *upstream) send(f *pb.RequestFrame) error {
	f.RequestId = u.id
	f.Attempt = u.attempt
	return u.stream.Send(f)
}

var errCrossed = errors.New("an answer of another request came on the connection")

// recv returns the next frame that is not only a sign of life. A frame of
// another request or attempt breaks the connection.
func (u *upstream) recv() (*pb.AnswerFrame, error) {
	for {
		f, err := u.stream.Recv()
		if err != nil {
			return nil, err
		}
		u.silence.Reset(SilentAfter)
		if f.GetRequestId() != u.id || f.GetAttempt() != u.attempt {
			return nil, errCrossed
		}
		if l := f.GetLoad(); l != nil {
			u.report(l)
		}
		if _, beat := f.GetKind().(*pb.AnswerFrame_Beat); !beat {
			return f, nil
		}
	}
}

func (u *upstream) report(l *pb.Load) {
	now := time.Now()
	u.entry.router.with(func(t *routing.Table) {
		t.Reported(now, u.worker, int(l.GetSlotsUsed()), int(l.GetQueued()))
	})
}

// check takes a chunk into the answer's checksum.
func (u *upstream) check(chunk []byte) {
	u.length += uint64(len(chunk))
	_, _ = u.sum.Write(chunk)
}

// whole reports whether the end frame fits what was received.
func (u *upstream) whole(end *pb.AnswerEnd) bool {
	return end.GetLength() == u.length && end.GetChecksum() == u.sum.Sum64()
}

// finish gives the connection back after a complete exchange.
func (u *upstream) finish() {
	u.silence.Stop()
	if err := u.stream.Close(); err != nil {
		_ = u.conn.Close()
		return
	}
	u.entry.pool.Give(time.Now(), u.worker.Address, u.conn)
}

// refused gives the connection back, unless the agent still runs the request.
func (u *upstream) refused(r *pb.Refusal) {
	if fault.Code(r.GetCode()) == fault.RequestTimeout {
		u.abandon()
		return
	}
	u.finish()
}

// abandon closes the connection, so that nothing late can come on it.
func (u *upstream) abandon() {
	u.silence.Stop()
	_ = u.conn.Close()
}

// end notes that the request has left the worker.
func (u *upstream) end(note func(t *routing.Table, now time.Time, latency time.Duration)) {
	if u.settled {
		return
	}
	u.settled = true
	now := time.Now()
	u.entry.router.with(func(t *routing.Table) {
		t.Ended(u.worker)
		if note != nil {
			note(t, now, now.Sub(u.began))
		}
	})
}

func (u *upstream) succeed() {
	u.end(func(t *routing.Table, now time.Time, latency time.Duration) { t.Answered(now, u.worker, latency) })
}

func (u *upstream) fail() {
	ejected := false
	peers := u.entry.view.Candidates(u.open.GetTarget()).Len()
	u.end(func(t *routing.Table, now time.Time, latency time.Duration) {
		ejected = t.Failed(now, u.worker, latency, peers)
	})
	if ejected {
		u.entry.log.Emit(event.WorkerEjected, event.Fields{"worker": u.worker.ID}, "a worker failed several requests in a row and is left out")
	}
}

// lost returns the error of a connection that broke before the answer's end.
func (u *upstream) lost(cause error) *fault.Error {
	f := fault.Wrap(fault.AgentLost, cause, "the connection to worker %s broke", u.worker.ID)
	if !u.sent {
		return f.WithRan(fault.RanNo)
	}
	return f
}

func refusal(r *pb.Refusal) *fault.Error {
	return fault.New(fault.Code(r.GetCode()), "%s", r.GetMessage()).
		WithRan(fault.Ran(r.GetRan())).
		WithRetry(time.Duration(r.GetRetryAfter()))
}
