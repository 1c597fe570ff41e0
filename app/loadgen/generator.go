package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const resultBuffer = 1024 // results that may wait for the collector

type generator struct {
	options Options
	client  *fasthttp.Client
	random  *rand.Rand // used by the scheduling goroutine only
	run     string     // distinguishes the tokens of runs
}

// Run sends calls until the duration has passed or the context ends, waits for the last
// responses and returns the summary. observe is called with every result, never
// concurrently; it may be nil.
func Run(ctx context.Context, o Options, observe func(*Result)) *Summary {
	o = o.withDefaults()
	g := &generator{
		options: o, client: newClient(), random: rand.New(rand.NewPCG(o.Seed, 2)),
		run: fmt.Sprintf("%x-%x", o.Seed, time.Now().UnixNano()),
	}
	defer g.client.CloseIdleConnections()
	summary := newSummary(o)
	results := make(chan *Result, resultBuffer)
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for r := range results {
			summary.add(r)
			if observe != nil {
				observe(r)
			}
		}
	}()
	start := time.Now()
	summary.Skipped = g.schedule(ctx, start, results)
	close(results)
	<-collected
	summary.finish(time.Since(start))
	return summary
}

// schedule starts calls at their scheduled times. It returns how many were skipped because
// MaxInFlight calls were running.
func (g *generator) schedule(ctx context.Context, start time.Time, results chan<- *Result) (skipped uint64) {
	inFlight := make(chan struct{}, g.options.MaxInFlight)
	var running sync.WaitGroup
	defer running.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		at := start.Add(time.Duration(float64(n) / g.options.Rate * float64(time.Second)))
		if at.Sub(start) >= g.options.Duration {
			return skipped
		}
		timer.Reset(time.Until(at))
		select {
		case <-ctx.Done():
			return skipped
		case <-timer.C:
		}
		job := g.newJob(n, at, at.Sub(start) < g.options.Warmup)
		select {
		case inFlight <- struct{}{}:
			running.Go(func() {
				results <- g.execute(job)
				<-inFlight
			})
		default:
			skipped++
		}
	}
}

// job is one scheduled call with all of its random choices.
type job struct {
	call   call
	at     time.Time
	entry  int    // index of the first entry that is tried
	direct string // upstream address of the paired direct call; empty: no pair
	resend bool   // send the call again after its response
	warmup bool
}

// newJob returns the n-th call of the run, which is due at the given time.
func (g *generator) newJob(n int, at time.Time, warmup bool) job {
	route := g.options.Routes[pickWeighted(g.random, len(g.options.Routes), func(i int) int { return g.options.Routes[i].Weight })]
	tenant := g.options.Tenants[pickWeighted(g.random, len(g.options.Tenants), func(i int) int { return g.options.Tenants[i].Weight })]
	j := job{
		call: call{token: fmt.Sprintf("%s-%d", g.run, n), tenant: tenant.Name, route: route, keyed: route.Keyed},
		at:   at, entry: n % len(g.options.Entries), warmup: warmup,
	}
	if route.Keyed {
		j.resend = g.random.Float64() < g.options.ResendShare
	} else if len(g.options.Direct) > 0 && g.options.DirectEvery > 0 && n%g.options.DirectEvery == 0 {
		j.direct = g.options.Direct[g.random.IntN(len(g.options.Direct))]
	}
	return j
}

// pickWeighted returns a random index below n by weight; weights below 1 count as 1.
func pickWeighted(random *rand.Rand, n int, weight func(int) int) int {
	total := 0
	for i := range n {
		total += max(weight(i), 1)
	}
	offset := random.IntN(total)
	for i := range n {
		if offset -= max(weight(i), 1); offset < 0 {
			return i
		}
	}
	return n - 1
}

// execute sends the call of a job, then its paired direct call or its resend.
func (g *generator) execute(j job) *Result {
	r := g.send(j.call, j.entry)
	r.Scheduled, r.warmup = j.at, j.warmup
	if j.direct != "" && r.Outcome == Answered {
		sent := time.Now()
		if answer, err := g.attempt(j.direct, j.call); err == nil && answer.status < 400 && answer.verifyErr == nil {
			r.Direct = time.Since(sent)
		}
	}
	if j.resend {
		r.Resent = g.send(j.call, j.entry+1).Outcome
	}
	return &r
}
