package consensus

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/rattanfield/rattanfield/adapters/disk"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// The defaults of Options. With an election timeout of 1 s and a delay of 20 ms
// between regions, recovery takes less than 3 s, and pauses of a few hundred
// milliseconds cause no election.
const (
	DefaultElectionTimeout   = time.Second
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultSubmitTimeout     = 5 * time.Second
	DefaultSnapshotEntries   = 4096
	DefaultSnapshotBytes     = 16 << 20
	DefaultKeepEntries       = 1024
	DefaultKeepBytes         = 8 << 20
)

// Options holds the settings of a Host.
type Options struct {
	ID string
	// Members is the initial member set. A host that is not in it joins later (see Admit); the set
	// may then be empty.
	Members []*pb.Member
	DataDir string
	// KeepMembers keeps hosts without a vote in the member set however long they are silent. It is for hosts that
	// do not ask to be admitted again.
	KeepMembers bool
	// AddressOf returns the address of a member that the member set of this host does not contain
	// yet, or "". With it a host with an empty disk reaches the leader that admits it. It may be nil.
	AddressOf func(id string) string `json:"-"`
	// AcceptEvacuations makes the operator service accept orders of evacuations. Without it they are rejected, because nodes
	// of the product's own scheme do not follow them.
	AcceptEvacuations bool
	// FailureDomains are the failure domains of the site, sorted; empty if they are not known. The operator service
	// rejects orders of evacuations about others.
	FailureDomains []string

	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	SubmitTimeout     time.Duration // upper bound of Submit and ConfirmRead
	SnapshotEntries   uint64        // applied entries after which a snapshot is taken
	SnapshotBytes     int           // bytes of their payloads after which one is taken sooner
	KeepEntries       uint64        // entries kept before a snapshot, for members that lag behind
	KeepBytes         int           // bytes of their payloads that are kept at most
	SegmentBytes      int64
	Seed              uint64  // 0: random
	FS                disk.FS // nil: the file system of the operating system
	// SyncEach syncs every proposal separately. It is the baseline of benchmarks.
	SyncEach bool
	// WholePayloads sends each payload to every host of a remote region. It is the baseline of benchmarks.
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
	setDefault(&o.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&o.KeepEntries, DefaultKeepEntries)
	setDefault(&o.KeepBytes, DefaultKeepBytes)
	return o, nil
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
