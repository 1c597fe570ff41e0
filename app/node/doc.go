// Package node builds the node process that runs on the host of an upstream: entry and
// gate, the follower of the configuration, the endpoint table and the admin listener.
package node
