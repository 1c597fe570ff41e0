package callbench

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/httpproxy"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Stops counts what planned stops under load did to calls.
type Stops struct {
	Variant string `json:"variant"`
	Stops   int    `json:"stops"`
	Calls   int64  `json:"calls"`
	// Interrupted calls got no response or one that does not say that it was not run.
	Interrupted int64 `json:"interrupted"`
	// Rejected calls were told by every entry that they were not run.
	Rejected int64 `json:"rejected_not_run"`
	// Examples of interrupted calls.
	Examples []string `json:"examples,omitempty"`
}

const (
	stopNodes   = 3
	stopCallers = 6
	stopsAtOnce = 5
	maxExamples = 5
)

// measureStops stops a node or an upstream under load, once per seed. The baseline
// exits without leaving.
func measureStops(o Options, baseline bool) (Stops, error) {
	out := Stops{Variant: variant(baseline), Stops: o.Stops}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	atOnce := make(chan struct{}, stopsAtOnce)
	for i := range o.Stops {
		atOnce <- struct{}{}
		wg.Go(func() {
			defer func() { <-atOnce }()
			load, err := oneStop(o.Seed+uint64(i), baseline)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			out.Calls += load.calls.Load()
			out.Interrupted += load.interrupted.Load()
			out.Rejected += load.rejected.Load()
			out.Examples = append(out.Examples, load.examples...)
		})
	}
	wg.Wait()
	out.Examples = out.Examples[:min(len(out.Examples), maxExamples)]
	return out, failed
}

func oneStop(seed uint64, baseline bool) (*stopLoad, error) {
	m, err := newMesh(baseline, &pb.Limits{Slots: slots, MaxQueue: 64, MaxConnections: 4096}, 0)
	if err != nil {
		return nil, err
	}
	defer m.close()
	for i := range stopNodes {
		n, err := m.addNode(seed + uint64(i))
		if err != nil {
			return nil, err
		}
		if _, err := n.addUpstream(slots, slots, 2*time.Millisecond, nil); err != nil {
			return nil, err
		}
	}
	load := &stopLoad{mesh: m}
	for i := range stopCallers {
		load.wg.Go(func() { load.loop(rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	random := rand.New(rand.NewPCG(seed, 77))
	time.Sleep(time.Duration(30+random.IntN(20)) * time.Millisecond)
	victim := random.IntN(stopNodes)
	u := m.upstreams[victim]
	switch {
	case baseline:
		u.kill()
	case random.IntN(2) == 0:
		m.nodes[victim].gate.DrainUpstream(u.Upstream, stopTimeout)
		u.kill()
	default:
		m.nodes[victim].stop()
		u.kill()
	}
	time.Sleep(30 * time.Millisecond)
	load.stop.Store(true)
	load.wg.Wait()
	return load, nil
}

// stopLoad sends non-idempotent calls and moves on to the next entry when one did not run the call.
type stopLoad struct {
	mesh                         *mesh
	wg                           sync.WaitGroup
	stop                         atomic.Bool
	calls, interrupted, rejected atomic.Int64
	mu                           sync.Mutex
	examples                     []string
}

func (l *stopLoad) loop(random *rand.Rand) {
	callers := make([]*caller, len(l.mesh.nodes))
	for i, n := range l.mesh.nodes {
		callers[i] = newCaller(n.entryAddr)
	}
	defer func() {
		for _, c := range callers {
			c.client.CloseIdleConnections()
		}
	}()
	for i := 0; !l.stop.Load(); i++ {
		l.calls.Add(1)
		l.one(callers, random.IntN(len(callers)), fmt.Sprint(i))
	}
}

func (l *stopLoad) one(callers []*caller, first int, body string) {
	for try := range callers {
		r := callers[(first+try)%len(callers)].call("/fares", body, 0)
		switch {
		case r.status == fasthttp.StatusOK && r.err == nil:
			return
		case r.err != nil && isRefused(r.err), r.err == nil && r.ran == httpproxy.RanNotRun:
		default:
			l.interrupted.Add(1)
			l.example(fmt.Sprintf("status %d, ran %q, reason %q, error %v", r.status, r.ran, r.reason, r.err))
			return
		}
	}
	l.rejected.Add(1)
}

// isRefused reports that the entry accepted no connection, so that nothing was sent.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (l *stopLoad) example(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.examples) < maxExamples {
		l.examples = append(l.examples, what)
	}
}
