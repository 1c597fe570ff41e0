package rollout

import "math"

// metric is one property of calls in which a new version can be worse.
type metric int

const (
	metricErrors metric = iota
	metricRejections
	metricSlow75 // slower than the old version's 75% quantile, and so on
	metricSlow95
	metricSlow99
	metricCount
)

var metricNames = [metricCount]string{"errors", "rejections by limits", "latency (p75)", "latency (p95)", "latency (p99)"}

var slowQuantiles = [...]float64{0.75, 0.95, 0.99}

func (m metric) isLatency() bool { return m >= metricSlow75 }

// slack is the rate that is tolerated above the old version's: below it, a
// difference is no reason to roll back even when it is certain.
var slack = [metricCount]float64{metricErrors: 0.001, metricRejections: 0.005}

// The test weighs the null hypothesis against these odds ratios. 1.4 is what a
// latency 1.5 times higher makes of the slow calls beyond the margin of one
// bucket; 25 catches a version that fails in most calls within a few of them.
var ratios = [...]float64{1.4, 2.5, 6, 25}

const ratioCount = len(ratios)

var logRatios = func() (l [ratioCount]float64) {
	for i, r := range ratios {
		l[i] = math.Log(r)
	}
	return l
}()

// tally counts events and trials of both versions in the same interval.
type tally struct {
	newHits, newTrials float64
	oldHits, oldTrials float64
	expected           float64 // events of the new version at the old one's earlier rate
}

func (t *tally) add(o *tally) {
	t.newHits += o.newHits
	t.newTrials += o.newTrials
	t.oldHits += o.oldHits
	t.oldTrials += o.oldTrials
	t.expected += o.expected
}

func (t *tally) without(o *tally) tally {
	return tally{
		newHits: t.newHits - o.newHits, newTrials: t.newTrials - o.newTrials,
		oldHits: t.oldHits - o.oldHits, oldTrials: t.oldTrials - o.oldTrials,
		expected: t.expected - o.expected,
	}
}

// A stratum is weighed once both versions have calls in it; until then its calls
// are collected, since a stratum with one version carries no information.
const (
	minStratumOld = 2
	minStratumAll = 8
)

func (t *tally) comparable() bool {
	return t.newTrials > 0 && t.oldTrials >= minStratumOld && t.newTrials+t.oldTrials >= minStratumAll
}

// concurrentGain is the logarithm of the likelihood ratio of a stratum. Given
// the events of both versions together, those of the new version are binomial at
// most, with its share of the calls as probability; so the rate itself, which
// overload or a failing dependency changes for both, drops out.
func concurrentGain(t *tally, m metric, i int) float64 {
	r := ratios[i]
	share := t.newTrials / (t.newTrials + t.oldTrials)
	return t.newHits*logRatios[i] - (t.newHits+t.oldHits)*math.Log1p(share*(r-1)) - slack[m]*t.newTrials*(r-1)
}

// referenceGain compares with the old version's earlier rate. It needs no
// concurrent calls, but a change that concerns both versions raises it too.
func referenceGain(t *tally, m metric, i int) float64 {
	r := ratios[i]
	if t.newTrials == 0 {
		return 0
	}
	rate := t.expected / t.newTrials
	return t.newHits*logRatios[i] - t.newTrials*math.Log1p(rate*(r-1)) - slack[m]*t.newTrials*(r-1)
}
