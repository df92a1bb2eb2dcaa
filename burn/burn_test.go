package burn

import (
	"math"
	"testing"
	"time"
)

var _now = time.Unix(1_800_000_000, 0)

// recordRequests records good and failed requests of some time ago.
func recordRequests(l *Store, ago time.Duration, good, bad int) {
	c := Count{Entry: "quotes", Minute: minuteOf(_now.Add(-ago))}
	for range good {
		c.Add(Good, time.Millisecond)
	}
	for range bad {
		c.Add(Failed, 0)
	}
	l.Record(c)
}

// TestReportVerdictAndBudget checks the verdict and the remaining budget for an
// objective of 99%.
func TestReportVerdictAndBudget(t *testing.T) {
	for _, tc := range []struct {
		name    string
		record  func(l *Store)
		verdict Verdict
		left    float64
	}{
		{"no requests", func(*Store) {}, OKVerdict, 1},
		{"no failures", func(l *Store) { recordRequests(l, 0, 1000, 0) }, OKVerdict, 1},
		{"exactly the budget", func(l *Store) { recordRequests(l, 0, 990, 10) }, OKVerdict, 0},
		{"20% fail now and over the last hour", func(l *Store) { recordRequests(l, 0, 80, 20) }, FastVerdict, -19},
		{"20% failed half an hour ago, none since", func(l *Store) { recordRequests(l, 30*time.Minute, 80, 20); recordRequests(l, 0, 100, 0) }, SlowVerdict, -9},
		{"10% fail for hours", func(l *Store) { recordRequests(l, 0, 90, 10); recordRequests(l, 3*time.Hour, 90, 10) }, SlowVerdict, -9},
		{"failures of yesterday", func(l *Store) { recordRequests(l, 24*time.Hour, 0, 10); recordRequests(l, 0, 990, 0) }, OKVerdict, 0},
		{"failures before the longest window", func(l *Store) { recordRequests(l, MaxWindow+time.Hour, 0, 10); recordRequests(l, 0, 990, 0) }, OKVerdict, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l Store
			tc.record(&l)
			r := l.Report("quotes", 0.99, time.Second, _now)
			if r.Verdict != tc.verdict || math.Abs(r.BudgetLeft-tc.left) > 1e-6 {
				t.Errorf("got %s and %.3f left, want %s and %.3f", r.Verdict, r.BudgetLeft, tc.verdict, tc.left)
			}
		})
	}
}

func TestForget(t *testing.T) {
	var l Store
	recordRequests(&l, MaxWindow+2*time.Minute, 1, 0)
	recordRequests(&l, time.Hour, 1, 0)
	l.Forget(_now)
	if n := len(l.Counts()); n != 1 {
		t.Errorf("%d counts left, want 1", n)
	}
}

// TestQuantileOfMergedCounts checks that the merged counts of two instances give
// the quantiles of all requests.
func TestQuantileOfMergedCounts(t *testing.T) {
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
		if got < exact || float64(got) > _bucketGrowth*float64(exact)+1 {
			t.Errorf("the %.2f-quantile is %s, want %s to %.1f times of it", q, got, exact, _bucketGrowth)
		}
	}
}

func TestBucketsMatchLimits(t *testing.T) {
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
