package simulate

import (
	"math"
	"math/rand/v2"

	"github.com/rattanfield/rattanfield/core/move"
)

var logGrowth = math.Log(move.BucketGrowth)

// bucketPosition returns the position of a latency in buckets, not rounded.
func bucketPosition(ms float64) float64 { return math.Log(ms/0.1) / logGrowth }

// addLatencies draws n latencies around a median bucket position and adds them to a histogram.
func addLatencies(r *rand.Rand, h *[move.BucketCount]uint64, n int, median float64) {
	for range n {
		x := median + r.NormFloat64()*(sigma/logGrowth)
		if r.Float64() < tailShare {
			x += math.Log(tailFactor) / logGrowth
		}
		h[min(max(int(math.Ceil(x)), 0), move.BucketCount-1)]++
	}
}

// samplePoisson draws from a Poisson distribution, which is approximated by the normal
// distribution for large means.
func samplePoisson(r *rand.Rand, mean float64) int {
	if mean <= 0 {
		return 0
	}
	if mean > 60 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*r.NormFloat64())))
	}
	limit, product, n := math.Exp(-mean), r.Float64(), 0
	for product > limit {
		product *= r.Float64()
		n++
	}
	return n
}

// sampleBinomial draws the number of successes in n trials.
func sampleBinomial(r *rand.Rand, n int, p float64) int {
	switch {
	case n <= 0 || p <= 0:
		return 0
	case p >= 1:
		return n
	case p > 0.5:
		return n - sampleBinomial(r, n, 1-p)
	}
	// The gaps between successes are geometrically distributed.
	k, at, scale := 0, 0, 1/math.Log1p(-p)
	for {
		at += 1 + int(math.Log(1-r.Float64())*scale)
		if at > n {
			return k
		}
		k++
	}
}
