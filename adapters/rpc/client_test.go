package rpc

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// synRetransmission is the time after which TCP retransmits a lost SYN.
const synRetransmission = time.Second

// Guards against a request that waits until its own deadline, and delays the
// requests queued behind it, because a host without power does not answer the SYN.
func TestDialToUnresponsiveHostTimesOut(t *testing.T) {
	is := is.New(t)
	dialTime := time.Hour
	c := NewClient(Options{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		if deadline, ok := ctx.Deadline(); ok {
			dialTime = time.Until(deadline)
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
	is.True(dialTime < synRetransmission)
}
