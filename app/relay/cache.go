package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// maxCaches limits the number of interest sets with cached responses.
	maxCaches = 1024
	// cacheIdleTTL is how long the responses of an unused interest set are kept.
	cacheIdleTTL = 10 * time.Minute
)

// publication is one published revision and the time of its publication.
type publication struct {
	configuration *pb.Configuration
	at            time.Time
}

// projection is the projection of one revision to one interest set.
type projection struct {
	configuration *pb.Configuration
	hash          uint64
}

// answer is an encoded response, shared by all nodes that have the same base revision.
type answer struct {
	kind       pb.SyncKind
	revision   uint64
	hash       uint64
	payload    []byte
	compressed bool
}

// responseCache caches the responses for one interest set.
type responseCache struct {
	interests *pb.Interests

	mu       sync.Mutex
	usedAt   time.Time
	revision uint64 // revision of current, snapshot and deltas
	current  projection
	bases    map[uint64]projection
	snapshot *answer
	deltas   map[uint64]*answer // by base revision
}

func newResponseCache(interests *pb.Interests) *responseCache {
	return &responseCache{interests: proto.Clone(interests).(*pb.Interests)}
}

// history holds the published revisions in ascending order; the last one is current.
type history []publication

func (h history) current() publication { return h[len(h)-1] }

func (h history) find(revision uint64) (publication, bool) {
	i, found := slices.BinarySearchFunc(h, revision, func(p publication, r uint64) int {
		return cmp.Compare(p.configuration.GetRevision(), r)
	})
	if !found {
		return publication{}, false
	}
	return h[i], true
}

// answer returns the smallest response for a node that has the given revision and hash.
// A snapshot is returned if the node asks for one, or if deltas is false.
func (rc *responseCache) answer(h history, haveRevision, haveHash uint64, snapshot, deltas, compress bool, now time.Time) (*answer, error) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.usedAt = now
	rc.update(h)
	if !snapshot && haveHash == rc.current.hash && (deltas || haveRevision == rc.revision) {
		return &answer{kind: pb.SyncKind_SYNC_KIND_UNCHANGED, revision: rc.revision, hash: haveHash}, nil
	}
	full, err := rc.full(compress)
	if err != nil || snapshot || !deltas || haveRevision == 0 {
		return full, err
	}
	delta, err := rc.delta(h, haveRevision, haveHash, compress)
	if err != nil || delta == nil || len(delta.payload) >= len(full.payload) {
		return full, err
	}
	return delta, nil
}

// update computes the projection of the current revision if it changed. The previous
// projection is kept as a base, so that the delta from it needs no second projection.
func (rc *responseCache) update(h history) {
	c := h.current().configuration
	if rc.isUpToDate(c) {
		return
	}
	bases := make(map[uint64]projection)
	if rc.current.configuration != nil {
		bases[rc.revision] = rc.current
	}
	p := config.Project(c, rc.interests)
	rc.current = projection{configuration: p, hash: config.Hash(p)}
	rc.revision, rc.bases, rc.snapshot, rc.deltas = c.GetRevision(), bases, nil, make(map[uint64]*answer)
}

// isUpToDate reports whether the cache is as new as the configuration.
func (rc *responseCache) isUpToDate(c *pb.Configuration) bool {
	return rc.current.configuration != nil && rc.revision >= c.GetRevision()
}

// full returns the snapshot of the current projection.
func (rc *responseCache) full(compress bool) (*answer, error) {
	if rc.snapshot != nil {
		return rc.snapshot, nil
	}
	payload, compressed, err := config.Encode(rc.current.configuration, compress)
	if err != nil {
		return nil, err
	}
	rc.snapshot = &answer{
		kind: pb.SyncKind_SYNC_KIND_SNAPSHOT, revision: rc.revision, hash: rc.current.hash,
		payload: payload, compressed: compressed,
	}
	return rc.snapshot, nil
}

// delta returns the delta from a base revision, or nil if the base is not known or
// differs in content from what the node has.
func (rc *responseCache) delta(h history, revision, hash uint64, compress bool) (*answer, error) {
	base, ok := rc.base(h, revision)
	if !ok || base.hash != hash {
		return nil, nil
	}
	if d := rc.deltas[revision]; d != nil {
		return d, nil
	}
	payload, compressed, err := config.Encode(config.Diff(base.configuration, rc.current.configuration), compress)
	if err != nil {
		return nil, err
	}
	d := &answer{
		kind: pb.SyncKind_SYNC_KIND_DELTA, revision: rc.revision, hash: rc.current.hash,
		payload: payload, compressed: compressed,
	}
	rc.deltas[revision] = d
	return d, nil
}

// base returns the projection of a revision of the history, or false if it is not kept.
func (rc *responseCache) base(h history, revision uint64) (projection, bool) {
	if b, ok := rc.bases[revision]; ok {
		return b, true
	}
	p, ok := h.find(revision)
	if !ok {
		return projection{}, false
	}
	c := config.Project(p.configuration, rc.interests)
	b := projection{configuration: c, hash: config.Hash(c)}
	rc.bases[revision] = b
	return b, true
}

// responseCaches holds the caches by the key of their interest set.
type responseCaches struct {
	mu    sync.Mutex
	byKey map[string]*responseCache
}

// get returns the cache for an interest set, and creates it if there is none.
func (rc *responseCaches) get(interests *pb.Interests) *responseCache {
	key := config.InterestKey(interests)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	found := rc.byKey[key]
	if found == nil {
		found = newResponseCache(interests)
		rc.byKey[key] = found
	}
	return found
}

// trim drops the caches that have not been used for cacheIdleTTL, and the least recently
// used ones beyond maxCaches.
func (rc *responseCaches) trim(now time.Time) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	type use struct {
		key string
		at  time.Time
	}
	var uses []use
	for key, cache := range rc.byKey {
		cache.mu.Lock()
		uses = append(uses, use{key, cache.usedAt})
		cache.mu.Unlock()
	}
	slices.SortFunc(uses, func(a, b use) int { return b.at.Compare(a.at) })
	for i, u := range uses {
		if i >= maxCaches || now.Sub(u.at) > cacheIdleTTL {
			delete(rc.byKey, u.key)
		}
	}
}
