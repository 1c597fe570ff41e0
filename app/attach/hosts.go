package attach

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/app/lifecycle"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// choose keeps the control hosts by preference and returns to the best one after a while.
func (a *Attachment) choose() {
	addresses := a.addresses()
	if len(addresses) == 0 {
		a.host = ""
		return
	}
	if a.hostIndex > 0 && a.failures == 0 && time.Since(a.lastSwitch) > homeRetry {
		a.hostIndex = 0
	}
	if next := addresses[a.hostIndex%len(addresses)]; next != a.host {
		a.host, a.lastSwitch = next, time.Now()
		a.patience.Answered()
		a.bump()
	}
}

// goHome returns with the first plan to the control host of the own failure
// domain, if that one answers too: after a restart of all hosts a node asks each
// until one has a quorum, and would fetch the table and each change from afar.
func (a *Attachment) goHome() {
	if a.atHome() {
		a.homeAnswers = true
		return
	}
	if a.homeAnswers && a.view.Load().Plan != nil {
		a.hostIndex = 0
	}
}

// atHome tells that the present control host is one of the own failure domain.
func (a *Attachment) atHome() bool {
	return slices.ContainsFunc(a.hosts, func(m *pb.Member) bool {
		return m.GetAddress() == a.host && m.GetFailureDomain() == a.options.FailureDomain
	})
}

// bump makes this node's record newer than the one that other control hosts have.
func (a *Attachment) bump() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.self = proto.CloneOf(a.self)
	a.self.Seq++
}

// addresses of control hosts: those of the same failure domain first, then of
// the same region, each in an order of this node's own.
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

func (a *Attachment) fail(ctx context.Context, err error) {
	_ = a.logger.Log("event", "control host lost", "host", a.host, "err", err, "failures", a.failures+1)
	if a.atHome() {
		a.homeAnswers = false
	}
	a.failures++
	a.hostIndex++
	a.lastSwitch = time.Now()
	if hosts := len(a.addresses()); hosts > 0 && a.failures%hosts == 0 {
		pause := min(retryPause<<min(a.failures/hosts, 4), maxRetryPause)
		lifecycle.Pause(ctx, pause/2+rand.N(pause))
	}
}

// tryOther leaves a control host without a quorum, unless no other has one. A
// node that has no plan yet stays for one more poll, because the host may be
// about to learn it.
func (a *Attachment) tryOther(ctx context.Context) {
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
