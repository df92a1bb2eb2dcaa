package web

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/intake"
)

// bodyReader reads the body of a request. It acquires budget before each read that
// needs some.
type bodyReader struct {
	gate      *Gate
	conn      *gateConn
	w         http.ResponseWriter
	body      io.ReadCloser
	announced int64         // length of the body; -1 if unknown
	limit     int64         // bytes that the handler holds at most; 0 if it states none
	streaming bool          // the handler passes on what it reads
	decoding  bool          // the handler decodes the body, among few others
	account   *intake.Body  // nil before the first read
	awake     chan struct{} // of size one; nil before the first wait
	err       error         // of the first failed read, or io.EOF
}

// _leftBodyTimeout is how long the server reads a body that the handler has left. A
// connection that is closed earlier may lose the answer.
const _leftBodyTimeout = time.Second

// _bodySteps are the bytes that a body of unknown size acquires one after the
// other. The last but one holds the largest body that callers send.
var _bodySteps = [...]int64{_smallBody, 64 << 10, 288 << 10}

// nextStep returns up to how many bytes the body should hold.
func (b *bodyReader) nextStep() int64 {
	limit := b.limit
	if limit == 0 {
		limit = 1 << 62
	}
	if b.announced >= 0 {
		return min(b.announced, limit)
	}
	for _, s := range _bodySteps {
		if s > b.account.Held() {
			return min(s, limit)
		}
	}
	if b.limit == 0 {
		return 2 * b.account.Held()
	}
	return limit
}

func (b *bodyReader) wake() {
	select {
	case b.awake <- struct{}{}:
	default:
	}
}

// acquire waits until the body may receive more bytes, and returns how many.
func (b *bodyReader) acquire() (int64, error) {
	g := b.gate
	g.mu.Lock()
	now := time.Now()
	if b.account == nil {
		b.conn.unread.Store(false)
		b.awake = make(chan struct{}, 1)
		b.account = g.ledger.Open(now, b.conn.client)
		g.readers[b.account] = b
	}
	if b.streaming {
		g.ledger.Stream(now, b.account, true)
		_ = b.conn.SetReadDeadline(now.Add(g.cfg.BodyTimeout + _timeoutSlack))
	} else if b.account.Held() <= b.account.Received() {
		// At the limit a further byte shows that the body is too large.
		more := max(b.nextStep()-b.account.Held(), 1)
		g.carryOut(g.ledger.Acquire(now, b.account, more))
		for b.account.Waiting() {
			g.mu.Unlock()
			<-b.awake
			g.mu.Lock()
		}
	}
	defer g.mu.Unlock()
	if r := b.account.Reason(); r != intake.NoReason {
		return 0, cutError(r)
	}
	if b.streaming {
		return 1 << 62, nil
	}
	return b.account.Held() - b.account.Received(), nil
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
	g := b.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.ledger.Receive(now, b.account, int64(n))
	if err == io.EOF {
		a, ok := g.ledger.Complete(now, b.account)
		g.carryOut(a)
		if ok {
			// Else the deadline would end the server's watch for a caller that disconnects.
			_ = b.conn.SetReadDeadline(time.Time{})
			return io.EOF
		}
	}
	if r := b.account.Reason(); r != intake.NoReason {
		return cutError(r)
	}
	if b.streaming {
		g.ledger.Stream(now, b.account, false)
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
	g := b.gate
	b.endDecoding() // the handler has panicked if it has not done so
	b.conn.unread.Store(false)
	if b.err == io.EOF {
		b.conn.setState(_connAnswered)
	} else {
		_ = b.conn.SetReadDeadline(time.Now().Add(_leftBodyTimeout))
		b.conn.setState(_connHeaders)
	}
	if b.account == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.readers, b.account)
	g.carryOut(g.ledger.Close(time.Now(), b.account))
}

// ReadBody returns the body of a request. The error is BodyTooLarge for a body of
// more than limit bytes, Overloaded for one that was cut off, and BadRequest for one
// that ended early.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	data, complete, err := ReadPrefix(w, r, limit)
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
// the body is complete.
func ReadPrefix(w http.ResponseWriter, r *http.Request, limit int64) (data []byte, complete bool, err error) {
	if r.ContentLength > limit {
		return nil, false, nil
	}
	b, gated := r.Body.(*bodyReader)
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

// StreamRest makes further reads of a request's body not count as held: the handler
// passes on what it reads.
func StreamRest(r *http.Request) {
	b, ok := r.Body.(*bodyReader)
	if !ok {
		return
	}
	b.streaming = true
	if b.account != nil {
		b.gate.mu.Lock()
		defer b.gate.mu.Unlock()
		b.gate.ledger.Stream(time.Now(), b.account, false)
	}
}
