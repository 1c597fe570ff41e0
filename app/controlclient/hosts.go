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

// selectHost sets the control host for the next poll from hostIndex, which the other
// methods only change. It returns to the most preferred one when the last switch was
// longer than preferredRetry ago and no poll has failed since the last response.
func (a *Attachment) selectHost() {
	addresses := a.addresses()
	if len(addresses) == 0 {
		a.host = ""
		return
	}
	if a.hostIndex > 0 && a.failures == 0 && time.Since(a.lastSwitch) > preferredRetry {
		a.hostIndex = 0
	}
	if next := addresses[a.hostIndex%len(addresses)]; next != a.host {
		a.host, a.lastSwitch = next, time.Now()
		a.pollDeadline.Reset()
		a.raiseSeq()
	}
}

// returnToOwnDomainHost sets hostIndex to the control host of the own failure domain once
// the first plan has arrived, if that host answered as well. After a restart of all control
// hosts, a node asks one after the other until one has a quorum. If it stayed there,
// the table and each change would be transferred between failure domains.
func (a *Attachment) returnToOwnDomainHost() {
	if a.onOwnDomainHost() {
		a.ownDomainHostAnswered = true
		return
	}
	if a.ownDomainHostAnswered && a.view.Load().Plan != nil {
		a.hostIndex = 0
	}
}

// onOwnDomainHost reports whether the current control host belongs to the own failure domain.
func (a *Attachment) onOwnDomainHost() bool {
	return slices.ContainsFunc(a.hosts, func(m *pb.Member) bool {
		return m.GetAddress() == a.host && m.GetFailureDomain() == a.options.FailureDomain
	})
}

// raiseSeq raises the sequence number of the own record, so that it replaces the one
// that the other control hosts have.
func (a *Attachment) raiseSeq() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.self = proto.CloneOf(a.self)
	a.self.Seq++
}

// addresses returns the addresses of the control hosts by preference: those of the
// own failure domain, those of the own region, the others, and then the seeds that are
// not among them.
func (a *Attachment) addresses() []string {
	rank := func(m *pb.Member) int {
		switch {
		case m.GetFailureDomain() == a.options.FailureDomain:
			return 0
		case m.GetRegion() == a.options.Region:
			return 1
		default:
			return 2
		}
	}
	var out []string
	hosts := slices.Clone(a.hosts)
	slices.SortStableFunc(hosts, func(x, y *pb.Member) int { return rank(x) - rank(y) })
	for _, m := range hosts {
		out = append(out, m.GetAddress())
	}
	for _, s := range a.options.Seeds() {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// switchAfterFailure raises hostIndex after an error, so that selectHost switches to the
// next control host. Each time that all control hosts have failed, it pauses with
// exponential backoff.
func (a *Attachment) switchAfterFailure(ctx context.Context, err error) {
	_ = a.logger.Log("event", "control host lost", "host", a.host, "err", err, "failures", a.failures+1)
	if a.onOwnDomainHost() {
		a.ownDomainHostAnswered = false
	}
	a.failures++
	a.hostIndex++
	a.lastSwitch = time.Now()
	if hosts := len(a.addresses()); hosts > 0 && a.failures%hosts == 0 {
		pause := min(retryPause<<min(a.failures/hosts, 4), maxRetryPause)
		lifecycle.Pause(ctx, pause/2+rand.N(pause))
	}
}

// switchWithoutQuorum raises hostIndex after a response without a quorum, so that
// selectHost switches to the next control host. With a plan, it pauses each time that all
// control hosts have been tried. Without a plan, it stays for one more poll, because the
// control host may be about to receive the plan.
func (a *Attachment) switchWithoutQuorum(ctx context.Context) {
	a.unconfirmed++
	if a.view.Load().Plan == nil && a.unconfirmed%2 == 1 {
		return
	}
	hosts := len(a.addresses())
	if a.view.Load().Plan != nil && a.unconfirmed%max(hosts, 1) == 0 {
		lifecycle.Pause(ctx, maxRetryPause)
	}
	if hosts > 1 {
		a.hostIndex++
		a.lastSwitch = time.Now()
	}
}
