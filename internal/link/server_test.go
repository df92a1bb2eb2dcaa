package link

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcwire"
)

func wireFrame(message uint64, kind drpcwire.Kind, done bool, data []byte) []byte {
	return drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: message}, Kind: kind, Done: done, Data: data})
}

func join(parts ...[]byte) []byte {
	var out []byte
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

// TestFrameScanner guards against a scanner that loses track of frames which arrive in
// pieces of any size, and against connections that are not those of a process.
func TestFrameScanner(t *testing.T) {
	invoke := wireFrame(1, drpcwire.KindInvoke, true, []byte("/s/c"))
	large := make([]byte, 100_000)
	for _, tc := range []struct {
		name        string
		data        []byte
		invocations int
		messaged    bool
		size        int64 // of the incomplete message
		err         bool
	}{
		{name: "a call", data: join(invoke, wireFrame(2, drpcwire.KindMessage, true, large)), invocations: 1, messaged: true},
		{name: "an empty message", data: join(invoke, wireFrame(2, drpcwire.KindCloseSend, true, nil)), invocations: 1, messaged: true},
		{name: "a message in frames", data: join(invoke, wireFrame(2, drpcwire.KindMessage, false, large), wireFrame(2, drpcwire.KindMessage, true, large)), invocations: 1, messaged: true},
		{name: "an incomplete message", data: join(invoke, wireFrame(2, drpcwire.KindMessage, false, large)), invocations: 1, size: 100_000},
		{name: "an incomplete frame", data: join(invoke, wireFrame(2, drpcwire.KindMessage, true, large)[:50_000]), invocations: 1, size: 100_000},
		{name: "two calls", data: join(invoke, wireFrame(2, drpcwire.KindMessage, true, large), invoke), invocations: 2},
		{name: "metadata", data: join(wireFrame(1, drpcwire.KindInvokeMetadata, true, []byte("x")), invoke), invocations: 1},
		{name: "no call", data: wireFrame(1, drpcwire.KindMessage, true, large), err: true},
		{name: "a long name of a call", data: wireFrame(1, drpcwire.KindInvoke, true, large), err: true},
		{name: "much metadata", data: wireFrame(1, drpcwire.KindInvokeMetadata, true, large), err: true},
		{name: "a huge frame", data: join(invoke, drpcwire.AppendVarint([]byte{byte(drpcwire.KindMessage) << 1, 1, 2}, 1<<40)), err: true},
		{name: "other bytes", data: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), err: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, piece := range []int{1, 3, 4096, len(tc.data)} {
				var s frameScanner
				var err error
				for rest := tc.data; len(rest) > 0 && err == nil; {
					n := min(piece, len(rest))
					err = s.scan(rest[:n])
					rest = rest[n:]
				}
				if (err != nil) != tc.err {
					t.Fatalf("pieces of %d: got %v", piece, err)
				}
				if !tc.err && (s.invocations != tc.invocations || s.messaged != tc.messaged || s.messageSize() != tc.size) {
					t.Errorf("pieces of %d: got %d calls, messaged %v, size %d", piece, s.invocations, s.messaged, s.messageSize())
				}
			}
		})
	}
}

type bytesEncoding struct{}

func (bytesEncoding) Marshal(msg drpc.Message) ([]byte, error) { return *msg.(*[]byte), nil }

func (bytesEncoding) Unmarshal(data []byte, msg drpc.Message) error {
	*msg.(*[]byte) = append([]byte(nil), data...)
	return nil
}

// echoHandler answers a call with the length of its message, after the release if the
// call is to be held.
type echoHandler struct {
	reached chan struct{}
	release chan struct{}
}

func (h echoHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	var in []byte
	if rpc == "/count" {
		n := 0
		for stream.MsgRecv(&in, bytesEncoding{}) == nil {
			n++
		}
		out := make([]byte, n)
		return stream.MsgSend(&out, bytesEncoding{})
	}
	if err := stream.MsgRecv(&in, bytesEncoding{}); err != nil {
		return err
	}
	if rpc == "/hold" {
		h.reached <- struct{}{}
		select {
		case <-h.release:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
	out := make([]byte, len(in)/100+1)
	return stream.MsgSend(&out, bytesEncoding{})
}

type testServer struct {
	*testing.T
	*Server
	echoHandler
}

func startServer(t *testing.T, cfg ServerConfig) *testServer {
	h := echoHandler{reached: make(chan struct{}, 100), release: make(chan struct{})}
	s, err := Listen("127.0.0.1:0", h, cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return &testServer{T: t, Server: s, echoHandler: h}
}

func (s *testServer) call(pool *Pool, rpc string, size int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := pool.Get(ctx, time.Unix(0, 0), s.Address())
	if err != nil {
		return err
	}
	in, out := make([]byte, size), []byte(nil)
	if err := conn.Invoke(ctx, rpc, bytesEncoding{}, &in, &out); err != nil {
		_ = conn.Close()
		return err
	}
	if len(out) != size/100+1 {
		s.Errorf("a message of %d bytes was answered with %d bytes", size, len(out))
	}
	pool.Put(time.Unix(0, 0), s.Address(), conn)
	return nil
}

// send opens a connection that sends data and stays open.
func (s *testServer) send(data []byte) net.Conn {
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		s.Error(err)
		return nil
	}
	s.Cleanup(func() { _ = c.Close() })
	// A write fails if the server has closed the connection.
	_, _ = c.Write(data)
	return c
}

// TestCallsBesideStalledMessages guards against clients that keep the budget with
// messages that never end.
func TestCallsBesideStalledMessages(t *testing.T) {
	s := startServer(t, ServerConfig{Connections: 100, MessageBudget: 12 << 20})
	invoke := wireFrame(1, drpcwire.KindInvoke, true, []byte("/echo"))
	message := wireFrame(2, drpcwire.KindMessage, true, make([]byte, 3<<20))
	for range 10 {
		go s.send(join(invoke, message[:len(message)-1]))
	}
	time.Sleep(2 * _messageStall)
	var pool Pool
	defer pool.Close()
	for _, size := range []int{10, 4 << 20, 10, 7 << 20} {
		var err error
		for range 10 {
			if err = s.call(&pool, "/echo", size); err == nil {
				break
			}
		}
		if err != nil {
			t.Errorf("a message of %d bytes: %v", size, err)
		}
	}
	if held := s.budget.Held(); held > 12<<20 {
		t.Errorf("messages hold %d bytes", held)
	}
}

// TestMessagesBackToBack guards against an account that goes on with the next message of
// a stream, part of which has arrived with the end of the one before.
func TestMessagesBackToBack(t *testing.T) {
	s := startServer(t, ServerConfig{Connections: 8, MessageBudget: 12 << 20})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := Dial(ctx, s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	stream, err := conn.NewStream(ctx, "/count", bytesEncoding{})
	if err != nil {
		t.Fatal(err)
	}
	const messages = 400
	r := rand.New(rand.NewPCG(1, 1))
	for range messages {
		size := r.IntN(2 * _smallMessage)
		if r.IntN(4) == 0 {
			size = r.IntN(1 << 20)
		}
		message := make([]byte, size)
		if err := stream.MsgSend(&message, bytesEncoding{}); err != nil {
			t.Fatal(err)
		}
	}
	if err := stream.CloseSend(); err != nil {
		t.Fatal(err)
	}
	var out []byte
	if err := stream.MsgRecv(&out, bytesEncoding{}); err != nil || len(out) != messages {
		t.Errorf("%d of %d messages arrived, %v", len(out), messages, err)
	}
}

// TestConnectionsGiveWay guards against clients that take all connections: those without
// a complete call are closed, those whose call is being handled stay.
func TestConnectionsGiveWay(t *testing.T) {
	s := startServer(t, ServerConfig{Connections: 8, MessageBudget: 12 << 20})
	var pool Pool
	defer pool.Close()
	held := make(chan error, 3)
	for range cap(held) {
		go func() { held <- s.call(&pool, "/hold", 10) }()
		<-s.reached
	}
	invoke := wireFrame(1, drpcwire.KindInvoke, true, []byte("/echo"))
	for i := range 50 {
		s.send(invoke[:len(invoke)*(i%2+1)/2]) // a part of a call, or a call without its message
	}
	time.Sleep(50 * time.Millisecond)
	if err := s.call(&Pool{}, "/echo", 10); err != nil {
		t.Errorf("a call beside idle clients: %v", err)
	}
	close(s.release)
	for range cap(held) {
		if err := <-held; err != nil {
			t.Errorf("a call in processing: %v", err)
		}
	}
}

// TestForeignBytesEndConnection guards against connections that stay open, with what
// they sent, although they can't be those of a process.
func TestForeignBytesEndConnection(t *testing.T) {
	s := startServer(t, ServerConfig{Connections: 8, MessageBudget: 12 << 20})
	for _, data := range [][]byte{
		[]byte("POST / HTTP/1.1\r\n\r\n"), wireFrame(1, drpcwire.KindMessage, true, []byte("x")),
		wireFrame(1, drpcwire.KindInvoke, false, make([]byte, _maxInvocation+1)),
	} {
		c := s.send(data)
		if c == nil {
			continue
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		var timeout net.Error
		if _, err := io.Copy(io.Discard, c); errors.As(err, &timeout) && timeout.Timeout() {
			t.Errorf("%.20q: the connection stays open", data)
		}
	}
}

// TestLargeMessageRetiresConnection guards against idle connections that keep the
// buffers of large messages, and against one that is closed although it is used.
func TestLargeMessageRetiresConnection(t *testing.T) {
	s := startServer(t, ServerConfig{Connections: 8, MessageBudget: 12 << 20})
	var pool Pool
	defer pool.Close()
	for range 3 { // each within _retireDelay of the one before
		if err := s.call(&pool, "/echo", 1<<20); err != nil {
			t.Fatal(err)
		}
		time.Sleep(_retireDelay / 2)
	}
	if s.listener.Open() != 1 {
		t.Errorf("%d connections are open, want the one that is used", s.listener.Open())
	}
	for deadline := time.Now().Add(10 * time.Second); s.listener.Open() > 0 || s.budget.Held() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections hold %d bytes", s.listener.Open(), s.budget.Held())
		}
	}
}
