package demo

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rattanfield/rattanfield/adapters/settings"
)

// Every host has its own IP address, so all hosts use the same ports.
const (
	portPeer     = 7000
	portAdmin    = 7001
	portEntry    = 8000
	portGate     = 8001
	portUpstream = 9000

	lowestOctet  = 64 // of x in the demo's addresses 127.x.y.z
	octetCount   = 128
	firstNode    = 11                     // last octet of the first node's address in a failure domain
	delayRegion  = 500 * time.Microsecond // between failure domains of one region
	delayRemote  = 20 * time.Millisecond  // between regions
	settingsMode = 0o600
)

// Service and version names in the demo's configuration.
const (
	serviceBookings = "bookings"
	serviceTills    = "tills"
	versionOld      = "v1"
	versionGood     = "v2"
	versionBad      = "v3"
)

var domains = []struct{ region, name string }{
	{"north", "north-1"}, {"north", "north-2"}, {"south", "south-1"}, {"south", "south-2"},
}

// controlDomains holds, for each control host, its index into domains: 2 of 3
// control hosts are in the first region.
var controlDomains = []int{0, 1, 2}

// upstreamKinds lists the upstreams of each failure domain: one of each kind.
var upstreamKinds = []struct{ service, version string }{
	{serviceBookings, versionOld},
	{serviceTills, versionOld},
	{serviceBookings, versionGood},
	{serviceTills, versionBad},
}

// control is a control host.
type control struct {
	id, ip, file string
}

func (c control) peer() string  { return address(c.ip, portPeer) }
func (c control) admin() string { return address(c.ip, portAdmin) }

// node is a node together with the upstream on its host.
type node struct {
	id, ip, file, domain, service, version string
}

func (n node) admin() string    { return address(n.ip, portAdmin) }
func (n node) entry() string    { return address(n.ip, portEntry) }
func (n node) upstream() string { return address(n.ip, portUpstream) }

// layout describes the hosts of the demo site and their settings files.
type layout struct {
	dir           string
	controls      []control
	nodes         []node
	configuration string // file that the apply statement reads
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// newLayout assigns addresses to all hosts and writes their settings to a directory.
func newLayout(dir string) (*layout, error) {
	octet, err := freeOctet()
	if err != nil {
		return nil, err
	}
	l := &layout{dir: dir, configuration: filepath.Join(dir, "configuration.hujson")}
	for i, d := range controlDomains {
		l.controls = append(l.controls, control{id: fmt.Sprintf("c%d", i+1), ip: fmt.Sprintf("127.%d.%d.1", octet, d+1)})
	}
	for i, d := range domains {
		for j, g := range upstreamKinds {
			l.nodes = append(l.nodes, node{
				id: fmt.Sprintf("%s-%s-%d", g.service, g.version, i+1), ip: fmt.Sprintf("127.%d.%d.%d", octet, i+1, firstNode+j),
				domain: d.name, service: g.service, version: g.version,
			})
		}
	}
	return l, l.write(octet)
}

// write writes the settings of the site, of all hosts and the configuration.
func (l *layout) write(octet int) error {
	if err := l.writeJSON("site.hujson", l.site(octet)); err != nil {
		return err
	}
	for i := range l.controls {
		c := &l.controls[i]
		c.file = filepath.Join(l.dir, "control-"+c.id+".hujson")
		s := settings.Control{
			ID: c.id, FailureDomain: domains[controlDomains[i]].name, DataDirectory: "data-" + c.id, SiteFile: "site.hujson",
			Addresses: settings.ControlAddresses{Peer: c.peer(), Admin: c.admin()},
		}
		if err := l.writeJSON(filepath.Base(c.file), s); err != nil {
			return err
		}
	}
	for i := range l.nodes {
		n := &l.nodes[i]
		n.file = filepath.Join(l.dir, "node-"+n.id+".hujson")
		s := settings.Node{
			ID: n.id, FailureDomain: n.domain, EntryServices: []string{serviceBookings, serviceTills}, SiteFile: "site.hujson",
			Addresses: settings.NodeAddresses{Entry: n.entry(), Gate: address(n.ip, portGate), Peer: address(n.ip, portPeer), Admin: n.admin()},
			Seeds:     l.seeds(*n),
		}
		if err := l.writeJSON(filepath.Base(n.file), s); err != nil {
			return err
		}
	}
	return l.writeJSON(filepath.Base(l.configuration), l.firstConfiguration())
}

func (l *layout) site(octet int) settings.Site {
	s := settings.Site{
		Name: "demo", Urgency: settings.UrgencyUrgent, Compression: settings.CompressionZstd, Risk: settings.RiskCautious,
		LinkDelays: settings.LinkDelays{Region: settings.Duration(delayRegion), Remote: settings.Duration(delayRemote)},
	}
	for i, d := range domains {
		if len(s.Regions) == 0 || s.Regions[len(s.Regions)-1].Name != d.region {
			s.Regions = append(s.Regions, settings.Region{Name: d.region})
		}
		r := &s.Regions[len(s.Regions)-1]
		r.FailureDomains = append(r.FailureDomains, settings.FailureDomain{
			Name: d.name, Networks: []string{fmt.Sprintf("127.%d.%d.0/24", octet, i+1)},
		})
	}
	for i, c := range l.controls {
		s.ControlHosts = append(s.ControlHosts, settings.ControlHost{
			ID: c.id, Address: c.peer(), FailureDomain: domains[controlDomains[i]].name,
		})
	}
	return s
}

// seeds returns the peer addresses of up to 2 other nodes of the failure domain.
func (l *layout) seeds(self node) []string {
	var seeds []string
	for _, n := range l.nodes {
		if n.domain == self.domain && n.id != self.id && len(seeds) < 2 {
			seeds = append(seeds, address(n.ip, portPeer))
		}
	}
	return seeds
}

// ledgerSize is the size of a ledger group; 5 members tolerate the loss or
// restart of 2 at once.
const ledgerSize = 5

// ledgerNodes returns the ids of the first nodes of a service in layout order, which
// starts with the first region.
func (l *layout) ledgerNodes(service string) []string {
	var members []string
	for _, n := range l.nodes {
		if n.service == service && len(members) < ledgerSize {
			members = append(members, n.id)
		}
	}
	return members
}

// upstreams returns the upstream addresses of a version of a service.
func (l *layout) upstreams(service, version string) []string {
	var found []string
	for _, n := range l.nodes {
		if n.service == service && n.version == version {
			found = append(found, n.upstream())
		}
	}
	return found
}

// callerEntries returns the entry addresses that the load uses: those of the hosts
// of the old version.
func (l *layout) callerEntries() []string {
	var found []string
	for _, n := range l.nodes {
		if n.version == versionOld {
			found = append(found, n.entry())
		}
	}
	return found
}

func (l *layout) writeJSON(name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(l.dir, name), append(data, '\n'), settingsMode)
}

// freeOctet returns an octet x whose addresses 127.x.y.z no other run of the demo
// uses. It starts at a value derived from the process id, so that concurrent runs
// rarely probe the same one.
func freeOctet() (int, error) {
	for i := range octetCount {
		octet := lowestOctet + (os.Getpid()+i)%octetCount
		listener, err := net.Listen("tcp", address(fmt.Sprintf("127.%d.1.1", octet), portPeer))
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return 0, err
		}
		return octet, nil
	}
	return 0, fmt.Errorf("no free loopback addresses from 127.%d.1.1 to 127.%d.1.1", lowestOctet, lowestOctet+octetCount-1)
}
