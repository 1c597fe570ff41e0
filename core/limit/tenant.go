package limit

import "time"

// maxIdleTenants is the number of known tenants from which idle ones are removed to bound memory.
const maxIdleTenants = 64

type tenant struct {
	name          string
	weight        uint32
	running       int
	queue         []*trackedRequest // oldest first
	serviceTime   average
	virtualFinish float64 // of the newest request
}

func (t *tenant) idle() bool { return t.running == 0 && len(t.queue) == 0 }

func (t *tenant) evictNewest() uint64 {
	last := len(t.queue) - 1
	w := t.queue[last]
	t.queue = t.queue[:last]
	t.virtualFinish = w.virtualStart // refund the share that the evicted request would have used
	return w.ID
}

func (t *tenant) removeQueued(id uint64) bool {
	for i, w := range t.queue {
		if w.ID == id {
			t.queue = append(t.queue[:i], t.queue[i+1:]...)
			return true
		}
	}
	return false
}

// tenants implements start-time fair queueing: the virtual time of a tenant
// advances by the expected service time of its requests divided by its weight,
// and the queued request with the lowest virtual start time starts next. Iteration
// follows the order of arrival of the tenants, so that decisions are deterministic.
type tenants struct {
	byName      map[string]*tenant
	list        []*tenant
	virtualTime float64 // highest virtual start time of a started request
}

func (s *tenants) get(name string, weight uint32) *tenant {
	t := s.byName[name]
	if t == nil {
		s.evictIdle()
		t = &tenant{name: name}
		s.byName[name] = t
		s.list = append(s.list, t)
	}
	t.weight = weight
	return t
}

func (s *tenants) evictIdle() {
	if len(s.list) < maxIdleTenants {
		return
	}
	kept := s.list[:0]
	for _, t := range s.list {
		if t.idle() && t.virtualFinish <= s.virtualTime {
			delete(s.byName, t.name)
			continue
		}
		kept = append(kept, t)
	}
	clear(s.list[len(kept):])
	s.list = kept
}

// virtualStart returns the virtual start time of a new request of t and advances
// the virtual finish time of t by the weighted cost in seconds.
func (s *tenants) virtualStart(t *tenant, cost float64) float64 {
	start := max(s.virtualTime, t.virtualFinish)
	t.virtualFinish = start + cost/float64(t.weight)
	return start
}

// dequeue removes and returns the queued request with the lowest virtual start time.
func (s *tenants) dequeue() *trackedRequest {
	var best *tenant
	for _, t := range s.list {
		if len(t.queue) > 0 && (best == nil || t.queue[0].virtualStart < best.queue[0].virtualStart) {
			best = t
		}
	}
	w := best.queue[0]
	best.queue = best.queue[1:]
	return w
}

// mostOverShare returns the tenant with the largest part of the queue relative to
// its weight, if that is more than t would hold with one more request; otherwise nil.
func (s *tenants) mostOverShare(t *tenant) *tenant {
	var worst *tenant
	worstShare := float64(len(t.queue)+1) / float64(t.weight)
	for _, other := range s.list {
		share := float64(len(other.queue)) / float64(other.weight)
		if other != t && share > worstShare {
			worst, worstShare = other, share
		}
	}
	return worst
}

// activeWeight returns the sum of the weights of t and of all other tenants with a request.
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

// averageWeight is the weight of a new sample; about the last 10 samples count.
const averageWeight = 0.1

func (a *average) addSample(d time.Duration) {
	a.samples++
	// The first samples count equally, so that one slow request to a cold upstream does not dominate.
	w := max(averageWeight, 1/float64(a.samples))
	a.seconds += w * (d.Seconds() - a.seconds)
}

func (a *average) hasSamples() bool { return a.samples > 0 }
