package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// Timing and limits of watches.
const (
	_minResumeDelay   = 100 * time.Millisecond // before the first resumption of a watch; doubles with each one
	_maxResumeDelay   = 2 * time.Second
	_maxEventSize     = 1 << 20 // bytes
	_resetEvent       = "event: gentianrail-reset\ndata: {}\n\n"
	_heartbeatComment = ": heartbeat\n\n"
	_headerLastID     = "Last-Event-Id"
)

// watch is a long-lived stream of server-sent events to one caller. When the
// worker, its agent or the connection is lost, another worker continues the
// stream after the last event that the caller received.
type watch struct {
	entry        *Entry
	call         *call
	lastID       string
	mu           sync.Mutex // guards writes to the caller
	flush        func() error
	partialEvent []byte // bytes of an incomplete event
}

// serveWatch handles a watch until it ends.
func (e *Entry) serveWatch(w http.ResponseWriter, r *http.Request) {
	decl, err := e.lookUpEntry(r, catalogue.Watch)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	if e.draining.Load() {
		web.WriteFault(w, fault.New(fault.Draining, "entry instance is draining"))
		return
	}
	end, err := web.BeginLasting(r)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	defer end()
	c := &call{entry: e, decl: decl, w: w, r: r, id: uuid.NewString(), idempotent: true, began: time.Now()}
	c.path = "/" + web.PathValue(r, "path")
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	wt := &watch{entry: e, call: c, lastID: r.Header.Get(_headerLastID), flush: http.NewResponseController(w).Flush}
	w.Header().Set(HeaderRequestID, c.id)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(e.watchesCtx, cancel)
	defer stop()
	wt.run(ctx)
}

// errWatchEnded means that the watch has ended and must not be resumed: the target
// ended it, or the caller has disconnected.
var errWatchEnded = errors.New("watch ended")

func (w *watch) run(ctx context.Context) {
	done := make(chan struct{})
	var heartbeats sync.WaitGroup
	defer heartbeats.Wait()
	defer close(done)
	var resume resumption
	for attempt := uint32(1); ctx.Err() == nil; attempt++ {
		w.call.deadline = time.Now().Add(w.call.decl.Limits().RequestTimeout)
		previousID, opened := w.lastID, clock.Now()
		err := w.watchWorker(ctx, attempt, func() { heartbeats.Go(func() { w.sendHeartbeats(done) }) })
		if ctx.Err() != nil || errors.Is(err, errWatchEnded) {
			return
		}
		if !w.call.headSent {
			if attempt <= uint32(w.entry.cfg.Retries) && w.call.canRetry(ctx, err) {
				continue
			}
			web.WriteFault(w.call.w, err)
			return
		}
		w.entry.log.Emit(event.WatchMoved, event.Fields{"request": w.call.id, "last_id": w.lastID, "error": err.Error()},
			"watch lost its worker; resuming")
		w.partialEvent = nil
		advanced := w.lastID != previousID
		if advanced {
			w.call.triedWorkers = nil
		}
		if fault.CodeOf(err) == fault.NoTarget {
			w.call.triedWorkers = nil
		}
		if !sleep(ctx, resume.next(clock.Now().Sub(opened), advanced, err)) {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// sendHeartbeats sends comment lines, so that the caller can distinguish an idle
// watch from a broken connection.
func (w *watch) sendHeartbeats(done <-chan struct{}) {
	t := time.NewTicker(time.Duration(w.entry.cfg.WatchHeartbeat))
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			if w.write([]byte(_heartbeatComment)) != nil {
				return
			}
		}
	}
}

func (w *watch) write(p []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.call.w.Write(p); err != nil {
		return err
	}
	return w.flush()
}

// watchWorker opens the watch at one worker and forwards its stream until the
// stream ends.
func (w *watch) watchWorker(ctx context.Context, attempt uint32, onStart func()) error {
	c := w.call
	now := time.Now()
	wk, ok := w.entry.router.pickWorker(now, w.entry.zone, w.entry.view.Candidates(c.decl.Target()), c.triedWorkers)
	if !ok {
		return fault.New(fault.NoTarget, "no worker with target %q accepts watches", c.decl.Target())
	}
	c.triedWorkers = append(c.triedWorkers, wk.ID)
	u, err := w.entry.openUpstream(ctx, wk, c.id, attempt, w.openFrame(now))
	if err != nil {
		return err
	}
	defer u.closeConn()
	defer u.recordEnd(nil)
	f, err := u.recv()
	if err != nil {
		u.recordFailure()
		return u.connectionError(err)
	}
	switch k := f.GetKind().(type) {
	case *pb.AnswerFrame_Refusal:
		c.recordRejection(u, k.Refusal)
		return rejectionError(k.Refusal)
	case *pb.AnswerFrame_Head:
		if err := w.forwardHead(k.Head, onStart); err != nil {
			return err
		}
		return w.forwardEvents(u)
	case *pb.AnswerFrame_Whole:
		if err := w.forwardHead(k.Whole.GetHead(), onStart); err != nil {
			return err
		}
		if err := w.forwardChunk(k.Whole.GetBody()); err != nil {
			return err
		}
		if w.call.status != http.StatusOK {
			return errWatchEnded
		}
		return fault.Wrap(fault.TargetFailed, io.EOF, "target closed the watch")
	}
	return fault.New(fault.AnswerBroken, "worker %s sent an unexpected frame", wk.ID)
}

func (w *watch) openFrame(now time.Time) *pb.Open {
	o := w.call.openFrame(now)
	o.Watch = true
	o.Hold = false
	o.BodyLength = 0
	o.BodyEnded = true
	o.Headers = slices.DeleteFunc(o.Headers, func(h *pb.Header) bool {
		return http.CanonicalHeaderKey(h.GetName()) == _headerLastID || h.GetName() == "Accept"
	})
	o.Headers = append(o.Headers, &pb.Header{Name: "Accept", Value: []byte("text/event-stream")})
	if w.lastID != "" {
		o.Headers = append(o.Headers, &pb.Header{Name: "Last-Event-ID", Value: []byte(w.lastID)})
	}
	return o
}

// forwardHead sends the head of the first answer to the caller. A target that
// answers a resumed watch with 410 Gone cannot continue after the last event, so
// the caller gets a reset event and the watch starts over. A target that answers
// with 204 No Content ends the watch.
func (w *watch) forwardHead(h *pb.AnswerHead, onStart func()) error {
	status := int(h.GetStatus())
	if !w.call.headSent {
		for _, line := range h.GetHeaders() {
			if !strings.EqualFold(line.GetName(), "Content-Length") {
				w.call.w.Header().Add(line.GetName(), string(line.GetValue()))
			}
		}
		w.call.headSent = true
		w.call.status = status
		w.call.w.WriteHeader(status)
		if err := w.flush(); err != nil {
			return fault.Wrap(fault.CallerGone, err, "caller disconnected")
		}
		if status == http.StatusOK {
			onStart()
		}
		return nil
	}
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNoContent:
		return errWatchEnded
	case status == http.StatusGone:
		w.lastID = ""
		if err := w.write([]byte(_resetEvent)); err != nil {
			return errWatchEnded
		}
	}
	return fault.New(fault.TargetFailed, "target answered the resumed watch with status %d", status)
}

// forwardEvents forwards complete events to the caller until the stream ends.
func (w *watch) forwardEvents(u *upstream) error {
	for {
		f, err := u.recv()
		if err != nil {
			return u.connectionError(err)
		}
		switch k := f.GetKind().(type) {
		case *pb.AnswerFrame_Chunk:
			u.addChunk(k.Chunk)
			if err := w.forwardChunk(k.Chunk); err != nil {
				return err
			}
		case *pb.AnswerFrame_End:
			if w.call.status != http.StatusOK {
				return errWatchEnded
			}
			return fault.Wrap(fault.TargetFailed, io.EOF, "target closed the watch")
		case *pb.AnswerFrame_Refusal:
			return rejectionError(k.Refusal)
		default:
			return fault.New(fault.AnswerBroken, "worker %s sent an unexpected frame", u.worker.ID)
		}
	}
}

// forwardChunk sends the complete events among the received bytes to the caller
// and buffers the rest. An answer with a status other than 200 is not an event
// stream and is forwarded unchanged.
func (w *watch) forwardChunk(chunk []byte) error {
	if w.call.status != http.StatusOK {
		if err := w.write(chunk); err != nil {
			return errWatchEnded
		}
		return nil
	}
	w.partialEvent = append(w.partialEvent, chunk...)
	end := bytes.LastIndex(w.partialEvent, []byte("\n\n"))
	if end < 0 {
		if len(w.partialEvent) > _maxEventSize {
			return fault.New(fault.AnswerBroken, "target sent an event of more than %d bytes", _maxEventSize)
		}
		return nil
	}
	events := w.partialEvent[:end+2]
	w.recordLastID(events)
	if err := w.write(events); err != nil {
		return errWatchEnded
	}
	w.partialEvent = append([]byte(nil), w.partialEvent[end+2:]...)
	return nil
}

// recordLastID stores the identifier of the last event.
func (w *watch) recordLastID(events []byte) {
	for _, line := range bytes.Split(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			w.lastID = strings.TrimSpace(string(id))
		}
	}
}
