package placement

import "github.com/rattanfield/rattanfield/core/admission"

// averageWeight of one stated load: about the last twenty.
const averageWeight = 0.05

// average over what the nodes of a service stated.
type average struct {
	service float64 // seconds; 0: none was stated yet
	busy    float64 // requests that run or wait, per slot
}

func (a *average) take(l admission.Load) {
	busy := float64(l.Running+l.Queued) / float64(max(1, l.Slots))
	a.busy += averageWeight * (busy - a.busy)
	switch {
	case l.Service <= 0:
	case a.service == 0:
		a.service = l.Service.Seconds()
	default:
		a.service += averageWeight * (l.Service.Seconds() - a.service)
	}
}

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
