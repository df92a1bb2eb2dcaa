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

// Times and sizes of one request.
const (
	HeartbeatInterval = 500 * time.Millisecond // between heartbeats while a request runs
	_proceedTimeout   = 2 * time.Second        // for an entry instance to send a proceed frame
	_maxSlotOverrun   = 30 * time.Second       // after the deadline, for which a late target keeps its slot
	_maxChunkBytes    = 32 << 10               // of one answer chunk
)

// sender writes the frames of one answer. It sends heartbeats while no other
// frame is sent.
type sender struct {
	mu        sync.Mutex
	stream    pb.DRPCAgent_ServeStream
	openFrame *pb.RequestFrame
	load      func() *pb.Load
	heartbeat *time.Timer
	ended     bool
}

func newSender(stream pb.DRPCAgent_ServeStream, openFrame *pb.RequestFrame, load func() *pb.Load) *sender {
	s := &sender{stream: stream, openFrame: openFrame, load: load}
	s.heartbeat = time.AfterFunc(HeartbeatInterval, s.sendHeartbeat)
	return s
}

func (s *sender) send(f *pb.AnswerFrame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return errAnswerEnded
	}
	s.heartbeat.Reset(HeartbeatInterval)
	return s.write(f)
}

var errAnswerEnded = errors.New("the answer has ended")

func (s *sender) write(f *pb.AnswerFrame) error {
	f.RequestId = s.openFrame.GetRequestId()
	f.Attempt = s.openFrame.GetAttempt()
	f.Load = s.load()
	return s.stream.Send(f)
}

func (s *sender) sendHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	if s.write(&pb.AnswerFrame{Kind: &pb.AnswerFrame_Beat{Beat: true}}) == nil {
		s.heartbeat.Reset(HeartbeatInterval)
	}
}

// sendLast sends the last frame of the answer.
func (s *sender) sendLast(f *pb.AnswerFrame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return errAnswerEnded
	}
	s.ended = true
	s.heartbeat.Stop()
	return s.write(f)
}

// finish ends the answer and stops the heartbeats.
func (s *sender) finish() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.heartbeat.Stop()
}

func rejectionFrame(err error) *pb.AnswerFrame {
	f := fault.From(err)
	return &pb.AnswerFrame{Kind: &pb.AnswerFrame_Refusal{Refusal: &pb.Refusal{
		Code:       int32(f.Code()),
		Ran:        uint32(f.Ran()),
		Message:    f.Message(),
		RetryAfter: int64(f.RetryAfter()),
	}}}
}

// request is the state of a request that the agent handles.
type request struct {
	agent    *Agent
	stream   pb.DRPCAgent_ServeStream
	out      *sender
	id       string
	open     *pb.Open
	deadline time.Time
	ticket   uint64
	body     *bodyReader
	halted   chan struct{} // closed when an arriving body must give way to other work; nil for other bodies
}

// Serve handles one request from an entry instance.
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
	r := &request{
		agent:    a,
		stream:   stream,
		out:      newSender(stream, first, a.gate.load),
		id:       first.GetRequestId(),
		open:     open,
		deadline: time.Now().Add(time.Duration(open.GetTimeout())),
	}
	defer func() {
		// Closing discards unread body frames, so that the connection can carry the next
		// request, and ends the goroutine of an arriving body.
		_ = stream.Close()
		r.body.wait()
	}()
	defer r.out.finish()
	if err := r.handle(stream.Context()); err != nil {
		return r.out.send(rejectionFrame(err))
	}
	return nil
}

// handle admits, claims and runs the request and sends its answer. The returned
// error is for the caller.
func (r *request) handle(ctx context.Context) error {
	if !r.agent.serves(r.open.GetTarget()) {
		return fault.New(fault.NoTarget, "the worker has no target %q", r.open.GetTarget())
	}
	var halt func()
	if r.open.GetBodyArriving() {
		r.halted = make(chan struct{})
		halt = func() { close(r.halted) }
	}
	ticket, err := r.agent.gate.admit(ctx, r.newTicket(time.Now()), halt)
	if err != nil {
		return err
	}
	r.ticket = ticket
	if err := r.awaitProceed(ctx); err != nil {
		r.agent.gate.release(ticket)
		return err
	}
	r.body = newBodyReader(r.stream, r.id, r.open, r.agent.gate, r.ticket, r.halted)
	if r.open.GetKey() != "" && !r.open.GetIdempotent() {
		return r.runClaimed(ctx)
	}
	return r.run(ctx, nil)
}

func (r *request) newTicket(now time.Time) admission.Ticket {
	t := admission.Ticket{
		Entry:          r.open.GetEntry(),
		Owner:          r.open.GetOwner(),
		Class:          catalogue.Service,
		Priority:       int(r.open.GetPriority()),
		Slots:          1,
		Connections:    1,
		Arrived:        now,
		Deadline:       r.deadline,
		MaxSlots:       int(r.open.GetSlots()),
		MaxConnections: int(r.open.GetConnections()),
		MaxQueued:      int(r.open.GetQueue()),
		Arriving:       r.open.GetBodyArriving(),
	}
	if r.open.GetWatch() {
		t.Class = catalogue.Watch
		t.Slots = 0
	}
	return t
}

// awaitProceed reports the admission to the entry instance and waits for its
// proceed frame, if the open frame has the field hold set. Before the proceed
// frame arrives, the request certainly has not run.
func (r *request) awaitProceed(ctx context.Context) error {
	if !r.open.GetHold() {
		return nil
	}
	if err := r.out.send(&pb.AnswerFrame{Kind: &pb.AnswerFrame_Admitted{Admitted: true}}); err != nil {
		return fault.New(fault.CallerGone, "entry instance disconnected").WithRan(fault.RanNo)
	}
	timeout := time.AfterFunc(_proceedTimeout, func() { _ = r.stream.Close() })
	defer timeout.Stop()
	f, err := r.stream.Recv()
	if err != nil || !f.GetProceed() || f.GetRequestId() != r.id || ctx.Err() != nil {
		return fault.New(fault.CallerGone, "the entry instance did not send a proceed frame").WithRan(fault.RanNo)
	}
	return nil
}

// recorder records an answer before any part of the answer is sent.
type recorder func(claim.Answer)

// run sends the request to the target and forwards the answer. The caller is
// answered at the deadline at the latest. After the deadline, or if the caller
// has disconnected, the target still works on the request. The run therefore
// keeps its slot until the target has finished, for at most _maxSlotOverrun after
// the deadline. A watch ends when its caller has disconnected or the watches are
// ended.
func (r *request) run(ctx context.Context, record recorder) error {
	defer r.agent.gate.release(r.ticket)
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.deadline.Add(_maxSlotOverrun))
	defer cancel()
	if r.open.GetWatch() {
		runCtx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(r.agent.watches.context(), cancel)()
	}
	timeout := time.AfterFunc(time.Until(r.deadline), r.sendTimeoutRejection)
	defer timeout.Stop()
	resp, err := r.agent.target.send(runCtx, r.id, r.open, r.body)
	if err != nil {
		if r.hasHalted() {
			return fault.New(fault.Overloaded, "%s", errHalted).WithRan(fault.RanUnknown)
		}
		return err
	}
	defer resp.Body.Close()
	if r.open.GetWatch() {
		timeout.Stop() // a watch's deadline applies only to the head of its answer
	}
	return r.forwardAnswer(resp, record)
}

// hasHalted reports whether the request's body had to give way to other work.
func (r *request) hasHalted() bool {
	select {
	case <-r.halted: // nil, and so never ready, for bodies that don't arrive
		return true
	default:
		return false
	}
}

// sendTimeoutRejection answers a caller whose deadline has passed. The run
// continues.
func (r *request) sendTimeoutRejection() {
	err := fault.New(fault.RequestTimeout, "the target did not answer within %s", time.Duration(r.open.GetTimeout()))
	// A failed send means that the caller has disconnected.
	_ = r.out.sendLast(rejectionFrame(err))
}

// forwardAnswer records the target's answer, if record is not nil, and sends the
// answer to the caller. If the caller has disconnected, the answer is still read
// to its end.
func (r *request) forwardAnswer(resp *http.Response, record recorder) error {
	var prefix []byte
	if record != nil {
		body, complete, err := readRecordable(resp.Body)
		if err != nil {
			return fault.Wrap(fault.TargetFailed, err, "read the target's answer")
		}
		record(recordableAnswer(resp, body, complete))
		prefix = body
	}
	err := r.copyAnswer(resp, prefix)
	if err != nil && !r.open.GetWatch() && fault.CodeOf(err) == fault.CallerGone {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	return err
}

// readRecordable reads an answer up to the size limit of a recorded body.
// complete is false if the answer is larger.
func readRecordable(body io.Reader) (data []byte, complete bool, err error) {
	data, err = io.ReadAll(io.LimitReader(body, claim.MaxAnswerBytes+1))
	if err != nil {
		return nil, false, err
	}
	return data, len(data) <= claim.MaxAnswerBytes, nil
}

func recordableAnswer(resp *http.Response, body []byte, complete bool) claim.Answer {
	a := claim.Answer{Status: resp.StatusCode, BodyComplete: complete}
	for name, values := range resp.Header {
		for _, v := range values {
			a.Headers = append(a.Headers, claim.Header{Name: name, Value: v})
		}
	}
	sort.SliceStable(a.Headers, func(i, j int) bool { return a.Headers[i].Name < a.Headers[j].Name })
	if complete {
		a.Body = body
	}
	return a
}

func headOf(resp *http.Response) *pb.AnswerHead {
	head := &pb.AnswerHead{Status: int32(resp.StatusCode)}
	for name, values := range resp.Header {
		for _, v := range values {
			head.Headers = append(head.Headers, &pb.Header{Name: name, Value: []byte(v)})
		}
	}
	return head
}

// copyAnswer sends a short answer in one frame, and other answers as head, chunks
// and end. An answer that the target truncates gets no end frame, so that the
// entry instance detects the truncation. prefix is the part of the body that was
// already read, or nil.
func (r *request) copyAnswer(resp *http.Response, prefix []byte) error {
	head := headOf(resp)
	body := io.MultiReader(bytes.NewReader(prefix), resp.Body)
	buf := make([]byte, _maxChunkBytes)
	if mayFitOneFrame(resp, prefix) {
		n, err := io.ReadFull(body, buf)
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return r.sendCompleteAnswer(head, buf[:n])
		}
		if err != nil {
			return fault.Wrap(fault.TargetFailed, err, "read the target's answer")
		}
		body = io.MultiReader(bytes.NewReader(bytes.Clone(buf)), body)
	}
	if err := r.out.send(&pb.AnswerFrame{Kind: &pb.AnswerFrame_Head{Head: head}}); err != nil {
		return callerGoneError()
	}
	return r.copyBody(body, buf)
}

// mayFitOneFrame reports whether copyAnswer tries to send the answer in one
// frame: the answer was read for recording or declares a short body.
func mayFitOneFrame(resp *http.Response, prefix []byte) bool {
	return prefix != nil || resp.ContentLength >= 0 && resp.ContentLength < _maxChunkBytes
}

func callerGoneError() error { return fault.New(fault.CallerGone, "caller disconnected") }

func (r *request) sendCompleteAnswer(head *pb.AnswerHead, body []byte) error {
	answer := &pb.AnswerWhole{
		Head: head,
		Body: body,
		End:  &pb.AnswerEnd{Length: uint64(len(body)), Checksum: xxhash.Sum64(body)},
	}
	if err := r.out.send(&pb.AnswerFrame{Kind: &pb.AnswerFrame_Whole{Whole: answer}}); err != nil {
		return callerGoneError()
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
				return callerGoneError()
			}
		}
		if readErr == io.EOF {
			break
		}
		if readErr != nil {
			return fault.Wrap(fault.AnswerBroken, readErr, "read the target's answer")
		}
	}
	end := &pb.AnswerEnd{Length: length, Checksum: sum.Sum64()}
	if err := r.out.send(&pb.AnswerFrame{Kind: &pb.AnswerFrame_End{End: end}}); err != nil {
		return callerGoneError()
	}
	return nil
}
