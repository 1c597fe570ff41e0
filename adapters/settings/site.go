package settings

import (
	"fmt"
	"net/netip"
	"strings"
)

// checkSite reports problems that involve several values of a site. prefix is the
// path of the site in the document.
func (d *document) checkSite(s *Site, prefix string) {
	d.checkUnique(s, prefix)
	d.checkNetworks(s, prefix)
	for i, h := range s.ControlHosts {
		path := joinPath(prefix, fmt.Sprintf("control_hosts[%d]", i))
		d.checkDomain(s, h.FailureDomain, path+".failure_domain", h.Address, path+".address")
	}
	switch {
	case d.isInvalid(joinPath(prefix, "batch_interval")):
	case s.Urgency == UrgencyUrgent && s.BatchInterval != 0:
		d.addProblem(joinPath(prefix, "batch_interval"), fmt.Sprintf("%q", s.BatchInterval.Std()), `"0s" or no value with urgency urgent`)
	case s.Urgency == UrgencyBatched && s.BatchInterval == 0:
		d.addProblem(joinPath(prefix, "batch_interval"), "nothing", fmt.Sprintf("more than 0s and at most %s with urgency batched", MaxBatchInterval))
	}
}

// checkUnique reports names, ids and addresses that occur more than once.
func (d *document) checkUnique(s *Site, prefix string) {
	seen := map[string]string{}
	unique := func(kind, value, path string) {
		if first, ok := seen[kind+value]; ok && value != "" {
			d.addProblem(path, fmt.Sprintf("%q again, first in %s", value, first), "a "+kind+" that no other has")
			return
		}
		seen[kind+value] = path
	}
	for i, r := range s.Regions {
		region := joinPath(prefix, fmt.Sprintf("regions[%d]", i))
		unique("region name", r.Name, region+".name")
		for j, f := range r.FailureDomains {
			unique("failure domain name", f.Name, fmt.Sprintf("%s.failure_domains[%d].name", region, j))
		}
	}
	for i, h := range s.ControlHosts {
		path := joinPath(prefix, fmt.Sprintf("control_hosts[%d]", i))
		unique("control host id", h.ID, path+".id")
		unique("address", h.Address, path+".address")
	}
}

// checkNetworks reports overlapping networks of different failure domains.
func (d *document) checkNetworks(s *Site, prefix string) {
	type network struct {
		prefix       netip.Prefix
		domain, path string
	}
	var earlier []network
	for i, r := range s.Regions {
		for j, f := range r.FailureDomains {
			for k, text := range f.Networks {
				p, err := netip.ParsePrefix(text)
				if err != nil {
					continue
				}
				path := joinPath(prefix, fmt.Sprintf("regions[%d].failure_domains[%d].networks[%d]", i, j, k))
				for _, other := range earlier {
					if other.domain != f.Name && other.prefix.Overlaps(p) {
						d.addProblem(path, text, fmt.Sprintf("a network that does not overlap with %s of %s", other.prefix, other.domain))
					}
				}
				earlier = append(earlier, network{p, f.Name, path})
			}
		}
	}
}

// checkDomain reports a failure domain that the site does not have, or an address
// outside of its networks.
func (d *document) checkDomain(s *Site, name, namePath, address, addressPath string) {
	for _, r := range s.Regions {
		for _, f := range r.FailureDomains {
			if f.Name != name {
				continue
			}
			a, err := netip.ParseAddrPort(address)
			if err == nil && !f.contains(a.Addr()) {
				d.addProblem(addressPath, fmt.Sprintf("%q", address),
					fmt.Sprintf("an address in the networks of %s: %s", name, strings.Join(f.Networks, ", ")))
			}
			return
		}
	}
	if name != "" && !d.isInvalid(namePath) {
		d.addProblem(namePath, fmt.Sprintf("%q", name), "one of "+strings.Join(s.FailureDomainNames(), ", "))
	}
}
