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

// Stops holds the outcomes of calls during planned stops under load.
type Stops struct {
	Variant string `json:"variant"`
	Stops   int    `json:"stops"`
	Calls   int64  `json:"calls"`
	// Interrupted counts calls that got no response, or an error that does not state that the
	// call was not run.
	Interrupted int64 `json:"interrupted"`
	// Rejected counts calls for which every entry refused the connection or answered not-run.
	Rejected int64 `json:"rejected_not_run"`
	// Examples describe some of the interrupted calls.
	Examples []string `json:"examples,omitempty"`
}

const (
	stopNodes       = 3
	stopCallers     = 6
	concurrentStops = 5
	maxExamples     = 5
)

// measureStops stops a node or an upstream under load, once per seed. In the baseline the
// upstream exits without leaving its node first.
func measureStops(o Options, baseline bool) (Stops, error) {
	out := Stops{Variant: variant(baseline), Stops: o.Stops}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var stopErr error
	semaphore := make(chan struct{}, concurrentStops)
	for i := range o.Stops {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			load, err := measureStop(o.Seed+uint64(i), baseline)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				stopErr = err
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
	return out, stopErr
}

// measureStop runs one stop in a mesh of its own and returns the load with its counters.
func measureStop(seed uint64, baseline bool) (*stopLoad, error) {
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
	target := random.IntN(stopNodes)
	u := m.upstreams[target]
	switch {
	case baseline:
		u.kill()
	case random.IntN(2) == 0:
		m.nodes[target].gate.DrainUpstream(u.UpstreamAnnouncement, stopTimeout)
		u.kill()
	default:
		m.nodes[target].stop()
		u.kill()
	}
	time.Sleep(30 * time.Millisecond)
	load.stop.Store(true)
	load.wg.Wait()
	return load, nil
}

// stopLoad sends non-idempotent calls and tries the next entry when one did not run the call.
type stopLoad struct {
	mesh                         *mesh
	wg                           sync.WaitGroup
	stop                         atomic.Bool
	calls, interrupted, rejected atomic.Int64
	mu                           sync.Mutex
	examples                     []string
}

// loop sends calls, one after the other, through random entries until stop is set.
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
		l.send(callers, random.IntN(len(callers)), fmt.Sprint(i))
	}
}

// send sends one call and counts its outcome.
func (l *stopLoad) send(callers []*caller, firstCaller int, body string) {
	for try := range callers {
		r := callers[(firstCaller+try)%len(callers)].call("/fares", body, 0)
		switch {
		case r.status == fasthttp.StatusOK && r.err == nil:
			return
		case r.err != nil && isRefused(r.err), r.err == nil && r.ran == httpproxy.RanNotRun:
		default:
			l.interrupted.Add(1)
			l.addExample(fmt.Sprintf("status %d, ran %q, reason %q, error %v", r.status, r.ran, r.reason, r.err))
			return
		}
	}
	l.rejected.Add(1)
}

// isRefused reports whether the entry refused the connection, so that nothing was sent.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (l *stopLoad) addExample(description string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.examples) < maxExamples {
		l.examples = append(l.examples, description)
	}
}
