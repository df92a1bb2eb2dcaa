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
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// Timing and bounds of watches.
const (
	_watchPause     = 100 * time.Millisecond // before a watch is resumed elsewhere, at first
	_watchPauseMost = 2 * time.Second
	_mostEvent      = 1 << 20 // bytes of one event
	_resetEvent     = "event: gentianrail-reset\ndata: {}\n\n"
	_heartbeat      = ": heartbeat\n\n"
	_headerLastID   = "Last-Event-Id"
)

// watch keeps a standing stream of server-sent events to one caller. When the
// worker, its agent or the connection is lost, the stream goes on from another
// worker after the last event that the caller got.
type watch struct {
	entry   *Entry
	call    *call
	lastID  string
	mu      sync.Mutex // guards writes to the caller
	flush   func() error
	partial []byte // bytes of an event that is not complete yet
}

// watch answers a standing watch.
func (e *Entry) watch(w http.ResponseWriter, r *http.Request) {
	decl, err := e.lookUp(r, catalogue.Watch)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	if e.leaving.Load() {
		web.WriteFault(w, fault.New(fault.Draining, "this entry instance is leaving"))
		return
	}
	c := &call{entry: e, decl: decl, w: w, r: r, id: uuid.NewString(), idempotent: true, began: time.Now()}
	c.path = "/" + web.Var(r, "path")
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	wt := &watch{entry: e, call: c, lastID: r.Header.Get(_headerLastID), flush: http.NewResponseController(w).Flush}
	w.Header().Set(HeaderRequestID, c.id)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(e.watches, cancel)
	defer stop()
	wt.run(ctx)
}

// errWatchEnded means that the target ended the watch in an orderly way.
var errWatchEnded = errors.New("the target ended the watch")

func (w *watch) run(ctx context.Context) {
	beats := make(chan struct{})
	var beating sync.WaitGroup
	defer beating.Wait()
	defer close(beats)
	pause := _watchPause
	for attempt := uint32(1); ctx.Err() == nil; attempt++ {
		w.call.deadline = time.Now().Add(w.call.decl.Limits().RequestTimeout)
		before := w.lastID
		err := w.once(ctx, attempt, func() { beating.Go(func() { w.beat(beats) }) })
		if ctx.Err() != nil || errors.Is(err, errWatchEnded) {
			return
		}
		if !w.call.started {
			if attempt <= uint32(w.entry.cfg.Retries) && w.call.mayRetry(ctx, err) {
				continue
			}
			web.WriteFault(w.call.w, err)
			return
		}
		w.entry.log.Emit(event.WatchMoved, event.Fields{"request": w.call.id, "last_id": w.lastID, "error": err.Error()},
			"a watch lost its worker and is resumed elsewhere")
		w.partial = nil
		if w.lastID != before {
			pause = _watchPause
			w.call.tried = nil
		}
		if fault.CodeOf(err) == fault.NoTarget {
			w.call.tried = nil
		}
		if !sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, _watchPauseMost)
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

// beat sends comment lines, so that the caller can tell a quiet watch from a
// dead one.
func (w *watch) beat(done <-chan struct{}) {
	t := time.NewTicker(time.Duration(w.entry.cfg.WatchHeartbeat))
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			if w.write([]byte(_heartbeat)) != nil {
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

// once follows one worker until the stream ends.
func (w *watch) once(ctx context.Context, attempt uint32, started func()) error {
	c := w.call
	now := time.Now()
	wk, ok := w.entry.router.pick(now, w.entry.zone, w.entry.view.Candidates(c.decl.Target()), c.tried)
	if !ok {
		return fault.New(fault.NoTarget, "no worker with target %q takes watches now", c.decl.Target())
	}
	c.tried = append(c.tried, wk.ID)
	u, err := w.entry.openUpstream(ctx, wk, c.id, attempt, w.open(now))
	if err != nil {
		return err
	}
	defer u.abandon()
	defer u.end(nil)
	f, err := u.recv()
	if err != nil {
		u.fail()
		return u.lost(err)
	}
	switch k := f.GetKind().(type) {
	case *pb.AnswerFrame_Refusal:
		c.noteRefusal(u, k.Refusal)
		return refusal(k.Refusal)
	case *pb.AnswerFrame_Head:
		if err := w.head(k.Head, started); err != nil {
			return err
		}
		return w.follow(u)
	case *pb.AnswerFrame_Whole:
		if err := w.head(k.Whole.GetHead(), started); err != nil {
			return err
		}
		if err := w.pass(k.Whole.GetBody()); err != nil {
			return err
		}
		if w.call.status != http.StatusOK {
			return errWatchEnded
		}
		return fault.Wrap(fault.TargetFailed, io.EOF, "the target closed the watch")
	}
	return fault.New(fault.AnswerBroken, "worker %s sent a frame out of order", wk.ID)
}

func (w *watch) open(now time.Time) *pb.Open {
	o := w.call.open(now)
	o.Watch = true
	o.Hold = false
	o.BodyLength = 0
	o.BodyEnded = true
	o.Headers = slices.DeleteFunc(o.Headers, func(h *pb.Header) bool {
		return http.CanonicalHeaderKey(h.GetName()) == _headerLastID || h.GetName() == "Accept"
	})
	o.Headers = append(o.Headers, &pb.Header{Name: "Accept", Value: "text/event-stream"})
	if w.lastID != "" {
		o.Headers = append(o.Headers, &pb.Header{Name: "Last-Event-ID", Value: w.lastID})
	}
	return o
}

// head passes the first answer's head on. A later target that does not take
// the resume position makes the caller start afresh.
func (w *watch) head(h *pb.AnswerHead, started func()) error {
	status := int(h.GetStatus())
	if !w.call.started {
		for _, line := range h.GetHeaders() {
			if !strings.EqualFold(line.GetName(), "Content-Length") {
				w.call.w.Header().Add(line.GetName(), line.GetValue())
			}
		}
		w.call.started = true
		w.call.status = status
		w.call.w.WriteHeader(status)
		if err := w.flush(); err != nil {
			return fault.Wrap(fault.CallerGone, err, "the caller has gone")
		}
		if status == http.StatusOK {
			started()
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
	return fault.New(fault.TargetFailed, "the target answered the resumed watch with status %d", status)
}

// follow passes whole events on until the stream breaks.
func (w *watch) follow(u *upstream) error {
	for {
		f, err := u.recv()
		if err != nil {
			return u.lost(err)
		}
		switch k := f.GetKind().(type) {
		case *pb.AnswerFrame_Chunk:
			u.check(k.Chunk)
			if err := w.pass(k.Chunk); err != nil {
				return err
			}
		case *pb.AnswerFrame_End:
			if w.call.status != http.StatusOK {
				return errWatchEnded
			}
			return fault.Wrap(fault.TargetFailed, io.EOF, "the target closed the watch")
		case *pb.AnswerFrame_Refusal:
			return refusal(k.Refusal)
		default:
			return fault.New(fault.AnswerBroken, "worker %s sent a frame out of order", u.worker.ID)
		}
	}
}

// pass sends the complete events among the bytes received and keeps the rest.
// Answers that are not event streams pass as they are.
func (w *watch) pass(chunk []byte) error {
	if w.call.status != http.StatusOK {
		if err := w.write(chunk); err != nil {
			return errWatchEnded
		}
		return nil
	}
	w.partial = append(w.partial, chunk...)
	end := bytes.LastIndex(w.partial, []byte("\n\n"))
	if end < 0 {
		if len(w.partial) > _mostEvent {
			return fault.New(fault.AnswerBroken, "the target sent an event of more than %d bytes", _mostEvent)
		}
		return nil
	}
	whole := w.partial[:end+2]
	w.noteID(whole)
	if err := w.write(whole); err != nil {
		return errWatchEnded
	}
	w.partial = append([]byte(nil), w.partial[end+2:]...)
	return nil
}

// noteID remembers the identifier of the last event.
func (w *watch) noteID(events []byte) {
	for _, line := range bytes.Split(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			w.lastID = strings.TrimSpace(string(id))
		}
	}
}
