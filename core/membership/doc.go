// Package membership implements the endpoint table of a node or relay and
// failure detection inside a failure domain.
//
// Each record is written by the node that it describes. The record with the
// higher (incarnation, sequence) wins, so duplicate, late and reordered records
// have no effect. A table stamps every record that it accepts with a local
// counter, and a peer asks only for records stamped after its last exchange.
//
// A table also holds suspects, which are requests that may crash upstreams. Nodes
// that do not answer probes are suspected by the Detector instead.
//
// The package does no I/O, starts no goroutine and reads no clock; types are
// not safe for concurrent use.
package membership
