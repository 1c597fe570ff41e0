package state

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

func (m *Machine) submitConfiguration(c *pb.Command, s *pb.SubmitConfiguration) *pb.CommandResult {
	if r := m.checkExpected(c.GetExpectedRevision()); r != nil {
		return r
	}
	next, problems := m.computeConfiguration(s, c.GetSubmittedUnixMs())
	if len(problems) > 0 {
		return invalid(problems...)
	}
	m.configuration = next
	m.configurationRevision = next.GetRevision()
	m.record(c, true, summary(s.GetChanges()), "")
	return m.accepted()
}

// ValidateChanges returns the problems for which a configuration change would
// be rejected in the current state, so that an invalid change is not proposed.
func (m *Machine) ValidateChanges(s *pb.SubmitConfiguration, submittedUnixMs int64) []*pb.Problem {
	_, problems := m.computeConfiguration(s, submittedUnixMs)
	return problems
}

// computeConfiguration returns the configuration that the changes would produce,
// and the problems of the changes and of that configuration.
func (m *Machine) computeConfiguration(s *pb.SubmitConfiguration, submittedUnixMs int64) (*pb.Configuration, []*pb.Problem) {
	if len(s.GetChanges()) == 0 {
		return nil, []*pb.Problem{problem("changes", "there is no change")}
	}
	problems := m.checkChanges(s.GetChanges())
	changes, ledgerProblems := m.withLedgerGroups(s.GetChanges(), submittedUnixMs)
	problems = append(problems, ledgerProblems...)
	next := config.Apply(m.configuration, changes, m.Revision()+1)
	return next, append(problems, config.Validate(next)...)
}

func (m *Machine) checkChanges(changes []*pb.Change) []*pb.Problem {
	var problems []*pb.Problem
	for i, ch := range changes {
		switch x := ch.GetChange().(type) {
		case *pb.Change_PutService:
			if mv := m.runningMove(x.PutService.GetName()); mv != nil && x.PutService.GetActiveVersion() != mv.GetOldVersion() {
				problems = append(problems, problem("service/"+x.PutService.GetName(),
					"active_version cannot change while move %s runs", mv.GetMoveId()))
			}
		case *pb.Change_DeleteService:
			problems = append(problems, m.checkDelete(x.DeleteService)...)
		case *pb.Change_PutRoute:
		case *pb.Change_DeleteRoute:
			if !slices.ContainsFunc(m.configuration.GetRoutes(), func(r *pb.Route) bool { return r.GetName() == x.DeleteRoute }) {
				problems = append(problems, problem("route/"+x.DeleteRoute, "does not exist"))
			}
		default:
			problems = append(problems, problem(fmt.Sprintf("changes[%d]", i), "the change has no content"))
		}
	}
	return problems
}

// checkDelete rejects the deletion of a service that does not exist or has a
// running move. Routes and services that still refer to the service are
// reported by config.Validate as dangling references.
func (m *Machine) checkDelete(service string) []*pb.Problem {
	if m.service(service) == nil {
		return []*pb.Problem{problem("service/"+service, "does not exist")}
	}
	if mv := m.runningMove(service); mv != nil {
		return []*pb.Problem{problem("service/"+service, "move %s runs", mv.GetMoveId())}
	}
	return nil
}

func (m *Machine) service(name string) *pb.Service {
	for _, s := range m.configuration.GetServices() {
		if s.GetName() == name {
			return s
		}
	}
	return nil
}

// maxSummaryNames bounds the number of changes that a summary in the history lists.
const maxSummaryNames = 8

func summary(changes []*pb.Change) string {
	names := make([]string, 0, maxSummaryNames+1)
	for i, ch := range changes {
		if i == maxSummaryNames {
			names = append(names, fmt.Sprintf("%d more", len(changes)-i))
			break
		}
		switch x := ch.GetChange().(type) {
		case *pb.Change_PutService:
			names = append(names, "put service "+x.PutService.GetName())
		case *pb.Change_DeleteService:
			names = append(names, "delete service "+x.DeleteService)
		case *pb.Change_PutRoute:
			names = append(names, "put route "+x.PutRoute.GetName())
		case *pb.Change_DeleteRoute:
			names = append(names, "delete route "+x.DeleteRoute)
		}
	}
	return strings.Join(names, ", ")
}
