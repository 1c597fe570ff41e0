package members

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/membership"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// neighbours is the number of fixed peers that a node exchanges with. Because they
	// are fixed, each pair transfers its table only once. Choosing them by rendezvous hash
	// keeps the graph connected.
	neighbours = 3
	// partitionInterval is the time between exchanges with peers while no relay answers.
	partitionInterval = 500 * time.Millisecond
	// expireInterval is the time between two removals of expired tombstones and suspects.
	expireInterval = 5 * time.Second
	// preferredRetry is how long a node stays with a less preferred relay before it tries the
	// most preferred one again.
	preferredRetry = 15 * time.Second
)

// Run exchanges with relays and peers until the context ends, and then returns nil.
func (m *Members) Run(ctx context.Context) error {
	var group sync.WaitGroup
	start := func(f func(context.Context)) { group.Go(func() { f(ctx) }) }
	start(m.expireLoop)
	start(m.probeLoop)
	if m.options.Relay {
		for _, r := range m.options.Relays {
			if r.Region == m.options.Region {
				start(func(ctx context.Context) { m.relayPeerLoop(ctx, r) })
			}
		}
		for _, region := range m.remoteRegions() {
			start(func(ctx context.Context) { m.regionLoop(ctx, region) })
		}
	} else {
		start(m.relayLoop)
		start(m.pushLoop)
		start(m.peerLoop)
	}
	group.Wait()
	return nil
}

func (m *Members) expireLoop(ctx context.Context) {
	for lifecycle.Pause(ctx, expireInterval) {
		m.mu.Lock()
		m.table.Expire(m.now())
		m.mu.Unlock()
	}
}

// relayLoop keeps a long poll open at the most preferred relay that answers.
func (m *Members) relayLoop(ctx context.Context) {
	relays := membership.RankRelays(m.options.ID, m.options.FailureDomain, m.options.Region, m.options.Relays)
	current, backoff := 0, backoffStart
	var leftPreferred time.Time
	for ctx.Err() == nil {
		if len(relays) == 0 {
			return
		}
		if current > 0 && m.now().Sub(leftPreferred) > preferredRetry {
			current = 0
		}
		r := relays[current]
		err := m.poll(ctx, target{key: r.ID, address: r.Address, relay: true})
		m.setRelayReachable(err == nil)
		if err == nil {
			backoff = backoffStart
			continue
		}
		if current == 0 {
			leftPreferred = m.now()
		}
		current = (current + 1) % len(relays)
		if !lifecycle.Pause(ctx, m.jitter(backoff)) {
			return
		}
		backoff = min(2*backoff, m.options.Timing.BackoffCap)
	}
}

// poll runs one long poll, which ends early without error when the services change.
func (m *Members) poll(ctx context.Context, t target) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- m.exchange(ctx, t, m.options.Timing.PollWait) }()
	select {
	case err := <-done:
		return err
	case <-m.servicesChanged:
		cancel()
		<-done
		return nil
	}
}

func (m *Members) setRelayReachable(ok bool) {
	m.mu.Lock()
	was := m.relayReachable
	m.relayReachable = ok
	m.mu.Unlock()
	if was != ok {
		_ = m.logger.Log("msg", "relay changed", "answers", ok)
	}
}

// pushLoop sends changes of this node's record and its suspects at once.
func (m *Members) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.localChanged:
			m.pushAll(ctx)
		}
	}
}

// PushTo sends the changes of this node to the nodes at these peer addresses, for
// example to the entries that recently sent it calls. Failed exchanges are ignored.
func (m *Members) PushTo(ctx context.Context, addresses []string) {
	targets := make([]target, len(addresses))
	for i, a := range addresses {
		targets[i] = target{key: a, address: a}
	}
	m.fanOut(ctx, targets, pushOnly)
}

func (m *Members) pushAll(ctx context.Context) {
	var targets []target
	relays := membership.RankRelays(m.options.ID, m.options.FailureDomain, m.options.Region, m.options.Relays)
	for _, r := range relays[:min(2, len(relays))] { // the second one receives the changes if the first one has failed
		targets = append(targets, target{key: r.ID, address: r.Address, relay: true})
	}
	m.fanOut(ctx, append(targets, m.neighbours()...), pushOnly)
}

func (m *Members) fanOut(ctx context.Context, targets []target, wait time.Duration) {
	var group sync.WaitGroup
	for _, t := range targets {
		group.Go(func() { _ = m.exchange(ctx, t, wait) }) // the next exchange repeats what this one failed to send
	}
	group.Wait()
}

// neighbours returns the fixed peers of this node. While no relay answers it adds a
// random peer, or returns the seeds if no peer is known.
func (m *Members) neighbours() []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	byID := make(map[string]*pb.EndpointRecord)
	var ids []string
	for _, r := range m.peersLocked() {
		byID[r.GetNodeId()] = r
		ids = append(ids, r.GetNodeId())
	}
	var out []target
	for _, id := range membership.Rendezvous(m.options.ID, ids) {
		if len(out) == neighbours {
			break
		}
		out = append(out, target{key: id, address: byID[id].GetPeerAddress()})
	}
	if !m.relayReachable {
		if len(ids) > neighbours { // a random peer reconnects parts of the graph that a crash separated
			r := byID[ids[m.rng.IntN(len(ids))]]
			out = append(out, target{key: r.GetNodeId(), address: r.GetPeerAddress()})
		}
		if len(ids) == 0 {
			for _, s := range m.options.Seeds {
				if s != m.options.PeerAddress {
					out = append(out, target{key: s, address: s})
				}
			}
		}
	}
	return out
}

// peerLoop exchanges with peers, every PeerInterval while a relay answers and more
// often otherwise.
func (m *Members) peerLoop(ctx context.Context) {
	last := m.now()
	for lifecycle.Pause(ctx, m.jitter(2*partitionInterval)) {
		m.mu.Lock()
		ok := m.relayReachable
		m.mu.Unlock()
		if ok && m.now().Sub(last) < m.options.Timing.PeerInterval {
			continue
		}
		last = m.now()
		m.fanOut(ctx, m.neighbours(), 0)
	}
}

// relayPeerLoop exchanges with one relay of the same region.
func (m *Members) relayPeerLoop(ctx context.Context, r membership.Relay) {
	m.exchangeOnChange(ctx, func(ctx context.Context) bool {
		return m.exchange(ctx, target{key: r.ID, address: r.Address, relay: true}, 0) == nil
	})
}

// exchangeOnChange calls exchange after changes of the table, which are batched, and
// at least once per RelayInterval. After a failure it retries with exponential
// backoff and full jitter.
func (m *Members) exchangeOnChange(ctx context.Context, exchange func(context.Context) bool) {
	backoff := backoffStart
	for ctx.Err() == nil {
		changed := m.Changed()
		if !exchange(ctx) {
			if !lifecycle.Pause(ctx, m.jitter(backoff)) {
				return
			}
			backoff = min(2*backoff, m.options.Timing.BackoffCap)
			continue
		}
		backoff = backoffStart
		timer := time.NewTimer(m.options.Timing.RelayInterval)
		select {
		case <-changed:
			timer.Stop()
			lifecycle.Pause(ctx, m.options.Timing.Batch)
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// remoteRegions returns the other regions that have relays.
func (m *Members) remoteRegions() []string {
	var out []string
	for _, r := range m.options.Relays {
		if r.Region != m.options.Region && !slices.Contains(out, r.Region) {
			out = append(out, r.Region)
		}
	}
	return out
}
