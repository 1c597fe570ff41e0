package calls

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against a node whose connections to gates or to its upstream are not in the account of its listeners.
func TestConnectionsOfANodeCountInOneAccount(t *testing.T) {
	is := is.New(t)
	n := newCluster(t, 1).nodes["n1"]
	n.announce(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
	is.Equal(send(n.entryAddr, "/fares", "", "").status, fasthttp.StatusOK)
	// The read buffers of 16 KiB of the connections from entry to gate (both ends) and from gate to upstream stay.
	const least, most = 32<<10 + 2*(16<<10), 80 << 10
	held := int64(0)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if held, _, _ = n.account.Counts(); held <= most { // the connection of the caller is closed
			break
		}
	}
	is.True(held >= least)
	is.True(held <= most)
}
