package ports

// Link classifies the path between two hosts by what it costs.
type Link uint8

// Links from cheapest to most expensive.
const (
	LinkDomain Link = iota // same failure domain
	LinkRegion             // other failure domain of the same region
	LinkRemote             // other region: slow, narrow and metered
	linkCount
)

// LinkCount is the number of link classes.
const LinkCount = int(linkCount)

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
