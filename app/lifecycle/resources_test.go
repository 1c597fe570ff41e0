package lifecycle

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

var start = time.Now()

// Guards against limits that refuse the largest legal body on the smallest nodes, or that leave the runtime too little.
func TestResources(t *testing.T) {
	is := is.New(t)
	const largestBody, programAndRuntime = 64 << 20, 44_000_000
	for _, mb := range []int{128, 184} {
		held := NewResources(mb*1_000_000, 4100)
		h := held.Account.NewHolder("", "", start, nil)
		is.True(h.Add(largestBody, true, start))
		is.True(!h.Add(int64(mb)*1_000_000-largestBody-programAndRuntime+1, false, start))
	}
	small := NewResources(64_000_000, 0)
	is.True(!small.Account.NewHolder("", "", start, nil).Add(22_000_000, false, start)) // a third of the memory is left
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

// Guards against a log that clients fill, with a line for each refusal, and against refusals that no line tells.
func TestRefusalsAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	logger := log.NewLogfmtLogger(&out)
	count := uint64(3)
	r := NewResources(0, 0)
	r.refusals = []*refusals{{listener: "entry", reason: "slow-body", count: func() uint64 { return count }}}
	r.logRefusals(logger)
	r.logRefusals(logger)
	count = 5
	r.logRefusals(logger)
	is.Equal(out.String(), "event=\"connections refused\" listener=entry reason=slow-body number=3 memory=0\n"+
		"event=\"connections refused\" listener=entry reason=slow-body number=2 memory=0\n")
}
