package plancheck

import (
	"fmt"

	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

func (c *comparison) organisations() {
	before := make(map[string]*pb.Organisation)
	for _, o := range c.old.GetOrganisations() {
		before[o.GetName()] = o
	}
	owners := make(map[string]bool) // keys of the new plan
	for _, o := range c.new.GetOrganisations() {
		for _, key := range o.GetKeys() {
			owners[key] = true
		}
	}
	c.keysNeeded()
	kept := make(map[string]bool)
	for i, o := range c.new.GetOrganisations() {
		e := entry{plan.OrganisationSubject(i, o), plan.Location{Section: plan.SectionOrganisation, Index: i}}
		old := before[o.GetName()]
		switch {
		case kept[o.GetName()]: // listed twice, which is an error
		case old == nil:
			c.add(kindOf(plan.SectionOrganisation, "added"), e, fmt.Sprintf("is added with %s", keys(len(o.GetKeys()))))
		default:
			c.organisation(e, old, o, owners)
		}
		kept[o.GetName()] = true
	}
	for i, o := range c.old.GetOrganisations() {
		if !kept[o.GetName()] {
			e := entry{plan.OrganisationSubject(i, o), plan.Location{Section: plan.SectionOrganisation, Index: i}}
			c.removed(e, c.lostKeys(o.GetKeys(), owners))
		}
	}
}

// keysNeeded reports the first organisations of a plan and the end of the last ones, because callers need keys from the
// first organisation on.
func (c *comparison) keysNeeded() {
	before, after := len(c.old.GetOrganisations()), len(c.new.GetOrganisations())
	e := entry{subject: "organisations"}
	switch {
	case before == 0 && after > 0 && len(c.old.GetRoutes()) > 0:
		e.at = plan.Location{Section: plan.SectionOrganisation}
		c.add("organisations", e, "the plan in force has none; requests without a key on routes that are not public get 401")
	case before > 0 && after == 0:
		c.add("organisations", e, "the plan has none any more; requests need no key")
	}
}

func (c *comparison) organisation(e entry, a, b *pb.Organisation, owners map[string]bool) {
	c.keys(e, a, b, owners)
	compare(c, e, plan.FieldPriority, priority(a), priority(b), text[string])
	c.quota(e, plan.FieldRate, a.GetRequestsPerSecond(), b.GetRequestsPerSecond(), b.GetName())
	if burstA, burstB := a.GetBurst(), b.GetBurst(); burstA != burstB {
		effect := ""
		if burstB < burstA && b.GetRequestsPerSecond() > 0 {
			effect = "the quota admits fewer requests at once"
		}
		c.changed(e, plan.FieldBurst, number(burstA), number(burstB), effect)
	}
	c.regions(e, a.GetAllowedRegions(), b.GetAllowedRegions())
}

func priority(o *pb.Organisation) string {
	if o.Priority == nil {
		return "that of the route"
	}
	return text(o.GetPriority())
}

// quota adds the difference of two rates; 0 stands for no quota.
func (c *comparison) quota(e entry, field plan.Field, before, after float64, organisation string) {
	if before == after {
		return
	}
	effect := ""
	switch {
	case after == 0:
		effect = "the organisation loses its quota and is not limited"
	case before == 0 || after < before:
		effect = "the quota is smaller"
		if before == 0 {
			effect = "the organisation is limited"
		}
		if use, known := c.use[organisation]; known && use > after {
			effect += fmt.Sprintf(" to less than its present use of %s requests per second", number(use))
		}
	}
	c.changed(e, field, rate(before), rate(after), effect)
}

func rate(perSecond float64) string {
	if perSecond == 0 {
		return "none"
	}
	return number(perSecond) + " per second"
}

// keys adds the keys that an organisation loses and gets, as hashes.
func (c *comparison) keys(e entry, a, b *pb.Organisation, owners map[string]bool) {
	lost, won := without(a.GetKeys(), b.GetKeys()), without(b.GetKeys(), a.GetKeys())
	if len(lost)+len(won) == 0 {
		return
	}
	added := ""
	if len(won) > 0 {
		added = "gets " + hashes(won)
	}
	c.changed(e, plan.FieldKeys, keys(len(a.GetKeys())), keys(len(b.GetKeys())), joinEffects(c.lostKeys(lost, owners), added))
}

// lostKeys returns the effect of keys that an organisation does not hold any more.
func (c *comparison) lostKeys(lost []string, owners map[string]bool) string {
	var unknown []string
	for _, key := range lost {
		if !owners[key] {
			unknown = append(unknown, key)
		}
	}
	effect, moved := "", ""
	switch {
	case len(unknown) > 0 && len(c.new.GetOrganisations()) > 0:
		effect = fmt.Sprintf("loses %s; requests with %s get 401", hashes(unknown), pronoun(len(unknown)))
	case len(unknown) > 0:
		effect = "loses " + hashes(unknown)
	}
	if n := len(lost) - len(unknown); n > 0 {
		moved = fmt.Sprintf("%s to another organisation", plural(n, "key goes", "keys go"))
	}
	return joinEffects(effect, moved)
}

func pronoun(n int) string {
	if n == 1 {
		return "it"
	}
	return "them"
}

func plural(n int, one, several string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", n, several)
}

func keys(n int) string { return plural(n, "key", "keys") }

// hashes returns the number of keys and the short hashes of the first ones.
func hashes(list []string) string {
	out := keys(len(list)) + " ("
	for i, key := range list[:min(maxNames, len(list))] {
		if i > 0 {
			out += ", "
		}
		out += plan.KeyHash(key)
	}
	if len(list) > maxNames {
		out += ", ..."
	}
	return out + ")"
}
