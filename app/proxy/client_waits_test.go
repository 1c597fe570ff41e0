package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Checks that the time of a retried request counts from the client's first attempt,
// and that one client that waits longer than the others does not make all of them
// look late for good.
func TestClientWaits(t *testing.T) {
	is := is.New(t)
	w := clientWaits{longestRemaining: make(map[string]time.Duration)}
	is.Equal(w.waited("r", 2*time.Second), time.Duration(0))
	is.Equal(w.waited("r", 2*time.Second), time.Duration(0))
	is.Equal(w.waited("r", 1800*time.Millisecond), 200*time.Millisecond)
	is.Equal(w.waited("other", time.Second), time.Duration(0))
	is.Equal(w.waited("r", 10*time.Second), time.Duration(0))
	for range 10 * longestDecay {
		w.waited("r", 2*time.Second)
	}
	is.Equal(w.waited("r", 2*time.Second), time.Duration(0))
}
