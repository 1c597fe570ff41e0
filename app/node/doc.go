// Package node builds the node process that runs on the host of an upstream: entry and
// gate, the follower of the configuration, the endpoint table and the admin listener.
// The program rattanfield-node runs it with settings in JSON; the nodes of the program
// rattanfield-platform are built by package meshnode.
package node
