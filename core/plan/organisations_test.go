package plan

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against an invalid form that is accepted, a report that names only the first problem or not always in the same
// order, and a report with the bytes of a key.
func TestValidateOrganisations(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", maxNameBytes+1)
	p := &pb.Plan{
		Number: 1, Services: []*pb.PlanService{{Name: "s"}, {Name: long, ColdRequestsPerSecond: math.Inf(1)}},
		Routes: []*pb.PlanRoute{{
			Name: "r", Host: long, PathPrefix: "/", TimeoutMs: 1, Targets: []*pb.PlanTarget{{Service: "s", Weight: 1}}, AllowedRegions: &pb.Regions{Names: []string{""}},
		}},
		Organisations: []*pb.Organisation{
			{Name: "a", Keys: []string{"secret-1", "secret-2", "secret-1"}},
			{Name: "", Keys: []string{"secret-2"}},
			{Name: "a", Keys: []string{""}},
			{Name: "b", RequestsPerSecond: proto.Float64(-1), Burst: proto.Float64(math.NaN())},
			{Name: long, Keys: []string{"secret-" + long, " secret-blank", "secret\nline"}, AllowedRegions: &pb.Regions{Names: []string{"r", long}}},
		},
	}
	var got []string
	for _, problem := range Validate(p) {
		got = append(got, strings.ReplaceAll(problem.GetSubject()+": "+problem.GetMessage(), long, "LONG"))
	}
	const key, length = "must have 1 to 256 bytes, no control characters and no blank at its ends", "has 257 bytes, at most 256 are allowed"
	is.Equal(got, []string{
		"service/LONG: the name " + length,
		"service/LONG: the rate of the slow start must be a number from 0 to 1000000000",
		"route/r: the host " + length,
		"route/r: the name of an allowed region must have 1 to 256 bytes",
		"organisation/a: key 2 is listed twice",
		"organisation[1]: an organisation has no name",
		`organisation[1]: key 0 is also held by organisation "a"`,
		"organisation/a: is listed twice",
		"organisation/a: key 0 " + key,
		"organisation/b: the rate of the quota must be a number from 0 to 1000000000",
		"organisation/b: the burst of the quota must be a number from 0 to 1000000000",
		"organisation/LONG: the name must have at most 256 bytes, no control characters and no blank at its ends",
		"organisation/LONG: key 0 " + key,
		"organisation/LONG: key 1 " + key,
		"organisation/LONG: key 2 " + key,
		"organisation/LONG: the name of an allowed region must have 1 to 256 bytes",
	})
}

// Guards against hashes that differ between hosts or contain the key: operators compute them to find a key in outputs.
func TestKeyHash(t *testing.T) {
	is := is.New(t)
	is.Equal(KeyHash("abc"), "ba7816bf") // first digits of `printf abc | sha256sum`
}
