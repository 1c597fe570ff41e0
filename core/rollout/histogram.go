package rollout

import (
	"math"
	"time"
)

const (
	// TimeBuckets is the number of buckets of a Histogram. The last one has no upper bound.
	TimeBuckets = 42
	// firstBucket is the upper bound of the first bucket. Each further bound is larger by a factor of
	// 2^(1/bucketsPerDoubling).
	firstBucket        = 2 * time.Millisecond
	bucketsPerDoubling = 3
)

// Histogram counts requests by response time.
type Histogram [TimeBuckets]uint64

// HistogramOf returns the histogram with the given counts by bucket. Counts beyond the last bucket
// are ignored.
func HistogramOf(counts []uint64) (h Histogram) {
	copy(h[:], counts)
	return h
}

// TimeBucket returns the bucket of a response time.
func TimeBucket(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	return min(TimeBuckets-1, int(math.Ceil(bucketsPerDoubling*math.Log2(float64(d)/float64(firstBucket)))))
}

// bucketBound returns the upper bound of a bucket.
func bucketBound(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}

func (h Histogram) plus(o Histogram) Histogram {
	for i, n := range o {
		h[i] += n
	}
	return h
}

// minus returns the difference of two cumulative histograms. A bucket that is lower than in o
// becomes 0.
func (h Histogram) minus(o Histogram) Histogram {
	for i, n := range o {
		h[i] -= min(n, h[i])
	}
	return h
}

// above returns the number of requests in buckets after the given one.
func (h Histogram) above(bucket int) uint64 {
	n := uint64(0)
	for _, k := range h[min(bucket+1, TimeBuckets):] {
		n += k
	}
	return n
}

func (h Histogram) total() uint64 { return h.above(-1) }

// quantile returns the first bucket with at most the fraction 1-q of the requests after it.
func (h Histogram) quantile(q float64) int {
	allowed := uint64((1 - q) * float64(h.total()))
	after := uint64(0)
	for i := TimeBuckets - 1; i > 0; i-- {
		if after += h[i]; after > allowed {
			return i
		}
	}
	return 0
}
