package move

// cellState is the state of a cell that the Judge keeps between intervals.
type cellState struct {
	Cell
	latest      Pair   // cumulative counts as of the last interval
	atStepStart Pair   // cumulative counts when the current step began
	inBaseline  Counts // cumulative counts of the old version that baseline includes
	baseline    baselineCounts
	// thresholds are the slowQuantiles of the old version.
	thresholds       thresholds
	slowOld, slowNew slowCounts // calls in latest above the thresholds
	// rates are the earlier rates of hits of the old version per metric.
	rates [metricCount]float64
	route *routeBaseline
	// inRoute and inDomain are the indexes of the streams, besides the one over all calls,
	// to which the cell belongs.
	inRoute, inDomain int
	known             bool // latest holds counts
}

// baselineCounts holds the recent calls of the old version. They decay so that the baseline
// follows the load over the day, but not below minBaselineCalls, so that routes with few
// calls keep a baseline.
type baselineCounts struct {
	calls, errors, rejections float64
	latency                   [BucketCount]float64
	latencyCalls              float64
}

const (
	minBaselineCalls = 300
	baselineDecay    = 0.85 // per recalibration, every 10 intervals: a time constant of about 60 s
	recalibrateEvery = 10
	// Below minCellCalls, the quantiles of a cell are those of its route over all failure
	// domains; below minRouteCalls they are unknown.
	minCellCalls  = 200
	minRouteCalls = 40
)

// add adds counts of the old version. Before that it decays the baseline by baselineDecay if
// the baseline holds more than minBaselineCalls.
func (b *baselineCounts) add(c *Counts) {
	if c.Calls > 0 && b.calls > minBaselineCalls {
		b.calls *= baselineDecay
		b.errors *= baselineDecay
		b.rejections *= baselineDecay
	}
	n := uint64(0)
	for _, k := range c.Latency {
		n += k
	}
	if n > 0 && b.latencyCalls > minBaselineCalls {
		b.latencyCalls *= baselineDecay
		for i := range b.latency {
			b.latency[i] *= baselineDecay
		}
	}
	b.calls += float64(c.Calls)
	b.errors += float64(c.Errors)
	b.rejections += float64(c.Overloads)
	b.latencyCalls += float64(n)
	for i, k := range c.Latency {
		b.latency[i] += float64(k)
	}
}

func (b *baselineCounts) merge(o *baselineCounts) {
	b.calls += o.calls
	b.errors += o.errors
	b.rejections += o.rejections
	b.latencyCalls += o.latencyCalls
	for i, k := range o.latency {
		b.latency[i] += k
	}
}

// quantile returns the bucket of a quantile and the fraction of calls above that bucket.
func (b *baselineCounts) quantile(q float64) (bucket int, above float64) {
	target, sum := q*b.latencyCalls, 0.0
	for i, k := range b.latency {
		sum += k
		if sum >= target {
			return i, max(0, 1-sum/b.latencyCalls)
		}
	}
	return BucketCount - 1, 0
}

// routeBaseline is the sum of the baselines of a route's cells.
type routeBaseline struct {
	sum baselineCounts
}

// priorCalls is the weight of a prior of one error and one rejection: without it, a baseline
// that has none would make the first one look impossible.
const priorCalls = 1000

// updateBaseline adds the calls of the old version since the last recalibration to the
// baseline. Calls under overload are left out, since their latency is not representative.
func (c *cellState) updateBaseline(overloaded bool) {
	if !overloaded {
		d := c.latest.Old.minus(&c.inBaseline)
		c.baseline.add(&d)
	}
	c.inBaseline = c.latest.Old
}

// recalibrate computes thresholds and rates from the baseline of the cell or its route.
func (c *cellState) recalibrate() {
	r := &c.route.sum
	c.rates[metricErrors] = (r.errors + 1) / (r.calls + priorCalls)
	c.rates[metricRejections] = (r.rejections + 1) / (r.calls + r.rejections + priorCalls)
	source := &c.baseline
	if source.latencyCalls < minCellCalls {
		source = r
	}
	for i, q := range slowQuantiles {
		c.thresholds[i] = -1
		if source.latencyCalls >= minRouteCalls {
			b, above := source.quantile(q)
			c.thresholds[i] = b
			// A prior of one call, as for the errors.
			c.rates[int(metricSlow75)+i] = above + 1/source.latencyCalls
		}
	}
	c.recount()
}

// slowCounts holds the number of calls of one version above each threshold.
type slowCounts struct {
	above [len(slowQuantiles)]uint64
	all   uint64 // calls in the histogram
}

// count returns the number of calls of a histogram above each threshold, or zeros while the
// thresholds are unknown. The margin raises the thresholds by a number of buckets; the new
// version is allowed one bucket (12.5%).
func (t *thresholds) count(h *[BucketCount]uint64, margin int) (s slowCounts) {
	if t[0] < 0 {
		return s
	}
	at := len(t) - 1
	for i := BucketCount - 1; i >= 0; i-- {
		for at >= 0 && i == min(t[at]+margin, BucketCount-1) {
			s.above[at] = s.all
			at--
		}
		s.all += h[i]
	}
	return s
}

// newBucketMargin is the number of buckets by which the thresholds are higher for calls of the
// new version.
const newBucketMargin = 1

// thresholds holds the latency bucket of each of slowQuantiles; calls in higher buckets are
// slow. -1 means unknown.
type thresholds [len(slowQuantiles)]int

// recount counts the slow calls again after a change of the thresholds.
func (c *cellState) recount() {
	c.slowOld = c.thresholds.count(&c.latest.Old.Latency, 0)
	c.slowNew = c.thresholds.count(&c.latest.New.Latency, newBucketMargin)
}

// update replaces the cumulative counts of the cell and sets out to the hits and trials that
// were added, per metric.
func (c *cellState) update(now *Pair, out *[metricCount]tally) {
	if now.Old.restartedSince(&c.latest.Old) || now.New.restartedSince(&c.latest.New) {
		c.latest, c.slowOld, c.slowNew = Pair{}, slowCounts{}, slowCounts{}
	}
	o, n := &now.Old, &now.New
	previous := c.latest
	oldCalls, newCalls := float64(o.Calls-previous.Old.Calls), float64(n.Calls-previous.New.Calls)
	out[metricErrors] = tally{
		newHits: float64(n.Errors - previous.New.Errors), newTrials: newCalls,
		oldHits: float64(o.Errors - previous.Old.Errors), oldTrials: oldCalls,
		expected: newCalls * c.rates[metricErrors],
	}
	oldRejected, newRejected := float64(o.Overloads-previous.Old.Overloads), float64(n.Overloads-previous.New.Overloads)
	out[metricRejections] = tally{
		newHits: newRejected, newTrials: newCalls + newRejected,
		oldHits: oldRejected, oldTrials: oldCalls + oldRejected,
		expected: (newCalls + newRejected) * c.rates[metricRejections],
	}
	slowOld, slowNew := c.slowOld, c.slowNew
	if oldCalls > 0 {
		slowOld = c.thresholds.count(&o.Latency, 0)
	}
	if newCalls > 0 {
		slowNew = c.thresholds.count(&n.Latency, newBucketMargin)
	}
	for i := range c.thresholds {
		m := int(metricSlow75) + i
		trials := float64(slowNew.all - c.slowNew.all)
		out[m] = tally{
			newHits: float64(slowNew.above[i] - c.slowNew.above[i]), newTrials: trials,
			oldHits: float64(slowOld.above[i] - c.slowOld.above[i]), oldTrials: float64(slowOld.all - c.slowOld.all),
			expected: trials * c.rates[m],
		}
	}
	c.latest, c.slowOld, c.slowNew = *now, slowOld, slowNew
}
