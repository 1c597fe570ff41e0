package plancheck

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// comparison collects the differences of a plan from the one in force.
type comparison struct {
	old, new *pb.Plan
	options  Options
	use      map[string]float64
	out      *Collector
}

// Changes adds the differences of a plan from the one in force, nil for none, and their effects. The present use of
// organisations, in requests per second, is optional. A plan that equals the one in force is acknowledged again and has no
// differences.
func Changes(out *Collector, inForce, p *pb.Plan, o Options, use map[string]float64) {
	if proto.Equal(inForce, p) {
		return
	}
	c := &comparison{old: inForce, new: p, options: o, use: use, out: out}
	c.numbers()
	c.limits()
	c.services()
	c.routes()
	c.organisations()
}

// entry is a service, a route or an organisation, or the limits, in one of the two plans.
type entry struct {
	subject string
	at      plan.Location
}

// changed adds a difference of a field. An effect is appended to its message.
func (c *comparison) changed(e entry, field plan.Field, before, after, effect string) {
	e.at.Field = field
	message := fmt.Sprintf("%s: %s -> %s", field, before, after)
	if effect != "" {
		message += "; " + effect
	}
	c.add(kindOf(e.at.Section, string(field)), e, message)
}

func (c *comparison) add(kind string, e entry, message string) {
	c.out.Add(Finding{Severity: Change, Kind: kind, At: e.at, Subject: e.subject, Message: message})
}

// removed adds an entry that only the plan in force has.
func (c *comparison) removed(e entry, effect string) {
	message := "is removed"
	if effect != "" {
		message += "; " + effect
	}
	c.out.Add(Finding{Severity: Change, Kind: kindOf(e.at.Section, "removed"), At: e.at, InForce: true, Subject: e.subject, Message: message})
}

func kindOf(s plan.Section, what string) string { return string(s) + " " + what }

// compare adds a difference of a field if its values differ.
func compare[T comparable](c *comparison, e entry, field plan.Field, before, after T, text func(T) string) {
	if before != after {
		c.changed(e, field, text(before), text(after), "")
	}
}

// numbers reports numbers with which the product rejects the plan, although it is valid in itself.
func (c *comparison) numbers() {
	current := c.old.GetNumber()
	e := entry{"version", plan.Location{Field: plan.FieldNumber}}
	if n := c.new.GetNumber(); n > 0 && n <= current { // 0 is an error
		c.out.Add(Finding{
			Severity: Change, Kind: "version", At: e.at, Subject: e.subject, Expected: fmt.Sprintf("above %d", current),
			Message: fmt.Sprintf("%d is not above the version in force, %d; the plan is rejected with 400", n, current),
		})
	}
	e = entry{"base version", plan.Location{Field: plan.FieldBaseNumber}}
	if base := c.new.GetBaseNumber(); base != current {
		c.out.Add(Finding{
			Severity: Change, Kind: "base version", At: e.at, Subject: e.subject, Expected: fmt.Sprint(current),
			Message: fmt.Sprintf("%d is not the version in force, %d; the plan is rejected with 412", base, current),
		})
	}
}

func (c *comparison) limits() {
	e := entry{"limits", plan.Location{Section: plan.SectionLimits}}
	before, after := c.old.GetLimits(), c.new.GetLimits()
	if a, b := c.options.header(before), c.options.header(after); a != b {
		c.changed(e, plan.FieldMaxHeader, bytes(uint64(a)), bytes(uint64(b)), rejectedAbove(a > b, "longer headers", 431))
	}
	if a, b := c.options.body(before), c.options.body(after); a != b {
		c.changed(e, plan.FieldMaxBody, bytes(a), bytes(b), rejectedAbove(a > b, "larger bodies", 413))
	}
	compare(c, e, plan.FieldHeaderTimeout, headerTimeout(before), headerTimeout(after), orDefault)
	compare(c, e, plan.FieldIdleTimeout, idleTimeout(before), idleTimeout(after), orDefault)
}

func rejectedAbove(smaller bool, what string, status int) string {
	if !smaller {
		return ""
	}
	return fmt.Sprintf("requests with %s get %d", what, status)
}

func headerTimeout(l *pb.TrafficLimits) statedTime {
	return statedTime{l.GetHeaderTimeoutMs(), l.GetHeaderTimeoutExactMs()}
}

func idleTimeout(l *pb.TrafficLimits) statedTime {
	return statedTime{l.GetIdleTimeoutMs(), l.GetIdleTimeoutExactMs()}
}

func orDefault(t statedTime) string {
	if t == (statedTime{}) {
		return "default"
	}
	return t.String()
}

func (c *comparison) services() {
	before := make(map[string]*pb.PlanService)
	for _, s := range c.old.GetServices() {
		before[s.GetName()] = s
	}
	kept := make(map[string]bool)
	for i, s := range c.new.GetServices() {
		e := serviceEntry(i, s)
		old := before[s.GetName()]
		switch {
		case kept[s.GetName()]: // listed twice, which is an error
		case old == nil:
			c.add(kindOf(plan.SectionService, "added"), e, "is added")
		default:
			c.service(e, old, s)
		}
		kept[s.GetName()] = true
	}
	for i, s := range c.old.GetServices() {
		if !kept[s.GetName()] {
			c.removed(serviceEntry(i, s), "")
		}
	}
}

func serviceEntry(i int, s *pb.PlanService) entry {
	return entry{"service/" + shorten(s.GetName()), plan.Location{Section: plan.SectionService, Index: i}}
}

func (c *comparison) service(e entry, a, b *pb.PlanService) {
	compare(c, e, plan.FieldHealthPath, a.GetHealthPath(), b.GetHealthPath(), quote)
	compare(c, e, plan.FieldMaxConnections, a.GetMaxConnections(), b.GetMaxConnections(), text[uint32])
	compare(c, e, plan.FieldProtocol, a.GetProtocol(), b.GetProtocol(), quote)
	compare(c, e, plan.FieldTLS, a.GetTls(), b.GetTls(), text[bool])
	compare(c, e, plan.FieldColdStart, statedTime{a.GetColdStartMs(), a.GetColdStartExactMs()}, statedTime{b.GetColdStartMs(), b.GetColdStartExactMs()}, statedTime.String)
	compare(c, e, plan.FieldColdRate, a.GetColdRequestsPerSecond(), b.GetColdRequestsPerSecond(), number)
}

func text[T any](v T) string { return fmt.Sprint(v) }

func quote(s string) string { return fmt.Sprintf("%q", shorten(s)) }

// regions adds the difference of two lists of allowed regions. The order of a list does not matter.
func (c *comparison) regions(e entry, before, after *pb.Regions) {
	a, b := before.GetNames(), after.GetNames()
	lost, won := without(a, b), without(b, a)
	if len(lost)+len(won) == 0 {
		return
	}
	effect := ""
	switch {
	case len(a) == 0:
		effect = "requests run in no other regions"
	case len(b) == 0:
		effect = "requests may run in all regions"
	case len(lost) > 0:
		effect = "requests no longer run in " + list(lost, len(lost))
	}
	c.changed(e, plan.FieldRegions, regionList(a), regionList(b), effect)
}

func regionList(names []string) string {
	if len(names) == 0 {
		return "all"
	}
	return list(names, len(names))
}

// without returns the texts of a list that another one lacks, each once.
func without(names, others []string) []string {
	known := make(map[string]bool, len(others))
	for _, o := range others {
		known[o] = true
	}
	var out []string
	for _, n := range names {
		if !known[n] {
			out = append(out, n)
		}
		known[n] = true
	}
	return out
}

// joinEffects joins the effects that apply.
func joinEffects(effects ...string) string {
	var out []string
	for _, e := range effects {
		if e != "" {
			out = append(out, e)
		}
	}
	return strings.Join(out, "; ")
}
