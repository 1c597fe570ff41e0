package httpproxy

import (
	"sync"
	"time"
)

// BelowMarks remembers calls of the local upstream to other services that
// failed. When the upstream fails because of one, its own failed response is
// marked, so that the layers above do not repeat it, even if the upstream does
// not pass the header on. Upstreams pass on the call id that they received.
type BelowMarks struct {
	mu    sync.Mutex
	marks map[string]time.Time
}

const (
	belowMarkTime = 10 * time.Second
	maxBelowMarks = 4096
)

// NewBelowMarks returns an empty set for the entry and the gate of one node.
func NewBelowMarks() *BelowMarks { return &BelowMarks{marks: make(map[string]time.Time)} }

func (b *BelowMarks) mark(id string) {
	if b == nil || id == "" {
		return
	}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.marks) >= maxBelowMarks {
		for k, t := range b.marks {
			if now.Sub(t) > belowMarkTime {
				delete(b.marks, k)
			}
		}
	}
	if len(b.marks) < maxBelowMarks {
		b.marks[id] = now
	}
}

func (b *BelowMarks) take(id string) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.marks[id]
	delete(b.marks, id)
	return ok && time.Since(t) <= belowMarkTime
}
