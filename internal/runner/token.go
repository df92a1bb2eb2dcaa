package runner

import (
	"slices"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

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

// _maxIdentifiers bounds the identifiers that are remembered. Orders for a worker that is
// gone arrive within seconds.
const _maxIdentifiers = 16

// identifiers are the identifiers of former incarnations, each with the latest token of
// an order that may name it, the latest one last. The zero value is empty.
type identifiers []identifierToken

type identifierToken struct {
	id    string
	token token
}

// record records the latest token of the orders that name an identifier.
func (ids *identifiers) record(id string, t token) {
	if id == "" {
		return
	}
	rest := slices.DeleteFunc(*ids, func(i identifierToken) bool { return i.id == id })
	*ids = append(rest[max(0, len(rest)-_maxIdentifiers+1):], identifierToken{id: id, token: t})
}

// token returns the latest token of the orders that name an identifier; zero for none.
func (ids identifiers) token(id string) token {
	for _, i := range ids {
		if i.id == id {
			return i.token
		}
	}
	return token{}
}
