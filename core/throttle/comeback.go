package throttle

import "time"

const (
	// minComeback is the least mean time after which a rejected client comes back. In this time a queue of the length
	// that gates allow becomes noticeably shorter.
	minComeback = 120 * time.Millisecond
	// honouredShare is the share of its remaining time for which a client waits at most.
	honouredShare = 1.0 / 3
	// comebackSpread is the range of the random factor of a time, around 1.
	comebackSpread = 0.5
)

// Comeback plans when rejected clients come back: in the order in which they were sent away, and no faster than
// requests are accepted. The zero value has planned nothing. It is not safe for concurrent use.
type Comeback struct {
	next time.Time // of the last planned client
}

// After returns when the next client should come back. wait is the expected wait of the service, perSecond the positive number
// of requests that are accepted, left the remaining time of the client and sample a uniform number in [0,1).
func (c *Comeback) After(now time.Time, wait time.Duration, perSecond float64, left time.Duration, sample float64) time.Duration {
	begin := now.Add(max(0, wait))
	if c.next.After(begin) {
		begin = c.next
	}
	planned := begin.Add(time.Duration(float64(time.Second) / perSecond))
	if left <= 0 { // another request of the client may follow
		left = time.Duration(float64(minComeback) / honouredShare)
	}
	limit := time.Duration(honouredShare * float64(left))
	if planned.Sub(now) <= limit {
		c.next = planned // beyond the limit, the client cannot come when it could be served
	}
	mean := max(minComeback, min(planned.Sub(now), time.Duration(float64(limit)/(1+comebackSpread/2))))
	return min(limit, time.Duration((1-comebackSpread/2+comebackSpread*sample)*float64(mean)))
}
