package simulate

import "fmt"

// Case is one cell of the table of results for a service.
type Case struct {
	Name    string
	Fault   *Fault // nil for a good version
	Process Process
	Mixed   bool // the process fault differs from trial to trial
}

// FailingRate is the error rate of a version that fails.
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

var places = []struct {
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

// Cases lists every cell of the table.
func Cases() []Case {
	var out []Case
	for p := range ProcessCount {
		out = append(out, Case{Name: "good, " + p.String(), Process: p})
	}
	for _, p := range places {
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
	for _, p := range places[:3:3] {
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

// Trial of a case with a seed.
func (c *Case) Trial(s Service, seed uint64) Trial {
	t := Trial{Service: s, Fault: c.Fault, Process: c.Process, Seed: seed}
	if c.Mixed {
		t.Process = 1 + Process(seed%uint64(ProcessCount-1))
	}
	return t
}
