package entry

import (
	"context"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/burn"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/state"
)

const _burnTimeout = 5 * time.Second // for a report to be taken in

// burnRecorder counts what callers saw and sends it to the controllers. Each
// report has a sequence, so a resend is not counted twice.
type burnRecorder struct {
	mu       sync.Mutex
	counts   map[string]*burn.Count // by entry, of the present minute
	source   string
	sequence uint64
	unsent   *state.RecordBurn // report whose fate is unknown; sent again first
}

func newBurnRecorder(source string, sequence uint64) *burnRecorder {
	return &burnRecorder{source: source, sequence: sequence, counts: make(map[string]*burn.Count)}
}

func (b *burnRecorder) add(now time.Time, entry string, r burn.Result, latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts[entry]
	if c == nil {
		c = &burn.Count{Entry: entry, Minute: now.Unix() / 60}
		b.counts[entry] = c
	}
	c.Add(r, latency)
}

// report takes the counts out, or the report that is to be sent again.
func (b *burnRecorder) report() *state.RecordBurn {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unsent != nil || len(b.counts) == 0 {
		return b.unsent
	}
	b.sequence++
	r := &state.RecordBurn{Source: b.source, Sequence: b.sequence}
	for _, c := range b.counts {
		r.Counts = append(r.Counts, *c)
	}
	b.counts = make(map[string]*burn.Count)
	b.unsent = r
	return r
}

func (b *burnRecorder) run(ctx context.Context, c *control.Client, interval time.Duration, log event.Log) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if err := b.flush(ctx, c); err != nil && ctx.Err() == nil {
			log.Emit(event.BurnNotSent, event.Fields{"error": err.Error()}, "the burn counts are kept and sent later")
		}
	}
}

func (b *burnRecorder) flush(ctx context.Context, c *control.Client) error {
	r := b.report()
	if r == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, _burnTimeout)
	defer cancel()
	if _, err := c.Propose(ctx, *r); err != nil {
		return err
	}
	b.mu.Lock()
	b.unsent = nil
	b.mu.Unlock()
	return nil
}
