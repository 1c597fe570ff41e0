package httpproxy

import (
	"time"

	"github.com/rattanfield/rattanfield/core/balance"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// formerEndpointTime is how long an entry keeps an endpoint that is no longer in state SERVING. The gate of a node
// that stops accepts requests for 2.4 s, and the entry learns of the stop at most 2 s after it.
const formerEndpointTime = 3 * time.Second

// formerEndpoint is an endpoint that has left the list of the endpoints of a service.
type formerEndpoint struct {
	balance.Endpoint
	until time.Time
}

// updateFormer keeps the endpoints that are in the old list and not in the new one.
func (st *serviceState) updateFormer(now time.Time, from, to []*pb.EndpointRecord, candidates func([]*pb.EndpointRecord) []balance.Endpoint) {
	serving := make(map[string]bool, len(to))
	for _, r := range to {
		serving[r.GetGateAddress()] = true
	}
	var kept []formerEndpoint
	for _, f := range st.former {
		if !serving[f.Address] && now.Before(f.until) {
			kept = append(kept, f)
		}
	}
	for _, e := range candidates(from) {
		if !serving[e.Address] {
			kept = append(kept, formerEndpoint{Endpoint: e, until: now.Add(formerEndpointTime)})
		}
	}
	st.former = kept
}

// pickFormer picks an endpoint of the version that has left the list recently, and is not excluded. It is for calls
// that have no other endpoint: the gate of a stopping node may accept them, and any other rejects them as not run.
// Endpoints of other regions are left out, because the byte budget does not cover them.
func (st *serviceState) pickFormer(now time.Time, version string, excluded func(address string) bool, random balance.Random) (balance.Pick, bool) {
	var usable []balance.Endpoint
	for _, f := range st.former {
		if now.Before(f.until) && (version == "" || f.Version == version) && f.Link != ports.LinkRemote && !excluded(f.Address) {
			usable = append(usable, f.Endpoint)
		}
	}
	if len(usable) == 0 {
		return balance.Pick{}, false
	}
	return balance.Pick{Endpoint: usable[int(random()*float64(len(usable)))]}, true
}
