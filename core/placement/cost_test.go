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
	i, _ := p.Pick(now, list, PickRequest{
		Tried: noneTried, Random: randomHalf, Service: "a", TimeLeft: 800 * time.Millisecond, Kilobytes: kilobytes, Priority: priority,
	})
	return list[i].Gate
}

func reportLoad(p *Picker, now time.Time, gate string, l admission.Load) {
	p.Sent(gate)
	p.Done(now, gate, "a", Outcome{Load: &l})
}

// Guards against requests that leave their failure domain for a node without a report,
// although the node with one takes its usual time.
func TestNodeWithoutReportIsNotPreferred(t *testing.T) {
	is := is.New(t)
	p := New()
	reportLoad(p, base, "domain", admission.Load{Running: 3, Slots: 9, ServiceTime: 240 * time.Millisecond})
	is.Equal(pickFor(p, base, twoDomains, 5, 2), "domain")
}

// Guards against large answers that cross between failure domains for a small gain in
// time, and against small urgent ones that are late because they do not.
func TestTransferCostIsWeighedAgainstLateness(t *testing.T) {
	is := is.New(t)
	p := New()
	reportLoad(p, base, "domain", admission.Load{Running: 9, Queued: 9, Slots: 9, ServiceTime: 300 * time.Millisecond})
	reportLoad(p, base, "region", admission.Load{Running: 3, Slots: 9, ServiceTime: 200 * time.Millisecond})
	is.Equal(pickFor(p, base, twoDomains, 30, 2), "domain")
	is.Equal(pickFor(p, base, twoDomains, 2, 0), "region")
}

// Guards against a node that is avoided because of one failure among many answers.
func TestSingleFailureDoesNotAvoidNode(t *testing.T) {
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

// Guards against a node that was slow for a while and is never tried again.
func TestSlowNodeIsTriedAgain(t *testing.T) {
	is := is.New(t)
	p := New()
	reportLoad(p, base, "region", admission.Load{Running: 1, Slots: 9, ServiceTime: 200 * time.Millisecond})
	reportLoad(p, base, "domain", admission.Load{Running: 1, Slots: 9, ServiceTime: 3 * time.Second})
	is.Equal(pickFor(p, base, twoDomains, 5, 2), "region")
	for i := range 20 { // the averages follow the reports of the other node
		reportLoad(p, base.Add(time.Duration(i)*time.Second), "region", admission.Load{Running: 1, Slots: 9, ServiceTime: 200 * time.Millisecond})
	}
	is.Equal(pickFor(p, base.Add(20*time.Second), twoDomains, 5, 2), "domain")
}

// Guards against requests that are sent to a node that would reject them while another
// region has free slots.
func TestPredictedRejectionIsAvoided(t *testing.T) {
	is := is.New(t)
	p := New()
	list := []Candidate{{Gate: "near", Slots: 9, Link: ports.LinkDomain}, {Gate: "far", Slots: 9, Link: ports.LinkRemote}}
	reportLoad(p, base, "near", admission.Load{Running: 9, Queued: 10, Slots: 9, ServiceTime: 66 * time.Millisecond})
	reportLoad(p, base, "far", admission.Load{Running: 1, Slots: 9, ServiceTime: 66 * time.Millisecond})
	ask := PickRequest{
		Tried: noneTried, Random: randomHalf, Service: "a", TimeLeft: 300 * time.Millisecond, Kilobytes: 2, Priority: 2,
		MaxQueueWait: func(time.Duration) time.Duration { return 95 * time.Millisecond },
	}
	i, _ := p.Pick(base, list, ask)
	is.Equal(list[i].Gate, "far")
	ask.MaxQueueWait = func(time.Duration) time.Duration { return 400 * time.Millisecond }
	i, _ = p.Pick(base, list, ask)
	is.Equal(list[i].Gate, "near")
}

// Guards against a node whose link is so busy that requests wait before its gate, which reports a short queue: it drew
// the requests of all nodes while the others reported full queues.
func TestBusyLinkIsAvoidedForAWhile(t *testing.T) {
	is := is.New(t)
	p := New()
	load := &admission.Load{Running: 9, Queued: 3, Slots: 9, ServiceTime: 100 * time.Millisecond}
	for gate, transit := range map[string]time.Duration{"domain": 600 * time.Millisecond, "region": 20 * time.Millisecond} {
		p.Sent(gate)
		p.Done(base, gate, "a", Outcome{Load: load, NotRun: true, Latency: transit})
	}
	later := base.Add(2 * rejectionPenaltyTime)
	is.Equal(pickFor(p, later, twoDomains, 2, 2), "region")
	is.Equal(pickFor(p, base.Add(10*time.Second), twoDomains, 2, 2), "domain")
	p.Sent("domain") // an answer that took less shows that the link is free again
	p.Done(later, "domain", "a", Outcome{Load: load, Latency: 130 * time.Millisecond})
	is.Equal(pickFor(p, later, twoDomains, 2, 2), "domain")
	p.Sent("domain") // the wait in the queue of the gate is no time on the link
	p.Done(later, "domain", "a", Outcome{Load: load, NotRun: true, Waited: true, Latency: 600 * time.Millisecond})
	is.Equal(pickFor(p, later.Add(2*rejectionPenaltyTime), twoDomains, 2, 2), "domain")
}

// Guards against short requests that no node gets because the requests of the service take long on average, and against
// long ones that are sent where they would be late.
func TestExpectedTimeIsThatOfTheKind(t *testing.T) {
	is := is.New(t)
	p := New()
	reportLoad(p, base, "domain", admission.Load{Running: 9, Queued: 1, Slots: 9, ServiceTime: 300 * time.Millisecond})
	ask := PickRequest{
		Tried: noneTried, Random: randomHalf, Service: "a", TimeLeft: 200 * time.Millisecond, Kilobytes: 2,
		MaxQueueWait: func(service time.Duration) time.Duration { return 180*time.Millisecond - service },
	}
	i, _ := p.Pick(base, twoDomains[:1], ask)
	is.Equal(i, -1)
	ask.ServiceTime = 50 * time.Millisecond
	i, _ = p.Pick(base, twoDomains[:1], ask)
	is.Equal(i, 0)
}
