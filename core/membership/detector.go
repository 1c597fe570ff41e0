package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Settings of failure detection inside a failure domain.
const (
	// SuspicionTimeout is the time in which a suspected member must answer a
	// probe or refute the suspicion with a newer record.
	SuspicionTimeout = 2 * time.Second
	// IndirectProbes is the number of members asked to probe an unresponsive member.
	IndirectProbes = 3
)

// Suspicion describes a member that did not answer, together with the version of
// its record that was known at that time.
type Suspicion struct {
	ID          string
	Incarnation int64
	Sequence    uint64
	Since       time.Time
}

// Detector decides which members to probe and which to declare down.
type Detector struct {
	timeout     time.Duration
	rng         *rand.Rand
	order       []string
	suspected   map[string]Suspicion
	lastContact time.Time
}

// NewDetector returns a Detector that declares a member down after the suspicion
// timeout. rng shuffles the order of probes.
func NewDetector(timeout time.Duration, rng *rand.Rand) *Detector {
	return &Detector{timeout: timeout, rng: rng, suspected: make(map[string]Suspicion)}
}

// NextTarget returns the next member to probe, or false if there are no members. Every
// member is probed once before any is probed again. The order is shuffled for each
// round, so that a member is not probed by all others at the same time.
func (d *Detector) NextTarget(members []string) (string, bool) {
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

// Helpers returns up to IndirectProbes random members, without the target, that
// are asked to probe the target.
func (d *Detector) Helpers(target string, members []string) []string {
	others := slices.DeleteFunc(slices.Clone(members), func(id string) bool { return id == target })
	d.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(IndirectProbes, len(others))]
}

// RecordContact records that another process answered, which shows that this host is not
// isolated from the network.
func (d *Detector) RecordContact(now time.Time) { d.lastContact = now }

// MarkAlive clears the suspicion of a member that answered.
func (d *Detector) MarkAlive(id string, now time.Time) {
	delete(d.suspected, id)
	d.RecordContact(now)
}

// SuspectMember records that a member answered neither a direct nor an indirect probe.
// A suspicion of an older record is replaced, and its timeout starts again.
func (d *Detector) SuspectMember(id string, incarnation int64, sequence uint64, now time.Time) {
	if s, ok := d.suspected[id]; ok && s.Incarnation == incarnation && s.Sequence == sequence {
		return
	}
	d.suspected[id] = Suspicion{ID: id, Incarnation: incarnation, Sequence: sequence, Since: now}
}

// SuspectedMembers returns the sorted ids of the members under suspicion.
func (d *Detector) SuspectedMembers() []string {
	out := make([]string, 0, len(d.suspected))
	for id := range d.suspected {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// TakeExpired removes and returns the suspicions whose timeout has passed. A
// suspicion is kept while no other process has answered since it began, because
// this host may then be the isolated one.
func (d *Detector) TakeExpired(now time.Time) []Suspicion {
	var out []Suspicion
	for _, id := range d.SuspectedMembers() {
		s := d.suspected[id]
		if now.Sub(s.Since) < d.timeout || !d.lastContact.After(s.Since) {
			continue
		}
		delete(d.suspected, id)
		out = append(out, s)
	}
	return out
}
