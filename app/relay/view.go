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
	// maxViews bounds the number of interest sets with cached answers.
	maxViews = 1024
	// viewIdle is how long the answers of an unused interest set are kept.
	viewIdle = 10 * time.Minute
)

// publication is one revision that the relay serves.
type publication struct {
	configuration *pb.Configuration
	at            time.Time
}

// projected is the projection of one revision for one interest set.
type projected struct {
	configuration *pb.Configuration
	hash          uint64
}

// answer is an encoded response, shared by every node that asks from the same base.
type answer struct {
	kind       pb.SyncKind
	revision   uint64
	hash       uint64
	payload    []byte
	compressed bool
}

// view caches the answers for one interest set.
type view struct {
	interests *pb.Interests

	mu       sync.Mutex
	usedAt   time.Time
	revision uint64 // that projections and answers belong to
	current  projected
	bases    map[uint64]projected
	snapshot *answer
	deltas   map[uint64]*answer // by base revision
}

func newView(interests *pb.Interests) *view {
	return &view{interests: proto.Clone(interests).(*pb.Interests)}
}

// history is the published revisions, oldest first, the current one last.
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

// answer returns the smallest answer for a node that has a revision with a hash.
func (v *view) answer(h history, haveRevision, haveHash uint64, snapshot, deltas, compress bool, now time.Time) (*answer, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.usedAt = now
	v.advance(h)
	if !snapshot && haveHash == v.current.hash && (deltas || haveRevision == v.revision) {
		return &answer{kind: pb.SyncKind_SYNC_KIND_UNCHANGED, revision: v.revision, hash: haveHash}, nil
	}
	full, err := v.full(compress)
	if err != nil || snapshot || !deltas || haveRevision == 0 {
		return full, err
	}
	delta, err := v.delta(h, haveRevision, haveHash, compress)
	if err != nil || delta == nil || len(delta.payload) >= len(full.payload) {
		return full, err
	}
	return delta, nil
}

// advance computes the projection of the current revision when it changed. The
// projection before it becomes a base, so that its delta needs no new projection.
func (v *view) advance(h history) {
	c := h.current().configuration
	if v.snapshotOf(c) {
		return
	}
	bases := make(map[uint64]projected)
	if v.current.configuration != nil {
		bases[v.revision] = v.current
	}
	p := config.Project(c, v.interests)
	v.current = projected{configuration: p, hash: config.Hash(p)}
	v.revision, v.bases, v.snapshot, v.deltas = c.GetRevision(), bases, nil, make(map[uint64]*answer)
}

func (v *view) snapshotOf(c *pb.Configuration) bool {
	return v.current.configuration != nil && v.revision >= c.GetRevision()
}

func (v *view) full(compress bool) (*answer, error) {
	if v.snapshot != nil {
		return v.snapshot, nil
	}
	payload, compressed, err := config.Encode(v.current.configuration, compress)
	if err != nil {
		return nil, err
	}
	v.snapshot = &answer{
		kind: pb.SyncKind_SYNC_KIND_SNAPSHOT, revision: v.revision, hash: v.current.hash,
		payload: payload, compressed: compressed,
	}
	return v.snapshot, nil
}

// delta returns nil when the base is not known or has other content than the node has.
func (v *view) delta(h history, revision, hash uint64, compress bool) (*answer, error) {
	base, ok := v.base(h, revision)
	if !ok || base.hash != hash {
		return nil, nil
	}
	if d := v.deltas[revision]; d != nil {
		return d, nil
	}
	payload, compressed, err := config.Encode(config.Diff(base.configuration, v.current.configuration), compress)
	if err != nil {
		return nil, err
	}
	d := &answer{
		kind: pb.SyncKind_SYNC_KIND_DELTA, revision: v.revision, hash: v.current.hash,
		payload: payload, compressed: compressed,
	}
	v.deltas[revision] = d
	return d, nil
}

func (v *view) base(h history, revision uint64) (projected, bool) {
	if b, ok := v.bases[revision]; ok {
		return b, true
	}
	p, ok := h.find(revision)
	if !ok {
		return projected{}, false
	}
	c := config.Project(p.configuration, v.interests)
	b := projected{configuration: c, hash: config.Hash(c)}
	v.bases[revision] = b
	return b, true
}

// views holds the views by interest key.
type views struct {
	mu    sync.Mutex
	byKey map[string]*view
}

func (v *views) get(interests *pb.Interests) *view {
	key := config.InterestKey(interests)
	v.mu.Lock()
	defer v.mu.Unlock()
	found := v.byKey[key]
	if found == nil {
		found = newView(interests)
		v.byKey[key] = found
	}
	return found
}

// trim drops views that were not used for a while, and the least recently used above the bound.
func (v *views) trim(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	type use struct {
		key string
		at  time.Time
	}
	var uses []use
	for key, w := range v.byKey {
		w.mu.Lock()
		uses = append(uses, use{key, w.usedAt})
		w.mu.Unlock()
	}
	slices.SortFunc(uses, func(a, b use) int { return b.at.Compare(a.at) })
	for i, u := range uses {
		if i >= maxViews || now.Sub(u.at) > viewIdle {
			delete(v.byKey, u.key)
		}
	}
}
