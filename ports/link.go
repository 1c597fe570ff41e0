package ports

// Link classifies the network path between two hosts by its cost.
type Link uint8

// Link classes, from cheapest to most expensive.
const (
	LinkDomain Link = iota // same failure domain
	LinkRegion             // another failure domain of the same region
	LinkRemote             // another region: high latency, low bandwidth, billed by volume
	linkCount
)

// LinkCount is the number of link classes.
const LinkCount = int(linkCount)

// String returns the value of the metric label link.
func (l Link) String() string {
	switch l {
	case LinkDomain:
		return "domain"
	case LinkRegion:
		return "region"
	default:
		return "remote"
	}
}
