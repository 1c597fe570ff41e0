package config

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Limits of a configuration. They keep the snapshot for one node small and
// prevent a malicious or faulty source from exhausting memory on every host.
const (
	MaxNameLength = 64
	MaxServices   = 1024
	MaxRoutes     = 8192
	// A ledger group of 3 tolerates one member that is lost or has restarted, a group of 5 tolerates two.
	MinLedgerMembers = 3
	MaxLedgerMembers = 5
	MaxPermille      = 1000
)

// Validate returns all problems of a configuration, or none when it is valid.
func Validate(c *pb.Configuration) []*pb.Problem {
	v := validator{services: make(map[string]bool, len(c.GetServices()))}
	if len(c.GetServices()) > MaxServices {
		v.add("services", "%d services, at most %d are allowed", len(c.GetServices()), MaxServices)
	}
	if len(c.GetRoutes()) > MaxRoutes {
		v.add("routes", "%d routes, at most %d are allowed", len(c.GetRoutes()), MaxRoutes)
	}
	for _, s := range c.GetServices() {
		if v.services[s.GetName()] {
			v.add("service/"+s.GetName(), "the name is used twice")
		}
		v.services[s.GetName()] = true
	}
	for _, s := range c.GetServices() {
		v.service(s)
	}
	names := make(map[string]bool, len(c.GetRoutes()))
	for _, r := range c.GetRoutes() {
		if names[r.GetName()] {
			v.add("route/"+r.GetName(), "the name is used twice")
		}
		names[r.GetName()] = true
		v.route(r)
	}
	hasShares := make(map[string]bool, len(c.GetShares()))
	for _, s := range c.GetShares() {
		if hasShares[s.GetService()] {
			v.add("shares/"+s.GetService(), "the service has shares twice")
		}
		hasShares[s.GetService()] = true
		v.shares(s)
	}
	return v.problems
}

type validator struct {
	services map[string]bool
	problems []*pb.Problem
}

func (v *validator) add(subject, format string, args ...any) {
	v.problems = append(v.problems, &pb.Problem{Subject: subject, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) name(subject, name string) {
	if name == "" || len(name) > MaxNameLength || strings.ContainsAny(name, " \t\r\n/\"'") {
		v.add(subject, "%q is not a name: 1 to %d characters without space, slash or quote", name, MaxNameLength)
	}
}

func (v *validator) service(s *pb.Service) {
	subject := "service/" + s.GetName()
	v.name(subject, s.GetName())
	if s.GetActiveVersion() == "" {
		v.add(subject, "active_version is missing")
	}
	if u, found := duplicate(s.GetUses()); found {
		v.add(subject, "uses service %q twice", u)
	}
	for _, u := range s.GetUses() {
		if !v.services[u] {
			v.add(subject, "uses service %q, which does not exist", u)
		}
	}
	if s.GetLimits().GetSlots() == 0 {
		v.add(subject, "limits.slots must be at least 1")
	}
	v.ledgerMembers(subject, "ledger_members", s.GetLedgerMembers())
	v.ledgerMembers(subject, "previous_ledger_members", s.GetPreviousLedgerMembers())
	for _, w := range s.GetTenantWeights() {
		if w.GetWeight() == 0 {
			v.add(subject, "weight of tenant %q must be at least 1", w.GetTenant())
		}
	}
}

// ledgerMembers checks the size of a ledger group and that its nodes are
// distinct. A node that is named twice would count as two votes, so that it could
// be a majority of a group of three on its own.
func (v *validator) ledgerMembers(subject, field string, members []string) {
	if n := len(members); n != 0 && (n < MinLedgerMembers || n > MaxLedgerMembers) {
		v.add(subject, "%s names %d nodes, it must name %d to %d or none", field, n, MinLedgerMembers, MaxLedgerMembers)
	}
	if m, found := duplicate(members); found {
		v.add(subject, "%s names node %q twice", field, m)
	}
}

// duplicate returns the first name that is repeated and whether there is one.
func duplicate(names []string) (string, bool) {
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		if seen[n] {
			return n, true
		}
		seen[n] = true
	}
	return "", false
}

func (v *validator) route(r *pb.Route) {
	subject := "route/" + r.GetName()
	v.name(subject, r.GetName())
	if !strings.HasPrefix(r.GetPathPrefix(), "/") {
		v.add(subject, "path_prefix %q must start with /", r.GetPathPrefix())
	}
	if !v.services[r.GetService()] {
		v.add(subject, "points at service %q, which does not exist", r.GetService())
	}
	for _, m := range r.GetMethods() {
		if !slices.Contains(knownMethods, m) {
			v.add(subject, "%q is not a method", m)
		}
	}
}

func (v *validator) shares(s *pb.ServiceShares) {
	subject := "shares/" + s.GetService()
	if !v.services[s.GetService()] {
		v.add(subject, "shares of service %q, which does not exist", s.GetService())
	}
	for _, d := range s.GetDomains() {
		if d.GetNewPermille() > MaxPermille {
			v.add(subject, "share of %s is %d, at most %d is allowed", d.GetFailureDomain(), d.GetNewPermille(), MaxPermille)
		}
	}
}

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}
