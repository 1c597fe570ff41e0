package drain

import "time"

const (
	// meanWeight and deviationWeight are the weights of a new sample, as in the estimate of the round
	// trip time of TCP; deviations is the number of mean deviations above the mean that are usual.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
	maxKinds        = 4096 // bounds the memory for kinds of requests that no longer come
)

// Kind identifies requests that take similar times.
type Kind struct{ Route, Service string }

// Durations estimates how long requests usually take, by kind. It is not safe for concurrent use.
type Durations struct {
	kinds map[Kind]estimate
}

type estimate struct{ mean, deviation float64 } // in seconds

// Record adds the duration of a request that was answered.
func (d *Durations) Record(k Kind, took time.Duration) {
	if d.kinds == nil || len(d.kinds) >= maxKinds {
		d.kinds = make(map[Kind]estimate)
	}
	seconds := took.Seconds()
	e, ok := d.kinds[k]
	if !ok {
		d.kinds[k] = estimate{mean: seconds, deviation: seconds / 2}
		return
	}
	difference := seconds - e.mean
	e.mean += meanWeight * difference
	e.deviation += deviationWeight * (max(difference, -difference) - e.deviation)
	d.kinds[k] = e
}

// Usual returns the time in which nearly all requests of a kind are answered; 0 if none was recorded.
func (d *Durations) Usual(k Kind) time.Duration { return d.kinds[k].usual() }

// Mean returns the mean time that requests of a kind take; 0 if none was recorded.
func (d *Durations) Mean(k Kind) time.Duration {
	return time.Duration(d.kinds[k].mean * float64(time.Second))
}

// Longest returns the largest Usual of all kinds.
func (d *Durations) Longest() time.Duration {
	var longest time.Duration
	for _, e := range d.kinds {
		longest = max(longest, e.usual())
	}
	return longest
}

func (e estimate) usual() time.Duration {
	return time.Duration((e.mean + deviations*e.deviation) * float64(time.Second))
}
