package plancheck

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against names that differ on purpose and are reported as misspelt.
func TestMisspelt(t *testing.T) {
	is := is.New(t)
	for names, want := range map[[2]string]bool{
		{"kimgston", "kingston"}: true, {"kingstn", "kingston"}: true, {"kinggston", "kingston"}: true, {"kingstons", "kingston"}: true,
		{"Kingston", "kingston"}: true, {"kingston", "kingston"}: false, {"kignston", "kingston"}: false, {"hai-phông", "hai-phong"}: true,
		{"north-a", "north-b"}: false, {"eu-west-1", "eu-west-2"}: false, {"eu-west-1a", "eu-west-1b"}: false, {"us", "eu"}: false,
		{"east", "west"}: false, {"kingston1", "kingston"}: false, {"", "a"}: false,
	} {
		is.Equal(misspelt(names[0], names[1]), want) // names
	}
}

// Guards against an organisation that is left out of the index, or is found for a region that it may not use.
func TestRegionIndex(t *testing.T) {
	region := rapid.Map(rapid.IntRange(0, 150), func(n int) string { return fmt.Sprint(min(n, 40)) })
	rapid.Check(t, func(t *rapid.T) {
		var organisations []*pb.Organisation
		for i, regions := range rapid.SliceOfN(rapid.SliceOfN(region, 0, 4), 0, 200).Draw(t, "organisations") {
			organisations = append(organisations, &pb.Organisation{Name: fmt.Sprint(i), Keys: []string{"k"}, AllowedRegions: &pb.Regions{Names: regions}})
		}
		asked := rapid.SliceOfN(region, 1, 3).Draw(t, "asked")
		var want []string
		for _, o := range organisations {
			names := o.GetAllowedRegions().GetNames()
			if len(names) > 0 && !slices.ContainsFunc(names, func(r string) bool { return slices.Contains(asked, r) }) {
				want = append(want, o.GetName())
			}
		}
		names, total := newRegionIndex(organisations).without(asked)
		if total != len(want) || !slices.Equal(names, want[:min(maxNames, len(want))]) {
			t.Fatalf("%v and %d, want %v", names, total, want)
		}
	})
}

// Guards against effects of quotas, keys and weights that are not true of the whole plan.
func TestEffects(t *testing.T) {
	number := func(f float64) *float64 { return &f }
	organisation := func(name string, rate float64, keys ...string) *pb.Organisation {
		return &pb.Organisation{Name: name, RequestsPerSecond: number(rate), Keys: keys}
	}
	organisations := func(list ...*pb.Organisation) *pb.Plan { return &pb.Plan{Organisations: list} }
	targets := func(weights ...uint32) *pb.Plan {
		r := &pb.PlanRoute{Name: "r"}
		for i, w := range weights {
			r.Targets = append(r.Targets, &pb.PlanTarget{Service: fmt.Sprint("s", i), Weight: w})
		}
		return &pb.Plan{Routes: []*pb.PlanRoute{r}}
	}
	use := map[string]float64{"a": 7}
	for name, c := range map[string]struct {
		old, new *pb.Plan
		want     []string // in the messages
	}{
		"above the use":      {organisations(organisation("a", 20)), organisations(organisation("a", 10)), []string{"20 per second -> 10 per second; the quota is smaller"}},
		"below the use":      {organisations(organisation("a", 20)), organisations(organisation("a", 5)), []string{"smaller to less than its present use of 7 requests per second"}},
		"no quota":           {organisations(organisation("a", 20)), organisations(organisation("a", 0)), []string{"loses its quota and is not limited"}},
		"first quota":        {organisations(organisation("a", 0)), organisations(organisation("a", 5)), []string{"the organisation is limited to less than its present use"}},
		"key of another":     {organisations(organisation("a", 0, "k", "l"), organisation("b", 0)), organisations(organisation("a", 0, "l"), organisation("b", 0, "k")), []string{"1 key goes to another organisation", "gets 1 key"}},
		"last organisation":  {organisations(organisation("a", 0, "k")), organisations(), []string{"requests need no key", "is removed; loses 1 key ("}},
		"first organisation": {targets(1), &pb.Plan{Routes: targets(1).Routes, Organisations: []*pb.Organisation{organisation("a", 0, "k")}}, []string{"without a key on routes that are not public get 401", "is added with 1 key"}},
		"same shares":        {targets(1, 1), targets(50, 50), nil},
		"other shares":       {targets(3, 1), targets(1, 1), []string{"s0 75%, s1 25% -> s0 50%, s1 50%; 25% of its weight"}},
		"rarest share":       {targets(1<<32-1, 0), targets(1<<32-1, 1), []string{"less than 0.01% of its weight"}},
	} {
		t.Run(name, func(t *testing.T) {
			c.old.Number, c.new.Number, c.new.BaseNumber = 1, 2, 1
			found := NewCollector(9)
			Changes(found, c.old, c.new, Options{}, use)
			is := is.New(t)
			is.Equal(len(found.Findings()), len(c.want)) // findings
			for i, f := range found.Findings() {
				is.True(strings.Contains(f.Message, c.want[i])) // message
			}
		})
	}
}

// Guards against a report that grows with the number of findings, and against findings of one kind that hide others.
func TestCollectorIsBounded(t *testing.T) {
	is := is.New(t)
	c := NewCollector(2)
	for i := range 5 {
		c.Add(Finding{Severity: Warning, Kind: "many", Message: fmt.Sprint(i)})
	}
	c.Add(Finding{Severity: Change, Kind: "many", Message: "other"})
	var got []string
	for _, f := range c.Findings() {
		got = append(got, f.Message)
	}
	is.Equal(got, []string{"0", "1", "other", "and 3 more of this kind"})
	is.Equal([]int{c.Count(Error), c.Count(Warning), c.Count(Change)}, []int{0, 5, 1})
}
