package soak

import (
	"fmt"
	"sync"
	"time"
)

// touchTime is the time for which a node must have been undisturbed and connected to a majority of the control hosts to be in
// touch, see docs/design/organisations-evacuation-overload.md, section 1.
const touchTime = 4 * time.Second

// touch records when processes were killed, paused or stopped, and tells which nodes were in touch. The links between the
// processes are not disturbed, so a majority of running control hosts has a path to each node.
type touch struct {
	controls int // number of control hosts
	// delays returns the sum of the stalls between two times, see timerDelays; nil: none.
	delays func(from, to time.Time) time.Duration

	mu                      sync.Mutex
	nodeSpans, controlSpans []span
}

// record records that processes were disturbed from a time until another.
func (t *touch) record(control bool, targets []int, from, to time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, target := range targets {
		s := span{node: target, from: from, to: to}
		if control {
			t.controlSpans = append(t.controlSpans, s)
		} else {
			t.nodeSpans = append(t.nodeSpans, s)
		}
	}
}

// inTouch reports whether a node was in touch at all times between two, which may be equal.
func (t *touch) inTouch(node int, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	from = from.Add(-touchTime)
	for _, s := range t.nodeSpans {
		if s.node == node && s.overlaps(from, to) {
			return false
		}
	}
	if t.lacksMajority(from) {
		return false
	}
	for _, s := range t.controlSpans { // the number of disturbed hosts grows only where a span begins
		if s.overlaps(from, to) && !s.from.Before(from) && t.lacksMajority(s.from) {
			return false
		}
	}
	return true
}

// lacksMajority reports whether at least half of the control hosts were disturbed at a time. The caller holds mu.
func (t *touch) lacksMajority(at time.Time) bool {
	disturbed := make(map[int]bool)
	for _, s := range t.controlSpans {
		if s.overlaps(at, at) {
			disturbed[s.node] = true
		}
	}
	return 2*len(disturbed) >= t.controls
}

func (s span) overlaps(from, to time.Time) bool { return !s.from.After(to) && !s.to.Before(from) }

// deadline returns the end of a bound that began at a time. The bound is extended by the delays of timers meanwhile, because the machine
// did not run the processes then.
func (t *touch) deadline(since time.Time, bound time.Duration) time.Time {
	end := since.Add(bound)
	if t.delays != nil {
		end = end.Add(t.delays(since, end))
	}
	return end
}

// clock states times of a run as the schedule does, since its start.
type clock struct{ start time.Time }

func (c clock) at(t time.Time) string { return fmt.Sprintf("at %.3f s", t.Sub(c.start).Seconds()) }
