package runner

import "github.com/gentianrail/gentianrail/internal/wire/pb"

// _attachmentBits is the size of the part of a fencing token that numbers the streams
// of one machine in one term. With the term it fits into the integers that JSON numbers
// hold exactly.
const _attachmentBits = 20

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

// fence returns the fencing token for the worker.
func (t token) fence() uint64 {
	return t.term<<_attachmentBits | min(t.attachment, 1<<_attachmentBits-1)
}
