// Package membership is the endpoint table of a node or relay and the logic of
// failure detection inside a failure domain.
//
// A record is written by the node that it describes; the higher (incarnation,
// sequence) wins, so duplicate, late and reordered records change nothing. Each
// table stamps what it accepts with a local counter, and a peer asks only for
// what was stamped after its last exchange.
//
// The package does no I/O, starts no goroutine and reads no clock; types are
// not safe for concurrent use.
package membership
