package lifecycle

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a restarted process that ends because the socket of its predecessor is not
// closed yet.
func TestListenWaitsForTheAddress(t *testing.T) {
	is := is.New(t)
	old, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	time.AfterFunc(100*time.Millisecond, func() { _ = old.Close() })
	l, err := Listen(old.Addr().String())
	is.NoErr(err)
	is.NoErr(l.Close())
}

func TestListenReturnsOtherErrorsAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := Listen("no address")
	is.True(err != nil)
}
