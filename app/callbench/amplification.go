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

// Amplification is the number of attempts that failures of nested calls cause.
type Amplification struct {
	Variant  string `json:"variant"`
	Depth    int    `json:"depth"`
	Failures string `json:"failures"`
	Calls    int    `json:"calls"`
	// PerLayer is the maximum over the layers of attempts per call to the layer. Layers that
	// got fewer calls than a tenth of Calls are left out.
	PerLayer float64 `json:"attempts_per_call_and_layer"`
	// Total is the maximum over the layers of attempts at the layer per call of the caller.
	Total    float64 `json:"attempts_at_a_layer_per_call"`
	Answered float64 `json:"answered"` // fraction of the calls
	Seconds  float64 `json:"seconds"`
}

const (
	depthCalls   = 2000
	depthCallers = 24
	failureShare = 0.1
	// The baseline multiplies the attempts by 3 per layer; deeper chains would not finish.
	baselineDepth = 7
	depthSlots    = 2000 // large, because nested calls hold a slot in each layer
)

// chainHandler handles the requests of all layers: it fails, answers or calls the next layer.
type chainHandler struct {
	depth           int
	failLastOnly    bool // else each attempt at each layer may fail
	seed            uint64
	callsByLayer    []atomic.Int64
	attemptsByLayer []atomic.Int64
	firstEntry      *caller
	mu              sync.Mutex
	random          *rand.Rand
}

// handler returns the handler of the upstream of one node, which serves
// /climb/<layer>/<call>. It calls the next layer through the entry of its node, as real
// upstreams do.
func (c *chainHandler) handler(entry *caller) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) { c.handle(ctx, entry) }
}

func (c *chainHandler) handle(ctx *fasthttp.RequestCtx, entry *caller) {
	segments := strings.Split(string(ctx.Path()), "/")
	layer, _ := strconv.Atoi(segments[2])
	c.attemptsByLayer[layer].Add(1)
	if c.fails(layer, segments[3]) {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if layer+1 == c.depth {
		return
	}
	c.callsByLayer[layer+1].Add(1)
	h := &ctx.Request.Header
	r := entry.call("/climb/"+strconv.Itoa(layer+1)+"/"+segments[3], "", 0,
		httpproxy.HeaderCallID, string(h.Peek(httpproxy.HeaderCallID)),
		httpproxy.HeaderDepth, string(h.Peek(httpproxy.HeaderDepth)),
		httpproxy.HeaderDeadline, string(h.Peek(httpproxy.HeaderDeadline)))
	if r.status != fasthttp.StatusOK {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError) // as real upstreams do; they set no headers of the mesh
	}
}

// fails decides whether an attempt fails: at random for each attempt at each layer, or, with
// failLastOnly, once per call at the last layer, so that all attempts of the call fail alike.
func (c *chainHandler) fails(layer int, call string) bool {
	if !c.failLastOnly {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.random.Float64() < failureShare
	}
	id, _ := strconv.ParseUint(call, 10, 64)
	return layer+1 == c.depth && rand.New(rand.NewPCG(c.seed, id)).Float64() < failureShare
}

// measureDepth measures a chain of nested calls for both kinds of failures.
func measureDepth(o Options, baseline bool) ([]Amplification, error) {
	depth := retry.MaxDepth
	if baseline {
		depth = baselineDepth
	}
	var out []Amplification
	for _, failLastOnly := range []bool{false, true} {
		a, err := measureChain(o, baseline, depth, failLastOnly)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

// measureChain sends calls through a chain of depth services, each with its own node and
// upstream.
func measureChain(o Options, baseline bool, depth int, failLastOnly bool) (Amplification, error) {
	m, err := newMesh(baseline, &pb.Limits{Slots: depthSlots, MaxQueue: depthSlots, MaxConnections: 4096}, depth)
	if err != nil {
		return Amplification{}, err
	}
	defer m.close()
	h := &chainHandler{
		depth: depth, failLastOnly: failLastOnly, seed: o.Seed, random: rand.New(rand.NewPCG(o.Seed, 28)),
		callsByLayer: make([]atomic.Int64, depth), attemptsByLayer: make([]atomic.Int64, depth),
	}
	for i := range depth { // each layer is a service with its own node and upstream
		n, err := m.addNode(o.Seed + uint64(i))
		if err != nil {
			return Amplification{}, err
		}
		entry := newCaller(n.entryAddr)
		if i == 0 {
			h.firstEntry = entry
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
	answered := sendChainCalls(h, calls)
	took := time.Since(start)
	out := Amplification{Variant: variant(baseline), Depth: depth, Failures: "10% of the attempts at each layer", Calls: calls}
	if failLastOnly {
		out.Failures = "10% of the calls, at each attempt at the last layer"
	}
	h.callsByLayer[0].Store(int64(calls))
	for i := range h.attemptsByLayer {
		layerAttempts, layerCalls := float64(h.attemptsByLayer[i].Load()), float64(h.callsByLayer[i].Load())
		if layerCalls >= float64(calls)/10 {
			out.PerLayer = max(out.PerLayer, layerAttempts/layerCalls)
		}
		out.Total = max(out.Total, layerAttempts/float64(calls))
	}
	out.Seconds = took.Seconds()
	out.Answered = float64(answered) / float64(calls)
	return out, nil
}

// sendChainCalls sends calls to the first layer and returns how many were answered with 200.
func sendChainCalls(h *chainHandler, calls int) int64 {
	var answered, lastCall atomic.Int64
	var wg sync.WaitGroup
	for range depthCallers {
		wg.Go(func() {
			for {
				i := lastCall.Add(1)
				if i > int64(calls) {
					return
				}
				if h.firstEntry.call("/climb/0/"+strconv.FormatInt(i, 10), "", 0).status == fasthttp.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return answered.Load()
}
