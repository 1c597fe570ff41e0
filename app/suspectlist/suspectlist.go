// Package suspectlist holds the suspects of a node, which its entry, its gate and its connection to the control hosts share.
package suspectlist

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanfield/rattanfield/core/suspects"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// List is a suspects.Registry for concurrent use.
type List struct {
	onChange func()
	records  atomic.Int64

	mu       sync.Mutex
	registry *suspects.Registry
}

// New returns an empty list. onChange is called after changes that other processes need from this one, and must not block.
func New(onChange func()) *List { return &List{onChange: onChange, registry: suspects.New()} }

// Len returns the number of records.
func (l *List) Len() int { return int(l.records.Load()) }

// Count returns the number of requests that are handled in a way.
func (l *List) Count(h suspects.Handling) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.Count(time.Now(), h)
}

// update runs f with the registry, which returns whether others need a change.
func (l *List) update(f func(now time.Time, r *suspects.Registry) bool) {
	l.mu.Lock()
	changed := f(time.Now(), l.registry)
	l.records.Store(int64(l.registry.Len()))
	l.mu.Unlock()
	if changed {
		l.onChange()
	}
}

// Decide returns how a request with this fingerprint may run.
func (l *List) Decide(fingerprint uint64) suspects.Decision {
	if l.Len() == 0 {
		return suspects.Decision{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.Decide(time.Now(), fingerprint)
}

// Ended records the end of an upstream and returns the fingerprints of the requests that it counts for.
func (l *List) Ended(upstream, service string, inProgress []uint64) (counted []uint64) {
	l.update(func(now time.Time, r *suspects.Registry) bool {
		before := r.Version()
		counted = r.Ended(now, upstream, service, inProgress)
		return r.Version() > before
	})
	return counted
}

// Completed records that an upstream has answered a request, other than with a failure. It reports whether that cleared a suspect.
func (l *List) Completed(fingerprint uint64) (cleared bool) {
	l.update(func(now time.Time, r *suspects.Registry) bool {
		cleared = r.Completed(now, fingerprint)
		return cleared
	})
	return cleared
}

// Merge applies records of control hosts.
func (l *List) Merge(records []*pb.SuspectRequest) {
	if len(records) == 0 {
		return
	}
	l.update(func(now time.Time, r *suspects.Registry) bool {
		before := r.OwnVersion()
		r.Merge(now, records, false)
		return r.OwnVersion() > before
	})
}

// MergeFromNode applies the record of another node, which control hosts may not have.
func (l *List) MergeFromNode(record *pb.SuspectRequest) {
	l.update(func(now time.Time, r *suspects.Registry) bool {
		return r.Merge(now, []*pb.SuspectRequest{record}, true)
	})
}

// Record returns the record of a request, or nil.
func (l *List) Record(fingerprint uint64) *pb.SuspectRequest {
	if l.Len() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.Record(time.Now(), fingerprint)
}

// OwnSince returns the records that control hosts need from this node and that changed after a version, and the present
// version.
func (l *List) OwnSince(version uint64) ([]*pb.SuspectRequest, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.OwnSince(time.Now(), version), l.registry.OwnVersion()
}
