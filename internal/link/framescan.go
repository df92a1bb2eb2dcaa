package link

import (
	"errors"
	"fmt"

	"storj.io/drpc/drpcwire"
)

// Limits of what a client may send before a call is known.
const (
	_maxInvocation = 1 << 10  // bytes of the name of a call
	_maxMetadata   = 16 << 10 // bytes of a call's metadata
	_maxFrameHead  = 1 + 3*10 // control byte and three varints
)

var errNoInvocation = errors.New("the connection does not begin with a call")

// frameScanner follows the frames of a connection without their data. The zero value is
// at the start of a connection.
type frameScanner struct {
	head []byte        // of the current frame, while it is incomplete
	left uint64        // bytes of the current frame's data that follow
	last bool          // the current frame is the last one of its message
	kind drpcwire.Kind // of the current message
	size int64         // bytes of the current message, including the announced ones of its frame

	ended       int  // messages that have ended, of all kinds
	invocations int  // calls that have begun
	messaged    bool // a message of the latest call has ended
}

// messageSize returns the bytes of the incomplete message, including the announced ones
// of its current frame; 0 between messages.
func (s *frameScanner) messageSize() int64 { return s.size }

// scan advances over bytes that were received. The error is that of bytes that can't be
// those of another process.
func (s *frameScanner) scan(p []byte) error {
	for len(p) > 0 {
		if s.left > 0 {
			n := min(s.left, uint64(len(p)))
			s.left -= n
			p = p[n:]
			s.endFrame()
			continue
		}
		s.head = append(s.head, p[0])
		p = p[1:]
		complete, err := s.parseHead()
		if err != nil {
			return err
		}
		if complete {
			s.endFrame()
		}
	}
	return nil
}

// parseHead parses the head of a frame if it is complete.
func (s *frameScanner) parseHead() (complete bool, err error) {
	rest := s.head[1:]
	var length uint64
	for range 3 { // stream, message, length
		var ok bool
		rest, length, ok, err = drpcwire.ReadVarint(rest)
		if err != nil {
			return false, err
		}
		if !ok {
			if len(s.head) >= _maxFrameHead {
				return false, errors.New("the head of a frame is too long")
			}
			return false, nil
		}
	}
	control := s.head[0]
	s.head = s.head[:0]
	s.left, s.last = length, control&1 != 0
	if length > MaxMessageBytes {
		return false, fmt.Errorf("a frame has %d bytes, allowed are %d", length, MaxMessageBytes)
	}
	s.size += int64(length)
	s.kind = drpcwire.Kind(control & 0x7e >> 1)
	return true, s.check()
}

// check returns an error if the current message is too large, or of a kind that can't
// begin a connection.
func (s *frameScanner) check() error {
	limit := int64(MaxMessageBytes)
	switch s.kind {
	case drpcwire.KindInvoke:
		limit = _maxInvocation
	case drpcwire.KindInvokeMetadata:
		limit = _maxMetadata
	default:
		if s.invocations == 0 {
			return errNoInvocation
		}
	}
	if s.size > limit {
		return fmt.Errorf("a message has %d bytes, allowed are %d", s.size, limit)
	}
	return nil
}

// endFrame ends the current message if its last frame has been received.
func (s *frameScanner) endFrame() {
	if s.left > 0 || !s.last {
		return
	}
	s.size, s.last = 0, false
	s.ended++
	switch s.kind {
	case drpcwire.KindInvoke:
		s.invocations++
		s.messaged = false
	case drpcwire.KindInvokeMetadata:
	default:
		s.messaged = true
	}
}
