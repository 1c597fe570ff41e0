package move

import (
	"math"
	"time"
)

// Latency buckets are spaced geometrically, so that one bucket is the same factor over
// the whole range: the test allows a new version one bucket more. They range from 0.1 ms
// to 8 s; the last one also counts everything above.
const (
	BucketCount  = 96
	BucketGrowth = 1.125
	firstBound   = 100 * time.Microsecond
)

var bounds = func() (b [BucketCount]time.Duration) {
	for i := range b {
		b[i] = time.Duration(float64(firstBound) * math.Pow(BucketGrowth, float64(i)))
	}
	return b
}()

var inverseLogGrowth = 1 / math.Log(BucketGrowth)

// Bucket returns the index of the bucket that counts a latency.
func Bucket(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(firstBound)) * inverseLogGrowth))
	return min(i, BucketCount-1)
}

// BucketBound returns the upper bound of a bucket.
func BucketBound(i int) time.Duration { return bounds[i] }

// quantileBucket returns the bucket that contains a quantile, or -1 if there are no calls.
func quantileBucket(h *[BucketCount]uint64, q float64) int {
	total := uint64(0)
	for _, n := range h {
		total += n
	}
	if total == 0 {
		return -1
	}
	target, sum := q*float64(total), uint64(0)
	for i, n := range h {
		sum += n
		if float64(sum) >= target {
			return i
		}
	}
	return BucketCount - 1
}

// quantileMs returns the upper bound in milliseconds of the bucket that contains a quantile,
// or 0 if there are no calls.
func quantileMs(h *[BucketCount]uint64, q float64) float64 {
	i := quantileBucket(h, q)
	if i < 0 {
		return 0
	}
	return float64(bounds[i]) / float64(time.Millisecond)
}
