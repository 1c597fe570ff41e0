package lifecycle

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Now()

// Guards against limits that refuse the largest legal body on the smallest nodes, or that leave the runtime too little.
func TestResources(t *testing.T) {
	is := is.New(t)
	const largestBody = 64 << 20
	for _, mb := range []int{128, 184} {
		held := NewResources(mb*1_000_000, 4100)
		h := held.Account.NewHolder("", "", start, nil)
		is.True(h.Add(largestBody, true, start))
		is.True(!h.Add(int64(mb)*1_000_000-largestBody-runtimeBytes+1, false, start))
	}
	r := NewResources(0, 500)
	slots := int64(0)
	for _, percent := range []int{40, 39, 7, 7, 7} {
		s := r.Slots(percent)
		h := s.NewHolder("", "", start, nil)
		for h.Add(1, false, start) {
			slots++
		}
	}
	is.True(slots+int64(r.Outgoing()) <= 500-platformFiles-reservedFiles)
	is.True(slots >= 150)
	is.True(NewResources(0, 0).connections > 0)
}
