// Package load sends requests at a fixed rate and measures the answers.
//
// The generator is open-loop: each request has an instant at which it is due,
// and its latency is counted from that instant, also when it is sent later
// because earlier requests hold all connections. A target that stalls is thus
// charged for every request that it kept waiting (coordinated omission).
package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gentianrail/gentianrail/internal/web"
)

// Bounds of the histogram.
const (
	_lowest  = int64(time.Microsecond)
	_highest = int64(10 * time.Minute)
	_digits  = 3
)

// Config says what to send.
type Config struct {
	URL       string
	Method    string
	Body      []byte
	Header    http.Header
	Rate      float64       // requests a second
	Duration  time.Duration // for which requests are due
	InFlight  int           // requests that may be under way at once
	Timeout   time.Duration // of one request, from when it is sent
	Key       func(n int) string
	Progress  func(done, total int)
	Transport http.RoundTripper
}

// Quantile is one point of the latency distribution.
type Quantile struct {
	Q       float64
	Latency time.Duration
}

// Result is what was measured.
type Result struct {
	Sent      int
	Answered  int
	Statuses  map[int]int    // count by HTTP status
	Ran       map[string]int // count of the system's own answers by what they say of the run
	Errors    map[string]int // count of requests without an answer by cause
	Took      time.Duration
	Mean      time.Duration
	Max       time.Duration
	Quantiles []Quantile
	Histogram *hdrhistogram.Histogram // latencies of answered requests, in nanoseconds
}

// _quantiles are the points that a result shows.
var _quantiles = []float64{0.5, 0.9, 0.99, 0.999, 0.9999}

// tally collects the answers of all workers.
type tally struct {
	mu     sync.Mutex
	result Result
}

func newTally() *tally {
	return &tally{result: Result{
		Statuses:  make(map[int]int),
		Ran:       make(map[string]int),
		Errors:    make(map[string]int),
		Histogram: hdrhistogram.New(_lowest, _highest, _digits),
	}}
}

func (t *tally) answer(status int, ran string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Answered++
	t.result.Statuses[status]++
	if ran != "" {
		t.result.Ran[ran]++
	}
	// A latency above the highest is counted as the highest.
	_ = t.result.Histogram.RecordValue(min(int64(latency), _highest))
}

func (t *tally) fail(cause string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Errors[cause]++
}

// Run sends the requests and waits for their answers.
func Run(ctx context.Context, cfg Config) (Result, error) {
	client := &http.Client{Timeout: cfg.Timeout, Transport: cfg.Transport}
	if cfg.Transport == nil {
		transport := &http.Transport{MaxIdleConnsPerHost: cfg.InFlight, MaxConnsPerHost: cfg.InFlight, DisableCompression: true}
		defer transport.CloseIdleConnections()
		client.Transport = transport
	}
	total := int(cfg.Rate * cfg.Duration.Seconds())
	gap := time.Duration(float64(time.Second) / cfg.Rate)
	tally := newTally()
	permits := make(chan struct{}, cfg.InFlight)
	var wg sync.WaitGroup
	began := time.Now()
	sent := 0
	for ; sent < total && ctx.Err() == nil; sent++ {
		due := began.Add(time.Duration(sent) * gap)
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
			due = time.Now() // a timer that fires late is not the target's fault
		}
		permits <- struct{}{}
		n := sent
		wg.Go(func() {
			defer func() { <-permits }()
			one(ctx, client, &cfg, n, due, tally)
		})
		if cfg.Progress != nil && n%max(int(cfg.Rate), 1) == 0 {
			cfg.Progress(n, total)
		}
	}
	wg.Wait()
	return finish(tally, sent, time.Since(began)), ctx.Err()
}

func one(ctx context.Context, client *http.Client, cfg *Config, n int, due time.Time, t *tally) {
	req, err := http.NewRequestWithContext(ctx, cfg.Method, cfg.URL, bytes.NewReader(cfg.Body))
	if err != nil {
		t.fail("bad request")
		return
	}
	for name, values := range cfg.Header {
		req.Header[name] = values
	}
	if cfg.Key != nil {
		req.Header.Set(web.HeaderKey, cfg.Key(n))
	}
	resp, err := client.Do(req)
	if err != nil {
		t.fail("no answer")
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.fail("answer cut off")
		return
	}
	t.answer(resp.StatusCode, resp.Header.Get(web.HeaderRan), time.Since(due))
}

func finish(t *tally, sent int, took time.Duration) Result {
	r := t.result
	r.Sent = sent
	r.Took = took
	r.Mean = time.Duration(r.Histogram.Mean())
	r.Max = time.Duration(r.Histogram.Max())
	for _, q := range _quantiles {
		r.Quantiles = append(r.Quantiles, Quantile{Q: q, Latency: time.Duration(r.Histogram.ValueAtQuantile(100 * q))})
	}
	return r
}
