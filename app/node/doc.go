// Package node wires the process on an upstream host: entry and gate, the
// follower of the configuration, the endpoint table and the admin listener.
package node
