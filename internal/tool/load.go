package tool

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/gentianrail/gentianrail/internal/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "send requests at a fixed rate to a loopback address and measure the answers",
		ArgsUsage: "URL",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "rate", Usage: "requests a second", Value: 100},
			&cli.DurationFlag{Name: "duration", Usage: "how long to send requests", Value: 10 * time.Second},
			&cli.IntFlag{Name: "in-flight", Usage: "maximum number of requests in flight", Value: 256},
			&cli.DurationFlag{Name: "timeout", Usage: "timeout of one request", Value: 10 * time.Second},
			&cli.StringFlag{Name: "method", Value: "GET"},
			&cli.StringFlag{Name: "body"},
			&cli.BoolFlag{Name: "keys", Usage: "give each request its own idempotency key"},
			&cli.StringFlag{Name: "histogram", Usage: "write the percentile distribution to `FILE`"},
		},
		Action: runLoad,
	}
}

// loadDocument is the JSON form of a load.Result.
type loadDocument struct {
	Sent      int                `json:"sent"`
	Answered  int                `json:"answered"`
	Statuses  map[string]int     `json:"statuses"`
	Ran       map[string]int     `json:"ran"`
	Errors    map[string]int     `json:"errors"`
	Seconds   float64            `json:"seconds"`
	Rate      float64            `json:"rate"`
	MeanMS    float64            `json:"mean_ms"`
	MaxMS     float64            `json:"max_ms"`
	Quantiles map[string]float64 `json:"quantiles_ms"`
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	targetURL, err := singleArg(cmd, "URL")
	if err != nil {
		return err
	}
	if !strings.HasPrefix(targetURL, "http://127.") && !strings.HasPrefix(targetURL, "http://[::1]") {
		return cli.Exit("load: the URL must be at a loopback address", ExitUsage)
	}
	if cmd.Float("rate") <= 0 || cmd.Int("in-flight") <= 0 {
		return cli.Exit("load: rate and in-flight must be above 0", ExitUsage)
	}
	cfg := load.Config{
		URL:      targetURL,
		Method:   cmd.String("method"),
		Body:     []byte(cmd.String("body")),
		Rate:     cmd.Float("rate"),
		Duration: cmd.Duration("duration"),
		InFlight: cmd.Int("in-flight"),
		Timeout:  cmd.Duration("timeout"),
	}
	if cmd.Bool("keys") {
		keyPrefix := uuid.NewString()
		cfg.IdempotencyKey = func(n int) string { return strconv.Quote(keyPrefix + "_" + strconv.Itoa(n)) }
	}
	if !wantsJSON(cmd) {
		cfg.Progress = func(done, total int) { fmt.Fprintf(os.Stderr, "\r%d of %d", done, total) }
	}
	r, err := load.Run(ctx, cfg)
	if cfg.Progress != nil {
		fmt.Fprint(os.Stderr, "\r")
	}
	if err != nil {
		return err
	}
	if file := cmd.String("histogram"); file != "" {
		if err := writeHistogram(file, r); err != nil {
			return err
		}
	}
	return printLoadResult(cmd, r)
}

func writeHistogram(file string, r load.Result) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = r.Histogram.PercentilesPrint(f, 5, float64(time.Millisecond))
	return err
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func printLoadResult(cmd *cli.Command, r load.Result) error {
	d := loadDocument{
		Sent: r.Sent, Answered: r.Answered, Ran: r.Ran, Errors: r.Errors,
		Statuses: make(map[string]int), Quantiles: make(map[string]float64),
		Seconds: r.Elapsed.Seconds(), Rate: float64(r.Answered) / r.Elapsed.Seconds(),
		MeanMS: toMilliseconds(r.Mean), MaxMS: toMilliseconds(r.Max),
	}
	for status, n := range r.Statuses {
		d.Statuses[strconv.Itoa(status)] = n
	}
	for _, q := range r.Quantiles {
		d.Quantiles[quantileName(q.Q)] = toMilliseconds(q.Latency)
	}
	w := cmd.Root().Writer
	if wantsJSON(cmd) {
		return printJSON(w, d)
	}
	return printLoadTable(w, r, d)
}

func quantileName(q float64) string { return "p" + strconv.FormatFloat(100*q, 'f', -1, 64) }

func printLoadTable(w io.Writer, r load.Result, d loadDocument) error {
	fmt.Fprintf(w, "sent %d, answered %d in %.1f s (%.1f a second)\n", d.Sent, d.Answered, d.Seconds, d.Rate)
	fmt.Fprintf(w, "statuses %v, gentianrail's own answers by whether the request ran %v, requests without an answer %v\n", r.Statuses, r.Ran, r.Errors)
	t := newTable(w, "QUANTILE\tMS")
	for _, q := range r.Quantiles {
		t.addRow("%s\t%.3f", quantileName(q.Q), toMilliseconds(q.Latency))
	}
	t.addRow("max\t%.3f", d.MaxMS)
	return t.flush()
}
