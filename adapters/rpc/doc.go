// Package rpc is the transport between the processes of the system: connect over
// unencrypted HTTP/2, with byte counters per link class. Tests can add a delay per
// destination, to simulate links between regions, and block destinations.
package rpc
