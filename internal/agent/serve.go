package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianrail/gentianrail/admission"
	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/claim"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// Timing of one request.
const (
	BeatInterval = 500 * time.Millisecond // between signs of life while a request runs
	_holdLimit   = 2 * time.Second        // for an entry instance to say proceed
	_lingerLimit = 30 * time.Second       // that a slot is held for a target that has not answered in time
	_copyBuffer  = 32 << 10               // bytes of one answer chunk
)

// sender writes the frames of one answer. It adds signs of life when nothing
// else is sent.
type sender struct {
	mu     sync.Mutex
	stream pb.DRPCAgent_ServeStream
	first  *pb.RequestFrame
	load   func() *pb.Load
	beat   *time.Timer
	ended  bool
}

func newSender(stream pb.DRPCAgent_ServeStream, first *pb.RequestFrame, load func() *pb.Load) *sender {
	s := &sender{stream: stream, first: first, load: load}
	s.beat = time.AfterFunc(BeatInterval, s.sendBeat)
	return s
}

func (s *sender) send(f *pb.AnswerFrame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return errEnded
	}
	s.beat.Reset(BeatInterval)
	return s.write(f)
}

var errEnded = errors.New("the answer has ended")

func (s *sender) write(f *pb.AnswerFrame) error {
	f.RequestId = s.first.GetRequestId()
	f.Attempt = s.first.GetAttempt()
	f.Load = s.load()
	return s.stream.Send(f)
}

func (s *sender) sendBeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	if s.write(&pb.AnswerFrame{Kind: &pb.AnswerFrame_Beat{Beat: true}}) == nil {
		s.beat.Reset(BeatInterval)
	}
}

// sendLast sends a frame after which nothing is sent any more.
func (s *sender) sendLast(f *pb.AnswerFrame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return errEnded
	}
	s.ended = true
	s.beat.Stop()
	return s.write(f)
}

// end stops the signs of life.
func (s *sender) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.beat.Stop()
}

func refusalOf(err error) *pb.AnswerFrame {
	f := fault.From(err)
	return &pb.AnswerFrame{Kind: &pb.AnswerFrame_Refusal{Refusal: &pb.Refusal{
		Code:       int32(f.Code()),
		Ran:        uint32(f.Ran()),
		Message:    f.Message(),
		RetryAfter: int64(f.RetryAfter()),
	}}}
}

// request is one request on its way through the agent.
type request struct {
	agent    *Agent
	stream   pb.DRPCAgent_ServeStream
	out      *sender
	id       string
	open     *pb.Open
	deadline time.Time
	ticket   uint64
	body     *bodyReader
}

// Serve takes one request of an entry instance.
func (a *Agent) Serve(stream pb.DRPCAgent_ServeStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	open := first.GetOpen()
	if open == nil {
		return fault.New(fault.BadRequest, "the first frame is not an open frame")
	}
	a.requests.Add(1)
	defer a.requests.Done()
	// Closing drops body frames that nobody has read, so that the connection
	// can carry the next request.
	defer stream.Close()
	r := &request{
		agent:    a,
		stream:   stream,
		out:      newSender(stream, first, a.gate.load),
		id:       first.GetRequestId(),
		open:     open,
		deadline: time.Now().Add(time.Duration(open.GetTimeout())),
	}
	defer r.out.end()
	if err := r.handle(stream.Context()); err != nil {
		return r.out.send(refusalOf(err))
	}
	return nil
}

// handle takes the request through admission, claim, run and answer. Its
// error is for the caller; once a head was sent there is none.
func (r *request) handle(ctx context.Context) error {
	if !r.agent.serves(r.open.GetTarget()) {
		return fault.New(fault.NoTarget, "the worker has no target %q", r.open.GetTarget())
	}
	ticket, err := r.agent.gate.enter(ctx, r.ticketOf(time.Now()))
	if err != nil {
		return err
	}
	r.ticket = ticket
	if err := r.proceed(ctx); err != nil {
		r.agent.gate.leave(ticket)
		return err
	}
	r.body = newBodyReader(r.stream, r.id, r.open)
	if r.open.GetKey() != "" && !r.open.GetIdempotent() {
		return r.runClaimed(ctx)
	}
	return r.run(ctx, nil)
}

func (r *request) ticketOf(now time.Time) admission.Ticket {
	t := admission.Ticket{
		Entry:           r.open.GetEntry(),
		Owner:           r.open.GetOwner(),
		Class:           catalogue.Service,
		Priority:        int(r.open.GetPriority()),
		Slots:           1,
		Connections:     1,
		Arrived:         now,
		Deadline:        r.deadline,
		MostSlots:       int(r.open.GetSlots()),
		MostConnections: int(r.open.GetConnections()),
		MostQueue:       int(r.open.GetQueue()),
	}
	if r.open.GetWatch() {
		t.Class = catalogue.Watch
		t.Slots = 0
	}
	return t
}

// proceed asks the entry instance to go on, if it wants to be asked. Until it
// says so, the request certainly has not run.
func (r *request) proceed(ctx context.Context) error {
	if !r.open.GetHold() {
		return nil
	}
	if err := r.out.send(&pb.AnswerFrame{Kind: &pb.AnswerFrame_Admitted{Admitted: true}}); err != nil {
		return fault.New(fault.CallerGone, "the entry instance has gone").WithRan(fault.RanNo)
	}
	limit := time.AfterFunc(_holdLimit, func() { _ = r.stream.Close() })
	defer limit.Stop()
	f, err := r.stream.Recv()
	if err != nil || !f.GetProceed() || f.GetRequestId() != r.id || ctx.Err() != nil {
		return fault.New(fault.CallerGone, "the entry instance did not say proceed").WithRan(fault.RanNo)
	}
	return nil
}

// recorder takes an answer before any of it is sent.
type recorder func(claim.Answer)

// run sends the request to the target and passes the answer on. The run
// outlives its deadline and its caller: they are answered at once, but the
// slot is held until the target is done with the request, since until then
// the target does the work.
func (r *request) run(ctx context.Context, record recorder) error {
	defer r.agent.gate.leave(r.ticket)
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.deadline.Add(_lingerLimit))
	defer cancel()
	if r.open.GetWatch() {
		runCtx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(r.agent.watches.context(), cancel)()
	}
	late := time.AfterFunc(time.Until(r.deadline), r.tooLate)
	defer late.Stop()
	resp, err := r.agent.target.send(runCtx, r.id, r.open, r.body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if r.open.GetWatch() {
		late.Stop() // a watch's deadline is for its head
	}
	return r.pass(resp, record)
}

// tooLate answers a caller whose deadline has passed, while the run goes on.
func (r *request) tooLate() {
	err := fault.New(fault.RequestTimeout, "the target did not answer within %s", time.Duration(r.open.GetTimeout()))
	// A failed send means that the caller has gone.
	_ = r.out.sendLast(refusalOf(err))
}

// pass sends the target's answer on. When the caller has gone it reads the
// answer to its end all the same.
func (r *request) pass(resp *http.Response, record recorder) error {
	var kept []byte
	if record != nil {
		body, whole, err := readKept(resp.Body)
		if err != nil {
			return fault.Wrap(fault.TargetFailed, err, "the target broke off its answer")
		}
		record(keptAnswer(resp, body, whole))
		kept = body
	}
	err := r.copyAnswer(resp, kept)
	if err != nil && !r.open.GetWatch() && fault.CodeOf(err) == fault.CallerGone {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	return err
}

// readKept reads as much of an answer as is kept. whole is false if there is
// more.
func readKept(body io.Reader) (kept []byte, whole bool, err error) {
	kept, err = io.ReadAll(io.LimitReader(body, claim.MostAnswer+1))
	if err != nil {
		return nil, false, err
	}
	return kept, len(kept) <= claim.MostAnswer, nil
}

func keptAnswer(resp *http.Response, body []byte, whole bool) claim.Answer {
	a := claim.Answer{Status: resp.StatusCode, Whole: whole}
	for name, values := range resp.Header {
		for _, v := range values {
			a.Headers = append(a.Headers, claim.Header{Name: name, Value: v})
		}
	}
	sort.SliceStable(a.Headers, func(i, j int) bool { return a.Headers[i].Name < a.Headers[j].Name })
	if whole {
		a.Body = body
	}
	return a
}

func headOf(resp *http.Response) *pb.AnswerHead {
	head := &pb.AnswerHead{Status: int32(resp.StatusCode)}
	for name, values := range resp.Header {
		for _, v := range values {
			head.Headers = append(head.Headers, &pb.Header{Name: name, Value: v})
		}
	}
	return head
}

// copyAnswer sends the answer on: in one frame if it is short and there at
// once, otherwise as head, chunks and end. A body that the target broke off
// has no end, so that the entry instance knows.
func (r *request) copyAnswer(resp *http.Response, kept []byte) error {
	head := headOf(resp)
	body := io.MultiReader(bytes.NewReader(kept), resp.Body)
	buf := make([]byte, _copyBuffer)
	if short(resp, kept) {
		n, err := io.ReadFull(body, buf)
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return r.sendWhole(head, buf[:n])
		}
		if err != nil {
			return fault.Wrap(fault.TargetFailed, err, "the target broke off its answer")
		}
		body = io.MultiReader(bytes.NewReader(bytes.Clone(buf)), body)
	}
	if err := r.out.send(&pb.AnswerFrame{Kind: &pb.AnswerFrame_Head{Head: head}}); err != nil {
		return callerGone()
	}
	return r.copyBody(body, buf)
}

// short reports whether the whole answer surely fits one frame.
func short(resp *http.Response, kept []byte) bool {
	return kept != nil || resp.ContentLength >= 0 && resp.ContentLength < _copyBuffer
}

func callerGone() error { return fault.New(fault.CallerGone, "the caller has gone") }

func (r *request) sendWhole(head *pb.AnswerHead, body []byte) error {
	whole := &pb.AnswerWhole{
		Head: head,
		Body: body,
		End:  &pb.AnswerEnd{Length: uint64(len(body)), Checksum: xxhash.Sum64(body)},
	}
	if err := r.out.send(&pb.AnswerFrame{Kind: &pb.AnswerFrame_Whole{Whole: whole}}); err != nil {
		return callerGone()
	}
	return nil
}

func (r *request) copyBody(body io.Reader, buf []byte) error {
	sum := xxhash.New()
	var length uint64
	for {
		n, readErr := body.Read(buf)
		if n > 0 {
			length += uint64(n)
			_, _ = sum.Write(buf[:n])
			if err := r.out.send(&pb.AnswerFrame{Kind: &pb.AnswerFrame_Chunk{Chunk: buf[:n]}}); err != nil {
				return callerGone()
			}
		}
		if readErr == io.EOF {
			break
		}
		if readErr != nil {
			return fault.Wrap(fault.AnswerBroken, readErr, "the target broke off its answer")
		}
	}
	end := &pb.AnswerEnd{Length: length, Checksum: sum.Sum64()}
	if err := r.out.send(&pb.AnswerFrame{Kind: &pb.AnswerFrame_End{End: end}}); err != nil {
		return callerGone()
	}
	return nil
}
