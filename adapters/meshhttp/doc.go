// Package meshhttp implements HTTP/1.1 for the requests that nodes proxy: a server
// that supports pipelining and cancels handlers when the client disconnects, and a
// client that reports whether a request may have reached its destination.
//
// fasthttp parses and serializes messages. Bodies are read completely before they
// are passed on, so that a truncated response is never mistaken for a complete one.
package meshhttp
