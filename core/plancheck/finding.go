package plancheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Severity tells how a finding affects the plan.
type Severity string

// Severities, most severe first.
const (
	Error   Severity = "error"   // the plan is rejected
	Warning Severity = "warning" // the plan is accepted, but a part of it has no effect or contradicts another
	Change  Severity = "change"  // a difference from the plan in force
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	Kind     string // findings of one kind are kept up to a number
	At       plan.Location
	InForce  bool // At is a place in the plan in force
	Subject  string
	Message  string
	Expected string // the value that was expected; "": none
}

// Options are the properties of the product and of a host that the warnings compare a plan with.
type Options struct {
	// Values of limits that the plan does not state. A body limit above MaxBodyBytes is lowered to it.
	MaxHeaderBytes, HeaderTimeoutMs, IdleTimeoutMs uint32
	MaxBodyBytes                                   uint64
	// BodyTimeoutMs is the time within which a body must have arrived.
	BodyTimeoutMs uint32
	// HeaderLinesBytes is the size of the header lines for a key and a name without their values.
	HeaderLinesBytes int
	// LargestBody is the largest body that the memory of the host holds; 0: not known.
	LargestBody uint64
	// StatesAttempts reports whether the operator stated the attempts of a route; nil: always.
	StatesAttempts func(*pb.PlanRoute) bool
}

// Collector collects findings and keeps the first ones of each severity and kind, so that a large plan does not need memory
// for each of its findings.
type Collector struct {
	most   int
	kept   []Finding
	groups map[group]*groupState
	order  []group
	counts map[Severity]int
}

type group struct {
	severity Severity
	kind     string
}

type groupState struct {
	count int
	first Finding // that is not kept
}

// NewCollector returns a Collector that keeps up to a number of findings of each severity and kind.
func NewCollector(most int) *Collector {
	return &Collector{most: most, groups: make(map[group]*groupState), counts: make(map[Severity]int)}
}

// Add adds a finding.
func (c *Collector) Add(f Finding) {
	id := group{f.Severity, f.Kind}
	g := c.groups[id]
	if g == nil {
		g = &groupState{}
		c.groups[id] = g
		c.order = append(c.order, id)
	}
	g.count++
	c.counts[f.Severity]++
	switch {
	case g.count <= c.most:
		c.kept = append(c.kept, f)
	case g.count == c.most+1:
		g.first = f
	}
}

// Count returns the number of findings of a severity, with those that are not kept.
func (c *Collector) Count(s Severity) int { return c.counts[s] }

// Findings returns the findings that were kept, and one for each kind that counts its others, in the place of the first of them.
func (c *Collector) Findings() []Finding {
	out := slices.Clone(c.kept)
	for _, id := range c.order {
		g := c.groups[id]
		if more := g.count - c.most; more > 0 {
			out = append(out, Finding{Severity: id.severity, Kind: id.kind, At: g.first.At, InForce: g.first.InForce, Subject: id.kind, Message: fmt.Sprintf("and %d more of this kind", more)})
		}
	}
	return out
}

// maxNames bounds the names that one message lists.
const maxNames = 3

// list returns up to maxNames texts, separated by commas, and the number of the others.
func list(names []string, total int) string {
	out := ""
	for i, name := range names[:min(maxNames, len(names))] {
		if i > 0 {
			out += ", "
		}
		out += fmt.Sprintf("%q", shorten(name))
	}
	if more := total - min(maxNames, len(names)); more > 0 {
		out += fmt.Sprintf(" and %d more", more)
	}
	return out
}

// maxTextBytes bounds a text of the plan in a message, because many messages may quote the same one.
const maxTextBytes = 64

func shorten(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}
