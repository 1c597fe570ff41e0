package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Settings of failure detection inside a failure domain.
const (
	// SuspicionTimeout is the time that a member has to answer or to refute.
	SuspicionTimeout = 2 * time.Second
	// IndirectProbes is the number of members asked to probe one that does not answer.
	IndirectProbes = 3
)

// Suspicion is a member that did not answer, at the record that was observed.
type Suspicion struct {
	ID          string
	Incarnation int64
	Sequence    uint64
	Since       time.Time
}

// Detector decides whom to probe and whom to declare down.
type Detector struct {
	timeout   time.Duration
	rng       *rand.Rand
	order     []string
	suspected map[string]Suspicion
	lastHeard time.Time
}

// NewDetector returns a detector with a suspicion timeout; rng decides the order of probes.
func NewDetector(timeout time.Duration, rng *rand.Rand) *Detector {
	return &Detector{timeout: timeout, rng: rng, suspected: make(map[string]Suspicion)}
}

// Next returns the member to probe. Every member is probed once before any is
// probed again; the order is shuffled for each round, so that members are not
// probed by all others at once.
func (d *Detector) Next(members []string) (string, bool) {
	for len(d.order) > 0 {
		id := d.order[0]
		d.order = d.order[1:]
		if slices.Contains(members, id) {
			return id, true
		}
	}
	if len(members) == 0 {
		return "", false
	}
	d.order = slices.Clone(members)
	d.rng.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
	id := d.order[0]
	d.order = d.order[1:]
	return id, true
}

// Helpers returns members that probe the target indirectly.
func (d *Detector) Helpers(target string, members []string) []string {
	others := slices.DeleteFunc(slices.Clone(members), func(id string) bool { return id == target })
	d.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(IndirectProbes, len(others))]
}

// Heard notes that some other process answered, which shows that this host is not cut off.
func (d *Detector) Heard(now time.Time) { d.lastHeard = now }

// Alive ends the suspicion of a member that answered.
func (d *Detector) Alive(id string, now time.Time) {
	delete(d.suspected, id)
	d.Heard(now)
}

// Suspect notes that a member answered neither directly nor indirectly. A
// suspicion of an older record is replaced and its time starts again.
func (d *Detector) Suspect(id string, incarnation int64, sequence uint64, now time.Time) {
	if s, ok := d.suspected[id]; ok && s.Incarnation == incarnation && s.Sequence == sequence {
		return
	}
	d.suspected[id] = Suspicion{ID: id, Incarnation: incarnation, Sequence: sequence, Since: now}
}

// Suspected returns the members under suspicion, sorted.
func (d *Detector) Suspected() []string {
	out := make([]string, 0, len(d.suspected))
	for id := range d.suspected {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Expired returns, and forgets, the suspicions whose time is over. A host that
// heard nobody since a suspicion began is itself cut off and declares nothing.
func (d *Detector) Expired(now time.Time) []Suspicion {
	var out []Suspicion
	for _, id := range d.Suspected() {
		s := d.suspected[id]
		if now.Sub(s.Since) < d.timeout || !d.lastHeard.After(s.Since) {
			continue
		}
		delete(d.suspected, id)
		out = append(out, s)
	}
	return out
}
