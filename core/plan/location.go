package plan

import (
	"fmt"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Section is a part of a plan.
type Section string

// Sections of a plan. The zero value stands for the plan itself.
const (
	SectionLimits       Section = "limits"
	SectionService      Section = "service"
	SectionRoute        Section = "route"
	SectionOrganisation Section = "organisation"
)

// Field names a field of a section.
type Field string

// Fields. The zero value stands for the whole section.
const (
	FieldNumber         Field = "number"
	FieldBaseNumber     Field = "base number"
	FieldName           Field = "name"
	FieldHealthPath     Field = "health path"
	FieldMaxConnections Field = "connections"
	FieldProtocol       Field = "protocol"
	FieldTLS            Field = "TLS"
	FieldColdStart      Field = "slow start"
	FieldColdRate       Field = "rate of the slow start"
	FieldHost           Field = "host"
	FieldPathPrefix     Field = "path prefix"
	FieldKind           Field = "kind"
	FieldTimeout        Field = "timeout"
	FieldGoal           Field = "goal"
	FieldPriority       Field = "priority"
	FieldMaxAttempts    Field = "attempts"
	FieldPublic         Field = "public"
	FieldRegions        Field = "allowed regions"
	FieldTargets        Field = "targets"
	FieldWeight         Field = "weight"         // of a target
	FieldUnusedService  Field = "unused service" // stated beside a split
	FieldKeys           Field = "keys"
	FieldRate           Field = "rate of the quota"
	FieldBurst          Field = "burst of the quota"
	FieldMaxHeader      Field = "header limit"
	FieldMaxBody        Field = "body limit"
	FieldHeaderTimeout  Field = "header timeout"
	FieldIdleTimeout    Field = "idle timeout"
)

// Location is a place in a plan.
type Location struct {
	Section Section
	Index   int // of the service, route or organisation, in the order of the plan
	Field   Field
	Element int // from 1, of a field that is a list: of targets, keys or regions; 0: the whole field
}

// LocatedProblem is a problem of a plan with its place.
type LocatedProblem struct {
	*pb.Problem
	At Location
}

// RouteSubject returns how reports name route i of a plan.
func RouteSubject(i int, r *pb.PlanRoute) string {
	if r.GetName() == "" {
		return fmt.Sprintf("route[%d]", i)
	}
	return "route/" + r.GetName()
}

// OrganisationSubject returns how reports name organisation i of a plan.
func OrganisationSubject(i int, o *pb.Organisation) string {
	if o.GetName() == "" {
		return fmt.Sprintf("organisation[%d]", i)
	}
	return "organisation/" + o.GetName()
}
