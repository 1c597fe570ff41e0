// Package hub is the side of a control host that nodes attach to. It keeps the
// table of nodes together with the other control hosts, gives nodes the accepted
// plan, the rollouts and the table, passes announcements of upstreams on to the
// node on their host, and admits control hosts that join.
package hub
