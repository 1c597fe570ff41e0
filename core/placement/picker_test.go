package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/ports"
)

var base = time.Unix(1000, 0)

const goal = 300 * time.Millisecond

func noneTried(string) bool { return false }

func randomHalf() float64 { return 0.5 }

var candidates = []Candidate{
	{Gate: "own", Slots: 9, Own: true},
	{Gate: "domain", Slots: 9, Link: ports.LinkDomain},
	{Gate: "region", Slots: 9, Link: ports.LinkRegion},
	{Gate: "remote", Slots: 9, Link: ports.LinkRemote},
}

func pick(p *Picker, now time.Time) string {
	if i, _ := p.Pick(now, candidates, PickRequest{Tried: noneTried, Random: randomHalf, Service: "a", TimeLeft: goal, Kilobytes: 2, Priority: 2}); i >= 0 {
		return candidates[i].Gate
	}
	return ""
}

// Guards against calls that leave the failure domain or the region while nodes nearby
// have capacity, and against calls to a near node that is overloaded.
func TestNearestNodeWithCapacity(t *testing.T) {
	is := is.New(t)
	p := New()
	is.Equal(pick(p, base), "own")
	full := &admission.Load{Running: 9, Queued: 60, Slots: 9, ServiceTime: 60 * time.Millisecond}
	for _, want := range []string{"domain", "region"} {
		gate := pick(p, base)
		p.Sent(gate)
		p.Done(base, gate, "a", Outcome{Load: full})
		is.Equal(pick(p, base), want)
	}
	p.Sent("region")
	p.Done(base, "region", "a", Outcome{Load: full})
	p.Sent("remote")
	p.Done(base, "remote", "a", Outcome{Load: &admission.Load{Running: 3, Slots: 9, ServiceTime: 60 * time.Millisecond}})
	is.Equal(pick(p, base), "remote")
	is.Equal(pick(p, base.Add(5*time.Second)), "own") // the reports are outdated
}

// Guards against a failing node that still receives calls, and against one that is never tried
// again.
func TestFailingNodeIsAvoidedTemporarily(t *testing.T) {
	is := is.New(t)
	p := New()
	for range 10 {
		p.Sent("own")
		p.Done(base, "own", "a", Outcome{Failed: true})
	}
	is.Equal(pick(p, base), "domain")
	is.Equal(pick(p, base.Add(30*time.Second)), "own")
}

// Guards against calls to a node that was unavailable, before its avoid time is over or a
// connection to it succeeded.
func TestUnavailableNode(t *testing.T) {
	is := is.New(t)
	p := New()
	p.Sent("own")
	p.Done(base, "own", "a", Outcome{Unavailable: true})
	is.Equal(pick(p, base), "domain")
	is.Equal(p.UnavailableGates(base), []string{"own"})
	p.MarkReachable("own")
	is.Equal(pick(p, base), "own")
	only := func(gate string) bool { return gate != "own" }
	p.Sent("own")
	p.Done(base, "own", "a", Outcome{Unavailable: true})
	i, full := p.Pick(base, candidates, PickRequest{Tried: only, Random: randomHalf, Service: "a", TimeLeft: goal, Kilobytes: 2, Priority: 2})
	is.Equal(i, -1)
	is.True(!full)
	i, _ = p.Pick(base.Add(minAvoidTime), candidates, PickRequest{Tried: only, Random: randomHalf, Service: "a", TimeLeft: goal, Kilobytes: 2, Priority: 2})
	is.Equal(i, 0)
}

// Guards against requests that try one node after the other although all queues are full, and
// against nodes that are never tried again.
func TestFullNodesAreNotTried(t *testing.T) {
	is := is.New(t)
	p := New()
	full := &admission.Load{Running: 9, Queued: 30, Slots: 9, ServiceTime: 60 * time.Millisecond}
	ask := PickRequest{Tried: noneTried, Random: randomHalf, Service: "a", TimeLeft: goal, Kilobytes: 2, Priority: 2, MaxQueueWait: func(time.Duration) time.Duration { return 100 * time.Millisecond }}
	for _, c := range candidates {
		p.Sent(c.Gate)
		p.Done(base, c.Gate, "a", Outcome{Load: full, NotRun: true})
	}
	i, all := p.Pick(base, candidates, ask)
	is.Equal(i, -1)
	is.True(all)
	i, _ = p.Pick(base.Add(2*loadMaxAge), candidates, ask)
	is.True(i >= 0)
}

// Guards against requests that cross between regions only to displace others there, and
// against a region that is never tried although this one has no available node.
func TestOtherRegionOnlyWithFreeSlot(t *testing.T) {
	is := is.New(t)
	p := New()
	full := &admission.Load{Running: 9, Queued: 30, Slots: 9, ServiceTime: 60 * time.Millisecond}
	for _, c := range candidates {
		p.Sent(c.Gate)
		p.Done(base, c.Gate, "a", Outcome{Load: full})
	}
	later := base.Add(freeSlotMaxAge + 1)
	is.True(pick(p, later) != "remote") // it has no recent report
	explore := func() float64 { return 0 }
	i, _ := p.Pick(later, candidates, PickRequest{Tried: noneTried, Random: explore, Service: "a", TimeLeft: goal, Kilobytes: 2, Priority: 2, MaxQueueWait: func(time.Duration) time.Duration { return time.Second }})
	is.True(i >= 0)
	for _, c := range candidates[:3] {
		p.Sent(c.Gate)
		p.Done(later, c.Gate, "a", Outcome{Unavailable: true})
	}
	is.Equal(pick(p, later), "remote")
}
