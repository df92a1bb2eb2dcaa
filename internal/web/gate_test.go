package web

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

// gateServer is a server behind a gate. Its handler reads the body, and then holds
// the request until the test releases it.
type gateServer struct {
	*testing.T
	server  *Server
	gate    *Gate
	reached chan string   // one value for each body that was read
	release chan struct{} // closed to answer the requests to /hold
	ended   atomic.Int64  // requests to /hold whose context ended early, and to /long whose answer was sent or failed
}

const _testLimit = 100_000

func startGateServer(t *testing.T, change func(*GateConfig)) *gateServer {
	cfg := GateConfig{
		BodyBudget: 256 << 10, Connections: 8, Buffer: 16 << 10,
		BodyTimeout: 30 * time.Second, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second,
	}
	if change != nil {
		change(&cfg)
	}
	s := &gateServer{T: t, gate: NewGate(cfg), reached: make(chan string, 100), release: make(chan struct{})}
	var err error
	if s.server, err = s.gate.Listen("127.0.0.1:0", http.HandlerFunc(s.serve)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = s.server.Shutdown(ctx)
	})
	return s
}

func (s *gateServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/reject" {
		WriteFault(w, fault.New(fault.NotFound, "path does not exist"))
		return
	}
	if r.URL.Path == "/long" {
		s.reached <- r.URL.Path
		_, _ = w.Write(make([]byte, 64<<20))
		s.ended.Add(1)
		return
	}
	if r.URL.Path == "/watch" {
		end, err := BeginLasting(r)
		if err != nil {
			WriteFault(w, err)
			return
		}
		defer end()
		s.reached <- r.URL.Path
		<-s.release
		return
	}
	if r.URL.Path == "/unread" {
		w.WriteHeader(http.StatusNotFound)
		_ = http.NewResponseController(w).Flush() // as a long answer does before the handler returns
		return
	}
	data, err := ReadBody(w, r, _testLimit)
	if err != nil {
		WriteFault(w, err)
		return
	}
	s.reached <- r.URL.Path
	if r.URL.Path == "/panic" {
		BeginDecoding(r, len(data))
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/hold" {
		select {
		case <-s.release:
		case <-r.Context().Done():
			s.ended.Add(1)
			return
		}
	}
	fmt.Fprintf(w, "%d", len(data))
}

// client is a connection of a raw client.
type client struct {
	net.Conn
	in *bufio.Reader
}

func (s *gateServer) dial(text string) *client {
	s.Helper()
	c, err := net.Dial("tcp", s.server.Address())
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		s.Fatal(err)
	}
	return &client{c, bufio.NewReader(c)}
}

// post returns a request whose body lacks the last bytes.
func post(path string, size, missing int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", size-missing))
}

// answer reads an answer and returns its status and whether the connection stays.
func (c *client) answer() (status int, body string, kept bool, err error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", false, err
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, string(data), !resp.Close, err
}

func (s *gateServer) expect(c *client, status int, body string, kept bool) {
	s.Helper()
	got, text, stays, err := c.answer()
	if err != nil || got != status || body != "" && text != body || stays != kept {
		s.Errorf("got %d %.80q, kept %v, %v; want %d %q, kept %v", got, text, stays, err, status, body, kept)
	}
}

// TestConnectionIsKeptAfterBody guards against connections that are closed after
// each request, and against budget that is not released.
func TestConnectionIsKeptAfterBody(t *testing.T) {
	s := startGateServer(t, nil)
	c := s.dial("")
	for range 20 {
		fmt.Fprint(c, post("/", 90_000, 0))
		s.expect(c, 200, "90000", true)
		chunk := strings.Repeat("x", 30_000)
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7530\r\n%s\r\n7530\r\n%s\r\n0\r\n\r\n", chunk, chunk)
		s.expect(c, 200, "60000", true)
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		s.expect(c, 200, "0", true)
	}
	if held := s.gate.budget.Held(); held != 0 {
		t.Errorf("%d bytes are held after all requests", held)
	}
}

// TestAnswerDoesNotAwaitAnnouncedBody guards against an answer that waits for the body
// of a client that sends it only when it is told to continue.
func TestAnswerDoesNotAwaitAnnouncedBody(t *testing.T) {
	s := startGateServer(t, nil)
	s.expect(s.dial("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\nExpect: 100-continue\r\n\r\n"), 404, "", false)
}

// TestPanicEndsDecoding guards against decoders that fail and keep all later large
// bodies waiting.
func TestPanicEndsDecoding(t *testing.T) {
	s := startGateServer(t, nil)
	for range _concurrentDecode {
		c := s.dial(post("/panic", 90_000, 0))
		if _, _, _, err := c.answer(); err == nil {
			t.Error("the request was answered")
		}
	}
	if n := len(s.gate.decoding); n != 0 {
		t.Errorf("%d bodies count as being decoded after their requests", n)
	}
}

// TestServerEndsSendingFirst guards against connections that are closed with unread
// bytes before the client has the answer.
func TestServerEndsSendingFirst(t *testing.T) {
	s := startGateServer(t, nil)
	l, err := s.gate.listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	closer, ok := c.(interface{ CloseWrite() error }) // as net/http asks
	if !ok {
		t.Fatal("the server can't end the sending direction alone")
	}
	if err := closer.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = peer.SetDeadline(time.Now().Add(10 * time.Second))
	if n, err := peer.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("the peer reads %d bytes, %v; want the end", n, err)
	}
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Errorf("what the peer sends later is lost: %v", err)
	}
}

// TestBodyOverLimitIsRejected guards against bodies over the limit that are held or
// accepted, announced or not.
func TestBodyOverLimitIsRejected(t *testing.T) {
	s := startGateServer(t, nil)
	s.expect(s.dial(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", _testLimit+1)), 413, "", false)
	c := s.dial("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	go fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", _testLimit+1, strings.Repeat("x", _testLimit+1))
	s.expect(c, 413, "", false)
	s.expect(s.dial(post("/", _testLimit, 0)), 200, fmt.Sprint(_testLimit), true)
}

// TestStalledBodiesAreCutOffForOthers guards against clients that stop short of the
// end and keep others out, and against requests in processing that are cut off.
func TestStalledBodiesAreCutOffForOthers(t *testing.T) {
	s := startGateServer(t, nil)
	processing := s.dial(post("/hold", 60_000, 0))
	<-s.reached
	stalled := s.dial(post("/", 90_000, 7))
	time.Sleep(2 * _bodyStall)
	s.expect(s.dial(post("/", 90_000, 0)), 200, "90000", true)
	got, text, kept, err := stalled.answer()
	if err != nil || got != http.StatusServiceUnavailable || kept || !strings.Contains(text, `"ran":"no"`) {
		t.Errorf("the stalled client got %d %q, kept %v, %v", got, text, kept, err)
	}
	close(s.release)
	s.expect(processing, 200, "60000", true)
}

// TestSlowBodyIsServedWithoutPressure guards against slow clients that are cut off
// although nothing else waits.
func TestSlowBodyIsServedWithoutPressure(t *testing.T) {
	s := startGateServer(t, nil)
	c := s.dial(post("/", 20, 20))
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		fmt.Fprint(c, "x")
	}
	s.expect(c, 200, "20", true)
}

// TestBodyEndsInTime guards against bodies that never end.
func TestBodyEndsInTime(t *testing.T) {
	s := startGateServer(t, func(cfg *GateConfig) { cfg.BodyTimeout = 300 * time.Millisecond })
	s.expect(s.dial(post("/", 50_000, 7)), 503, "", false)
}

// TestProcessingOutlastsBodyTimeout guards against a deadline for the body that ends
// a request in processing, or one without a body.
func TestProcessingOutlastsBodyTimeout(t *testing.T) {
	s := startGateServer(t, func(cfg *GateConfig) {
		cfg.BodyTimeout, cfg.HeaderTimeout, cfg.IdleTimeout = 50*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond
	})
	clients := []*client{
		s.dial(post("/hold", 60_000, 0)), s.dial("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"),
		s.dial("POST /hold HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
	}
	for range clients {
		<-s.reached
	}
	time.Sleep(_timeoutSlack + 500*time.Millisecond)
	close(s.release)
	for _, c := range clients {
		if got, text, _, err := c.answer(); err != nil || got != 200 {
			t.Errorf("got %d %q, %v", got, text, err)
		}
	}
	if n := s.ended.Load(); n > 0 {
		t.Errorf("%d requests were ended", n)
	}
}

// TestConnectionsBeyondLimit guards against clients that take all connections: those
// without a request are closed, those whose request is being processed stay.
func TestConnectionsBeyondLimit(t *testing.T) {
	s := startGateServer(t, nil)
	held := []*client{s.dial(post("/hold", 10, 0)), s.dial("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")}
	for range held {
		<-s.reached
	}
	for range 30 {
		s.dial("POST / HTTP/1.1\r\nHost: h\r\nX-Slow: ")
	}
	for range 30 {
		s.dial(post("/reject", 100, 100)) // its rejected body is awaited
	}
	time.Sleep(2 * _bodyStall)
	for range 5 {
		s.expect(s.dial(post("/", 10, 0)), 200, "10", true)
	}
	close(s.release)
	for _, c := range held {
		if got, text, _, err := c.answer(); err != nil || got != 200 {
			t.Errorf("a request in processing got %d %q, %v", got, text, err)
		}
	}
	if n := s.gate.observer.Connections(); n > 8 {
		t.Errorf("%d connections are open, the limit is 8", n)
	}
}

// TestStalledBodiesGiveWayToConnections guards against clients that take all
// connections with small bodies, for which the budget has room.
func TestStalledBodiesGiveWayToConnections(t *testing.T) {
	s := startGateServer(t, nil)
	for range 8 {
		s.dial(post("/", 100, 7))
	}
	time.Sleep(2 * _bodyStall)
	for range 8 {
		s.expect(s.dial(post("/", 10, 0)), 200, "10", true)
	}
}

// TestConnectionsInProcessingAreKept guards against a request in processing that is
// closed for a new connection: the new one is rejected.
func TestConnectionsInProcessingAreKept(t *testing.T) {
	s := startGateServer(t, nil)
	var held []*client
	for range 8 {
		held = append(held, s.dial(post("/hold", 10, 0)))
		<-s.reached
	}
	got, _, kept, err := s.dial("").answer()
	if err == nil && (got != 503 || kept) {
		t.Errorf("a connection beyond the limit got %d, kept %v", got, kept)
	}
	close(s.release)
	for _, c := range held {
		s.expect(c, 200, "10", true)
	}
}

// TestWatchesLeaveConnections guards against watches that take all connections, and
// against a limit of watches that is used up by those that have ended.
func TestWatchesLeaveConnections(t *testing.T) {
	s := startGateServer(t, nil)
	const watches = 6 // of 8 connections
	var open []*client
	for range watches {
		open = append(open, s.dial("GET /watch HTTP/1.1\r\nHost: h\r\n\r\n"))
		<-s.reached
	}
	for range 3 {
		s.expect(s.dial("GET /watch HTTP/1.1\r\nHost: h\r\n\r\n"), 503, "", true)
		s.expect(s.dial(post("/", 10, 0)), 200, "10", true)
	}
	close(s.release)
	for _, c := range open {
		s.expect(c, 200, "", true)
	}
	s.expect(s.dial("GET /watch HTTP/1.1\r\nHost: h\r\n\r\n"), 200, "", true)
}

// TestUnreadAnswersGiveWay guards against clients that take all connections with answers
// that they don't read.
func TestUnreadAnswersGiveWay(t *testing.T) {
	s := startGateServer(t, nil)
	for range 8 {
		s.dial("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
		<-s.reached
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if got, _, _, err := s.dial(post("/", 10, 0)).answer(); err == nil && got == 200 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no ordinary request was answered")
		}
	}
}

// TestUnreadAnswersEnd guards against answers that wait for a client for ever, and with
// them a shutdown, and against one that is cut off although the client reads it slowly.
func TestUnreadAnswersEnd(t *testing.T) {
	s := startGateServer(t, func(cfg *GateConfig) { cfg.IdleTimeout = 300 * time.Millisecond })
	s.dial("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	for deadline := time.Now().Add(20 * time.Second); s.ended.Load() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the answer has not ended")
		}
	}
	slow := s.dial("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(slow.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	for range 10 { // for longer than the idle timeout
		time.Sleep(50 * time.Millisecond)
		if _, err := io.CopyN(io.Discard, resp.Body, 1<<20); err != nil {
			t.Fatalf("the answer was cut off: %v", err)
		}
	}
}

// TestShutdownFinishesRequests guards against a drain that cuts off a request whose
// body is being received or that is in processing.
func TestShutdownFinishesRequests(t *testing.T) {
	s := startGateServer(t, nil)
	processing := s.dial(post("/hold", 60_000, 0))
	<-s.reached
	receiving := s.dial(post("/", 1000, 1))
	time.Sleep(100 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- s.server.Shutdown(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	fmt.Fprint(receiving, "x")
	close(s.release)
	s.expect(processing, 200, "60000", false)
	s.expect(receiving, 200, "1000", false)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestStreamedBodyIsNotHeld guards against a body that is passed on and counts as
// held, and against its end by the time for a body while the receiver waits.
func TestStreamedBodyIsNotHeld(t *testing.T) {
	gate := NewGate(GateConfig{
		BodyBudget: 256 << 10, Connections: 8, Buffer: 16 << 10,
		BodyTimeout: 50 * time.Millisecond, HeaderTimeout: time.Second, IdleTimeout: time.Second,
	})
	server, err := gate.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, complete, err := ReadPrefix(w, r, 1000, time.Time{})
		if err != nil || complete {
			t.Errorf("got %d bytes, complete %v, %v", len(data), complete, err)
		}
		StreamRest(r)
		time.Sleep(_timeoutSlack + 200*time.Millisecond)
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, int64(len(data))+n, err)
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	body := bytes.Repeat([]byte("x"), 1_000_000)
	for _, r := range []io.Reader{bytes.NewReader(body), io.MultiReader(bytes.NewReader(body))} { // announced and chunked
		resp, err := http.Post("http://"+server.Address(), "", r)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if string(text) != "1000000<nil>" && string(text) != "1000000 <nil>" {
			t.Errorf("got %q", text)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}

// BenchmarkSmallBody measures what the gate adds to an ordinary request.
func BenchmarkSmallBody(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, _testLimit); err != nil {
			b.Error(err)
		}
	})
	for name, gate := range map[string]*Gate{"without": nil, "with": NewGate(GateConfig{
		BodyBudget: 12 << 20, Connections: 100, Buffer: 24 << 10, BodyTimeout: time.Minute, HeaderTimeout: time.Minute, IdleTimeout: time.Minute,
	})} {
		b.Run(name, func(b *testing.B) {
			server, err := gate.Listen("127.0.0.1:0", handler)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = server.Shutdown(context.Background()) }()
			c := &http.Client{Transport: &http.Transport{}}
			body := strings.Repeat("x", 1000)
			for b.Loop() {
				resp, err := c.Post("http://"+server.Address(), "", strings.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			c.CloseIdleConnections()
		})
	}
}
