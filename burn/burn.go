// Package burn counts how fast each catalogue entry spends its error budget.
//
// Entry instances count what callers saw, by minute. Counts from all
// instances add up, so the report of the whole system is the sum of what its
// instances sent. A request is good if it was answered in full, without a
// failure of the system or of the target, within the objective's latency.
package burn

import (
	"math"
	"sort"
	"time"
)

// Buckets is the number of latency buckets. Bucket i counts latencies below
// BucketLimit(i) and at or above the limit before it.
const Buckets = 40

const (
	_firstLimit = 250 * time.Microsecond
	_growth     = 1.5
)

var _limits = func() [Buckets]time.Duration {
	var l [Buckets]time.Duration
	x := float64(_firstLimit)
	for i := range l {
		l[i] = time.Duration(x)
		x *= _growth
	}
	l[Buckets-1] = math.MaxInt64
	return l
}()

// BucketLimit returns the latency below which bucket i counts.
func BucketLimit(i int) time.Duration { return _limits[i] }

// Bucket returns the bucket of a latency.
func Bucket(latency time.Duration) int {
	return sort.Search(Buckets-1, func(i int) bool { return latency < _limits[i] })
}

// Result tells what a caller saw.
type Result uint8

const (
	// Good answers came whole and in time.
	Good Result = iota + 1
	// Slow answers came whole but after the objective's latency.
	Slow
	// Refused requests did not run.
	Refused
	// Broken requests failed, were cut off or have an unknown outcome.
	Broken
)

// Count is what callers of one entry saw in one minute.
type Count struct {
	Entry   string
	Minute  int64 // minutes since the Unix epoch
	Good    uint64
	Slow    uint64
	Refused uint64
	Failed  uint64
	Latency [Buckets]uint64 // of answered requests
}

// Add counts one request.
func (c *Count) Add(r Result, latency time.Duration) {
	switch r {
	case Good:
		c.Good++
	case Slow:
		c.Slow++
	case Refused:
		c.Refused++
		return
	case Broken:
		c.Failed++
		return
	}
	c.Latency[Bucket(latency)]++
}

// Merge adds the counts of o.
func (c *Count) Merge(o *Count) {
	c.Good += o.Good
	c.Slow += o.Slow
	c.Refused += o.Refused
	c.Failed += o.Failed
	for i := range c.Latency {
		c.Latency[i] += o.Latency[i]
	}
}

// Total returns the number of requests.
func (c *Count) Total() uint64 { return c.Good + c.Slow + c.Refused + c.Failed }

// Bad returns the number of requests that were not good.
func (c *Count) Bad() uint64 { return c.Slow + c.Refused + c.Failed }

// Quantile returns an upper bound of the latency's q-quantile, 0 if nothing
// was answered.
func (c *Count) Quantile(q float64) time.Duration {
	var n uint64
	for _, x := range c.Latency {
		n += x
	}
	if n == 0 {
		return 0
	}
	rank := uint64(math.Ceil(q * float64(n)))
	var seen uint64
	for i, x := range c.Latency {
		seen += x
		if seen >= rank {
			return _limits[min(i, Buckets-2)]
		}
	}
	return _limits[Buckets-2]
}
