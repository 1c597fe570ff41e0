package consensus

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rattanfield/rattanfield/core/plan"
	"github.com/rattanfield/rattanfield/core/state"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// addMeshSubjects adds the subjects of a query that describe the scheme of the users' platform. It returns an error if
// the stored plan cannot be decoded.
func (h *Host) addMeshSubjects(out *pb.QueryResponse, subjects []pb.Subject, st *ports.AppliedState) error {
	var current *pb.Plan
	if slices.Contains(subjects, pb.Subject_SUBJECT_ORGANISATIONS) || slices.Contains(subjects, pb.Subject_SUBJECT_PLAN_SUMMARY) {
		var err error
		if current, err = decodePlan(st.Plan); err != nil {
			return err
		}
	}
	for _, subject := range subjects {
		switch subject {
		case pb.Subject_SUBJECT_EVACUATIONS:
			out.Evacuations = evacuationStatuses(st, h.options.FailureDomains)
		case pb.Subject_SUBJECT_ORGANISATIONS:
			out.Organisations = organisationStatuses(current)
		case pb.Subject_SUBJECT_PLAN_SUMMARY:
			out.PlanSummary = planSummary(st.Plan, current)
		case pb.Subject_SUBJECT_ROLLOUTS:
			out.Rollouts = st.Rollouts
		}
	}
	return nil
}

// decodePlan returns the stored plan, or nil if there is none yet.
func decodePlan(stored *pb.StoredPlan) (*pb.Plan, error) {
	if stored == nil {
		return nil, nil
	}
	return plan.Decode(stored.GetPayload())
}

// evacuationStatuses returns the newest order about each failure domain, and the failure domains of the site without one.
func evacuationStatuses(st *ports.AppliedState, site []string) []*pb.EvacuationStatus {
	out := make([]*pb.EvacuationStatus, 0, len(st.Evacuations)+len(site))
	for _, e := range st.Evacuations {
		out = append(out, &pb.EvacuationStatus{Evacuation: e, SinceUnixMs: state.EvacuationSince(st.History, e)})
	}
	for _, domain := range site {
		if !slices.ContainsFunc(st.Evacuations, func(e *pb.Evacuation) bool { return e.GetFailureDomain() == domain }) {
			out = append(out, &pb.EvacuationStatus{Evacuation: &pb.Evacuation{FailureDomain: domain}})
		}
	}
	slices.SortFunc(out, func(a, b *pb.EvacuationStatus) int {
		return cmp.Compare(a.GetEvacuation().GetFailureDomain(), b.GetEvacuation().GetFailureDomain())
	})
	return out
}

// organisationStatuses describes the organisations of a plan. Keys are secret, so that only their hashes leave the host.
func organisationStatuses(p *pb.Plan) []*pb.OrganisationStatus {
	out := make([]*pb.OrganisationStatus, 0, len(p.GetOrganisations()))
	for _, o := range p.GetOrganisations() {
		s := &pb.OrganisationStatus{
			Name: o.GetName(), Keys: uint32(len(o.GetKeys())), Priority: o.Priority, RequestsPerSecond: o.RequestsPerSecond,
			Burst: o.Burst, AllowedRegions: o.GetAllowedRegions().GetNames(),
		}
		for _, key := range o.GetKeys() {
			s.KeyHashes = append(s.KeyHashes, plan.KeyHash(key))
		}
		out = append(out, s)
	}
	return out
}

// planSummary describes the stored plan, and returns nil if there is none yet.
func planSummary(stored *pb.StoredPlan, p *pb.Plan) *pb.PlanSummary {
	if stored == nil {
		return nil
	}
	return &pb.PlanSummary{
		Number: stored.GetNumber(), Serial: stored.GetSerial(), Routes: uint32(len(p.GetRoutes())),
		Services: uint32(len(p.GetServices())), Organisations: uint32(len(p.GetOrganisations())),
		Digest: fmt.Sprintf("%016x", stored.GetDigest()),
	}
}
