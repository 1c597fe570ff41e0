package floor

import "cmp"

// MaxNodes limits the number of nodes that a recorder keeps a floor for. It is
// larger than the number of nodes the system is designed for, so floors are
// evicted only after many nodes have come and gone.
const MaxNodes = 4096

// Answer is the answer of a recorder about one node.
type Answer struct {
	Known bool   // the recorder has a floor for the node
	Floor uint64 // the node must not apply a lower revision
	// Complete is false while the recorder may lack a floor, because it was
	// restarted and has not seen a confirmed revision since then.
	Complete bool
	// OwnRevision is the revision that the process of the recorder has applied. Read does not set
	// it; it is filled in from the response of that process.
	OwnRevision uint64
}

// Counts reports whether the answer counts toward the quorum. An answer of an
// incomplete recorder can raise the floor but does not count: its floor may come
// from a late retry that arrived after the restart had erased a higher floor.
func (a Answer) Counts() bool { return a.Complete }

// Recorder holds the floors that one process has recorded, in memory.
type Recorder struct {
	floors   map[string]uint64
	base     uint64 // lower bound of every floor, including those of unknown nodes
	complete bool
	limit    int
}

// NewRecorder returns an empty, incomplete recorder for at most limit nodes.
func NewRecorder(limit int) *Recorder {
	return &Recorder{floors: make(map[string]uint64), limit: limit}
}

// Confirm passes the recorder a revision that a quorum confirmed after the
// recorder was started. Every floor that was recorded before the start is at most
// this revision, so the recorder can use it as the floor of nodes that it does
// not know. Only the first call has an effect.
func (r *Recorder) Confirm(revision uint64) {
	if r.complete {
		return
	}
	r.complete = true
	r.base = max(r.base, revision)
}

// Complete reports whether Confirm has been called since the start.
func (r *Recorder) Complete() bool { return r.complete }

// Record stores the revision that a node is about to apply and returns the
// highest one recorded for it. It returns 0 and stores nothing if node is empty.
func (r *Recorder) Record(node string, revision uint64) uint64 {
	if node == "" {
		return 0
	}
	floor := max(r.floors[node], revision)
	r.floors[node] = floor
	if len(r.floors) > r.limit {
		r.evict()
	}
	return floor
}

// Read returns the answer for one node. Known tells whether a floor is recorded
// for the node itself. Floor is never below the bound that covers nodes that the
// recorder does not know.
func (r *Recorder) Read(node string) Answer {
	floor, known := r.floors[node]
	if !r.complete && r.base == 0 {
		return Answer{Known: known, Floor: floor}
	}
	return Answer{Known: known, Floor: max(floor, r.base), Complete: r.complete}
}

// evict removes the lowest floor. Its value becomes a lower bound for all nodes
// that are not known, so that an eviction never lowers a floor.
func (r *Recorder) evict() {
	var lowest string
	found := false
	for node, floor := range r.floors {
		if !found || cmp.Or(cmp.Compare(floor, r.floors[lowest]), cmp.Compare(node, lowest)) < 0 {
			lowest, found = node, true
		}
	}
	r.base = max(r.base, r.floors[lowest])
	delete(r.floors, lowest)
}
