package plan

import (
	"cmp"
	"net"
	"slices"
	"strings"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Table finds the routes and services of one accepted plan. It is immutable.
type Table struct {
	// Serial is the number of plans accepted so far, including this one. It is not Plan.Number,
	// which the operator chooses.
	Serial uint64
	Plan   *pb.Plan

	byHost   map[string][]*pb.PlanRoute // longest prefix first
	services map[string]*pb.PlanService
}

// NewTable indexes a valid plan.
func NewTable(p *pb.Plan, serial uint64) *Table {
	t := &Table{
		Serial: serial, Plan: p,
		byHost: make(map[string][]*pb.PlanRoute), services: make(map[string]*pb.PlanService, len(p.GetServices())),
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
