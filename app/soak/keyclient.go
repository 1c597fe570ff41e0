package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

const (
	keyClientsPerNode = 1
	keyInterval       = 40 * time.Millisecond // between the requests of a client with keys
	// claimed is the organisation that clients claim to belong to.
	claimed = "claimed"
)

// keyClient sends requests with keys until the context ends.
func (r *run) keyClient(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(r.options.Seed, 1<<42+uint64(n)))
	node := n % len(r.nodes)
	c := platformtest.NewClient(platformtest.EntryAddress(r.nodes[node].host.IP))
	for i := 0; ctx.Err() == nil; i++ {
		r.sendWithKeys(c, node, r.keys.choose(random), fmt.Sprintf("%d-%d", n, i), random)
		time.Sleep(keyInterval)
	}
}

// sendWithKeys sends a request to a node and records it. Half of the requests may run at most once. It reports whether an answer came.
func (r *run) sendWithKeys(c *fasthttp.HostClient, node int, k *credentials, name string, random *rand.Rand) bool {
	write := random.IntN(2) == 0
	id, path := keyedPrefix+name, platformtest.KeyReadPath
	if write {
		id, path = keyedWritePrefix+name, platformtest.KeyWritePath
	}
	if k.use == publicUse {
		path = platformtest.ReadPath
		if write {
			path = platformtest.WritePath
		}
	}
	organisation := ""
	if random.IntN(2) == 0 {
		organisation = claimed
	}
	at := time.Now()
	a := platformtest.SendWithKeys(c, path+id, id, organisation, k.sent, clientTimeout)
	r.observations.recordSending(sending{id: id, node: node, at: at, ended: time.Now(), status: a.Status, credentials: k})
	r.checks.recordAnswer(id, node, a)
	return a.Status != 0
}
