// Package proxy forwards requests from callers to upstreams. The Entry of a node
// accepts requests of the callers on its host, finds the route in the plan in
// force and picks the node that runs the request. The Gate of that node decides
// whether the request runs and states in its response whether it did. Entry and
// gate use their own headers between them; the names of the headers that callers
// and upstreams use are given by Headers.
//
// The node of rattanfield-platform uses this package. The entry and gate of
// rattanfield-node are assembled by app/calls.
package proxy
