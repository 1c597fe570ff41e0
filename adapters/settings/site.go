package settings

import (
	"fmt"
	"net/netip"
	"strings"
)

// checkSite reports problems that concern several values of a site; prefix is the path of the site in its document.
func (d *document) checkSite(s *Site, prefix string) {
	d.uniqueNames(s, prefix)
	d.separateNetworks(s, prefix)
	for i, h := range s.ControlHosts {
		path := join(prefix, fmt.Sprintf("control_hosts[%d]", i))
		d.inDomain(s, h.FailureDomain, path+".failure_domain", h.Address, path+".address")
	}
	switch {
	case d.isBad(join(prefix, "batch_interval")):
	case s.Urgency == UrgencyUrgent && s.BatchInterval != 0:
		d.add(join(prefix, "batch_interval"), fmt.Sprintf("%q", s.BatchInterval.Std()), `"0s" or no value with urgency urgent`)
	case s.Urgency == UrgencyBatched && s.BatchInterval == 0:
		d.add(join(prefix, "batch_interval"), "nothing", fmt.Sprintf("more than 0s and at most %s with urgency batched", MaxBatchInterval))
	}
}

func (d *document) uniqueNames(s *Site, prefix string) {
	seen := map[string]string{}
	once := func(kind, value, path string) {
		if first, ok := seen[kind+value]; ok && value != "" {
			d.add(path, fmt.Sprintf("%q again, first in %s", value, first), "a "+kind+" that no other has")
			return
		}
		seen[kind+value] = path
	}
	for i, r := range s.Regions {
		region := join(prefix, fmt.Sprintf("regions[%d]", i))
		once("region name", r.Name, region+".name")
		for j, f := range r.FailureDomains {
			once("failure domain name", f.Name, fmt.Sprintf("%s.failure_domains[%d].name", region, j))
		}
	}
	for i, h := range s.ControlHosts {
		path := join(prefix, fmt.Sprintf("control_hosts[%d]", i))
		once("control host id", h.ID, path+".id")
		once("address", h.Address, path+".address")
	}
}

// separateNetworks reports networks of two failure domains that share addresses.
func (d *document) separateNetworks(s *Site, prefix string) {
	type network struct {
		prefix       netip.Prefix
		domain, path string
	}
	var known []network
	for i, r := range s.Regions {
		for j, f := range r.FailureDomains {
			for k, text := range f.Networks {
				p, err := netip.ParsePrefix(text)
				if err != nil {
					continue
				}
				path := join(prefix, fmt.Sprintf("regions[%d].failure_domains[%d].networks[%d]", i, j, k))
				for _, other := range known {
					if other.domain != f.Name && other.prefix.Overlaps(p) {
						d.add(path, text, fmt.Sprintf("a network that does not overlap with %s of %s", other.prefix, other.domain))
					}
				}
				known = append(known, network{p, f.Name, path})
			}
		}
	}
}

// inDomain reports an unknown failure domain, or an address outside of its networks.
func (d *document) inDomain(s *Site, name, namePath, address, addressPath string) {
	for _, r := range s.Regions {
		for _, f := range r.FailureDomains {
			if f.Name != name {
				continue
			}
			a, err := netip.ParseAddrPort(address)
			if err == nil && !f.contains(a.Addr()) {
				d.add(addressPath, fmt.Sprintf("%q", address),
					fmt.Sprintf("an address in the networks of %s: %s", name, strings.Join(f.Networks, ", ")))
			}
			return
		}
	}
	if name != "" && !d.isBad(namePath) {
		d.add(namePath, fmt.Sprintf("%q", name), "one of "+strings.Join(s.FailureDomainNames(), ", "))
	}
}
