package move

import (
	"slices"
	"time"
)

// demands tracks the offered calls per second of each failure domain. A failure domain is
// updated only when its reports arrive, so that late reports and a partition do not look
// like a change of demand.
type demands struct {
	list []*demand // in the order of appearance, so that sums are deterministic
}

type demand struct {
	domain        string
	recent, usual float64   // calls per second
	seconds       float64   // observed so far
	calls         float64   // since last
	last          time.Time // end of the last interval with a report
}

const (
	recentSeconds = 4.0 // time constant of the recent demand
	// usualSeconds is the time constant of the usual demand. While the recent demand is far
	// above it, excessSeconds applies: overload must not become usual soon, but a lasting
	// change of demand must not hold a move forever.
	usualSeconds  = 60.0
	excessSeconds = 240.0
	highDemand    = 1.4 // times the usual demand
	warmupSeconds = 5.0 // until then, the usual demand is the mean rate so far
)

// addCalls adds the offered calls of a cell.
func (ds *demands) addCalls(domain string, calls float64) {
	i := slices.IndexFunc(ds.list, func(d *demand) bool { return d.domain == domain })
	if i < 0 {
		i = len(ds.list)
		ds.list = append(ds.list, &demand{domain: domain})
	}
	ds.list[i].calls += calls
}

// endInterval ends an interval for the failure domains that reported in it.
func (ds *demands) endInterval(e *Evidence, now time.Time) {
	for _, d := range ds.list {
		if status, known := e.Domains[d.domain]; known && !status.LastReport.After(d.last) {
			continue
		}
		// Reports may have been lost in a longer gap, so its calls may be incomplete.
		if elapsed := now.Sub(d.last); !d.last.IsZero() && elapsed <= 2*maxReportAge {
			d.add(d.calls, elapsed.Seconds())
		}
		d.calls, d.last = 0, now
	}
}

// add adds the calls of elapsed seconds.
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
	timeConstant := usualSeconds
	if d.recent > highDemand*d.usual {
		timeConstant = excessSeconds
	}
	d.usual += min(1, elapsed/timeConstant) * (d.recent - d.usual)
}

// sum returns the recent and the usual demand over the failure domains where it is known, in
// calls per second.
func (ds *demands) sum() (recent, usual float64) {
	for _, d := range ds.list {
		if d.seconds >= warmupSeconds/2 {
			recent += d.recent
			usual += d.usual
		}
	}
	return recent, usual
}

// high reports whether the recent demand is above highDemand times the usual one.
func (ds *demands) high() bool {
	recent, usual := ds.sum()
	return recent > highDemand*usual
}
