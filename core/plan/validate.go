package plan

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// maxBytes bounds the encoded size of a plan, before compression. It is below the size up to which
// payloads are decompressed, so that every node can read an accepted plan, and holds about 100,000 routes.
const maxBytes = 16 << 20

// maxNumber is the largest number of a plan, the last integer that all JSON readers represent
// exactly. No plan could replace one with the largest integer.
const maxNumber = 1 << 53

// Validate returns all problems of a plan. A plan with problems must not be proposed.
func Validate(p *pb.Plan) []*pb.Problem {
	var out []*pb.Problem
	for _, problem := range LocateProblems(p) {
		out = append(out, problem.Problem)
	}
	return out
}

// LocateProblems is like Validate, with the place of each problem.
func LocateProblems(p *pb.Plan) []LocatedProblem {
	v := validator{
		services: make(map[string]bool), hostPrefixes: make(map[string]bool), organisations: make(map[string]bool), keyOwners: make(map[string]string),
	}
	if n := proto.Size(p); n > maxBytes {
		v.add("", "configuration", "has %d bytes, at most %d are allowed", n, maxBytes)
		return v.problems // the checks below need memory in proportion to the size
	}
	if p.GetNumber() == 0 {
		v.add(FieldNumber, "version", "must be above 0") // the operator's API names the number of a plan version
	}
	if p.GetNumber() > maxNumber {
		v.add(FieldNumber, "version", "must be at most %d", uint64(maxNumber))
	}
	for i, s := range p.GetServices() {
		v.at = Location{Section: SectionService, Index: i}
		v.service(s)
	}
	for i, r := range p.GetRoutes() {
		v.at = Location{Section: SectionRoute, Index: i}
		v.route(i, r)
	}
	for i, o := range p.GetOrganisations() {
		v.at = Location{Section: SectionOrganisation, Index: i}
		v.organisation(i, o)
	}
	return v.problems
}

type validator struct {
	services, hostPrefixes map[string]bool   // names, and hosts with a path prefix, seen so far
	organisations          map[string]bool   // names seen so far
	keyOwners              map[string]string // organisation by key
	at                     Location          // section and index of what is checked
	problems               []LocatedProblem
}

// add adds a problem of a field. Texts of the plan are cut to maxNameBytes, because many problems may quote the same one.
func (v *validator) add(field Field, subject, format string, args ...any) {
	v.addElement(field, 0, subject, format, args...)
}

// addElement is like add, for an element of a field that is a list.
func (v *validator) addElement(field Field, element int, subject, format string, args ...any) {
	for i, a := range args {
		if text, ok := a.(string); ok && len(text) > maxNameBytes {
			args[i] = strings.ToValidUTF8(text[:maxNameBytes], "") + "..."
		}
	}
	at := v.at
	at.Field, at.Element = field, element
	v.problems = append(v.problems, LocatedProblem{&pb.Problem{Subject: subject, Message: fmt.Sprintf(format, args...)}, at})
}

func (v *validator) service(s *pb.PlanService) {
	switch {
	case s.GetName() == "":
		v.add(FieldName, "service", "a service has no name")
	case v.services[s.GetName()]:
		v.add(FieldName, "service/"+s.GetName(), "is listed twice")
	}
	v.services[s.GetName()] = true
	subject := "service/" + s.GetName()
	v.length(FieldName, subject, "name", s.GetName(), maxNameBytes)
	v.length(FieldProtocol, subject, "protocol", s.GetProtocol(), maxNameBytes)
	v.length(FieldHealthPath, subject, "health path", s.GetHealthPath(), maxPathBytes)
	v.number(FieldColdRate, subject, "rate of the slow start", s.GetColdRequestsPerSecond())
}

func (v *validator) route(i int, r *pb.PlanRoute) {
	subject := RouteSubject(i, r)
	if r.GetHost() == "" {
		v.add(FieldHost, subject, "the host is empty")
	}
	if !strings.HasPrefix(r.GetPathPrefix(), "/") {
		v.add(FieldPathPrefix, subject, "the path prefix %q does not begin with a slash", r.GetPathPrefix())
	}
	hostPrefix := strings.ToLower(r.GetHost()) + " " + r.GetPathPrefix()
	if v.hostPrefixes[hostPrefix] {
		v.add(FieldPathPrefix, subject, "another route has host %q and path prefix %q", r.GetHost(), r.GetPathPrefix())
	}
	v.hostPrefixes[hostPrefix] = true
	if r.GetTimeoutMs() == 0 {
		v.add(FieldTimeout, subject, "the timeout must be above 0")
	}
	v.length(FieldName, subject, "name", r.GetName(), maxNameBytes)
	v.length(FieldHost, subject, "host", r.GetHost(), maxNameBytes)
	v.length(FieldPathPrefix, subject, "path prefix", r.GetPathPrefix(), maxPathBytes)
	v.regions(subject, r.GetAllowedRegions())
	v.targets(subject, r)
}

func (v *validator) targets(subject string, r *pb.PlanRoute) {
	total := uint64(0)
	for i, t := range r.GetTargets() {
		total += uint64(t.GetWeight())
		if !v.services[t.GetService()] {
			v.addElement(FieldTargets, i+1, subject, "service %q does not exist", t.GetService())
		}
	}
	if total == 0 {
		v.add(FieldTargets, subject, "the weights add up to 0")
	}
}

// organisation checks an organisation. Problems name no key, because keys are secret.
func (v *validator) organisation(i int, o *pb.Organisation) {
	subject := OrganisationSubject(i, o)
	switch {
	case o.GetName() == "":
		v.add(FieldName, subject, "an organisation has no name")
	case v.organisations[o.GetName()]:
		v.add(FieldName, subject, "is listed twice")
	case !isHeaderValue(o.GetName()):
		v.add(FieldName, subject, "the name must have at most %d bytes, no control characters and no blank at its ends", maxHeaderValueBytes)
	}
	v.organisations[o.GetName()] = true
	for n, key := range o.GetKeys() {
		owner, taken := v.keyOwners[key]
		switch {
		case !isHeaderValue(key):
			v.addElement(FieldKeys, n+1, subject, "key %d must have 1 to %d bytes, no control characters and no blank at its ends", n, maxHeaderValueBytes)
		case taken && owner == o.GetName():
			v.addElement(FieldKeys, n+1, subject, "key %d is listed twice", n)
		case taken:
			v.addElement(FieldKeys, n+1, subject, "key %d is also held by organisation %q", n, owner)
		}
		v.keyOwners[key] = o.GetName()
	}
	v.number(FieldRate, subject, "rate of the quota", o.GetRequestsPerSecond())
	v.number(FieldBurst, subject, "burst of the quota", o.GetBurst())
	v.regions(subject, o.GetAllowedRegions())
}

func (v *validator) number(field Field, subject, name string, value float64) {
	if !(value >= 0 && value <= maxQuota) {
		v.add(field, subject, "the %s must be a number from 0 to %d", name, int64(maxQuota))
	}
}

func (v *validator) regions(subject string, r *pb.Regions) {
	for i, name := range r.GetNames() {
		if name == "" || len(name) > maxNameBytes {
			v.addElement(FieldRegions, i+1, subject, "the name of an allowed region must have 1 to %d bytes", maxNameBytes)
		}
	}
}

// length checks a text that the operator chooses, if it has a limit.
func (v *validator) length(field Field, subject, name, text string, limit int) {
	if len(text) > limit {
		v.add(field, subject, "the %s has %d bytes, at most %d are allowed", name, len(text), limit)
	}
}

const (
	// maxNameBytes bounds the names of services, routes, hosts and regions. Records of upstreams have no longer ones, and
	// each request carries those of its service and route.
	maxNameBytes = 256
	// maxPathBytes bounds a path prefix and a health path; longer ones fit into no usual request line.
	maxPathBytes = 8 << 10
	// maxHeaderValueBytes bounds the names and keys of organisations, which are header values.
	maxHeaderValueBytes = 256
	// maxQuota bounds the rate and burst of a quota, far above what a site serves.
	maxQuota = 1e9
)

// isHeaderValue reports whether a text arrives unchanged as the value of a header.
func isHeaderValue(s string) bool {
	return s != "" && len(s) <= maxHeaderValueBytes && strings.TrimSpace(s) == s &&
		!strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f })
}
