package plan

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// largePlan has the number of organisations and keys of the design target.
func largePlan() *pb.Plan {
	p := &pb.Plan{Number: 1, HasOrganisations: true}
	for i := range 10_000 {
		o := &pb.Organisation{Name: fmt.Sprintf("organisation-%d", i), RequestsPerSecond: proto.Float64(float64(i)), Burst: proto.Float64(10)}
		for k := range 3 {
			o.Keys = append(o.Keys, fmt.Sprintf("%032x", uint64(3*i+k)*0x9e3779b97f4a7c15))
		}
		p.Organisations = append(p.Organisations, o)
	}
	return p
}

// Guards against a plan of the design target that is rejected, that a node cannot read, or that takes a large part of the
// 128 MB of a node. The bounds are a quarter of that memory for the plan with its table, and an eighth of the 2.5 s in which
// a withdrawn key must be unknown for decoding and indexing it.
func TestPlanWithManyOrganisations(t *testing.T) {
	is := is.New(t)
	p := largePlan()
	is.Equal(len(Validate(p)), 0)
	payload, _, err := Encode(p)
	is.NoErr(err)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	decoded, err := Decode(payload)
	is.NoErr(err)
	table := NewTable(decoded, 1)
	took := time.Since(start)
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d bytes encoded, payload %d bytes, table in %v, %d KiB held", proto.Size(p), len(payload), took, held>>10)
	is.True(held < 32<<20)
	is.True(took < 2500*time.Millisecond/8)
	for _, o := range p.GetOrganisations() {
		for _, key := range o.GetKeys() {
			is.Equal(table.Organisation([]byte(key)).GetName(), o.GetName())
		}
	}
	is.Equal(table.Organisation(nil), nil)
	is.Equal(table.Organisation([]byte("unknown")), nil)
	is.Equal(NewTable(&pb.Plan{}, 1).Organisation(nil), nil)
}

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

// BenchmarkOrganisation measures the lookup of a key beside its baseline, a comparison with each key in turn.
func BenchmarkOrganisation(b *testing.B) {
	p := largePlan()
	table := NewTable(p, 1)
	for name, key := range map[string]string{"known": p.GetOrganisations()[7777].GetKeys()[2], "unknown": "unknown"} {
		b.Run("table/"+name, func(b *testing.B) {
			k := []byte(key)
			for b.Loop() {
				table.Organisation(k)
			}
		})
		b.Run("baseline/"+name, func(b *testing.B) {
			for b.Loop() {
				for _, o := range p.GetOrganisations() {
					for _, k := range o.GetKeys() {
						if k == key {
							break
						}
					}
				}
			}
		})
	}
}
