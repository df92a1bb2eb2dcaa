package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/gentianrail/gentianrail/burn"
	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// Limits of a request.
const (
	_maxResentBody = 64 << 10 // bytes of a body that is kept for a retry after it was sent
	_bodyChunkSize = 32 << 10 // bytes of one body frame
	_maxInlineBody = 32 << 10 // bytes of a body that is sent in the open frame
	_maxKeyedBody  = 8 << 20  // bytes of the body of a request with a key; buffered completely for the fingerprint
)

// _hopByHopHeaders are the headers that a proxy must not forward (RFC 9110,
// 7.6.1).
var _hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// HeaderRequestID is the header of an answer with the request identifier that
// the logs contain.
const HeaderRequestID = "Gentianrail-Request-Id"

// call is the state of one caller's request.
type call struct {
	entry        *Entry
	decl         catalogue.Entry
	w            http.ResponseWriter
	r            *http.Request
	id           string
	path         string // path and query sent to the target
	key          string
	idempotent   bool
	began        time.Time
	deadline     time.Time
	body         requestBody
	headSent     bool // the head of the answer was sent to the caller
	status       int  // HTTP status of the target's answer
	triedWorkers []string
	losses       int  // workers lost while they may have been running the request
	refusedEarly bool // the agent refused the request before the end of its body; the entry then stops reading
}

// requestBody is the body of a request. It is buffered before a worker is asked, so
// that no slot waits for it and so that it can be resent to another worker if the first
// one rejects the request. Of a body that is too large for that, the first part is
// buffered, and the rest is passed on as it arrives.
type requestBody struct {
	buffered []byte
	rest     io.Reader // unbuffered remainder; nil if there is none
	used     bool      // reading of rest has begun, or buffered was released, so the body cannot be resent
	limit    int64     // bytes that the catalogue entry allows
}

func (e *Entry) lookUpEntry(r *http.Request, class catalogue.Class) (catalogue.Entry, error) {
	if !e.view.Loaded() {
		return catalogue.Entry{}, fault.New(fault.NotReady, "catalogue is not loaded yet")
	}
	name := web.PathValue(r, "entry")
	decl, ok := e.view.Entry(name)
	if !ok {
		return catalogue.Entry{}, fault.New(fault.EntryNotFound, "no entry %q", name)
	}
	if decl.Class() != class {
		return catalogue.Entry{}, fault.New(fault.WrongClass, "entry %q is of class %s, not %s", name, decl.Class(), class)
	}
	return decl, nil
}

// serveRequest handles a request to a latency-critical service.
func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	decl, err := e.lookUpEntry(r, catalogue.Service)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	c := &call{entry: e, decl: decl, w: w, r: r, id: uuid.NewString(), began: began}
	c.deadline = began.Add(decl.Limits().RequestTimeout)
	w.Header().Set(HeaderRequestID, c.id)
	err = c.prepare()
	if err == nil {
		e.budget.addRequest()
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		err = c.tryWorkers(ctx)
		cancel()
	}
	c.recordResult(err)
	if err == nil {
		return
	}
	if !c.headSent {
		web.WriteFault(w, err)
		return
	}
	e.log.Emit(event.AnswerCut, event.Fields{"request": c.id, "entry": decl.Name(), "error": err.Error()},
		"answer failed after its head was sent; closing the caller's connection")
	panic(http.ErrAbortHandler)
}

// recordResult records the result of the request in the burn counts.
func (c *call) recordResult(err error) {
	now := time.Now()
	latency := now.Sub(c.began)
	c.entry.requests.Update(latency)
	result := burn.Good
	switch {
	case errors.Is(c.r.Context().Err(), context.Canceled) && err != nil:
		return // the caller disconnected
	case err != nil && fault.From(err).Ran() == fault.RanNo:
		result = burn.Rejected
		if fault.From(err).Code().Definition().HTTPStatus < http.StatusInternalServerError {
			return // caused by the caller; does not count against the objective
		}
	case err != nil || c.status >= http.StatusInternalServerError:
		result = burn.Failed
	case latency > c.decl.Objective().Latency:
		result = burn.Slow
	}
	c.entry.burns.addResult(now, c.decl.Name(), result, latency)
}

// prepare validates the request and buffers the first part of its body.
func (c *call) prepare() error {
	var err error
	if c.key, err = web.IdempotencyKey(c.r.Header); err != nil {
		return err
	}
	c.path = "/" + web.PathValue(c.r, "path")
	c.idempotent = c.decl.Idempotent(c.r.Method, c.path)
	if c.key == "" && !c.idempotent && c.decl.KeyRequired() {
		return fault.New(fault.KeyRequired, "entry %q requires the header %s for this request", c.decl.Name(), web.HeaderIdempotencyKey)
	}
	if c.r.URL.RawQuery != "" {
		c.path += "?" + c.r.URL.RawQuery
	}
	return c.readBody()
}

func (c *call) readBody() error {
	limit := c.decl.Limits().BodyBytes
	if c.r.ContentLength > limit {
		return fault.New(fault.BodyTooLarge, "body has %d bytes, entry %q allows %d", c.r.ContentLength, c.decl.Name(), limit)
	}
	c.body.limit = limit
	maxBuffered := c.entry.wholeBody
	if c.key != "" && !c.idempotent {
		maxBuffered = _maxKeyedBody // the fingerprint needs the complete body
	}
	buffered, complete, err := web.ReadPrefix(c.w, c.r, min(maxBuffered, limit), c.deadline)
	if err != nil {
		return err
	}
	c.body.buffered = buffered
	switch {
	case complete:
		return nil
	case maxBuffered >= limit:
		return fault.New(fault.BodyTooLarge, "body exceeds the %d bytes that entry %q allows", limit, c.decl.Name())
	case maxBuffered == _maxKeyedBody:
		return fault.New(fault.BodyTooLarge, "body of a request with an idempotency key exceeds %d bytes", _maxKeyedBody)
	}
	web.StreamRest(c.r)
	c.body.rest = c.r.Body
	return nil
}

// requiresProceed reports whether the agent, after admission, must wait for a
// proceed frame before it runs the request. If the connection breaks earlier,
// the request has certainly not run. A request that has a key or is idempotent
// is safe to retry and needs no proceed frame, unless its body is not buffered
// completely.
func (c *call) requiresProceed() bool {
	return c.body.rest != nil || (c.key == "" && !c.idempotent)
}

func (c *call) openFrame(now time.Time) *pb.Open {
	l := c.decl.Limits()
	o := &pb.Open{
		Entry:       c.decl.Name(),
		Owner:       c.decl.Owner(),
		Target:      c.decl.Target(),
		Method:      c.r.Method,
		Path:        []byte(c.path),
		Headers:     c.headers(),
		Timeout:     int64(c.deadline.Sub(now)),
		Key:         c.key,
		Idempotent:  c.idempotent,
		Hold:        c.requiresProceed(),
		BodyLength:  c.r.ContentLength,
		Slots:       int32(l.Slots),
		Connections: int32(l.Connections),
		Queue:       int32(l.Queue),
		Priority:    int32(l.Priority),
	}
	o.BodyArriving = c.body.rest != nil
	if c.key != "" && !c.idempotent {
		o.Fingerprint = c.fingerprint()
	}
	if !o.GetHold() && len(c.body.buffered) <= _maxInlineBody {
		o.Body = c.body.buffered
		o.BodyEnded = true
	}
	return o
}

func (c *call) fingerprint() uint64 {
	sum := xxhash.New()
	_, _ = sum.WriteString(c.r.Method + "\n" + c.path + "\n")
	_, _ = sum.Write(c.body.buffered)
	return sum.Sum64()
}

// headers returns the end-to-end headers of the request.
func (c *call) headers() []*pb.Header {
	out := []*pb.Header{{Name: "Host", Value: []byte(c.r.Host)}}
	for name, values := range c.r.Header {
		if isHopByHop(c.r.Header, name) {
			continue
		}
		for _, v := range values {
			out = append(out, &pb.Header{Name: name, Value: []byte(v)})
		}
	}
	return out
}

// isHopByHop reports whether a header applies to one connection only.
func isHopByHop(h http.Header, name string) bool {
	if slices.Contains(_hopByHopHeaders, name) {
		return true
	}
	for _, v := range h.Values("Connection") {
		for _, s := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(s), name) {
				return true
			}
		}
	}
	return false
}

// tryWorkers sends the request to one worker after another until one answers or
// a retry is not allowed.
func (c *call) tryWorkers(ctx context.Context) error {
	var lastErr error
	for attempt := uint32(1); ; attempt++ {
		err := c.tryWorker(ctx, attempt)
		if err == nil || c.headSent {
			return err
		}
		if lastErr != nil && fault.CodeOf(err) == fault.NoTarget {
			return lastErr // more specific than NoTarget
		}
		lastErr = err
		if int(attempt) > c.entry.cfg.Retries || !c.canRetry(ctx, err) || !c.entry.budget.takeToken() {
			return err
		}
		c.entry.retries.Inc(1)
	}
}

// canRetry reports whether the request can be sent to another worker without
// the risk that it takes effect twice, or that it takes down one worker after the
// other. It must be called once for each failed attempt.
func (c *call) canRetry(ctx context.Context, err error) bool {
	if mayHaveCausedLoss(err) {
		c.losses++
	}
	if c.losses >= _maxRequestLosses {
		return false
	}
	if ctx.Err() != nil || c.body.used {
		return false
	}
	f := fault.From(err)
	switch f.Code() {
	case fault.NoTarget, fault.KeyMismatch, fault.KeyInProgress, fault.KeyOutcomeUnknown, fault.AnswerNotKept,
		fault.BadRequest, fault.RequestTimeout, fault.CallerGone, fault.ClaimNotStored:
		return false
	}
	if f.Ran() == fault.RanNo || c.idempotent {
		return true
	}
	// The claim of the key keeps a retry from running the request twice.
	return c.key != "" && f.Code() == fault.AgentLost
}

func (c *call) tryWorker(ctx context.Context, attempt uint32) error {
	now := time.Now()
	w, ok := c.entry.router.pickWorker(now, c.entry.zone, c.entry.view.Candidates(c.decl.Target()), c.triedWorkers)
	if !ok {
		return fault.New(fault.NoTarget, "no worker with target %q accepts requests", c.decl.Target())
	}
	c.triedWorkers = append(c.triedWorkers, w.ID)
	u, err := c.entry.openUpstream(ctx, w, c.id, attempt, c.openFrame(now))
	if err != nil {
		return c.withContextCause(ctx, err)
	}
	if err := c.exchange(u); err != nil {
		return c.withContextCause(ctx, err)
	}
	return nil
}

// withContextCause returns err, or the error for an exceeded deadline or a
// disconnected caller if that ended ctx.
func (c *call) withContextCause(ctx context.Context, err error) error {
	f := fault.From(err)
	// The server ends the context of a request whose body is not read to its end.
	if ctx.Err() == nil || f.Code() == fault.RequestTimeout || c.refusedEarly {
		return err
	}
	code := fault.RequestTimeout
	if c.r.Context().Err() != nil {
		code = fault.CallerGone
	}
	return fault.New(code, "no answer within %s", c.decl.Limits().RequestTimeout).WithRan(f.Ran())
}

// exchange sends the request to the agent and forwards the answer.
func (c *call) exchange(u *upstream) error {
	if !u.open.GetBodyEnded() {
		if err := c.sendBody(u); err != nil {
			u.closeConn()
			if refusal := u.refusedAhead(); refusal != nil {
				c.refusedEarly = true
				c.recordRejection(u, refusal)
				return rejectionError(refusal)
			}
			if fault.CodeOf(err) == fault.BadRequest {
				u.recordEnd(nil) // the caller's body ended early or was cut off
			} else {
				u.recordFailure()
			}
			return err
		}
	}
	f, err := u.next()
	if err != nil {
		u.closeConn()
		u.recordFailure()
		return u.connectionError(err)
	}
	switch k := f.GetKind().(type) {
	case *pb.AnswerFrame_Refusal:
		u.releaseAfterRejection(k.Refusal)
		c.recordRejection(u, k.Refusal)
		return rejectionError(k.Refusal)
	case *pb.AnswerFrame_Head:
		return c.streamAnswer(u, k.Head)
	case *pb.AnswerFrame_Whole:
		return c.sendCompleteAnswer(u, k.Whole)
	default:
		u.closeConn()
		u.recordFailure()
		return fault.New(fault.AnswerBroken, "worker %s sent an unexpected frame", u.worker.ID).WithRan(fault.RanUnknown)
	}
}

// recordRejection records a rejection in the routing table. A rejection because
// of load does not count as a failure of the worker.
func (c *call) recordRejection(u *upstream, r *pb.Refusal) {
	switch fault.Code(r.GetCode()) {
	case fault.TargetFailed, fault.TargetDown, fault.RequestTimeout, fault.AnswerBroken:
		u.recordFailure()
	default:
		u.recordEnd(nil)
	}
}

// sendBody sends the body, after the admission if the request requires a
// proceed frame.
func (c *call) sendBody(u *upstream) error {
	if c.requiresProceed() {
		if err := c.awaitAdmission(u); err != nil {
			return err
		}
	}
	u.maybeSent = true
	body := io.Reader(bytes.NewReader(c.body.buffered))
	if c.body.rest != nil {
		c.body.used = true
		u.receiveAhead(func() { web.StopReading(c.r) })
		remaining := c.body.limit - int64(len(c.body.buffered))
		body = io.MultiReader(body, &limitedBody{r: c.body.rest, remaining: remaining})
	}
	buf := make([]byte, _bodyChunkSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if sendErr := u.send(&pb.RequestFrame{Kind: &pb.RequestFrame_Chunk{Chunk: buf[:n]}}); sendErr != nil {
				return u.connectionError(sendErr)
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return fault.Wrap(fault.BadRequest, err, "read the body").WithRan(fault.RanUnknown)
		}
	}
	if err := u.send(&pb.RequestFrame{Kind: &pb.RequestFrame_End{End: true}}); err != nil {
		return u.connectionError(err)
	}
	c.releaseBody()
	return nil
}

// releaseBody releases a large body that was sent and is unlikely to be sent again: the
// target may take long, and the body's memory would keep out other callers.
func (c *call) releaseBody() {
	if c.key == "" && !c.idempotent && len(c.body.buffered) > _maxResentBody {
		c.body.buffered, c.body.used = nil, true
		web.ReleaseBody(c.r)
	}
}

// limitedBody is a reader that fails when the body exceeds the limit of the
// catalogue entry.
type limitedBody struct {
	r         io.Reader
	remaining int64
}

var errBodyTooLarge = errors.New("body exceeds the limit of the catalogue entry")

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// awaitAdmission waits until the agent has admitted the request, then sends the
// proceed frame.
func (c *call) awaitAdmission(u *upstream) error {
	f, err := u.recv()
	if err != nil {
		return u.connectionError(err)
	}
	switch k := f.GetKind().(type) {
	case *pb.AnswerFrame_Admitted:
	case *pb.AnswerFrame_Refusal:
		return rejectionError(k.Refusal)
	default:
		return fault.New(fault.AnswerBroken, "worker %s sent an unexpected frame", u.worker.ID).WithRan(fault.RanNo)
	}
	if err := u.send(&pb.RequestFrame{Kind: &pb.RequestFrame_Proceed{Proceed: true}}); err != nil {
		u.maybeSent = true
		return u.connectionError(err)
	}
	return nil
}

// sendHead sends status and headers of the target's answer to the caller.
func (c *call) sendHead(head *pb.AnswerHead) {
	h := c.w.Header()
	for _, line := range head.GetHeaders() {
		if !slices.Contains(_hopByHopHeaders, http.CanonicalHeaderKey(line.GetName())) {
			h.Add(line.GetName(), string(line.GetValue()))
		}
	}
	c.status = int(head.GetStatus())
	c.headSent = true
	c.w.WriteHeader(c.status)
}

// sendCompleteAnswer sends the caller an answer that arrived in one frame.
func (c *call) sendCompleteAnswer(u *upstream, answer *pb.AnswerWhole) error {
	u.addChunk(answer.GetBody())
	if !u.isComplete(answer.GetEnd()) {
		return c.finishAnswer(u, answer.GetEnd())
	}
	c.sendHead(answer.GetHead())
	_, writeErr := c.w.Write(answer.GetBody())
	if err := c.finishAnswer(u, answer.GetEnd()); err != nil {
		return err
	}
	if writeErr != nil && !errors.Is(writeErr, http.ErrBodyNotAllowed) {
		return fault.Wrap(fault.CallerGone, writeErr, "caller disconnected")
	}
	return nil
}

// streamAnswer forwards the target's answer to the caller as it arrives. The
// head is sent first, so an error means that the caller's answer is incomplete.
func (c *call) streamAnswer(u *upstream, head *pb.AnswerHead) error {
	c.sendHead(head)
	for {
		f, err := u.recv()
		if err != nil {
			u.closeConn()
			u.recordFailure()
			return u.connectionError(err)
		}
		switch k := f.GetKind().(type) {
		case *pb.AnswerFrame_Chunk:
			u.addChunk(k.Chunk)
			if _, err := c.w.Write(k.Chunk); err != nil {
				u.closeConn()
				u.recordEnd(nil)
				return fault.Wrap(fault.CallerGone, err, "caller disconnected")
			}
		case *pb.AnswerFrame_End:
			return c.finishAnswer(u, k.End)
		case *pb.AnswerFrame_Refusal:
			u.releaseAfterRejection(k.Refusal)
			u.recordFailure()
			return rejectionError(k.Refusal)
		default:
			u.closeConn()
			u.recordFailure()
			return fault.New(fault.AnswerBroken, "worker %s sent an unexpected frame", u.worker.ID)
		}
	}
}

func (c *call) finishAnswer(u *upstream, end *pb.AnswerEnd) error {
	if !u.isComplete(end) {
		u.closeConn()
		u.recordFailure()
		return fault.New(fault.AnswerBroken, "answer of worker %s does not match its length or checksum", u.worker.ID)
	}
	u.releaseConn()
	if c.status >= http.StatusInternalServerError {
		u.recordFailure()
		return nil
	}
	u.recordSuccess()
	return nil
}
