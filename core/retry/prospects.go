package retry

import (
	"math"
	"time"
)

// minChance is the least chance of success with which a retry is worthwhile. The requirements of the traffic classes
// value a late answer at 0.3 of a timely one: a retry with a lower chance is worth less than the late answer that the
// client gets if it is told at once and comes back.
const minChance = 0.3

const (
	// refusalHalfLife is the half-life of the outcomes in Refusals, a few times that of a request.
	refusalHalfLife = time.Second
	// assumedUpstreams is the number of upstreams without refusals that Refusals assumes. Two upstreams that refused
	// all attempts are enough to stop retries, a single one is not.
	assumedUpstreams = 0.5
	// maxUpstreams bounds the memory for upstreams that no longer exist.
	maxUpstreams = 4096
	// forgottenAttempts is the decayed number of attempts below which an upstream is forgotten.
	forgottenAttempts = 0.05
)

// decayed counts attempts and how many of them had the outcome in question.
type decayed struct {
	attempts, hits float64 // as of at
	at             time.Time
}

func (d *decayed) decay(now time.Time, halfLife time.Duration) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		keep := math.Exp2(-float64(elapsed) / float64(halfLife))
		d.attempts, d.hits, d.at = d.attempts*keep, d.hits*keep, now
	}
}

func (d *decayed) count(now time.Time, halfLife time.Duration, hit bool) {
	d.decay(now, halfLife)
	d.attempts++
	if hit {
		d.hits++
	}
}

// Refusals estimates which share of the upstreams of a service refuse requests or lose them. Each upstream has the
// same weight, so that one which refuses quickly, and so gets many attempts, does not stand for all. The zero value
// knows no upstream. It is not safe for concurrent use.
type Refusals struct {
	upstreams map[string]*decayed
}

// Count counts an attempt that reached an upstream.
func (r *Refusals) Count(now time.Time, upstream string, refused bool) {
	u := r.upstreams[upstream]
	if u == nil {
		if r.upstreams == nil || len(r.upstreams) >= maxUpstreams {
			r.upstreams = make(map[string]*decayed)
		}
		u = &decayed{at: now}
		r.upstreams[upstream] = u
	}
	u.count(now, refusalHalfLife, refused)
}

// Share returns the mean over the upstreams of the share of recent attempts that they refused, from 0 to 1. Upstreams
// with less than one recent attempt have less weight.
func (r *Refusals) Share(now time.Time) float64 {
	refused, weights := 0.0, assumedUpstreams
	for name, u := range r.upstreams {
		if u.decay(now, refusalHalfLife); u.attempts < forgottenAttempts {
			delete(r.upstreams, name)
			continue
		}
		weight := min(1, u.attempts)
		refused += weight * u.hits / u.attempts
		weights += weight
	}
	return refused / weights
}

// Worthwhile reports whether the next upstream is likely enough to accept a request that one refused.
func (r *Refusals) Worthwhile(now time.Time) bool { return 1-r.Share(now) >= minChance }

const (
	// prospectHalfLife is the half-life of the outcomes in Prospect. With it, retries that all fail are tried again
	// about every three seconds.
	prospectHalfLife = 10 * time.Second
	// assumedSuccesses is the number of successful retries that Prospect assumes: five failures in a row stop retries.
	assumedSuccesses = 2
)

// Prospect estimates from the outcomes of earlier retries of one kind whether another one would succeed. The zero
// value expects success. It is not safe for concurrent use.
type Prospect struct {
	sent decayed
}

// Count counts the outcome of a retry.
func (p *Prospect) Count(now time.Time, succeeded bool) {
	if p.sent.at.IsZero() {
		p.sent.at = now
	}
	p.sent.count(now, prospectHalfLife, succeeded)
}

// Worthwhile reports whether a retry is likely enough to succeed.
func (p *Prospect) Worthwhile(now time.Time) bool {
	p.sent.decay(now, prospectHalfLife)
	return (p.sent.hits+assumedSuccesses)/(p.sent.attempts+assumedSuccesses) >= minChance
}
