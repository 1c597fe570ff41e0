// Package carry takes requests from callers to upstreams. The Entry of a node
// accepts what its callers send, finds the route in the plan in force and picks
// the node that runs the request; the Gate of that node alone decides whether it
// runs, and says so in its answer. Headers between the two are the product's
// own; what callers and upstreams use is given by Headers.
package carry
