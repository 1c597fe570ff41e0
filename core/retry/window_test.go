package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Checks that no time span of the window's length has more events than the limit.
func TestWindowLimitsEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 10 * time.Second
		limit := rapid.IntRange(0, 5).Draw(t, "limit")
		w := NewWindow(length)
		now := time.Unix(1000, 0)
		var taken []time.Time
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if w.Take(now, limit) {
				taken = append(taken, now)
			}
		}
		for i, first := range taken {
			n := 0
			for _, other := range taken[i:] {
				if other.Sub(first) < length {
					n++
				}
			}
			if n > limit {
				t.Fatalf("%d events within the window, the limit is %d", n, limit)
			}
		}
	})
}
