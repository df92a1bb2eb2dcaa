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

const _burnReportTimeout = 5 * time.Second // for the controllers to accept a report

// burnRecorder counts the results of callers' requests and reports the counts to
// the controllers. Each report has a sequence number, so that a resent report is
// not counted twice.
type burnRecorder struct {
	mu          sync.Mutex
	counts      map[string]*burn.Count // by catalogue entry, since the last report
	source      string
	sequence    uint64            // of the latest report
	unconfirmed *state.RecordBurn // report of unknown outcome; resent before a new one
}

// newBurnRecorder returns a recorder without counts. source must be unique to this
// process, since the sequence numbers start at 1.
func newBurnRecorder(source string) *burnRecorder {
	return &burnRecorder{source: source, counts: make(map[string]*burn.Count)}
}

func (b *burnRecorder) addResult(now time.Time, entry string, r burn.Result, latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts[entry]
	if c == nil {
		c = &burn.Count{Entry: entry, Minute: now.Unix() / 60}
		b.counts[entry] = c
	}
	c.Add(r, latency)
}

// nextReport returns the unconfirmed report if there is one. Otherwise it moves
// the counts into a new report, or returns nil if there are none.
func (b *burnRecorder) nextReport() *state.RecordBurn {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unconfirmed != nil || len(b.counts) == 0 {
		return b.unconfirmed
	}
	b.sequence++
	r := &state.RecordBurn{Source: b.source, Sequence: b.sequence}
	for _, c := range b.counts {
		r.Counts = append(r.Counts, *c)
	}
	b.counts = make(map[string]*burn.Count)
	b.unconfirmed = r
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
			log.Emit(event.BurnNotSent, event.Fields{"error": err.Error()}, "burn report failed; retrying")
		}
	}
}

func (b *burnRecorder) flush(ctx context.Context, c *control.Client) error {
	r := b.nextReport()
	if r == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, _burnReportTimeout)
	defer cancel()
	if _, err := c.Propose(ctx, *r); err != nil {
		return err
	}
	b.mu.Lock()
	b.unconfirmed = nil
	b.mu.Unlock()
	return nil
}
