package placement

import (
	"time"

	"github.com/rattanfield/rattanfield/core/admission"
)

// averageWeight is the weight of one reported load in an average; about the last 20 count.
const averageWeight = 0.05

// average holds averages over the loads that the nodes of a service reported.
type average struct {
	serviceTime float64 // seconds; 0: not reported yet
	busy        float64 // running and queued requests per slot
}

// add adds a reported load. One without a service time changes only the busy average.
func (a *average) add(l admission.Load) {
	busy := float64(l.Running+l.Queued) / float64(max(1, l.Slots))
	a.busy += averageWeight * (busy - a.busy)
	switch {
	case l.ServiceTime <= 0:
	case a.serviceTime == 0:
		a.serviceTime = l.ServiceTime.Seconds()
	default:
		a.serviceTime += averageWeight * (l.ServiceTime.Seconds() - a.serviceTime)
	}
}

// average returns the averages of a service. Beyond maxNodes services, all averages are
// discarded.
func (p *Picker) average(service string) *average {
	a := p.averages[service]
	if a == nil {
		if len(p.averages) >= maxNodes {
			clear(p.averages)
		}
		a = &average{}
		p.averages[service] = a
	}
	return a
}

// ExpectedWait returns the expected time of a request in the queue of a node of a service, by the loads that its nodes
// reported.
func (p *Picker) ExpectedWait(service string) time.Duration {
	a := p.average(service)
	return time.Duration(max(0, a.busy-1) * a.serviceTime * float64(time.Second))
}
