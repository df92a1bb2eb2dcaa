package peers

import (
	"context"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/internal/link"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
)

// Bounds of a connection to another replica.
const (
	_mostMailbox   = 1024                   // messages that wait for a slow peer; older ones are dropped
	_redialPause   = 100 * time.Millisecond // between dials
	_peerSilentFor = time.Second            // without a sign of life until a redial
)

// mailbox holds the messages to one peer. The protocol bears lost messages,
// so a full mailbox drops the oldest.
type mailbox struct {
	mu       sync.Mutex
	messages []replica.Message
	signal   chan struct{} // size one
}

func newMailbox() *mailbox { return &mailbox{signal: make(chan struct{}, 1)} }

func (b *mailbox) put(m replica.Message) {
	b.mu.Lock()
	b.messages = append(b.messages, m)
	if extra := len(b.messages) - _mostMailbox; extra > 0 {
		b.messages = b.messages[extra:]
	}
	b.mu.Unlock()
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

func (b *mailbox) takeAll() []replica.Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.messages
	b.messages = nil
	return all
}

// peer is the task that sends to one other replica.
type peer struct {
	address string
	self    string // own address, for a receiver that does not know it
	box     *mailbox
	cancel  context.CancelFunc
}

func (p *peer) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.connectOnce(ctx)
		p.box.takeAll() // messages of a broken connection are out of date
		select {
		case <-ctx.Done():
		case <-time.After(_redialPause):
		}
	}
}

func (p *peer) connectOnce(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := link.Dial(ctx, p.address)
	if err != nil {
		return
	}
	defer conn.Close()
	stream, err := pb.NewDRPCControllerClient(conn).Step(ctx)
	if err != nil {
		return
	}
	var heard sync.WaitGroup
	heard.Go(func() {
		defer cancel()
		hearBeats(stream, conn)
	})
	defer heard.Wait()
	defer conn.Close()
	p.sendAll(ctx, stream)
}

// hearBeats returns when the peer's signs of life stop.
func hearBeats(stream pb.DRPCController_StepClient, conn *link.Conn) {
	silence := time.AfterFunc(_peerSilentFor, func() { _ = conn.Close() })
	defer silence.Stop()
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
		silence.Reset(_peerSilentFor)
	}
}

func (p *peer) sendAll(ctx context.Context, stream pb.DRPCController_StepClient) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.box.signal:
		}
		for _, m := range p.box.takeAll() {
			out := wire.EncodeMessage(m)
			out.FromAddress = p.self
			if err := stream.Send(out); err != nil {
				return
			}
		}
	}
}
