package burn

import (
	"sort"
	"time"
)

// MaxWindow is the longest window that is reported.
const MaxWindow = 72 * time.Hour

// _windows are the windows over which burn is reported, shortest first.
var _windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, MaxWindow}

// Windows returns the windows over which burn is reported, shortest first.
func Windows() []time.Duration { return append([]time.Duration(nil), _windows...) }

// Burn rates from which a verdict is given: the budget of 30 days is spent in
// about two days (fast) or five days (slow). A long and a short window must
// both reach the rate.
const (
	FastBurn = 14.4
	SlowBurn = 6.0
)

// Verdict is the urgency of the burn.
type Verdict uint8

const (
	// OKVerdict means that the burn rates are below those of the other verdicts.
	OKVerdict Verdict = iota + 1
	// SlowVerdict means that the burn rate has reached SlowBurn.
	SlowVerdict
	// FastVerdict means that the burn rate has reached FastBurn.
	FastVerdict
)

// String returns the verdict's name in reports.
func (v Verdict) String() string {
	switch v {
	case OKVerdict:
		return "ok"
	case SlowVerdict:
		return "slow_burn"
	case FastVerdict:
		return "fast_burn"
	}
	return "unknown"
}

// Window is the burn over one time span.
type Window struct {
	Span  time.Duration
	Total uint64
	Bad   uint64
	Rate  float64 // burn rate; 1 spends exactly the budget
	P50   time.Duration
	P99   time.Duration
}

// Report is the burn of one entry.
type Report struct {
	Entry      string
	Ratio      float64       // minimum share of good requests, from the objective
	Latency    time.Duration // above which an answer is slow, from the objective
	Windows    []Window
	BudgetLeft float64 // share of the longest window's budget; below 0 when overspent
	Verdict    Verdict
	Counts     Count // sum over the longest window
}

// Store holds the counts of all entries. The zero value is empty and ready.
// It is not safe for concurrent use.
type Store struct {
	entries map[string]map[int64]*Count
}

// Record adds a count.
func (s *Store) Record(c Count) {
	if s.entries == nil {
		s.entries = make(map[string]map[int64]*Count)
	}
	minutes := s.entries[c.Entry]
	if minutes == nil {
		minutes = make(map[int64]*Count)
		s.entries[c.Entry] = minutes
	}
	if old, ok := minutes[c.Minute]; ok {
		old.Merge(&c)
		return
	}
	minutes[c.Minute] = &c
}

// Prune drops counts that are older than the longest window.
func (s *Store) Prune(now time.Time) {
	oldest := MinuteOf(now.Add(-MaxWindow))
	for name, minutes := range s.entries {
		for m := range minutes {
			if m < oldest {
				delete(minutes, m)
			}
		}
		if len(minutes) == 0 {
			delete(s.entries, name)
		}
	}
}

// Counts returns all counts, sorted by entry and minute.
func (s *Store) Counts() []Count {
	var out []Count
	for _, minutes := range s.entries {
		for _, c := range minutes {
			out = append(out, *c)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Entry != out[j].Entry {
			return out[i].Entry < out[j].Entry
		}
		return out[i].Minute < out[j].Minute
	})
	return out
}

// MinuteOf returns the minute of a time, counted from the Unix epoch.
func MinuteOf(t time.Time) int64 { return t.Unix() / 60 }

// Report returns the burn of one entry at now.
func (s *Store) Report(entry string, ratio float64, latency time.Duration, now time.Time) Report {
	r := Report{Entry: entry, Ratio: ratio, Latency: latency, BudgetLeft: 1, Verdict: OKVerdict}
	for _, span := range _windows {
		sum := s.sumCounts(entry, span, now)
		r.Windows = append(r.Windows, newWindow(sum, span, ratio))
		r.Counts = sum
	}
	longest := r.Windows[len(r.Windows)-1]
	if longest.Total > 0 {
		r.BudgetLeft = 1 - longest.Rate
	}
	r.Verdict = verdictOf(r.Windows)
	return r
}

// sumCounts merges the counts of one entry over the span that ends at now.
func (s *Store) sumCounts(entry string, span time.Duration, now time.Time) Count {
	sum := Count{Entry: entry, Minute: MinuteOf(now)}
	first := MinuteOf(now.Add(-span))
	for m, c := range s.entries[entry] {
		if m > first && m <= MinuteOf(now) {
			sum.Merge(c)
		}
	}
	return sum
}

func newWindow(sum Count, span time.Duration, ratio float64) Window {
	w := Window{
		Span:  span,
		Total: sum.Total(),
		Bad:   sum.Bad(),
		P50:   sum.Quantile(0.50),
		P99:   sum.Quantile(0.99),
	}
	if w.Total > 0 {
		w.Rate = float64(w.Bad) / float64(w.Total) / (1 - ratio)
	}
	return w
}

// verdictOf returns the verdict on the windows of a report, shortest first.
// FastVerdict needs a high rate in the first and second window, SlowVerdict in
// the second and third.
func verdictOf(w []Window) Verdict {
	switch {
	case w[0].Rate >= FastBurn && w[1].Rate >= FastBurn:
		return FastVerdict
	case w[1].Rate >= SlowBurn && w[2].Rate >= SlowBurn:
		return SlowVerdict
	}
	return OKVerdict
}
