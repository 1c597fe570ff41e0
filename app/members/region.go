package members

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/core/membership"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// regionLoop exchanges with the reachable relay of the lowest id in another region.
// Only one relay of this region does so, the one with the lowest id that the others
// can reach, so that each change crosses the link only once.
func (m *Members) regionLoop(ctx context.Context, region string) {
	remote := m.relaysOf(region)
	failing, lower := make(failures), make(failures)
	m.exchangeOnChange(ctx, func(ctx context.Context) bool {
		if m.lowerRelayAnswers(ctx, lower) {
			return true
		}
		for _, r := range failing.failedLast(remote, m.now()) {
			if m.isUpToDate(r.ID) {
				return true
			}
			if m.exchange(ctx, target{key: r.ID, address: r.Address, relay: true}, 0) == nil {
				delete(failing, r.ID)
				return true
			}
			failing[r.ID] = m.now()
		}
		return false
	})
}

// isUpToDate reports whether a peer has all changes of this table and the last exchange
// with it was less than RegionInterval ago.
func (m *Members) isUpToDate(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerLocked(id)
	if p.acked == 0 || m.now().Sub(p.exchangedAt) >= m.options.Timing.RegionInterval {
		return false
	}
	records, _ := m.table.Since(p.acked, membership.Filter{Peer: id, All: true})
	if len(records)+len(m.table.SuspectsSince(p.acked, id)) > 0 {
		return false
	}
	if m.options.Summaries == nil {
		return true
	}
	summaries, _ := m.options.Summaries.SummariesSince(p.summaries)
	return len(summaries) == 0
}

// lowerRelayAnswers reports whether a relay of this region with a lower id answers a
// probe. Relays that failed recently are not probed.
func (m *Members) lowerRelayAnswers(ctx context.Context, failing failures) bool {
	for _, r := range m.relaysOf(m.options.Region) {
		if r.ID >= m.options.ID || failing.recent(r.ID, m.now()) {
			continue
		}
		if m.probe(ctx, r.Address, &pb.ProbeRequest{From: m.options.ID, Target: r.ID}) {
			delete(failing, r.ID)
			return true
		}
		failing[r.ID] = m.now()
	}
	return false
}

// failureWindow is how long a relay that did not answer is tried last. Each attempt
// at a relay behind a silent network partition costs a timeout, which would delay
// every change by that time.
const failureWindow = 5 * time.Second

// failures maps relay ids to the time of their last failed attempt.
type failures map[string]time.Time

func (f failures) recent(id string, now time.Time) bool {
	at, failed := f[id]
	return failed && now.Sub(at) < failureWindow
}

// failedLast returns the relays in the same order, but with those that failed recently at
// the end.
func (f failures) failedLast(relays []membership.Relay, now time.Time) []membership.Relay {
	out := slices.Clone(relays)
	slices.SortStableFunc(out, func(a, b membership.Relay) int {
		switch fa, fb := f.recent(a.ID, now), f.recent(b.ID, now); {
		case fa == fb:
			return 0
		case fa:
			return 1
		}
		return -1
	})
	return out
}

// relaysOf returns the relays of a region, except this one, by ascending id.
func (m *Members) relaysOf(region string) []membership.Relay {
	out := slices.DeleteFunc(slices.Clone(m.options.Relays), func(r membership.Relay) bool { return r.Region != region })
	slices.SortFunc(out, func(a, b membership.Relay) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// probe sends a probe to the address and reports whether the response says that the
// target is alive.
func (m *Members) probe(ctx context.Context, address string, r *pb.ProbeRequest) bool {
	timeout := m.options.Timing.ProbeTimeout
	if r.GetTargetAddress() != "" {
		timeout *= 2
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := m.clientOf(address).Probe(ctx, connect.NewRequest(r))
	return err == nil && answer.Msg.GetAlive()
}
