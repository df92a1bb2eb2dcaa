// Package load sends requests at a fixed rate and measures their latency.
//
// The generator is open-loop: each request has an instant at which it is due,
// and its latency counts from that instant, also if the request is sent later
// because earlier requests occupy all connections. The latencies thus include the
// delays that a stalled target causes, which avoids coordinated omission.
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

// Range in nanoseconds and precision of the histogram.
const (
	_minLatency        = int64(time.Microsecond)
	_maxLatency        = int64(10 * time.Minute)
	_significantDigits = 3
)

// Config configures a run of the load generator.
type Config struct {
	URL            string
	Method         string
	Body           []byte
	Header         http.Header
	Rate           float64               // requests a second
	Duration       time.Duration         // how long to send requests
	InFlight       int                   // maximum number of requests in flight
	Timeout        time.Duration         // of one request, counted from when it is sent
	IdempotencyKey func(n int) string    // idempotency key of request n; nil for none
	Progress       func(done, total int) // called about once a second; may be nil
	Transport      http.RoundTripper     // nil for one with InFlight connections
}

// Quantile is one point of the latency distribution.
type Quantile struct {
	Q       float64
	Latency time.Duration
}

// Result holds the measurements of a run.
type Result struct {
	Sent      int
	Answered  int
	Statuses  map[int]int    // answers by HTTP status
	Ran       map[string]int // gentianrail's own answers by their Gentianrail-Ran header
	Errors    map[string]int // requests without an answer, by cause
	Elapsed   time.Duration
	Mean      time.Duration
	Max       time.Duration
	Quantiles []Quantile
	Histogram *hdrhistogram.Histogram // latencies of answered requests, in nanoseconds
}

// _quantiles are the quantiles that a result includes.
var _quantiles = []float64{0.5, 0.9, 0.99, 0.999, 0.9999}

// collector collects the results of concurrent requests.
type collector struct {
	mu     sync.Mutex
	result Result
}

func newCollector() *collector {
	return &collector{result: Result{
		Statuses:  make(map[int]int),
		Ran:       make(map[string]int),
		Errors:    make(map[string]int),
		Histogram: hdrhistogram.New(_minLatency, _maxLatency, _significantDigits),
	}}
}

func (c *collector) recordAnswer(status int, ran string, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Answered++
	c.result.Statuses[status]++
	if ran != "" {
		c.result.Ran[ran]++
	}
	// A latency above the histogram's range counts as its upper bound.
	_ = c.result.Histogram.RecordValue(min(int64(latency), _maxLatency))
}

func (c *collector) recordError(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Errors[cause]++
}

// Run sends the requests and waits for their answers. It stops sending when ctx
// is done.
func Run(ctx context.Context, cfg Config) (Result, error) {
	client := &http.Client{Timeout: cfg.Timeout, Transport: cfg.Transport}
	if cfg.Transport == nil {
		transport := &http.Transport{MaxIdleConnsPerHost: cfg.InFlight, MaxConnsPerHost: cfg.InFlight, DisableCompression: true}
		defer transport.CloseIdleConnections()
		client.Transport = transport
	}
	total := int(cfg.Rate * cfg.Duration.Seconds())
	interval := time.Duration(float64(time.Second) / cfg.Rate)
	c := newCollector()
	permits := make(chan struct{}, cfg.InFlight)
	var wg sync.WaitGroup
	start := time.Now()
	sent := 0
	for ; sent < total && ctx.Err() == nil; sent++ {
		due := start.Add(time.Duration(sent) * interval)
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
			due = time.Now() // excludes the delay of a late timer from the latency
		}
		permits <- struct{}{}
		n := sent
		wg.Go(func() {
			defer func() { <-permits }()
			sendRequest(ctx, client, &cfg, n, due, c)
		})
		if cfg.Progress != nil && n%max(int(cfg.Rate), 1) == 0 {
			cfg.Progress(n, total)
		}
	}
	wg.Wait()
	return newResult(c, sent, time.Since(start)), ctx.Err()
}

func sendRequest(ctx context.Context, client *http.Client, cfg *Config, n int, due time.Time, c *collector) {
	req, err := http.NewRequestWithContext(ctx, cfg.Method, cfg.URL, bytes.NewReader(cfg.Body))
	if err != nil {
		c.recordError("bad request")
		return
	}
	for name, values := range cfg.Header {
		req.Header[name] = values
	}
	if cfg.IdempotencyKey != nil {
		req.Header.Set(web.HeaderIdempotencyKey, cfg.IdempotencyKey(n))
	}
	resp, err := client.Do(req)
	if err != nil {
		c.recordError("no answer")
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.recordError("answer cut off")
		return
	}
	c.recordAnswer(resp.StatusCode, resp.Header.Get(web.HeaderRan), time.Since(due))
}

func newResult(c *collector, sent int, elapsed time.Duration) Result {
	r := c.result
	r.Sent = sent
	r.Elapsed = elapsed
	r.Mean = time.Duration(r.Histogram.Mean())
	r.Max = time.Duration(r.Histogram.Max())
	for _, q := range _quantiles {
		r.Quantiles = append(r.Quantiles, Quantile{Q: q, Latency: time.Duration(r.Histogram.ValueAtQuantile(100 * q))})
	}
	return r
}
