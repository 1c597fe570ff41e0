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

// regionLoop exchanges with the relay of lowest id that answers in another
// region. Only one relay of this region does so: the one with the lowest id
// that the others can reach, so that a change crosses the link once.
func (m *Members) regionLoop(ctx context.Context, region string) {
	remote := m.relaysOf(region)
	failing, lower := make(failures), make(failures)
	m.exchangeOnChange(ctx, func(ctx context.Context) bool {
		if m.lowerRelayAnswers(ctx, lower) {
			return true
		}
		for _, r := range failing.last(remote, m.now()) {
			if m.isQuiet(r.ID) {
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

// isQuiet reports a peer that has everything of this table and was asked not long ago.
func (m *Members) isQuiet(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerLocked(id)
	if p.acked == 0 || m.now().Sub(p.exchange) >= m.options.Timing.RegionInterval {
		return false
	}
	records, _ := m.table.Since(p.acked, membership.Filter{Peer: id, All: true})
	if len(records)+len(m.table.SuspectsSince(p.acked, id)) > 0 {
		return false
	}
	if m.options.Summaries == nil {
		return true
	}
	summaries, _ := m.options.Summaries.Changed(p.summaries)
	return len(summaries) == 0
}

// lowerRelayAnswers reports whether a relay of this region with a lower id runs.
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

// failureMemory is how long a relay that did not answer is tried last. A relay
// that is cut off silently costs a timeout at each attempt, which would delay
// every change by that time.
const failureMemory = 5 * time.Second

// failures holds when relays last did not answer.
type failures map[string]time.Time

func (f failures) recent(id string, now time.Time) bool {
	at, failed := f[id]
	return failed && now.Sub(at) < failureMemory
}

// last returns the relays with those that failed recently at the end.
func (f failures) last(relays []membership.Relay, now time.Time) []membership.Relay {
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

// relaysOf returns the other relays of a region by ascending id.
func (m *Members) relaysOf(region string) []membership.Relay {
	out := slices.DeleteFunc(slices.Clone(m.options.Relays), func(r membership.Relay) bool { return r.Region != region })
	slices.SortFunc(out, func(a, b membership.Relay) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// probe reports whether the process at the address answers the probe as alive.
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
