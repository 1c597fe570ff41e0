package main

import (
	"fmt"
	"path/filepath"
	"strings"
)

// Ports of every host, relative to the first one.
const (
	portEntry = iota
	portGate
	portReady
	portControl
	portApp
	portPeer
	portMetrics
	portCount
)

// site describes the hosts of a small deployment in two regions, like the site bentau-pier.
type site struct {
	c         *caseRun
	firstPort int
	controls  int // control hosts; their hosts have the numbers from 1 on
}

var zones = []struct{ zone, region string }{
	{"haiphong-a", "vn-north"}, {"vungtau-a", "vn-south"}, {"haiphong-b", "vn-north"}, {"vungtau-b", "vn-south"},
}

func (s *site) address(host, port int) string {
	return fmt.Sprintf("%s:%d", s.c.ip(host), s.firstPort+port)
}

// controlMemoryMB is memory_mb of the core machines in the settings of the site.
const controlMemoryMB = 280

// settings returns the settings of a process. A control host has a data folder, a node has a service.
func (s *site) settings(host int, dataDir, service string) string {
	var b strings.Builder
	z := zones[(host-1)%len(zones)]
	var seeds []string
	for h := 1; h <= min(3, s.controls); h++ {
		seeds = append(seeds, fmt.Sprintf("%q", s.address(h, portControl)))
	}
	fmt.Fprintf(&b, "node_name = \"host-%d\"\nip = %q\nzone = %q\nregion = %q\n", host, s.c.ip(host), z.zone, z.region)
	fmt.Fprintf(&b, "port_range = [%d,%d]\nseeds = [%s]\nbootstrap = true\nheartbeat = \"870ms\"\n", s.firstPort+portPeer, s.firstPort+portMetrics, strings.Join(seeds, ","))
	memory, cores := 284, 0.32
	if dataDir != "" {
		memory, cores = controlMemoryMB, 0.48
		fmt.Fprintf(&b, "role = \"control\"\nmachine_class = \"core\"\nserves = [\"control_plane\"]\nloss_counted = true\ndata_dir = %q\n", dataDir)
	} else {
		fmt.Fprintf(&b, "role = \"node\"\nmachine_class = \"sidecar\"\nserves = [\"sidecar\"]\nloss_counted = false\nservice = %q\napp_addr = %q\n", service, s.address(host, portApp))
	}
	fmt.Fprintf(&b, "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"rollout\"]\n[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = %q\n", z.zone, z.region)
	}
	fmt.Fprintf(&b, "[listen]\ncontrol = %q\n", s.address(host, portControl))
	if dataDir == "" {
		fmt.Fprintf(&b, "inbound = %q\noutbound = %q\n%s = %q\n", s.address(host, portGate), s.address(host, portEntry), wire.ReadySetting, s.address(host, portReady))
	}
	fmt.Fprintf(&b, "[limits]\ncpu_share = %v\ncores = 1\nmemory_mb = %d\nmax_fds = 4096\nlink_mbps = 1000.0\n", cores, memory)
	fmt.Fprint(&b, "[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseed_lag = \"3s\"\nreuse_after = \"2s\"\ncontact = \"3000ms\"\nack = \"4000ms\"\ncatch_up = \"4s\"\n"+
		"drain = \"2500ms\"\ngrace = \"6s\"\nloss_slack = \"200ms\"\nconfig_apply = \"2500ms\"\nrollback_slack = \"250ms\"\nmax_skew = \"5000ms\"\nretry_budget_ratio = 0.2\n"+
		"budget_window = \"10s\"\nbudget_extra = 58\nexpose_share = 0.1\nexpose_slack = 50\nrollback = \"5000ms\"\nrecover = \"15s\"\n")
	return b.String()
}

// controlSite starts control hosts and returns an operator that calls them.
func controlSite(c *caseRun, controls int) (*site, []*process, error) {
	port, err := c.freePorts(controls, portCount)
	if err != nil {
		return nil, nil, err
	}
	s := &site{c: c, firstPort: port, controls: controls}
	var processes []*process
	for h := 1; h <= controls; h++ {
		name := fmt.Sprintf("core-%d", h)
		p, err := c.startProcess(name, "control", s.settings(h, filepath.Join(c.temp, name), ""))
		if err != nil {
			return nil, nil, err
		}
		processes = append(processes, p)
	}
	return s, processes, nil
}

// controlAddresses returns the addresses for operators.
func (s *site) controlAddresses() []string {
	var out []string
	for h := 1; h <= s.controls; h++ {
		out = append(out, s.address(h, portControl))
	}
	return out
}
