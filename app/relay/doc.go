// Package relay is the part of a control host that serves configuration and
// endpoint data to the nodes of its failure domain.
//
// The work for a change grows with the number of distinct interest sets, not
// with the number of nodes: projections, deltas and their encodings are made
// once per set and shared by all nodes that wait for them.
package relay
