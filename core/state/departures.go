package state

import (
	"slices"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// MaxDepartures bounds the departures that a host keeps; the oldest ones are dropped.
	MaxDepartures = 4096
	// DepartureRetentionMs is the age at which a departure is dropped. It is far above the seconds by which an
	// announcement may be late, and above the time for which a process goes on after it has announced that it leaves.
	DepartureRetentionMs = 60 * 60 * 1000
)

// recordDeparture stores a departure. It keeps one for each instance of a node: a departure that is already covered by a
// stored one is accepted and changes nothing. The result is not stored by command id, because a departure that is sent again
// has the same effect.
func (m *Machine) recordDeparture(d *pb.Departure) *pb.CommandResult {
	if d.GetNode() == "" || d.GetInstance() == "" {
		return invalid(problem("departure", "node and instance must be set"))
	}
	kept := slices.DeleteFunc(slices.Clone(m.departures), func(o *pb.Departure) bool {
		return o.GetAtUnixMs() < m.clock-DepartureRetentionMs
	})
	i := slices.IndexFunc(kept, func(o *pb.Departure) bool {
		return o.GetNode() == d.GetNode() && o.GetInstance() == d.GetInstance()
	})
	if i >= 0 {
		if kept[i].GetBornUntilUnixMs() >= d.GetBornUntilUnixMs() {
			return m.accepted()
		}
		kept = slices.Delete(kept, i, i+1)
	}
	kept = append(kept, &pb.Departure{
		Node: d.GetNode(), Instance: d.GetInstance(), BornUntilUnixMs: d.GetBornUntilUnixMs(), AtUnixMs: m.clock,
	})
	m.departures = slices.Clone(kept[max(0, len(kept)-MaxDepartures):])
	return m.accepted()
}
