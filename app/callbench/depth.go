package callbench

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/httpproxy"
	"github.com/rattanfield/rattanfield/core/retry"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Amplification of nested calls with failures.
type Amplification struct {
	Variant  string `json:"variant"`
	Depth    int    `json:"depth"`
	Failures string `json:"failures"`
	Calls    int    `json:"calls"`
	// PerLayer is the largest number of attempts per call that a layer was asked for.
	PerLayer float64 `json:"attempts_per_call_and_layer"`
	// Total is the largest number of attempts at a layer per call of the caller.
	Total    float64 `json:"attempts_at_a_layer_per_call"`
	Answered float64 `json:"answered"`
	Seconds  float64 `json:"seconds"`
}

const (
	depthCalls   = 2000
	depthCallers = 24
	failureShare = 0.1
	// The baseline multiplies by 3 per layer; deeper chains would not end.
	baselineDepth = 7
	depthSlots    = 2000 // nested calls hold a slot in each layer
)

// nested is the handler of all layers: it fails, answers, or calls the next layer.
type nested struct {
	depth    int
	lastOnly bool
	seed     uint64
	logical  []atomic.Int64
	attempts []atomic.Int64
	first    *caller
	mu       sync.Mutex
	random   *rand.Rand
}

// handler of the upstream of one node serves /climb/<layer>/<call>. It calls the
// next layer through the entry of its node, as upstreams do.
func (n *nested) handler(entry *caller) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) { n.handle(ctx, entry) }
}

func (n *nested) handle(ctx *fasthttp.RequestCtx, entry *caller) {
	parts := strings.Split(string(ctx.Path()), "/")
	layer, _ := strconv.Atoi(parts[2])
	n.attempts[layer].Add(1)
	if n.fails(layer, parts[3]) {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if layer+1 == n.depth {
		return
	}
	n.logical[layer+1].Add(1)
	h := &ctx.Request.Header
	r := entry.call("/climb/"+strconv.Itoa(layer+1)+"/"+parts[3], "", 0,
		httpproxy.HeaderCallID, string(h.Peek(httpproxy.HeaderCallID)),
		httpproxy.HeaderDepth, string(h.Peek(httpproxy.HeaderDepth)),
		httpproxy.HeaderDeadline, string(h.Peek(httpproxy.HeaderDeadline)))
	if r.status != fasthttp.StatusOK {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError) // as upstreams do, without a mark of their own
	}
}

// fails draws for each attempt of each layer, or once per call for the last layer.
func (n *nested) fails(layer int, call string) bool {
	if !n.lastOnly {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.random.Float64() < failureShare
	}
	id, _ := strconv.ParseUint(call, 10, 64)
	return layer+1 == n.depth && rand.New(rand.NewPCG(n.seed, id)).Float64() < failureShare
}

func measureDepth(o Options, baseline bool) ([]Amplification, error) {
	depth := retry.MaxDepth
	if baseline {
		depth = baselineDepth
	}
	var out []Amplification
	for _, lastOnly := range []bool{false, true} {
		a, err := measureChain(o, baseline, depth, lastOnly)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

func measureChain(o Options, baseline bool, depth int, lastOnly bool) (Amplification, error) {
	m, err := newMesh(baseline, &pb.Limits{Slots: depthSlots, MaxQueue: depthSlots, MaxConnections: 4096}, depth)
	if err != nil {
		return Amplification{}, err
	}
	defer m.close()
	h := &nested{
		depth: depth, lastOnly: lastOnly, seed: o.Seed, random: rand.New(rand.NewPCG(o.Seed, 28)),
		logical: make([]atomic.Int64, depth), attempts: make([]atomic.Int64, depth),
	}
	for i := range depth { // each layer is a service with an upstream of its own
		n, err := m.addNode(o.Seed + uint64(i))
		if err != nil {
			return Amplification{}, err
		}
		entry := newCaller(n.entryAddr)
		if i == 0 {
			h.first = entry
		}
		if _, err := n.addUpstreamOf(layerService(i), depthSlots, depthSlots, 0, h.handler(entry)); err != nil {
			return Amplification{}, err
		}
	}
	calls := depthCalls
	if baseline {
		calls /= 20
	}
	start := time.Now()
	answered := chainCalls(h, calls)
	took := time.Since(start)
	out := Amplification{Variant: variant(baseline), Depth: depth, Failures: "10% of the attempts at each layer", Calls: calls}
	if lastOnly {
		out.Failures = "10% of the calls, at each attempt at the last layer"
	}
	h.logical[0].Store(int64(calls))
	for i := range h.attempts {
		attempts, logical := float64(h.attempts[i].Load()), float64(h.logical[i].Load())
		if logical >= float64(calls)/10 {
			out.PerLayer = max(out.PerLayer, attempts/logical)
		}
		out.Total = max(out.Total, attempts/float64(calls))
	}
	out.Seconds = took.Seconds()
	out.Answered = float64(answered) / float64(calls)
	return out, nil
}

func chainCalls(h *nested, calls int) int64 {
	var answered, next atomic.Int64
	var wg sync.WaitGroup
	for range depthCallers {
		wg.Go(func() {
			for {
				i := next.Add(1)
				if i > int64(calls) {
					return
				}
				if h.first.call("/climb/0/"+strconv.FormatInt(i, 10), "", 0).status == fasthttp.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return answered.Load()
}
