package limit

import "time"

// maxIdleTenants bounds what is remembered of tenants without a request.
const maxIdleTenants = 64

type tenant struct {
	name    string
	weight  uint32
	running int
	queue   []*waiting // oldest first
	service average
	finish  float64 // virtual finish time of the newest request
}

func (t *tenant) idle() bool { return t.running == 0 && len(t.queue) == 0 }

func (t *tenant) dropNewest() uint64 {
	last := len(t.queue) - 1
	w := t.queue[last]
	t.queue = t.queue[:last]
	t.finish = w.tag // give back the share that the dropped request would have used
	return w.ID
}

func (t *tenant) drop(id uint64) bool {
	for i, w := range t.queue {
		if w.ID == id {
			t.queue = append(t.queue[:i], t.queue[i+1:]...)
			return true
		}
	}
	return false
}

// tenants schedules by start-time fair queueing: the virtual time of a tenant
// advances by the expected time of its requests divided by its weight, and the
// queued request with the lowest virtual start time is next. Iteration follows
// the order of arrival, so that decisions are deterministic.
type tenants struct {
	byName  map[string]*tenant
	list    []*tenant
	virtual float64 // virtual start time of the request that was started last
}

func (s *tenants) get(name string, weight uint32) *tenant {
	t := s.byName[name]
	if t == nil {
		s.forgetIdle()
		t = &tenant{name: name}
		s.byName[name] = t
		s.list = append(s.list, t)
	}
	t.weight = weight
	return t
}

func (s *tenants) forgetIdle() {
	if len(s.list) < maxIdleTenants {
		return
	}
	kept := s.list[:0]
	for _, t := range s.list {
		if t.idle() && t.finish <= s.virtual {
			delete(s.byName, t.name)
			continue
		}
		kept = append(kept, t)
	}
	clear(s.list[len(kept):])
	s.list = kept
}

// tag returns the virtual start time of a new request and advances the tenant.
func (s *tenants) tag(t *tenant, cost float64) float64 {
	start := max(s.virtual, t.finish)
	t.finish = start + cost/float64(t.weight)
	return start
}

// next removes the queued request with the lowest virtual start time.
func (s *tenants) next() *waiting {
	var best *tenant
	for _, t := range s.list {
		if len(t.queue) > 0 && (best == nil || t.queue[0].tag < best.queue[0].tag) {
			best = t
		}
	}
	w := best.queue[0]
	best.queue = best.queue[1:]
	return w
}

// overShare returns the tenant with the largest part of the queue for its
// weight, if that part is larger than what t would hold with one more request.
func (s *tenants) overShare(t *tenant) *tenant {
	var worst *tenant
	worstPart := float64(len(t.queue)+1) / float64(t.weight)
	for _, other := range s.list {
		part := float64(len(other.queue)) / float64(other.weight)
		if other != t && part > worstPart {
			worst, worstPart = other, part
		}
	}
	return worst
}

// activeWeight sums the weights of t and of all tenants with a request.
func (s *tenants) activeWeight(t *tenant) float64 {
	sum := float64(t.weight)
	for _, other := range s.list {
		if other != t && !other.idle() {
			sum += float64(other.weight)
		}
	}
	return sum
}

// average is an exponentially weighted moving average of durations.
type average struct {
	seconds float64
	samples int
}

// averageWeight of a new sample; about the last 10 requests count.
const averageWeight = 0.1

func (a *average) add(d time.Duration) {
	a.samples++
	// The first samples count equally, so that one cold request does not dominate.
	w := max(averageWeight, 1/float64(a.samples))
	a.seconds += w * (d.Seconds() - a.seconds)
}

func (a *average) known() bool { return a.samples > 0 }
