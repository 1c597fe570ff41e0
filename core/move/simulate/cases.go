package simulate

import "fmt"

// Case is one scenario for which results of a service are tabulated.
type Case struct {
	Name         string
	Fault        *Fault // nil for a good version
	ProcessFault ProcessFault
	Mixed        bool // each trial has a different process fault
}

// FailingRate is the error rate of a failing version.
const FailingRate = 0.3

type effect struct {
	name string
	Fault
}

var effects = []effect{
	{"fails", Fault{ErrorRate: FailingRate}},
	{"1.5x slower", Fault{Slow: 1.5}},
	{"2x slower", Fault{Slow: 2}},
	{"5x slower", Fault{Slow: 5}},
}

var scopes = []struct {
	name string
	set  func(*Fault)
}{
	{"at once", func(*Fault) {}},
	{"after 10%", func(f *Fault) { f.Trigger, f.Share = AfterShare, 100 }},
	{"after 50%", func(f *Fault) { f.Trigger, f.Share = AfterShare, 500 }},
	{"after 90%", func(f *Fault) { f.Trigger, f.Share = AfterShare, 900 }},
	{"after 100%", func(f *Fault) { f.Trigger, f.Share = AfterShare, 1000 }},
	{"under load", func(f *Fault) { f.Trigger = UnderLoad }},
	{"on a route with 1%", func(f *Fault) { f.RareRoute = true }},
	{"in one failure domain", func(f *Fault) { f.OneDomain = true }},
}

// Cases returns all scenarios.
func Cases() []Case {
	var out []Case
	for p := range ProcessFaultCount {
		out = append(out, Case{Name: "good, " + p.String(), ProcessFault: p})
	}
	for _, p := range scopes {
		for _, e := range effects {
			f := e.Fault
			p.set(&f)
			f.Name = e.name + " " + p.name
			out = append(out, Case{Name: f.Name, Fault: &f})
		}
	}
	out = append(out,
		Case{Name: "2% fail at once", Fault: &Fault{Name: "2% fail at once", ErrorRate: 0.02}},
		Case{Name: "grows to 5x slower", Fault: &Fault{Name: "grows to 5x slower", Slow: 5, Trigger: Gradual}},
		Case{Name: "grows to 30% failing", Fault: &Fault{Name: "grows to 30% failing", ErrorRate: FailingRate, Trigger: Gradual}},
	)
	for _, p := range scopes[:3:3] {
		if p.name == "after 10%" {
			continue
		}
		for _, e := range effects {
			f := e.Fault
			p.set(&f)
			f.Name = fmt.Sprintf("%s %s, with process faults", e.name, p.name)
			out = append(out, Case{Name: f.Name, Fault: &f, Mixed: true})
		}
	}
	return out
}

// Trial returns the trial of the case for a service and a seed.
func (c *Case) Trial(s Service, seed uint64) Trial {
	t := Trial{Service: s, Fault: c.Fault, ProcessFault: c.ProcessFault, Seed: seed}
	if c.Mixed {
		t.ProcessFault = 1 + ProcessFault(seed%uint64(ProcessFaultCount-1))
	}
	return t
}
