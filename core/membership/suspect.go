package membership

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// SuspectTTL is how long a suspect request is kept and sent to peers after its last change.
	SuspectTTL = 10 * time.Minute
	// MaxSuspects limits the number of suspect requests in a table; the oldest is dropped first.
	MaxSuspects = 4096
)

// suspect is a request that may crash upstreams, with the bookkeeping of the table.
type suspect struct {
	record     *pb.SuspectRecord
	stamp      uint64
	source     string
	acceptedAt time.Time
}

// MergeSuspects merges the suspects that the source sent and returns those that
// changed the table. For each fingerprint the record with the latest change time
// wins; ties are decided by the larger number of crashes, then the higher state.
func (t *Table) MergeSuspects(records []*pb.SuspectRecord, source string, now time.Time) []*pb.SuspectRecord {
	var changed []*pb.SuspectRecord
	for _, r := range records {
		old := t.suspects[r.GetFingerprint()]
		if old != nil && compareSuspects(r, old.record) <= 0 {
			continue
		}
		t.stamp++
		t.suspects[r.GetFingerprint()] = &suspect{record: r, stamp: t.stamp, source: source, acceptedAt: now}
		changed = append(changed, r)
	}
	for len(t.suspects) > MaxSuspects {
		t.dropOldestSuspect()
	}
	return changed
}

func compareSuspects(a, b *pb.SuspectRecord) int {
	return cmp.Or(
		cmp.Compare(a.GetChangedUnixMs(), b.GetChangedUnixMs()),
		cmp.Compare(a.GetCrashes(), b.GetCrashes()),
		cmp.Compare(a.GetState(), b.GetState()),
	)
}

// SuspectsSince returns the suspects accepted after the stamp, ordered by stamp.
// Those that the peer itself sent are left out, unless the stamp is 0. Suspects
// are sent to every node, regardless of its interests.
func (t *Table) SuspectsSince(stamp uint64, peer string) []*pb.SuspectRecord {
	var found []*suspect
	for _, s := range t.suspects {
		if s.stamp > stamp && (stamp == 0 || s.source != peer) {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b *suspect) int { return cmp.Compare(a.stamp, b.stamp) })
	out := make([]*pb.SuspectRecord, len(found))
	for i, s := range found {
		out[i] = s.record
	}
	return out
}

func (t *Table) expireSuspects(now time.Time) {
	for k, s := range t.suspects {
		if now.Sub(s.acceptedAt) > SuspectTTL {
			delete(t.suspects, k)
		}
	}
}

func (t *Table) dropOldestSuspect() {
	var oldest uint64
	first := true
	for k, s := range t.suspects {
		if first || s.stamp < t.suspects[oldest].stamp {
			oldest, first = k, false
		}
	}
	delete(t.suspects, oldest)
}
