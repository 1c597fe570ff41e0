package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// caller sends requests with time limits of seconds to one node, as the clients on its host do.
// Other than the clients of a run, it does not leave a node that stops, unless leaves is set:
// it uses its connection until the node ends it, and connects again until the process is gone.
type caller struct {
	number, node int
	ip           string
	random       *rand.Rand
	checks       *checks
	losses       *losses
	observations *observations
	delays       *timerDelays
	ready        *readiness
	sent         int
	depth        int  // number of outstanding requests on a connection; above 1, all are reads
	fresh        bool // connects anew for each request
	leaves       bool // sends nothing new while the node is out of use, see readiness
}

const (
	callersPerNode = 5
	// Time limits of requests. The routes have a timeout of platformtest.LongTimeout.
	minLimit = 1500 * time.Millisecond
	maxLimit = platformtest.LongTimeout
	// maxThink is the longest pause between a response and the next request.
	maxThink     = 80 * time.Millisecond
	connectRetry = 20 * time.Millisecond // after a refused connection
)

// newCaller returns the caller with a number. Of the callers of a node, two connect anew for each
// request, one pipelines and the others keep a connection.
func newCaller(r *run, number int) *caller {
	node := number % len(r.nodes)
	c := &caller{
		number: number, node: node, ip: r.nodes[node].host.IP, random: rand.New(rand.NewPCG(r.options.Seed, 1<<41+uint64(number))),
		checks: r.checks, losses: r.losses, observations: r.observations, delays: &r.delays, ready: r.ready, depth: 1,
	}
	switch number / len(r.nodes) {
	case 0, 1:
		c.fresh = true
		c.leaves = c.random.IntN(2) == 0
	case 2:
		c.depth = 2 + c.random.IntN(3)
	}
	return c
}

// run sends requests until the context ends, and then waits for the outstanding responses.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.leaves && !c.ready.inUse(c.node) {
			time.Sleep(maxThink)
			continue
		}
		conn, err := platformtest.Dial(c.ip)
		if err != nil {
			time.Sleep(connectRetry)
			continue
		}
		c.useConnection(ctx, conn)
		conn.Close()
	}
}

// useConnection sends requests on a connection until it ends or the context is done.
func (c *caller) useConnection(ctx context.Context, conn *platformtest.Conn) {
	var open []sentRequest // in the order of their responses
	for {
		for len(open) < c.depth && ctx.Err() == nil {
			q, path := c.newRequest()
			open = append(open, q)
			if conn.Send(path+q.id, q.id, q.limit) != nil {
				break // the connection has ended; responses that arrived before are still received
			}
		}
		if len(open) == 0 {
			return
		}
		q := open[0]
		a, err := conn.Receive(q.id, q.sent.Add(q.limit))
		if err != nil {
			end := cut
			if time.Since(q.sent) >= q.limit {
				end = gaveUp
			}
			open[0].read = conn.Closed() && c.depth == 1 // a pipelined request may be unread, see sentRequest
			c.record(end, open...)
			return
		}
		c.checks.recordAnswer(q.id, q.node, a)
		c.record(outcomeOf(a), q)
		open = open[1:]
		if a.Close {
			c.record(cut, open...)
		}
		// Clients wait as told, for up to a third of the time that they have left.
		pause := time.Duration(c.random.Int64N(int64(maxThink)))
		time.Sleep(max(pause, min(a.RetryAfter, (q.limit-time.Since(q.sent))/3)))
		if a.Close || c.fresh {
			return
		}
	}
}

// outcomeOf returns the outcome of a request with a complete response.
func outcomeOf(a platformtest.Answer) outcome {
	switch {
	case a.Signed:
		return answered
	case isRejection(a.Status):
		return refused
	}
	return failed
}

// newRequest returns a request that is sent now, and the path prefix of its route.
func (c *caller) newRequest() (sentRequest, string) {
	c.sent++
	q := sentRequest{
		id: fmt.Sprintf("r-c%d-%d", c.number, c.sent), node: c.node, sent: time.Now(), delays: c.delays.sum(),
		limit: minLimit + time.Duration(c.random.Int64N(int64(maxLimit-minLimit))),
	}
	if c.depth == 1 && c.random.IntN(2) == 0 {
		q.id = fmt.Sprintf("%sc%d-%d", writePrefix, c.number, c.sent)
		return q, platformtest.LongWritePath
	}
	return q, platformtest.LongReadPath
}

// record records the outcome of requests that end now.
func (c *caller) record(o outcome, requests ...sentRequest) {
	for _, q := range requests {
		q.ended, q.outcome, q.delays = time.Now(), o, c.delays.sum()-q.delays
		c.losses.recordRequest(q)
		c.observations.recordSending(sending{id: q.id, node: q.node, at: q.sent, ended: q.ended})
		if o == cut || o == gaveUp {
			c.checks.recordAnswer(q.id, q.node, platformtest.Answer{})
		}
	}
}

// readiness asks the nodes whether they are ready, as the platform does: once per second, and a
// node that twice did not say so is out of use, as long as half of the nodes of its failure domain
// are in use.
type readiness struct {
	nodes  []*process
	misses []atomic.Int32
}

const (
	readinessInterval = time.Second
	maxMisses         = 2
)

func newReadiness(nodes []*process) *readiness {
	return &readiness{nodes: nodes, misses: make([]atomic.Int32, len(nodes))}
}

// run asks until the context ends.
func (r *readiness) run(ctx context.Context) {
	var asking sync.WaitGroup
	for i, p := range r.nodes {
		asking.Go(func() {
			for ctx.Err() == nil {
				if platformtest.Ready(p.host.IP) {
					r.misses[i].Store(0)
				} else {
					r.misses[i].Add(1)
				}
				time.Sleep(readinessInterval)
			}
		})
	}
	asking.Wait()
}

// inUse reports whether clients send new requests to a node.
func (r *readiness) inUse(node int) bool {
	if r.misses[node].Load() < maxMisses {
		return true
	}
	all, in := 0, 0
	for i, p := range r.nodes {
		if p.host.FailureDomain == r.nodes[node].host.FailureDomain {
			all++
			if r.misses[i].Load() < maxMisses {
				in++
			}
		}
	}
	return 2*in < all
}
