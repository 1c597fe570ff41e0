package callbench

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Poison holds the effects of a request that crashes every upstream that runs it.
type Poison struct {
	Variant   string `json:"variant"`
	Upstreams int    `json:"upstreams"`
	Sent      int    `json:"sent_by_caller"`
	Crashed   int    `json:"crashed_upstreams"`
	// NeighboursAnswered is the fraction of the other calls that were answered with 200.
	NeighboursAnswered float64 `json:"neighbours_answered"`
}

const (
	poisonUpstreams  = 8
	poisonSent       = 20
	poisonNeighbours = 6 // concurrent callers of other requests
	poisonBody       = "poison"
)

func measurePoison(o Options, baseline bool) (Poison, error) {
	m, err := newMesh(baseline, &pb.Limits{Slots: slots, MaxQueue: 64, MaxConnections: 4096}, 0)
	if err != nil {
		return Poison{}, err
	}
	defer m.close()
	for i := range poisonUpstreams {
		if _, err := m.addNode(o.Seed + uint64(i)); err != nil {
			return Poison{}, err
		}
	}
	for _, n := range m.nodes {
		var u *upstream
		u, err = n.addUpstream(slots, slots, 2*time.Millisecond, func(ctx *fasthttp.RequestCtx) {
			if string(ctx.PostBody()) == poisonBody {
				u.kill()
			}
		})
		if err != nil {
			return Poison{}, err
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered, sent := 0, 0
	for i := range poisonNeighbours {
		c := newCaller(m.nodes[i%len(m.nodes)].entryAddr)
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := c.call("/climb", string(rune('a'+i)), 0)
				mu.Lock()
				sent++
				if r.status == fasthttp.StatusOK {
					answered++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	for i := range poisonSent {
		newCaller(m.nodes[i%len(m.nodes)].entryAddr).call("/climb", poisonBody, 0)
	}
	close(stop)
	wg.Wait()
	out := Poison{Variant: variant(baseline), Upstreams: poisonUpstreams, Sent: poisonSent}
	for _, u := range m.upstreams {
		if u.killed.Load() {
			out.Crashed++
		}
	}
	out.NeighboursAnswered = float64(answered) / float64(max(sent, 1))
	return out, nil
}
