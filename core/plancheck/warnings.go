package plancheck

import (
	"fmt"
	"strings"

	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Kinds of warnings.
const (
	kindHidden      = "route without requests"
	kindService     = "service without route"
	kindKeys        = "organisation without keys"
	kindWeight      = "target without weight"
	kindRegions     = "no common region"
	kindMisspelt    = "region misspelt"
	kindGoal        = "goal above timeout"
	kindCold        = "slow start incomplete"
	kindBurst       = "burst without rate"
	kindSmallBurst  = "burst below one request"
	kindHeader      = "header limit"
	kindTimeouts    = "header timeout above idle timeout"
	kindMemory      = "body limit above memory"
	kindAttempts    = "attempts not applied"
	kindBodyTimeout = "timeout above that of bodies"
)

// checker collects the warnings about one plan.
type checker struct {
	plan    *pb.Plan
	options Options
	hosts   map[string]bool // hosts that were reported
	out     *Collector
}

// Warnings adds what no request can match or use, and limits that contradict each other, in the order of the plan.
func Warnings(out *Collector, p *pb.Plan, o Options) {
	c := &checker{plan: p, options: o, hosts: make(map[string]bool), out: out}
	c.trafficLimits()
	c.services()
	for i, r := range p.GetRoutes() {
		c.route(i, r)
	}
	for i, o := range p.GetOrganisations() {
		c.organisation(i, o)
	}
	c.commonRegions()
	c.misspeltRegions()
}

func (c *checker) warn(kind, subject string, at plan.Location, expected, format string, args ...any) {
	c.out.Add(Finding{Severity: Warning, Kind: kind, At: at, Subject: subject, Message: fmt.Sprintf(format, args...), Expected: expected})
}

// services reports services that no route names, and slow starts of which one of two fields is missing.
func (c *checker) services() {
	named, beside := make(map[string]bool), make(map[string]bool)
	for _, r := range c.plan.GetRoutes() {
		for _, t := range r.GetTargets() {
			named[t.GetService()] = true
		}
		if r.UnusedService != nil {
			beside[r.GetUnusedService()] = true
		}
	}
	for i, s := range c.plan.GetServices() {
		subject, at := "service/"+shorten(s.GetName()), plan.Location{Section: plan.SectionService, Index: i}
		at.Field = plan.FieldName
		switch {
		case named[s.GetName()] || s.GetName() == "": // a missing name is an error
		case beside[s.GetName()]:
			c.warn(kindService, subject, at, "", "routes name it only beside a split, which takes precedence")
		default:
			c.warn(kindService, subject, at, "", "no route names it")
		}
		named[s.GetName()] = true // a service that is listed twice is an error
		rate, start := s.GetColdRequestsPerSecond() > 0, s.GetColdStartMs() > 0
		switch {
		case rate && !start:
			at.Field = plan.FieldColdRate
			c.warn(kindCold, subject, at, "", "the rate of the slow start is given without the length of the slow start")
		case start && !rate:
			at.Field = plan.FieldColdStart
			c.warn(kindCold, subject, at, "", "the length of the slow start is given without a rate, so it has no effect")
		}
	}
}

func (c *checker) route(i int, r *pb.PlanRoute) {
	subject, at := plan.RouteSubject(i, r), plan.Location{Section: plan.SectionRoute, Index: i}
	field := func(f plan.Field) plan.Location { at.Field = f; return at }
	c.reachable(subject, r, field)
	if goal, timeout := r.GetGoalMs(), r.GetTimeoutMs(); goal > timeout && timeout > 0 { // a timeout of 0 is an error
		c.warn(kindGoal, subject, field(plan.FieldGoal), "at most "+milliseconds(timeout), "the goal %s is above the timeout %s", milliseconds(goal), milliseconds(timeout))
	}
	if most := c.options.BodyTimeoutMs; r.GetTimeoutMs() > most {
		c.warn(kindBodyTimeout, subject, field(plan.FieldTimeout), "at most "+milliseconds(most),
			"the timeout %s is above the %s within which a body must have arrived", milliseconds(r.GetTimeoutMs()), milliseconds(most))
	}
	if r.GetMaxAttempts() == 0 && (c.options.StatesAttempts == nil || c.options.StatesAttempts(r)) {
		c.warn(kindAttempts, subject, field(plan.FieldMaxAttempts), "1", "0 attempts count as 1")
	}
	c.weights(subject, at, r)
}

// reachable reports a host or a path prefix that no request has. Two routes with the same host and prefix are an error.
func (c *checker) reachable(subject string, r *pb.PlanRoute, field func(plan.Field) plan.Location) {
	if (strings.ContainsAny(r.GetHost(), "/?#@*\\") || hasBlank(r.GetHost())) && !c.hosts[r.GetHost()] {
		c.hosts[r.GetHost()] = true // one finding for all routes of the host
		c.warn(kindHidden, subject, field(plan.FieldHost), "", "no request matches the host %q: it must be a name or an address, without pattern, scheme or path", shorten(r.GetHost()))
	}
	switch prefix := r.GetPathPrefix(); {
	case strings.Contains(prefix, "?"):
		before, _, _ := strings.Cut(prefix, "?")
		c.warn(kindHidden, subject, field(plan.FieldPathPrefix), shorten(before), "no request matches the path prefix %q: paths are compared without their query", shorten(prefix))
	case strings.ContainsAny(prefix, "#") || hasBlank(prefix):
		c.warn(kindHidden, subject, field(plan.FieldPathPrefix), "", "no request matches the path prefix %q: the path of a request has no blanks and no #", shorten(prefix))
	}
}

// hasBlank reports whether a text has a character that ends a word of a request line.
func hasBlank(s string) bool {
	return strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// weights reports targets of weight 0, unless all have it, which is an error.
func (c *checker) weights(subject string, at plan.Location, r *pb.PlanRoute) {
	total := uint64(0)
	for _, t := range r.GetTargets() {
		total += uint64(t.GetWeight())
	}
	for i, t := range r.GetTargets() {
		if t.GetWeight() == 0 && total > 0 {
			at.Field, at.Element = plan.FieldWeight, i+1
			c.warn(kindWeight, subject, at, "", "service %q has the weight 0 and gets no requests", shorten(t.GetService()))
		}
	}
}

func (c *checker) organisation(i int, o *pb.Organisation) {
	subject, at := plan.OrganisationSubject(i, o), plan.Location{Section: plan.SectionOrganisation, Index: i}
	field := func(f plan.Field) plan.Location { at.Field = f; return at }
	if len(o.GetKeys()) == 0 {
		c.warn(kindKeys, subject, field(plan.FieldName), "", "has no keys, so no request belongs to it")
	}
	rate, burst := o.GetRequestsPerSecond(), o.GetBurst()
	switch {
	case burst > 0 && rate == 0:
		c.warn(kindBurst, subject, field(plan.FieldBurst), "", "the burst %s has no effect, because the rate is 0", number(burst))
	case o.Burst != nil && rate > 0 && burst >= 0 && burst < 1:
		c.warn(kindSmallBurst, subject, field(plan.FieldBurst), "at least 1", "the burst %s is below one request", number(burst))
	}
}
