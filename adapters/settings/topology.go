package settings

import (
	"net/netip"
	"time"

	"github.com/rattanfield/rattanfield/ports"
)

// Topology classifies addresses by their link from one failure domain. It implements
// rpc.Topology and is safe for concurrent use.
type Topology struct {
	domain, region string
	delays         LinkDelays
	networks       []domainNetwork
}

type domainNetwork struct {
	prefix         netip.Prefix
	domain, region string
}

// NewTopology returns the topology of a valid site as seen from a host in
// failureDomain.
func NewTopology(s *Site, failureDomain string) *Topology {
	t := &Topology{domain: failureDomain, region: s.RegionOf(failureDomain), delays: s.LinkDelays}
	for _, r := range s.Regions {
		for _, d := range r.FailureDomains {
			for _, text := range d.Networks {
				if p, err := netip.ParsePrefix(text); err == nil {
					t.networks = append(t.networks, domainNetwork{p.Masked(), d.Name, r.Name})
				}
			}
		}
	}
	return t
}

// FailureDomain returns the failure domain of this process.
func (t *Topology) FailureDomain() string { return t.domain }

// Region returns the region of this process.
func (t *Topology) Region() string { return t.region }

// Locate returns the failure domain and the region of an address (IP:port), by the
// longest matching network prefix. Both are empty when no network contains it.
func (t *Topology) Locate(address string) (failureDomain, region string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", ""
	}
	best := -1
	for _, n := range t.networks {
		if n.prefix.Bits() > best && n.prefix.Contains(a.Addr().Unmap()) {
			failureDomain, region, best = n.domain, n.region, n.prefix.Bits()
		}
	}
	return failureDomain, region
}

// LinkTo returns the link class of an address (IP:port). An unknown address counts
// as remote, so that its bytes are included in those of the metered link.
func (t *Topology) LinkTo(address string) ports.Link {
	domain, region := t.Locate(address)
	switch {
	case domain != "" && domain == t.domain:
		return ports.LinkDomain
	case region != "" && region == t.region:
		return ports.LinkRegion
	default:
		return ports.LinkRemote
	}
}

// Delay returns the delay to add to requests to an address (IP:port). It is 0 unless
// the site sets link_delays.
func (t *Topology) Delay(address string) time.Duration {
	if t.delays == (LinkDelays{}) {
		return 0
	}
	switch t.LinkTo(address) {
	case ports.LinkDomain:
		return 0
	case ports.LinkRegion:
		return t.delays.Region.Std()
	default:
		return t.delays.Remote.Std()
	}
}
