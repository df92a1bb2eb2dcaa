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

// Limits of a connection to another replica.
const (
	_maxMailboxMessages = 1024                   // that wait for a slow peer; the oldest are discarded
	_redialInterval     = 100 * time.Millisecond // from the end of a connection to the next dial
	_peerTimeout        = time.Second            // without a heartbeat until the connection is closed
)

// mailbox holds the messages to one peer. The protocol tolerates lost messages,
// so a full mailbox discards the oldest.
type mailbox struct {
	mu       sync.Mutex
	messages []replica.Message
	signal   chan struct{} // buffer of one
}

func newMailbox() *mailbox { return &mailbox{signal: make(chan struct{}, 1)} }

func (b *mailbox) put(m replica.Message) {
	b.mu.Lock()
	b.messages = append(b.messages, m)
	if extra := len(b.messages) - _maxMailboxMessages; extra > 0 {
		b.messages = b.messages[extra:]
	}
	b.mu.Unlock()
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

func (b *mailbox) popAll() []replica.Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.messages
	b.messages = nil
	return all
}

// peer sends messages to one other replica. run is its goroutine.
type peer struct {
	address string
	self    string // address of this replica, for a receiver that does not know the address
	mailbox *mailbox
	cancel  context.CancelFunc
}

func (p *peer) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.connectOnce(ctx)
		p.mailbox.popAll() // messages for a broken connection are out of date
		select {
		case <-ctx.Done():
		case <-time.After(_redialInterval):
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
	var receiver sync.WaitGroup
	receiver.Go(func() {
		defer cancel()
		receiveHeartbeats(stream, conn)
	})
	defer receiver.Wait()
	defer conn.Close()
	p.sendMessages(ctx, stream)
}

// receiveHeartbeats reads the peer's heartbeats and returns when they stop.
func receiveHeartbeats(stream pb.DRPCController_StepClient, conn *link.Conn) {
	timeout := time.AfterFunc(_peerTimeout, func() { _ = conn.Close() })
	defer timeout.Stop()
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
		timeout.Reset(_peerTimeout)
	}
}

func (p *peer) sendMessages(ctx context.Context, stream pb.DRPCController_StepClient) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.mailbox.signal:
		}
		for _, m := range p.mailbox.popAll() {
			out := wire.EncodeReplicaMessage(m)
			out.FromAddress = p.self
			if err := stream.Send(out); err != nil {
				return
			}
		}
	}
}
