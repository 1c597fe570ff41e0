package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/ports"
)

var twoDomains = []Candidate{
	{Gate: "domain", Slots: 9, Link: ports.LinkDomain},
	{Gate: "region", Slots: 9, Link: ports.LinkRegion},
}

func pickFor(p *Picker, now time.Time, list []Candidate, kilobytes float64, priority uint32) string {
	i, _ := p.Pick(now, list, Ask{
		Tried: none, Random: half, Service: "a", Left: 800 * time.Millisecond, Kilobytes: kilobytes, Priority: priority,
	})
	return list[i].Gate
}

func stated(p *Picker, now time.Time, gate string, l admission.Load) {
	p.Sent(gate)
	p.Done(now, gate, "a", Outcome{Load: &l})
}

// Guards against requests that leave their failure domain for a node of which
// nothing is known, because the known one takes its usual time.
func TestUnknownNodeIsNotTakenForAFastOne(t *testing.T) {
	is := is.New(t)
	p := New()
	stated(p, base, "domain", admission.Load{Running: 3, Slots: 9, Service: 240 * time.Millisecond})
	is.Equal(pickFor(p, base, twoDomains, 5, 2), "domain")
}

// Guards against large answers that cross between failure domains for a small
// gain in time, and against urgent small ones that stay although they come late.
func TestCrossingIsWeighedAgainstLateness(t *testing.T) {
	is := is.New(t)
	p := New()
	stated(p, base, "domain", admission.Load{Running: 9, Queued: 9, Slots: 9, Service: 300 * time.Millisecond})
	stated(p, base, "region", admission.Load{Running: 3, Slots: 9, Service: 200 * time.Millisecond})
	is.Equal(pickFor(p, base, twoDomains, 30, 2), "domain")
	is.Equal(pickFor(p, base, twoDomains, 2, 0), "region")
}

// Guards against a node that is left because of one failure among many answers.
func TestOneFailureAmongMany(t *testing.T) {
	is := is.New(t)
	p := New()
	for i := range 50 {
		p.Sent("domain")
		p.Done(base, "domain", "a", Outcome{Failed: i == 49})
	}
	is.Equal(pickFor(p, base, twoDomains, 3, 2), "domain")
	for range 20 {
		p.Sent("domain")
		p.Done(base, "domain", "a", Outcome{Failed: true})
	}
	is.Equal(pickFor(p, base, twoDomains, 3, 2), "region")
}

// Guards against a node that was slow for a while and is never asked again.
func TestSlowNodeIsTriedAgain(t *testing.T) {
	is := is.New(t)
	p := New()
	stated(p, base, "region", admission.Load{Running: 1, Slots: 9, Service: 200 * time.Millisecond})
	stated(p, base, "domain", admission.Load{Running: 1, Slots: 9, Service: 3 * time.Second})
	is.Equal(pickFor(p, base, twoDomains, 5, 2), "region")
	for i := range 20 { // the averages follow what the other node states
		stated(p, base.Add(time.Duration(i)*time.Second), "region", admission.Load{Running: 1, Slots: 9, Service: 200 * time.Millisecond})
	}
	is.Equal(pickFor(p, base.Add(20*time.Second), twoDomains, 5, 2), "domain")
}

// Guards against a queue that will refuse the request while another region has room.
func TestPredictedRefusalCounts(t *testing.T) {
	is := is.New(t)
	p := New()
	list := []Candidate{{Gate: "near", Slots: 9, Link: ports.LinkDomain}, {Gate: "far", Slots: 9, Link: ports.LinkRemote}}
	stated(p, base, "near", admission.Load{Running: 9, Queued: 10, Slots: 9, Service: 66 * time.Millisecond})
	stated(p, base, "far", admission.Load{Running: 1, Slots: 9, Service: 66 * time.Millisecond})
	ask := Ask{
		Tried: none, Random: half, Service: "a", Left: 300 * time.Millisecond, Kilobytes: 2, Priority: 2,
		Wait: func(time.Duration) time.Duration { return 95 * time.Millisecond },
	}
	i, _ := p.Pick(base, list, ask)
	is.Equal(list[i].Gate, "far")
	ask.Wait = func(time.Duration) time.Duration { return 400 * time.Millisecond }
	i, _ = p.Pick(base, list, ask)
	is.Equal(list[i].Gate, "near")
}
