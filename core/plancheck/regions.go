package plancheck

import (
	"math/bits"
	"slices"
	"unicode"

	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// commonRegions reports routes and organisations whose regions have none in common: a request of the organisation on the
// route gets no upstream. Public routes are open to requests without an organisation.
func (c *checker) commonRegions() {
	index := newRegionIndex(c.plan.GetOrganisations())
	if len(index.organisations) == 0 {
		return
	}
	for i, r := range c.plan.GetRoutes() {
		regions := r.GetAllowedRegions().GetNames()
		if r.GetPublic() || len(regions) == 0 {
			continue
		}
		names, total := index.without(regions)
		if total == 0 {
			continue
		}
		at := plan.Location{Section: plan.SectionRoute, Index: i, Field: plan.FieldRegions}
		c.warn(kindRegions, plan.RouteSubject(i, r), at, "", "has no allowed region in common with organisation %s, whose requests on this route get 503", list(names, total))
	}
}

// regionIndex finds the organisations that may use a region, among those with keys and allowed regions. A region with many
// organisations has a set of bits and another one a list, so that the index has about the size of the plan and a look-up
// takes a step for each word of the bits.
type regionIndex struct {
	organisations []*pb.Organisation
	lists         map[string][]uint32 // positions in organisations
	sets          map[string][]uint64
	found         []uint64 // of one look-up
}

const wordBits = 64

func newRegionIndex(organisations []*pb.Organisation) *regionIndex {
	x := &regionIndex{lists: make(map[string][]uint32), sets: make(map[string][]uint64)}
	for _, o := range organisations {
		if len(o.GetKeys()) == 0 || len(o.GetAllowedRegions().GetNames()) == 0 {
			continue
		}
		for _, region := range o.GetAllowedRegions().GetNames() {
			x.lists[region] = append(x.lists[region], uint32(len(x.organisations)))
		}
		x.organisations = append(x.organisations, o)
	}
	x.found = make([]uint64, (len(x.organisations)+wordBits-1)/wordBits)
	for region, members := range x.lists {
		if len(members) <= len(x.found) {
			continue
		}
		set := make([]uint64, len(x.found))
		for _, m := range members {
			set[m/wordBits] |= 1 << (m % wordBits)
		}
		x.sets[region] = set
		delete(x.lists, region)
	}
	return x
}

// without returns the number of organisations that may use none of the regions, and the names of the first ones.
func (x *regionIndex) without(regions []string) (names []string, total int) {
	clear(x.found)
	for _, region := range regions {
		for _, m := range x.lists[region] {
			x.found[m/wordBits] |= 1 << (m % wordBits)
		}
		for i, word := range x.sets[region] {
			x.found[i] |= word
		}
	}
	total = len(x.organisations)
	for _, word := range x.found {
		total -= bits.OnesCount64(word)
	}
	for i := 0; i < len(x.organisations) && len(names) < min(maxNames, total); i++ {
		if x.found[i/wordBits]&(1<<(i%wordBits)) == 0 {
			names = append(names, x.organisations[i].GetName())
		}
	}
	return names, total
}

// regionUse counts the lists that name a region and keeps the place of the last one.
type regionUse struct {
	lists   int
	subject string
	at      plan.Location
}

// maxComparisons bounds the pairs of regions that are compared. Plans with more differ too much from real ones for a guess.
const maxComparisons = 4 << 20

// misspeltRegions reports a region that is named once and differs in one letter from one that is named several times.
func (c *checker) misspeltRegions() {
	uses := make(map[string]*regionUse)
	for i, r := range c.plan.GetRoutes() {
		countRegions(uses, r.GetAllowedRegions(), plan.RouteSubject(i, r), plan.Location{Section: plan.SectionRoute, Index: i, Field: plan.FieldRegions})
	}
	for i, o := range c.plan.GetOrganisations() {
		countRegions(uses, o.GetAllowedRegions(), plan.OrganisationSubject(i, o), plan.Location{Section: plan.SectionOrganisation, Index: i, Field: plan.FieldRegions})
	}
	var once, often []string
	for region, u := range uses {
		if u.lists == 1 {
			once = append(once, region)
		} else {
			often = append(often, region)
		}
	}
	if len(once)*len(often) > maxComparisons {
		return
	}
	slices.Sort(once)
	slices.Sort(often)
	for _, region := range once {
		i := slices.IndexFunc(often, func(other string) bool { return misspelt(region, other) })
		if i >= 0 {
			u := uses[region]
			c.warn(kindMisspelt, u.subject, u.at, shorten(often[i]), "the region %q is named nowhere else and differs in one letter from %q", shorten(region), shorten(often[i]))
		}
	}
}

func countRegions(uses map[string]*regionUse, regions *pb.Regions, subject string, at plan.Location) {
	for i, region := range regions.GetNames() {
		u := uses[region]
		switch {
		case u == nil:
			u = &regionUse{}
			uses[region] = u
		case u.at.Section == at.Section && u.at.Index == at.Index:
			continue // twice in one list
		}
		at.Element = i + 1
		u.lists++
		u.subject, u.at = subject, at
	}
}

// leastWord is the number of letters from which on a part of a name is taken for a word. Shorter parts are often numbers
// or letters that tell names apart, as in north-a and north-b.
const leastWord = 4

// misspelt reports whether a name differs from another by one letter of a word that is replaced, added or left out.
func misspelt(name, other string) bool {
	if name == other || len(name) > len(other)+4 || len(other) > len(name)+4 { // a letter has up to 4 bytes
		return false
	}
	a, b := []rune(name), []rune(other)
	begin := 0
	for begin < min(len(a), len(b)) && a[begin] == b[begin] {
		begin++
	}
	end := 0
	for end < min(len(a), len(b))-begin && a[len(a)-1-end] == b[len(b)-1-end] {
		end++
	}
	restA, restB := a[begin:len(a)-end], b[begin:len(b)-end]
	if len(restA) > 1 || len(restB) > 1 || slices.ContainsFunc(append(slices.Clone(restA), restB...), func(r rune) bool { return !unicode.IsLetter(r) }) {
		return false
	}
	return wordAt(b, begin) >= leastWord
}

// wordAt returns the number of letters in a row around a position.
func wordAt(text []rune, at int) int {
	first, last := at, at
	for first > 0 && unicode.IsLetter(text[first-1]) {
		first--
	}
	for last < len(text) && unicode.IsLetter(text[last]) {
		last++
	}
	return last - first
}
