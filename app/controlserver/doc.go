// Package controlserver implements the part of a control host that nodes poll. It shares
// the table of nodes with the other control hosts, sends nodes the accepted plan,
// the rollouts and the table, forwards announcements of upstreams to the node on
// their host, and admits control hosts that join.
package controlserver
