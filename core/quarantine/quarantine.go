package quarantine

import (
	"slices"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// SuspectTime is how long a suspect only runs alone if it neither completes nor crashes another upstream.
	SuspectTime = 30 * time.Second
	// crashMemoryTime is how long a first crash counts towards crashesToReject. It is longer than
	// SuspectTime, so that a caller that retries slowly does not crash a third upstream.
	crashMemoryTime = 10 * time.Minute
	// rejectionTime is how long a request stays rejected after the last attempt to send it.
	rejectionTime = 10 * time.Minute
	// crashesToReject is the number of crashes after which a request is rejected.
	crashesToReject = 2
	// maxRecords bounds memory; a crash adds at most as many records as the upstream has slots.
	maxRecords = 4096
)

// Handling is the way in which a request may run.
type Handling uint8

// The ways to handle a request.
const (
	Run      Handling = iota // beside other requests
	RunAlone                 // while no other request runs on the upstream
	Reject                   // not at all
)

type record struct {
	service string
	state   pb.SuspectState
	crashes uint32
	changed time.Time
	touched time.Time // time of the last change or, if rejected, of the last attempt
	// hinted records stand for a crash that the entry that sent the request reported and that the
	// gate at which it happened has yet to report.
	hinted bool
}

// Registry holds the suspect, rejected and cleared requests by fingerprint. It is
// not safe for concurrent use.
type Registry struct {
	records map[uint64]*record
}

// New returns an empty registry.
func New() *Registry { return &Registry{records: make(map[uint64]*record)} }

// Handle decides how a request with this fingerprint may run. hinted is true if
// the entry that sent the request lost the upstream in an earlier attempt of it.
func (r *Registry) Handle(now time.Time, service string, fingerprint uint64, hinted bool) Handling {
	rec := r.live(now, fingerprint)
	if rec == nil && hinted {
		rec = &record{service: service, state: pb.SuspectState_SUSPECT_STATE_SUSPECT, crashes: 1, changed: now, touched: now, hinted: true}
		r.put(now, fingerprint, rec)
	}
	switch {
	case rec == nil:
		return Run
	case rec.state == pb.SuspectState_SUSPECT_STATE_REFUSED:
		rec.touched = now
		return Reject
	case rec.state == pb.SuspectState_SUSPECT_STATE_SUSPECT && now.Sub(rec.changed) < SuspectTime:
		return RunAlone
	default:
		return Run
	}
}

// Crashed records that the upstream crashed while these requests were in flight
// and returns the changed records, which other gates must receive.
func (r *Registry) Crashed(now time.Time, service string, inFlight []uint64) []*pb.SuspectRecord {
	fingerprints := slices.Clone(inFlight)
	slices.Sort(fingerprints)
	var out []*pb.SuspectRecord
	for _, fp := range slices.Compact(fingerprints) { // duplicates of a request count once per crash
		rec := r.live(now, fp)
		if rec == nil || rec.state == pb.SuspectState_SUSPECT_STATE_CLEARED {
			rec = &record{service: service}
			r.put(now, fp, rec)
		}
		rec.crashes++
		rec.state = pb.SuspectState_SUSPECT_STATE_SUSPECT
		if rec.crashes >= crashesToReject {
			rec.state = pb.SuspectState_SUSPECT_STATE_REFUSED
		}
		rec.changed, rec.touched = now, now
		out = append(out, rec.message(fp))
	}
	return out
}

// Completed records that a request completed and returns the changed records,
// which other gates must receive. Only a run alone clears a suspect. A run beside
// other requests also shows that the request did not crash the upstream, but it is
// not the test that a suspect has to pass.
func (r *Registry) Completed(now time.Time, fingerprint uint64, alone bool) []*pb.SuspectRecord {
	rec := r.live(now, fingerprint)
	if rec == nil || !alone || rec.state != pb.SuspectState_SUSPECT_STATE_SUSPECT {
		return nil
	}
	rec.state = pb.SuspectState_SUSPECT_STATE_CLEARED
	rec.crashes = 0
	rec.changed, rec.touched = now, now
	return []*pb.SuspectRecord{rec.message(fingerprint)}
}

// Merge applies records of other gates and returns those that changed the
// registry. A rejected record always stays rejected. Otherwise a received record always
// replaces a hinted one, two suspect records of different crashes make the request
// rejected, and in all other cases the later change wins.
func (r *Registry) Merge(now time.Time, records []*pb.SuspectRecord) []*pb.SuspectRecord {
	var accepted []*pb.SuspectRecord
	for _, m := range records {
		if r.merge(now, m) {
			accepted = append(accepted, m)
		}
	}
	return accepted
}

func (r *Registry) merge(now time.Time, m *pb.SuspectRecord) bool {
	changed := time.UnixMilli(m.GetChangedUnixMs())
	if changed.After(now) {
		changed = now // the clock of the other gate is ahead; the request must not run alone for longer, nor the record win over later changes
	}
	if now.Sub(changed) >= crashMemoryTime {
		return false
	}
	rec := r.live(now, m.GetFingerprint())
	merged := &record{
		service: m.GetService(), state: m.GetState(), crashes: m.GetCrashes(), changed: changed, touched: now,
	}
	switch {
	case rec == nil:
	case rec.state == pb.SuspectState_SUSPECT_STATE_REFUSED:
		return false
	case m.GetState() == pb.SuspectState_SUSPECT_STATE_REFUSED:
	case rec.isDifferentCrash(merged):
		merged.crashes = rec.crashes + merged.crashes
		merged.state = pb.SuspectState_SUSPECT_STATE_REFUSED
	case !changed.After(rec.changed) && !rec.hinted:
		return false
	}
	r.put(now, m.GetFingerprint(), merged)
	return true
}

// isDifferentCrash reports whether both records are suspects because of different
// crashes that two gates recorded independently. A crash is identified by its time;
// a hinted record has none of its own.
func (rec *record) isDifferentCrash(m *record) bool {
	suspects := rec.state == pb.SuspectState_SUSPECT_STATE_SUSPECT && m.state == rec.state
	return suspects && !rec.hinted && m.changed.UnixMilli() != rec.changed.UnixMilli()
}

// Records returns all records that have not expired, sorted by fingerprint.
func (r *Registry) Records(now time.Time) []*pb.SuspectRecord {
	out := make([]*pb.SuspectRecord, 0, len(r.records))
	for fp := range r.records {
		if rec := r.live(now, fp); rec != nil {
			out = append(out, rec.message(fp))
		}
	}
	slices.SortFunc(out, func(a, b *pb.SuspectRecord) int {
		if a.GetFingerprint() < b.GetFingerprint() {
			return -1
		}
		return 1
	})
	return out
}

func (r *Registry) live(now time.Time, fingerprint uint64) *record {
	rec := r.records[fingerprint]
	if rec == nil {
		return nil
	}
	lifetime := crashMemoryTime
	if rec.state == pb.SuspectState_SUSPECT_STATE_REFUSED {
		lifetime = rejectionTime
	}
	if now.Sub(rec.touched) >= lifetime {
		delete(r.records, fingerprint)
		return nil
	}
	return rec
}

func (r *Registry) put(now time.Time, fingerprint uint64, rec *record) {
	if len(r.records) >= maxRecords && r.records[fingerprint] == nil {
		r.evictOldest(now)
	}
	r.records[fingerprint] = rec
}

// evictOldest removes an expired record or, if there is none, the oldest one.
// Rejected records are removed only if there are no others.
func (r *Registry) evictOldest(now time.Time) {
	var victim uint64
	var oldest *record
	for fp := range r.records {
		rec := r.live(now, fp)
		if rec == nil {
			return // live removed an expired record
		}
		if oldest == nil || evictedBefore(rec, oldest) || (!evictedBefore(oldest, rec) && rec.touched.Before(oldest.touched)) {
			victim, oldest = fp, rec
		}
	}
	delete(r.records, victim)
}

// evictedBefore reports whether a is evicted before b whatever their age, because only b is rejected.
func evictedBefore(a, b *record) bool {
	return a.state != pb.SuspectState_SUSPECT_STATE_REFUSED && b.state == pb.SuspectState_SUSPECT_STATE_REFUSED
}

func (rec *record) message(fingerprint uint64) *pb.SuspectRecord {
	return &pb.SuspectRecord{
		Fingerprint: fingerprint, Service: rec.service, State: rec.state,
		Crashes: rec.crashes, ChangedUnixMs: rec.changed.UnixMilli(),
	}
}
