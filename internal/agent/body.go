package agent

import (
	"io"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// bodyReader reads a request's body from its frames.
type bodyReader struct {
	stream pb.DRPCAgent_ServeStream
	id     string
	unread []byte
	ended  bool
}

// newBodyReader returns a reader that starts with the part of the body in the
// open frame.
func newBodyReader(stream pb.DRPCAgent_ServeStream, id string, open *pb.Open) *bodyReader {
	return &bodyReader{stream: stream, id: id, unread: open.GetBody(), ended: open.GetBodyEnded()}
}

// Read implements io.Reader. If the stream breaks before the end frame, Read
// returns io.ErrUnexpectedEOF, so that the target never accepts a truncated body
// as complete.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		f, err := b.stream.Recv()
		if err != nil || f.GetRequestId() != b.id {
			return 0, io.ErrUnexpectedEOF
		}
		b.unread = f.GetChunk()
		b.ended = f.GetEnd()
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}
