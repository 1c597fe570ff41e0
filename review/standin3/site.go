package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Values of the settings, those of the smaller site of the users.
const (
	heartbeat   = 870 * time.Millisecond
	contact     = 3 * time.Second
	drainBound  = 2500 * time.Millisecond
	rollback    = 5 * time.Second
	configApply = 2500 * time.Millisecond
)

// Offsets of the ports of each host from the base port of the site.
const (
	offsetReady = iota
	offsetOutbound
	offsetInbound
	offsetControl
	offsetUpstream
	offsetRange // the first of rangePorts ports between hosts
	rangePorts  = 8
	ports       = offsetRange + rangePorts
)

// zones are the failure domains of the site by region.
var zones = []struct{ name, region string }{
	{"haiphong-a", "vn-north"},
	{"vungtau-a", "vn-south"},
	{"haiphong-b", "vn-north"},
	{"vungtau-b", "vn-south"},
}

// controlHosts is the number of control hosts; their zones are the first ones.
const controlHosts = 3

// site is a set of hosts on loopback addresses with the project's processes.
type site struct {
	program string
	dir     string
	record  *record
	network string // first three numbers of the addresses
	port    int
	hosts   []*host
}

// host is one host with at most one process of the project.
type host struct {
	site    *site
	name    string
	ip      string
	zone    int
	control bool
	service string
	process *process
}

// maxHosts bounds the hosts of a site, whose ports are checked before the first one starts.
const maxHosts = 20

// newSite finds a network and a base port of which all ports are free.
func newSite(program, dir string, r *record) (*site, error) {
	for range 50 {
		s := &site{
			program: program, dir: dir, record: r,
			network: fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(256)), port: 20000 + 16*rand.IntN(500),
		}
		if s.isFree() {
			return s, nil
		}
	}
	return nil, errors.New("no free ports on loopback addresses")
}

func (s *site) isFree() bool {
	for i := range maxHosts {
		for p := range ports {
			l, err := net.Listen("tcp", net.JoinHostPort(s.ip(i), strconv.Itoa(s.port+p)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (s *site) ip(i int) string { return s.network + "." + strconv.Itoa(i+1) }

// start starts the control hosts and a node for each of the services, one host each, with so many of them in a zone.
func (s *site) start(perZone int, services ...string) error {
	for i := range controlHosts {
		h := &host{site: s, name: "core-" + strconv.Itoa(i+1), ip: s.ip(i), zone: i, control: true}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		if err := h.start(true); err != nil {
			return err
		}
	}
	for i, service := range services {
		if _, err := s.addNode(service, i/perZone, true); err != nil {
			return err
		}
	}
	return nil
}

// addNode adds a host with a node in a zone.
func (s *site) addNode(service string, zone int, first bool) (*host, error) {
	n := len(s.hosts)
	if n == maxHosts {
		return nil, errors.New("too many hosts")
	}
	h := &host{site: s, name: "sidecar-" + strconv.Itoa(n-controlHosts+1), ip: s.ip(n), zone: zone, service: service}
	s.hosts = append(s.hosts, h)
	return h, h.start(first)
}

// nodes returns the hosts with nodes.
func (s *site) nodes() []*host { return s.hosts[controlHosts:] }

// nodesOf returns the hosts with nodes beside upstreams of a service.
func (s *site) nodesOf(service string) []*host {
	var out []*host
	for _, h := range s.nodes() {
		if h.service == service {
			out = append(out, h)
		}
	}
	return out
}

// stop ends all processes.
func (s *site) stop() {
	for _, h := range s.hosts {
		h.kill()
	}
}

func (h *host) address(offset int) string {
	return net.JoinHostPort(h.ip, strconv.Itoa(h.site.port+offset))
}

// dataDir returns the folder for the data of a control host.
func (h *host) dataDir() string { return filepath.Join(h.site.dir, h.name+"-data") }

// logPath returns the file with the output of the processes of the host.
func (h *host) logPath() string { return filepath.Join(h.site.dir, h.name+".log") }

// lastLine returns the last line of the output of the host, with paths below the folder of the site.
func (h *host) lastLine() string {
	b, err := os.ReadFile(h.logPath())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return strings.ReplaceAll(lines[len(lines)-1], h.site.dir, ".")
}

// start starts the process of the host. first states that the whole system starts for the first time.
func (h *host) start(first bool) error {
	path := filepath.Join(h.site.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(h.settings(first)), 0o600); err != nil {
		return err
	}
	role := "node"
	if h.control {
		role = "control"
	}
	p, err := startProcess(h.site.program, role, path, h.logPath())
	if err != nil {
		return err
	}
	h.process = p
	h.site.record.log("platform: started %s on %s (process %d)", role, h.name, p.id())
	return nil
}

// kill ends the process of the host with SIGKILL.
func (h *host) kill() {
	if h.process == nil {
		return
	}
	h.process.kill()
	h.process = nil
	h.site.record.log("platform: killed the process on %s", h.name)
}

// settings returns the settings file of the host.
func (h *host) settings(first bool) string {
	s := h.site
	var seeds []string
	for i := range controlHosts {
		seeds = append(seeds, strconv.Quote(net.JoinHostPort(s.ip(i), strconv.Itoa(s.port+offsetControl))))
	}
	var b strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	line("node_name = %q", h.name)
	line("ip = %q", h.ip)
	line("zone = %q", zones[h.zone].name)
	line("region = %q", zones[h.zone].region)
	line("port_range = [%d,%d]", s.port+offsetRange, s.port+ports-1)
	line("seeds = [%s]", strings.Join(seeds, ","))
	line("bootstrap = %t", first)
	line("loss_counted = %t", h.control)
	line("heartbeat = %q", heartbeat)
	line(`contracts = ["base","drain","config","cost","retry","recover","rollout"]`)
	if h.control {
		line("role = \"control\"\nmachine_class = \"core\"\nserves = [\"control_plane\"]")
		line("data_dir = %q", h.dataDir())
	} else {
		line("role = \"node\"\nmachine_class = \"sidecar\"\nserves = [\"sidecar\"]")
		line("app_addr = %q\nservice = %q", h.address(offsetUpstream), h.service)
	}
	line("[zones]")
	for _, z := range zones {
		line("%s = %q", z.name, z.region)
	}
	line("[listen]\ncontrol = %q", h.address(offsetControl))
	if !h.control {
		line("inbound = %q\noutbound = %q\n%s = %q", h.address(offsetInbound), h.address(offsetOutbound), wire.ReadySetting, h.address(offsetReady))
	}
	line("[limits]\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0")
	line("[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0")
	line("[bounds]\ndrain = %q\nconfig_apply = %q\ncontact = %q\nrollback = %q", drainBound, configApply, contact, rollback)
	line("grace = \"6s\"\nretry_budget_ratio = 0.2\nbudget_window = \"10s\"\nbudget_extra = 58\nexpose_share = 0.1\nexpose_slack = 50")
	return b.String()
}
