package carry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards: a request that comes again counts from the client's first one, and one
// client with more patience than the others does not make all of them late.
func TestPatience(t *testing.T) {
	is := is.New(t)
	p := patience{longest: make(map[string]time.Duration)}
	is.Equal(p.waited("r", 2*time.Second), time.Duration(0))
	is.Equal(p.waited("r", 2*time.Second), time.Duration(0))
	is.Equal(p.waited("r", 1800*time.Millisecond), 200*time.Millisecond)
	is.Equal(p.waited("other", time.Second), time.Duration(0))
	is.Equal(p.waited("r", 10*time.Second), time.Duration(0))
	for range 10 * patienceFade {
		p.waited("r", 2*time.Second)
	}
	is.Equal(p.waited("r", 2*time.Second), time.Duration(0))
}
