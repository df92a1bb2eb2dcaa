package workerapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/gentianrail/gentianrail/fault"
)

// newWorker returns a client of a worker that gives each request the same answer.
func newWorker(t *testing.T, body string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	t.Cleanup(server.Close)
	c := NewClient(server.Listener.Addr().String())
	t.Cleanup(c.Close)
	return c
}

// The agent computes lease ends from the clock. One that overflowed was negative.
func TestClockOutOfRangeIsRefused(t *testing.T) {
	const most = 100 * 365 * 24 * time.Hour
	for value, want := range map[string]time.Duration{
		"0": 0, "482113": 482113 * time.Millisecond, strconv.FormatInt(most.Milliseconds(), 10): most,
		strconv.FormatInt(most.Milliseconds()+1, 10): -1, "-1": -1, "1.5": -1, "1e30": -1, "1e400": -1, `"5"`: -1, "null": 0,
		"9223372036855": -1, "9223372036854775807": -1, "9223372036854775808": -1,
	} {
		c := newWorker(t, `{"clock_ms":`+value+`}`)
		for name, call := range map[string]func(context.Context) (time.Duration, error){
			"clock": c.Clock,
			"start": func(ctx context.Context) (time.Duration, error) { return c.Start(ctx, Task{}) },
			"renew": func(ctx context.Context) (time.Duration, error) { return c.Renew(ctx, 0, nil, 0) },
		} {
			got, err := call(context.Background())
			if (err == nil) != (want >= 0) || err == nil && got != want {
				t.Errorf("%s with %s: %s, %v; want %s", name, value, got, err, want)
			}
		}
	}
}

// One odd row must not cost the others.
func TestOddUsageIsSkipped(t *testing.T) {
	valid := `{"job":"j","attempt":2,"cpu_millis":500,"memory_bytes":1024,"at_ms":5}`
	for _, row := range []string{
		`{"job":"k","attempt":1,"at_ms":9223372036854775807}`, `{"job":"k","attempt":1,"at_ms":-1}`,
		`{"job":"k","attempt":4294967296}`, `{"job":"k","attempt":1.5}`, `{"job":7}`, `null`, `5`, `[[[]]]`, `{"job":"k","attempt":1,"at_ms":1e400}`,
		`{"job":"k","attempt":1,"cpu_millis":-1}`, `{"job":"k","attempt":1,"memory_bytes":-1}`,
	} {
		got, err := newWorker(t, "["+row+","+valid+"]").Usage(context.Background())
		if err != nil || len(got) != 1 || got[0].ID.Job != "j" || got[0].At != 5*time.Millisecond {
			t.Errorf("%s: %+v, %v", row, got, err)
		}
	}
}

func TestOddAnswersAreRefusedQuickly(t *testing.T) {
	for _, body := range []string{
		"", "null]", "[]", `{"clock_ms":`, "\xff", strings.Repeat("[", 1<<20), strings.Repeat(`{"a":`, 1<<17) + "1" + strings.Repeat("}", 1<<17), strings.Repeat(" ", 1<<20+1),
	} {
		began := time.Now()
		if _, err := newWorker(t, body).Clock(context.Background()); err == nil {
			t.Errorf("%.20q was accepted", body)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("%.20q took %s", body, took)
		}
	}
}

// The text becomes part of a record in the log, which holds valid UTF-8 only.
func TestErrorOfWorkerIsShortText(t *testing.T) {
	for _, body := range []string{"\xff\xfe", strings.Repeat("é", 1<<18), "\x00", "not found\n"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNotFound)
			_, _ = w.Write([]byte(body))
		}))
		_, err := NewClient(server.Listener.Addr().String()).Clock(context.Background())
		server.Close()
		if err == nil || len(err.Error()) > 512 || !utf8.ValidString(err.Error()) || !utf8.ValidString(fault.From(err).Message()) {
			t.Errorf("%.20q: an error of %d bytes: %.200q", body, len(err.Error()), err.Error())
		}
	}
}

func FuzzUsage(f *testing.F) {
	f.Add([]byte(`[{"job":"j","attempt":2,"cpu_millis":500,"memory_bytes":1024,"at_ms":5}]`))
	f.Add([]byte(`[{"job":"j","attempt":1e30},null,[[]],{"at_ms":-1}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := decodeUsage(data)
		if err != nil {
			return
		}
		for _, u := range got {
			if u.CPUMillis < 0 || u.MemoryBytes < 0 || u.At < 0 {
				t.Errorf("%q: %+v", data, u)
			}
		}
	})
}

// answers is a transport that answers each request with the same body.
type answers string

func (a answers) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(a))), Request: r}, nil
}

// TestUnclearStatusIsNoEnd guards against a task that counts as lost, and is started
// elsewhere, because the worker's answer could not be understood.
func TestUnclearStatusIsNoEnd(t *testing.T) {
	tests := []struct {
		body  string
		want  State
		wrong bool // the answer must be an error
	}{
		{body: `{"progress": "running"}`, want: Running},
		{body: `{"progress": "unknown"}`, want: Unknown},
		{body: `{"progress": "stopped"}`, want: Stopped},
		{body: `{"progress": "suspended"}`, wrong: true},
		{body: `{"progress": ""}`, wrong: true},
		{body: `{}`, wrong: true},
	}
	for _, tc := range tests {
		t.Run(tc.body, func(t *testing.T) {
			c := NewClient("worker")
			c.httpClient.Transport = answers(tc.body)
			got, err := c.Wait(context.Background(), TaskID{Job: "j", Attempt: 1}, 0)
			if tc.wrong != (err != nil) || !tc.wrong && got.State != tc.want {
				t.Errorf("got %s, %v", got.State, err)
			}
		})
	}
}
