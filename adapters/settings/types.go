package settings

import (
	"net/netip"
	"time"
)

// ExitStatus is the exit status of a process whose settings are not valid.
const ExitStatus = 2

// Bounds of settings.
const (
	MaxControlHosts  = 7
	MaxBatchInterval = 2 * time.Second // leaves 4 s of the 6 s within which a change must take effect
	MaxLinkDelay     = time.Second
	// MinGraceTime leaves 3.7 s for requests, after the time to pass on the last record and to close the listeners.
	MinGraceTime = 5 * time.Second
	// MaxGraceTime covers the longest time limit of a call, 5 minutes.
	MaxGraceTime = 10 * time.Minute
	// DefaultGraceTime is the time after which common supervisors of processes kill one that does not end.
	DefaultGraceTime = 30 * time.Second
)

// Values of Site.Compression.
const (
	CompressionNone = "none"
	CompressionZstd = "zstd"
)

// Values of Site.Urgency.
const (
	// UrgencyUrgent sends each change to waiting nodes as soon as it is applied.
	UrgencyUrgent = "urgent"
	// UrgencyBatched collects changes for BatchInterval; changes of version shares are sent at once.
	UrgencyBatched = "batched"
)

// Values of Site.Risk, the default for services that do not set a risk preference.
const (
	// RiskCautious takes smaller steps and acts on weaker evidence, so that bad versions are rolled back early.
	RiskCautious = "cautious"
	// RiskPunctual takes larger steps and demands stronger evidence, so that good versions finish on time.
	RiskPunctual = "punctual"
)

// Duration is a time.Duration that is encoded as text, for example "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText encodes the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Site holds the settings that all processes of a deployment share.
type Site struct {
	Name          string        `json:"name" validate:"required,name"`
	Regions       []Region      `json:"regions" validate:"required,min=1,dive"`
	ControlHosts  []ControlHost `json:"control_hosts" validate:"required,min=1,max=7,dive"`
	Urgency       string        `json:"urgency" validate:"required,oneof=urgent batched"`
	BatchInterval Duration      `json:"batch_interval" validate:"up_to=2s"`
	Compression   string        `json:"compression" validate:"required,oneof=none zstd"`
	Risk          string        `json:"risk" validate:"required,oneof=cautious punctual"`
	// LinkDelays are added to requests between processes; only for tests and demos.
	LinkDelays LinkDelays `json:"link_delays"`
}

// Region is a group of failure domains that are connected by fast links.
type Region struct {
	Name           string          `json:"name" validate:"required,name"`
	FailureDomains []FailureDomain `json:"failure_domains" validate:"required,min=1,dive"`
}

// FailureDomain is a failure domain with the IP networks of its hosts.
type FailureDomain struct {
	Name     string   `json:"name" validate:"required,name"`
	Networks []string `json:"networks" validate:"required,min=1,dive,cidr"`
}

// ControlHost is one member of the replicated log and the relay of its failure domain.
type ControlHost struct {
	ID            string `json:"id" validate:"required,name"`
	Address       string `json:"address" validate:"required,ip_port"` // peer listener
	FailureDomain string `json:"failure_domain" validate:"required"`
}

// LinkDelays are simulated round-trip times of the links between failure domains. The fields
// correspond to ports.LinkRegion and ports.LinkRemote.
type LinkDelays struct {
	Region Duration `json:"region" validate:"up_to=1s"` // between failure domains of one region
	Remote Duration `json:"remote" validate:"up_to=1s"` // between regions
}

// Node holds the settings of rattanfield-node.
type Node struct {
	ID            string        `json:"id" validate:"required,name"`
	FailureDomain string        `json:"failure_domain" validate:"required"`
	Addresses     NodeAddresses `json:"addresses"`
	// EntryServices are the services that callers of this entry use, in addition to those that the
	// local upstream uses.
	EntryServices []string `json:"entry_services,omitempty" validate:"dive,required,name"`
	// Seeds are peer addresses of some nodes of the failure domain, not of control hosts. They are
	// asked when no control host answers.
	Seeds []string `json:"seeds,omitempty" validate:"dive,ip_port"`
	// GraceTime is the time from SIGTERM until the supervisor of the process kills it. LoadNode sets the default.
	GraceTime Duration `json:"grace_time,omitempty" validate:"omitempty,between=5s 10m"`
	// MemoryMB is the memory of the process in MB of 1,000,000 bytes; 0: not stated.
	MemoryMB int    `json:"memory_mb,omitempty" validate:"omitempty,min=64,max=1000000"`
	LogLevel string `json:"log_level,omitempty" validate:"omitempty,oneof=debug info warn error"`
	SiteFile string `json:"site_file,omitempty"` // relative to the folder of this file
	Site     *Site  `json:"site,omitempty"`      // exactly one of site_file and site is set
}

// NodeAddresses are the listeners of a node.
type NodeAddresses struct {
	Entry string `json:"entry" validate:"required,ip_port"`
	Gate  string `json:"gate" validate:"required,ip_port"`
	Peer  string `json:"peer" validate:"required,ip_port"`
	Admin string `json:"admin" validate:"required,ip_port"`
}

// Control holds the settings of rattanfield-control.
type Control struct {
	ID            string           `json:"id" validate:"required,name"`
	FailureDomain string           `json:"failure_domain" validate:"required"`
	Addresses     ControlAddresses `json:"addresses"`
	DataDirectory string           `json:"data_directory" validate:"required"` // relative to the folder of this file
	LogLevel      string           `json:"log_level,omitempty" validate:"omitempty,oneof=debug info warn error"`
	SiteFile      string           `json:"site_file,omitempty"`
	Site          *Site            `json:"site,omitempty"`
}

// ControlAddresses are the listeners of a control host.
type ControlAddresses struct {
	Peer  string `json:"peer" validate:"required,ip_port"`
	Admin string `json:"admin" validate:"required,ip_port"`
}

// Control returns the entry of control_hosts with this id.
func (s *Site) Control(id string) (ControlHost, bool) {
	for _, h := range s.ControlHosts {
		if h.ID == id {
			return h, true
		}
	}
	return ControlHost{}, false
}

// RegionOf returns the region of a failure domain, or "" for an unknown failure domain.
func (s *Site) RegionOf(failureDomain string) string {
	for _, r := range s.Regions {
		for _, d := range r.FailureDomains {
			if d.Name == failureDomain {
				return r.Name
			}
		}
	}
	return ""
}

// FailureDomainNames returns the names of all failure domains, in the order of the file.
func (s *Site) FailureDomainNames() []string {
	var names []string
	for _, r := range s.Regions {
		for _, d := range r.FailureDomains {
			names = append(names, d.Name)
		}
	}
	return names
}

// contains reports whether ip is in one of the networks.
func (d *FailureDomain) contains(ip netip.Addr) bool {
	for _, n := range d.Networks {
		if p, err := netip.ParsePrefix(n); err == nil && p.Contains(ip) {
			return true
		}
	}
	return false
}
