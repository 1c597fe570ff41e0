package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

const (
	// Quota of limitedOrganisation: requests per second, and those beyond the rate at once.
	quotaRate, quotaBurst = 20, 10
	// The clients of limitedOrganisation together send up to quotaClients / quotaInterval requests per second, 10 times its rate.
	quotaClients  = 8
	quotaInterval = 40 * time.Millisecond
	// A client moves to another node after minStay to maxStay. Before every second move on average it is silent for up to
	// maxSilence, so that a burst follows a calm time.
	minStay    = 200 * time.Millisecond
	maxStay    = 2 * time.Second
	maxSilence = 3 * time.Second
)

// quotaClient sends requests of limitedOrganisation and moves between the nodes until the context ends. It does not wait as told.
func (r *run) quotaClient(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(r.options.Seed, 1<<43+uint64(n)))
	i := 0 // no id is sent twice
	for ctx.Err() == nil {
		node := random.IntN(len(r.nodes))
		c := platformtest.NewClient(platformtest.EntryAddress(r.nodes[node].host.IP))
		leave := time.Now().Add(minStay + time.Duration(random.Int64N(int64(maxStay-minStay))))
		for ctx.Err() == nil && time.Now().Before(leave) {
			i++
			if !r.sendWithKeys(c, node, r.keys.fixed(limitedOrganisation), fmt.Sprintf("q%d-%d", n, i), random) {
				break
			}
			time.Sleep(quotaInterval)
		}
		c.CloseIdleConnections()
		if random.IntN(2) == 0 {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(random.Int64N(int64(maxSilence)))):
			}
		}
	}
}

// quotaViolations returns the window in which most requests of limitedOrganisation ran, if they are more than its quota allows, and their
// number. The bound holds over all nodes, in touch or not. The arrivals are in the order of their times.
func quotaViolations(c clock, arrivals []arrival) (out []string, most int) {
	var ran []arrival
	for _, a := range arrivals {
		if a.organisation == limitedOrganisation && !a.misdirected {
			ran = append(ran, a)
		}
	}
	allowed := (quotaRate*platformtest.QuotaWindow.Seconds()+quotaBurst)*(1+platformtest.QuotaExcess) + platformtest.QuotaSlack
	window, count := maxWindow(ran, platformtest.QuotaWindow, true)
	if float64(count) <= allowed {
		return nil, count
	}
	return []string{fmt.Sprintf("organisation %s ran %d requests within %v from the one %s on, %.0f are allowed; arrivals at the upstreams by node: %v",
		limitedOrganisation, count, platformtest.QuotaWindow, c.at(window[0].at), allowed, nodesOf(window))}, count
}
