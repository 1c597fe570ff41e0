package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/ports"
)

// Guards against large bodies that leave their node although the link takes longer than the queue of the own upstream,
// against small ones that do not leave it, and against bodies that are sent where they would arrive too late. Load: the own
// upstream has 9 slots and a queue, the other ones are idle; the link has 6.1 Mbit/s.
func TestTransferTimeIsWeighed(t *testing.T) {
	list := []Candidate{{Gate: "own", Slots: 9, Own: true}, {Gate: "domain", Slots: 9, Link: ports.LinkDomain}, {Gate: "remote", Slots: 9, Link: ports.LinkRemote}}
	for _, c := range []struct {
		name            string
		kilobytes, mbps float64
		queued          int
		left            time.Duration
		maxWait         time.Duration
		want            string
	}{
		{"large body, short queue", 360, 6.1, 3, 800 * time.Millisecond, 0, "own"},
		{"large body, long queue", 360, 6.1, 40, 800 * time.Millisecond, 0, "domain"},
		{"small body, short queue", 2, 6.1, 3, 300 * time.Millisecond, 0, "domain"},
		{"large body, link not known", 360, 0, 3, 800 * time.Millisecond, 0, "domain"},
		{"large body, would be rejected where it arrives", 360, 6.1, 3, 500 * time.Millisecond, 300 * time.Millisecond, "own"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := New()
			reportLoad(p, base, "own", admission.Load{Running: 9, Queued: c.queued, Slots: 9, ServiceTime: 200 * time.Millisecond})
			for _, gate := range []string{"domain", "remote"} {
				reportLoad(p, base, gate, admission.Load{Running: 1, Slots: 9, ServiceTime: 200 * time.Millisecond})
			}
			ask := PickRequest{Tried: noneTried, Random: randomHalf, Service: "a", TimeLeft: c.left, Kilobytes: c.kilobytes, LinkMbps: c.mbps, Priority: 2}
			if c.maxWait > 0 {
				ask.MaxQueueWait = func(time.Duration) time.Duration { return c.maxWait }
			}
			i, _ := p.Pick(base, list, ask)
			is.Equal(list[i].Gate, c.want)
		})
	}
}
