package agent

import (
	"io"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// bodyReader reads a request's body from its frames.
type bodyReader struct {
	stream pb.DRPCAgent_ServeStream
	id     string
	left   []byte
	ended  bool
}

// newBodyReader starts with the part of the body that the open frame brought.
func newBodyReader(stream pb.DRPCAgent_ServeStream, id string, open *pb.Open) *bodyReader {
	return &bodyReader{stream: stream, id: id, left: open.GetBody(), ended: open.GetBodyEnded()}
}

// Read implements io.Reader. A stream that breaks before the end frame gives
// io.ErrUnexpectedEOF, so that the target never takes part of a body for the
// whole.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.left) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		f, err := b.stream.Recv()
		if err != nil || f.GetRequestId() != b.id {
			return 0, io.ErrUnexpectedEOF
		}
		b.left = f.GetChunk()
		b.ended = f.GetEnd()
	}
	n := copy(p, b.left)
	b.left = b.left[n:]
	return n, nil
}
