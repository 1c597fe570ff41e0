package config

import (
	"cmp"
	"slices"
	"strings"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Project returns the subset of a configuration that a node with the given
// interests needs: the services of interest, the services that they use, the
// routes to all of these and their version shares.
func Project(c *pb.Configuration, interests *pb.Interests) *pb.Configuration {
	if interests.GetAll() {
		return c
	}
	needed := make(map[string]bool)
	for _, name := range interests.GetServices() {
		needed[name] = true
		if i, ok := search(c.GetServices(), name, (*pb.Service).GetName); ok {
			for _, u := range c.GetServices()[i].GetUses() {
				needed[u] = true
			}
		}
	}
	out := &pb.Configuration{Revision: c.GetRevision()}
	for _, s := range c.GetServices() {
		if needed[s.GetName()] {
			out.Services = append(out.Services, withoutForeignUses(s, needed))
		}
	}
	for _, r := range c.GetRoutes() {
		if needed[r.GetService()] {
			out.Routes = append(out.Routes, r)
		}
	}
	for _, s := range c.GetShares() {
		if needed[s.GetService()] {
			out.Shares = append(out.Shares, s)
		}
	}
	return out
}

// withoutForeignUses drops references to services outside the projection, so
// that a projection never holds a dangling reference.
func withoutForeignUses(s *pb.Service, needed map[string]bool) *pb.Service {
	foreign := func(name string) bool { return !needed[name] }
	if !slices.ContainsFunc(s.GetUses(), foreign) {
		return s
	}
	c := cloneService(s)
	c.Uses = slices.DeleteFunc(c.Uses, foreign)
	return c
}

// Projection is the validated configuration of one node, indexed for routing
// calls. It is immutable; a new configuration results in a new Projection.
type Projection struct {
	Configuration *pb.Configuration
	Hash          uint64

	services map[string]*pb.Service
	shares   map[string]*pb.ServiceShares
	byHost   map[string][]*pb.Route // longest prefix first
}

// NewProjection validates and indexes a configuration. For an invalid one it
// returns the problems and no projection.
func NewProjection(c *pb.Configuration) (*Projection, []*pb.Problem) {
	if problems := Validate(c); len(problems) > 0 {
		return nil, problems
	}
	p := &Projection{
		Configuration: c,
		Hash:          Hash(c),
		services:      make(map[string]*pb.Service, len(c.GetServices())),
		shares:        make(map[string]*pb.ServiceShares, len(c.GetShares())),
		byHost:        make(map[string][]*pb.Route),
	}
	for _, s := range c.GetServices() {
		p.services[s.GetName()] = s
	}
	for _, s := range c.GetShares() {
		p.shares[s.GetService()] = s
	}
	for _, r := range c.GetRoutes() {
		p.byHost[r.GetHost()] = append(p.byHost[r.GetHost()], r)
	}
	for _, routes := range p.byHost {
		slices.SortStableFunc(routes, func(a, b *pb.Route) int {
			return cmp.Compare(len(b.GetPathPrefix()), len(a.GetPathPrefix()))
		})
	}
	return p, nil
}

// Revision returns the revision of the configuration, or 0 for a nil projection.
func (p *Projection) Revision() uint64 {
	if p == nil {
		return 0
	}
	return p.Configuration.GetRevision()
}

// Service returns the service with the given name, or nil.
func (p *Projection) Service(name string) *pb.Service { return p.services[name] }

// Shares returns the version shares of a service, or nil when it has had no move.
func (p *Projection) Shares(service string) *pb.ServiceShares { return p.shares[service] }

// Match returns the route of a call, or nil. It selects the longest matching
// path prefix among the routes of the host, then among the routes for any host.
func (p *Projection) Match(host, method, path string) *pb.Route {
	if r := matchIn(p.byHost[host], method, path); r != nil || host == "" {
		return r
	}
	return matchIn(p.byHost[""], method, path)
}

func matchIn(routes []*pb.Route, method, path string) *pb.Route {
	for _, r := range routes {
		if strings.HasPrefix(path, r.GetPathPrefix()) && methodMatches(r.GetMethods(), method) {
			return r
		}
	}
	return nil
}

func methodMatches(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}
