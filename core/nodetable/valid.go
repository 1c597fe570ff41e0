package nodetable

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Bounds of the values in announcements and records, which may come from another writer.
const (
	// MaxTextBytes bounds ids, names and addresses. Every record is sent to every node.
	MaxTextBytes = 256
	// MaxSlots bounds the slots of an upstream. A running request occupies a connection, and an
	// address has fewer ports than this.
	MaxSlots = 1 << 16
	// MaxSeq is the largest sequence number of an announcement. A larger one, which no process
	// reaches, would hide all later announcements of the process.
	MaxSeq = 1 << 53
	// MaxColdMs bounds the remaining slow start of an upstream.
	MaxColdMs = uint32(time.Hour / time.Millisecond)
	// maxBornAheadMs is how far the birth of a process may lie in the future, because clocks of hosts
	// differ. A process with a later birth would hide all its successors.
	maxBornAheadMs = int64(24 * time.Hour / time.Millisecond)
	// MaxEpoch is the latest epoch of a record, in the year 2116. A later one, which leaves no room
	// for a greater one, would hide all records of the node.
	MaxEpoch = 1 << 62
	// maxUnknownBytes bounds the fields of a record that a newer version of this program has added.
	maxUnknownBytes = 4096
)

var (
	errNoID = errors.New("the id is missing")
	errText = fmt.Errorf("a text is not valid UTF-8, has control characters or is longer than %d bytes", MaxTextBytes)
)

// ParseAddress returns an address (IP:port) that another process can dial: port 0, an unspecified
// or multicast IP, and one with an IPv6 zone are errors.
func ParseAddress(s string) (netip.AddrPort, error) {
	if len(s) > MaxTextBytes {
		return netip.AddrPort{}, errText
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return netip.AddrPort{}, fmt.Errorf("address %q is not IP:port", s)
	}
	return a, nil
}

// CheckAnnouncement returns an error unless an announcement or a leave message has all values that
// it needs, each within its bounds. nowUnixMs is the time of day in Unix milliseconds.
func CheckAnnouncement(a *pb.Announcement, nowUnixMs int64) error {
	switch {
	case a.GetInstance() == "":
		return errNoID
	case !validTexts(a.GetInstance(), a.GetService(), a.GetAddress(), a.GetFailureDomain(), a.GetVersion()):
		return errText
	case a.GetBornUnixMs() < 0 || a.GetBornUnixMs()-maxBornAheadMs > nowUnixMs:
		return fmt.Errorf("born %d is no time up to now", a.GetBornUnixMs())
	case a.GetState() == pb.UpstreamState_UPSTREAM_STATE_GONE:
		return nil
	case a.GetState() != pb.UpstreamState_UPSTREAM_STATE_SERVING && a.GetState() != pb.UpstreamState_UPSTREAM_STATE_LEAVING:
		return fmt.Errorf("state %v is not known", a.GetState())
	case a.GetService() == "" || a.GetVersion() == "":
		return errors.New("service and version must not be empty")
	case a.GetSlots() < 1 || a.GetSlots() > MaxSlots:
		return fmt.Errorf("%d slots", a.GetSlots())
	case a.GetSeq() > MaxSeq:
		return fmt.Errorf("seq %d is above %d", a.GetSeq(), uint64(MaxSeq))
	case a.GetColdMs() > MaxColdMs:
		return fmt.Errorf("a slow start of %d ms", a.GetColdMs())
	}
	_, err := ParseAddress(a.GetAddress())
	return err
}

// validTexts reports whether each text can be sent in a message and, as versions and ids are, in a header,
// and is within its bound.
func validTexts(texts ...string) bool {
	for _, s := range texts {
		if len(s) > MaxTextBytes || !utf8.ValidString(s) || strings.ContainsFunc(s, unicode.IsControl) {
			return false
		}
	}
	return true
}

// CheckMember returns an error unless a control host that joins has an id and an address that the others
// can dial. As a voter it would otherwise count for each quorum without ever answering.
func CheckMember(m *pb.Member) error {
	if m.GetId() == "" {
		return errNoID
	}
	if !validTexts(m.GetId(), m.GetFailureDomain(), m.GetRegion()) {
		return errText
	}
	_, err := ParseAddress(m.GetAddress())
	return err
}

// ValidRecord reports whether a record identifies a node and is small enough to be sent to all nodes.
// It need not name an upstream.
func ValidRecord(r *pb.NodeRecord) bool {
	return r.GetNode() != "" && r.GetEpoch() > 0 && r.GetEpoch() <= MaxEpoch && len(r.ProtoReflect().GetUnknown()) <= maxUnknownBytes &&
		validTexts(r.GetNode(), r.GetFailureDomain(), r.GetRegion(), r.GetInstance(), r.GetService(), r.GetVersion())
}

// ValidDeparture reports whether a departure names a node and an instance and has values within their bounds.
func ValidDeparture(d *pb.Departure) bool {
	_, err := ParseAddress(d.GetNode())
	return err == nil && d.GetInstance() != "" && validTexts(d.GetInstance()) && d.GetBornUntilUnixMs() >= 0
}

// NamesUpstream reports whether a record describes an upstream that other nodes can use, or one that
// leaves. A record whose node or upstream is incomplete or out of bounds names none.
func NamesUpstream(r *pb.NodeRecord) bool {
	if r.GetState() != pb.UpstreamState_UPSTREAM_STATE_SERVING && r.GetState() != pb.UpstreamState_UPSTREAM_STATE_LEAVING {
		return false
	}
	_, err := ParseAddress(r.GetNode())
	return err == nil && r.GetInstance() != "" && r.GetService() != "" && r.GetVersion() != "" && r.GetSlots() >= 1 && r.GetSlots() <= MaxSlots
}

// Bounds of the counts of outcomes. No process reaches them, and sums over all nodes do not overflow.
const (
	maxCount  = 1 << 48
	maxTimeMs = 1 << 40
)

// ValidOutcomes returns the outcomes that can be counted. It leaves out those that contradict
// themselves, of which a failure rate above 1 would result, and those whose sums would overflow.
func ValidOutcomes(outcomes []*pb.RouteOutcomes) []*pb.RouteOutcomes {
	return slices.DeleteFunc(slices.Clone(outcomes), func(o *pb.RouteOutcomes) bool {
		return o.GetAnswered() > maxCount || o.GetFailed() > o.GetAnswered() || o.GetErrors() > o.GetFailed() || o.GetTimeMs() > maxTimeMs ||
			slices.ContainsFunc(o.GetTimes(), func(n uint64) bool { return n > o.GetAnswered() })
	})
}
