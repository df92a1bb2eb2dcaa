package agent

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/admission"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// _progressInterval is the time between reports of the progress of an arriving body.
const _progressInterval = admission.StallLimit / 3

// bodyReader reads a request's body from its frames.
type bodyReader struct {
	stream   pb.DRPCAgent_ServeStream
	id       string
	unread   []byte
	ended    bool
	arriving *arrivingBody // of a body that the entry instance receives while it sends it, else nil
	gate     *gate
	ticket   uint64
	reported time.Time // when the gate last learnt of progress
}

// arrivingBody receives the frames of a body in its own goroutine, so that a read can
// end before the next frame: the transport to the target waits for its reads.
type arrivingBody struct {
	frames   chan frameResult
	halted   <-chan struct{} // closed when the body must give way to other work
	complete bool            // the gate knows that the body has arrived
	running  sync.WaitGroup
}

// frameResult is a received frame, or the error in its place.
type frameResult struct {
	frame *pb.RequestFrame
	err   error
}

// newBodyReader returns a reader that starts with the part of the body in the
// open frame. halted is closed when an arriving body must give way to other work. The
// caller closes the stream and then calls wait.
func newBodyReader(stream pb.DRPCAgent_ServeStream, id string, open *pb.Open, g *gate, ticket uint64, halted <-chan struct{}) *bodyReader {
	b := &bodyReader{stream: stream, id: id, unread: open.GetBody(), ended: open.GetBodyEnded(), gate: g, ticket: ticket}
	if open.GetBodyArriving() {
		b.arriving = &arrivingBody{frames: make(chan frameResult), halted: halted}
		b.arriving.running.Go(b.receiveFrames)
	}
	return b
}

// receiveFrames receives the frames of an arriving body until its end.
func (b *bodyReader) receiveFrames() {
	for {
		f, err := b.stream.Recv()
		select {
		case b.arriving.frames <- frameResult{f, err}:
		case <-b.stream.Context().Done():
			return
		}
		if err != nil || f.GetEnd() {
			return
		}
	}
}

// wait waits for the goroutine of an arriving body.
func (b *bodyReader) wait() {
	if b != nil && b.arriving != nil {
		b.arriving.running.Wait()
	}
}

var errHalted = errors.New("the body came to a halt while others waited")

// recv returns the next frame.
func (b *bodyReader) recv() (*pb.RequestFrame, error) {
	if b.arriving == nil {
		return b.stream.Recv()
	}
	select {
	case r := <-b.arriving.frames:
		return r.frame, r.err
	case <-b.arriving.halted:
		return nil, errHalted
	case <-b.stream.Context().Done():
		return nil, b.stream.Context().Err()
	}
}

// Read implements io.Reader. If the stream breaks before the end frame, Read
// returns io.ErrUnexpectedEOF, so that the target never accepts a truncated body
// as complete.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		f, err := b.recv()
		if errors.Is(err, errHalted) {
			return 0, err
		}
		if err != nil || f.GetRequestId() != b.id {
			return 0, io.ErrUnexpectedEOF
		}
		b.unread = f.GetChunk()
		b.ended = f.GetEnd()
		if b.arriving != nil && !b.arriving.complete {
			b.reportProgress(time.Now())
		}
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// reportProgress tells the gate that the body makes progress or has ended.
func (b *bodyReader) reportProgress(now time.Time) {
	switch {
	case b.ended:
		b.arriving.complete = true
		b.gate.recordArrived(b.ticket)
	case now.Sub(b.reported) >= _progressInterval:
		b.reported = now
		b.gate.recordProgress(b.ticket)
	}
}
