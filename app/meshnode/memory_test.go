package meshnode

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
)

// Guards against connections to other nodes or to the upstream whose buffers the account of the process does not include.
func TestOutgoingConnectionsCountInTheAccount(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	o := Options{PeerAddress: "127.0.0.1:1"}
	r := newResources(o)
	p := newPools(o, r)
	for _, pool := range []*meshhttp.Pool{p.gates, p.upstream} {
		before, _, _ := r.Account.Counts()
		is.NoErr(pool.Preconnect(context.Background(), l.Addr().String()))
		after, _, _ := r.Account.Counts()
		is.True(after > before)
	}
}
