package consensus

import (
	"fmt"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against keys in the response to a query, and against a query that fails before the first plan.
func TestQueryOfPlanHasNoKeys(t *testing.T) {
	is := is.New(t)
	h := newCluster(t, "kingston").startAll().leader().Host
	query := func() (*connect.Response[pb.QueryResponse], error) {
		return operatorService{h}.Query(t.Context(), connect.NewRequest(&pb.QueryRequest{Subjects: []pb.Subject{
			pb.Subject_SUBJECT_ORGANISATIONS, pb.Subject_SUBJECT_PLAN_SUMMARY, pb.Subject_SUBJECT_ROLLOUTS, pb.Subject_SUBJECT_EVACUATIONS,
		}}))
	}
	r, err := query()
	is.NoErr(err)
	is.True(r.Msg.GetPlanSummary() == nil && len(r.Msg.GetOrganisations()) == 0)
	key, rate := "key-of-the-organisation", 10.0
	payload, digest, err := plan.Encode(&pb.Plan{Number: 4, Services: []*pb.PlanService{{Name: "s"}}, Organisations: []*pb.Organisation{
		{Name: "o", Keys: []string{key, "second"}, RequestsPerSecond: &rate, AllowedRegions: &pb.Regions{Names: []string{"r"}}},
	}})
	is.NoErr(err)
	is.Equal(h.Submit(t.Context(), &pb.Command{CommandId: "p", Command: &pb.Command_ReplacePlan{
		ReplacePlan: &pb.ReplacePlan{Number: 4, Payload: payload, Digest: digest},
	}}).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
	r, err = query()
	is.NoErr(err)
	o := r.Msg.GetOrganisations()[0]
	is.Equal(o.GetKeyHashes(), []string{plan.KeyHash(key), plan.KeyHash("second")})
	is.Equal(o.GetRequestsPerSecond(), rate)
	is.Equal(r.Msg.GetPlanSummary().GetDigest(), fmt.Sprintf("%016x", digest))
	is.True(!strings.Contains(r.Msg.String(), key))
}
