package retry

import "time"

// Window bounds how many events happen in any span of its length. It is not
// safe for concurrent use.
type Window struct {
	length time.Duration
	taken  []time.Time // oldest first
}

// NewWindow returns a window without events.
func NewWindow(length time.Duration) *Window { return &Window{length: length} }

// Take counts one event if fewer than the limit lie in the window that ends now.
func (w *Window) Take(now time.Time, limit int) bool {
	drop := 0
	for drop < len(w.taken) && now.Sub(w.taken[drop]) >= w.length {
		drop++
	}
	w.taken = w.taken[drop:]
	if len(w.taken) >= limit {
		return false
	}
	w.taken = append(w.taken, now)
	return true
}
