package rollout

import (
	"slices"
	"time"
)

// demands follows the offered calls per second of each failure domain. A failure
// domain counts only when its reports arrive, so that late reports and a
// partition do not look like a change of demand.
type demands struct {
	list []*demand // in the order of appearance, which keeps sums repeatable
}

type demand struct {
	domain        string
	recent, usual float64
	seconds       float64 // observed so far
	calls         float64 // since last
	last          time.Time
}

const (
	recentSeconds = 4.0
	// The usual demand follows slowly what is far above it: overload must not
	// become usual, but a lasting change of demand must not hold a move for good.
	usualSeconds  = 60.0
	excessSeconds = 240.0
	highDemand    = 1.4 // times the usual demand
	warmupSeconds = 5.0
)

// offer adds the calls of a cell.
func (ds *demands) offer(domain string, calls float64) {
	i := slices.IndexFunc(ds.list, func(d *demand) bool { return d.domain == domain })
	if i < 0 {
		i = len(ds.list)
		ds.list = append(ds.list, &demand{domain: domain})
	}
	ds.list[i].calls += calls
}

// settle ends an interval for the failure domains that reported in it.
func (ds *demands) settle(e *Evidence, now time.Time) {
	for _, d := range ds.list {
		if status, known := e.Domains[d.domain]; known && !status.Heard.After(d.last) {
			continue
		}
		// After a long silence it is not known how many of the calls were counted.
		if elapsed := now.Sub(d.last); !d.last.IsZero() && elapsed <= 2*freshAge {
			d.add(d.calls, elapsed.Seconds())
		}
		d.calls, d.last = 0, now
	}
}

func (d *demand) add(calls, elapsed float64) {
	if elapsed <= 0 {
		return
	}
	rate := calls / elapsed
	d.seconds += elapsed
	if d.seconds <= warmupSeconds {
		d.recent += elapsed / d.seconds * (rate - d.recent)
		d.usual = d.recent
		return
	}
	d.recent += min(1, elapsed/recentSeconds) * (rate - d.recent)
	follow := usualSeconds
	if d.recent > highDemand*d.usual {
		follow = excessSeconds
	}
	d.usual += min(1, elapsed/follow) * (d.recent - d.usual)
}

// sum over the failure domains whose demand is known.
func (ds *demands) sum() (recent, usual float64) {
	for _, d := range ds.list {
		if d.seconds >= warmupSeconds/2 {
			recent += d.recent
			usual += d.usual
		}
	}
	return recent, usual
}

// high reports far more calls than usual.
func (ds *demands) high() bool {
	recent, usual := ds.sum()
	return recent > highDemand*usual
}
