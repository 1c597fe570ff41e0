package plan

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Table finds the routes and services of one accepted plan. It is immutable.
type Table struct {
	// Serial is the number of plans accepted so far, including this one. It is not Plan.Number,
	// which the operator chooses.
	Serial uint64
	// Plan is the plan, with limits that a node can apply.
	Plan *pb.Plan

	byHost        map[string][]*pb.PlanRoute // longest prefix first
	services      map[string]*pb.PlanService
	organisations organisations
}

// maxHeaderBytes bounds the limit for headers, because each connection has a buffer of that size.
const maxHeaderBytes = 1 << 20

// NewTable indexes a plan. Routes that Validate would reject have no effect on the others.
func NewTable(p *pb.Plan, serial uint64) *Table {
	t := &Table{
		Serial: serial, Plan: withBoundedLimits(p),
		byHost: make(map[string][]*pb.PlanRoute), services: make(map[string]*pb.PlanService, len(p.GetServices())),
		organisations: newOrganisations(p.GetOrganisations()),
	}
	for _, s := range p.GetServices() {
		t.services[s.GetName()] = s
	}
	for _, r := range p.GetRoutes() {
		host := strings.ToLower(r.GetHost())
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *pb.PlanRoute) int {
			return cmp.Compare(len(b.GetPathPrefix()), len(a.GetPathPrefix()))
		})
	}
	return t
}

// withBoundedLimits returns the plan, or a copy with lower limits that shares everything else.
func withBoundedLimits(p *pb.Plan) *pb.Plan {
	if p.GetLimits().GetMaxHeaderBytes() <= maxHeaderBytes {
		return p
	}
	limits := proto.CloneOf(p.GetLimits())
	limits.MaxHeaderBytes = maxHeaderBytes
	return &pb.Plan{
		Number: p.GetNumber(), Services: p.GetServices(), Routes: p.GetRoutes(), Limits: limits, BaseNumber: p.GetBaseNumber(),
		Organisations: p.GetOrganisations(), HasOrganisations: p.GetHasOrganisations(),
	}
}

// Match returns the route of a request, or nil: the longest matching path prefix
// among the routes of the host. The host may include a port and the path a query
// string; the case of the host does not matter.
func (t *Table) Match(host, path string) *pb.PlanRoute {
	host = strings.ToLower(host)
	routes, ok := t.byHost[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = t.byHost[name]
		}
	}
	path, _, _ = strings.Cut(path, "?")
	for _, r := range routes {
		if strings.HasPrefix(path, r.GetPathPrefix()) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *pb.PlanService { return t.services[name] }
