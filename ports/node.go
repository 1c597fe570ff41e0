package ports

import (
	"time"

	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// ConfigurationReader gives calls the projection in force.
type ConfigurationReader interface {
	// Projection is nil until the first one is applied.
	Projection() *config.Projection
	// FloorKnown is false while the node may not use its configuration for calls,
	// because it cannot tell the lowest revision that it may apply.
	FloorKnown() bool
}

// EndpointReader gives calls the known endpoints.
type EndpointReader interface {
	// Endpoints returns the records of a service whose state is SERVING. The slice
	// is immutable; version changes when the slice changes.
	Endpoints(service string) (records []*pb.EndpointRecord, version uint64)
}

// Upstream is what the local upstream announced.
type Upstream struct {
	Service        string `json:"service"`
	Version        string `json:"version"`
	Address        string `json:"address"` // IP:port
	Slots          int    `json:"slots"`
	MaxConnections int    `json:"max_connections"`
	Instance       string `json:"instance"` // changes when the upstream process restarts
}

// LocalEndpoint publishes the state of this node's own upstream.
type LocalEndpoint interface {
	// Publish changes this node's endpoint record and spreads it at once.
	Publish(state pb.EndpointState, u Upstream)
}

// CallOutcome is one finished call as its entry saw it.
type CallOutcome struct {
	Service  string
	Route    string
	Version  string
	Tenant   string
	Class    string
	Latency  time.Duration
	Error    bool // 5xx or lost answer that the version caused
	Overload bool // rejected by a limit; says nothing about the version
	// Suspect marks a request that is known or suspected to crash upstreams.
	Suspect bool
	// FreshEndpoint marks an upstream that is still in slow start.
	FreshEndpoint bool
}

// OutcomeRecorder receives every finished call; it must not block.
type OutcomeRecorder interface {
	Record(o CallOutcome)
}

// VersionPicker chooses the version of a call within the shares of a move.
type VersionPicker interface {
	// PickVersion returns the version for a call of a service; u is uniform in [0,1).
	PickVersion(p *config.Projection, service string, u float64) string
}

// SuspectSpreader spreads what is known of requests that crash upstreams.
type SuspectSpreader interface {
	Spread(records []*pb.SuspectRecord)
}

// SuspectReceiver takes what other nodes know of such requests.
type SuspectReceiver interface {
	Merge(records []*pb.SuspectRecord)
}
