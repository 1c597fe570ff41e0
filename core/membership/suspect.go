package membership

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// SuspectTTL is how long a suspect is spread after its last change.
	SuspectTTL = 10 * time.Minute
	// MaxSuspects bounds the memory of a table; the oldest is dropped first.
	MaxSuspects = 4096
)

type suspect struct {
	record  *pb.SuspectRecord
	stamp   uint64
	source  string
	takenAt time.Time
}

// MergeSuspects takes suspects and returns those that were news. The later
// change of a fingerprint wins; of two at the same time the one with more
// crashes, then the higher state.
func (t *Table) MergeSuspects(records []*pb.SuspectRecord, source string, now time.Time) []*pb.SuspectRecord {
	var changed []*pb.SuspectRecord
	for _, r := range records {
		old := t.suspects[r.GetFingerprint()]
		if old != nil && compareSuspects(r, old.record) <= 0 {
			continue
		}
		t.stamp++
		t.suspects[r.GetFingerprint()] = &suspect{record: r, stamp: t.stamp, source: source, takenAt: now}
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

// SuspectsSince returns the suspects that were accepted after a stamp and did
// not come from the peer. Suspects go to every node, whatever its interests.
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
		if now.Sub(s.takenAt) > SuspectTTL {
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
