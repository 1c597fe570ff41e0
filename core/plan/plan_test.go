package plan

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

func valid() *pb.Plan {
	return &pb.Plan{
		Number:   3,
		Services: []*pb.PlanService{{Name: "a"}, {Name: "b"}},
		Routes: []*pb.PlanRoute{
			{Name: "r1", Host: "x.example", PathPrefix: "/p/", TimeoutMs: 100, Targets: []*pb.PlanTarget{{Service: "a", Weight: 1}}},
			{Name: "r2", Host: "x.example", PathPrefix: "/p/q/", TimeoutMs: 100, Targets: []*pb.PlanTarget{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}},
		},
	}
}

// Guards against accepting an invalid plan, with one case for each kind of problem.
func TestValidateNamesEachProblem(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Validate(valid())), 0)
	for want, damage := range map[string]func(*pb.Plan){
		"does not exist":           func(p *pb.Plan) { p.Routes[0].Targets[0].Service = "x" },
		"another route has host":   func(p *pb.Plan) { p.Routes[1].PathPrefix = "/p/" },
		"add up to 0":              func(p *pb.Plan) { p.Routes[0].Targets[0].Weight = 0 },
		"does not begin with":      func(p *pb.Plan) { p.Routes[0].PathPrefix = "p/" },
		"host is empty":            func(p *pb.Plan) { p.Routes[0].Host = "" },
		"must be above 0":          func(p *pb.Plan) { p.Number = 0 },
		"timeout must be above 0":  func(p *pb.Plan) { p.Routes[0].TimeoutMs = 0 },
		"listed twice":             func(p *pb.Plan) { p.Services[1].Name = "b"; p.Services[0].Name = "b"; p.Routes = nil },
		"a service has no name":    func(p *pb.Plan) { p.Services[0].Name = ""; p.Routes = nil },
		"the weights add up to 0 ": func(p *pb.Plan) { p.Routes[0].Targets = nil },
	} {
		p := valid()
		damage(p)
		problems := Validate(p)
		is.Equal(len(problems), 1)
		is.True(strings.Contains(problems[0].GetMessage()+" ", want)) // the message states the problem
	}
}

// Guards against matching a request to a shorter prefix, to another host, or to a
// route whose prefix matches only because of the query string.
func TestMatchTakesLongestPrefixOfHost(t *testing.T) {
	is := is.New(t)
	table := NewTable(valid(), 1)
	is.Equal(table.Match("x.example", "/p/1").GetName(), "r1")
	is.Equal(table.Match("x.example", "/p/q/1").GetName(), "r2")
	is.Equal(table.Match("X.example:80", "/p/q/1?z=/").GetName(), "r2")
	is.Equal(table.Match("y.example", "/p/1"), nil)
	is.Equal(table.Match("x.example", "/?/p/"), nil)
}

// Guards against shares that deviate from the weights, also over a few requests.
func TestSplitKeepsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Uint32Range(0, 100), 2, 4).Draw(t, "weights")
		r := &pb.PlanRoute{Host: "h", PathPrefix: "/"}
		total := uint32(0)
		for i, w := range weights {
			r.Targets = append(r.Targets, &pb.PlanTarget{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		if total == 0 {
			return
		}
		s := NewSplitter()
		counts := make(map[string]int)
		n := rapid.IntRange(1, 400).Draw(t, "requests")
		u := rapid.Float64Range(0, 0.999).Draw(t, "start")
		for range n {
			counts[s.Pick(r, u)]++
		}
		for _, target := range r.Targets {
			want := float64(n) * float64(target.GetWeight()) / float64(total)
			if got := float64(counts[target.GetService()]); got < want-3 || got > want+3 {
				t.Fatalf("%s got %v of %d requests, want about %v", target.GetService(), got, n, want)
			}
		}
	})
}

// Guards against an encoding that changes the plan, a digest that does not depend
// on the content alone, and damaged payloads that decode without an error.
func TestEncodeDecode(t *testing.T) {
	is := is.New(t)
	payload, digest, err := Encode(valid())
	is.NoErr(err)
	got, err := Decode(payload)
	is.NoErr(err)
	is.True(proto.Equal(got, valid()))
	_, again, err := Encode(got)
	is.NoErr(err)
	is.Equal(again, digest)
	other := valid()
	other.Routes[0].TimeoutMs++
	_, differs, err := Encode(other)
	is.NoErr(err)
	is.True(differs != digest)
	_, err = Decode(nil)
	is.True(err != nil)
	_, err = Decode(payload[:len(payload)/2])
	is.True(err != nil)
}
