package suspects

import (
	"slices"
	"strings"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// crashesToReject is the number of crashes from which on a request is rejected. Of a request that has completed before,
	// only those count at which it was the only isolated one; after crashesToIsolate of any kind it is isolated.
	crashesToReject  = 2
	crashesToIsolate = 3
	// trialPause is the time from the second crash until the request may run once more. If several requests of a service
	// wait for this trial, the trials are spread over as many pauses, up to maxTrialPauses.
	trialPause     = 5 * time.Second
	maxTrialPauses = 120
	// laterTrialsAfter is the time from the third crash until the next trial. It doubles with each further crash.
	laterTrialsAfter = 10 * time.Minute
	maxDoublings     = 8
	// suspectMemory is how long a crash counts if no further one follows, and rejectionMemory how long the second one does.
	// From the third on it is twice the time until the next trial.
	suspectMemory   = 10 * time.Minute
	rejectionMemory = time.Hour
	// MaxRecords bounds the records of a registry. Requests with fewer crashes are forgotten first, then older ones.
	MaxRecords = 4096
	// maxCrashes bounds the crashes of a record, those that do not count included.
	maxCrashes = 8
	// popularTime is how long before a crash a request must have completed on this host to be cleared of it at once.
	popularTime = 5 * time.Second
	// maxUpstreamName bounds the name of an upstream in a record of another process, in bytes.
	maxUpstreamName = 256
)

// Handling is the way in which a request may run.
type Handling uint8

// The ways to handle a request.
const (
	Run     Handling = iota // on any upstream
	Isolate                 // on one upstream only and beside no other suspect
	Reject                  // not at all
)

func (h Handling) String() string { return [...]string{"run", "isolate", "reject"}[h] }

// Crash is the end of an upstream.
type Crash struct {
	Upstream string // identifies the process of the upstream
	Age      time.Duration
}

// Decision is the handling of a request.
type Decision struct {
	Handling Handling
	// Wait is the time until the request may run again if it is rejected.
	Wait time.Duration
	// Crashes are those that decided it, the oldest first.
	Crashes []Crash
}

type crash struct {
	upstream string
	at       time.Time
	sole     bool // the request was the only one in progress, or the only isolated one
	refuted  bool // the request has completed on another upstream
}

type record struct {
	service string
	crashes []crash // by time
	version uint64  // of the registry at the last change
	own     uint64  // version of the registry at the last change that others need from this process; 0: none
}

// Registry holds the suspects by fingerprint. It is not safe for concurrent use.
type Registry struct {
	records   map[uint64]*record
	waiting   waiting
	version   uint64 // at the last change of a record
	own       uint64 // at the last change that other processes need from this one
	completed completions
}

// New returns an empty registry.
func New() *Registry { return &Registry{records: make(map[uint64]*record)} }

// Len returns the number of records.
func (r *Registry) Len() int { return len(r.records) }

// Version grows with every change of a record.
func (r *Registry) Version() uint64 { return r.version }

// OwnVersion grows with every change that other processes need from this one.
func (r *Registry) OwnVersion() uint64 { return r.own }

// counting returns the crashes that count.
func (rec *record) counting() []crash {
	return slices.DeleteFunc(slices.Clone(rec.crashes), func(c crash) bool { return c.refuted })
}

// last returns the time of the last crash, whether it counts or not.
func (rec *record) last() time.Time { return rec.crashes[len(rec.crashes)-1].at }

// laterTrial returns the time from the last crash until the next trial, from the third crash on.
func laterTrial(crashes int) time.Duration {
	return laterTrialsAfter << min(crashes-crashesToReject-1, maxDoublings)
}

// trialAfter returns the time from the last crash until the request may run once more.
func (r *Registry) trialAfter(now time.Time, fingerprint uint64, service string, crashes int) time.Duration {
	if crashes > crashesToReject {
		return laterTrial(crashes)
	}
	pauses := min(r.waitingForTrial(now)[service], maxTrialPauses)
	return trialPause * time.Duration(1+fingerprint%uint64(max(1, pauses)))
}

// waiting is the number of requests by service that wait for their first trial, at a version of the registry.
type waiting struct {
	version uint64
	count   map[string]int
}

func (r *Registry) waitingForTrial(now time.Time) map[string]int {
	if r.waiting.count == nil || r.waiting.version != r.version {
		r.waiting = waiting{version: r.version, count: make(map[string]int)}
		for f := range r.records {
			if rec := r.live(now, f); rec != nil && r.evidence(rec, now, f) == crashesToReject {
				r.waiting.count[rec.service]++
			}
		}
	}
	return r.waiting.count
}

func memory(crashes int) time.Duration {
	switch {
	case crashes < crashesToReject:
		return suspectMemory
	case crashes == crashesToReject:
		return rejectionMemory
	}
	return 2 * laterTrial(crashes)
}

// hasCompleted reports whether a request is known to have completed, on this host or on another one.
func (r *Registry) hasCompleted(rec *record, now time.Time, fingerprint uint64) bool {
	_, ok := r.completed.last(now, fingerprint)
	return ok || slices.ContainsFunc(rec.crashes, func(c crash) bool { return c.refuted })
}

// evidence returns the number of crashes that count for the rejection of a request.
func (r *Registry) evidence(rec *record, now time.Time, fingerprint uint64) int {
	counting := rec.counting()
	if r.hasCompleted(rec, now, fingerprint) {
		counting = slices.DeleteFunc(counting, func(c crash) bool { return !c.sole })
	}
	return len(counting)
}

// live returns the record of a request, or nil if there is none or it has expired.
func (r *Registry) live(now time.Time, fingerprint uint64) *record {
	rec := r.records[fingerprint]
	if rec != nil && now.Sub(rec.last()) >= memory(len(rec.counting())) {
		delete(r.records, fingerprint)
		return nil
	}
	return rec
}

// Decide returns how a request with this fingerprint may run.
func (r *Registry) Decide(now time.Time, fingerprint uint64) Decision {
	rec := r.live(now, fingerprint)
	if rec == nil {
		return Decision{}
	}
	counting := rec.counting()
	if len(counting) == 0 {
		return Decision{}
	}
	var d Decision
	for _, c := range counting {
		d.Crashes = append(d.Crashes, Crash{Upstream: c.upstream, Age: now.Sub(c.at)})
	}
	evidence := r.evidence(rec, now, fingerprint)
	isolated := evidence > 0 || len(counting) >= crashesToIsolate
	if evidence >= crashesToReject {
		d.Wait = max(0, r.trialAfter(now, fingerprint, rec.service, evidence)-now.Sub(counting[len(counting)-1].at))
	}
	switch {
	case d.Wait > 0:
		d.Handling = Reject
	case isolated:
		d.Handling = Isolate
	}
	return d
}

// Count returns the number of requests that are handled in a way.
func (r *Registry) Count(now time.Time, h Handling) int {
	n := 0
	for f := range r.records {
		if r.Decide(now, f).Handling == h {
			n++
		}
	}
	return n
}

// Ended records that an upstream ended while these requests were in progress, and returns the fingerprints of those that it
// counts for.
func (r *Registry) Ended(now time.Time, upstream, service string, inProgress []uint64) (counted []uint64) {
	fingerprints := slices.Clone(inProgress)
	slices.Sort(fingerprints)
	fingerprints = slices.Compact(fingerprints)
	var isolated []uint64
	for _, f := range fingerprints {
		if r.Decide(now, f).Handling != Run {
			isolated = append(isolated, f)
		}
	}
	if len(fingerprints) == 1 {
		isolated = fingerprints
	}
	for _, f := range fingerprints {
		c := crash{upstream: upstream, at: now, sole: len(isolated) == 1 && isolated[0] == f, refuted: r.completedSinceLastCrash(now, f)}
		if r.add(now, f, service, c) {
			r.changed(f, true)
			if !c.refuted {
				counted = append(counted, f)
			}
		}
	}
	return counted
}

// completedSinceLastCrash reports whether a request has completed on this host recently, and after all crashes before. Then
// it is popular and not the cause of the present one.
func (r *Registry) completedSinceLastCrash(now time.Time, fingerprint uint64) bool {
	at, ok := r.completed.last(now, fingerprint)
	rec := r.live(now, fingerprint)
	return ok && now.Sub(at) < popularTime && (rec == nil || at.After(rec.last()))
}

// Completed records that an upstream has answered a request, other than with a failure. It reports whether that cleared a suspect.
func (r *Registry) Completed(now time.Time, fingerprint uint64) (cleared bool) {
	r.completed.add(now, fingerprint)
	rec := r.live(now, fingerprint)
	if rec == nil {
		return false
	}
	for i := range rec.crashes {
		cleared = cleared || !rec.crashes[i].refuted
		rec.crashes[i].refuted = true
	}
	if cleared {
		r.changed(fingerprint, true)
	}
	return cleared
}

// add adds a crash to the record of a request and reports whether it is new and kept.
func (r *Registry) add(now time.Time, fingerprint uint64, service string, c crash) bool {
	rec := r.live(now, fingerprint)
	if rec == nil {
		if len(r.records) >= MaxRecords {
			r.evict(now)
		}
		rec = &record{service: service}
		r.records[fingerprint] = rec
	}
	if slices.ContainsFunc(rec.crashes, func(other crash) bool { return other.upstream == c.upstream }) {
		return false
	}
	rec.crashes = append(rec.crashes, c)
	slices.SortStableFunc(rec.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	if len(rec.crashes) > maxCrashes {
		drop := max(0, slices.IndexFunc(rec.crashes, func(c crash) bool { return c.refuted }))
		kept := rec.crashes[drop].upstream != c.upstream
		rec.crashes = slices.Delete(rec.crashes, drop, drop+1)
		return kept
	}
	return true
}

// changed gives a record a new version; own tells that others need the change from this process.
func (r *Registry) changed(fingerprint uint64, own bool) {
	r.version++
	rec := r.records[fingerprint]
	rec.version = r.version
	if own {
		rec.own, r.own = r.version, r.version
	}
}

// evict removes an expired record or, if there is none, the one with the fewest crashes, the oldest of these.
func (r *Registry) evict(now time.Time) {
	var victim uint64
	fewest, oldest := -1, now
	for f := range r.records {
		rec := r.live(now, f)
		if rec == nil {
			return // live removed an expired record
		}
		if n := len(rec.counting()); fewest < 0 || n < fewest || n == fewest && rec.last().Before(oldest) {
			victim, fewest, oldest = f, n, rec.last()
		}
	}
	delete(r.records, victim)
}

// Merge applies records of another process and reports whether it changed any. direct tells that processes which exchange
// records with this one need the changes from it; changes that follow from what completed on this host they always need.
func (r *Registry) Merge(now time.Time, records []*pb.SuspectRequest, direct bool) (changed bool) {
	for _, m := range records {
		if r.merge(now, m, direct) {
			changed = true
		}
	}
	return changed
}

func (r *Registry) merge(now time.Time, m *pb.SuspectRequest, direct bool) (changed bool) {
	fingerprint, own := m.GetFingerprint(), direct
	for _, o := range m.GetCrashes()[:min(len(m.GetCrashes()), maxCrashes)] {
		age := time.Duration(o.GetAgeMs()) * time.Millisecond
		if o.GetUpstream() == "" || len(o.GetUpstream()) > maxUpstreamName || age >= memory(maxCrashes) {
			continue
		}
		c := crash{upstream: strings.Clone(o.GetUpstream()), at: now.Add(-age), sole: o.GetSole(), refuted: o.GetRefuted()}
		if at, ok := r.completed.last(now, fingerprint); ok && at.After(c.at) && !c.refuted {
			c.refuted, own = true, true
		}
		if r.add(now, fingerprint, m.GetService(), c) || r.refute(fingerprint, c) {
			changed = true
		}
	}
	if !changed || r.live(now, fingerprint) == nil {
		return false
	}
	r.changed(fingerprint, own)
	return true
}

// refute marks a known crash as refuted if c is, and reports whether it was not before.
func (r *Registry) refute(fingerprint uint64, c crash) bool {
	rec := r.records[fingerprint]
	i := slices.IndexFunc(rec.crashes, func(known crash) bool { return known.upstream == c.upstream })
	if i < 0 || !c.refuted || rec.crashes[i].refuted {
		return false
	}
	rec.crashes[i].refuted = true
	return true
}

// Since returns the records that changed after a version, and all of them for version 0.
func (r *Registry) Since(now time.Time, version uint64) []*pb.SuspectRequest {
	return r.messages(now, func(rec *record) bool { return rec.version > version })
}

// OwnSince returns the records that changed after a version and that other processes need from this one.
func (r *Registry) OwnSince(now time.Time, version uint64) []*pb.SuspectRequest {
	return r.messages(now, func(rec *record) bool { return rec.own > version })
}

// Record returns the record of a request, or nil.
func (r *Registry) Record(now time.Time, fingerprint uint64) *pb.SuspectRequest {
	if rec := r.live(now, fingerprint); rec != nil {
		return rec.message(now, fingerprint)
	}
	return nil
}

func (r *Registry) messages(now time.Time, wanted func(*record) bool) []*pb.SuspectRequest {
	var out []*pb.SuspectRequest
	for f := range r.records {
		if rec := r.live(now, f); rec != nil && wanted(rec) {
			out = append(out, rec.message(now, f))
		}
	}
	return out
}

func (rec *record) message(now time.Time, fingerprint uint64) *pb.SuspectRequest {
	m := &pb.SuspectRequest{Fingerprint: fingerprint, Service: rec.service}
	for _, c := range rec.crashes {
		m.Crashes = append(m.Crashes, &pb.UpstreamCrash{Upstream: c.upstream, AgeMs: uint64(max(0, now.Sub(c.at)).Milliseconds()), Sole: c.sole, Refuted: c.refuted})
	}
	return m
}
