package move

import "math"

// metric is a property of calls in which a new version can be worse than the old one.
type metric int

const (
	metricErrors metric = iota
	metricRejections
	metricSlow75 // slower than the 75% quantile of the old version; the next two likewise
	metricSlow95
	metricSlow99
	metricCount
)

var metricNames = [metricCount]string{"errors", "rejections by limits", "latency (p75)", "latency (p95)", "latency (p99)"}

var slowQuantiles = [...]float64{0.75, 0.95, 0.99}

func (m metric) isLatency() bool { return m >= metricSlow75 }

// tolerance is the rate above the old version's that is tolerated: a smaller difference is
// no reason to roll back, even if it is significant.
var tolerance = [metricCount]float64{metricErrors: 0.001, metricRejections: 0.005}

// oddsRatios are the alternatives that the test compares with the null hypothesis. A latency
// 1.5 times higher raises the odds of slow calls, beyond the margin of one bucket, by 1.4; a
// ratio of 25 detects a version that fails most calls within a few of them.
var oddsRatios = [...]float64{1.4, 2.5, 6, 25}

const oddsRatioCount = len(oddsRatios)

var logOddsRatios = func() (l [oddsRatioCount]float64) {
	for i, r := range oddsRatios {
		l[i] = math.Log(r)
	}
	return l
}()

// tally counts, for one metric, the calls of both versions in the same interval for which the
// metric is known (trials) and the hits among them: errors, rejections or slow calls.
type tally struct {
	newHits, newTrials float64
	oldHits, oldTrials float64
	expected           float64 // newHits at the old version's earlier rate
}

func (t *tally) add(o *tally) {
	t.newHits += o.newHits
	t.newTrials += o.newTrials
	t.oldHits += o.oldHits
	t.oldTrials += o.oldTrials
	t.expected += o.expected
}

// without returns t without the calls of o, which are part of it.
func (t *tally) without(o *tally) tally {
	return tally{
		newHits: t.newHits - o.newHits, newTrials: t.newTrials - o.newTrials,
		oldHits: t.oldHits - o.oldHits, oldTrials: t.oldTrials - o.oldTrials,
		expected: t.expected - o.expected,
	}
}

// A stratum holds the calls of one stream since its last comparison or the last change of
// Judge.pooledShare. It is evaluated once it has enough calls of both versions. Until then its
// calls are accumulated, since a stratum with only one version carries no information.
const (
	minStratumOld = 2
	minStratumAll = 8
)

// comparable reports whether t has enough calls to be evaluated as a stratum.
func (t *tally) comparable() bool {
	return t.newTrials > 0 && t.oldTrials >= minStratumOld && t.newTrials+t.oldTrials >= minStratumAll
}

// concurrentGain returns the logarithm of the likelihood ratio of a stratum for odds ratio
// i. Given the total hits of both versions, those of the new version are at most
// binomially distributed, with its share of the calls as probability. The rate itself, which
// overload or a failing dependency changes for both versions, therefore cancels out.
func concurrentGain(t *tally, m metric, i int) float64 {
	r := oddsRatios[i]
	share := t.newTrials / (t.newTrials + t.oldTrials)
	return t.newHits*logOddsRatios[i] - (t.newHits+t.oldHits)*math.Log1p(share*(r-1)) - tolerance[m]*t.newTrials*(r-1)
}

// referenceGain returns the logarithm of the likelihood ratio against the old version's
// earlier rate for odds ratio i. It needs no concurrent calls, but a change that affects both
// versions raises it too.
func referenceGain(t *tally, m metric, i int) float64 {
	r := oddsRatios[i]
	if t.newTrials == 0 {
		return 0
	}
	rate := t.expected / t.newTrials
	return t.newHits*logOddsRatios[i] - t.newTrials*math.Log1p(rate*(r-1)) - tolerance[m]*t.newTrials*(r-1)
}
