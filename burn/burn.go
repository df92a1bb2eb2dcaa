// Package burn measures how fast each catalogue entry spends its error budget.
//
// Entry instances count the results that callers saw, by minute. The report of
// the whole system is the sum of the counts that its instances sent. A request
// is good if it was answered in full, without a failure of the system or of the
// target, within the objective's latency.
package burn

import (
	"math"
	"sort"
	"time"
)

// Buckets is the number of latency buckets. Bucket i counts latencies below
// BucketLimit(i) and at or above BucketLimit(i-1).
const Buckets = 40

const (
	_firstBucketLimit = 250 * time.Microsecond
	_bucketGrowth     = 1.5 // ratio of two successive limits
)

var _bucketLimits = func() [Buckets]time.Duration {
	var l [Buckets]time.Duration
	x := float64(_firstBucketLimit)
	for i := range l {
		l[i] = time.Duration(x)
		x *= _bucketGrowth
	}
	l[Buckets-1] = math.MaxInt64
	return l
}()

// BucketLimit returns the exclusive upper limit of bucket i.
func BucketLimit(i int) time.Duration { return _bucketLimits[i] }

// Bucket returns the bucket of a latency.
func Bucket(latency time.Duration) int {
	return sort.Search(Buckets-1, func(i int) bool { return latency < _bucketLimits[i] })
}

// Result is the result of a request as its caller saw it.
type Result uint8

const (
	// Good requests were answered in full within the objective's latency.
	Good Result = iota + 1
	// Slow requests were answered in full after the objective's latency.
	Slow
	// Rejected requests did not run.
	Rejected
	// Failed requests got an error, were cut off or have an unknown outcome.
	Failed
)

// Count holds the results of one entry's requests in one minute.
type Count struct {
	Entry    string
	Minute   int64 // minutes since the Unix epoch
	Good     uint64
	Slow     uint64
	Rejected uint64
	Failed   uint64
	Latency  [Buckets]uint64 // number of answered requests, by bucket
}

// Add counts one request.
func (c *Count) Add(r Result, latency time.Duration) {
	switch r {
	case Good:
		c.Good++
	case Slow:
		c.Slow++
	case Rejected:
		c.Rejected++
		return
	case Failed:
		c.Failed++
		return
	}
	c.Latency[Bucket(latency)]++
}

// Merge adds the counts of o.
func (c *Count) Merge(o *Count) {
	c.Good += o.Good
	c.Slow += o.Slow
	c.Rejected += o.Rejected
	c.Failed += o.Failed
	for i := range c.Latency {
		c.Latency[i] += o.Latency[i]
	}
}

// Total returns the number of requests.
func (c *Count) Total() uint64 { return c.Good + c.Slow + c.Rejected + c.Failed }

// Bad returns the number of requests that were not good.
func (c *Count) Bad() uint64 { return c.Slow + c.Rejected + c.Failed }

// Quantile returns an upper bound of the q-quantile of the latency, or 0 if no
// request was answered.
func (c *Count) Quantile(q float64) time.Duration {
	var n uint64
	for _, x := range c.Latency {
		n += x
	}
	if n == 0 {
		return 0
	}
	rank := uint64(math.Ceil(q * float64(n)))
	var cumulative uint64
	for i, x := range c.Latency {
		cumulative += x
		if cumulative >= rank {
			return _bucketLimits[min(i, Buckets-2)]
		}
	}
	return _bucketLimits[Buckets-2]
}
