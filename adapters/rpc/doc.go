// Package rpc is the transport between the processes of the system: connect
// over unencrypted HTTP/2, with byte counters per link class and an optional
// added delay per destination, which stands for the region link in tests.
package rpc
