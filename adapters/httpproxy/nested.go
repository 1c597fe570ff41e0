package httpproxy

import (
	"sync"
	"time"
)

// FailedNestedCalls records failed calls that the local upstream made to other services while
// it served a call. If the upstream then responds with a failure too, the gate sets
// HeaderFailedBelow on that response, so that services further up the call chain do not retry the
// call, even if the upstream does not pass the header on. Nested calls are matched by the call id,
// which upstreams pass on. It is safe for concurrent use; a nil pointer records nothing.
type FailedNestedCalls struct {
	mu       sync.Mutex
	failedAt map[string]time.Time
}

const (
	nestedFailureTTL  = 10 * time.Second
	maxNestedFailures = 4096
)

// NewFailedNestedCalls returns an empty set, to be shared by the entry and the gate of a node.
func NewFailedNestedCalls() *FailedNestedCalls {
	return &FailedNestedCalls{failedAt: make(map[string]time.Time)}
}

// record records that a call with this id failed. It drops the record if the set is full.
func (f *FailedNestedCalls) record(id string) {
	if f == nil || id == "" {
		return
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.failedAt) >= maxNestedFailures {
		for k, t := range f.failedAt {
			if now.Sub(t) > nestedFailureTTL {
				delete(f.failedAt, k)
			}
		}
	}
	if len(f.failedAt) < maxNestedFailures {
		f.failedAt[id] = now
	}
}

// consume removes the record of the id and reports whether there was one that has not expired.
func (f *FailedNestedCalls) consume(id string) bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.failedAt[id]
	delete(f.failedAt, id)
	return ok && time.Since(t) <= nestedFailureTTL
}
