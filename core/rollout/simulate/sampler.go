package simulate

import (
	"math"
	"math/rand/v2"

	"github.com/rattanfield/rattanfield/core/rollout"
)

var logGrowth = math.Log(rollout.BucketGrowth)

// position of a latency in buckets, not rounded.
func position(ms float64) float64 { return math.Log(ms/0.1) / logGrowth }

// addLatencies draws n latencies around a median position.
func addLatencies(r *rand.Rand, h *[rollout.BucketCount]uint64, n int, median float64) {
	for range n {
		x := median + r.NormFloat64()*(sigma/logGrowth)
		if r.Float64() < tailShare {
			x += math.Log(tailFactor) / logGrowth
		}
		h[min(max(int(math.Ceil(x)), 0), rollout.BucketCount-1)]++
	}
}

// poisson draws from a Poisson distribution; large means use the normal one.
func poisson(r *rand.Rand, mean float64) int {
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

// binomial draws the successes of n trials.
func binomial(r *rand.Rand, n int, p float64) int {
	switch {
	case n <= 0 || p <= 0:
		return 0
	case p >= 1:
		return n
	case p > 0.5:
		return n - binomial(r, n, 1-p)
	}
	// Counts the gaps between successes, which are geometric.
	k, at, scale := 0, 0, 1/math.Log1p(-p)
	for {
		at += 1 + int(math.Log(1-r.Float64())*scale)
		if at > n {
			return k
		}
		k++
	}
}
