package main

import (
	"context"
	"fmt"
	"time"
)

// Times of the case of an upstream that leaves, from the acknowledgement of its departure on.
const (
	killAfter    = 500 * time.Millisecond  // the node beside it is killed
	restartAfter = 1200 * time.Millisecond // and started again
	lateAfter    = 6 * time.Second         // its last announcement before the departure arrives
	endAfter     = 11 * time.Second        // the upstream ends
)

// runDeparted lets an upstream leave. Its node is stopped and started again on its own, and an announcement that the upstream sent before it
// left arrives late. No request may reach the upstream later than the drain bound after the departure was acknowledged.
func runDeparted(s *site, trouble bool) error {
	if err := s.start(2, serviceDesk, serviceLedger, serviceDesk, serviceLedger); err != nil {
		return err
	}
	if err := s.configure(); err != nil {
		return err
	}
	upstreams, err := s.startUpstreams("v1")
	defer endAll(upstreams)
	if err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &clients{site: s, sent: make(map[string]sentRequest)}
	leaver := upstreams[0]
	for _, h := range s.nodesOf(serviceLedger) {
		c.start(ctx, h, 25*time.Millisecond)
	}
	time.Sleep(contact + 2*time.Second)
	if len(leaver.requests()) == 0 {
		return fmt.Errorf("no request reached %s", leaver.instance)
	}
	if trouble {
		leaver.announceLate(lateAfter)
		time.Sleep(announceTimeout + 200*time.Millisecond)
	}
	left, err := leaver.leave()
	if err != nil {
		return err
	}
	if trouble {
		time.Sleep(time.Until(left.Add(killAfter)))
		leaver.host.kill()
		time.Sleep(time.Until(left.Add(restartAfter)))
		if err := leaver.host.start(false); err != nil {
			return err
		}
	}
	inTouch := left // since when all hosts that pass requests on are in touch
	if trouble {
		inTouch = time.Now().Add(contact)
	}
	time.Sleep(time.Until(left.Add(endAfter)))
	cancel()
	c.wait.Wait()
	return judgeDeparted(s.record, c, leaver, left, inTouch)
}

// judgeDeparted counts the requests that reached an upstream later than the drain bound after the acknowledgement of its
// departure, taken and passed on by hosts in touch.
func judgeDeparted(r *record, c *clients, u *upstream, left, inTouch time.Time) error {
	late := 0
	for _, q := range u.requests() {
		sent := c.request(q.id)
		if q.at.Sub(left) > drainBound && sent.at.After(inTouch) {
			late++
			r.log("judge: %s was sent on %s and reached %s %.3f s after the acknowledgement", q.id, sent.from.name, u.instance, q.at.Sub(left).Seconds())
		}
	}
	if late > 0 {
		return fmt.Errorf("DRAIN: %d requests reached %s later than %v after its departure was acknowledged: %w", late, u.instance, drainBound, errBroken)
	}
	return nil
}
