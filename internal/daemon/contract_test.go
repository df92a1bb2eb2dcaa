package daemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/workerapi"
)

// faultyTarget is a target whose paths select how it misbehaves.
type faultyTarget struct {
	server          *httptest.Server
	runs            sync.Map      // counts of runs (*atomic.Int64) by path
	release         chan struct{} // each receive ends one request to /hang
	truncatedBodies atomic.Int64  // requests whose body ended early
}

func startFaultyTarget(t *testing.T, address string) *faultyTarget {
	t.Helper()
	f := &faultyTarget{release: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	f.server = &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(f.serve)}}
	f.server.Start()
	t.Cleanup(f.server.Close)
	return f
}

func (f *faultyTarget) runCount(path string) int64 {
	n, _ := f.runs.LoadOrStore(path, new(atomic.Int64))
	return n.(*atomic.Int64).Load()
}

func (f *faultyTarget) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, workerapi.Prefix) {
		fmt.Fprint(w, `{"clock_ms": 1000}`)
		return
	}
	n, _ := f.runs.LoadOrStore(r.URL.Path, new(atomic.Int64))
	run := n.(*atomic.Int64).Add(1)
	switch {
	case strings.HasPrefix(r.URL.Path, "/close"):
		closeConnection(w)
	case strings.HasPrefix(r.URL.Path, "/hang"):
		<-f.release
		fmt.Fprintf(w, "late run %d", run)
	case r.URL.Path == "/short":
		w.Header().Set("Content-Length", "100000")
		fmt.Fprint(w, strings.Repeat("x", 40000))
		closeConnection(w)
	case r.URL.Path == "/chunked_cut":
		fmt.Fprint(w, strings.Repeat("x", 40000))
		_ = http.NewResponseController(w).Flush()
		closeConnection(w)
	case r.URL.Path == "/empty":
		w.WriteHeader(http.StatusNoContent)
	case r.URL.Path == "/fail":
		http.Error(w, "broken", http.StatusInternalServerError)
	case strings.HasPrefix(r.URL.Path, "/events"):
		f.serveEvents(w, r)
	case strings.HasPrefix(r.URL.Path, "/echo"):
		w.Header().Set("X-Seen", r.Header.Get("X-Caller")+"|"+r.Header.Get("Connection")+"|"+r.Host+"|"+r.URL.RequestURI())
		// The body is read first, since the server discards unread parts of it
		// once the answer begins.
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	default:
		body, err := io.ReadAll(r.Body)
		if err != nil {
			f.truncatedBodies.Add(1)
			return
		}
		fmt.Fprintf(w, "run %d %s", run, body)
	}
}

func closeConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// serveEvents sends the three events after the caller's last one and closes the
// connection within the fourth.
func (f *faultyTarget) serveEvents(w http.ResponseWriter, r *http.Request) {
	var last int
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-ID"), &last)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= last+3; n++ {
		fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", n, n)
	}
	fmt.Fprintf(w, "id: %d\nda", last+4)
	_ = http.NewResponseController(w).Flush()
	closeConnection(w)
}

const _contractEntries = `{"name": "quotes", "owner": "workshop", "class": "service", "target": "sample",
	"limits": {"slots": 4, "queue": 0, "request_timeout": "5s", "body_size": "8MiB"}, "objective": {"ratio": 0.99, "latency": "1s"}}
{"name": "keyed", "owner": "workshop", "class": "service", "target": "sample", "key_required": true,
	"limits": {"body_size": "1KiB"}, "objective": {"ratio": 0.99, "latency": "1s"}}
{"name": "narrow", "owner": "workshop", "class": "service", "target": "sample",
	"limits": {"slots": 1, "queue": 0, "request_timeout": "5s"}, "objective": {"ratio": 0.99, "latency": "1s"}}
{"name": "single", "owner": "workshop", "class": "service", "target": "sample",
	"limits": {"slots": 1, "queue": 4, "request_timeout": "20s", "body_size": "8MiB"}, "objective": {"ratio": 0.99, "latency": "1s"}}
{"name": "stock", "owner": "workshop", "class": "watch", "target": "sample", "objective": {"ratio": 0.99, "latency": "1s"}}`

// startContractDaemon starts controller, agent and entry in front of a faulty
// target, and declares the entries.
func startContractDaemon(t *testing.T, firstPort int) (caller string, target *faultyTarget) {
	t.Helper()
	address := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+n) }
	target = startFaultyTarget(t, address(4))
	file := filepath.Join(t.TempDir(), "settings.json")
	text := fmt.Sprintf(`{"name": "single", "zone": "zone_a", "roles": ["controller", "agent", "entry"],
		"controller": {"id": "c1", "address": %q, "operator_address": %q, "data_folder": "data"},
		"entry": {"address": %q}, "agent": {"id": "w1", "address": %q, "target_address": %q, "targets": ["sample"],
		"slots": 16, "connections": 64, "cpu": "4", "memory": "4GiB"}, "intake": {"body_budget": "12MiB"}}`, address(0), address(1), address(2), address(3), address(4))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := settings.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	d, err := Start(&s, event.Log{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Stop(t.Context()) })
	t.Cleanup(func() { close(target.release) })
	declareContractEntries(t, "http://"+address(1))
	caller = "http://" + address(2)
	waitUntilOK(t, caller+"/v1/services/narrow/ready")
	waitUntilOK(t, caller+"/v1/services/keyed/ready")
	return caller, target
}

func declareContractEntries(t *testing.T, operator string) {
	t.Helper()
	for _, doc := range strings.Split(_contractEntries, "\n{") {
		doc = "{" + strings.TrimPrefix(doc, "{")
		name := strings.Split(doc, `"`)[3]
		eventually(t, "declare "+name, func() error {
			req, err := http.NewRequest(http.MethodPut, operator+"/v1/catalogue/entries/"+name, strings.NewReader(doc))
			if err != nil {
				return err
			}
			return expectOK(http.DefaultClient.Do(req))
		})
	}
}

// exchange is a request and the answer that it should get.
type exchange struct {
	name   string
	method string
	path   string
	key    string
	body   string
	status int
	code   string // error code of the system's answer; empty for the target's answer
	ran    string // header Gentianrail-Ran
	want   string // body of the target's answer
	runs   int64  // of the path at the target, after this request
}

func sendRequest(t *testing.T, caller string, x exchange) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), x.method, caller+x.path, strings.NewReader(x.body))
	if err != nil {
		t.Fatal(err)
	}
	if x.key != "" {
		req.Header.Set("Idempotency-Key", x.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// TestCallerContract checks the answers that callers get and how often the
// target runs each request. The requests run in order against one target.
func TestCallerContract(t *testing.T) {
	caller, target := startContractDaemon(t, 18720)
	const quotes, keyed = "/v1/services/quotes", "/v1/services/keyed"
	for _, x := range []exchange{
		{"GET without a key", "GET", quotes + "/a", "", "", 200, "", "", "run 1 ", 1},
		{"POST without a key", "POST", quotes + "/b", "", "x", 200, "", "", "run 1 x", 1},
		{"a repeat without a key runs again", "POST", quotes + "/b", "", "x", 200, "", "", "run 2 x", 2},
		{"POST with a key", "POST", quotes + "/c", "k1", "x", 200, "", "", "run 1 x", 1},
		{"a resend with the key gets the first answer", "POST", quotes + "/c", `"k1"`, "x", 200, "", "", "run 1 x", 1},
		{"another body with a used key", "POST", quotes + "/c", "k1", "y", 422, "1302", "no", "", 1},
		{"another path with a used key", "POST", quotes + "/d", "k1", "x", 422, "1302", "no", "", 0},
		{"the same key at another entry", "POST", keyed + "/c", "k1", "x", 200, "", "", "run 2 x", 2},
		{"a malformed key", "POST", quotes + "/e", `"`, "x", 400, "1306", "no", "", 0},
		{"a required key is missing", "POST", keyed + "/e", "", "x", 400, "1301", "no", "", 0},
		{"an idempotent request needs no key", "GET", keyed + "/f", "", "", 200, "", "", "run 1 ", 1},
		{"an unknown entry", "GET", "/v1/services/none/a", "", "", 404, "1103", "no", "", 1},
		{"a watch called as a service", "GET", "/v1/services/stock/a", "", "", 400, "1105", "no", "", 1},
		{"an unknown path", "GET", "/v2/none", "", "", 404, "1211", "no", "", 0},
		{"a body over the limit", "POST", keyed + "/g", "k2", strings.Repeat("x", 1025), 413, "1206", "no", "", 0},
		{"a body at the limit", "POST", keyed + "/g", "k2", strings.Repeat("x", 1024), 200, "", "", "run 1 " + strings.Repeat("x", 1024), 1},
		{"the target's own failure", "GET", quotes + "/fail", "", "", 500, "", "", "broken\n", 1},
		{"an answer without a body", "GET", quotes + "/empty", "", "", 204, "", "", "", 1},
		{"HEAD", "HEAD", quotes + "/a", "", "", 200, "", "", "", 2},
		{"the target closes the connection of a POST", "POST", quotes + "/close1", "", "x", 502, "1207", "unknown", "", 1},
		{"the target closes the connection of a POST without a body", "POST", quotes + "/close2", "", "", 502, "1207", "unknown", "", 1},
		{"the target closes the connection of a POST with a key", "POST", quotes + "/close3", "k3", "x", 502, "1207", "unknown", "", 1},
		{"a request that leaves an idle connection", "GET", quotes + "/b", "", "", 200, "", "", "run 3 ", 3},
		{"the target closes a reused connection of a POST with a key, without a body", "POST", quotes + "/close4", "k4", "", 502, "1207", "unknown", "", 1},
		{"a resend while the first request may still run", "POST", quotes + "/close3", "k3", "x", 409, "1303", "unknown", "", 1},
		{"the target exceeds the request timeout", "POST", quotes + "/hang", "k5", "x", 504, "1205", "unknown", "", 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			resp, body, err := sendRequest(t, caller, x)
			if err != nil {
				t.Fatal(err)
			}
			code, ran := resp.Header.Get("Gentianrail-Code"), resp.Header.Get("Gentianrail-Ran")
			if resp.StatusCode != x.status || code != x.code || ran != x.ran {
				t.Errorf("got %d, code %q, ran %q (%s); want %d, %q, %q", resp.StatusCode, code, ran, body, x.status, x.code, x.ran)
			}
			if x.code == "" && body != x.want {
				t.Errorf("got body %.60q, want %.60q", body, x.want)
			}
			parts := strings.SplitN(x.path, "/", 5)
			if runs := target.runCount("/" + parts[len(parts)-1]); runs != x.runs {
				t.Errorf("the target ran the request %d times, want %d", runs, x.runs)
			}
		})
	}
}

// TestLateAnswerIsStored checks that an answer that arrives after the caller's
// deadline is stored for a resend. A discarded answer would leave the caller
// without the outcome of a request that ran.
func TestLateAnswerIsStored(t *testing.T) {
	caller, target := startContractDaemon(t, 18730)
	x := exchange{method: "POST", path: "/v1/services/quotes/hang", key: "k", body: "x"}
	resp, _, err := sendRequest(t, caller, x)
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("got %v, %v", resp, err)
	}
	target.release <- struct{}{}
	eventually(t, "the first answer", func() error {
		resp, body, err := sendRequest(t, caller, x)
		if err != nil || resp.StatusCode != http.StatusOK || body != "late run 1" {
			return fmt.Errorf("got %v %q, %v", resp, body, err)
		}
		return nil
	})
	if runs := target.runCount("/hang"); runs != 1 {
		t.Errorf("the target ran the request %d times, want 1", runs)
	}
}

// TestCallerDetectsTruncatedAnswer checks that a caller gets an error when the
// target closes the connection within the body of an answer.
func TestCallerDetectsTruncatedAnswer(t *testing.T) {
	caller, _ := startContractDaemon(t, 18740)
	for _, path := range []string{"/short", "/chunked_cut"} {
		_, body, err := sendRequest(t, caller, exchange{method: "GET", path: "/v1/services/quotes" + path})
		if err == nil {
			t.Errorf("%s: a truncated answer of %d bytes was read without an error", path, len(body))
		}
	}
}

// TestOverloadRejectsWithoutRunning checks that requests beyond the slots are
// rejected before they reach the target. A slot stays occupied until the target
// answers, even if the caller's request has timed out.
func TestOverloadRejectsWithoutRunning(t *testing.T) {
	caller, target := startContractDaemon(t, 18750)
	first := make(chan error, 1)
	go func() {
		_, _, err := sendRequest(t, caller, exchange{method: "POST", path: "/v1/services/narrow/hang", key: "k1"})
		first <- err
	}()
	eventually(t, "the first request", func() error {
		if target.runCount("/hang") == 0 {
			return fmt.Errorf("the request is not running yet")
		}
		return nil
	})
	resp, body, err := sendRequest(t, caller, exchange{method: "POST", path: "/v1/services/narrow/x", key: "k2"})
	if err != nil || resp.Header.Get("Gentianrail-Code") != "1203" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %v %s, %v", resp, body, err)
	}
	if resp.Header.Get("Gentianrail-Ran") != "no" || target.runCount("/x") != 0 {
		t.Errorf("a rejected request ran %d times", target.runCount("/x"))
	}
	// The slot stays occupied until the target answers, although the caller has
	// its answer.
	if err := <-first; err != nil {
		t.Error(err)
	}
	resp, _, err = sendRequest(t, caller, exchange{method: "POST", path: "/v1/services/narrow/x", key: "k2"})
	if err != nil || resp.Header.Get("Gentianrail-Code") != "1203" {
		t.Errorf("the slot was reused while the target was busy: %v, %v", resp, err)
	}
	target.release <- struct{}{}
	eventually(t, "the rejected request", func() error {
		resp, body, err := sendRequest(t, caller, exchange{method: "POST", path: "/v1/services/narrow/x", key: "k2"})
		if err != nil || resp.StatusCode != http.StatusOK || body != "run 1 " {
			return fmt.Errorf("got %v %q, %v", resp, body, err)
		}
		return nil
	})
}

// TestRequestsPassUnchanged checks that path, query, host, end-to-end headers
// and body reach the target unchanged, and that the answer's body reaches the
// caller unchanged.
func TestRequestsPassUnchanged(t *testing.T) {
	caller, _ := startContractDaemon(t, 18760)
	for _, size := range []int{0, 1, 32 << 10, 64 << 10, 64<<10 + 1, 5 << 20} {
		body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		req, err := http.NewRequest(http.MethodPost, caller+"/v1/services/quotes/echo//a%2Fb?q=%20&r", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "quotes.example"
		req.Header.Set("X-Caller", "c")
		req.Header.Set("Connection", "X-Secret")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || !bytes.Equal(got, body) {
			t.Errorf("sent %d bytes, received %d, %v", size, len(got), err)
		}
		if seen := resp.Header.Get("X-Seen"); seen != "c||quotes.example|/echo//a%2Fb?q=%20&r" {
			t.Errorf("the target received %q", seen)
		}
	}
}

// Header values are bytes. One in Latin-1 made the message to the agent, or the one
// back, fail.
func TestHeaderInLatin1PassesUnchanged(t *testing.T) {
	caller, _ := startContractDaemon(t, 18820)
	for _, key := range []string{"", `"latin-1"`, `"latin-1"`} { // the last answer is the stored one
		req, err := http.NewRequest(http.MethodPost, caller+"/v1/services/quotes/echo", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Caller", "Jos\xe9")
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if seen := resp.Header.Get("X-Seen"); resp.StatusCode != http.StatusOK || !strings.HasPrefix(seen, "Jos\xe9|") {
			t.Errorf("key %s: got %d, the target received %q", key, resp.StatusCode, seen)
		}
	}
}

func TestQueryInLatin1PassesUnchanged(t *testing.T) {
	caller, _ := startContractDaemon(t, 18830)
	req, err := http.NewRequest(http.MethodPost, caller+"/v1/services/quotes/echo", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.URL.RawQuery = "name=Jos\xe9"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if seen := resp.Header.Get("X-Seen"); resp.StatusCode != http.StatusOK || !strings.HasSuffix(seen, "|/echo?name=Jos\xe9") {
		t.Errorf("got %d, the target received %q", resp.StatusCode, seen)
	}
}

// TestWatchResumesAfterDisconnect checks that a watch goes on after its target
// closes the connection within an event. No event may be lost, repeated or
// truncated.
func TestWatchResumesAfterDisconnect(t *testing.T) {
	caller, _ := startContractDaemon(t, 18770)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, caller+"/v1/watches/stock/events", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Last-Event-ID", "5")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	var got []string
	for len(got) < 20 && lines.Scan() {
		if line := lines.Text(); line != "" && line[0] != ':' {
			got = append(got, line)
		}
	}
	for i := range 10 {
		id, data := fmt.Sprintf("id: %d", 6+i), fmt.Sprintf("data: e%d", 6+i)
		if got[2*i] != id || got[2*i+1] != data {
			t.Fatalf("event %d is %q, want %q and %q", i, got[2*i:2*i+2], id, data)
		}
	}
}

// TestReplaysReleaseSlot checks that answers from the claim record leave the
// entry's only slot free. A leaked slot would reject the later requests.
func TestReplaysReleaseSlot(t *testing.T) {
	caller, target := startContractDaemon(t, 18780)
	for range 20 {
		resp, body, err := sendRequest(t, caller, exchange{method: "POST", path: "/v1/services/narrow/x", key: "k"})
		if err != nil || resp.StatusCode != http.StatusOK || body != "run 1 " {
			t.Fatalf("got %v %q, %v", resp, body, err)
		}
	}
	if target.runCount("/x") != 1 {
		t.Errorf("the target ran the request %d times, want 1", target.runCount("/x"))
	}
}

// sendPart sends a request without the end of its chunked body.
func sendPart(t *testing.T, caller, path string, size int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(caller, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: q\r\nTransfer-Encoding: chunked\r\n\r\n", path)
	chunk := strings.Repeat("x", 10000)
	for range size / len(chunk) {
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return c
}

// TestTargetDetectsTruncatedBody checks that a target gets a read error when the
// caller disconnects within a chunked body that is passed on as it arrives. Without the
// error, the target would accept the truncated body as complete. A truncated body that
// is buffered first reaches no target.
func TestTargetDetectsTruncatedBody(t *testing.T) {
	caller, target := startContractDaemon(t, 18790)
	buffered := sendPart(t, caller, "/v1/services/quotes/buffered", 100_000)
	c := sendPart(t, caller, "/v1/services/quotes/cut", 3_000_000)
	eventually(t, "the request at the target", func() error {
		if target.runCount("/cut") == 0 {
			return fmt.Errorf("the request is not running yet")
		}
		return nil
	})
	for _, c := range []net.Conn{buffered, c} {
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "the read error at the target", func() error {
		if target.truncatedBodies.Load() != 1 {
			return fmt.Errorf("no read error yet")
		}
		return nil
	})
	if n := target.runCount("/buffered"); n != 0 {
		t.Errorf("a truncated body was sent to the target %d times", n)
	}
}

// TestHaltedBodyGivesWay guards against a body that is passed on as it arrives, comes to
// a halt and keeps the only slot from a request that could run. The caller learns that
// its request may have run.
func TestHaltedBodyGivesWay(t *testing.T) {
	caller, target := startContractDaemon(t, 18810)
	c := sendPart(t, caller, "/v1/services/single/halted", 3_000_000)
	eventually(t, "the request at the target", func() error {
		if target.runCount("/halted") == 0 {
			return fmt.Errorf("the request is not running yet")
		}
		return nil
	})
	resp, body, err := sendRequest(t, caller, exchange{method: "GET", path: "/v1/services/single/ordinary"})
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("the request beside the halted one got %v %q, %v", resp, body, err)
	}
	halted, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if halted.StatusCode != http.StatusServiceUnavailable || halted.Header.Get("Gentianrail-Ran") != "unknown" {
		t.Errorf("the halted request got %d, ran %q", halted.StatusCode, halted.Header.Get("Gentianrail-Ran"))
	}
}
