package floor

import "cmp"

// MaxNodes bounds the memory of a recorder. It is above the fleet of the design
// target, so that eviction happens only after a long time of churn.
const MaxNodes = 4096

// Answer of a recorder about one node.
type Answer struct {
	Known bool   // the recorder has a floor for the node
	Floor uint64 // lower bound that the node must respect
	// Complete is false while the recorder may have forgotten a floor, because it
	// restarted and has not seen a confirmed revision since.
	Complete bool
	// OwnRevision is the revision that the recorder itself has applied.
	OwnRevision uint64
}

// Counts reports an answer of a recorder that forgot nothing. What an
// incomplete recorder knows raises the floor but is not counted: it may be a
// late repetition that arrived after a higher floor was lost with its restart.
func (a Answer) Counts() bool { return a.Complete }

// Recorder is the memory of one process.
type Recorder struct {
	floors   map[string]uint64
	base     uint64
	complete bool
	limit    int
}

// NewRecorder returns an empty, incomplete recorder for at most limit nodes.
func NewRecorder(limit int) *Recorder {
	return &Recorder{floors: make(map[string]uint64), limit: limit}
}

// Confirm tells the recorder of a revision that a quorum confirmed after the
// recorder started. Everything that it recorded before its start is at most this
// revision, so from now on it answers with it for nodes that it does not know.
// Later calls change nothing.
func (r *Recorder) Confirm(revision uint64) {
	if r.complete {
		return
	}
	r.complete = true
	r.base = max(r.base, revision)
}

// Complete reports whether a confirmed revision was seen since the start.
func (r *Recorder) Complete() bool { return r.complete }

// Record remembers the revision that a node is about to apply and returns the
// highest one recorded for it.
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

// Read answers for one node.
func (r *Recorder) Read(node string) Answer {
	floor, known := r.floors[node]
	if !r.complete && r.base == 0 {
		return Answer{Known: known, Floor: floor}
	}
	return Answer{Known: known, Floor: max(floor, r.base), Complete: r.complete}
}

// evict drops the lowest floor and keeps its value as the bound for every node
// that is not known, so that forgetting never lowers a floor.
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
