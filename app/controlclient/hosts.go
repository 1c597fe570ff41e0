package controlclient

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/app/lifecycle"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// selectHost sets the control host for the next poll from hostIndex. No other method sets the
// control host. selectHost returns to the most preferred one when the last switch was longer
// than preferredRetry ago and no poll has failed since the last response.
func (c *Client) selectHost() {
	addresses := c.addresses()
	if len(addresses) == 0 {
		c.host = ""
		return
	}
	if c.hostIndex > 0 && c.failures == 0 && time.Since(c.lastSwitch) > preferredRetry {
		c.hostIndex = 0
	}
	at := c.hostIndex % len(addresses)
	order := append(slices.Clone(addresses[at:]), addresses[:at]...)
	c.hostOrder.Store(&order)
	if next := addresses[at]; next != c.host {
		c.host, c.lastSwitch = next, time.Now()
		c.pollDeadline.Reset()
		c.raiseSeq()
		c.suspectsAcked = 0
		c.forgetTotals()
	}
}

// returnToOwnDomainHost sets hostIndex to the control host of this node's failure domain once
// the first plan has arrived, if that host answered as well. After a restart of all control
// hosts, a node asks one after the other until one has a quorum. If it stayed there,
// the table and each change would be transferred between failure domains.
func (c *Client) returnToOwnDomainHost() {
	if c.onOwnDomainHost() {
		c.ownDomainHostAnswered = true
		return
	}
	if c.ownDomainHostAnswered && c.view.Load().Plan != nil {
		c.hostIndex = 0
	}
}

// onOwnDomainHost reports whether the current control host belongs to this node's failure domain.
func (c *Client) onOwnDomainHost() bool {
	return slices.ContainsFunc(c.hosts, func(m *pb.Member) bool {
		return m.GetAddress() == c.host && m.GetFailureDomain() == c.options.FailureDomain
	})
}

// raiseSeq raises the sequence number of this node's record, so that it replaces the one
// that the other control hosts have.
func (c *Client) raiseSeq() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.self = proto.CloneOf(c.self)
	c.self.Seq++
}

// addresses returns the addresses of the control hosts by preference: those of
// this node's failure domain, those of its region, the others, and then the seeds that
// are not among them.
func (c *Client) addresses() []string {
	rank := func(m *pb.Member) int {
		switch {
		case m.GetFailureDomain() == c.options.FailureDomain:
			return 0
		case m.GetRegion() == c.options.Region:
			return 1
		default:
			return 2
		}
	}
	var out []string
	hosts := dialable(c.hosts)
	slices.SortStableFunc(hosts, func(x, y *pb.Member) int { return rank(x) - rank(y) })
	for _, m := range hosts {
		out = append(out, m.GetAddress())
	}
	for _, s := range c.options.Seeds() {
		if s != "" && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// dialable returns the members that have an address. A node would not poll at all while it prefers
// one without; one with an address that cannot be dialled is left after a failed poll.
func dialable(members []*pb.Member) []*pb.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m *pb.Member) bool { return m.GetAddress() == "" })
}

// switchAfterFailure raises hostIndex after an error, so that selectHost switches to the
// next control host. Each time that all control hosts have failed, it pauses with
// exponential backoff.
func (c *Client) switchAfterFailure(ctx context.Context, err error) {
	_ = c.logger.Log("event", "control host lost", "host", c.host, "err", err, "failures", c.failures+1)
	if c.onOwnDomainHost() {
		c.ownDomainHostAnswered = false
	}
	c.failures++
	c.hostIndex++
	c.lastSwitch = time.Now()
	if hosts := len(c.addresses()); hosts > 0 && c.failures%hosts == 0 {
		pause := min(retryPause<<min(c.failures/hosts, 4), maxRetryPause)
		lifecycle.Pause(ctx, pause/2+rand.N(pause))
	}
}

// switchWithoutQuorum raises hostIndex after a response without a quorum, so that
// selectHost switches to the next control host. With a plan, it pauses each time that all
// control hosts have been tried. Without a plan, it stays for one more poll, because the
// control host may be about to receive the plan.
func (c *Client) switchWithoutQuorum(ctx context.Context) {
	c.unconfirmed++
	if c.view.Load().Plan == nil && c.unconfirmed%2 == 1 {
		return
	}
	hosts := len(c.addresses())
	if c.view.Load().Plan != nil && c.unconfirmed%max(hosts, 1) == 0 {
		lifecycle.Pause(ctx, maxRetryPause)
	}
	if hosts > 1 {
		c.hostIndex++
		c.lastSwitch = time.Now()
	}
}
