package raft

import (
	"errors"
	"math/rand/v2"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Role of a host in the current term.
type Role uint8

// Roles of a host.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Errors of proposals and reads.
var (
	ErrNotLeader     = errors.New("this host does not lead")
	ErrNoLeader      = errors.New("no leader is known")
	ErrTransferring  = errors.New("leadership is being transferred")
	ErrMemberPending = errors.New("another membership change is not committed yet")
	ErrMemberChange  = errors.New("a membership change adds, removes or changes exactly one voter")
)

// Bounds of one append message and of the messages under way to one member.
const (
	maxAppendBytes   = 1 << 20
	maxAppendEntries = 512
	maxInflight      = 64
)

// Config of a Node.
type Config struct {
	ID string
	// Members is the initial member set, used while the log holds none.
	Members []*pb.Member
	// ElectionTimeout is the shortest time without a leader before an election; the longest is twice that.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	Rand              *rand.Rand
}

// HardState must be synced before the messages that depend on it are sent.
type HardState struct {
	Term        uint64
	Vote        string
	Incarnation []byte
}

// Snapshot is the state machine's encoded content at one index.
type Snapshot struct {
	Index, Term uint64
	Members     []*pb.Member
	Data        []byte
}

// Stored is what a host reads from its disk at its start.
type Stored struct {
	State    HardState
	Snapshot Snapshot
	Entries  []*pb.Entry // contiguous; may begin before the end of the snapshot
	// Fresh tells that the incarnation was made at this start, so nothing was ever acknowledged under it.
	Fresh bool
}

// ReadState answers a ReadIndex: the read may be served once Index is applied.
type ReadState struct {
	Context uint64
	Index   uint64
	Err     error
}

// Ready is work for the caller.
type Ready struct {
	State    *HardState  // to sync when not nil
	Snapshot *Snapshot   // to install before Entries, when not nil
	Entries  []*pb.Entry // to sync; they replace what the log holds from the first one's index on
	// Messages may be sent at once.
	Messages []*pb.RaftMessage
	// AfterSync may be sent once everything of this and all earlier Readys is synced.
	AfterSync []*pb.RaftMessage
	Committed []*pb.Entry // to apply
	Reads     []ReadState
}

// NeedsSync tells whether the Ready has work for the disk.
func (r *Ready) NeedsSync() bool {
	return r.State != nil || r.Snapshot != nil || len(r.Entries) > 0 || len(r.AfterSync) > 0
}

// Status is a view of a node for operators and tests.
type Status struct {
	ID          string
	Role        Role
	Term        uint64
	Leader      string
	Commit      uint64
	Last        uint64
	Incarnation []byte
	Eligible    bool // may vote
	Members     []*pb.Member
	Progress    map[string]MemberProgress // on the leader
}

// MemberProgress is what the leader knows of a member.
type MemberProgress struct {
	Match       uint64
	LastContact time.Duration // time of the last message from it
	Contacted   bool
}
