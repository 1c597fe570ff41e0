package ports

import (
	"time"

	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// ConfigurationReader provides the configuration that routes calls.
type ConfigurationReader interface {
	// Projection returns the projection in force: the part of the configuration that concerns
	// this node, at the revision that it applied last. It is nil until the first one is applied.
	Projection() *config.Projection
	// FloorKnown reports whether the node knows its floor, the lowest revision that
	// it may apply. While it is false, the node must not route calls.
	FloorKnown() bool
}

// EndpointReader provides the known endpoints of a service.
type EndpointReader interface {
	// Endpoints returns the records of a service in state SERVING. The slice is
	// immutable; version changes whenever the slice changes.
	Endpoints(service string) (records []*pb.EndpointRecord, version uint64)
}

// UpstreamAnnouncement is what the upstream on this host states about itself.
type UpstreamAnnouncement struct {
	Service        string `json:"service"`
	Version        string `json:"version"`
	Address        string `json:"address"` // IP:port
	Slots          int    `json:"slots"`
	MaxConnections int    `json:"max_connections"`
	Instance       string `json:"instance"` // changes when the upstream process restarts
}

// LocalEndpoint publishes the state of the upstream on this host.
type LocalEndpoint interface {
	// Publish changes the endpoint record of this node and sends it to other nodes at once.
	Publish(state pb.EndpointState, u UpstreamAnnouncement)
}

// CallOutcome is the outcome of one attempt of a call, as observed by its entry. Attempts that
// are no evidence about the version are not recorded: those that reached no upstream, were
// rejected as not run for a reason other than overload, or were cancelled by the caller.
type CallOutcome struct {
	Service  string
	Route    string
	Version  string
	Tenant   string
	Class    string
	Latency  time.Duration
	Error    bool // a 5xx or a lost response that is attributed to the version, not to a nested call
	Overload bool // rejected by a limit; not counted against the version
	// Suspect is set for a request that is known or suspected to crash upstreams.
	Suspect bool
	// FreshEndpoint is set while the upstream is in slow start.
	FreshEndpoint bool
}

// OutcomeRecorder records the outcomes of attempts, see CallOutcome; Record must not block.
type OutcomeRecorder interface {
	Record(o CallOutcome)
}

// VersionPicker chooses the version that serves a call, by the version shares of a move.
type VersionPicker interface {
	// PickVersion returns the version for a call of a service; u is a random number, uniform in [0,1).
	PickVersion(p *config.Projection, service string, u float64) string
}

// SuspectSpreader sends records of requests that may crash upstreams to other nodes.
type SuspectSpreader interface {
	Spread(records []*pb.SuspectRecord)
}

// SuspectReceiver merges records of other nodes about requests that may crash upstreams.
type SuspectReceiver interface {
	Merge(records []*pb.SuspectRecord)
}
