package deploy

import (
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// expected describes a deployment.
type expected struct {
	site          settings.Site // only urgency, compression and risk are set
	regions       []string
	upstreams     map[string]int // number by service
	nonIdempotent []string       // routes that must not be idempotent
	tenants       []string
	risk          pb.RiskPreference
}

var deployments = map[string]expected{
	"braithwaite": {
		site:          settings.Site{Urgency: settings.UrgencyUrgent, Compression: settings.CompressionNone, Risk: settings.RiskCautious},
		regions:       []string{"kingston", "montego-bay"},
		upstreams:     map[string]int{"bookings": 8, "tills": 4},
		nonIdempotent: []string{"fares-write", "reservations-write"},
		tenants:       []string{"hotel-desk", "cruise-liaison", "guide"},
		risk:          pb.RiskPreference_RISK_PREFERENCE_CAUTIOUS,
	},
	"ben-tau": {
		site:          settings.Site{Urgency: settings.UrgencyBatched, Compression: settings.CompressionZstd, Risk: settings.RiskPunctual},
		regions:       []string{"haiphong", "vung-tau"},
		upstreams:     map[string]int{"plank-desk": 7, "pledge-ledger": 4},
		nonIdempotent: []string{"deposits-write", "planks-write", "engravings"},
		tenants:       []string{"staff", "sponsor", "pier-trust"},
		risk:          pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL,
	},
}

// Guards against hosts that nobody reaches, which come about by settings files that
// disagree, and against a ledger group that loses its majority by a single failure.
func TestDeployments(t *testing.T) {
	for name, want := range deployments {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			site, err := settings.LoadSite(filepath.Join(name, "site.hujson"))
			is.NoErr(err)
			is.Equal(site.Name, name)
			is.Equal([]string{site.Urgency, site.Compression, site.Risk}, []string{want.site.Urgency, want.site.Compression, want.site.Risk})
			for i, r := range site.Regions {
				is.Equal(r.Name, want.regions[i])
				is.Equal(len(r.FailureDomains), 2)
			}
			hosts := map[netip.Addr]string{}
			checkControl(is, name, site, want, hosts)
			nodes := checkNodes(is, name, site, want, hosts)
			checkConfiguration(is, name, want, nodes)
		})
	}
}

// registerAddresses records the IP addresses of a process and reports whether no other process
// uses one of them.
func registerAddresses(hosts map[netip.Addr]string, id string, addresses ...string) bool {
	for _, a := range addresses {
		ip := netip.MustParseAddrPort(a).Addr()
		if other, taken := hosts[ip]; taken && other != id {
			return false
		}
		hosts[ip] = id
	}
	return true
}

// checkControl checks the control hosts: 3 in the first region, 2 in the second, and 1 or 2
// in each failure domain.
func checkControl(is *is.I, name string, site *settings.Site, want expected, hosts map[netip.Addr]string) {
	files, err := filepath.Glob(filepath.Join(name, "control-*.hujson"))
	is.NoErr(err)
	is.Equal(len(files), 5)
	is.Equal(len(site.ControlHosts), 5)
	perRegion, perDomain := map[string]int{}, map[string]int{}
	for _, f := range files {
		c, err := settings.LoadControl(f)
		is.NoErr(err)
		is.Equal(filepath.Base(f), c.ID+".hujson")
		is.True(registerAddresses(hosts, c.ID, c.Addresses.Peer, c.Addresses.Admin))
		perRegion[site.RegionOf(c.FailureDomain)]++
		perDomain[c.FailureDomain]++
	}
	is.Equal(perRegion, map[string]int{want.regions[0]: 3, want.regions[1]: 2})
	for _, d := range site.FailureDomainNames() {
		is.True(perDomain[d] >= 1 && perDomain[d] <= 2) // a majority remains when a failure domain is lost
	}
}

// checkNodes checks the nodes and returns the failure domain of each by id.
func checkNodes(is *is.I, name string, site *settings.Site, want expected, hosts map[netip.Addr]string) map[string]string {
	files, err := filepath.Glob(filepath.Join(name, "node-*.hujson"))
	is.NoErr(err)
	domains, counts, peers := map[string]string{}, map[string]int{}, map[string]string{}
	var seeds [][2]string
	for _, f := range files {
		n, err := settings.LoadNode(f)
		is.NoErr(err)
		is.Equal(filepath.Base(f), "node-"+n.ID+".hujson")
		is.True(registerAddresses(hosts, n.ID, n.Addresses.Entry, n.Addresses.Gate, n.Addresses.Peer, n.Addresses.Admin))
		is.Equal(len(n.EntryServices), len(want.upstreams))
		domains[n.ID], peers[n.Addresses.Peer] = n.FailureDomain, n.FailureDomain
		for _, s := range n.Seeds {
			seeds = append(seeds, [2]string{s, n.FailureDomain})
		}
		service, _, found := strings.Cut(n.ID, "-"+n.FailureDomain+"-")
		is.True(found)
		counts[service]++
	}
	is.Equal(counts, want.upstreams)
	for _, s := range seeds {
		is.Equal(peers[s[0]], s[1]) // a seed is a node of the same failure domain
	}
	return domains
}

// checkLedger checks that a majority of the ledger group remains when any one failure
// domain is lost, and in the first region while the regions are partitioned.
func checkLedger(is *is.I, c *pb.Configuration, s *pb.Service, want expected, nodes map[string]string) {
	members, perDomain, inFirstRegion := s.GetLedgerMembers(), map[string]int{}, 0
	for _, m := range members {
		is.True(nodes[m] != "")
		perDomain[nodes[m]]++
		if strings.HasPrefix(nodes[m], want.regions[0]) {
			inFirstRegion++
		}
		is.True(receivesService(c, m, s.GetName())) // otherwise the member never receives the ledger group
	}
	majority := len(members)/2 + 1
	is.True(len(perDomain) >= 3)
	for _, n := range perDomain {
		is.True(len(members)-n >= majority)
	}
	is.True(inFirstRegion >= majority)
}

// receivesService reports whether the node serves the service or one that uses it, and thus
// receives its configuration.
func receivesService(c *pb.Configuration, node, service string) bool {
	for _, s := range c.GetServices() {
		if strings.HasPrefix(node, s.GetName()+"-") {
			return s.GetName() == service || slices.Contains(s.GetUses(), service)
		}
	}
	return false
}

// checkConfiguration checks the first configuration of a deployment.
func checkConfiguration(is *is.I, name string, want expected, nodes map[string]string) {
	data, err := os.ReadFile(filepath.Join(name, "configuration.hujson"))
	is.NoErr(err)
	plain, err := hujson.Standardize(data)
	is.NoErr(err)
	var c pb.Configuration
	is.NoErr(protojson.Unmarshal(plain, &c))
	is.Equal(len(config.Validate(&c)), 0)
	is.Equal(len(c.GetServices()), len(want.upstreams))
	for _, s := range c.GetServices() {
		is.Equal(s.GetRisk(), want.risk)
		is.Equal(s.GetLimits().GetSlots(), uint32(9))
		checkLedger(is, &c, s, want, nodes)
		for i, w := range s.GetTenantWeights() {
			is.Equal(w.GetTenant(), want.tenants[i])
		}
	}
	idempotent := map[string]bool{}
	for _, r := range c.GetRoutes() {
		idempotent[r.GetName()] = r.GetIdempotent()
	}
	for _, r := range want.nonIdempotent {
		value, known := idempotent[r]
		is.True(known && !value)
	}
}
