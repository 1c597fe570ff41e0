package rpc

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// packetRetry is when TCP sends a lost opening packet again.
const packetRetry = time.Second

// Guards against a request that waits for its own deadline, and holds up those
// behind it, because the opening packet to a host without power was lost.
func TestDialToASilentHostEndsBeforeTheRequest(t *testing.T) {
	is := is.New(t)
	bound := time.Hour
	c := NewClient(Options{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		if at, ok := ctx.Deadline(); ok {
			bound = time.Until(at)
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, URL("127.0.0.1:1"), nil)
	is.NoErr(err)
	_, err = c.HTTP().Do(r)
	is.True(err != nil)
	is.NoErr(ctx.Err())
	is.True(bound < packetRetry)
}
