// Package relay implements the part of a control host that serves configuration
// and endpoint data to the nodes of its failure domain.
//
// The cost of a change grows with the number of distinct interest sets, not with
// the number of nodes: projections, deltas and their encodings are computed once
// per interest set and shared by all nodes that have it.
package relay
