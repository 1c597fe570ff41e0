package quarantine

import (
	"slices"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// SuspectTime is how long a suspect runs only alone when nothing more is learned of it.
	SuspectTime = 30 * time.Second
	// memoryTime is how long one crash counts towards the second; it is longer than
	// SuspectTime, so that a caller that retries slowly does not crash a third upstream.
	memoryTime = 10 * time.Minute
	// refusedTime is how long a request stays rejected after the last attempt to send it.
	refusedTime = 10 * time.Minute
	// crashesToRefuse is the number of crashes after which a request is rejected.
	crashesToRefuse = 2
	// maxRecords bounds memory; a crash adds at most as many records as the upstream has slots.
	maxRecords = 4096
)

// Handling says how a request may run.
type Handling uint8

// Handlings.
const (
	Run Handling = iota
	RunAlone
	Refuse
)

type record struct {
	service string
	state   pb.SuspectState
	crashes uint32
	changed time.Time
	touched time.Time // last change or, for refused ones, last attempt
	// hinted records stand for a crash that another gate has yet to report.
	hinted bool
}

// Registry knows the suspects of the services. It is not safe for concurrent use.
type Registry struct {
	records map[uint64]*record
}

// New returns an empty registry.
func New() *Registry { return &Registry{records: make(map[uint64]*record)} }

// Handle decides how a request with this fingerprint may run. hinted is true when
// the sender saw an earlier attempt of the request lose its upstream.
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
		return Refuse
	case rec.state == pb.SuspectState_SUSPECT_STATE_SUSPECT && now.Sub(rec.changed) < SuspectTime:
		return RunAlone
	default:
		return Run
	}
}

// Crashed records that the upstream crashed while these requests were in flight
// and returns what other gates must know.
func (r *Registry) Crashed(now time.Time, service string, inFlight []uint64) []*pb.SuspectRecord {
	fingerprints := slices.Clone(inFlight)
	slices.Sort(fingerprints)
	var out []*pb.SuspectRecord
	for _, fp := range slices.Compact(fingerprints) { // copies of one request count once per crash
		rec := r.live(now, fp)
		if rec == nil || rec.state == pb.SuspectState_SUSPECT_STATE_CLEARED {
			rec = &record{service: service}
			r.put(now, fp, rec)
		}
		rec.crashes++
		rec.state = pb.SuspectState_SUSPECT_STATE_SUSPECT
		if rec.crashes >= crashesToRefuse {
			rec.state = pb.SuspectState_SUSPECT_STATE_REFUSED
		}
		rec.changed, rec.touched = now, now
		out = append(out, rec.message(fp))
	}
	return out
}

// Completed records that a request completed and returns what other gates must
// know. Only a run alone clears a suspect; of a run beside others it is known
// just as well that this request did not crash the upstream, but it was not asked for.
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

// Merge takes records of other gates and returns those that were news. A refused
// record is never weakened; otherwise the later change wins.
func (r *Registry) Merge(now time.Time, records []*pb.SuspectRecord) []*pb.SuspectRecord {
	var news []*pb.SuspectRecord
	for _, m := range records {
		if r.merge(now, m) {
			news = append(news, m)
		}
	}
	return news
}

func (r *Registry) merge(now time.Time, m *pb.SuspectRecord) bool {
	changed := time.UnixMilli(m.GetChangedUnixMs())
	if changed.After(now) {
		changed = now // a fast clock elsewhere must not keep a record alive for longer
	}
	if now.Sub(changed) >= memoryTime {
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
	case rec.isOtherCrash(merged):
		merged.crashes = rec.crashes + merged.crashes
		merged.state = pb.SuspectState_SUSPECT_STATE_REFUSED
	case !changed.After(rec.changed) && !rec.hinted:
		return false
	}
	r.put(now, m.GetFingerprint(), merged)
	return true
}

// isOtherCrash reports that both records are suspects because of different
// crashes, which crossed on the way. The time of a crash identifies it; a
// hinted record has no time of its own.
func (rec *record) isOtherCrash(m *record) bool {
	suspects := rec.state == pb.SuspectState_SUSPECT_STATE_SUSPECT && m.state == rec.state
	return suspects && !rec.hinted && m.changed.UnixMilli() != rec.changed.UnixMilli()
}

// Records returns all live records, sorted by fingerprint.
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
	keep := memoryTime
	if rec.state == pb.SuspectState_SUSPECT_STATE_REFUSED {
		keep = refusedTime
	}
	if now.Sub(rec.touched) >= keep {
		delete(r.records, fingerprint)
		return nil
	}
	return rec
}

func (r *Registry) put(now time.Time, fingerprint uint64, rec *record) {
	if len(r.records) >= maxRecords && r.records[fingerprint] == nil {
		r.dropOldest(now)
	}
	r.records[fingerprint] = rec
}

// dropOldest prefers records that reject nothing.
func (r *Registry) dropOldest(now time.Time) {
	var victim uint64
	var best *record
	for fp := range r.records {
		rec := r.live(now, fp)
		if rec == nil {
			return // an expired record made place
		}
		if best == nil || weaker(rec, best) || (!weaker(best, rec) && rec.touched.Before(best.touched)) {
			victim, best = fp, rec
		}
	}
	delete(r.records, victim)
}

func weaker(a, b *record) bool {
	return a.state != pb.SuspectState_SUSPECT_STATE_REFUSED && b.state == pb.SuspectState_SUSPECT_STATE_REFUSED
}

func (rec *record) message(fingerprint uint64) *pb.SuspectRecord {
	return &pb.SuspectRecord{
		Fingerprint: fingerprint, Service: rec.service, State: rec.state,
		Crashes: rec.crashes, ChangedUnixMs: rec.changed.UnixMilli(),
	}
}
