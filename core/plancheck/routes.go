package plancheck

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

func (c *comparison) routes() {
	matched := matchRoutes(c.old.GetRoutes(), c.new.GetRoutes())
	kept := make([]bool, len(c.old.GetRoutes()))
	for i, r := range c.new.GetRoutes() {
		e := entry{plan.RouteSubject(i, r), plan.Location{Section: plan.SectionRoute, Index: i}}
		j := matched[i]
		if j < 0 {
			c.add(kindOf(plan.SectionRoute, "added"), e, fmt.Sprintf("is added: %s to %s", address(r), shares(r)))
			continue
		}
		kept[j] = true
		c.route(e, c.old.GetRoutes()[j], r)
	}
	for j, r := range c.old.GetRoutes() {
		if !kept[j] {
			e := entry{plan.RouteSubject(j, r), plan.Location{Section: plan.SectionRoute, Index: j}}
			c.removed(e, "requests for "+address(r)+" take another route, or none")
		}
	}
}

// matchRoutes returns the index of the old route for each new one, or -1: the route with the same name, if only one in each
// plan has it, or else the one with the same host and path prefix.
func matchRoutes(before, after []*pb.PlanRoute) []int {
	oldNames, newNames := uniqueNames(before), uniqueNames(after)
	taken := make([]bool, len(before))
	out := make([]int, len(after))
	for i, r := range after {
		out[i] = -1
		j, known := oldNames[r.GetName()]
		if own, unique := newNames[r.GetName()]; known && unique && j >= 0 && own == i {
			out[i], taken[j] = j, true
		}
	}
	byAddress := make(map[string]int)
	for j, r := range before {
		if !taken[j] {
			byAddress[routeKey(r)] = j
		}
	}
	for i, r := range after {
		if out[i] >= 0 {
			continue
		}
		if j, known := byAddress[routeKey(r)]; known {
			out[i] = j
			delete(byAddress, routeKey(r))
		}
	}
	return out
}

// uniqueNames returns the index of each route by name, -1 if several have it.
func uniqueNames(routes []*pb.PlanRoute) map[string]int {
	out := make(map[string]int, len(routes))
	for i, r := range routes {
		if _, several := out[r.GetName()]; several || r.GetName() == "" {
			i = -1
		}
		out[r.GetName()] = i
	}
	return out
}

func routeKey(r *pb.PlanRoute) string { return strings.ToLower(r.GetHost()) + " " + r.GetPathPrefix() }

func address(r *pb.PlanRoute) string { return shorten(r.GetHost()) + shorten(r.GetPathPrefix()) }

func (c *comparison) route(e entry, a, b *pb.PlanRoute) {
	compare(c, e, plan.FieldName, a.GetName(), b.GetName(), quote)
	compare(c, e, plan.FieldHost, strings.ToLower(a.GetHost()), strings.ToLower(b.GetHost()), quote)
	compare(c, e, plan.FieldPathPrefix, a.GetPathPrefix(), b.GetPathPrefix(), quote)
	compare(c, e, plan.FieldKind, kindName(a), kindName(b), text[string])
	compare(c, e, plan.FieldTimeout, statedTime{a.GetTimeoutMs(), a.GetTimeoutExactMs()}, statedTime{b.GetTimeoutMs(), b.GetTimeoutExactMs()}, statedTime.String)
	compare(c, e, plan.FieldGoal, statedTime{a.GetGoalMs(), a.GetGoalExactMs()}, statedTime{b.GetGoalMs(), b.GetGoalExactMs()}, statedTime.String)
	compare(c, e, plan.FieldPriority, a.GetPriority(), b.GetPriority(), text[uint32])
	compare(c, e, plan.FieldMaxAttempts, max(1, a.GetMaxAttempts()), max(1, b.GetMaxAttempts()), text[uint32])
	c.public(e, a.GetPublic(), b.GetPublic())
	c.regions(e, a.GetAllowedRegions(), b.GetAllowedRegions())
	if part := movedShare(a, b); part > 0 {
		c.changed(e, plan.FieldTargets, shares(a), shares(b), percent(part)+" of its weight goes to another service")
	}
}

func kindName(r *pb.PlanRoute) string {
	switch {
	case r.GetIdempotent():
		return "idempotent"
	case r.GetUpload():
		return "upload"
	}
	return "not idempotent"
}

func (c *comparison) public(e entry, before, after bool) {
	effect := ""
	switch {
	case before == after:
		return
	case after:
		effect = "its requests need no key"
	case len(c.new.GetOrganisations()) > 0:
		effect = "its requests without a key get 401"
	}
	c.changed(e, plan.FieldPublic, text(before), text(after), effect)
}

// shareOf returns the share of each service of a route in its requests.
func shareOf(r *pb.PlanRoute) map[string]float64 {
	total := 0.0
	out := make(map[string]float64)
	for _, t := range r.GetTargets() {
		total += float64(t.GetWeight())
		out[t.GetService()] += float64(t.GetWeight())
	}
	for name := range out {
		if out[name] /= total; total == 0 {
			out[name] = 0
		}
	}
	return out
}

// leastShare is above the rounding errors of shares and below the share of weight 1 beside the largest weights.
const leastShare = 1e-10

// movedShare returns the part of the requests of a route that goes to another service than before.
func movedShare(a, b *pb.PlanRoute) float64 {
	before, after := shareOf(a), shareOf(b)
	moved := 0.0
	for name, share := range after {
		moved += max(0, share-before[name])
	}
	if moved < leastShare {
		return 0
	}
	return moved
}

func shares(r *pb.PlanRoute) string {
	part := shareOf(r)
	names := make([]string, 0, len(part))
	for name := range part {
		names = append(names, name)
	}
	slices.Sort(names)
	out := make([]string, 0, maxNames)
	for _, name := range names[:min(maxNames, len(names))] {
		out = append(out, shorten(name)+" "+percent(part[name]))
	}
	if more := len(names) - len(out); more > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(out, ", "), more)
	}
	return strings.Join(out, ", ")
}

// percent returns a share in percent with up to two decimals.
func percent(share float64) string {
	if share > 0 && share < 0.0001 {
		return "less than 0.01%"
	}
	return number(math.Round(share*10_000)/100) + "%"
}
