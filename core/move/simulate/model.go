package simulate

import (
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Route is a route of a simulated service.
type Route struct {
	Name   string
	Weight float64       // share of the service's calls
	Median time.Duration // of the latency, which is log-normal
}

// Service is a simulated service.
type Service struct {
	Name       string
	Deployment string
	Domains    []string
	Routes     []Route
	Upstreams  int     // per version: old and new ones run side by side during a move
	Rate       float64 // calls per second on an ordinary day
	Preference pb.RiskPreference
}

const (
	// sigma of the logarithm of the latency: p99 is about 2.8 times the median.
	sigma = 0.45
	// tailShare is the fraction of calls that take tailFactor times longer because of garbage
	// collection or retransmission.
	tailShare  = 0.01
	tailFactor = 4
	// baseErrors is the error rate of a good version.
	baseErrors = 0.001
	slots      = 9 // per upstream
)

// CallsPerUpstream is the assumed rate of an upstream on an ordinary day, in calls per
// second. With a mean latency of about 50 ms it keeps 2 of 9 slots busy.
const CallsPerUpstream = 40

func routes(names ...string) []Route {
	// The last route has 1% of the calls, for faults on a route with few calls.
	weights := []float64{0.55, 0.30, 0.14, 0.01}
	medians := []time.Duration{30, 45, 70, 60}
	out := make([]Route, len(names))
	for i, n := range names {
		out[i] = Route{Name: n, Weight: weights[i], Median: medians[i] * time.Millisecond}
	}
	return out
}

// Services returns the services of both deployments, with their sizes.
func Services() []Service {
	braithwaite := []string{"kingston-a", "kingston-b", "montego-bay-a", "montego-bay-b"}
	benTau := []string{"haiphong-a", "haiphong-b", "vung-tau-a", "vung-tau-b"}
	cautious, punctual := pb.RiskPreference_RISK_PREFERENCE_CAUTIOUS, pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL
	return []Service{
		{"bookings", "braithwaite", braithwaite, routes("times", "places", "fares", "refunds"), 8, 8 * CallsPerUpstream, cautious},
		{"tills", "braithwaite", braithwaite, routes("receipts", "payments", "closings", "voids"), 4, 4 * CallsPerUpstream, cautious},
		{"plank-desk", "ben-tau", benTau, routes("planks", "pledges", "deposits", "engravings"), 7, 7 * CallsPerUpstream, punctual},
		{"pledge-ledger", "ben-tau", benTau, routes("balances", "entries", "statements", "corrections"), 4, 4 * CallsPerUpstream, punctual},
	}
}

// Trigger is the condition under which a fault of a version begins.
type Trigger int

// Triggers of faults.
const (
	AtOnce Trigger = iota
	AfterShare
	UnderLoad // while the version receives more than half of the calls
	Gradual   // grows from 0 to its full extent over GrowthTime
)

// GrowthTime is how long a gradual fault takes to reach its full effect.
const GrowthTime = 4 * time.Minute

// Fault is a fault of the new version.
type Fault struct {
	Name      string
	ErrorRate float64 // fraction of the affected calls that fail
	Slow      float64 // factor of the latency; 0 means 1
	Trigger   Trigger
	Share     uint32 // permille, for AfterShare
	RareRoute bool   // only on the last route
	OneDomain bool   // only in the last failure domain
}

// ProcessFault is a fault of the environment that is not caused by the new version.
type ProcessFault int

// Process faults.
const (
	NoFault       ProcessFault = iota
	ColdStart                  // a quarter of the new upstreams restart
	CrashedHost                // one host hangs for 2 s, then refuses connections
	LeaderChange               // scores are lost and there is no decision for 3 s
	Partition                  // one region is cut off for 90 s
	Overload                   // five times the calls for 60 s
	SourceOutage               // no new configuration from its source, which moves do not need
	PoisonRequest              // crashes two upstreams
	LateReports                // reports arrive up to 5 s late and in bursts
	Slowdown                   // both versions are 1.8 times slower for 60 s
	ProcessFaultCount
)

var processFaultNames = [...]string{
	"none", "cold start", "crashed host", "leader change", "partition", "overload", "source outage", "poison request", "late reports", "general slowdown",
}

func (p ProcessFault) String() string { return processFaultNames[p] }

// Trial is the simulation of one move.
type Trial struct {
	Service      Service
	Fault        *Fault // nil for a good version
	ProcessFault ProcessFault
	Deadline     time.Duration
	Seed         uint64
}
