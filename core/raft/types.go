package raft

import (
	"errors"
	"math/rand/v2"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Role is the role of a host in the current term.
type Role uint8

// The roles of a host.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Errors that Propose, ProposeMembers and ReadIndex report.
var (
	ErrNotLeader     = errors.New("this host does not lead")
	ErrNoLeader      = errors.New("no leader is known")
	ErrTransferring  = errors.New("leadership is being transferred")
	ErrMemberPending = errors.New("another membership change is not committed yet")
	ErrMemberChange  = errors.New("a membership change changes at most one voter, and only members become voters")
)

// Bounds of one append message, and of the unacknowledged append messages per member.
const (
	maxAppendBytes   = 1 << 20
	maxAppendEntries = 512
	maxInflight      = 64
)

// Config holds the settings of a Node.
type Config struct {
	ID string
	// Members is the initial member set. It is in force while the log and the snapshot hold none.
	Members []*pb.Member
	// ElectionTimeout is the shortest time without contact to a leader before an election; the longest is twice that.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	Rand              *rand.Rand // source of the randomized timeouts and of new disk ids (incarnations)
}

// HardState is the persistent state besides the log. It must be synced before
// the messages that depend on it are sent.
type HardState struct {
	Term        uint64
	Vote        string // id of the host that got this host's vote in Term; "" for none
	Incarnation []byte // random id of the disk
}

// Keep bounds the entries that a compaction keeps before a snapshot.
type Keep struct {
	Entries uint64
	Bytes   int // of their payloads; 0: no limit
}

// Snapshot is the encoded state of the state machine at one log index.
type Snapshot struct {
	Index, Term uint64
	Members     []*pb.Member
	Data        []byte
}

// Stored is the state that a host reads from its disk when it starts.
type Stored struct {
	State    HardState
	Snapshot Snapshot
	Entries  []*pb.Entry // contiguous; may begin before the end of the snapshot
	// Fresh reports that the incarnation was created at this start, so that nothing has been acknowledged under it.
	Fresh bool
}

// ReadState is the result of the ReadIndex call that passed the same Context.
// Without an error the read may be served once Index is applied.
type ReadState struct {
	Context uint64
	Index   uint64
	Err     error
}

// Ready is the work that the caller has to do.
type Ready struct {
	State    *HardState  // to sync, if not nil
	Snapshot *Snapshot   // to install before Entries, if not nil
	Entries  []*pb.Entry // to sync; they replace the stored entries from the index of the first one on
	// Messages may be sent at once.
	Messages []*pb.RaftMessage
	// AfterSync may be sent once the work of this and of all earlier Ready values is synced.
	AfterSync []*pb.RaftMessage
	Committed []*pb.Entry // to apply to the state machine
	Reads     []ReadState
}

// NeedsSync reports whether the Ready has work for the disk, or messages that wait for it.
func (r *Ready) NeedsSync() bool {
	return r.State != nil || r.Snapshot != nil || len(r.Entries) > 0 || len(r.AfterSync) > 0
}

// Status describes a node for operators and tests.
type Status struct {
	ID          string
	Role        Role
	Term        uint64
	Leader      string
	Commit      uint64
	Last        uint64
	LogBytes    int    // payloads that the log holds
	Incarnation []byte // id of the disk
	Eligible    bool   // may lead, and its own vote counts
	Members     []*pb.Member
	Progress    map[string]MemberProgress // by member id; only on the leader
}

// MemberProgress is the leader's record of a member.
type MemberProgress struct {
	Match       uint64
	LastContact time.Duration // time of the last message from the member
	Contacted   bool          // a message has arrived in this term
	// UpToDateAt is the latest time whose commit index the member is known to hold. While UpToDate is false, there is
	// none in this term, and UpToDateAt is the time at which the leader began to observe the member.
	UpToDateAt time.Duration
	UpToDate   bool
}
