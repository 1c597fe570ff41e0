package rollout

// cellState is what the Judge keeps of a cell between intervals.
type cellState struct {
	Cell
	seen   Pair   // cumulative counts of the last interval
	atStep Pair   // cumulative counts when the current step began
	inBase Counts // cumulative counts of the old version that base holds
	base   histogramBase
	// thresholds are latency buckets of the old version, -1 while unknown.
	thresholds       thresholds
	slowOld, slowNew slowCounts // of seen
	// rates are the old version's earlier rates per metric.
	rates [metricCount]float64
	route *routeBase
	// Streams besides the one over all calls.
	inRoute, inDomain int
	known             bool // seen holds counts
}

// histogramBase is the old version's recent past. It decays, so that it follows
// the day's load, but never below minBaseCalls: sparse routes keep their past.
type histogramBase struct {
	calls, errors, rejections float64
	latency                   [BucketCount]float64
	latencyCalls              float64
}

const (
	minBaseCalls = 300
	baseDecay    = 0.85 // per rebase of 10 intervals: a time constant of about 60 s
	rebaseEvery  = 10
	// Quantiles of fewer calls come from all failure domains of the route.
	minCellCalls  = 200
	minRouteCalls = 40
)

func (b *histogramBase) add(c *Counts) {
	if c.Calls > 0 && b.calls > minBaseCalls {
		b.calls *= baseDecay
		b.errors *= baseDecay
		b.rejections *= baseDecay
	}
	n := uint64(0)
	for _, k := range c.Latency {
		n += k
	}
	if n > 0 && b.latencyCalls > minBaseCalls {
		b.latencyCalls *= baseDecay
		for i := range b.latency {
			b.latency[i] *= baseDecay
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

func (b *histogramBase) merge(o *histogramBase) {
	b.calls += o.calls
	b.errors += o.errors
	b.rejections += o.rejections
	b.latencyCalls += o.latencyCalls
	for i, k := range o.latency {
		b.latency[i] += k
	}
}

// quantile returns the bucket of a quantile and the share of calls above it.
func (b *histogramBase) quantile(q float64) (bucket int, above float64) {
	want, sum := q*b.latencyCalls, 0.0
	for i, k := range b.latency {
		sum += k
		if sum >= want {
			return i, max(0, 1-sum/b.latencyCalls)
		}
	}
	return BucketCount - 1, 0
}

// routeBase is the sum of a route's cells.
type routeBase struct {
	sum histogramBase
}

// Prior of one error and one rejection in this many calls: a base without any
// must not make the first one look impossible.
const priorCalls = 1000

// takeOld adds the old version's calls since the last rebase to the base. Calls
// under overload are left out: they are slow for a reason that passes.
func (c *cellState) takeOld(overloaded bool) {
	if !overloaded {
		d := c.seen.Old.minus(&c.inBase)
		c.base.add(&d)
	}
	c.inBase = c.seen.Old
}

// rebase refreshes thresholds and rates from the base of the cell or its route.
func (c *cellState) rebase() {
	r := &c.route.sum
	c.rates[metricErrors] = (r.errors + 1) / (r.calls + priorCalls)
	c.rates[metricRejections] = (r.rejections + 1) / (r.calls + r.rejections + priorCalls)
	source := &c.base
	if source.latencyCalls < minCellCalls {
		source = r
	}
	for i, q := range slowQuantiles {
		c.thresholds[i] = -1
		if source.latencyCalls >= minRouteCalls {
			b, above := source.quantile(q)
			c.thresholds[i] = b
			// One call of doubt on each side, as for the errors.
			c.rates[int(metricSlow75)+i] = above + 1/source.latencyCalls
		}
	}
	c.recount()
}

// slowCounts are the calls of one version above each threshold.
type slowCounts struct {
	above [len(slowQuantiles)]uint64
	all   uint64
}

// count brings the slow calls of a histogram up to date. The new version is
// allowed one bucket (12.5%) more than the old one.
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

const newMargin = 1

type thresholds [len(slowQuantiles)]int

// recount follows new thresholds.
func (c *cellState) recount() {
	c.slowOld = c.thresholds.count(&c.seen.Old.Latency, 0)
	c.slowNew = c.thresholds.count(&c.seen.New.Latency, newMargin)
}

// advance takes the cumulative counts of the cell and returns what is new since
// the last ones, per metric.
func (c *cellState) advance(now *Pair, out *[metricCount]tally) {
	if now.Old.shrunk(&c.seen.Old) || now.New.shrunk(&c.seen.New) {
		c.seen, c.slowOld, c.slowNew = Pair{}, slowCounts{}, slowCounts{}
	}
	o, n := &now.Old, &now.New
	was := c.seen
	oldCalls, newCalls := float64(o.Calls-was.Old.Calls), float64(n.Calls-was.New.Calls)
	out[metricErrors] = tally{
		newHits: float64(n.Errors - was.New.Errors), newTrials: newCalls,
		oldHits: float64(o.Errors - was.Old.Errors), oldTrials: oldCalls,
		expected: newCalls * c.rates[metricErrors],
	}
	oldRejected, newRejected := float64(o.Overloads-was.Old.Overloads), float64(n.Overloads-was.New.Overloads)
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
		slowNew = c.thresholds.count(&n.Latency, newMargin)
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
	c.seen, c.slowOld, c.slowNew = *now, slowOld, slowNew
}
