package rollout

// cellState is what the Judge keeps of a cell between intervals.
type cellState struct {
	Cell
	seen   Pair   // cumulative counts of the last interval
	atStep Pair   // cumulative counts when the current step began
	inBase Counts // cumulative counts of the old version that base holds
	base   histogramBase
	// thresholds are latency buckets of the old version, -1 while unknown.
	thresholds thresholds
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

// takeOld adds the old version's calls since the last rebase to the base.
func (c *cellState) takeOld() {
	d := c.seen.Old.minus(&c.inBase)
	c.inBase = c.seen.Old
	c.base.add(&d)
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
}

// tallies of an interval's counts, per metric.
func (c *cellState) tallies(d *Pair, out *[metricCount]tally) {
	n, o := &d.New, &d.Old
	out[metricErrors] = tally{
		newHits: float64(n.Errors), newTrials: float64(n.Calls),
		oldHits: float64(o.Errors), oldTrials: float64(o.Calls),
		expected: float64(n.Calls) * c.rates[metricErrors],
	}
	newOffered, oldOffered := n.Calls+n.Overloads, o.Calls+o.Overloads
	out[metricRejections] = tally{
		newHits: float64(n.Overloads), newTrials: float64(newOffered),
		oldHits: float64(o.Overloads), oldTrials: float64(oldOffered),
		expected: float64(newOffered) * c.rates[metricRejections],
	}
	if c.thresholds[0] < 0 {
		clear(out[metricSlow75:])
		return
	}
	// The new version is allowed one bucket (12.5%) more.
	newSlow, newAll := above(&n.Latency, &c.thresholds, 1)
	oldSlow, oldAll := above(&o.Latency, &c.thresholds, 0)
	for i := range c.thresholds {
		m := int(metricSlow75) + i
		out[m] = tally{
			newHits: newSlow[i], newTrials: newAll, oldHits: oldSlow[i], oldTrials: oldAll,
			expected: newAll * c.rates[m],
		}
	}
}

type thresholds = [len(slowQuantiles)]int

// above counts the calls in buckets above each threshold plus margin.
func above(h *[BucketCount]uint64, t *thresholds, margin int) (slow [len(slowQuantiles)]float64, all float64) {
	var sum uint64
	at := len(t) - 1
	for i := BucketCount - 1; i >= 0; i-- {
		for at >= 0 && i == min(t[at]+margin, BucketCount-1) {
			slow[at] = float64(sum)
			at--
		}
		sum += h[i]
	}
	return slow, float64(sum)
}
