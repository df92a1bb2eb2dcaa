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

// Bounds of a request.
const (
	_keptBody   = 64 << 10 // bytes of a body that are kept to send it again
	_bodyChunk  = 32 << 10 // bytes of one body frame
	_inlineBody = 32 << 10 // bytes of a body that goes with the open frame
	_mostKeyed  = 8 << 20  // bytes of a body of a request with a key, which is read whole
)

// _headerDrops are the headers of one connection only (RFC 9110, 7.6.1).
var _headerDrops = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// HeaderRequestID names a request in answers and logs.
const HeaderRequestID = "Gentianrail-Request-Id"

// call is one caller's request on its way.
type call struct {
	entry      *Entry
	decl       catalogue.Entry
	w          http.ResponseWriter
	r          *http.Request
	id         string
	path       string // path and query for the target
	key        string
	idempotent bool
	began      time.Time
	deadline   time.Time
	body       callBody
	started    bool // the answer's head has gone to the caller
	status     int  // status of the target's answer
	tried      []string
}

// callBody is a request's body. What was read first is kept, so that it can
// be sent to another worker when the first one did not take the request.
type callBody struct {
	kept  []byte
	rest  io.Reader // nil if kept is the whole body
	used  bool      // rest was read from
	limit int64
}

func (e *Entry) lookUp(r *http.Request, class catalogue.Class) (catalogue.Entry, error) {
	if !e.view.Loaded() {
		return catalogue.Entry{}, fault.New(fault.NotReady, "the catalogue has not been loaded yet")
	}
	name := web.Var(r, "entry")
	decl, ok := e.view.Entry(name)
	if !ok {
		return catalogue.Entry{}, fault.New(fault.EntryNotFound, "no entry %q", name)
	}
	if decl.Class() != class {
		return catalogue.Entry{}, fault.New(fault.WrongClass, "entry %q is a %s, not a %s", name, decl.Class(), class)
	}
	return decl, nil
}

// service answers a request for a latency-critical service.
func (e *Entry) service(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	decl, err := e.lookUp(r, catalogue.Service)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	c := &call{entry: e, decl: decl, w: w, r: r, id: uuid.NewString(), began: began}
	c.deadline = began.Add(decl.Limits().RequestTimeout)
	w.Header().Set(HeaderRequestID, c.id)
	err = c.prepare()
	if err == nil {
		e.budget.request()
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		err = c.try(ctx)
		cancel()
	}
	c.count(err)
	if err == nil {
		return
	}
	if !c.started {
		web.WriteFault(w, err)
		return
	}
	e.log.Emit(event.AnswerCut, event.Fields{"request": c.id, "entry": decl.Name(), "error": err.Error()},
		"an answer broke after its head was sent; the caller's connection is cut")
	panic(http.ErrAbortHandler)
}

// count records what the caller saw.
func (c *call) count(err error) {
	now := time.Now()
	latency := now.Sub(c.began)
	c.entry.requests.Update(latency)
	result := burn.Good
	switch {
	case errors.Is(c.r.Context().Err(), context.Canceled) && err != nil:
		return // the caller left by itself
	case err != nil && fault.From(err).Ran() == fault.RanNo:
		result = burn.Refused
		if fault.From(err).Code().Definition().HTTP < http.StatusInternalServerError {
			return // the caller's own mistake
		}
	case err != nil || c.status >= http.StatusInternalServerError:
		result = burn.Broken
	case latency > c.decl.Objective().Latency:
		result = burn.Slow
	}
	c.entry.burns.add(now, c.decl.Name(), result, latency)
}

// prepare checks the request and reads the first part of its body.
func (c *call) prepare() error {
	var err error
	if c.key, err = web.IdempotencyKey(c.r.Header); err != nil {
		return err
	}
	c.path = "/" + web.Var(c.r, "path")
	c.idempotent = c.decl.Idempotent(c.r.Method, c.path)
	if c.key == "" && !c.idempotent && c.decl.KeyRequired() {
		return fault.New(fault.KeyRequired, "entry %q takes this request only with the header %s", c.decl.Name(), web.HeaderKey)
	}
	if c.r.URL.RawQuery != "" {
		c.path += "?" + c.r.URL.RawQuery
	}
	return c.readBody()
}

func (c *call) readBody() error {
	limit := c.decl.Limits().BodyBytes
	if c.r.ContentLength > limit {
		return fault.New(fault.BodyTooLarge, "the body has %d bytes, entry %q takes %d", c.r.ContentLength, c.decl.Name(), limit)
	}
	c.body.limit = limit
	keep := int64(_keptBody)
	if c.key != "" && !c.idempotent {
		keep = _mostKeyed // the fingerprint needs the whole body
	}
	kept, err := io.ReadAll(io.LimitReader(c.r.Body, min(keep, limit)+1))
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "read the body")
	}
	c.body.kept = kept
	if int64(len(kept)) > limit {
		return fault.New(fault.BodyTooLarge, "the body has more than the %d bytes that entry %q takes", limit, c.decl.Name())
	}
	if int64(len(kept)) <= keep {
		return nil
	}
	if keep == _mostKeyed {
		return fault.New(fault.BodyTooLarge, "a request with a key may have a body of %d bytes", _mostKeyed)
	}
	c.body.rest = c.r.Body
	return nil
}

// holds reports whether the agent must ask before it runs the request, so
// that a connection that breaks before leaves no doubt. A key or idempotence
// makes a second try harmless, so those need not ask.
func (c *call) holds() bool {
	return c.body.rest != nil || (c.key == "" && !c.idempotent)
}

func (c *call) open(now time.Time) *pb.Open {
	l := c.decl.Limits()
	o := &pb.Open{
		Entry:       c.decl.Name(),
		Owner:       c.decl.Owner(),
		Target:      c.decl.Target(),
		Method:      c.r.Method,
		Path:        c.path,
		Headers:     c.headers(),
		Timeout:     int64(c.deadline.Sub(now)),
		Key:         c.key,
		Idempotent:  c.idempotent,
		Hold:        c.holds(),
		BodyLength:  c.r.ContentLength,
		Slots:       int32(l.Slots),
		Connections: int32(l.Connections),
		Queue:       int32(l.Queue),
		Priority:    int32(l.Priority),
	}
	if c.key != "" && !c.idempotent {
		o.Fingerprint = c.fingerprint()
	}
	if !o.GetHold() && len(c.body.kept) <= _inlineBody {
		o.Body = c.body.kept
		o.BodyEnded = true
	}
	return o
}

func (c *call) fingerprint() uint64 {
	sum := xxhash.New()
	_, _ = sum.WriteString(c.r.Method + "\n" + c.path + "\n")
	_, _ = sum.Write(c.body.kept)
	return sum.Sum64()
}

// headers returns the request's headers without those of the connection.
func (c *call) headers() []*pb.Header {
	out := []*pb.Header{{Name: "Host", Value: c.r.Host}}
	for name, values := range c.r.Header {
		if dropped(c.r.Header, name) {
			continue
		}
		for _, v := range values {
			out = append(out, &pb.Header{Name: name, Value: v})
		}
	}
	return out
}

// dropped reports whether a header is of one connection only.
func dropped(h http.Header, name string) bool {
	if slices.Contains(_headerDrops, name) {
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

// try asks one worker after the other until one has answered or trying again
// could run the request twice.
func (c *call) try(ctx context.Context) error {
	var last error
	for attempt := uint32(1); ; attempt++ {
		err := c.once(ctx, attempt)
		if err == nil || c.started {
			return err
		}
		if last != nil && fault.CodeOf(err) == fault.NoTarget {
			return last // says more than that no other worker is left
		}
		last = err
		if int(attempt) > c.entry.cfg.Retries || !c.mayRetry(ctx, err) || !c.entry.budget.take() {
			return err
		}
		c.entry.retries.Inc(1)
	}
}

// mayRetry reports whether the request can be sent to another worker without
// running twice.
func (c *call) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || c.body.used {
		return false
	}
	f := fault.From(err)
	switch f.Code() {
	case fault.NoTarget, fault.KeyMismatch, fault.KeyInProgress, fault.KeyUnknown, fault.AnswerNotKept,
		fault.BadRequest, fault.RequestTimeout, fault.CallerGone, fault.ClaimNotStored:
		return false
	}
	if f.Ran() == fault.RanNo || c.idempotent {
		return true
	}
	// With a key the claim decides whether it may still run.
	return c.key != "" && f.Code() == fault.AgentLost
}

func (c *call) once(ctx context.Context, attempt uint32) error {
	now := time.Now()
	w, ok := c.entry.router.pick(now, c.entry.zone, c.entry.view.Candidates(c.decl.Target()), c.tried)
	if !ok {
		return fault.New(fault.NoTarget, "no worker with target %q takes work now", c.decl.Target())
	}
	c.tried = append(c.tried, w.ID)
	u, err := c.entry.openUpstream(ctx, w, c.id, attempt, c.open(now))
	if err != nil {
		return c.orTimeout(ctx, err)
	}
	if err := c.exchange(u); err != nil {
		return c.orTimeout(ctx, err)
	}
	return nil
}

// orTimeout names the deadline or the caller's leaving as the cause, if it is.
func (c *call) orTimeout(ctx context.Context, err error) error {
	f := fault.From(err)
	if ctx.Err() == nil || f.Code() == fault.RequestTimeout {
		return err
	}
	code := fault.RequestTimeout
	if c.r.Context().Err() != nil {
		code = fault.CallerGone
	}
	return fault.New(code, "no answer within %s", c.decl.Limits().RequestTimeout).WithRan(f.Ran())
}

// exchange sends the request and passes the answer on.
func (c *call) exchange(u *upstream) error {
	if !u.open.GetBodyEnded() {
		if err := c.sendBody(u); err != nil {
			u.abandon()
			u.fail()
			return err
		}
	}
	f, err := u.recv()
	if err != nil {
		u.abandon()
		u.fail()
		return u.lost(err)
	}
	switch k := f.GetKind().(type) {
	case *pb.AnswerFrame_Refusal:
		u.refused(k.Refusal)
		c.noteRefusal(u, k.Refusal)
		return refusal(k.Refusal)
	case *pb.AnswerFrame_Head:
		return c.passAnswer(u, k.Head)
	case *pb.AnswerFrame_Whole:
		return c.passWhole(u, k.Whole)
	default:
		u.abandon()
		u.fail()
		return fault.New(fault.AnswerBroken, "worker %s sent a frame out of order", u.worker.ID).WithRan(fault.RanUnknown)
	}
}

// noteRefusal tells the routing table. A refusal for load is no failure.
func (c *call) noteRefusal(u *upstream, r *pb.Refusal) {
	switch fault.Code(r.GetCode()) {
	case fault.TargetFailed, fault.TargetDown, fault.RequestTimeout, fault.AnswerBroken:
		u.fail()
	default:
		u.end(nil)
	}
}

// sendBody sends the body, after the agent has asked if it has to.
func (c *call) sendBody(u *upstream) error {
	if c.holds() {
		if err := c.waitAdmitted(u); err != nil {
			return err
		}
	}
	u.sent = true
	body := io.Reader(bytes.NewReader(c.body.kept))
	if c.body.rest != nil {
		c.body.used = true
		left := c.body.limit - int64(len(c.body.kept))
		body = io.MultiReader(body, &limitedBody{r: c.body.rest, left: left})
	}
	buf := make([]byte, _bodyChunk)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if sendErr := u.send(&pb.RequestFrame{Kind: &pb.RequestFrame_Chunk{Chunk: buf[:n]}}); sendErr != nil {
				return u.lost(sendErr)
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
		return u.lost(err)
	}
	return nil
}

// limitedBody fails when the caller sends more than the catalogue allows.
type limitedBody struct {
	r    io.Reader
	left int64
}

var errBodyTooLarge = errors.New("the body is larger than the catalogue allows")

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

func (c *call) waitAdmitted(u *upstream) error {
	f, err := u.recv()
	if err != nil {
		return u.lost(err)
	}
	switch k := f.GetKind().(type) {
	case *pb.AnswerFrame_Admitted:
	case *pb.AnswerFrame_Refusal:
		return refusal(k.Refusal)
	default:
		return fault.New(fault.AnswerBroken, "worker %s sent a frame out of order", u.worker.ID).WithRan(fault.RanNo)
	}
	if err := u.send(&pb.RequestFrame{Kind: &pb.RequestFrame_Proceed{Proceed: true}}); err != nil {
		u.sent = true
		return u.lost(err)
	}
	return nil
}

// passHead sends the head of the target's answer to the caller.
func (c *call) passHead(head *pb.AnswerHead) {
	h := c.w.Header()
	for _, line := range head.GetHeaders() {
		if !slices.Contains(_headerDrops, http.CanonicalHeaderKey(line.GetName())) {
			h.Add(line.GetName(), line.GetValue())
		}
	}
	c.status = int(head.GetStatus())
	c.started = true
	c.w.WriteHeader(c.status)
}

// passWhole sends an answer that came in one frame.
func (c *call) passWhole(u *upstream, whole *pb.AnswerWhole) error {
	u.check(whole.GetBody())
	if !u.whole(whole.GetEnd()) {
		return c.endAnswer(u, whole.GetEnd())
	}
	c.passHead(whole.GetHead())
	_, writeErr := c.w.Write(whole.GetBody())
	if err := c.endAnswer(u, whole.GetEnd()); err != nil {
		return err
	}
	if writeErr != nil && !errors.Is(writeErr, http.ErrBodyNotAllowed) {
		return fault.Wrap(fault.CallerGone, writeErr, "the caller has gone")
	}
	return nil
}

// passAnswer sends the target's answer to the caller. Once the head has gone,
// an error means that the answer is not whole.
func (c *call) passAnswer(u *upstream, head *pb.AnswerHead) error {
	c.passHead(head)
	for {
		f, err := u.recv()
		if err != nil {
			u.abandon()
			u.fail()
			return u.lost(err)
		}
		switch k := f.GetKind().(type) {
		case *pb.AnswerFrame_Chunk:
			u.check(k.Chunk)
			if _, err := c.w.Write(k.Chunk); err != nil {
				u.abandon()
				u.end(nil)
				return fault.Wrap(fault.CallerGone, err, "the caller has gone")
			}
		case *pb.AnswerFrame_End:
			return c.endAnswer(u, k.End)
		case *pb.AnswerFrame_Refusal:
			u.refused(k.Refusal)
			u.fail()
			return refusal(k.Refusal)
		default:
			u.abandon()
			u.fail()
			return fault.New(fault.AnswerBroken, "worker %s sent a frame out of order", u.worker.ID)
		}
	}
}

func (c *call) endAnswer(u *upstream, end *pb.AnswerEnd) error {
	if !u.whole(end) {
		u.abandon()
		u.fail()
		return fault.New(fault.AnswerBroken, "the answer of worker %s lost bytes on the way", u.worker.ID)
	}
	u.finish()
	if c.status >= http.StatusInternalServerError {
		u.fail()
		return nil
	}
	u.succeed()
	return nil
}
