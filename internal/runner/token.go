package runner

import "github.com/gentianrail/gentianrail/internal/wire/pb"

// Sizes of the lower parts of a fencing token: the number of the stream in its term, and
// how often the agent has raised the token on that stream. With the term they fit into
// the integers that JSON numbers hold exactly.
const (
	_attachmentBits = 20
	_raiseBits      = 8
)

// token orders the streams from an agent's machine to its leaders. Orders carry the
// token of their stream, and the worker refuses those with a lower one than it has
// seen. Once an incarnation has listed its runs under a token, no order of an earlier
// stream can start a run on it any more, however late it arrives.
type token struct {
	term       uint64
	attachment uint64 // number of the stream in the term; 0 from a leader that does not number them
}

func orderToken(o *pb.AgentOrder) token {
	return token{term: o.GetTerm(), attachment: o.GetAttachment()}
}

func (t token) before(u token) bool {
	return t.term < u.term || t.term == u.term && t.attachment < u.attachment
}

// fence returns the fencing token for the worker. raised is how often the agent has
// raised it on the stream.
func (t token) fence(raised uint64) uint64 {
	out := t.term<<_attachmentBits | min(t.attachment, 1<<_attachmentBits-1)
	return out<<_raiseBits | min(raised, 1<<_raiseBits-1)
}

// fence returns the fencing token of the next order. r.mu must be held.
func (r *Runner) fence() uint64 { return r.token.fence(r.raised) }

// raiseToken lets the worker refuse the orders that were sent before, once it has answered
// a later one. The worker may have started again: the next incarnation has seen no token,
// and would carry out a late start whose run may have ended by then. r.mu must be held.
func (r *Runner) raiseToken() { r.raised++ }
