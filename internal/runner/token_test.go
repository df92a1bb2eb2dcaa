package runner

import (
	"testing"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// TestFenceOrdersStreams guards against a token that is lower than one of an earlier stream,
// or that a worker reads as another number.
func TestFenceOrdersStreams(t *testing.T) {
	const most = 1 << 53 // of the whole numbers that a float64 holds exactly
	last := token{}.fence(0)
	for _, tok := range []token{
		{term: 1},
		{term: 1, attachment: 1},
		{term: 1, attachment: 2},
		{term: 1, attachment: 1<<_attachmentBits - 1},
		{term: 2},
		{term: 2, attachment: 1},
		{term: 1<<24 + 1, attachment: 1},
		{term: 1<<25 - 1, attachment: 1<<_attachmentBits - 1},
	} {
		for _, raised := range []uint64{0, 1, 1<<_raiseBits - 1} {
			got := tok.fence(raised)
			if got <= last || got >= most {
				t.Errorf("%+v raised %d times gives %d after %d, want more, and less than %d", tok, raised, got, last, uint64(most))
			}
			last = got
		}
		if got := tok.fence(1 << _raiseBits); got != last {
			t.Errorf("%+v raised beyond its bits gives %d, want %d", tok, got, last)
		}
	}
	for bits := _attachmentBits; bits < 64; bits++ {
		if a, b := (token{term: 1, attachment: 1 << bits}), (token{term: 2}); a.fence(0) >= b.fence(0) {
			t.Errorf("stream %d, which is beyond the numbers of term 1, has the token %d, term 2 begins with %d", a.attachment, a.fence(0), b.fence(0))
		}
	}
}

// TestTokenIsNeverLowered guards against orders that a worker refuses, or that a late one of
// the agent's own overtakes, since a new stream or an old order has lowered the token.
func TestTokenIsNeverLowered(t *testing.T) {
	r := newRunner(t, &fakeWorker{})
	fence := func() uint64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.fence()
	}
	last := fence()
	for _, o := range []*pb.AgentOrder{
		{Term: 1, Attachment: 1},
		{Term: 1, Attachment: 1}, // further ones of the stream
		{Term: 1},                // a leader that does not number its streams
		{Term: 1, Attachment: 2},
		{Term: 1, Attachment: 1},
		{Term: 3, Attachment: 1},
		{Term: 2, Attachment: 9},
		{Term: 4},
		{Term: 4},
		{Term: 4, Attachment: 1},
	} {
		r.mu.Lock()
		r.raiseToken()
		r.mu.Unlock()
		if got := fence(); got <= last {
			t.Errorf("raised before %v: got %d after %d", o, got, last)
		}
		last = fence()
		r.deliverOrder(o)
		if got := fence(); got < last {
			t.Errorf("after %v: got %d after %d", o, got, last)
		}
		last = fence()
	}
}
