// Package calls assembles the components that handle the calls of one node: the
// entry, the gate, their servers, the claims of idempotency keys and the spreading
// of suspects to other gates.
//
// The node of rattanfield-node uses this package. The node of rattanfield-platform
// has its entry and gate in app/proxy.
package calls
