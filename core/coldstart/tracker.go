package coldstart

import "time"

const (
	// endMargin is added to the remaining slow start that an upstream reports, for the time that the report took.
	endMargin = 100 * time.Millisecond
	// warmSpan is the least time between two announcements without a slow start that end one. A single one may be late and
	// state what was true before.
	warmSpan = time.Second
	// defaultColdStart is the slow start that is assumed if the plan states a rate, but no length.
	defaultColdStart = 10 * time.Second
)

// Tracker tracks the slow start of the upstream behind a gate and the requests that were sent to it. An upstream is
// assumed to be cold while nothing reliable is known. It is not safe for concurrent use.
type Tracker struct {
	closedUntil time.Time // the sends before are not known, so that nothing is sent while cold
	until       time.Time // end of the slow start as reported
	announcedAt time.Time // last announcement of a slow start
	warmSince   time.Time // first announcement without a slow start after the last evidence of one; the zero time: none
	assumed     bool      // whether the upstream is cold is not known since assumedAt
	assumedAt   time.Time
	sends       []time.Time // the newest ones, oldest first
}

// NewTracker returns the tracker of a gate that has just started. Its former process may have sent requests until now.
func NewTracker(now time.Time) *Tracker { return &Tracker{closedUntil: now.Add(window)} }

// Assume states that from now on it is not known whether the upstream is cold: it may have started again.
func (t *Tracker) Assume(now time.Time) { t.assumed, t.assumedAt, t.warmSince = true, now, time.Time{} }

// Assumed reports whether the state is assumed. A health probe would find it out.
func (t *Tracker) Assumed(now time.Time, coldStart time.Duration) bool {
	return t.assumed && now.Before(t.assumedEnd(coldStart))
}

func (t *Tracker) assumedEnd(coldStart time.Duration) time.Time {
	if coldStart <= 0 {
		coldStart = defaultColdStart
	}
	return t.assumedAt.Add(coldStart + endMargin)
}

// Started applies the first announcement of a process. Its slow start is known if it states one; otherwise the process may
// be an old one, which became cold again after it had made the announcement.
func (t *Tracker) Started(now time.Time, left time.Duration) {
	t.until, t.assumed, t.warmSince = time.Time{}, false, time.Time{}
	if left <= 0 {
		t.Assume(now)
		return
	}
	t.Announced(now, left)
}

// Announced applies the remaining slow start in a further announcement of the process, each of which is newer than those
// before. It may be late, so it extends a slow start, and only two of them end one.
func (t *Tracker) Announced(now time.Time, left time.Duration) {
	switch {
	case left > 0:
		t.extend(now.Add(left + endMargin))
		t.announcedAt, t.warmSince = now, time.Time{}
	case t.warmSince.IsZero():
		t.warmSince = now
	case now.Sub(t.warmSince) >= warmSpan:
		t.until, t.assumed = time.Time{}, false
	}
}

// Probed applies the remaining slow start in an answer to a health probe, which was sent at the time started.
func (t *Tracker) Probed(started, now time.Time, left time.Duration) {
	switch {
	case t.assumed && started.Before(t.assumedAt):
		return // it may be about the process before
	case left > 0:
		t.until = now.Add(left + endMargin)
	case t.announcedAt.After(started):
		return
	default:
		t.until = time.Time{}
	}
	t.assumed, t.warmSince = false, time.Time{}
}

func (t *Tracker) extend(until time.Time) {
	if until.After(t.until) {
		t.until = until
	}
}

// Left returns the remaining slow start, 0 if the upstream is warm. coldStart is the length of a slow start.
func (t *Tracker) Left(now time.Time, coldStart time.Duration) time.Duration {
	end := t.until
	if t.assumed && t.assumedEnd(coldStart).After(end) {
		end = t.assumedEnd(coldStart)
	}
	return max(0, end.Sub(now))
}

// Room returns the number of requests that may be sent to a cold upstream now.
func (t *Tracker) Room(now time.Time, b Bound) int {
	if now.Before(t.closedUntil) {
		return 0
	}
	inWindow, inBurst := 0, 0
	for i := len(t.sends) - 1; i >= 0 && now.Sub(t.sends[i]) < window; i-- {
		inWindow++
		if now.Sub(t.sends[i]) < burstWindow {
			inBurst++
		}
	}
	return max(0, min(b.limit-inWindow, b.burst()-inBurst))
}

// RoomShare returns the share of the limit that is not used in the current window, from 0 to 1.
func (t *Tracker) RoomShare(now time.Time, b Bound) float64 {
	n := 0
	for i := len(t.sends) - 1; i >= 0 && now.Sub(t.sends[i]) < window; i-- {
		n++
	}
	if now.Before(t.closedUntil) {
		return 0
	}
	return max(0, 1-float64(n)/float64(max(1, b.limit)))
}

// Sent records a request that is sent to the upstream, also to a warm one: it may turn out to be cold.
func (t *Tracker) Sent(now time.Time, b Bound) {
	if len(t.sends) >= 2*b.limit {
		t.sends = append(t.sends[:0], t.sends[len(t.sends)-b.limit+1:]...)
	}
	t.sends = append(t.sends, now)
}

// Take reports whether a request may be sent now, and records it if so.
func (t *Tracker) Take(now time.Time, b Bound, coldStart time.Duration) bool {
	if t.Left(now, coldStart) > 0 && t.Room(now, b) <= 0 {
		return false
	}
	t.Sent(now, b)
	return true
}
