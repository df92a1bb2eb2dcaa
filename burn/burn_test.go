package burn

import (
	"math"
	"testing"
	"time"
)

var _now = time.Unix(1_800_000_000, 0)

// record adds good and bad requests that were seen some time ago.
func record(l *Ledger, ago time.Duration, good, bad int) {
	c := Count{Entry: "quotes", Minute: minuteOf(_now.Add(-ago))}
	for range good {
		c.Add(Good, time.Millisecond)
	}
	for range bad {
		c.Add(Broken, 0)
	}
	l.Record(c)
}

// TestReport tells what an objective of 99% makes of what callers saw.
func TestReport(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fill    func(l *Ledger)
		verdict Verdict
		left    float64
	}{
		{"nothing was seen", func(*Ledger) {}, Quiet, 1},
		{"all is well", func(l *Ledger) { record(l, 0, 1000, 0) }, Quiet, 1},
		{"just the budget", func(l *Ledger) { record(l, 0, 990, 10) }, Quiet, 0},
		{"a fifth fails now and in the last hour", func(l *Ledger) { record(l, 0, 80, 20) }, FastVerdict, -19},
		{"a fifth failed, but it is over", func(l *Ledger) { record(l, 30*time.Minute, 80, 20); record(l, 0, 100, 0) }, SlowVerdict, -9},
		{"a tenth fails for hours", func(l *Ledger) { record(l, 0, 90, 10); record(l, 3*time.Hour, 90, 10) }, SlowVerdict, -9},
		{"it failed yesterday", func(l *Ledger) { record(l, 24*time.Hour, 0, 10); record(l, 0, 990, 0) }, Quiet, 0},
		{"it failed before the longest window", func(l *Ledger) { record(l, KeepFor+time.Hour, 0, 10); record(l, 0, 990, 0) }, Quiet, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l Ledger
			tc.fill(&l)
			r := l.Report("quotes", 0.99, time.Second, _now)
			if r.Verdict != tc.verdict || math.Abs(r.BudgetLeft-tc.left) > 1e-6 {
				t.Errorf("got %s and %.3f left, want %s and %.3f", r.Verdict, r.BudgetLeft, tc.verdict, tc.left)
			}
		})
	}
}

func TestForget(t *testing.T) {
	var l Ledger
	record(&l, KeepFor+2*time.Minute, 1, 0)
	record(&l, time.Hour, 1, 0)
	l.Forget(_now)
	if n := len(l.Counts()); n != 1 {
		t.Errorf("%d counts are kept, want 1", n)
	}
}

// TestQuantile checks that counts of two instances add up to the quantiles of
// all requests.
func TestQuantile(t *testing.T) {
	var a, b Count
	for i := 1; i <= 1000; i++ {
		c := &a
		if i%2 == 0 {
			c = &b
		}
		c.Add(Good, time.Duration(i)*time.Millisecond)
	}
	a.Merge(&b)
	for _, q := range []float64{0.5, 0.9, 0.99} {
		exact := time.Duration(q*1000) * time.Millisecond
		got := a.Quantile(q)
		if got < exact || float64(got) > _growth*float64(exact)+1 {
			t.Errorf("the %.2f-quantile is %s, want %s to %.1f times of it", q, got, exact, _growth)
		}
	}
}

func TestBuckets(t *testing.T) {
	for i := range Buckets - 1 {
		if got := Bucket(BucketLimit(i)); got != i+1 {
			t.Errorf("the limit of bucket %d is in bucket %d", i, got)
		}
		if got := Bucket(BucketLimit(i) - 1); got != i {
			t.Errorf("just below the limit of bucket %d is bucket %d", i, got)
		}
	}
	if got := Bucket(100 * time.Hour); got != Buckets-1 {
		t.Errorf("100 h is in bucket %d", got)
	}
}
