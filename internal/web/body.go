package web

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/intake"
	"github.com/gentianrail/gentianrail/internal/inbound"
)

// bodyReader reads the body of a request. It acquires budget before each read that
// needs some.
type bodyReader struct {
	gate      *Gate
	conn      *inbound.Conn
	w         http.ResponseWriter
	body      io.ReadCloser
	announced int64            // length of the body; -1 if unknown
	limit     int64            // bytes that the handler holds at most; 0 if it states none
	streaming bool             // the handler passes on what it reads
	decoding  bool             // the handler decodes the body, among few others
	account   *inbound.Account // nil before the first read
	deadline  time.Time        // for the end of the body; zero for none
	err       error            // of the first failed read, or io.EOF

	mu       sync.Mutex // guards the connection's read deadline against StopReading
	stopped  bool       // StopReading was called before the end of the body
	complete bool       // the body was read to its end
}

// _leftBodyTimeout is how long the server reads a body that the handler has left. A
// connection that is closed earlier may lose the answer.
const _leftBodyTimeout = time.Second

// _bodySteps are the bytes that a body of unknown size acquires one after the
// other. The last but one holds the largest body that callers send.
var _bodySteps = [...]int64{_smallBody, 64 << 10, 288 << 10}

// nextStep returns up to how many bytes the body should hold, if it holds some.
func (b *bodyReader) nextStep(held int64) int64 {
	limit := b.limit
	if limit == 0 {
		limit = 1 << 62
	}
	if b.announced >= 0 {
		return min(b.announced, limit)
	}
	for _, s := range _bodySteps {
		if s > held {
			return min(s, limit)
		}
	}
	if b.limit == 0 {
		return 2 * held
	}
	return limit
}

// acquire waits until the body may receive more bytes, and returns how many.
func (b *bodyReader) acquire() (int64, error) {
	if b.account == nil {
		b.conn.SetUnread(false)
		b.account = b.gate.budget.Open(b.conn.Client(), b.interrupt)
		if !b.deadline.IsZero() {
			b.account.Expect(max(b.announced, 0), b.deadline)
		}
	}
	if b.streaming {
		if !b.extendDeadline() {
			return 0, errStopped
		}
		return 1 << 62, b.cutError(b.account.Stream(true))
	}
	// At the limit a further byte shows that the body is too large.
	held := b.account.Held()
	room, reason := b.account.Acquire(max(b.nextStep(held)-held, 1))
	return room, b.cutError(reason)
}

// interrupt ends a read of the body at once.
func (b *bodyReader) interrupt() { _ = b.conn.SetReadDeadline(_past) }

// extendDeadline gives the client time to send the next part of the body. It returns
// false if the body is not read any more.
func (b *bodyReader) extendDeadline() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped {
		_ = b.conn.SetReadDeadline(time.Now().Add(b.gate.cfg.BodyTimeout + _timeoutSlack))
	}
	return !b.stopped
}

// clearDeadline lets the request be handled for any time after the end of the body.
// Otherwise the deadline would end the server's watch for a caller that disconnects.
func (b *bodyReader) clearDeadline() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.complete = true
	_ = b.conn.SetReadDeadline(time.Time{})
}

var errStopped = errors.New("the rest of the body is not needed")

// cutError returns the error of a body that was cut off, whose request has not run, or
// nil for one that was not.
func (b *bodyReader) cutError(r intake.Reason) error {
	switch r {
	case intake.NoReason:
		return nil
	case intake.TooSlow:
		if !b.deadline.IsZero() && !time.Now().Before(b.deadline) {
			return fault.New(fault.RequestTimeout, "the body did not arrive before the request's deadline").WithRan(fault.RanNo)
		}
		return fault.New(fault.Overloaded, "the body did not arrive in time")
	case intake.Stalled:
		return fault.New(fault.Overloaded, "the body came to a halt while others waited")
	default:
		return fault.New(fault.Overloaded, "too many bodies are being received")
	}
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	room, err := b.acquire()
	if err != nil {
		return 0, b.fail(err)
	}
	n, err := b.body.Read(p[:min(int64(len(p)), room)])
	if err := b.record(n, err); err != nil {
		return n, b.fail(err)
	}
	return n, nil
}

// record records the result of a read and returns its error, or that of a body
// that was cut off meanwhile.
func (b *bodyReader) record(n int, err error) error {
	reason := b.account.Receive(n)
	if err == io.EOF {
		if reason = b.account.Complete(); reason == intake.NoReason {
			b.clearDeadline()
			return io.EOF
		}
	}
	if reason != intake.NoReason {
		return b.cutError(reason)
	}
	if b.streaming {
		b.account.Stream(false)
	}
	return err
}

// fail records the error of a read. The rest of a body that was not read to its end
// is not awaited: the answer closes the connection.
func (b *bodyReader) fail(err error) error {
	b.err = err
	if err != io.EOF {
		b.w.Header().Set("Connection", "close")
	}
	return err
}

// Close implements io.Closer.
func (b *bodyReader) Close() error { return b.body.Close() }

// endDecoding lets another body be decoded.
func (b *bodyReader) endDecoding() {
	if b.decoding {
		b.decoding = false
		<-b.gate.decoding
	}
}

// finish releases what the body holds, after its request was handled.
func (b *bodyReader) finish() {
	b.endDecoding() // the handler has panicked if it has not done so
	b.conn.SetUnread(false)
	if b.err == io.EOF {
		b.conn.SetState(inbound.Answered)
	} else {
		_ = b.conn.SetReadDeadline(time.Now().Add(_leftBodyTimeout))
		b.conn.SetState(inbound.Receiving)
	}
	if b.account != nil {
		b.account.Close()
	}
}

// ReadBody returns the body of a request. The error is BodyTooLarge for a body of
// more than limit bytes, Overloaded for one that was cut off, and BadRequest for one
// that ended early.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	data, complete, err := ReadPrefix(w, r, limit, time.Time{})
	if err == nil && !complete {
		w.Header().Set("Connection", "close")
		err = fault.New(fault.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, err
	}
	return data, nil
}

// ReadPrefix returns the body of a request if it has at most limit bytes, else the
// first limit+1 bytes or, if its announced length is larger, none. It reports whether
// the body is complete. A body that has not ended by the deadline is cut off; the zero
// time is none.
func ReadPrefix(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (data []byte, complete bool, err error) {
	b, gated := r.Body.(*bodyReader)
	if gated {
		b.deadline = deadline
	}
	if r.ContentLength > limit {
		return nil, false, nil
	}
	if gated {
		b.limit = limit + 1
		if r.ContentLength >= 0 {
			// The memory below is allocated at once.
			if _, err := b.acquire(); err != nil {
				return nil, false, b.fail(err)
			}
		}
	}
	if r.ContentLength >= 0 {
		data = make([]byte, r.ContentLength)
		if _, err = io.ReadFull(r.Body, data); err == nil {
			// The end of the body must have been read before the request counts as complete.
			if _, err = io.ReadFull(r.Body, make([]byte, 1)); err == io.EOF {
				err = nil
			}
		}
	} else {
		data, err = io.ReadAll(io.LimitReader(r.Body, limit+1))
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		var f *fault.Error
		if errors.As(err, &f) {
			return nil, false, err
		}
		return nil, false, fault.Wrap(fault.BadRequest, err, "read the body")
	}
	return data, int64(len(data)) <= limit, nil
}

// StopReading ends a read of a request's body, and all later ones, with an error. It may
// be called by another goroutine than the reading one, for a body that is streamed.
func StopReading(r *http.Request) {
	b, ok := r.Body.(*bodyReader)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.complete {
		b.stopped = true
		b.interrupt()
	}
}

// ReleaseBody makes a request's body, which was read to its end, not count as held any
// more. The caller must not keep its bytes.
func ReleaseBody(r *http.Request) {
	if b, ok := r.Body.(*bodyReader); ok && b.account != nil {
		b.account.Close()
	}
}

// StreamRest makes further reads of a request's body not count as held: the handler
// passes on what it reads.
func StreamRest(r *http.Request) {
	b, ok := r.Body.(*bodyReader)
	if !ok {
		return
	}
	b.streaming = true
	if b.account != nil {
		b.account.Stream(false)
	}
}
