package consensus

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/rattanfield/rattanfield/adapters/disk"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Defaults of Options. An election timeout of 1 s keeps recovery below 3 s with
// 20 ms between regions and survives pauses of a few hundred milliseconds.
const (
	DefaultElectionTimeout   = time.Second
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultSubmitTimeout     = 5 * time.Second
	DefaultSnapshotEntries   = 4096
	DefaultKeepEntries       = 1024
)

// Options of a Host.
type Options struct {
	ID string
	// Members is the initial member set; this host is one of them, or is added later (see Join). It may
	// be empty for a host that joins.
	Members []*pb.Member
	DataDir string
	// AddressOf finds members that the member set of this host does not name yet, which is how a
	// host with an empty disk reaches the leader that admits it; nil knows none.
	AddressOf func(id string) string `json:"-"`

	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	SubmitTimeout     time.Duration // bound of a Submit without an earlier deadline
	SnapshotEntries   uint64        // entries between snapshots
	KeepEntries       uint64        // entries kept before a snapshot for slow members
	SegmentBytes      int64
	Seed              uint64  // 0: random
	FS                disk.FS // nil: the host's
	// SyncEach syncs every proposal on its own; it is the baseline of benchmarks.
	SyncEach bool
	// WholePayloads sends each payload to every host of a remote region; it is the baseline of benchmarks.
	WholePayloads bool
}

func (o Options) withDefaults() (Options, error) {
	if o.ID == "" || o.DataDir == "" {
		return o, eris.New("id and data directory of a control host must be set")
	}
	setDefault(&o.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&o.SubmitTimeout, DefaultSubmitTimeout)
	setDefault(&o.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&o.KeepEntries, DefaultKeepEntries)
	return o, nil
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
