package retry

import "time"

// Window is a sliding window that limits the number of events in any time span of
// its length. It is not safe for concurrent use.
type Window struct {
	length time.Duration
	events []time.Time // oldest first
}

// NewWindow returns a window without events.
func NewWindow(length time.Duration) *Window { return &Window{length: length} }

// Take counts one event, and reports true, if fewer events than the limit lie in
// the window that ends now.
func (w *Window) Take(now time.Time, limit int) bool {
	expired := 0
	for expired < len(w.events) && now.Sub(w.events[expired]) >= w.length {
		expired++
	}
	w.events = w.events[expired:]
	if len(w.events) >= limit {
		return false
	}
	w.events = append(w.events, now)
	return true
}
