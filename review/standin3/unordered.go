package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Values of the case of a version without an order.
const (
	hostsPerZone    = 3
	upstreamsOfDesk = 7                // of each version
	badAnswers      = 50               // after so many bad answers a version gets nothing more within rollback
	failEvery       = 2                // of the answers of the bad version, one in so many is a failure
	orderAfter      = 15 * time.Second // from the start of the upstreams of the new version to the order of its rollout
	leaveAfter      = 2 * time.Second  // the same to the departure of an old upstream
	drainExtra      = time.Second      // how long an upstream that drains serves beyond the bound
)

// runUnordered starts the upstreams of a bad version alongside as many old ones. Then one of the old ones is emptied and taken
// away, before a rollout is ordered.
func runUnordered(s *site, trouble bool) error {
	services := append(slices.Repeat([]string{serviceDesk}, upstreamsOfDesk), serviceLedger, serviceLedger)
	if err := s.start(hostsPerZone, services...); err != nil {
		return err
	}
	if err := s.configure(); err != nil {
		return err
	}
	old, err := s.startUpstreams("v1")
	defer endAll(old)
	if err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &clients{site: s, sent: make(map[string]sentRequest)}
	for _, h := range s.nodesOf(serviceLedger) {
		c.start(ctx, h, 20*time.Millisecond)
	}
	time.Sleep(contact)
	started := time.Now()
	next, err := s.startNext()
	defer endAll(next)
	if err != nil {
		return err
	}
	time.Sleep(time.Until(started.Add(leaveAfter)))
	if trouble {
		old[0].drain()
	}
	time.Sleep(time.Until(started.Add(orderAfter)))
	ordered := time.Now()
	if err := s.orderRollout("v2"); err != nil {
		return err
	}
	time.Sleep(rollback)
	cancel()
	c.wait.Wait()
	return judgeUnordered(s.record, c, next, ordered)
}

// startNext starts as many upstreams of a bad version as there are old ones, on hosts of their own.
func (s *site) startNext() ([]*upstream, error) {
	var out []*upstream
	for i := range upstreamsOfDesk {
		h, err := s.addNode(serviceDesk, i/hostsPerZone, false)
		if err != nil {
			return out, err
		}
		if err := h.awaitReady(); err != nil {
			return out, err
		}
		u, err := newUpstream(h, "i-next-"+h.name, "v2", failEvery)
		if err != nil {
			return out, err
		}
		out = append(out, u)
	}
	return out, nil
}

// orderRollout orders the rollout of a version.
func (s *site) orderRollout(version string) error {
	return s.order("rollouts.start", map[string]any{"service": serviceDesk, "target_version": version, "duration": "12s"}, 5*time.Second)
}

// drain reports that the upstream drains, and ends it as announced.
func (u *upstream) drain() {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.announce()
	time.Sleep(drainBound + drainExtra)
	u.cancel()
	status := post(u.host.address(offsetControl), "instances.deregister", u.instance, nil, announceTimeout)
	u.host.site.record.log("upstream %s: departure answered with %d", u.instance, status)
	if status == http.StatusOK {
		u.end()
	}
}

// judgeUnordered finds requests that a bad version got later than the bound after its 50th bad answer. The core was stable all
// the time.
func judgeUnordered(r *record, c *clients, next []*upstream, ordered time.Time) error {
	var all []runRequest
	for _, u := range next {
		all = append(all, u.requests()...)
	}
	var bad []time.Time
	before := 0
	for _, q := range all {
		if q.at.Before(ordered) {
			before++
		}
		if q.failed {
			bad = append(bad, q.at)
		}
	}
	r.log("judge: v2 ran %d requests, %d of them before its order, and gave %d bad answers", len(all), before, len(bad))
	if len(bad) < badAnswers {
		return nil
	}
	slices.SortFunc(bad, time.Time.Compare)
	limit := bad[badAnswers-1].Add(workTime + rollback)
	late := 0
	for _, q := range all {
		if c.request(q.id).at.After(limit) {
			late++
		}
	}
	if late > 0 {
		return fmt.Errorf("EXPOSURE: v2 got %d requests that were sent later than %v after its 50th bad answer: %w", late, rollback, errBroken)
	}
	return nil
}
