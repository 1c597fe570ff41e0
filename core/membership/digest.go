package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// digestBuckets is the number of digests of a table. A process that joins a
// table it nearly knows gets the buckets that differ: one record in a fleet of
// 140 changes one sixteenth of the transfer.
const digestBuckets = 16

func bucket(id string) int { return int(xxhash.Sum64String(id) % digestBuckets) }

// Digests summarizes the live records that a filter selects, one hash per bucket
// of node ids. Equal digests mean equal records.
func (t *Table) Digests(f Filter) []uint64 {
	out := make([]uint64, digestBuckets)
	for id, e := range t.entries {
		if f.selects(e) && IsLive(e.record) {
			out[bucket(id)] ^= recordHash(e.record)
		}
	}
	return out
}

// recordHash identifies one version of a record; only its owner writes a version.
func recordHash(r *pb.EndpointRecord) uint64 {
	b := make([]byte, 0, 96)
	b = append(b, r.GetNodeId()...)
	b = binary.BigEndian.AppendUint64(b, uint64(r.GetIncarnation()))
	b = binary.BigEndian.AppendUint64(b, r.GetSequence())
	return xxhash.Sum64(b)
}

func (t *Table) equalBuckets(f Filter) []bool {
	if len(f.Digests) != digestBuckets {
		return nil
	}
	own := t.Digests(f)
	out := make([]bool, digestBuckets)
	for i := range own {
		out[i] = own[i] == f.Digests[i] && own[i] != 0
	}
	return out
}
