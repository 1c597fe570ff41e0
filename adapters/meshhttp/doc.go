// Package meshhttp is HTTP/1.1 for the requests that nodes carry: a server that
// reads requests ahead, answers in their order and notices a client that leaves,
// and a client that tells whether a request may have reached its destination.
//
// Parsing and serialization are fasthttp's. Bodies are read whole before they
// are passed on, so that an answer that was cut off never looks complete.
package meshhttp
