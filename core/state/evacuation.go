package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// maxEvacuations bounds the failure domains with an order. A site has a few.
const maxEvacuations = 256

// changeEvacuation starts or withdraws the evacuation of a failure domain. An order that changes nothing is accepted: it
// was sent again, or confirms what is in force. It gets a serial too, so that an older order that arrives late does not undo
// it. An order that was received before the newest one about the domain was known is rejected, because it would undo that one.
func (m *Machine) changeEvacuation(c *pb.Command, e *pb.ChangeEvacuation) *pb.CommandResult {
	domain := e.GetFailureDomain()
	if domain == "" {
		return invalid(problem("evacuation", "the failure domain must be set"))
	}
	p := &m.plans
	current := p.evacuations[domain]
	full := current == nil && len(p.evacuations) >= maxEvacuations
	if current.GetActive() == e.GetActive() {
		if !full {
			p.setEvacuation(domain, e.GetActive())
		}
		return m.acceptedEvacuation(domain, unchangedMessage(domain, e.GetActive()))
	}
	if e.GetActive() && p.leavesNone(domain, e.GetFailureDomains()) {
		return invalid(problem("evacuation", "%s is the last failure domain that is not evacuated", domain))
	}
	if e.BaseSerial != nil && e.GetBaseSerial() != current.GetSerial() {
		return &pb.CommandResult{
			Outcome: pb.Outcome_OUTCOME_CONFLICT, Revision: m.Revision(),
			Message: fmt.Sprintf("based on order %d about %s, the newest one is %d", e.GetBaseSerial(), domain, current.GetSerial()),
		}
	}
	if full {
		return invalid(problem("evacuation", "orders about %d failure domains are stored", maxEvacuations))
	}
	p.setEvacuation(domain, e.GetActive())
	p.changes++
	m.record(c, false, evacuationSummary(domain, e.GetActive()), "")
	return m.acceptedEvacuation(domain, "")
}

func (m *Machine) acceptedEvacuation(domain, message string) *pb.CommandResult {
	r := m.accepted()
	r.EvacuationSerial, r.Message = m.plans.evacuations[domain].GetSerial(), message
	return r
}

// unchangedMessage tells the operator that an order changed nothing.
func unchangedMessage(domain string, active bool) string {
	if active {
		return domain + " is already evacuated"
	}
	return domain + " is not evacuated; nothing was changed"
}

// evacuationSummary returns the text of the history for an order that took effect.
func evacuationSummary(domain string, active bool) string {
	if active {
		return "start evacuation of " + domain
	}
	return "withdraw evacuation of " + domain
}

// EvacuationSince returns the time, in Unix milliseconds, since which a failure domain has been in the state that its newest
// order states. It is 0 if the history does not contain the decision, which may have been dropped or, if the domain
// was never evacuated, does not exist.
func EvacuationSince(history []*pb.Decision, e *pb.Evacuation) int64 {
	summary := evacuationSummary(e.GetFailureDomain(), e.GetActive())
	for _, d := range slices.Backward(history) {
		if d.GetSummary() == summary {
			return d.GetAtUnixMs()
		}
	}
	return 0
}

// setEvacuation records the newest order about a failure domain.
func (p *plans) setEvacuation(domain string, active bool) {
	p.evacuationSerial++
	p.evacuations[domain] = &pb.Evacuation{FailureDomain: domain, Active: active, Serial: p.evacuationSerial}
}

// leavesNone reports whether the evacuation of a failure domain would leave none of the failure domains of the site. It is
// false if the site is not known. The check is part of the replicated state, because two hosts may receive orders about
// different failure domains at the same time.
func (p *plans) leavesNone(domain string, site []string) bool {
	return len(site) > 0 && !slices.ContainsFunc(site, func(d string) bool { return d != domain && !p.evacuations[d].GetActive() })
}

func (p *plans) sortedEvacuations() []*pb.Evacuation {
	return slices.SortedFunc(maps.Values(p.evacuations), func(a, b *pb.Evacuation) int {
		return cmp.Compare(a.GetFailureDomain(), b.GetFailureDomain())
	})
}
